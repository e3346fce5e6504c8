/* New groups from free back ends of one domain. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "formation_impl.h"

enum {
	MAX_POOL = 512,      /* free back ends that are looked at in one plan */
	LIST_LAG_FACTOR = 2, /* loads that have ended are seen late: keep the weight store busy */
	LEARN_MS = 1500,     /* a planner that begins reads reports for so long first */
	MAX_NAME = 64
};

typedef struct {
	const cs_backend_t *backend;
	bool taken;
} candidate_t;

typedef struct {
	const cs_serving_service_t *service;
	candidate_t items[MAX_POOL]; /* by zone, domain and id */
	size_t n;
	size_t listed;
} pool_t;

static int
by_place (const void *a, const void *b)
{
	const cs_backend_t *x = ((const candidate_t *)a)->backend;
	const cs_backend_t *y = ((const candidate_t *)b)->backend;
	int c = strcmp (x->zone, y->zone);
	if (!c)
		c = strcmp (x->domain, y->domain);
	return c ? c : strcmp (x->id, y->id);
}

static bool
is_free (const cs_form_view_t *v, const cs_fleet_entry_t *e)
{
	const cs_band_t *b = cs_formation_band_of (v->f, e->now->id);
	if (e->lapsed_ms || e->now->draining)
		return false;
	return !b || b->released;
}

static void
fill (const cs_form_view_t *v, pool_t *p)
{
	p->n = p->listed = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));) {
		if (strcmp (e->now->service, p->service->name) != 0)
			continue;
		p->listed += !e->now->draining;
		if (p->n < MAX_POOL && is_free (v, e))
			p->items[p->n++] = (candidate_t){e->now, false};
	}
	qsort (p->items, p->n, sizeof *p->items, by_place);
}

/* Groups of the model that serve or form, in the zone or (zone NULL) everywhere. */
static double
count_groups (const cs_form_view_t *v, const pool_t *p, const char *model, const char *zone)
{
	double n = 0;
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next)
	{
		const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
		if (b->lost || strcmp (b->service, p->service->name) != 0 ||
		    strcmp (b->model, model) != 0 || !head)
			continue;
		n += !zone || !strcmp (head->zone, zone);
	}
	for (size_t i = 0; i < v->f->n_proposed; i++) {
		const cs_band_t *q = v->f->proposed[i];
		const cs_backend_t *head = cs_fleet_find (v->fleet, q->members[0]);
		if (!strcmp (q->service, p->service->name) && !strcmp (q->model, model))
			n += !zone || !strcmp (head->zone, zone);
	}
	return n;
}

static double
count_listed (const cs_form_view_t *v, const pool_t *p, const char *zone)
{
	double n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		n += !e->now->draining && !strcmp (e->now->service, p->service->name) &&
		     !strcmp (e->now->zone, zone);
	return n;
}

/* Share of the wanted groups of a model that is missing, in the zone and everywhere: each
 * zone serves on alone when it is cut off. */
static double
shortage (const cs_form_view_t *v, const pool_t *p, const cs_serving_model_t *m, const char *zone)
{
	double want_zone = m->share * count_listed (v, p, zone) / m->group_size;
	double want = m->share * (double)p->listed / m->group_size;
	if (want_zone <= 0. || want <= 0.)
		return 0.;
	return 1. - count_groups (v, p, m->name, zone) / want_zone + 1. -
	       count_groups (v, p, m->name, NULL) / want;
}

/* Time until the back end could be a ready member. */
static uint32_t
join_ms (const cs_backend_t *b, const cs_serving_model_t *m)
{
	enum {
		REJOIN_MS = 200 /* the platform: a join with the model of the last group */
	};
	if (!strcmp (b->model, m->name))
		return REJOIN_MS;
	return strcmp (b->staged, m->name) ? m->load_ms : m->warm_ms;
}

/* Chooses the members that are ready first; returns the time of the slowest. */
static uint32_t
choose (const pool_t *p, size_t from, size_t to, const cs_serving_model_t *m, size_t *chosen)
{
	uint32_t slowest = 0;
	bool used[MAX_POOL] = {false};
	for (uint32_t k = 0; k < m->group_size; k++) {
		size_t best = to;
		for (size_t i = from; i < to; i++) {
			if (p->items[i].taken || used[i])
				continue;
			if (best == to ||
			    join_ms (p->items[i].backend, m) < join_ms (p->items[best].backend, m))
				best = i;
		}
		used[best] = true;
		chosen[k] = best;
		uint32_t ms = join_ms (p->items[best].backend, m);
		slowest = ms > slowest ? ms : slowest;
	}
	return slowest;
}

