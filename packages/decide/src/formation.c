#include "formation_impl.h"

#include <stdlib.h>
#include <string.h>

#include "cs/bucket.h"

enum {
	SUSPECTED_ANEW_MS = 1000 /* behind the last round of probes, which is answered in 350 ms */
};

cs_formation_group_t *
cs_formation_group_new (uint64_t epoch, const char *name, const char *service, const char *model,
			const char *const *members, size_t n)
{
	cs_formation_group_t *g = cs_alloc (sizeof *g);
	g->epoch = epoch;
	g->name = cs_str_dup (cs_str (name));
	g->service = cs_str_dup (cs_str (service));
	g->model = cs_str_dup (cs_str (model));
	g->members = cs_alloc (n * sizeof *g->members);
	g->states = cs_alloc (n * sizeof *g->states);
	g->n = n;
	for (size_t i = 0; i < n; i++)
		g->members[i] = cs_str_dup (cs_str (members[i]));
	return g;
}

void
cs_formation_group_free (cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++)
		free (g->members[i]);
	free (g->members);
	free (g->states);
	free (g->name);
	free (g->service);
	free (g->model);
	free (g);
}

static void
clear_proposed (cs_formation_t *f)
{
	for (size_t i = 0; i < f->n_proposed; i++)
		cs_formation_group_free (f->proposed[i]);
	free (f->proposed);
	f->proposed = NULL;
	f->n_proposed = 0;
}

void
cs_formation_clear_reserve (cs_formation_t *f)
{
	free (f->reserve.zone);
	free (f->reserve.domain);
	free (f->reserve.service);
	free (f->reserve.model);
	memset (&f->reserve, 0, sizeof f->reserve);
}

static void
clear_state (cs_formation_t *f)
{
	cs_assignment_t *a, *next_a;
	cs_formation_group_t *g, *next_b;
	cs_staging_t *s, *next_s;
	HASH_ITER (hh, f->assignments, a, next_a) {
		HASH_DEL (f->assignments, a);
		free (a->id);
		free (a->address);
		free (a);
	}
	HASH_ITER (hh, f->groups, g, next_b) {
		HASH_DEL (f->groups, g);
		cs_formation_group_free (g);
	}
	HASH_ITER (hh, f->staging, s, next_s) {
		HASH_DEL (f->staging, s);
		free (s->id);
		free (s->model);
		free (s);
	}
	clear_proposed (f);
	cs_formation_clear_reserve (f);
	f->gave_up_ms = 0;
	f->n_actions = f->n_abandoned = 0;
}

uint64_t
cs_formation_epoch (uint64_t era, uint64_t offset)
{
	enum {
		ERA_BITS = 21,
		OFFSET_BITS = 32
	};
	era &= (UINT64_C (1) << ERA_BITS) - 1;
	return (era << OFFSET_BITS) + offset + 1;
}

void
cs_formation_init (cs_formation_t *f)
{
	memset (f, 0, sizeof *f);
	f->stall_ms = CS_FORMATION_STALL_MS;
	f->load_window_ms = CS_FORMATION_LOAD_WINDOW_MS;
	f->load_overshoot = CS_FORMATION_LOAD_OVERSHOOT_PERCENT / 100.;
}

void
cs_formation_finish (cs_formation_t *f)
{
	clear_state (f);
	free (f->actions);
	free ((void *)f->abandoned);
}

void
cs_formation_start (cs_formation_t *f, int64_t now_ms, int64_t eager_until_ms)
{
	clear_state (f);
	f->started_ms = now_ms;
	f->tokens_updated_ms = now_ms;
	f->load_tokens = 0;
	f->eager_until_ms = eager_until_ms;
	f->caught_up = false;
}

void
cs_formation_caught_up (cs_formation_t *f)
{
	f->caught_up = true;
}

cs_formation_group_t *
cs_formation_group_of (const cs_formation_t *f, const char *id)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	return a ? a->group : NULL;
}

const char *
cs_formation_address (const cs_form_view_t *v, const char *id)
{
	const cs_backend_t *last = cs_fleet_last (v->fleet, id);
	cs_assignment_t *a;
	if (last)
		return last->address;
	HASH_FIND_STR (v->f->assignments, id, a);
	return a ? a->address : NULL;
}

