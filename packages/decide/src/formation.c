#include "formation_impl.h"

#include <stdlib.h>
#include <string.h>

#include "cs/bucket.h"

cs_band_t *
cs_band_new (uint64_t epoch, const char *name, const char *service, const char *model,
	     const char *const *members, size_t n)
{
	cs_band_t *b = cs_alloc (sizeof *b);
	b->epoch = epoch;
	b->name = cs_str_dup (cs_str (name));
	b->service = cs_str_dup (cs_str (service));
	b->model = cs_str_dup (cs_str (model));
	b->members = cs_alloc (n * sizeof *b->members);
	b->joined_ms = cs_alloc (n * sizeof *b->joined_ms);
	b->missing = cs_alloc (n * sizeof *b->missing);
	b->missing_ms = cs_alloc (n * sizeof *b->missing_ms);
	b->silent = cs_alloc (n * sizeof *b->silent);
	b->answered_ms = cs_alloc (n * sizeof *b->answered_ms);
	b->n = n;
	for (size_t i = 0; i < n; i++)
		b->members[i] = cs_str_dup (cs_str (members[i]));
	return b;
}

void
cs_band_free (cs_band_t *b)
{
	for (size_t i = 0; i < b->n; i++)
		free (b->members[i]);
	free (b->members);
	free (b->joined_ms);
	free (b->missing);
	free (b->missing_ms);
	free (b->silent);
	free (b->answered_ms);
	free (b->name);
	free (b->service);
	free (b->model);
	free (b);
}

static void
forget_proposed (cs_formation_t *f)
{
	for (size_t i = 0; i < f->n_proposed; i++)
		cs_band_free (f->proposed[i]);
	free (f->proposed);
	f->proposed = NULL;
	f->n_proposed = 0;
}

static void
forget (cs_formation_t *f)
{
	cs_assignment_t *a, *next_a;
	cs_band_t *b, *next_b;
	cs_staging_t *s, *next_s;
	HASH_ITER (hh, f->assignments, a, next_a) {
		HASH_DEL (f->assignments, a);
		free (a->id);
		free (a->address);
		free (a);
	}
	HASH_ITER (hh, f->bands, b, next_b) {
		HASH_DEL (f->bands, b);
		cs_band_free (b);
	}
	HASH_ITER (hh, f->staging, s, next_s) {
		HASH_DEL (f->staging, s);
		free (s->id);
		free (s->model);
		free (s);
	}
	forget_proposed (f);
	f->n_actions = 0;
}

void
cs_formation_init (cs_formation_t *f)
{
	memset (f, 0, sizeof *f);
}

void
cs_formation_finish (cs_formation_t *f)
{
	forget (f);
	free (f->actions);
}

void
cs_formation_begin (cs_formation_t *f, int64_t now_ms, int64_t eager_until_ms)
{
	forget (f);
	f->started_ms = now_ms;
	f->loads_ms = now_ms;
	f->load_tokens = 0;
	f->eager_until_ms = eager_until_ms;
	f->caught_up = false;
}

void
cs_formation_caught_up (cs_formation_t *f)
{
	f->caught_up = true;
}

cs_band_t *
cs_formation_band_of (const cs_formation_t *f, const char *id)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	return a ? a->band : NULL;
}

const char *
cs_formation_address (const cs_formation_t *f, const char *id)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	return a ? a->address : NULL;
}

void
cs_formation_note_address (cs_formation_t *f, const cs_backend_t *b)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, b->id, a);
	if (!a || (a->address && !strcmp (a->address, b->address)))
		return;
	free (a->address);
	a->address = cs_str_dup (cs_str (b->address));
}

static void
assign (cs_formation_t *f, const char *id, cs_band_t *band)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	if (!a) {
		a = cs_alloc (sizeof *a);
		a->id = cs_str_dup (cs_str (id));
		HASH_ADD_KEYPTR (hh, f->assignments, a->id, strlen (a->id), a);
	}
	a->band = band;
}

void
cs_formation_fold (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *name,
		   const char *service, const char *model, const char *const *members, size_t n)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	if (b || !n)
		return;
	b = cs_band_new (epoch, name, service, model, members, n);
	b->made_ms = now_ms;
	if (!f->caught_up && !(f->disabled & CS_FORMATION_NO_INHERITANCE)) {
		/* An earlier planner may have sent an open order, and it may still be in flight. */
		b->inherited = true;
		b->opened_ms = now_ms;
		b->doubt_ms = now_ms;
	}
	HASH_ADD (hh, f->bands, epoch, sizeof b->epoch, b);
	for (size_t i = 0; i < n; i++) {
		const cs_band_t *before = cs_formation_band_of (f, members[i]);
		if (!before || before->epoch < epoch)
			assign (f, members[i], b);
	}
}

cs_form_action_t *
cs_formation_act (cs_formation_t *f, cs_form_kind_t kind, const char *reason)
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
cs_formation_note_staging (cs_form_view_t *v, const char *id, const char *model)
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
	HASH_FIND_STR (v->f->assignments, e->now->id, a);
	return a && a->down_ms && e->said_ms <= a->down_ms && v->now_ms - a->down_ms < DOWN_MS;
}

