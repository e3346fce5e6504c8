/* Stages weights on idle back ends, so that repairs need no load. */
#include <string.h>

#include "formation_pool.h"

/* Number of idle back ends of the domain that have the model's weights or stage them. */
static size_t
count_warm (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
	    const cs_serving_model_t *m)
{
	size_t n = 0;
	for (size_t i = d->from; i < d->to; i++) {
		const cs_backend_t *b = p->candidates[i].backend;
		const cs_staging_t *s = cs_formation_staging (v, b);
		n += !p->candidates[i].taken &&
		     (!strcmp (b->staged, m->name) || !strcmp (b->model, m->name) ||
		      (s && !strcmp (s->model, m->name)));
	}
	return n;
}

static size_t
group_members_in (const cs_form_view_t *v, const cs_formation_group_t *g, const cs_pool_t *p,
		  const cs_domain_t *d, const char *model)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, g->members[0]);
	bool counts = !g->lost && head && !strcmp (g->model, model) &&
		      cs_pool_same_domain (head, p->candidates[d->from].backend);
	return counts ? g->n : 0;
}

/* Number of members of the model's groups in the domain, formed or proposed. */
static double
count_members (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d, const char *model)
{
	size_t n = 0;
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, v->f->groups, g, next) {
		n += group_members_in (v, g, p, d, model);
	}
	for (size_t i = 0; i < v->f->n_proposed; i++)
		n += group_members_in (v, v->f->proposed[i], p, d, model);
	return (double)n;
}

/* The model with the most members in the domain per idle back end with its weights. The first such
 * back end weighs most (WARM_WEIGHT), as a group usually lacks one member at a time. */
static const cs_serving_model_t *
model_to_stage (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d)
{
	enum {
		WARM_WEIGHT = 3
	};
	const cs_serving_model_t *best = NULL;
	double most = 0;
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		double need = count_members (v, p, d, m->name) /
			      (double)(1 + WARM_WEIGHT * count_warm (v, p, d, m));
		if (best && need <= most)
			continue;
		best = m;
		most = need;
	}
	return best;
}

void
cs_pool_stage_weights (cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d)
{
	if (cs_formation_is_evacuated (v, cs_pool_zone (p, d)))
		return;
	for (size_t i = d->from; i < d->to; i++) {
		const cs_backend_t *b = p->candidates[i].backend;
		if (p->candidates[i].taken || *b->staged || *b->model ||
		    b->state == CS_MEMBERSHIP_JOINING)
			continue;
		if (cs_formation_staging (v, b))
			continue;
		if (!cs_pool_may_add_loads (v, p->service) ||
		    !cs_formation_take_load_token (v, p->service))
			return;
		const cs_serving_model_t *m = model_to_stage (v, p, d);
		cs_formation_set_staging (v, b->id, m->name);
		cs_form_action_t *a =
			cs_formation_add_action (v->f, CS_FORM_STAGE, "idle without weights");
		a->id = b->id;
		a->address = b->address;
		a->model = m->name;
	}
}
