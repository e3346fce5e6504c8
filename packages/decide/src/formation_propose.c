/* Proposes new groups of free back ends of one domain. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "formation_pool.h"

enum {
	FIRST_REPORTS_MS = 500, /* a new planner reads reports for this long first */
	SETTLED_MS = 700, /* on the first start, wait until no back end was added for this long, */
	MAX_SETTLE_MS = 3500, /* but no longer than this */
	FILLING_MS = 1500,    /* a heartbeat (1.2 s) and part of the list's lag (0.8 s) */
	MIN_GAIN_MS = 2000,   /* a forming group is replaced by one ready this much sooner */
	SOON_MS = 2500 /* within which the members of a group for an evacuated zone are ready */
};

/* Weights for scoring a group: the urgency of a group beyond the zone's share (1 to 2 for one
 * within it), and the cost in ms of each load besides its duration, as it delays the loads of
 * others. */
static const double surplus_urgency = 0.3;
static const double load_cost_ms = 3000;
static const double min_formation_ms = 1500; /* minimum for any group: orders, reports, opening */

/* Puts a chosen head of a previous group first, so that heads tend to stay heads. Safety doesn't
 * depend on it: whatever its rank, the head of a group that may be open moves as it was probed, and
 * the others of that group join after it. */
static void
put_former_head_first (const cs_form_view_t *v, const cs_pool_t *p, size_t *chosen, size_t n)
{
	for (size_t i = 1; i < n; i++) {
		const char *id = p->candidates[chosen[i]].backend->id;
		const cs_formation_group_t *g = cs_formation_group_of (v->f, id);
		if (!g || strcmp (g->members[0], id) != 0)
			continue;
		size_t first = chosen[0];
		chosen[0] = chosen[i];
		chosen[i] = first;
		return;
	}
}

/* Abandons a forming group: its ready members become free. */
static void
abandon_group (cs_pool_t *p, cs_domain_t *d, cs_formation_group_t *g)
{
	g->lost = g->released = true;
	for (size_t i = d->from; i < d->to; i++) {
		if (p->candidates[i].forming != g)
			continue;
		p->candidates[i].forming = NULL;
		d->free++;
	}
}

static void
propose_group (cs_form_view_t *v, cs_pool_t *p, cs_domain_t *d, const cs_serving_model_t *m,
	       size_t *chosen, cs_choice_t choice)
{
	enum {
		NAME_SIZE = 64,
		SUFFIX_SIZE = 24, /* the hyphen, 16 digits and the final zero need 18 */
		NAMES_PER_MS = 64 /* plans are about 200 ms apart, and one proposes far fewer than
				     200 times that */
	};
	cs_formation_t *f = v->f;
	const char *ids[CS_POOL_MAX_CANDIDATES];
	char name[NAME_SIZE];
	v->loading += choice.loads;
	put_former_head_first (v, p, chosen, m->group_size);
	for (uint32_t i = 0; i < m->group_size; i++) {
		if (p->candidates[chosen[i]].forming)
			abandon_group (p, d, p->candidates[chosen[i]].forming);
		p->candidates[chosen[i]].taken = true;
		ids[i] = p->candidates[chosen[i]].backend->id;
	}
	d->free -= m->group_size;
	/* The epoch is not known yet. Names of two planners may coincide, as their clocks count
	 * from the start of their hosts: only the epoch tells all groups apart. */
	snprintf (name, sizeof name, "%.*s-%llx", NAME_SIZE - SUFFIX_SIZE, m->name,
		  (unsigned long long)v->now_ms * NAMES_PER_MS + f->n_proposed);
	f->proposed = cs_realloc (f->proposed, (f->n_proposed + 1) * sizeof *f->proposed);
	f->proposed[f->n_proposed++] =
		cs_formation_group_new (0, name, p->service->name, m->name, ids, m->group_size);
}

