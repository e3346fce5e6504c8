/* Counts the groups that a zone has and lacks of each model. */
#include <string.h>

#include "formation_pool.h"

static bool
is_group_of (const cs_form_view_t *v, const cs_formation_group_t *g, const cs_pool_t *p,
	     const char *model, const char *zone)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	return !g->lost && head && !strcmp (g->service, p->service->name) &&
	       !strcmp (g->model, model) && (!zone || !strcmp (head->zone, zone));
}

double
cs_pool_count_groups (const cs_form_view_t *v, const cs_pool_t *p, const char *model,
		      const char *zone)
{
	double n = 0;
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		n += is_group_of (v, g, p, model, zone);
	}
	for (size_t i = 0; i < v->f->n_proposed; i++)
		n += is_group_of (v, v->f->proposed[i], p, model, zone);
	return n;
}

/* Back ends of the zone, or of all zones if it is NULL, to divide among the models. */
static double
count_listed (const cs_form_view_t *v, const cs_pool_t *p, const char *zone)
{
	double n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		n += !e->backend->draining && !strcmp (e->backend->service, p->service->name) &&
		     (!zone || !strcmp (e->backend->zone, zone));
	return n;
}

static uint32_t
count_zones (const cs_pool_t *p)
{
	uint32_t n = 0;
	for (size_t i = 0; i < p->n_domains; i++)
		n += !i || strcmp (cs_pool_zone (p, &p->domains[i]),
				   cs_pool_zone (p, &p->domains[i - 1])) != 0;
	return n;
}

void
cs_pool_update_demand (const cs_form_view_t *v, cs_pool_t *p)
{
	p->grouped = count_listed (v, p, NULL) * CS_POOL_GROUPED;
	p->n_zones = count_zones (p);
	p->moved_to = NULL;
	if (!v->f->demand)
		return;
	/* Zones whose back ends are all in groups have no candidates. */
	p->n_zones = p->n_zones > v->f->n_zones ? p->n_zones : v->f->n_zones;
	v->f->n_zones = p->n_zones;
	cs_model_demand_update (v->f->demand, v->now_ms, p->service, p->grouped, p->n_zones);
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		if (cs_model_demand_share (v->f->demand, p->service, m, p->grouped) > m->share)
			p->moved_to = m;
	}
}

double
cs_pool_count_lacking (const cs_form_view_t *v, const cs_pool_t *p, const cs_serving_model_t *m,
		       const char *zone, double grouped, double *lacking_part)
{
	double share = cs_model_demand_share (v->f->demand, p->service, m, p->grouped);
	double want = share * count_listed (v, p, zone) * grouped / m->group_size;
	double have = cs_pool_count_groups (v, p, m->name, zone);
	*lacking_part = want > 0 && want > have ? (want - have) / want : 0;
	/* A group that was moved to the model is a part of one in each zone: any of them takes it.
	 */
	if (m == p->moved_to && want > have && want - have < 0.5 &&
	    share * p->grouped / m->group_size - cs_pool_count_groups (v, p, m->name, NULL) >= 0.5)
		return 0.5;
	return want - have;
}

bool
cs_pool_lacks_any_model (const cs_form_view_t *v, const cs_pool_t *p, const char *zone)
{
	double lacking_part;
	for (size_t i = 0; i < p->service->n_models; i++)
		if (cs_pool_count_lacking (v, p, &p->service->models[i], zone, CS_POOL_GROUPED,
					   &lacking_part) >= 0.5)
			return true;
	return false;
}

bool
cs_pool_has_release_pending (const cs_form_view_t *v, const cs_pool_t *p,
			     const cs_serving_model_t *m, const char *zone)
{
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		if (!g->lost || g->released || g->head_listed_closed ||
		    strcmp (g->service, p->service->name) != 0 || strcmp (g->model, m->name) != 0)
			continue;
		for (size_t i = 1; i < g->n; i++) {
			const cs_backend_t *other = cs_fleet_find (v->fleet, g->members[i]);
			if (other && !strcmp (other->zone, zone) &&
			    cs_formation_group_of (v->f, other->id) == g &&
			    !cs_formation_is_free (v, g, other->id))
				return true;
		}
	}
	return false;
}
