/* Collects the candidates for new groups. */
#include <stdlib.h>
#include <string.h>

#include "formation_pool.h"

static int
compare_by_domain (const void *a, const void *b)
{
	const cs_backend_t *x = ((const cs_candidate_t *)a)->backend;
	const cs_backend_t *y = ((const cs_candidate_t *)b)->backend;
	int c = strcmp (x->zone, y->zone);
	if (!c)
		c = strcmp (x->domain, y->domain);
	return c ? c : strcmp (x->id, y->id);
}

bool
cs_pool_same_domain (const cs_backend_t *a, const cs_backend_t *b)
{
	return !strcmp (a->zone, b->zone) && !strcmp (a->domain, b->domain);
}

const char *
cs_pool_zone (const cs_pool_t *p, const cs_domain_t *d)
{
	return p->candidates[d->from].backend->zone;
}

/* A group of this planner that was never opened: its members may be reassigned at once. */
static bool
is_forming (const cs_formation_group_t *g)
{
	return !g->lost && !g->opened && !g->inherited;
}

/* Adds the back end if it is free, or a ready member of a group that is still forming. */
static void
add_candidate (const cs_form_view_t *v, cs_pool_t *p, const cs_fleet_entry_t *e)
{
	cs_formation_group_t *g = cs_formation_group_of (v->f, e->backend->id);
	cs_candidate_t c = {e->backend, NULL, false};
	if (e->expired_ms || e->backend->draining || cs_formation_is_down (v, e) ||
	    cs_formation_may_be_unknown_member (v, e->backend->id))
		return;
	if (g && !cs_formation_is_free (v, g, e->backend->id) && !g->head_listed_closed) {
		if (!is_forming (g) || !cs_formation_has_ready (g, e->backend))
			return;
		c.forming = g;
	}
	p->candidates[p->n++] = c;
}

static size_t
count_listed (const cs_form_view_t *v, const cs_pool_t *p, const cs_backend_t *like)
{
	size_t n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		n += !e->backend->draining && !strcmp (e->backend->service, p->service->name) &&
		     cs_pool_same_domain (e->backend, like);
	return n;
}

static void
split_domains (const cs_form_view_t *v, cs_pool_t *p)
{
	size_t to;
	p->n_domains = 0;
	for (size_t from = 0; from < p->n && p->n_domains < CS_POOL_MAX_DOMAINS; from = to) {
		const cs_backend_t *first = p->candidates[from].backend;
		cs_domain_t d = {.from = from, .listed = count_listed (v, p, first)};
		for (to = from; to < p->n; to++) {
			if (!cs_pool_same_domain (first, p->candidates[to].backend))
				break;
			d.free += !p->candidates[to].forming;
		}
		d.to = to;
		p->domains[p->n_domains++] = d;
	}
}

static bool
lists_in_evacuated (const cs_form_view_t *v, const cs_serving_service_t *service)
{
	if (!v->f->evacuation || !v->f->evacuation->n_evacuated)
		return false;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		if (!strcmp (e->backend->service, service->name) &&
		    cs_formation_is_evacuated (v, e->backend->zone))
			return true;
	return false;
}

void
cs_pool_fill (const cs_form_view_t *v, cs_pool_t *p)
{
	p->n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		if (!strcmp (e->backend->service, p->service->name) &&
		    p->n < CS_POOL_MAX_CANDIDATES)
			add_candidate (v, p, e);
	p->is_evacuating = lists_in_evacuated (v, p->service);
	qsort (p->candidates, p->n, sizeof *p->candidates, compare_by_domain);
	split_domains (v, p);
}