bool
cs_formation_may_load (cs_form_view_t *v, const cs_serving_service_t *service)
{
	enum {
		BURST_PERCENT = 125 /* of one second's loads: with the refill of five seconds this
				       stays within the platform's ceiling for five seconds */
	};
	cs_formation_t *f = v->f;
	double rate = service->loads_per_s;
	double burst = rate * BURST_PERCENT / 100.;
	v->loading++;
	if (v->now_ms < f->eager_until_ms)
		return true;
	f->load_tokens = cs_bucket_refill (f->load_tokens, rate, v->now_ms - f->loads_ms, burst);
	f->loads_ms = v->now_ms;
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
	forget_proposed (f);
	f->n_actions = 0;
	cs_formation_watch (&v);
	/* The previous planner may still send orders within its lease. */
	if (now_ms - f->started_ms < CS_FORMATION_TAKEOVER_MS && now_ms >= f->eager_until_ms)
		return;
	cs_formation_tend (&v);
	cs_formation_gather (&v);
}

void
cs_formation_opened (cs_formation_t *f, int64_t now_ms, uint64_t epoch, bool accepted)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	if (!b)
		return;
	b->open_unanswered = false;
	/* A refused order had no effect, but an earlier order may have had one. */
	b->opened |= accepted;
	if (accepted)
		b->accepted_ms = now_ms;
}

void
cs_formation_suspect (cs_formation_t *f, int64_t now_ms, uint64_t epoch)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	if (!b || b->suspected_ms)
		return;
	b->suspected_ms = now_ms;
	b->probes = 0;
}

void
cs_formation_witnessed (cs_formation_t *f, uint64_t epoch)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	if (!b)
		return;
	b->asked_ms = 0;
	b->silent[0] = 0;
	if (b->head_missing_ms)
		b->head_missing_ms = 0; /* the head is alive: restart the timeout */
}

static void
note_down (cs_formation_t *f, int64_t now_ms, const char *id)
{
	cs_assignment_t *a;
	HASH_FIND_STR (f->assignments, id, a);
	if (a)
		a->down_ms = now_ms;
}

static size_t
index_of (const cs_band_t *b, const char *id)
{
	size_t i = 0;
	while (i < b->n && strcmp (b->members[i], id) != 0)
		i++;
	return i;
}

/* Latest time at which a head that took the last open order begins to serve; 0: none was sent. */
static int64_t
opening_until_ms (const cs_band_t *b)
{
	int64_t taken_ms = b->accepted_ms > b->opened_ms ? b->accepted_ms : b->opened_ms;
	return taken_ms ? taken_ms + CS_FORMATION_OPENING_MS : 0;
}

bool
cs_band_in_doubt (const cs_formation_t *f, int64_t at_ms, const cs_band_t *b)
{
	if (f->disabled & CS_FORMATION_NO_LATE_OPENS)
		return false;
	if (at_ms < opening_until_ms (b))
		return true;
	if (b->open_unanswered && at_ms - b->opened_ms < CS_FORMATION_ORDER_LATE_MS)
		return true;
	return b->doubt_ms && at_ms - b->doubt_ms < CS_FORMATION_ORDER_LATE_MS;
}

static void
note_closed (cs_band_t *b, int64_t now_ms, bool closed, uint64_t sequence)
{
	if (!closed || sequence != b->sequence || !b->closed_since_ms)
		b->closed_since_ms = closed ? now_ms : 0;
	b->sequence = sequence;
	b->checked_ms = closed ? now_ms : 0;
}

/* Updates the state of an unlisted head from its probe. */
static void
probed_head (cs_band_t *b, cs_probe_t result, cs_member_state_t state)
{
	bool serves = state == CS_MEMBER_OPEN || state == CS_MEMBER_CLOSING;
	b->head_serves = result == CS_PROBE_MEMBER && serves;
	if (result == CS_PROBE_ENDED || result == CS_PROBE_MOVED)
		b->head_ended = true;
	else if (result == CS_PROBE_MEMBER)
		b->head_missing_ms = 0; /* the head is alive: restart the timeout */
}

void
cs_formation_probed (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *id,
		     cs_probe_t result, cs_member_state_t state, uint64_t sequence)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	size_t i = b ? index_of (b, id) : 0;
	if (!b || i == b->n)
		return;
	b->silent[i] = result == CS_PROBE_SILENT ? b->silent[i] + 1 : 0;
	b->answered_ms[i] = result != CS_PROBE_SILENT ? now_ms : 0;
	if (result == CS_PROBE_ENDED || b->silent[i] >= CS_FORMATION_SILENT_PROBES)
		note_down (f, now_ms, id);
	bool closed =
		result == CS_PROBE_MEMBER && state != CS_MEMBER_OPEN && state != CS_MEMBER_CLOSING;
	if (i == 0)
		note_closed (b, now_ms, closed, sequence);
	if (i == 0 && b->head_missing_ms)
		probed_head (b, result, state);
	else if (i == 0 && result == CS_PROBE_ENDED)
		b->head_ended = true;
}
