/* Reconciles existing groups: joins, opens, closes and probes their members. */
#include <string.h>

#include "formation_impl.h"

enum {
	REPEAT_MS =
		1500, /* an order without visible effect is sent again; the list lags by 0.8 s */
	CLOSE_WAIT_MS = 4000,   /* after that the requests of a closing group are cancelled */
	SUSPECT_PROBE_MS = 200, /* between the rounds of probes of a suspected group */
	SUSPECT_ROUNDS = CS_FORMATION_SILENT_PROBES,
	SUSPECT_REST_MS = 2000, /* a group that was found healthy is not probed again before that */
	RELISTED_MS = 4000, /* three heartbeats: by then the other back ends of a partition that has
			       healed are listed as well */

	CHECK_PROBE_MS = 200,
	PROBE_MS = 500, /* between two probes of unlisted members */
	FORM_PATIENCE_MS =
		30000 /* a group that is not ready by then is abandoned: a load takes 16 s */
};

/* False if the back end is a member, but not the head, of an older group whose head may still be
 * open: it has to wait for that head. */
static bool
may_join (const cs_form_view_t *v, const cs_band_t *band, const char *id)
{
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next) {
		if (b->epoch >= band->epoch || b->released || !(b->opened || b->inherited))
			continue;
		for (size_t i = 0; i < b->n; i++)
			if (!strcmp (b->members[i], id) && strcmp (b->members[0], id) != 0)
				return false;
	}
	return true;
}

static bool
needs_load (const cs_band_t *b, const cs_backend_t *m)
{
	return strcmp (m->model, b->model) != 0 && strcmp (m->staged, b->model) != 0;
}

static void
probe (cs_form_view_t *v, const cs_band_t *b, size_t i, const char *reason)
{
	const cs_backend_t *m = cs_fleet_find (v->fleet, b->members[i]);
	cs_form_action_t *a = cs_formation_act (v->f, CS_FORM_PROBE, reason);
	a->band = b;
	a->id = b->members[i];
	a->address = m ? m->address : NULL;
}

/* The older group that the back end may still lead; NULL: none. */
static cs_band_t *
led_before (const cs_form_view_t *v, const cs_band_t *band, const char *id)
{
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next) {
		if (b->epoch < band->epoch && !b->released && (b->opened || b->inherited) &&
		    !strcmp (b->members[0], id))
			return b;
	}
	return NULL;
}

/* Probes the head to verify that it is closed and takes no orders. */
static void
check (cs_form_view_t *v, cs_band_t *b)
{
	if (v->now_ms - b->probed_ms < CHECK_PROBE_MS)
		return;
	b->probed_ms = v->now_ms;
	probe (v, b, 0, "is it closed?");
}

/* True if recent probes show the older group's head closed, else probes it: a late order might open
 * it, so it is moved only on a recent probe. */
static bool
is_checked (cs_form_view_t *v, cs_band_t *old)
{
	if (cs_band_is_checked (v, old))
		return true;
	check (v, old);
	return false;
}

static void
join (cs_form_view_t *v, cs_band_t *b, size_t i, const cs_serving_service_t *service)
{
	const cs_backend_t *m = cs_fleet_find (v->fleet, b->members[i]);
	if (!m || m->epoch >= b->epoch)
		return;
	if (b->joined_ms[i] && v->now_ms - b->joined_ms[i] < REPEAT_MS)
		return;
	if (!may_join (v, b, b->members[i]))
		return;
	cs_band_t *old = led_before (v, b, b->members[i]);
	if (old && !(v->f->disabled & CS_FORMATION_NO_EXPECTATION) && !is_checked (v, old))
		return;
	if (!b->joined_ms[i] && needs_load (b, m) && !cs_formation_may_load (v, service))
		return;
	b->joined_ms[i] = v->now_ms;
	cs_form_action_t *a = cs_formation_act (v->f, CS_FORM_JOIN, "assigned");
	a->band = b;
	a->id = m->id;
	a->address = m->address;
	a->model = b->model;
	if (!old || (v->f->disabled & CS_FORMATION_NO_EXPECTATION))
		return;
	a->expects = true;
	a->sequence = old->sequence;
	old->closed_since_ms = 0;
}

