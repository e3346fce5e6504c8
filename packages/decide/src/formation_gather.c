/* New groups from free back ends of one domain. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "formation_impl.h"

enum {
	MAX_POOL = 1024,     /* free back ends that are looked at in one plan */
	MAX_DOMAINS = 256,   /* of one service */
	MAX_LEFT_OUT = 8,    /* lost groups that clash with each other in one domain */
	LIST_LAG_FACTOR = 2, /* loads that have ended are seen late: keep the weight store busy */
	LEARN_MS = 500,      /* a planner that begins reads reports for so long first */
	SETTLED_MS = 700,    /* a first start waits until no back end was added for so long, */
	FILLING_MS = 1500,   /* a heartbeat and the list's lag */
	MAX_SETTLE_MS = 5000 /* and no longer than that */
};

#define NEVER UINT32_MAX

/* Share of the back ends that groups are wanted for; the others stand by with weights at
 * hand, as a join with them takes 1 s and a load 12 to 16 s. */
static const double in_groups = 0.8;

typedef struct {
	const cs_backend_t *backend;
	bool taken;
} candidate_t;

/* Free back ends that share zone and domain: a range of the pool. */
typedef struct {
	size_t from;
	size_t to;
	size_t free; /* not taken */
	size_t listed;
} domain_t;

typedef struct {
	const cs_serving_service_t *service;
	candidate_t items[MAX_POOL]; /* by zone, domain and id */
	size_t n;
	domain_t domains[MAX_DOMAINS];
	size_t n_domains;
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
same_domain (const cs_backend_t *a, const cs_backend_t *b)
{
	return !strcmp (a->zone, b->zone) && !strcmp (a->domain, b->domain);
}

static bool
is_free (const cs_form_view_t *v, const cs_fleet_entry_t *e)
{
	const cs_band_t *b = cs_formation_band_of (v->f, e->now->id);
	if (e->lapsed_ms || e->now->draining || cs_formation_is_down (v, e))
		return false;
	return !b || b->released || b->quiet;
}

static bool
belongs (const cs_fleet_entry_t *e, const pool_t *p)
{
	return !e->now->draining && !strcmp (e->now->service, p->service->name);
}

static size_t
count_listed (const cs_form_view_t *v, const pool_t *p, const cs_backend_t *like)
{
	size_t n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		n += belongs (e, p) && same_domain (e->now, like);
	return n;
}

static void
split_domains (const cs_form_view_t *v, pool_t *p)
{
	size_t to;
	p->n_domains = 0;
	for (size_t from = 0; from < p->n && p->n_domains < MAX_DOMAINS; from = to) {
		const cs_backend_t *first = p->items[from].backend;
		for (to = from + 1; to < p->n; to++)
			if (!same_domain (first, p->items[to].backend))
				break;
		p->domains[p->n_domains++] =
			(domain_t){from, to, to - from, count_listed (v, p, first)};
	}
}

static void
fill (const cs_form_view_t *v, pool_t *p)
{
	p->n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		if (belongs (e, p) && p->n < MAX_POOL && is_free (v, e))
			p->items[p->n++] = (candidate_t){e->now, false};
	qsort (p->items, p->n, sizeof *p->items, by_place);
	split_domains (v, p);
}

static bool
is_of (const cs_form_view_t *v, const cs_band_t *b, const pool_t *p, const char *model,
       const char *zone)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	return !b->lost && head && !strcmp (b->service, p->service->name) &&
	       !strcmp (b->model, model) && !strcmp (head->zone, zone);
}

/* Groups of the model that serve or form in the zone. */
static double
count_groups (const cs_form_view_t *v, const pool_t *p, const char *model, const char *zone)
{
	double n = 0;
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next)
	n += is_of (v, b, p, model, zone);
	for (size_t i = 0; i < v->f->n_proposed; i++)
		n += is_of (v, v->f->proposed[i], p, model, zone);
	return n;
}

/* Groups of the model that the zone lacks by its share; each zone has to serve on alone
 * when it is cut off. */
static double
lacking (const cs_form_view_t *v, const pool_t *p, const cs_serving_model_t *m, const char *zone,
	 double *part)
{
	double listed = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (v->fleet, e));)
		listed += belongs (e, p) && !strcmp (e->now->zone, zone);
	double want = m->share * listed * in_groups / m->group_size;
	double have = count_groups (v, p, m->name, zone);
	*part = want > 0 ? (want - have) / want : -have;
	return want - have;
}

