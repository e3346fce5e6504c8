#include "cs/model_demand.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	FOLD_MS = 1000,
	USUAL_RISE_MS = 600000 /* in which the usual delay approaches a lasting one */
};

void
cs_model_demand_init (cs_model_demand_t *d)
{
	memset (d, 0, sizeof *d);
}

static void
free_all (cs_demand_t *table)
{
	cs_demand_t *e, *next;
	HASH_ITER (hh, table, e, next) {
		HASH_DEL (table, e);
		free (e->name);
		free (e);
	}
}

void
cs_model_demand_finish (cs_model_demand_t *d)
{
	free_all (d->models);
	free_all (d->zones);
	d->models = d->zones = NULL;
}

void
cs_model_demand_reset_shares (cs_model_demand_t *d)
{
	for (cs_demand_t *e = d->models; e; e = e->hh.next)
		e->moved = 0;
	d->moved_ms = 0;
}

/* SERVICE/MODEL, or SERVICE/MODEL/ZONE; zone NULL: the model's in all zones. */
static cs_buf_t
make_name (const char *service, const char *model, const char *zone)
{
	cs_buf_t name;
	cs_buf_init (&name);
	cs_buf_printf (&name, "%s/%s", service, model);
	if (zone)
		cs_buf_printf (&name, "/%s", zone);
	return name;
}

/* d may be NULL. */
static cs_demand_t *
find (const cs_model_demand_t *d, const char *service, const char *model, const char *zone)
{
	cs_demand_t *e = NULL;
	if (!d)
		return NULL;
	const cs_demand_t *table = zone ? d->zones : d->models;
	cs_buf_t name = make_name (service, model, zone);
	HASH_FIND_STR (table, name.p, e);
	cs_buf_finish (&name);
	return e;
}

static cs_demand_t *
find_or_add (cs_model_demand_t *d, int64_t now_ms, const cs_head_load_t *head, const char *zone)
{
	cs_demand_t *e = find (d, head->service, head->model, zone);
	cs_demand_t **table = zone ? &d->zones : &d->models;
	if (e)
		return e;
	e = cs_alloc (sizeof *e);
	e->name = make_name (head->service, head->model, zone).p;
	e->folded_ms = now_ms;
	HASH_ADD_KEYPTR (hh, *table, e->name, strlen (e->name), e);
	return e;
}

static double
approach (double from, double to, int64_t ms, int64_t over_ms)
{
	return to + (from - to) * exp (-(double)ms / (double)over_ms);
}

static bool
is_lacking (const cs_demand_t *e)
{
	bool is_slow = e->delay_ms >= CS_DEMAND_MIN_DELAY_MS &&
		       e->delay_ms > e->usual_ms * CS_DEMAND_SLOW_PERCENT / 100.;
	return is_slow || e->occupancy > CS_DEMAND_FULL_PERCENT / 100.;
}

static void
fold (cs_demand_t *e, int64_t now_ms)
{
	int64_t ms = now_ms - e->folded_ms;
	if (ms < FOLD_MS || e->n <= 0)
		return;
	double occupancy = e->busy / e->slots;
	double delay_ms = e->delays / e->n;
	bool is_first = e->recorded_ms && e->usual_ms <= 0 && e->occupancy <= 0;
	e->occupancy =
		is_first ? occupancy : approach (e->occupancy, occupancy, ms, CS_DEMAND_SMOOTH_MS);
	e->delay_ms =
		is_first ? delay_ms : approach (e->delay_ms, delay_ms, ms, CS_DEMAND_SMOOTH_MS);
	e->usual_ms = is_first || e->delay_ms < e->usual_ms
			      ? e->delay_ms
			      : approach (e->usual_ms, e->delay_ms, ms, USUAL_RISE_MS);
	e->busy = e->slots = e->delays = e->n = 0;
	e->folded_ms = now_ms;
	if (!is_lacking (e))
		e->lacking_ms = 0;
	else if (!e->lacking_ms)
		e->lacking_ms = now_ms;
}

static bool
is_known (const cs_demand_t *e, int64_t now_ms)
{
	return e && now_ms - e->recorded_ms < CS_DEMAND_STALE_MS;
}

static void
record (cs_demand_t *e, int64_t now_ms, const cs_head_load_t *head)
{
	/* What was lacking before is not known to have lasted. */
	if (!is_known (e, now_ms))
		e->lacking_ms = 0;
	e->busy += (double)head->running + head->waiting;
	e->slots += head->slots;
	e->delays += head->delay_ms;
	e->n++;
	e->recorded_ms = now_ms;
	fold (e, now_ms);
}

