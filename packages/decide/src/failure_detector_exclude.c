/* Proposals to exclude silent daemons. */
#include <string.h>

#include "cs/failure_detector.h"
#include "log_internal.h"

static bool
lists_as_silent (const cs_peer_t *peer, uint64_t incarnation)
{
	for (size_t i = 0; i < peer->n_silent; i++)
		if (peer->silent[i] == incarnation)
			return true;
	return false;
}

static bool
is_silent_locally (const cs_detector_t *h, uint64_t incarnation)
{
	for (size_t i = 0; i < h->n_silent; i++)
		if (h->silent[i] == incarnation)
			return true;
	return false;
}

/* True if the member reports the target as silent. The report of a peer counts only if the peer is
 * reachable and its list is at most CS_REACHABLE_MS old. */
static bool
reports_silent (const cs_detector_t *h, const cs_member_t *member, uint64_t target, int64_t now_ms)
{
	const cs_peer_t *peer = cs_detector_find_peer (h, member->incarnation);
	if (member->incarnation == h->me)
		return is_silent_locally (h, target);
	bool is_fresh = peer && peer->silent_list_ms >= 0 &&
			now_ms - peer->silent_list_ms <= CS_REACHABLE_MS;
	return is_fresh && cs_detector_is_reachable (h, member->incarnation, now_ms) &&
	       lists_as_silent (peer, target);
}

/* True if a majority of the target's zone reports the target as silent, for every set of
 * members that the target may be using: the members at the offset that the target was last known
 * to have applied, and those after each later JOIN. Daemons that joined while the target was
 * partitioned from the log must not outvote the members with which the target still forms a
 * majority. The member table is in order of the JOINs. If true, *n_silent and *n_joined are the
 * number of members of the zone that report the target, and of all members of the zone. */
static bool
majority_reports_silent (const cs_detector_t *h, const cs_members_t *m, const cs_member_t *target,
			 int64_t now_ms, size_t *n_silent, size_t *n_joined)
{
	const cs_peer_t *peer = cs_detector_find_peer (h, target->incarnation);
	uint64_t known_offset = peer && peer->control_next > target->joined_at
					? peer->control_next
					: target->joined_at + 1;
	if (h->disabled & CS_DETECTOR_NO_KNOWN_MEMBERS)
		known_offset = UINT64_MAX;
	*n_silent = *n_joined = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next) {
		if (strcmp (x->zone, target->zone) != 0)
			continue;
		if (x->joined_at >= known_offset && 2 * *n_silent <= *n_joined)
			return false;
		*n_joined += 1;
		*n_silent += reports_silent (h, x, target->incarnation, now_ms);
	}
	return 2 * *n_silent > *n_joined;
}

/* An error is ignored: the proposal is repeated after CS_EXCLUDE_REPEAT_MS. */
static void
submit_exclude (cs_writer_t *control, uint64_t target, const char *evidence)
{
	Cs__Exclude exclude = CS__EXCLUDE__INIT;
	Cs__Record record = CS__RECORD__INIT;
	exclude.target = target;
	exclude.evidence = (char *)evidence;
	record.body_case = CS__RECORD__BODY_EXCLUDE;
	record.exclude = &exclude;
	cs_writer_submit (control, &record, NULL);
}

/* Appends the evidence for excluding the target to text; false if there is not enough. */
static bool
append_evidence (const cs_detector_t *h, const cs_members_t *m, const cs_member_t *self,
		 const cs_member_t *target, int64_t now_ms, bool is_vm_gone, cs_buf_t *text)
{
	size_t n_joined;
	size_t n_silent;
	if (!strcmp (self->zone, target->zone) &&
	    majority_reports_silent (h, m, target, now_ms, &n_silent, &n_joined)) {
		cs_buf_printf (text,
			       "%zu of %zu daemons of zone %s had no heartbeat round trip with "
			       "the daemon for %d ms",
			       n_silent, n_joined, target->zone, CS_SILENCE_MS);
		return true;
	}
	if (is_vm_gone)
		cs_buf_printf (text,
			       "its VM is no longer in the VM list, and %s had no heartbeat round "
			       "trip with the daemon for %d ms",
			       self->name, CS_SILENCE_MS);
	return is_vm_gone;
}

/* True if this daemon should propose to exclude the peer now. The delay grows with the rank of
 * this daemon, so that normally only one daemon proposes. */
static bool
is_proposal_due (cs_detector_t *h, const cs_members_t *m, const cs_peer_t *peer, int64_t now_ms)
{
	cs_detector_filter_t filter = {h, now_ms};
	size_t rank = cs_members_rank_of (m, h->me, peer->incarnation, NULL,
					  cs_detector_filter_available, &filter);
	int64_t silent_since_ms = peer->echoed_sent_ms > peer->silence_start_ms
					  ? peer->echoed_sent_ms
					  : peer->silence_start_ms;
	int64_t wait_ms = CS_SILENCE_MS + (int64_t)rank * CS_EXCLUDE_STAGGER_MS;
	if (peer->exclude_proposed_ms >= 0 &&
	    now_ms - peer->exclude_proposed_ms < CS_EXCLUDE_REPEAT_MS)
		return false;
	return now_ms - silent_since_ms >= wait_ms;
}

void
cs_detector_propose_exclusions (cs_detector_t *h, const cs_members_t *m, int64_t now_ms,
				cs_vm_gone_t vm_gone, void *arg, cs_writer_t *control)
{
	const cs_member_t *self = cs_members_get (m, h->me);
	cs_buf_t text;
	if (!self || !cs_applier_is_current (control->applier, now_ms - CS_LOG_CURRENT_MS))
		return;
	cs_buf_init (&text);
	for (const cs_member_t *x = m->table; x; x = x->hh.next) {
		if (x == self)
			continue;
		bool is_vm_gone = vm_gone && vm_gone (arg, x);
		cs_peer_t *peer = is_vm_gone ? cs_detector_ensure_peer (h, x->incarnation, now_ms)
					     : cs_detector_find_peer (h, x->incarnation);
		cs_buf_clear (&text);
		if (!peer || !is_proposal_due (h, m, peer, now_ms) ||
		    !append_evidence (h, m, self, x, now_ms, is_vm_gone, &text))
			continue;
		peer->exclude_proposed_ms = now_ms;
		submit_exclude (control, x->incarnation, text.p);
	}
	cs_buf_finish (&text);
}
