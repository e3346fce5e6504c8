/* Proposals to exclude silent daemons. */
#include <string.h>

#include "cs/failure_detector.h"
#include "log_internal.h"

static bool
lists_as_silent (const cs_peer_t *p, uint64_t incarnation)
{
	for (size_t i = 0; i < p->n_silent; i++)
		if (p->silent[i] == incarnation)
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

/* True if the member reports the target as silent. A peer counts only if it is reachable and
 * its list is at most CS_REACHABLE_MS old. */
static bool
reports_silent (const cs_detector_t *h, const cs_member_t *member, uint64_t target, int64_t now_ms)
{
	const cs_peer_t *p = cs_detector_find_peer (h, member->incarnation);
	if (member->incarnation == h->me)
		return is_silent_locally (h, target);
	bool fresh = p && p->silent_list_ms >= 0 && now_ms - p->silent_list_ms <= CS_REACHABLE_MS;
	return fresh && cs_detector_is_reachable (h, member->incarnation, now_ms) &&
	       lists_as_silent (p, target);
}

/* True if a majority of the target's zone reports the target as silent, for every set of
 * members that the target may be using: the members at the offset that it was last known to
 * have applied, and those after each later JOIN. Daemons that joined while the target was
 * partitioned from the log must not outvote the members that it still forms a majority with.
 * The member table is in order of the JOINs. */
static bool
majority_reports_silent (const cs_detector_t *h, const cs_members_t *m, const cs_member_t *target,
			 int64_t now_ms, size_t *silent, size_t *joined)
{
	const cs_peer_t *p = cs_detector_find_peer (h, target->incarnation);
	uint64_t known =
		p && p->control_next > target->joined_at ? p->control_next : target->joined_at + 1;
	if (h->disabled & CS_DETECTOR_NO_KNOWN_VIEW)
		known = UINT64_MAX;
	*silent = *joined = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next) {
		if (strcmp (x->zone, target->zone) != 0)
			continue;
		if (x->joined_at >= known && 2 * *silent <= *joined)
			return false;
		*joined += 1;
		*silent += reports_silent (h, x, target->incarnation, now_ms);
	}
	return 2 * *silent > *joined;
}

static void
submit_exclude (cs_writer_t *control, uint64_t target, const char *evidence)
{
	Cs__Exclude exclude = CS__EXCLUDE__INIT;
	Cs__Record r = CS__RECORD__INIT;
	exclude.target = target;
	exclude.evidence = (char *)evidence;
	r.body_case = CS__RECORD__BODY_EXCLUDE;
	r.exclude = &exclude;
	cs_writer_submit (control, &r, NULL);
}

/* Appends the evidence for excluding the target; false if there is not enough. */
static bool
append_evidence (const cs_detector_t *h, const cs_members_t *m, const cs_member_t *self,
		 const cs_member_t *target, int64_t now_ms, bool vm_gone, cs_buf_t *text)
{
	size_t joined;
	size_t silent;
	if (!strcmp (self->zone, target->zone) &&
	    majority_reports_silent (h, m, target, now_ms, &silent, &joined)) {
		cs_buf_printf (text,
			       "%zu of %zu daemons of zone %s had no heartbeat round trip with "
			       "the daemon for %d ms",
			       silent, joined, target->zone, CS_SILENCE_MS);
		return true;
	}
	if (vm_gone)
		cs_buf_printf (text,
			       "its VM is no longer in the VM list, and %s had no heartbeat round "
			       "trip with the daemon for %d ms",
			       self->name, CS_SILENCE_MS);
	return vm_gone;
}

/* True if this daemon should propose to exclude the peer now. The delay grows with the rank of
 * this daemon, so that normally only one daemon proposes. */
static bool
is_proposal_due (cs_detector_t *h, const cs_members_t *m, const cs_peer_t *p, int64_t now_ms)
{
	cs_detector_filter_t reachable = {h, now_ms};
	size_t rank = cs_members_rank_of (m, h->me, p->incarnation, NULL,
					  cs_detector_filter_available, &reachable);
	int64_t last_ms =
		p->echoed_sent_ms > p->silence_start_ms ? p->echoed_sent_ms : p->silence_start_ms;
	int64_t wait_ms = CS_SILENCE_MS + (int64_t)rank * CS_EXCLUDE_STAGGER_MS;
	if (p->exclude_proposed_ms >= 0 && now_ms - p->exclude_proposed_ms < CS_EXCLUDE_REPEAT_MS)
		return false;
	return now_ms - last_ms >= wait_ms;
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
		bool gone = vm_gone && vm_gone (arg, x);
		cs_peer_t *p = gone ? cs_detector_ensure_peer (h, x->incarnation, now_ms)
				    : cs_detector_find_peer (h, x->incarnation);
		cs_buf_clear (&text);
		if (!p || !is_proposal_due (h, m, p, now_ms) ||
		    !append_evidence (h, m, self, x, now_ms, gone, &text))
			continue;
		p->exclude_proposed_ms = now_ms;
		submit_exclude (control, x->incarnation, text.p);
	}
	cs_buf_finish (&text);
}
