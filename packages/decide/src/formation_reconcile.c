/* Reconciles existing groups: joins, opens, closes and probes their members. */
#include <string.h>

#include "formation_impl.h"

enum {
	REPEAT_MS = 1500,       /* an order without visible effect is resent; the list lags 0.8 s */
	CLOSE_WAIT_MS = 4000,   /* after that the requests of a closing group are cancelled */
	SUSPECT_PROBE_MS = 200, /* between the rounds of probes of a suspected group */
	SUSPECT_ROUNDS = CS_FORMATION_SILENT_PROBES,
	SUSPECT_HOLDOFF_MS = 2000, /* pause after a group was found healthy */
	RELISTED_MS = 4000, /* three heartbeats: by then the other back ends of a partition that has
			       healed are listed as well */

	HEAD_PROBE_MS = 200,
	UNLISTED_PROBE_MS = 500, /* between two probes of unlisted members */
	FORM_TIMEOUT_MS = 30000  /* unready groups are abandoned: a load takes 16 s */
};

/* False if the back end is a member, but not the head, of an older group whose head may still be
 * open: it has to wait for that head. */
static bool
may_join (const cs_form_view_t *v, const cs_formation_group_t *group, const char *id)
{
	cs_formation_group_t *b, *next;
	HASH_ITER (hh, v->f->groups, b, next) {
		if (b->epoch >= group->epoch || b->released || !(b->opened || b->inherited))
			continue;
		for (size_t i = 0; i < b->n; i++)
			if (!strcmp (b->members[i], id) && strcmp (b->members[0], id) != 0)
				return false;
	}
	return true;
}

static bool
needs_load (const cs_formation_group_t *b, const cs_backend_t *m)
{
	return strcmp (m->model, b->model) != 0 && strcmp (m->staged, b->model) != 0;
}

static void
probe_member (cs_form_view_t *v, const cs_formation_group_t *b, size_t i, const char *reason)
{
	const cs_backend_t *m = cs_fleet_find (v->fleet, b->members[i]);
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_PROBE, reason);
	a->group = b;
	a->id = b->members[i];
	a->address = m ? m->address : NULL;
}

/* The older group that the back end may still lead; NULL: none. */
static cs_formation_group_t *
older_group_led_by (const cs_form_view_t *v, const cs_formation_group_t *group, const char *id)
{
	cs_formation_group_t *b, *next;
	HASH_ITER (hh, v->f->groups, b, next) {
		if (b->epoch < group->epoch && !b->released && (b->opened || b->inherited) &&
		    !strcmp (b->members[0], id))
			return b;
	}
	return NULL;
}

/* Probes the head to verify that it is closed and takes no orders. */
static void
probe_head (cs_form_view_t *v, cs_formation_group_t *b)
{
	if (v->now_ms - b->probed_ms < HEAD_PROBE_MS)
		return;
	b->probed_ms = v->now_ms;
	probe_member (v, b, 0, "verifying that the head is closed");
}

/* True if recent probes show the older group's head closed, else probes it: a late order might open
 * it, so it is moved only on a recent probe. */
static bool
verify_head_closed (cs_form_view_t *v, cs_formation_group_t *old)
{
	if (cs_formation_head_is_closed (v, old))
		return true;
	probe_head (v, old);
	return false;
}

static void
join_member (cs_form_view_t *v, cs_formation_group_t *b, size_t i,
	     const cs_serving_service_t *service)
{
	const cs_backend_t *m = cs_fleet_find (v->fleet, b->members[i]);
	if (!m || m->epoch >= b->epoch)
		return;
	if (b->join_sent_ms[i] && v->now_ms - b->join_sent_ms[i] < REPEAT_MS)
		return;
	if (!may_join (v, b, b->members[i]))
		return;
	cs_formation_group_t *old = older_group_led_by (v, b, b->members[i]);
	if (old && !(v->f->disabled & CS_FORMATION_NO_SEQUENCE_CHECK) &&
	    !verify_head_closed (v, old))
		return;
	if (!b->join_sent_ms[i] && needs_load (b, m) && !cs_formation_take_load_token (v, service))
		return;
	b->join_sent_ms[i] = v->now_ms;
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_JOIN, "assigned");
	a->group = b;
	a->id = m->id;
	a->address = m->address;
	a->model = b->model;
	if (!old || (v->f->disabled & CS_FORMATION_NO_SEQUENCE_CHECK))
		return;
	a->expects_sequence = true;
	a->sequence = old->sequence;
	old->closed_since_ms = 0;
}

static void
open_head (cs_form_view_t *v, cs_formation_group_t *b, const cs_backend_t *head)
{
	if (b->opened && v->now_ms - b->open_sent_ms < REPEAT_MS)
		return;
	if (b->open_unanswered)
		b->pending_open_ms = b->open_sent_ms;
	b->opened = true;
	b->open_sent_ms = v->now_ms;
	b->open_unanswered = true;
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_OPEN, "all members ready");
	a->group = b;
	a->id = head->id;
	a->address = head->address;
}

