#include "formation_impl.h"

#include <stdlib.h>
#include <string.h>

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
	HASH_ITER (hh, f->assignments, a, next_a)
	{
		HASH_DEL (f->assignments, a);
		free (a->id);
		free (a->address);
		free (a);
	}
	HASH_ITER (hh, f->bands, b, next_b)
	{
		HASH_DEL (f->bands, b);
		cs_band_free (b);
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
cs_formation_begin (cs_formation_t *f, int64_t now_ms)
{
	forget (f);
	f->started_ms = now_ms;
	f->loads_ms = now_ms;
	f->load_tokens = 0;
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

bool
cs_formation_may_load (cs_form_view_t *v, const cs_serving_service_t *service)
{
	cs_formation_t *f = v->f;
	double rate = service->loads_per_s;
	f->load_tokens += rate * (double)(v->now_ms - f->loads_ms) / 1000.;
	if (f->load_tokens > rate)
		f->load_tokens = rate;
	f->loads_ms = v->now_ms;
	if (f->load_tokens < 1.)
		return false;
	f->load_tokens -= 1.;
	v->loading++;
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
	cs_formation_tend (&v);
	cs_formation_gather (&v);
}

void
cs_formation_opened (cs_formation_t *f, uint64_t epoch, bool accepted)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	if (!b)
		return;
	b->open_unanswered = false;
	/* A refused order had no effect, but an earlier one may have had. */
	b->opened |= accepted;
}

void
cs_formation_probed (cs_formation_t *f, uint64_t epoch, bool ended, cs_member_state_t state)
{
	cs_band_t *b;
	HASH_FIND (hh, f->bands, &epoch, sizeof epoch, b);
	if (!b)
		return;
	b->head_ended = ended;
	if (!ended && (state == CS_MEMBER_OPEN || state == CS_MEMBER_CLOSING))
		b->head_missing_ms = 0; /* it lives and serves: the silence begins anew */
	else if (!ended && !b->open_unanswered)
		b->head_ended = state != CS_MEMBER_JOINING;
}