/* Time until the back end could be a ready member. */
static uint32_t
join_ms (const cs_form_view_t *v, const cs_backend_t *b, const cs_serving_model_t *m)
{
	enum {
		REJOIN_MS = 200 /* the platform: a join with the model of the last group */
	};
	const cs_staging_t *s = cs_formation_staging (v, b);
	if (s) {
		/* A join waits for what is being staged. */
		int64_t left = s->ordered_ms + m->load_ms - v->now_ms;
		uint32_t wait = left > 0 ? (uint32_t)left : 0;
		return wait + (strcmp (s->model, m->name) ? m->load_ms : m->warm_ms);
	}
	if (!strcmp (b->model, m->name))
		return REJOIN_MS;
	return strcmp (b->staged, m->name) ? m->load_ms : m->warm_ms;
}

/* The group whose head has to lead the new group if this back end is to be a member. */
static const cs_band_t *
bound_to (const cs_form_view_t *v, const pool_t *p, size_t i)
{
	const cs_band_t *b = cs_formation_band_of (v->f, p->items[i].backend->id);
	return b && !b->released ? b : NULL;
}

/* A group that the members chosen are bound to, though its head is not among them or
 * another such group's members are; NULL: there is none. */
static const cs_band_t *
find_clash (const cs_form_view_t *v, const pool_t *p, const size_t *chosen, size_t n)
{
	const cs_band_t *only = NULL;
	bool led = false;
	for (size_t k = 0; k < n; k++) {
		const cs_band_t *b = bound_to (v, p, chosen[k]);
		if (b && only && b != only)
			return b;
		only = b ? b : only;
	}
	for (size_t k = 0; k < n && only; k++)
		led |= !strcmp (p->items[chosen[k]].backend->id, only->members[0]);
	return only && !led ? only : NULL;
}

static bool
is_left_out (const cs_band_t *b, const cs_band_t *const *left_out, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (b && b == left_out[i])
			return true;
	return false;
}

/* Chooses those that are ready first, without members of the groups left out; returns the
 * time of the slowest, NEVER if there are not enough. */
static uint32_t
choose_without (const cs_form_view_t *v, const pool_t *p, const domain_t *d,
		const cs_serving_model_t *m, const cs_band_t *const *left_out, size_t n_left_out,
		size_t *chosen)
{
	uint32_t slowest = 0;
	bool used[MAX_POOL] = {false};
	for (uint32_t k = 0; k < m->group_size; k++) {
		size_t best = d->to;
		for (size_t i = d->from; i < d->to; i++) {
			if (p->items[i].taken || used[i] ||
			    is_left_out (bound_to (v, p, i), left_out, n_left_out))
				continue;
			if (best == d->to || join_ms (v, p->items[i].backend, m) <
						     join_ms (v, p->items[best].backend, m))
				best = i;
		}
		if (best == d->to)
			return NEVER;
		used[best] = true;
		chosen[k] = best;
		uint32_t ms = join_ms (v, p->items[best].backend, m);
		slowest = ms > slowest ? ms : slowest;
	}
	return slowest;
}

/* Chooses the members that are ready first; returns the time of the slowest, NEVER if the
 * domain has not enough that may form one group. */
static uint32_t
choose (const cs_form_view_t *v, const pool_t *p, const domain_t *d, const cs_serving_model_t *m,
	size_t *chosen)
{
	const cs_band_t *left_out[MAX_LEFT_OUT];
	for (size_t n = 0; n < MAX_LEFT_OUT; n++) {
		uint32_t ms = choose_without (v, p, d, m, left_out, n, chosen);
		const cs_band_t *clash =
			ms == NEVER ? NULL : find_clash (v, p, chosen, m->group_size);
		if (!clash)
			return ms;
		left_out[n] = clash;
	}
	return NEVER;
}