/* Probes each listed member of a suspected group. */
static void
probe_members (cs_form_view_t *v, cs_formation_group_t *b)
{
	int64_t rest = b->probe_rounds >= SUSPECT_ROUNDS ? SUSPECT_HOLDOFF_MS : SUSPECT_PROBE_MS;
	if (!b->suspected_ms || v->now_ms - b->probed_ms < rest)
		return;
	if (b->probe_rounds >= SUSPECT_ROUNDS) {
		b->suspected_ms = 0;
		return;
	}
	b->probe_rounds++;
	b->probed_ms = v->now_ms;
	for (size_t i = 0; i < b->n; i++)
		if (cs_fleet_find (v->fleet, b->members[i]))
			probe_member (v, b, i, "the group does not answer");
}

/* Probes unlisted members of an open group, which may still work. */
static void
probe_unlisted (cs_form_view_t *v, cs_formation_group_t *b)
{
	if (!b->any_unlisted || !b->opened || v->now_ms - b->probed_ms < UNLISTED_PROBE_MS)
		return;
	b->probed_ms = v->now_ms;
	for (size_t i = 1; i < b->n; i++)
		if (b->is_unlisted[i])
			probe_member (v, b, i, "the member is unlisted");
}

static void
reconcile_complete (cs_form_view_t *v, cs_formation_group_t *b, const cs_serving_service_t *service)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	size_t ready = 0;
	if (b->adopted) {
		probe_members (v, b);
		return;
	}
	for (size_t i = 0; i < b->n; i++) {
		join_member (v, b, i, service);
		ready += cs_formation_has_ready (b, cs_fleet_find (v->fleet, b->members[i]));
	}
	probe_members (v, b);
	probe_unlisted (v, b);
	if (v->f->disabled & CS_FORMATION_NO_READY_CHECK)
		ready = b->n;
	if (ready == b->n && head && head->epoch == b->epoch && head->state == CS_MEMBER_READY)
		open_head (v, b, head);
}

/* True if the close is to wait for requests in progress: a draining member completes them, but with
 * a member unlisted or silent they can't complete. */
static bool
waits_for_requests (const cs_form_view_t *v, const cs_formation_group_t *b)
{
	for (size_t i = 0; i < b->n; i++)
		if (!cs_fleet_find (v->fleet, b->members[i]) || b->silent_probes[i])
			return false;
	return v->now_ms - b->closing_since_ms < CLOSE_WAIT_MS;
}

/* head is NULL if the head is unlisted but answers probes. */
static void
close_head (cs_form_view_t *v, cs_formation_group_t *b, const cs_backend_t *head)
{
	if (b->close_sent_ms && v->now_ms - b->close_sent_ms < REPEAT_MS)
		return;
	if (!b->closing_since_ms)
		b->closing_since_ms = v->now_ms;
	b->close_sent_ms = v->now_ms;
	cs_form_action_t *a = cs_formation_add_action (v->f, CS_FORM_CLOSE, "a member is lost");
	a->group = b;
	a->id = b->members[0];
	a->address = head ? head->address : NULL;
	a->abort_requests = !waits_for_requests (v, b);
}

static void
reconcile_lost (cs_form_view_t *v, cs_formation_group_t *b)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	bool serves = head && head->epoch == b->epoch &&
		      (head->state == CS_MEMBER_OPEN || head->state == CS_MEMBER_CLOSING);
	if (serves || (!head && b->head_serves))
		close_head (v, b, head);
	if (head && !serves && !b->released)
		probe_head (v, b);
	if (head || b->released || v->now_ms - b->probed_ms < UNLISTED_PROBE_MS)
		return;
	b->probed_ms = v->now_ms;
	for (size_t i = 0; i < b->n; i++)
		if (!i || cs_fleet_find (v->fleet, b->members[i]))
			probe_member (v, b, i, "the head is unlisted");
	if (b->daemons_asked_ms || b->silent_probes[0] < CS_FORMATION_SILENT_PROBES ||
	    !cs_formation_others_answer (v, b) || v->now_ms - b->relisted_ms < RELISTED_MS)
		return;
	b->daemons_asked_ms = v->now_ms;
	cs_form_action_t *a =
		cs_formation_add_action (v->f, CS_FORM_ASK_DAEMONS, "the head is unlisted");
	a->group = b;
	a->id = b->members[0];
}

void
cs_formation_reconcile (cs_form_view_t *v)
{
	cs_formation_group_t *b, *next;
	HASH_ITER (hh, v->f->groups, b, next) {
		const cs_serving_service_t *service = cs_serving_service (v->serving, b->service);
		if (!service)
			continue;
		if (!b->lost && !b->opened && v->now_ms - b->created_ms > FORM_TIMEOUT_MS)
			b->lost = b->released = true;
		if (b->lost)
			reconcile_lost (v, b);
		else
			reconcile_complete (v, b, service);
	}
}
