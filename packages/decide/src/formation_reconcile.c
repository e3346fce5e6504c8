/* Reconciles existing groups: joins, opens, closes and probes their members. */
#include <string.h>

#include "formation_impl.h"

enum {
	REPEAT_MS = 1500,       /* an order without visible effect is resent; the list lags 0.8 s */
	CLOSE_WAIT_MS = 4000,   /* after that, requests of a closing group are aborted */
	SUSPECT_PROBE_MS = 200, /* between the rounds of probes of a suspected group */
	SUSPECT_ROUNDS = CS_FORMATION_SILENT_PROBES,
	SUSPECT_HOLDOFF_MS = 2000, /* pause after a group was found healthy */
	ALL_RELISTED_MS = 4000,    /* three heartbeats (3.6 s): by then all back ends of a partition
				      that has healed are listed again */

	ABANDON_FRESH_MS = 5000, /* well within the 20 s for which the ledger keeps a record */
	HEAD_PROBE_MS = 200,
	UNLISTED_PROBE_MS = 500, /* between two probes of unlisted members */
	FORM_TIMEOUT_MS = 30000  /* unready groups are abandoned: a load takes 16 s */
};

/* False if the back end is a member, but not the head, of an older group whose head may still be
 * open: the back end has to wait until that head is closed. */
static bool
may_join (const cs_form_view_t *v, const cs_formation_group_t *group, const char *id)
{
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		if (g->epoch >= group->epoch || g->released || !(g->opened || g->inherited))
			continue;
		for (size_t i = 1; i < g->n; i++)
			if (!strcmp (g->members[i], id) && !cs_formation_is_free (v, g, id))
				return false;
	}
	return true;
}

static bool
needs_load (const cs_formation_group_t *g, const cs_backend_t *m)
{
	return strcmp (m->model, g->model) != 0 && strcmp (m->staged, g->model) != 0;
}

static void
probe_member (cs_form_view_t *v, const cs_formation_group_t *g, size_t i, const char *reason)
{
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_PROBE, reason);
	a->group = g;
	a->id = g->members[i];
	a->address = cs_formation_address (v, g->members[i]);
}

/* The older group that the back end may still lead; NULL: none. */
static cs_formation_group_t *
older_group_led_by (const cs_form_view_t *v, const cs_formation_group_t *group, const char *id)
{
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		if (g->epoch < group->epoch && !g->released && (g->opened || g->inherited) &&
		    !strcmp (g->members[0], id))
			return g;
	}
	return NULL;
}

/* Probes the head to verify that it is closed and has taken no further order. */
static void
probe_head (cs_form_view_t *v, cs_formation_group_t *g)
{
	if (v->now_ms - g->probed_ms < HEAD_PROBE_MS)
		return;
	g->probed_ms = v->now_ms;
	probe_member (v, g, 0, "verifying that the head is closed");
}

/* True if recent probes show the older group's head closed, else probes that head: a late order
 * might open it, so the head joins another group only after a recent probe. */
static bool
verify_head_closed (cs_form_view_t *v, cs_formation_group_t *old)
{
	if (cs_formation_head_is_closed (v, old))
		return true;
	probe_head (v, old);
	return false;
}

static void
join_member (cs_form_view_t *v, cs_formation_group_t *g, size_t i,
	     const cs_serving_service_t *service)
{
	const cs_backend_t *m = cs_fleet_find (v->fleet, g->members[i]);
	if (!m || m->epoch >= g->epoch)
		return;
	if (g->states[i].join_sent_ms && v->now_ms - g->states[i].join_sent_ms < REPEAT_MS)
		return;
	if (!may_join (v, g, g->members[i]))
		return;
	cs_formation_group_t *old = older_group_led_by (v, g, g->members[i]);
	if (old && !(v->f->disabled & CS_FORMATION_NO_SEQUENCE_CHECK) &&
	    !verify_head_closed (v, old))
		return;
	if (!g->states[i].join_sent_ms && needs_load (g, m) &&
	    (cs_formation_is_evacuated (v, m->zone) || !cs_formation_take_load_token (v, service)))
		return;
	g->states[i].join_sent_ms = v->now_ms;
	g->states[i].left_ms = 0; /* it may belong to the group again */
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_JOIN, "assigned");
	a->group = g;
	a->id = m->id;
	a->address = m->address;
	a->model = g->model;
	if (!old || (v->f->disabled & CS_FORMATION_NO_SEQUENCE_CHECK))
		return;
	a->expects_sequence = true;
	a->sequence = old->sequence;
	old->closed_since_ms = 0;
}

