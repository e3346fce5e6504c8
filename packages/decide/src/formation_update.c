/* Updates the state of the groups from the fleet's reports. */
#include <stdlib.h>
#include <string.h>

#include "formation_impl.h"

enum {
	MAX_ADOPTED = 64,            /* members of a group that is known by reports alone */
	UNLISTED_GRACE_MS = 1500,    /* time for two probes of an unlisted member */
	ANSWER_FRESH_MS = 1200,      /* an answer proves the group reachable for two more probes */
	SEEN_CLOSED_FRESH_MS = 1000, /* how long a probe of a head counts as recent */
	RELISTED_MS = 2500 /* after a partition, entries are back within 2 s of the first */
};

bool
cs_formation_has_ready (const cs_formation_group_t *b, const cs_backend_t *m)
{
	return m && m->epoch == b->epoch && !strcmp (m->group, b->name) &&
	       (m->state == CS_MEMBER_READY || m->state == CS_MEMBER_OPEN ||
		m->state == CS_MEMBER_CLOSING);
}

static bool
is_member (const cs_formation_group_t *b, const cs_backend_t *m)
{
	return m && m->epoch == b->epoch && m->state != CS_MEMBER_NONE &&
	       !strcmp (m->group, b->name);
}

/* True if the member was found down and has reported nothing since. */
static bool
is_down (const cs_form_view_t *v, const char *id)
{
	const cs_fleet_entry_t *e = cs_fleet_entry (v->fleet, id);
	return e && cs_formation_is_down (v, e);
}

/* A member is listed again, perhaps with all of a zone that was partitioned: discards the evidence
 * from the silence of the others. */
static void
handle_relisted (const cs_form_view_t *v, cs_formation_group_t *b)
{
	b->relisted_ms = v->now_ms;
	b->daemons_asked_ms = 0;
	b->head_ended = false;
	if (b->head_unlisted_ms)
		b->head_unlisted_ms = v->now_ms;
	memset (b->silent_probes, 0, b->n * sizeof *b->silent_probes);
}

/* True if an unlisted member of an open group may still work: it counts as lost only when it does
 * not answer probes either. Never true of the head, as an unlisted head gets no requests. */
static bool
may_work_unlisted (const cs_form_view_t *v, cs_formation_group_t *b, size_t i)
{
	if (!i || !b->opened)
		return false;
	if (!b->unlisted_ms[i])
		b->unlisted_ms[i] = v->now_ms;
	if (b->answered_ms[i])
		return true;
	return b->silent_probes[i] < CS_FORMATION_SILENT_PROBES &&
	       v->now_ms - b->unlisted_ms[i] < UNLISTED_GRACE_MS;
}

/* Updates which members are unlisted. True if one counts as lost, unless others were listed again
 * recently: after a partition heals, entries return one by one. */
static bool
update_unlisted (const cs_form_view_t *v, cs_formation_group_t *b)
{
	bool missing = false;
	b->any_unlisted = false;
	for (size_t i = 0; i < b->n; i++) {
		bool gone = !cs_fleet_find (v->fleet, b->members[i]);
		if (b->is_unlisted[i] && !gone)
			handle_relisted (v, b);
		if (!gone)
			b->unlisted_ms[i] = 0;
		b->is_unlisted[i] = gone;
		b->any_unlisted |= gone;
		missing |= gone && !may_work_unlisted (v, b, i);
	}
	return missing && !(b->relisted_ms && v->now_ms - b->relisted_ms < RELISTED_MS);
}

bool
cs_formation_others_answer (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	for (size_t i = 1; i < b->n; i++)
		if (b->answered_ms[i] && v->now_ms - b->answered_ms[i] < ANSWER_FRESH_MS)
			return true;
	return false;
}

/* True if a member answered its last probe: then the silence of others is not due to a partition
 * between this daemon and the group. */
static bool
any_answered (const cs_formation_group_t *b)
{
	for (size_t i = 0; i < b->n; i++)
		if (b->answered_ms[i])
			return true;
	return false;
}

/* True if a member drains, is down, was reassigned, or is unready though the group may be open. */
static bool
lacks_member (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	for (size_t i = 0; i < b->n; i++) {
		const cs_backend_t *m = cs_fleet_find (v->fleet, b->members[i]);
		if (!m)
			continue;
		if (m->draining || (any_answered (b) && is_down (v, m->id)) ||
		    m->epoch > b->epoch || cs_formation_group_of (v->f, b->members[i]) != b)
			return true;
		if (b->opened && !cs_formation_has_ready (b, m) && m->state != CS_MEMBER_BROKEN)
			return true;
	}
	return false;
}

/* True if the list shows that the head does not serve under this epoch. The list lags. */
static bool
seems_closed (const cs_formation_group_t *b, const cs_backend_t *head)
{
	return !is_member (b, head) ||
	       (head->state != CS_MEMBER_OPEN && head->state != CS_MEMBER_CLOSING);
}