void
cs_formation_learn_address (cs_formation_t *f, const char *id, const char *address)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	if (!a || !*address)
		return;
	free (a->address);
	a->address = cs_str_dup (cs_str (address));
}

static cs_assignment_t *
find_or_add_assignment (cs_formation_t *f, const char *id)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	if (a)
		return a;
	a = cs_alloc (sizeof *a);
	a->id = cs_str_dup (cs_str (id));
	HASH_ADD_KEYPTR (hh, f->assignments, a->id, strlen (a->id), a);
	return a;
}

static void
assign_member (cs_formation_t *f, const char *id, cs_formation_group_t *group)
{
	if (*id)
		find_or_add_assignment (f, id)->group = group;
}

/* True if this planner's last plan created the group. A planner whose lease has ended may append
 * records for a moment longer. */
static bool
is_proposed (const cs_formation_t *f, const cs_formation_group_t *g)
{
	for (size_t i = 0; i < f->n_proposed; i++) {
		const cs_formation_group_t *p = f->proposed[i];
		size_t same = 0;
		if (p->n != g->n || strcmp (p->name, g->name) != 0)
			continue;
		while (same < g->n && !strcmp (p->members[same], g->members[same]))
			same++;
		if (same == g->n)
			return true;
	}
	return false;
}

void
cs_formation_apply (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *name,
		    const char *service, const char *model, const char *const *members, size_t n)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	if (g && g->adopted)
		cs_formation_add_members (f, g, members, n);
	if (g || !n)
		return;
	g = cs_formation_group_new (epoch, name, service, model, members, n);
	g->created_ms = now_ms;
	if (!is_proposed (f, g) && !(f->disabled & CS_FORMATION_NO_INHERITANCE)) {
		/* Another planner may have sent an open order, and it may still be in flight. */
		g->inherited = true;
		g->open_sent_ms = now_ms;
		g->pending_open_ms = now_ms;
	}
	HASH_ADD (hh, f->groups, epoch, sizeof g->epoch, g);
	for (size_t i = 0; i < n; i++) {
		const cs_formation_group_t *before = cs_formation_group_of (f, members[i]);
		/* The planner that abandoned the group did not know all members: reports will tell.
		 */
		g->adopted |= !*members[i];
		if (!before || before->epoch < epoch)
			assign_member (f, members[i], g);
	}
}

void
cs_formation_abandon (cs_formation_t *f, int64_t now_ms, uint64_t epoch)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	if (!g)
		return;
	g->abandoned = true;
	g->abandoned_ms = f->caught_up ? now_ms : g->abandoned_ms;
}

void
cs_formation_set_model (cs_formation_group_t *g, const char *model, size_t n)
{
	if (!*g->model) {
		free (g->model);
		g->model = cs_str_dup (cs_str (model));
	}
	if (n <= g->n)
		return;
	g->members = cs_realloc (g->members, n * sizeof *g->members);
	g->states = cs_realloc (g->states, n * sizeof *g->states);
	memset (&g->states[g->n], 0, (n - g->n) * sizeof *g->states);
	for (; g->n < n; g->n++)
		g->members[g->n] = cs_str_dup (cs_str (""));
}

void
cs_formation_add_members (cs_formation_t *f, cs_formation_group_t *g, const char *const *members,
			  size_t n)
{
	for (size_t i = 0; i < n && i < g->n; i++) {
		const cs_formation_group_t *before = cs_formation_group_of (f, members[i]);
		if (*g->members[i] || !*members[i])
			continue;
		free (g->members[i]);
		g->members[i] = cs_str_dup (cs_str (members[i]));
		if (!before || before->epoch < g->epoch)
			assign_member (f, members[i], g);
	}
}

cs_form_action_t *
cs_formation_add_action (cs_formation_t *f, cs_form_kind_t kind, const char *reason)
{
	f->actions = cs_grow (f->actions, &f->cap_actions, f->n_actions + 1, sizeof *f->actions);
	cs_form_action_t *a = &f->actions[f->n_actions++];
	memset (a, 0, sizeof *a);
	a->kind = kind;
	a->reason = reason;
	return a;
}