static void
open_head (cs_form_view_t *v, cs_formation_group_t *g, const cs_backend_t *head)
{
	if (g->opened && v->now_ms - g->open_sent_ms < REPEAT_MS)
		return;
	if (g->open_unanswered)
		g->pending_open_ms = g->open_sent_ms;
	g->opened = true;
	g->open_sent_ms = v->now_ms;
	g->open_unanswered = true;
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_OPEN, "all members ready");
	a->group = g;
	a->id = head->id;
	a->address = head->address;
}

/* True if the last probe of a listed member was the first without an answer. */
static bool
is_unsure (const cs_form_view_t *v, const cs_formation_group_t *g, size_t i)
{
	uint32_t silent = g->states[i].silent_probes;
	return silent && silent < CS_FORMATION_SILENT_PROBES &&
	       cs_fleet_find (v->fleet, g->members[i]);
}

static bool
is_any_unsure (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++)
		if (is_unsure (v, g, i))
			return true;
	return false;
}

/* Probes each listed member of a suspected group, and once more those that did not answer in the
 * last round. */
static void
probe_members (cs_form_view_t *v, cs_formation_group_t *g)
{
	bool is_probed = g->probe_rounds >= SUSPECT_ROUNDS;
	bool is_done = is_probed && !is_any_unsure (v, g);
	int64_t rest = is_done ? SUSPECT_HOLDOFF_MS : SUSPECT_PROBE_MS;
	if (!g->suspected_ms || v->now_ms - g->round_ms < rest)
		return;
	if (is_done) {
		g->suspected_ms = 0;
		return;
	}
	g->probe_rounds++;
	g->probed_ms = g->round_ms = v->now_ms;
	for (size_t i = 0; i < g->n; i++)
		if (is_probed ? is_unsure (v, g, i)
			      : cs_fleet_find (v->fleet, g->members[i]) != NULL)
			probe_member (v, g, i, "the group does not answer");
}

/* Probes unlisted members of an open group, which may still work. */
static void
probe_unlisted (cs_form_view_t *v, cs_formation_group_t *g)
{
	if (!g->any_unlisted || !g->opened || v->now_ms - g->probed_ms < UNLISTED_PROBE_MS)
		return;
	g->probed_ms = v->now_ms;
	for (size_t i = 1; i < g->n; i++)
		if (g->states[i].is_unlisted)
			probe_member (v, g, i, "the member is unlisted");
}

static void
reconcile_complete (cs_form_view_t *v, cs_formation_group_t *g, const cs_serving_service_t *service)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	size_t ready = 0;
	if (g->adopted) {
		probe_members (v, g);
		return;
	}
	for (size_t i = 0; i < g->n; i++) {
		join_member (v, g, i, service);
		ready += cs_formation_has_ready (g, cs_fleet_find (v->fleet, g->members[i]));
	}
	probe_members (v, g);
	probe_unlisted (v, g);
	if (v->f->disabled & CS_FORMATION_NO_READY_CHECK)
		ready = g->n;
	if (ready == g->n && head && head->epoch == g->epoch && head->state == CS_MEMBERSHIP_READY)
		open_head (v, g, head);
}

/* True if the close is to wait for requests in progress: a draining member completes them, but with
 * a member unlisted or silent they can't complete. */
static bool
waits_for_requests (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++)
		if (!cs_fleet_find (v->fleet, g->members[i]) || g->states[i].silent_probes)
			return false;
	return g->given_up || v->now_ms - g->closing_since_ms < CLOSE_WAIT_MS;
}

static void
close_head (cs_form_view_t *v, cs_formation_group_t *g)
{
	if (g->close_sent_ms && v->now_ms - g->close_sent_ms < REPEAT_MS)
		return;
	if (!g->closing_since_ms)
		g->closing_since_ms = v->now_ms;
	g->close_sent_ms = v->now_ms;
	cs_form_action_t *a = cs_formation_add_action (
		v->f, CS_FORM_CLOSE,
		g->given_up ? "its members are for another model" : "a member is lost");
	a->group = g;
	a->id = g->members[0];
	a->address = cs_formation_address (v, g->members[0]);
	a->abort_requests = !waits_for_requests (v, g);
}

/* True if the head does not answer probes, or can't be probed as its address is not known. */
static bool
is_out_of_reach (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	return g->states[0].silent_probes >= CS_FORMATION_SILENT_PROBES ||
	       !cs_formation_address (v, g->members[0]);
}

/* True if the list still shows the head serving when an order to close would show effect: it may
 * not have reached the head. */
static bool
is_close_unanswered (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	int64_t since_ms = g->closing_since_ms > g->states[0].answered_ms
				   ? g->closing_since_ms
				   : g->states[0].answered_ms;
	return v->now_ms - since_ms >= REPEAT_MS && v->now_ms - g->probed_ms >= UNLISTED_PROBE_MS;
}

/* True if the member, but for the head, is listed in the group, or may have been told to leave it
 * by an earlier planner, and is not known to have left. */
