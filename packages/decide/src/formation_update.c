/* Updates the state of the groups from the fleet's reports. */
#include <stdlib.h>
#include <string.h>

#include "formation_impl.h"

enum {
	MAX_ADOPTED = 64,         /* most members of a group that is known by reports alone */
	UNLISTED_GRACE_MS = 1500, /* time for two probes of an unlisted member */
	ANSWER_FRESH_MS = 1200,   /* an answer proves the group reachable for two more probes */
	ADOPTED_GRACE_MS = 2500, /* an order of the planner before takes 1 s, opening 0.5 s, and the
				  * list lags 0.8 s */
	SEEN_CLOSED_FRESH_MS = 1000, /* how long a probe of a head counts as recent */
	RELIST_GRACE_MS = 2500 /* after a partition, entries are back within 2 s of the first */
};

bool
cs_formation_has_ready (const cs_formation_group_t *g, const cs_backend_t *m)
{
	return m && m->epoch == g->epoch && !strcmp (m->group, g->name) &&
	       (m->state == CS_MEMBERSHIP_READY || m->state == CS_MEMBERSHIP_OPEN ||
		m->state == CS_MEMBERSHIP_CLOSING);
}

static bool
is_member (const cs_formation_group_t *g, const cs_backend_t *m)
{
	return m && m->epoch == g->epoch && m->state != CS_MEMBERSHIP_NONE &&
	       !strcmp (m->group, g->name);
}

/* True if the member was found down and has reported nothing since. */
static bool
is_down (const cs_form_view_t *v, const char *id)
{
	const cs_fleet_entry_t *e = cs_fleet_find_entry (v->fleet, id);
	return e && cs_formation_is_down (v, e);
}

/* A member is listed again, perhaps with all of a zone that was partitioned: discards the evidence
 * from the silence of the others. */
static void
handle_relisted (const cs_form_view_t *v, cs_formation_group_t *g)
{
	g->relisted_ms = v->now_ms;
	g->daemons_asked_ms = 0;
	g->head_ended = false;
	if (g->head_unlisted_ms)
		g->head_unlisted_ms = v->now_ms;
	for (size_t i = 0; i < g->n; i++) {
		g->states[i].silent_probes = 0;
		g->states[i].has_left = false;
	}
}

/* True if an unlisted member of an open group may still work: it counts as lost only when it does
 * not answer probes either. Never true of the head, as an unlisted head gets no requests. One that
 * was not listed since its group was adopted may yet be. */
static bool
may_work_unlisted (const cs_form_view_t *v, cs_formation_group_t *g, size_t i)
{
	if (!*g->members[i])
		return v->now_ms - g->created_ms < ADOPTED_GRACE_MS;
	if (!i || !g->opened || g->states[i].has_left)
		return false;
	if (!g->states[i].unlisted_ms)
		g->states[i].unlisted_ms = v->now_ms;
	if (g->states[i].answered_ms)
		return true;
	return g->states[i].silent_probes < CS_FORMATION_SILENT_PROBES &&
	       v->now_ms - g->states[i].unlisted_ms < UNLISTED_GRACE_MS;
}

/* Updates which members are unlisted. True if one counts as lost, unless others were listed again
 * recently: after a partition heals, entries return one by one. */
static bool
update_unlisted (const cs_form_view_t *v, cs_formation_group_t *g)
{
	bool missing = false;
	g->any_unlisted = false;
	for (size_t i = 0; i < g->n; i++) {
		bool gone = !cs_fleet_find (v->fleet, g->members[i]);
		if (g->states[i].is_unlisted && !gone)
			handle_relisted (v, g);
		if (!gone)
			g->states[i].unlisted_ms = 0;
		g->states[i].is_unlisted = gone;
		g->any_unlisted |= gone;
		missing |= gone && !may_work_unlisted (v, g, i);
	}
	return missing && !(g->relisted_ms && v->now_ms - g->relisted_ms < RELIST_GRACE_MS);
}

bool
cs_formation_others_answer (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	for (size_t i = 1; i < g->n; i++)
		if (g->states[i].answered_ms &&
		    v->now_ms - g->states[i].answered_ms < ANSWER_FRESH_MS)
			return true;
	return false;
}

/* True if a member answered its last probe: then the silence of others is not due to a partition
 * between this daemon and the group. */
static bool
any_answered (const cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++)
		if (g->states[i].answered_ms)
			return true;
	return false;
}