/* True if back ends of the domain were listed recently: others with staged weights may follow, as a
 * whole domain is listed within one heartbeat. */
static bool
is_filling (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d)
{
	for (size_t i = d->from; i < d->to; i++) {
		const cs_fleet_entry_t *e =
			cs_fleet_find_entry (v->fleet, p->candidates[i].backend->id);
		if (v->now_ms - e->listed_ms < FILLING_MS)
			return true;
	}
	return false;
}

/* True if the domain has its part of the back ends in groups already. */
static bool
has_its_part (const cs_domain_t *d)
{
	return (double)(d->listed - d->free) >= CS_POOL_GROUPED * (double)d->listed;
}

/* True if the group is to wait for another domain of the zone: on the first start these are listed
 * one after the other, and all groups would be formed in the first one, which then had no back ends
 * to stand by. While this domain is being listed itself, another one may follow. In force for
 * services with large groups, which need spares most. */
static bool
waits_for_other_domain (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
			const cs_serving_model_t *m)
{
	if (v->now_ms >= v->f->eager_until_ms || !cs_serving_has_large_groups (p->service) ||
	    !has_its_part (d))
		return false;
	for (size_t i = 0; i < p->n_domains; i++) {
		const cs_domain_t *other = &p->domains[i];
		if (!strcmp (cs_pool_zone (p, other), cs_pool_zone (p, d)) &&
		    ((!has_its_part (other) && other->free >= m->group_size) ||
		     is_filling (v, p, other)))
			return true;
	}
	return false;
}

/* A candidate group and its score. */
typedef struct {
	const cs_serving_model_t *model;
	cs_domain_t *domain;
	double score;
} option_t;

/* False if the zone is evacuated and another one lacks a group of any model. */
static bool
may_propose_in (const cs_form_view_t *v, const cs_pool_t *p, const char *zone)
{
	if (!cs_formation_is_evacuated (v, zone))
		return true;
	for (size_t i = 0; i < p->n_domains; i++) {
		const char *other = cs_pool_zone (p, &p->domains[i]);
		if (!cs_formation_is_evacuated (v, other) && cs_pool_lacks_any_model (v, p, other))
			return false;
	}
	return true;
}

/* True if the domain's free back ends suffice for a group that its zone lacks. */
static bool
suffices_for_lacking (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d)
{
	double lacking_part;
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		if (m->group_size <= d->free &&
		    cs_pool_count_lacking (v, p, m, cs_pool_zone (p, d), CS_POOL_GROUPED,
					   &lacking_part) >= 0.5)
			return true;
	}
	return false;
}

/* Score of a group of back ends that stand by, in the place of those of an evacuated zone; 0: it is
 * not to be formed now. It has to serve soon, as an evacuation lasts about as long as a load. */
static double
extra_score (const cs_form_view_t *v, const cs_pool_t *p, const cs_serving_model_t *m,
	     const cs_domain_t *d, cs_choice_t c)
{
	double lacking_part;
	if (cs_pool_count_lacking (v, p, m, cs_pool_zone (p, d), 1., &lacking_part) < 0.5 ||
	    c.ready_in_ms > SOON_MS || suffices_for_lacking (v, p, d))
		return 0;
	return (1. + lacking_part) * m->group_size / (min_formation_ms + c.ready_in_ms);
}

/* Score of a group: its size weighted by urgency, over the time until it serves; 0: it is not to be
 * formed now. */