const cs_staging_t *
cs_formation_staging (const cs_form_view_t *v, const cs_backend_t *b)
{
	enum {
		STAGING_MS = 30000 /* twice the longest load */
	};
	cs_staging_t *s;
	HASH_FIND_STR (v->f->staging, b->id, s);
	if (!s || v->now_ms - s->ordered_ms >= STAGING_MS || !strcmp (b->staged, s->model))
		return NULL;
	return s;
}

void
cs_formation_set_staging (cs_form_view_t *v, const char *id, const char *model)
{
	cs_staging_t *s;
	HASH_FIND_STR (v->f->staging, id, s);
	if (!s) {
		s = cs_alloc (sizeof *s);
		s->id = cs_str_dup (cs_str (id));
		HASH_ADD_KEYPTR (hh, v->f->staging, s->id, strlen (s->id), s);
	}
	free (s->model);
	s->model = cs_str_dup (cs_str (model));
	s->ordered_ms = v->now_ms;
}

bool
cs_formation_is_down (const cs_form_view_t *v, const cs_fleet_entry_t *e)
{
	enum {
		DOWN_MS = 6000 /* a back end that stays silent is unlisted by then */
	};
	cs_assignment_t *a;
	HASH_FIND_STR (v->f->assignments, e->backend->id, a);
	return a && a->down_ms && e->described_ms <= a->down_ms && v->now_ms - a->down_ms < DOWN_MS;
}

bool
cs_formation_is_evacuated (const cs_form_view_t *v, const char *zone)
{
	cs_evacuated_zone_t *z = NULL;
	if (v->f->evacuation)
		HASH_FIND_STR (v->f->evacuation->zones, zone, z);
	return z && z->is_evacuated;
}

/* Loads that may begin at once: with the refill of a window they stay within the platform's ceiling
 * for one, which is a share above the rate, and a few loads. */
static double
load_burst (const cs_formation_t *f, double rate)
{
	enum {
		BURST_PERCENT = 125, /* of one second's loads */
		CEILING_LOADS = 3
	};
	double window_s = (double)f->load_window_ms / 1000.;
	double usual = rate * BURST_PERCENT / 100.;
	double most = rate * window_s * (f->load_overshoot - 1.) + CEILING_LOADS;
	double burst = usual < most ? usual : most;
	return burst > 1. ? burst : 1.;
}

bool
cs_formation_take_load_token (cs_form_view_t *v, const cs_serving_service_t *service)
{
	cs_formation_t *f = v->f;
	double rate = service->loads_per_s;
	double burst = load_burst (f, rate);
	v->loading++;
	if (v->now_ms < f->eager_until_ms)
		return true;
	f->load_tokens =
		cs_bucket_refill (f->load_tokens, rate, v->now_ms - f->tokens_updated_ms, burst);
	f->tokens_updated_ms = v->now_ms;
	if (f->load_tokens < 1.)
		return false;
	f->load_tokens -= 1.;
	return true;
}

void
cs_formation_plan (cs_formation_t *f, int64_t now_ms, const cs_fleet_t *fleet,
		   const cs_serving_t *serving)
{
	cs_form_view_t v = {f, now_ms, fleet, serving, 0};
	clear_proposed (f);
	f->n_actions = f->n_abandoned = 0;
	cs_formation_update_groups (&v);
	/* The previous planner may still send orders within its lease. */
	if (now_ms - f->started_ms < CS_FORMATION_TAKEOVER_MS && now_ms >= f->eager_until_ms)
		return;
	cs_formation_reconcile (&v);
	cs_formation_propose_groups (&v);
}

void
cs_formation_open_answered (cs_formation_t *f, int64_t now_ms, uint64_t epoch, bool accepted)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	if (!g)
		return;
	g->open_unanswered = false;
	/* A refused order had no effect, but an earlier order may have had one. */
	g->opened |= accepted;
	if (accepted)
		g->open_accepted_ms = now_ms;
}