/* True if the list has the member in a later group that the ledger knows to have it. The list alone
 * is no proof: others may write there. */
static bool
has_moved (const cs_form_view_t *v, const cs_formation_group_t *g, const cs_backend_t *member)
{
	const cs_formation_group_t *later;
	if (member->epoch <= g->epoch)
		return false;
	HASH_FIND (hh, v->f->groups, &member->epoch, sizeof member->epoch, later);
	for (size_t i = 0; later && !later->adopted && i < later->n; i++)
		if (!strcmp (later->members[i], member->id))
			return true;
	return false;
}

/* True if a member drains, is down, was reassigned, or is unready though the group may be open. */
static bool
lacks_member (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++) {
		const cs_backend_t *m = cs_fleet_find (v->fleet, g->members[i]);
		if (!m)
			continue;
		if (m->draining || (any_answered (g) && is_down (v, m->id)) ||
		    has_moved (v, g, m) || cs_formation_group_of (v->f, g->members[i]) != g)
			return true;
		if (g->opened && !cs_formation_has_ready (g, m) && m->state != CS_MEMBERSHIP_BROKEN)
			return true;
	}
	return false;
}

/* True if nobody opens the group: only the planner that formed it knew that it is whole. */
static bool
never_opens (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	return g->adopted && !g->opened && v->now_ms - g->created_ms >= ADOPTED_GRACE_MS;
}

/* True if the list shows that the head does not serve under this epoch. As the list lags, this is
 * no proof. */
static bool
is_listed_closed (const cs_formation_group_t *g, const cs_backend_t *head)
{
	return !is_member (g, head) ||
	       (head->state != CS_MEMBERSHIP_OPEN && head->state != CS_MEMBERSHIP_CLOSING);
}

bool
cs_formation_head_is_closed (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	if (!g->closed_since_ms || v->now_ms - g->seen_closed_ms >= SEEN_CLOSED_FRESH_MS)
		return false;
	/* The head may have taken an order in flight and not report itself open yet. */
	return !cs_formation_open_may_be_pending (v->f, g->seen_closed_ms, g) ||
	       g->seen_closed_ms - g->closed_since_ms >= CS_FORMATION_OPENING_MS;
}

bool
cs_formation_is_unreached (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	return cs_formation_others_answer (v, g) && g->daemons_asked_ms &&
	       v->now_ms - g->daemons_asked_ms >= CS_FORMATION_ASK_TIMEOUT_MS;
}

/* True if the head can't be serving under this epoch and no order in flight can open it. */
static bool
head_cannot_serve (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	if (g->head_ended)
		return true;
	if (head && has_moved (v, g, head))
		return true;
	if (!head && !g->states[0].answered_ms)
		return v->f->disabled & CS_FORMATION_NO_LEAVE && cs_formation_is_unreached (v, g);
	/* The effect of an order taken just before the probe is visible only after it. */
	return cs_formation_head_is_closed (v, g) &&
	       !cs_formation_open_may_be_pending (v->f, g->seen_closed_ms, g);
}

/* Members that the list has in a later group of the ledger have left this one. */
static void
record_moved (const cs_form_view_t *v, cs_formation_group_t *g)
{
	for (size_t i = 1; i < g->n; i++) {
		const cs_backend_t *m = cs_fleet_find (v->fleet, g->members[i]);
		if (m && !g->states[i].left_ms && has_moved (v, g, m))
			g->states[i].left_ms = v->now_ms;
	}
}

static void
update_group (const cs_form_view_t *v, cs_formation_group_t *g)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	const cs_backend_t *last = cs_fleet_last (v->fleet, g->members[0]);
	if (head) {
		g->head_unlisted_ms = 0;
		g->head_serves = false;
		g->head_ended = has_moved (v, g, head);
	} else if (!g->head_unlisted_ms) {
		g->head_unlisted_ms = v->now_ms;
	}
	if (is_member (g, last) &&
	    (last->state == CS_MEMBERSHIP_OPEN || last->state == CS_MEMBERSHIP_CLOSING ||
	     last->state == CS_MEMBERSHIP_BROKEN)) {
		g->opened = g->seen_open = true;
	}
	g->lost = update_unlisted (v, g) || g->given_up || lacks_member (v, g) ||
		  never_opens (v, g) ||
		  (is_member (g, head) && head->state == CS_MEMBERSHIP_BROKEN);
	bool may_serve = g->opened || g->inherited;
	if (v->f->disabled & CS_FORMATION_NO_HEAD_CHECK)
		may_serve = false;
	g->released = g->lost && (!may_serve || head_cannot_serve (v, g));
	if (g->lost && !g->released)
		record_moved (v, g);
	g->head_listed_closed = g->lost && head && !head->draining && is_listed_closed (g, head);
}