static bool
is_staying (const cs_form_view_t *v, const cs_formation_group_t *g, size_t i)
{
	const cs_backend_t *m = cs_fleet_find (v->fleet, g->members[i]);
	bool may_have_left = g->abandoned && m && m->epoch < g->epoch;
	return i && m && (m->epoch == g->epoch || may_have_left) && !g->states[i].left_ms;
}

static size_t
count_staying (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	size_t n = 0;
	for (size_t i = 1; i < g->n; i++)
		n += is_staying (v, g, i);
	return n;
}

/* True if a member is to join a later group, and waits until this one's head is known to have
 * ended: that was known, until members were listed again after a partition. */
static bool
is_awaited (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	for (size_t i = 1; i < g->n; i++) {
		const cs_backend_t *m = cs_fleet_find (v->fleet, g->members[i]);
		const cs_formation_group_t *next = cs_formation_group_of (v->f, g->members[i]);
		if (m && next && next->epoch > g->epoch && m->epoch < next->epoch && !next->lost)
			return true;
	}
	return false;
}

static void
ask_daemons (cs_form_view_t *v, cs_formation_group_t *g)
{
	g->daemons_asked_ms = v->now_ms;
	cs_form_action_t *a =
		cs_formation_add_action (v->f, CS_FORM_ASK_DAEMONS, "the head does not answer");
	a->group = g;
	a->id = g->members[0];
	a->address = cs_formation_address (v, g->members[0]);
}

static void
record_abandonment (cs_form_view_t *v, cs_formation_group_t *g)
{
	cs_formation_t *f = v->f;
	f->abandoned = cs_grow ((void *)f->abandoned, &f->cap_abandoned, f->n_abandoned + 1,
				sizeof *f->abandoned);
	f->abandoned[f->n_abandoned++] = g;
}

static void
tell_to_leave (cs_form_view_t *v, cs_formation_group_t *g)
{
	for (size_t i = 1; i < g->n; i++) {
		const cs_backend_t *m = cs_fleet_find (v->fleet, g->members[i]);
		cs_formation_member_t *s = &g->states[i];
		if (!is_staying (v, g, i) || m->epoch != g->epoch || m->draining ||
		    (s->leave_sent_ms && v->now_ms - s->leave_sent_ms < REPEAT_MS))
			continue;
		s->leave_sent_ms = v->now_ms;
		cs_form_action_t *a =
			cs_formation_add_action (v->f, CS_FORM_LEAVE, "no daemon reaches the head");
		a->group = g;
		a->id = m->id;
		a->address = m->address;
	}
}

/* Probes the head and the members that may have to leave. */
static void
probe_silent (cs_form_view_t *v, cs_formation_group_t *g)
{
	if (v->now_ms - g->probed_ms < UNLISTED_PROBE_MS)
		return;
	g->probed_ms = v->now_ms;
	for (size_t i = 0; i < g->n; i++)
		if (!i || is_staying (v, g, i))
			probe_member (v, g, i, "the head does not answer");
}

/* A lost group is closed by its head. If no daemon reaches the head its members leave. */
static void
reconcile_lost (cs_form_view_t *v, cs_formation_group_t *g)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	bool listed_serving =
		head && head->epoch == g->epoch &&
		(head->state == CS_MEMBERSHIP_OPEN || head->state == CS_MEMBERSHIP_CLOSING);
	bool silent = is_out_of_reach (v, g);
	if ((listed_serving && !silent) || (!head && g->head_serves))
		close_head (v, g);
	if (g->released)
		return;
	if (head && !silent) {
		if (!listed_serving || is_close_unanswered (v, g))
			probe_head (v, g);
		return;
	}
	if (!count_staying (v, g) && !is_awaited (v, g))
		return;
	probe_silent (v, g);
	if (!silent || !cs_formation_others_answer (v, g) ||
	    v->now_ms - g->relisted_ms < ALL_RELISTED_MS)
		return;
	if (!g->daemons_asked_ms)
		ask_daemons (v, g);
	if (v->f->disabled & CS_FORMATION_NO_LEAVE)
		return;
	/* A planner that takes over has to know before anything leaves, and the ledger drops its
	 * records after a while. */
	if (!g->abandoned_ms || v->now_ms - g->abandoned_ms >= ABANDON_FRESH_MS)
		record_abandonment (v, g);
	else if (cs_formation_is_unreached (v, g))
		tell_to_leave (v, g);
}

void
cs_formation_reconcile (cs_form_view_t *v)
{
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		const cs_serving_service_t *service =
			cs_serving_find_service (v->serving, g->service);
		if (!service)
			continue;
		if (!g->lost && !g->opened && v->now_ms - g->created_ms > FORM_TIMEOUT_MS)
			g->lost = g->released = true;
		if (g->lost)
			reconcile_lost (v, g);
		else
			reconcile_complete (v, g, service);
	}
}
