/* Gives up groups of one model, so that a large one of another can be formed in their domain. */
#include <stdlib.h>
#include <string.h>

#include "formation_pool.h"

enum {
	PAUSE_MS = 10000,   /* between two decisions */
	RESERVED_MS = 8000, /* a closing head completes its requests in 4 s, joins take 2 s */
	MAX_GIVEN = 16      /* groups, at once */
};

typedef struct {
	cs_formation_group_t *groups[MAX_GIVEN];
	size_t n;
	size_t members;
} given_t;

bool
cs_pool_is_reserved (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
		     const cs_serving_model_t *m)
{
	const cs_form_reserve_t *r = &v->f->reserve;
	const cs_backend_t *b = p->candidates[d->from].backend;
	return v->now_ms < r->until_ms && !strcmp (r->zone, b->zone) &&
	       !strcmp (r->domain, b->domain) && !strcmp (r->service, b->service) &&
	       strcmp (r->model, m->name) != 0;
}

static void
reserve (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
	 const cs_serving_model_t *m)
{
	cs_form_reserve_t *r = &v->f->reserve;
	const cs_backend_t *b = p->candidates[d->from].backend;
	cs_formation_clear_reserve (v->f);
	r->zone = cs_str_dup (cs_str (b->zone));
	r->domain = cs_str_dup (cs_str (b->domain));
	r->service = cs_str_dup (cs_str (b->service));
	r->model = cs_str_dup (cs_str (m->name));
	r->until_ms = v->now_ms + RESERVED_MS;
}

/* True if a group of the model forms in the zone. */
static bool
is_forming_in (const cs_form_view_t *v, const cs_pool_t *p, const cs_serving_model_t *m,
	       const char *zone)
{
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
		if (!g->lost && !g->seen_open && head && !strcmp (head->zone, zone) &&
		    !strcmp (g->service, p->service->name) && !strcmp (g->model, m->name))
			return true;
	}
	return false;
}

/* Number of groups of the model that the zone can spare: with known demand those beyond its part of
 * what that needs, else those without which it would not lack one. */
static double
count_spare (const cs_form_view_t *v, const cs_pool_t *p, const cs_serving_model_t *m,
	     const char *zone)
{
	double lacking_part;
	double need = v->f->demand ? cs_model_demand_need (v->f->demand, v->now_ms, p->service, m,
							   p->grouped, p->n_zones)
				   : -1;
	if (need >= 0)
		return cs_pool_count_groups (v, p, m->name, zone) - need / p->n_zones;
	return 0.499 - cs_pool_count_lacking (v, p, m, zone, CS_POOL_GROUPED, &lacking_part);
}

static bool
is_givable (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
	    const cs_formation_group_t *g)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	return !g->lost && !g->adopted && g->seen_open && head &&
	       !strcmp (g->service, p->service->name) &&
	       cs_pool_same_domain (head, p->candidates[d->from].backend);
}

/* Groups of another model that make room for one in the domain; none if there are too few. */
static given_t
choose_given (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
	      const cs_serving_model_t *lacking, const cs_serving_model_t *giver)
{
	given_t x = {.n = 0};
	double spare = count_spare (v, p, giver, cs_pool_zone (p, d));
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		if (d->free + x.members >= lacking->group_size)
			break;
		if (x.n == MAX_GIVEN || (double)x.n + 1 > spare ||
		    strcmp (g->model, giver->name) != 0 || !is_givable (v, p, d, g))
			continue;
		x.groups[x.n++] = g;
		x.members += g->n;
	}
	return d->free + x.members >= lacking->group_size ? x : (given_t){.n = 0};
}

static void
give_up_for (const cs_form_view_t *v, const cs_pool_t *p, const cs_serving_model_t *lacking,
	     const char *zone)
{
	given_t best = {.n = 0};
	const cs_domain_t *in = NULL;
	for (size_t i = 0; i < p->n_domains; i++) {
		const cs_domain_t *d = &p->domains[i];
		if (strcmp (cs_pool_zone (p, d), zone) != 0)
			continue;
		if (d->free >= lacking->group_size)
			return; /* it can be formed, and waits for a load */
		for (size_t k = 0; k < p->service->n_models; k++) {
			const cs_serving_model_t *m = &p->service->models[k];
			given_t x = {.n = 0};
			if (m->group_size && m->group_size < lacking->group_size)
				x = choose_given (v, p, d, lacking, m);
			if (!x.n || (in && x.n >= best.n))
				continue;
			best = x;
			in = d;
		}
	}
	if (!in)
		return;
	for (size_t i = 0; i < best.n; i++)
		best.groups[i]->given_up = best.groups[i]->lost = true;
	reserve (v, p, in, lacking);
	v->f->gave_up_ms = v->now_ms;
}

void
cs_pool_give_up_groups (const cs_form_view_t *v, const cs_pool_t *p, const char *zone)
{
	double lacking_part;
	if (!v->f->demand || !cs_serving_has_large_groups (p->service) || p->is_evacuating ||
	    v->now_ms < v->f->eager_until_ms)
		return;
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		if (m->group_size < CS_SERVING_LARGE_GROUP ||
		    (v->f->gave_up_ms && v->now_ms - v->f->gave_up_ms < PAUSE_MS) ||
		    cs_pool_count_lacking (v, p, m, zone, CS_POOL_GROUPED, &lacking_part) < 0.5 ||
		    is_forming_in (v, p, m, zone) || cs_pool_has_release_pending (v, p, m, zone))
			continue;
		give_up_for (v, p, m, zone);
	}
}