static bool
may_add_loads (const cs_form_view_t *v, const cs_serving_service_t *service)
{
	return v->now_ms < v->f->eager_until_ms ||
	       v->loading < LIST_LAG_FACTOR * service->loads_at_once;
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
propose (cs_form_view_t *v, pool_t *p, domain_t *d, const cs_serving_model_t *m)
{
	enum {
		MAX_NAME = 64
	};
	cs_formation_t *f = v->f;
	size_t chosen[MAX_POOL];
	const char *ids[MAX_POOL];
	char name[MAX_NAME];
	uint32_t ms = choose (v, p, d, m, chosen);
	if (ms >= m->load_ms)
		v->loading += m->group_size;
	lead_by_former_head (v, p, chosen, m->group_size);
	for (uint32_t i = 0; i < m->group_size; i++) {
		p->items[chosen[i]].taken = true;
		ids[i] = p->items[chosen[i]].backend->id;
	}
	d->free -= m->group_size;
	/* A name is used once: the epoch, which makes it unique, is not known yet. */
	snprintf (name, sizeof name, "%.*s-%llx", MAX_NAME - 24, m->name,
		  (unsigned long long)(v->now_ms * 64 + (int64_t)f->n_proposed));
	f->proposed = cs_realloc (f->proposed, (f->n_proposed + 1) * sizeof *f->proposed);
	f->proposed[f->n_proposed++] =
		cs_band_new (0, name, p->service->name, m->name, ids, m->group_size);
	cs_formation_act (f, CS_FORM_APPEND, "free back ends of one domain")->band =
		f->proposed[f->n_proposed - 1];
}

static const char *
zone_of (const pool_t *p, const domain_t *d)
{
	return p->items[d->from].backend->zone;
}

/* True if back ends of the domain were listed just now: others with weights at hand may
 * follow, as a whole domain is listed within a heartbeat. */
static bool
is_filling (const cs_form_view_t *v, const pool_t *p, const domain_t *d)
{
	for (size_t i = d->from; i < d->to; i++) {
		const cs_fleet_entry_t *e = cs_fleet_entry (v->fleet, p->items[i].backend->id);
		if (v->now_ms - e->listed_ms < FILLING_MS)
			return true;
	}
	return false;
}

/* The domain of the zone that can form the model soonest, then the one with most free back
 * ends; NULL: none can form it now. `spare` back ends for each that is listed stay free. */
static domain_t *
best_domain (cs_form_view_t *v, pool_t *p, const cs_serving_model_t *m, const char *zone,
	     double spare, uint32_t *ready_ms)
{
	domain_t *best = NULL;
	uint32_t best_ms = 0;
	size_t chosen[MAX_POOL];
	for (size_t i = 0; i < p->n_domains; i++) {
		domain_t *d = &p->domains[i];
		size_t kept = (size_t)ceil (spare * (double)d->listed);
		if (strcmp (zone_of (p, d), zone) != 0 || d->free < m->group_size + kept)
			continue;
		uint32_t ms = choose (v, p, d, m, chosen);
		if (ms >= m->load_ms && (!may_add_loads (v, p->service) || is_filling (v, p, d)))
			continue;
		if (best && (ms > best_ms || (ms == best_ms && d->free <= best->free)))
			continue;
		best = d;
		best_ms = ms;
	}
	*ready_ms = best_ms;
	return best;
}

/* True if members of a lost group of the model in the zone are about to be free: their
 * weights are at hand, which a load is slower than. */
static bool
soon_released (const cs_form_view_t *v, const pool_t *p, const cs_serving_model_t *m,
	       const char *zone)
{
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next)
	{
		if (!b->lost || b->released || strcmp (b->service, p->service->name) != 0 ||
		    strcmp (b->model, m->name) != 0)
			continue;
		for (size_t i = 1; i < b->n; i++) {
			const cs_backend_t *other = cs_fleet_find (v->fleet, b->members[i]);
			if (other && !strcmp (other->zone, zone))
				return true;
		}
	}
	return false;
}

/* Forms one group of the model that the zone lacks most; false if none can be formed. */
static bool
form_lacking (cs_form_view_t *v, pool_t *p, const char *zone)
{
	const cs_serving_model_t *model = NULL;
	domain_t *domain = NULL;
	double most = 0;
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		double part;
		if (!m->group_size || m->group_size > MAX_POOL ||
		    lacking (v, p, m, zone, &part) < 0.5 || (model && part <= most))
			continue;
		uint32_t ms;
		domain_t *d = best_domain (v, p, m, zone, 0, &ms);
		if (!d || (ms >= m->load_ms && soon_released (v, p, m, zone)))
			continue;
		model = m;
		domain = d;
		most = part;
	}
	if (model)
		propose (v, p, domain, model);
	return model != NULL;
}

