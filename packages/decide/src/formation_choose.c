/* Selects the members of a new group. */
#include <string.h>

#include "formation_pool.h"

enum {
	MAX_EXCLUDED_GROUPS = 8, /* lost groups in one domain whose members can't join together */
	LIST_LAG_FACTOR = 2      /* the list shows late that a load ended: the weight store is
				    kept busy meanwhile */
};

/* Candidates that a choice excludes. */
typedef struct {
	const cs_formation_group_t *groups[MAX_EXCLUDED_GROUPS];
	size_t n;
	bool forming; /* ready members of forming groups */
} exclusion_t;

uint32_t
cs_pool_join_ms (const cs_form_view_t *v, const cs_backend_t *b, const cs_serving_model_t *m)
{
	enum {
		REJOIN_MS = 200 /* the platform: a join with the weights in memory */
	};
	const cs_staging_t *s = cs_formation_staging (v, b);
	if (s) {
		/* A join waits until the staging in progress ends. */
		int64_t left = s->ordered_ms + m->load_ms - v->now_ms;
		uint32_t wait = left > 0 ? (uint32_t)left : 0;
		return wait + (strcmp (s->model, m->name) ? m->load_ms : m->warm_ms);
	}
	if (!strcmp (b->model, m->name))
		return REJOIN_MS;
	return strcmp (b->staged, m->name) ? m->load_ms : m->warm_ms;
}

/* The unreleased group of the candidate. Its head has to be in the new group, at any rank, if the
 * candidate is to be a member, as moving that head closes the old group. NULL: none. */
static const cs_formation_group_t *
unreleased_group_of (const cs_form_view_t *v, const cs_pool_t *p, size_t i)
{
	const cs_formation_group_t *g = cs_formation_group_of (v->f, p->candidates[i].backend->id);
	bool is_bound = g && !p->candidates[i].forming &&
			!cs_formation_is_free (v, g, p->candidates[i].backend->id);
	return is_bound ? g : NULL;
}

/* An unreleased group of chosen members that rules out the choice, as its head is not chosen or
 * other chosen members belong to another unreleased group; NULL: none. */
static const cs_formation_group_t *
find_conflict (const cs_form_view_t *v, const cs_pool_t *p, const size_t *chosen, size_t n)
{
	const cs_formation_group_t *only = NULL;
	bool has_head = false;
	for (size_t k = 0; k < n; k++) {
		const cs_formation_group_t *g = unreleased_group_of (v, p, chosen[k]);
		if (g && only && g != only)
			return g;
		only = g ? g : only;
	}
	for (size_t k = 0; k < n && only; k++)
		has_head |= !strcmp (p->candidates[chosen[k]].backend->id, only->members[0]);
	return only && !has_head ? only : NULL;
}

static bool
is_excluded (const cs_form_view_t *v, const cs_pool_t *p, size_t i, const exclusion_t *x)
{
	const cs_formation_group_t *g = unreleased_group_of (v, p, i);
	if (p->candidates[i].taken || (x->forming && p->candidates[i].forming))
		return true;
	for (size_t k = 0; k < x->n; k++)
		if (g && g == x->groups[k])
			return true;
	return false;
}

/* Index of the candidate that is ready earliest; d->to if there is none. */
static size_t
earliest_candidate (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
		    const cs_serving_model_t *m, const exclusion_t *x, const bool *used)
{
	size_t best = d->to;
	uint32_t least = CS_POOL_NEVER_MS;
	for (size_t i = d->from; i < d->to; i++) {
		if (used[i - d->from] || is_excluded (v, p, i, x))
			continue;
		uint32_t ms = cs_pool_join_ms (v, p->candidates[i].backend, m);
		if (ms >= least)
			continue;
		best = i;
		least = ms;
	}
	return best;
}

static cs_choice_t
choose_excluding (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
		  const cs_serving_model_t *m, const exclusion_t *x, size_t *chosen)
{
	cs_choice_t c = {0, 0};
	bool used[CS_POOL_MAX_CANDIDATES] = {false};
	for (uint32_t k = 0; k < m->group_size; k++) {
		size_t i = earliest_candidate (v, p, d, m, x, used);
		if (i == d->to)
			return (cs_choice_t){CS_POOL_NEVER_MS, 0};
		used[i - d->from] = true;
		chosen[k] = i;
		uint32_t ms = cs_pool_join_ms (v, p->candidates[i].backend, m);
		c.ready_in_ms = ms > c.ready_in_ms ? ms : c.ready_in_ms;
		c.loads += ms > m->warm_ms;
	}
	return c;
}

cs_choice_t
cs_pool_choose (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
		const cs_serving_model_t *m, bool from_forming, size_t *chosen)
{
	exclusion_t x = {.forming = !from_forming};
	while (x.n < MAX_EXCLUDED_GROUPS) {
		cs_choice_t c = choose_excluding (v, p, d, m, &x, chosen);
		const cs_formation_group_t *conflict =
			c.ready_in_ms == CS_POOL_NEVER_MS
				? NULL
				: find_conflict (v, p, chosen, m->group_size);
		if (!conflict)
			return c;
		x.groups[x.n++] = conflict;
	}
	return (cs_choice_t){CS_POOL_NEVER_MS, 0};
}

bool
cs_pool_may_add_loads (const cs_form_view_t *v, const cs_serving_service_t *service)
{
	return v->now_ms < v->f->eager_until_ms ||
	       v->loading < LIST_LAG_FACTOR * service->loads_at_once;
}