void
cs_model_demand_record (cs_model_demand_t *d, int64_t now_ms, const cs_head_load_t *head)
{
	if (!head->slots)
		return;
	record (find_or_add (d, now_ms, head, NULL), now_ms, head);
	record (find_or_add (d, now_ms, head, head->zone), now_ms, head);
}

double
cs_model_demand_busy_in (const cs_model_demand_t *d, int64_t now_ms, const char *service,
			 const char *model, const char *zone)
{
	const cs_demand_t *e = find (d, service, model, zone);
	return e && now_ms - e->recorded_ms < CS_DEMAND_HOLD_MS ? e->occupancy : 0;
}

double
cs_model_demand_share (const cs_model_demand_t *d, const cs_serving_service_t *service,
		       const cs_serving_model_t *m, double grouped)
{
	const cs_demand_t *e = d && cs_serving_has_large_groups (service) && grouped > 0
				       ? find (d, service->name, m->name, NULL)
				       : NULL;
	double share = e ? m->share + e->moved / grouped : m->share;
	return share < 0 ? 0 : share;
}

static double
groups_of (const cs_model_demand_t *d, const cs_serving_service_t *service,
	   const cs_serving_model_t *m, double grouped)
{
	return cs_model_demand_share (d, service, m, grouped) * grouped / m->group_size;
}

double
cs_model_demand_need (const cs_model_demand_t *d, int64_t now_ms,
		      const cs_serving_service_t *service, const cs_serving_model_t *m,
		      double grouped, uint32_t zones)
{
	const cs_demand_t *e = find (d, service->name, m->name, NULL);
	if (!is_known (e, now_ms) || !m->group_size)
		return -1;
	double busy = e->occupancy < 1 ? e->occupancy : 1;
	return busy * groups_of (d, service, m, grouped) + zones;
}

/* Back ends that the model can spare. */
static double
spare_of (const cs_model_demand_t *d, int64_t now_ms, const cs_serving_service_t *service,
	  const cs_serving_model_t *m, double grouped, uint32_t zones)
{
	double need = cs_model_demand_need (d, now_ms, service, m, grouped, zones);
	const cs_demand_t *e = find (d, service->name, m->name, NULL);
	if (need < 0 || e->lacking_ms)
		return 0;
	/* Each zone rounds its part of the groups. */
	return floor (groups_of (d, service, m, grouped) - need - zones / 2.) * m->group_size;
}

/* The model that has lacked groups for longest, and long enough. */
static const cs_serving_model_t *
find_lacking (const cs_model_demand_t *d, int64_t now_ms, const cs_serving_service_t *service)
{
	const cs_serving_model_t *longest = NULL;
	int64_t since_ms = now_ms - CS_DEMAND_LACK_MS + 1;
	for (size_t i = 0; i < service->n_models; i++) {
		const cs_serving_model_t *m = &service->models[i];
		const cs_demand_t *e = find (d, service->name, m->name, NULL);
		if (!m->group_size || !is_known (e, now_ms) || !e->lacking_ms ||
		    e->lacking_ms >= since_ms)
			continue;
		longest = m;
		since_ms = e->lacking_ms;
	}
	return longest;
}

const cs_serving_model_t *
cs_model_demand_update (cs_model_demand_t *d, int64_t now_ms, const cs_serving_service_t *service,
			double grouped, uint32_t zones)
{
	const cs_serving_model_t *giver = NULL;
	double most = 0;
	if (!cs_serving_has_large_groups (service) ||
	    (d->moved_ms && now_ms - d->moved_ms < CS_DEMAND_HOLD_MS))
		return NULL;
	const cs_serving_model_t *taker = find_lacking (d, now_ms, service);
	if (!taker)
		return NULL;
	for (size_t i = 0; i < service->n_models; i++) {
		const cs_serving_model_t *m = &service->models[i];
		double spare = m == taker ? 0 : spare_of (d, now_ms, service, m, grouped, zones);
		if (spare <= most)
			continue;
		giver = m;
		most = spare;
	}
	uint32_t whole = giver && giver->group_size > taker->group_size ? giver->group_size
									: taker->group_size;
	if (!giver || most < whole)
		return NULL;
	cs_demand_t *to = find (d, service->name, taker->name, NULL);
	cs_demand_t *from = find (d, service->name, giver->name, NULL);
	to->moved += whole;
	from->moved -= whole;
	d->taker = to;
	d->giver = from;
	d->n_moved = whole;
	d->moved_ms = now_ms;
	return taker;
}