/* Forms one group beyond the zone's share from what no repair is likely to need. */
static bool
form_surplus (cs_form_view_t *v, pool_t *p, const char *zone)
{
	const cs_serving_model_t *model = NULL;
	domain_t *domain = NULL;
	double most = 0;
	for (size_t i = 0; i < p->service->n_models; i++) {
		const cs_serving_model_t *m = &p->service->models[i];
		double part;
		if (!m->group_size || m->group_size > MAX_POOL)
			continue;
		lacking (v, p, m, zone, &part);
		uint32_t ms;
		domain_t *d = best_domain (v, p, m, zone, 1. - in_groups, &ms);
		if (!d || (model && part <= most))
			continue;
		model = m;
		domain = d;
		most = part;
	}
	if (model)
		propose (v, p, domain, model);
	return model != NULL;
}

/* Idle back ends of the domain that have the model's weights at hand. */
static size_t
count_warm (const cs_form_view_t *v, const pool_t *p, const domain_t *d,
	    const cs_serving_model_t *m)
{
	size_t n = 0;
	for (size_t i = d->from; i < d->to; i++) {
		const cs_backend_t *b = p->items[i].backend;
		const cs_staging_t *s = cs_formation_staging (v, b);
		n += !p->items[i].taken &&
		     (!strcmp (b->staged, m->name) || !strcmp (b->model, m->name) ||
		      (s && !strcmp (s->model, m->name)));
	}
	return n;
}

static size_t
members_in (const cs_form_view_t *v, const cs_band_t *b, const pool_t *p, const domain_t *d,
	    const char *model)
{
	const cs_backend_t *head = cs_fleet_find (v->fleet, b->members[0]);
	bool counts = !b->lost && head && !strcmp (b->model, model) &&
		      same_domain (head, p->items[d->from].backend);
	return counts ? b->n : 0;
}

/* Members of the model's groups in the domain, formed or proposed. */
static double
count_members (const cs_form_view_t *v, const pool_t *p, const domain_t *d, const char *model)
{
	size_t n = 0;
	cs_band_t *b, *next;
	HASH_ITER (hh, v->f->bands, b, next)
	n += members_in (v, b, p, d, model);
	for (size_t i = 0; i < v->f->n_proposed; i++)
		n += members_in (v, v->f->proposed[i], p, d, model);
	return (double)n;
}

/* The model with most members in the domain for each back end that stands by with it; the
 * first one counts most, as a group lacks one member at a time. */
static const cs_serving_model_t *
model_to_stage (const cs_form_view_t *v, const pool_t *p, const domain_t *d)
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

static void
stage (cs_form_view_t *v, const pool_t *p, const domain_t *d)
{
	for (size_t i = d->from; i < d->to; i++) {
		const cs_backend_t *b = p->items[i].backend;
		if (p->items[i].taken || *b->staged || *b->model || b->state == CS_MEMBER_JOINING)
			continue;
		if (cs_formation_staging (v, b))
			continue;
		if (!may_add_loads (v, p->service) || !cs_formation_may_load (v, p->service))
			return;
		const cs_serving_model_t *m = model_to_stage (v, p, d);
		cs_formation_note_staging (v, b->id, m->name);
		cs_form_action_t *a =
			cs_formation_act (v->f, CS_FORM_STAGE, "idle without weights");
		a->id = b->id;
		a->address = b->address;
		a->model = m->name;
	}
}

static void
gather_service (cs_form_view_t *v, pool_t *p)
{
	fill (v, p);
	for (size_t i = 0; i < p->n_domains; i++) {
		const char *zone = zone_of (p, &p->domains[i]);
		if (i && !strcmp (zone, zone_of (p, &p->domains[i - 1])))
			continue;
		while (form_lacking (v, p, zone) || form_surplus (v, p, zone))
			;
	}
	for (size_t i = 0; i < p->n_domains; i++)
		stage (v, p, &p->domains[i]);
}

static bool
has_settled (cs_form_view_t *v)
{
	cs_formation_t *f = v->f;
	size_t listed = HASH_COUNT (v->fleet->entries);
	if (listed != f->listed) {
		f->listed = listed;
		f->listed_ms = v->now_ms;
	}
	if (v->now_ms - f->started_ms < LEARN_MS)
		return false;
	return v->now_ms >= f->eager_until_ms || v->now_ms - f->listed_ms >= SETTLED_MS ||
	       v->now_ms - f->started_ms >= MAX_SETTLE_MS;
}

void
cs_formation_gather (cs_form_view_t *v)
{
	if (!has_settled (v))
		return;
	for (size_t s = 0; s < v->serving->n_services; s++) {
		pool_t p = {.service = &v->serving->services[s]};
		if (p.service->n_models)
			gather_service (v, &p);
	}
}