void
cs_formation_suspect (cs_formation_t *f, int64_t now_ms, uint64_t epoch)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	if (!g)
		return;
	/* Probes that were answered say nothing of what happened since. */
	bool is_probed = g->probe_rounds >= CS_FORMATION_SILENT_PROBES &&
			 now_ms - g->round_ms >= SUSPECTED_ANEW_MS;
	if (g->suspected_ms && !is_probed)
		return;
	g->suspected_ms = now_ms;
	g->probe_rounds = 0;
}

static void
mark_down (cs_formation_t *f, int64_t now_ms, const char *id)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	if (a)
		a->down_ms = now_ms;
}

static size_t
member_index (const cs_formation_group_t *g, const char *id)
{
	size_t i = 0;
	while (i < g->n && strcmp (g->members[i], id) != 0)
		i++;
	return i;
}

/* True if the group that a member left at left_ms need not be broken yet. */
static bool
may_stand_still (const cs_form_view_t *v, int64_t left_ms)
{
	return !(v->f->disabled & CS_FORMATION_NO_STALL) &&
	       v->now_ms - left_ms < v->f->stall_ms + CS_FORMATION_STALL_SLACK_MS;
}

/* True if a late open order may have found the head closed since its members left: it stands still
 * from then on. */
static bool
may_open_anew (const cs_form_view_t *v, const cs_formation_group_t *g)
{
	int64_t broken_if_open_ms = v->now_ms - v->f->stall_ms - CS_FORMATION_STALL_SLACK_MS;
	bool stayed_open = g->seen_open && !g->close_sent_ms;
	return !stayed_open && cs_formation_open_may_be_pending (v->f, broken_if_open_ms, g);
}

/* True if orders of the planner before may still take effect. */
static bool
may_have_older_orders (const cs_form_view_t *v)
{
	return !(v->f->disabled & CS_FORMATION_NO_LATE_JOINS) &&
	       v->now_ms - v->f->started_ms < CS_FORMATION_MAX_ORDER_DELAY_MS;
}

/* True if the member, which was not in the group when it was last seen, may be in it again: a join
 * takes effect late, at one that started anew under its id, and the head that stood still is whole
 * then. */
static bool
may_be_joined_anew (const cs_form_view_t *v, const cs_formation_member_t *m)
{
	bool is_recent =
		m->join_sent_ms && v->now_ms - m->join_sent_ms < CS_FORMATION_MAX_ORDER_DELAY_MS;
	return may_have_older_orders (v) ||
	       (is_recent && !(v->f->disabled & CS_FORMATION_NO_LATE_JOINS));
}

static bool
has_unknown_member (const cs_formation_group_t *g)
{
	for (size_t i = 0; i < g->n; i++)
		if (!*g->members[i])
			return true;
	return false;
}

bool
cs_formation_may_be_unknown_member (const cs_form_view_t *v, const char *id)
{
	cs_formation_group_t *g, *next;
	if (!may_have_older_orders (v) || cs_formation_group_of (v->f, id))
		return false;
	HASH_ITER (hh, v->f->groups, g, next) {
		if (g->adopted && !g->released && has_unknown_member (g))
			return true;
	}
	return false;
}

bool
cs_formation_is_free (const cs_form_view_t *v, const cs_formation_group_t *g, const char *id)
{
	size_t i = member_index (g, id);
	if (g->released)
		return true;
	/* The head itself moves as it was probed. */
	if (!g->lost || !i || i == g->n || !g->states[i].left_ms)
		return false;
	return !may_stand_still (v, g->states[i].left_ms) && !may_open_anew (v, g) &&
	       !may_be_joined_anew (v, &g->states[i]);
}

void
cs_formation_leave_answered (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *id)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	size_t i = g ? member_index (g, id) : 0;
	if (g && i < g->n && !g->states[i].left_ms)
		g->states[i].left_ms = now_ms;
}

void
cs_formation_head_reached (cs_formation_t *f, uint64_t epoch, const char *head, const char *address)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	if (!g)
		return;
	if (*head)
		cs_formation_add_members (f, g, &head, 1);
	cs_formation_learn_address (f, head, address);
	g->daemons_asked_ms = 0;
	g->states[0].silent_probes = 0;
	mark_down (f, 0, g->members[0]);
	if (g->head_unlisted_ms)
		g->head_unlisted_ms = 0; /* the head still runs: restart the timeout */
}