static double
group_score (cs_form_view_t *v, cs_pool_t *p, const cs_serving_model_t *m, const cs_domain_t *d)
{
	const char *zone = cs_pool_zone (p, d);
	size_t chosen[CS_POOL_MAX_CANDIDATES];
	size_t spare = (size_t)ceil ((1. - CS_POOL_GROUPED) * (double)d->listed);
	double lacking_part;
	bool is_evacuated = cs_formation_is_evacuated (v, zone);
	bool is_extra = p->is_evacuating && !is_evacuated;
	bool lacks = cs_pool_count_lacking (v, p, m, zone, CS_POOL_GROUPED, &lacking_part) >= 0.5;
	if (!m->group_size || cs_pool_is_reserved (v, p, d, m) ||
	    waits_for_other_domain (v, p, d, m) ||
	    d->free < m->group_size + (lacks || is_extra ? 0 : spare))
		return 0;
	cs_choice_t c = cs_pool_choose (v, p, d, m, false, chosen);
	if (c.ready_in_ms == CS_POOL_NEVER_MS || (c.loads && is_evacuated))
		return 0;
	if (!lacks && is_extra)
		return extra_score (v, p, m, d, c);
	if ((!lacks && (c.loads || cs_pool_lacks_any_model (v, p, zone))))
		return 0;
	bool is_first_start = v->now_ms < v->f->eager_until_ms;
	if (c.loads && !is_first_start &&
	    (!cs_pool_may_add_loads (v, p->service) || is_filling (v, p, d) ||
	     cs_pool_has_release_pending (v, p, m, zone)))
		return 0;
	double urgency = lacks ? 1. + lacking_part : surplus_urgency;
	double ms = is_first_start ? min_formation_ms
				   : min_formation_ms + c.ready_in_ms + load_cost_ms * c.loads;
	return urgency * m->group_size / ms;
}

/* Proposes the group with the highest score in the zone; false if there is none. */
static bool
propose_best_group (cs_form_view_t *v, cs_pool_t *p, const char *zone)
{
	option_t best = {NULL, NULL, 0};
	size_t chosen[CS_POOL_MAX_CANDIDATES];
	for (size_t i = 0; i < p->n_domains; i++) {
		cs_domain_t *d = &p->domains[i];
		for (size_t k = 0; k < p->service->n_models; k++) {
			const cs_serving_model_t *m = &p->service->models[k];
			if (strcmp (cs_pool_zone (p, d), zone) != 0)
				continue;
			double score = group_score (v, p, m, d);
			bool better =
				score > best.score || (score > 0 && score == best.score &&
						       best.domain && d->free > best.domain->free);
			if (better)
				best = (option_t){m, d, score};
		}
	}
	if (!best.model)
		return false;
	cs_choice_t c = cs_pool_choose (v, p, best.domain, best.model, false, chosen);
	propose_group (v, p, best.domain, best.model, chosen, c);
	return true;
}

/* Expected time in ms until the slowest member of a forming group is ready. */
static uint32_t
remaining_ms (const cs_form_view_t *v, const cs_formation_group_t *g, const cs_serving_model_t *m)
{
	int64_t most = 0;
	for (size_t i = 0; i < g->n; i++) {
		const cs_backend_t *s = cs_fleet_find (v->fleet, g->members[i]);
		if (!s || cs_formation_has_ready (g, s))
			continue;
		bool warm = !strcmp (s->staged, g->model);
		int64_t began = g->states[i].join_sent_ms ? g->states[i].join_sent_ms : v->now_ms;
		int64_t left = began + (warm ? m->warm_ms : m->load_ms) - v->now_ms;
		most = left > most ? left : most;
	}
	return (uint32_t)most;
}

/* Replaces a forming group that waits for a load by one that is ready sooner, made of its ready
 * members and back ends freed since; false if there is none. */
static bool
replace_slow_group (cs_form_view_t *v, cs_pool_t *p, cs_domain_t *d)
{
	size_t chosen[CS_POOL_MAX_CANDIDATES];
	for (size_t i = d->from; i < d->to; i++) {
		cs_formation_group_t *g = p->candidates[i].forming;
		const cs_serving_model_t *m =
			g ? cs_serving_find_model (p->service, g->model) : NULL;
		if (!m || p->candidates[i].taken || !may_propose_in (v, p, cs_pool_zone (p, d)))
			continue;
		cs_choice_t c = cs_pool_choose (v, p, d, m, true, chosen);
		if (c.ready_in_ms == CS_POOL_NEVER_MS || c.loads ||
		    c.ready_in_ms + MIN_GAIN_MS >= remaining_ms (v, g, m))
			continue;
		abandon_group (p, d, g);
		propose_group (v, p, d, m, chosen, c);
		return true;
	}
	return false;
}