bool
cs_formation_head_is_closed (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	if (!b->closed_since_ms || v->now_ms - b->seen_closed_ms >= SEEN_CLOSED_FRESH_MS)
		return false;
	/* An order in flight may have been taken and not have shown yet. */
	return !cs_formation_open_may_be_pending (v->f, b->seen_closed_ms, b) ||
	       b->seen_closed_ms - b->closed_since_ms >= CS_FORMATION_OPENING_MS;
}

/* True if the head can't be serving under this epoch and no order in flight can open it. */
static bool
head_cannot_serve (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	if (b->head_ended)
		return true;
	if (head && head->epoch > b->epoch)
		return true;
	if (!head && !b->answered_ms[0])
		return cs_formation_others_answer (v, b) &&
		       ((b->daemons_asked_ms &&
			 v->now_ms - b->daemons_asked_ms >= CS_FORMATION_ASK_TIMEOUT_MS) ||
			v->now_ms - b->head_unlisted_ms >= CS_FORMATION_HEAD_TIMEOUT_MS);
	/* An order taken just before the probe shows only after it. */
	return cs_formation_head_is_closed (v, b) &&
	       !cs_formation_open_may_be_pending (v->f, b->seen_closed_ms, b);
}

static void
update_group (const cs_form_view_t *v, cs_formation_group_t *b)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	if (head) {
		b->head_unlisted_ms = 0;
		b->daemons_asked_ms = 0;
		b->head_serves = false;
		b->head_ended = head->epoch > b->epoch;
	} else if (!b->head_unlisted_ms) {
		b->head_unlisted_ms = v->now_ms;
	}
	if (is_member (b, head) &&
	    (head->state == CS_MEMBER_OPEN || head->state == CS_MEMBER_CLOSING ||
	     head->state == CS_MEMBER_BROKEN)) {
		b->opened = true;
	}
	b->lost = update_unlisted (v, b) || lacks_member (v, b) ||
		  (is_member (b, head) && head->state == CS_MEMBER_BROKEN);
	bool may_serve = b->opened || b->inherited;
	if (v->f->disabled & CS_FORMATION_NO_HEAD_CHECK)
		may_serve = false;
	b->released = b->lost && (!may_serve || head_cannot_serve (v, b));
	b->head_listed_closed = b->lost && head && !head->draining && seems_closed (b, head);
}

/* Adopts a group that is reported but not in the ledger, as its record has expired. */
static void
adopt_group (cs_form_view_t *v, const cs_backend_t *seen)
{
	const char *members[MAX_ADOPTED];
	size_t n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));) {
		const cs_backend_t *m = e->backend;
		if (m->epoch != seen->epoch || strcmp (m->group, seen->group) != 0 ||
		    m->rank >= MAX_ADOPTED)
			continue;
		if (m->rank >= n) {
			memset (members + n, 0, (m->rank + 1 - n) * sizeof *members);
			n = m->rank + 1;
		}
		members[m->rank] = m->id;
	}
	/* A rank that no back end reports is a lost member; no back end has the id "". */
	for (size_t i = 0; i < n; i++)
		members[i] = members[i] ? members[i] : "";
	cs_formation_fold (v->f, v->now_ms, seen->epoch, seen->group, seen->service, seen->model,
			   members, n);
	cs_formation_group_t *b = cs_formation_group_of (v->f, seen->id);
	if (b && b->epoch == seen->epoch) {
		b->adopted = b->inherited = true;
		b->open_sent_ms = v->now_ms;
		b->pending_open_ms = v->now_ms;
	}
}

/* True if all members were reassigned and the head can't be open: the group may be dropped. */
static bool
is_superseded (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	for (size_t i = 0; i < b->n; i++)
		if (cs_formation_group_of (v->f, b->members[i]) == b)
			return false;
	return b->released;
}

/* Number of members of a forming group that are not ready yet. */
static uint32_t
count_loading (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	uint32_t n = 0;
	for (size_t i = 0; i < b->n && !b->opened && !b->lost; i++)
		n += !cs_formation_has_ready (b, cs_fleet_find (v->fleet, b->members[i]));
	return n;
}

void
cs_formation_update_groups (cs_form_view_t *v)
{
	cs_formation_group_t *b, *next;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));) {
		const cs_backend_t *m = e->backend;
		const cs_formation_group_t *known = cs_formation_group_of (v->f, m->id);
		if (m->state != CS_MEMBER_NONE && *m->group && (!known || known->epoch < m->epoch))
			adopt_group (v, m);
		cs_formation_set_address (v->f, m);
	}
	HASH_ITER (hh, v->f->groups, b, next) {
		update_group (v, b);
		v->loading += count_loading (v, b);
		if (!is_superseded (v, b))
			continue;
		HASH_DEL (v->f->groups, b);
		cs_formation_group_free (b);
	}
}