/* Latest time at which a head that took the last open order begins to serve; 0: none was sent. */
static int64_t
opening_until_ms (const cs_formation_group_t *g)
{
	int64_t taken_ms =
		g->open_accepted_ms > g->open_sent_ms ? g->open_accepted_ms : g->open_sent_ms;
	return taken_ms ? taken_ms + CS_FORMATION_OPENING_MS : 0;
}

bool
cs_formation_open_may_be_pending (const cs_formation_t *f, int64_t at_ms,
				  const cs_formation_group_t *g)
{
	if (f->disabled & CS_FORMATION_NO_LATE_OPENS)
		return false;
	if (at_ms < opening_until_ms (g))
		return true;
	if (g->open_unanswered && at_ms - g->open_sent_ms < CS_FORMATION_MAX_ORDER_DELAY_MS)
		return true;
	return g->pending_open_ms && at_ms - g->pending_open_ms < CS_FORMATION_MAX_ORDER_DELAY_MS;
}

static void
record_head_state (cs_formation_group_t *g, int64_t now_ms, bool closed, uint64_t sequence)
{
	if (!closed || sequence != g->sequence || !g->closed_since_ms)
		g->closed_since_ms = closed ? now_ms : 0;
	g->sequence = sequence;
	g->seen_closed_ms = closed ? now_ms : 0;
}

/* Updates the state of an unlisted head from its probe. */
static void
update_unlisted_head (cs_formation_group_t *g, cs_probe_t result, cs_membership_state_t state)
{
	bool serves = state == CS_MEMBERSHIP_OPEN || state == CS_MEMBERSHIP_CLOSING;
	g->head_serves = result == CS_PROBE_MEMBER && serves;
	if (result == CS_PROBE_ENDED || result == CS_PROBE_MOVED)
		g->head_ended = true;
	else if (result == CS_PROBE_MEMBER)
		g->head_unlisted_ms = 0; /* the head still runs: restart the timeout */
}

/* Records that a member belongs to the group or does not. What it says of its joining the group
 * before the group was lost counts no more. */
static void
record_membership (const cs_formation_group_t *g, cs_formation_member_t *m, int64_t now_ms,
		   cs_probe_t result)
{
	m->has_left = result != CS_PROBE_MEMBER;
	if (!m->has_left && now_ms - m->left_ms > CS_FORMATION_REPORT_LAG_MS)
		m->left_ms = 0;
	else if (m->has_left && g->lost && !m->left_ms)
		m->left_ms = now_ms;
}

void
cs_formation_record_probe (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *id,
			   cs_probe_t result, cs_membership_state_t state, uint64_t sequence)
{
	cs_formation_group_t *g;
	HASH_FIND (hh, f->groups, &epoch, sizeof epoch, g);
	size_t i = g ? member_index (g, id) : 0;
	if (!g || i == g->n)
		return;
	g->states[i].silent_probes = result == CS_PROBE_SILENT ? g->states[i].silent_probes + 1 : 0;
	g->states[i].answered_ms = result != CS_PROBE_SILENT ? now_ms : 0;
	if (result != CS_PROBE_SILENT)
		record_membership (g, &g->states[i], now_ms, result);
	if (result == CS_PROBE_ENDED || g->states[i].silent_probes >= CS_FORMATION_SILENT_PROBES)
		mark_down (f, now_ms, id);
	/* A head that has started anew under its id knows nothing of the group. */
	bool closed = (result == CS_PROBE_MEMBER || result == CS_PROBE_MOVED) &&
		      state != CS_MEMBERSHIP_OPEN && state != CS_MEMBERSHIP_CLOSING;
	if (i == 0)
		record_head_state (g, now_ms, closed, sequence);
	if (i == 0 && result != CS_PROBE_SILENT)
		g->daemons_asked_ms = 0;
	if (i == 0 && g->head_unlisted_ms)
		update_unlisted_head (g, result, state);
	else if (i == 0 && result == CS_PROBE_ENDED)
		g->head_ended = true;
}