static void
open_head (cs_form_view_t *v, cs_band_t *b, const cs_backend_t *head)
{
	if (b->opened && v->now_ms - b->opened_ms < REPEAT_MS)
		return;
	if (b->open_unanswered)
		b->doubt_ms = b->opened_ms;
	b->opened = true;
	b->opened_ms = v->now_ms;
	b->open_unanswered = true;
	cs_form_action_t *a = cs_formation_act (v->f, CS_FORM_OPEN, "all members ready");
	a->band = b;
	a->id = head->id;
	a->address = head->address;
}

/* Probes each listed member of a suspected group. */
static void
probe_members (cs_form_view_t *v, cs_band_t *b)
{
	int64_t rest = b->probes >= SUSPECT_ROUNDS ? SUSPECT_REST_MS : SUSPECT_PROBE_MS;
	if (!b->suspected_ms || v->now_ms - b->probed_ms < rest)
		return;
	if (b->probes >= SUSPECT_ROUNDS) {
		b->suspected_ms = 0;
		return;
	}
	b->probes++;
	b->probed_ms = v->now_ms;
	for (size_t i = 0; i < b->n; i++)
		if (cs_fleet_find (v->fleet, b->members[i]))
			probe (v, b, i, "its group does not answer");
}

/* Probes unlisted members of an open group, which may still work. */
static void
probe_unlisted (cs_form_view_t *v, cs_band_t *b)
{
	if (!b->unlisted || !b->opened || v->now_ms - b->probed_ms < PROBE_MS)
		return;
	b->probed_ms = v->now_ms;
	for (size_t i = 1; i < b->n; i++)
		if (b->missing[i])
			probe (v, b, i, "it is unlisted");
}

static void
tend_whole (cs_form_view_t *v, cs_band_t *b, const cs_serving_service_t *service)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	size_t ready = 0;
	if (b->adopted) {
		probe_members (v, b);
		return;
	}
	for (size_t i = 0; i < b->n; i++) {
		join (v, b, i, service);
		ready += cs_band_has_ready (b, cs_fleet_find (v->fleet, b->members[i]));
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
waits_for_work (const cs_form_view_t *v, const cs_band_t *b)
{
	for (size_t i = 0; i < b->n; i++)
		if (!cs_fleet_find (v->fleet, b->members[i]) || b->silent[i])
			return false;
	return v->now_ms - b->closing_since_ms < CLOSE_WAIT_MS;
}

/* head is NULL if the head is unlisted but answers probes. */
static void
close_head (cs_form_view_t *v, cs_band_t *b, const cs_backend_t *head)
{
	if (b->closed_ms && v->now_ms - b->closed_ms < REPEAT_MS)
		return;
	if (!b->closing_since_ms)
		b->closing_since_ms = v->now_ms;
	b->closed_ms = v->now_ms;
	cs_form_action_t *a = cs_formation_act (v->f, CS_FORM_CLOSE, "a member is lost");
	a->band = b;
	a->id = b->members[0];
	a->address = head ? head->address : NULL;
	a->cut = !waits_for_work (v, b);
}

static void
tend_lost (cs_form_view_t *v, cs_band_t *b)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	bool serves = head && head->epoch == b->epoch &&
		      (head->state == CS_MEMBER_OPEN || head->state == CS_MEMBER_CLOSING);
	if (serves || (!head && b->head_serves))
		close_head (v, b, head);
	if (head && !serves && !b->released)
		check (v, b);
	if (head || b->released || v->now_ms - b->probed_ms < PROBE_MS)
		return;
	b->probed_ms = v->now_ms;
	for (size_t i = 0; i < b->n; i++)
		if (!i || cs_fleet_find (v->fleet, b->members[i]))
			probe (v, b, i, "the head is unlisted");
	if (b->asked_ms || b->silent[0] < CS_FORMATION_SILENT_PROBES ||
	    !cs_band_others_answer (v, b) || v->now_ms - b->relisted_ms < RELISTED_MS)
		return;
	b->asked_ms = v->now_ms;
	cs_form_action_t *a = cs_formation_act (v->f, CS_FORM_ASK, "the head is unlisted");
	a->band = b;
	a->id = b->members[0];
}

void
cs_formation_tend (cs_form_view_t *v)
{
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next) {
		const cs_serving_service_t *service = cs_serving_service (v->serving, b->service);
		if (!service)
			continue;
		if (!b->lost && !b->opened && v->now_ms - b->made_ms > FORM_PATIENCE_MS)
			b->lost = b->released = true;
		if (b->lost)
			tend_lost (v, b);
		else
			tend_whole (v, b, service);
	}
}