/* How busy the zone's heads are of a model that it lacks a group of; -1: it lacks none. */
static double
lacking_busy (const cs_form_view_t *v, const cs_pool_t *p, const char *zone)
{
	double most = -1, lacking_part;
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		if (!m->group_size ||
		    cs_pool_count_lacking (v, p, m, zone, CS_POOL_GROUPED, &lacking_part) < 0.5)
			continue;
		double busy = cs_model_demand_busy_in (v->f->demand, v->now_ms, p->service->name,
						       m->name, zone);
		most = busy > most ? busy : most;
	}
	return most;
}

/* Zones in the order in which their groups are formed, as loads are limited and a group that was
 * moved goes to the first one: by demand, else by name. Returns their number. */
static size_t
order_zones (const cs_form_view_t *v, const cs_pool_t *p, const char **zones)
{
	double busy[CS_POOL_MAX_DOMAINS];
	bool is_by_demand = v->f->demand && cs_serving_has_large_groups (p->service);
	size_t n = 0;
	for (size_t i = 0; i < p->n_domains; i++) {
		const char *zone = cs_pool_zone (p, &p->domains[i]);
		if (i && !strcmp (zone, cs_pool_zone (p, &p->domains[i - 1])))
			continue;
		double b = is_by_demand ? lacking_busy (v, p, zone) : 0;
		size_t k = n++;
		for (; k && busy[k - 1] < b; k--) {
			busy[k] = busy[k - 1];
			zones[k] = zones[k - 1];
		}
		busy[k] = b;
		zones[k] = zone;
	}
	return n;
}

static void
propose_for_service (cs_form_view_t *v, cs_pool_t *p)
{
	const char *zones[CS_POOL_MAX_DOMAINS];
	cs_pool_fill (v, p);
	cs_pool_update_demand (v, p);
	for (size_t i = 0; i < p->n_domains; i++)
		while (replace_slow_group (v, p, &p->domains[i]))
			;
	size_t n_zones = order_zones (v, p, zones);
	for (size_t i = 0; i < n_zones; i++) {
		while (may_propose_in (v, p, zones[i]) && propose_best_group (v, p, zones[i]))
			;
		cs_pool_give_up_groups (v, p, zones[i]);
	}
	for (size_t i = 0; i < p->n_domains; i++)
		cs_pool_stage_weights (v, p, &p->domains[i]);
}

/* True if groups may be proposed: reports have been read for FIRST_REPORTS_MS and, on the first
 * start, the number of listed back ends no longer changes or MAX_SETTLE_MS have passed. */
static bool
has_settled (cs_form_view_t *v)
{
	cs_formation_t *f = v->f;
	size_t listed = HASH_COUNT (v->fleet->entries);
	if (listed != f->n_listed) {
		f->n_listed = listed;
		f->n_listed_changed_ms = v->now_ms;
	}
	if (v->now_ms - f->started_ms < FIRST_REPORTS_MS)
		return false;
	return v->now_ms >= f->eager_until_ms || v->now_ms - f->n_listed_changed_ms >= SETTLED_MS ||
	       v->now_ms - f->started_ms >= MAX_SETTLE_MS;
}

void
cs_formation_propose_groups (cs_form_view_t *v)
{
	if (!has_settled (v))
		return;
	for (size_t s = 0; s < v->serving->n_services; s++) {
		cs_pool_t p = {.service = &v->serving->services[s]};
		if (p.service->n_models)
			propose_for_service (v, &p);
	}
}