static uint32_t
declared_size (const cs_form_view_t *v, const cs_backend_t *seen)
{
	const cs_serving_service_t *service = cs_serving_find_service (v->serving, seen->service);
	const cs_serving_model_t *m = service ? cs_serving_find_model (service, seen->model) : NULL;
	return m && m->group_size <= MAX_ADOPTED ? m->group_size : 0;
}

/* Adopts a group that is reported but not in the ledger, as its record has expired or the store
 * went back; or adds what its members have not reported before. */
static void
adopt_group (cs_form_view_t *v, const cs_backend_t *seen)
{
	const char *members[MAX_ADOPTED] = {NULL};
	size_t n = declared_size (v, seen);
	cs_formation_group_t *g;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));) {
		const cs_backend_t *m = e->backend;
		if (m->epoch != seen->epoch || strcmp (m->group, seen->group) != 0 ||
		    m->rank >= MAX_ADOPTED)
			continue;
		n = m->rank >= n ? m->rank + 1 : n;
		members[m->rank] = m->id;
	}
	for (const cs_backend_t *m = NULL; (m = cs_fleet_next_last (v->fleet, m));)
		if (m->epoch == seen->epoch && !strcmp (m->group, seen->group) && m->rank < n &&
		    !members[m->rank])
			members[m->rank] = m->id;
	/* A rank that no back end has reported is a lost member; no back end has the id "". */
	for (size_t i = 0; i < n; i++)
		members[i] = members[i] ? members[i] : "";
	HASH_FIND (hh, v->f->groups, &seen->epoch, sizeof seen->epoch, g);
	if (g) {
		if (g->adopted) {
			cs_formation_set_model (g, seen->model, n);
			cs_formation_add_members (v->f, g, members, n);
		}
		return;
	}
	cs_formation_apply (v->f, v->now_ms, seen->epoch, seen->group, seen->service, seen->model,
			    members, n);
	HASH_FIND (hh, v->f->groups, &seen->epoch, sizeof seen->epoch, g);
	if (g) {
		g->adopted = g->inherited = true;
		g->open_sent_ms = v->now_ms;
		g->pending_open_ms = v->now_ms;
	}
}

/* True if the member reports a group that is not known yet, or its rank in an adopted one, or the
 * model of that: those that join have none. A group of the planner before may build on one whose
 * record has expired. */
static bool
tells_of_group (const cs_form_view_t *v, const cs_backend_t *m)
{
	const cs_formation_group_t *assigned = cs_formation_group_of (v->f, m->id);
	cs_formation_group_t *g;
	HASH_FIND (hh, v->f->groups, &m->epoch, sizeof m->epoch, g);
	if (g)
		return g->adopted && ((!*g->model && *m->model) || m->rank >= g->n ||
				      strcmp (g->members[m->rank], m->id) != 0);
	return !assigned || assigned->epoch < m->epoch || assigned->inherited;
}

/* True if all members were reassigned and the head can't be open: the group may be dropped. */
static bool
is_superseded (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++)
		if (cs_formation_group_of (v->f, g->members[i]) == g)
			return false;
	return g->released;
}

/* Number of members of a forming group that are not ready yet. */
static uint32_t
count_loading (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	uint32_t n = 0;
	for (size_t i = 0; i < g->n && !g->opened && !g->lost; i++)
		n += !cs_formation_has_ready (g, cs_fleet_find (v->fleet, g->members[i]));
	return n;
}

void
cs_formation_update_groups (cs_form_view_t *v)
{
	cs_formation_group_t *g, *next;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));) {
		const cs_backend_t *m = e->backend;
		if (m->state != CS_MEMBERSHIP_NONE && *m->group && tells_of_group (v, m))
			adopt_group (v, m);
	}
	HASH_ITER (hh, v->f->groups, g, next) {
		update_group (v, g);
		v->loading += count_loading (v, g);
		if (!is_superseded (v, g))
			continue;
		HASH_DEL (v->f->groups, g);
		cs_formation_group_free (g);
	}
}