static size_t
count_free (const pool_t *p, size_t from, size_t to)
{
	size_t n = 0;
	for (size_t i = from; i < to; i++)
		n += !p->items[i].taken;
	return n;
}

/* The model that is missing most among those that the domain's free back ends can form. */
static const cs_serving_model_t *
most_missing (const cs_form_view_t *v, const pool_t *p, size_t from, size_t to)
{
	const cs_serving_model_t *best = NULL;
	double most = 0.;
	size_t free = count_free (p, from, to);
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		if (!m->group_size || m->group_size > free || m->group_size > MAX_POOL)
			continue;
		double s = shortage (v, p, m, p->items[from].backend->zone);
		if (!best || s > most) {
			best = m;
			most = s;
		}
	}
	return best;
}

/* The former head of the members' last group leads again, so that it moves on first and
 * no late order can open the old group. */
static void
lead_by_former_head (const cs_form_view_t *v, const pool_t *p, size_t *chosen, size_t n)
{
	for (size_t i = 1; i < n; i++) {
		const char *id = p->items[chosen[i]].backend->id;
		const cs_band_t *b = cs_formation_band_of (v->f, id);
		if (!b || strcmp (b->members[0], id) != 0)
			continue;
		size_t first = chosen[0];
		chosen[0] = chosen[i];
		chosen[i] = first;
		return;
	}
}

static void
propose (cs_form_view_t *v, pool_t *p, const cs_serving_model_t *m, size_t *chosen)
{
	cs_formation_t *f = v->f;
	const char *ids[MAX_POOL];
	char name[MAX_NAME];
	lead_by_former_head (v, p, chosen, m->group_size);
	for (uint32_t i = 0; i < m->group_size; i++) {
		p->items[chosen[i]].taken = true;
		ids[i] = p->items[chosen[i]].backend->id;
	}
	/* A name is used once: the epoch, which makes it unique, is not known yet. */
	snprintf (name, sizeof name, "%.*s-%llx", MAX_NAME - 24, m->name,
		  (unsigned long long)(v->now_ms * 64 + (int64_t)f->n_proposed));
	f->proposed = cs_realloc (f->proposed, (f->n_proposed + 1) * sizeof *f->proposed);
	f->proposed[f->n_proposed++] =
		cs_band_new (0, name, p->service->name, m->name, ids, m->group_size);
	cs_formation_act (f, CS_FORM_APPEND, "free back ends of one domain")->band =
		f->proposed[f->n_proposed - 1];
}

static void
stage (cs_form_view_t *v, const pool_t *p, size_t from, size_t to)
{
	const cs_serving_model_t *largest = NULL;
	for (size_t i = 0; i < p->service->n_models; i++)
		if (!largest || p->service->models[i].group_size > largest->group_size)
			largest = &p->service->models[i];
	for (size_t i = from; i < to; i++) {
		const cs_backend_t *b = p->items[i].backend;
		if (p->items[i].taken || *b->staged || *b->model || !largest ||
		    b->state == CS_MEMBER_JOINING || cs_formation_band_of (v->f, b->id))
			continue;
		if (v->loading >= LIST_LAG_FACTOR * p->service->loads_at_once ||
		    !cs_formation_may_load (v, p->service))
			return;
		cs_form_action_t *a =
			cs_formation_act (v->f, CS_FORM_STAGE, "idle without weights");
		a->id = b->id;
		a->address = b->address;
		a->model = largest->name;
	}
}

static void
gather_domain (cs_form_view_t *v, pool_t *p, size_t from, size_t to)
{
	const cs_serving_model_t *m;
	size_t chosen[MAX_POOL];
	while ((m = most_missing (v, p, from, to))) {
		uint32_t ms = choose (p, from, to, m, chosen);
		if (ms >= m->load_ms && v->loading >= LIST_LAG_FACTOR * p->service->loads_at_once)
			return;
		if (ms >= m->load_ms)
			v->loading += m->group_size;
		propose (v, p, m, chosen);
	}
	stage (v, p, from, to);
}

void
cs_formation_gather (cs_form_view_t *v)
{
	if (v->now_ms - v->f->started_ms < LEARN_MS)
		return;
	for (size_t s = 0; s < v->serving->n_services; s++) {
		pool_t p = {.service = &v->serving->services[s]};
		if (!p.service->n_models)
			continue;
		fill (v, &p);
		for (size_t from = 0, to; from < p.n; from = to) {
			const cs_backend_t *first = p.items[from].backend;
			for (to = from + 1; to < p.n; to++)
				if (strcmp (p.items[to].backend->domain, first->domain) != 0 ||
				    strcmp (p.items[to].backend->zone, first->zone) != 0)
					break;
			gather_domain (v, &p, from, to);
		}
	}
}
