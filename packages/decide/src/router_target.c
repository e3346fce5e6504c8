#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "router_impl.h"

static const double ewma_weight = 0.2;          /* weight of the newest sample */
static const double slow_start_min_share = 0.1; /* share of the normal load at the start */

/* This daemon's requests in flight at a past time. Before the oldest sample: 0, or the
 * current number once samples have been overwritten. */
static uint32_t
in_flight_at (const cs_target_t *t, int64_t at_ms)
{
	uint32_t kept =
		t->n_history < CS_ROUTER_HISTORY_SAMPLES ? t->n_history : CS_ROUTER_HISTORY_SAMPLES;
	uint32_t oldest = t->n_history > CS_ROUTER_HISTORY_SAMPLES ? t->in_flight : 0;
	for (uint32_t i = 1; i <= kept; i++) {
		uint32_t slot = (t->n_history - i) % CS_ROUTER_HISTORY_SAMPLES;
		if (t->history[slot].at_ms <= at_ms)
			return t->history[slot].in_flight;
	}
	return oldest;
}

double
cs_target_load (const cs_router_t *r, const cs_target_t *t, int64_t now_ms)
{
	double own = t->in_flight;
	if (!t->reported || now_ms - t->report_ms > r->options.max_report_age_ms)
		return own;
	double load = t->report_load;
	if (!(r->options.disabled & CS_ROUTER_NO_CORRECTION))
		load += own - in_flight_at (t, t->report_ms);
	return load > own ? load : own;
}

double
cs_target_slow_start (const cs_router_t *r, const cs_target_t *t, int64_t now_ms, double load)
{
	if (r->options.disabled & CS_ROUTER_NO_SLOW_START)
		return load;
	double share = (double)(now_ms - t->slow_start_began_ms) / r->options.slow_start_ms;
	if (share >= 1)
		return load;
	return (load + 1) / (share > slow_start_min_share ? share : slow_start_min_share);
}

double
cs_target_cost (const cs_router_t *r, const cs_target_t *t, int64_t now_ms)
{
	double load = cs_target_load (r, t, now_ms) + (t->own_zone ? 0 : r->options.zone_penalty);
	return cs_target_slow_start (r, t, now_ms, load);
}

static void
record_in_flight (cs_target_t *t, int64_t now_ms)
{
	uint32_t last = (t->n_history + CS_ROUTER_HISTORY_SAMPLES - 1) % CS_ROUTER_HISTORY_SAMPLES;
	if (!t->n_history || now_ms - t->history[last].at_ms >= CS_ROUTER_HISTORY_INTERVAL_MS) {
		last = t->n_history % CS_ROUTER_HISTORY_SAMPLES;
		t->history[last].at_ms = now_ms;
		t->n_history++;
	}
	t->history[last].in_flight = t->in_flight;
}

static void
add_sample (cs_ewma_t *s, int64_t sample)
{
	if (sample <= 0)
		return;
	s->value += s->samples ? ewma_weight * ((double)sample - s->value) : (double)sample;
	s->samples++;
}

cs_target_t *
cs_target_find (const cs_router_t *r, const char *name)
{
	cs_target_t *t;
	HASH_FIND_STR (r->by_name, name, t);
	return t;
}

static void
free_target (cs_router_t *r, cs_target_t *t)
{
	HASH_DEL (r->by_name, t);
	free (t->name);
	free (t->service);
	free (t->zone);
	free (t->version);
	for (size_t i = 0; i < t->n_adapters; i++)
		free (t->adapters[i]);
	free ((void *)t->adapters);
	free (t);
}

static int
compare_to (const cs_target_t *t, const char *service, const char *name)
{
	int d = strcmp (t->service, service);
	return d ? d : strcmp (t->name, name);
}

/* Index of the first target that does not sort before the service and name. */
static size_t
lower_bound (const cs_router_t *r, const char *service, const char *name)
{
	size_t low = 0;
	size_t high = r->n;
	while (low < high) {
		size_t middle = (low + high) / 2;
		if (compare_to (r->targets[middle], service, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

size_t
cs_router_find_service (const cs_router_t *r, const char *service, size_t *n)
{
	size_t first = lower_bound (r, service, "");
	*n = 0;
	while (first + *n < r->n && !strcmp (r->targets[first + *n]->service, service))
		(*n)++;
	return first;
}

static void
insert_target (cs_router_t *r, cs_target_t *t)
{
	size_t at = lower_bound (r, t->service, t->name);
	r->targets = cs_grow (r->targets, &r->cap, r->n + 1, sizeof (cs_target_t *));
	memmove (&r->targets[at + 1], &r->targets[at], (r->n - at) * sizeof (cs_target_t *));
	r->targets[at] = t;
	r->n++;
}

static void
take_out_target (cs_router_t *r, const cs_target_t *t)
{
	size_t at = lower_bound (r, t->service, t->name);
	r->n--;
	memmove (&r->targets[at], &r->targets[at + 1], (r->n - at) * sizeof (cs_target_t *));
}

static cs_target_t *
add_target (cs_router_t *r, const cs_target_info_t *info)
{
	cs_target_t *t = cs_alloc (sizeof *t);
	t->name = cs_str_dup (cs_str (info->name));
	t->service = cs_str_dup (cs_str (info->service));
	t->zone = cs_str_dup (cs_str (""));
	t->hash = cs_hash (cs_str (info->name));
	HASH_ADD_KEYPTR (hh, r->by_name, t->name, strlen (t->name), t);
	insert_target (r, t);
	return t;
}

/* A back end serves another model with each group that it joins, and its target has to be found
 * under that one. */
static void
set_service (cs_router_t *r, cs_target_t *t, const char *service)
{
	if (!strcmp (t->service, service))
		return;
	take_out_target (r, t);
	free (t->service);
	t->service = cs_str_dup (cs_str (service));
	insert_target (r, t);
}

static void
set_zone (const cs_router_t *r, cs_target_t *t, const char *zone)
{
	t->own_zone = !strcmp (zone, r->options.zone);
	if (!strcmp (t->zone, zone))
		return;
	free (t->zone);
	t->zone = cs_str_dup (cs_str (zone));
}

static void
set_adapters (cs_target_t *t, const cs_target_info_t *info)
{
	for (size_t i = 0; i < t->n_adapters; i++)
		free (t->adapters[i]);
	free ((void *)t->adapters);
	t->n_adapters = info->n_adapters;
	t->adapters = cs_alloc (info->n_adapters * sizeof (char *));
	for (size_t i = 0; i < info->n_adapters; i++)
		t->adapters[i] = cs_str_dup (cs_str (info->adapters[i]));
}

/* Clears the statistics of a new or returned target and begins its slow start. */
static void
reset_statistics (cs_target_t *t, int64_t now_ms)
{
	t->slow_start_began_ms = now_ms;
	t->reported = false;
	t->consecutive_failures = 0;
	t->ejected_until_ms = 0;
	memset (&t->first_byte, 0, sizeof t->first_byte);
	memset (&t->token_gap, 0, sizeof t->token_gap);
}

void
cs_router_set_target (cs_router_t *r, int64_t now_ms, const cs_target_info_t *info)
{
	cs_target_t *t = cs_target_find (r, info->name);
	bool is_new = !t;
	if (!t)
		t = add_target (r, info);
	set_service (r, t, info->service);
	set_zone (r, t, info->zone);
	if (is_new || t->fence != info->fence) {
		reset_statistics (t, now_ms);
		t->ejections = 0;
		cs_target_reset_cache (t);
		cs_placing_reset (&t->placing);
	} else if (info->serving && !t->serving) {
		reset_statistics (t, now_ms);
	}
	free (t->version);
	t->version = cs_str_dup (cs_str (info->version));
	set_adapters (t, info);
	t->fence = info->fence;
	t->max_concurrent = info->max_concurrent;
	t->serving = info->serving;
	t->leaving = info->leaving;
	t->evacuated = info->evacuated;
	t->reachable = info->reachable;
	cs_placing_set_engine (t, info);
}

void
cs_router_retain_targets (cs_router_t *r, bool (*keep) (void *arg, const char *name), void *arg)
{
	size_t n = 0;
	for (size_t i = 0; i < r->n; i++) {
		if (keep (arg, r->targets[i]->name))
			r->targets[n++] = r->targets[i];
		else
			free_target (r, r->targets[i]);
	}
	r->n = n;
}

static bool
is_other (void *arg, const char *name)
{
	return strcmp (arg, name) != 0;
}

void
cs_router_remove_target (cs_router_t *r, const char *name)
{
	char *copy = cs_str_dup (cs_str (name));
	cs_router_retain_targets (r, is_other, copy);
	free (copy);
}

void
cs_router_begin_attempt (cs_router_t *r, int64_t now_ms, const char *name)
{
	cs_target_t *t = cs_target_find (r, name);
	if (!t)
		return;
	t->in_flight++;
	record_in_flight (t, now_ms);
}

void
cs_router_end_attempt (cs_router_t *r, int64_t now_ms, const char *name,
		       const cs_route_result_t *result)
{
	cs_target_t *t = cs_target_find (r, name);
	if (!t || !t->in_flight)
		return;
	t->in_flight--;
	record_in_flight (t, now_ms);
	t->consecutive_failures = result->ok ? 0 : t->consecutive_failures + 1;
	add_sample (&t->first_byte, result->first_byte_us);
	add_sample (&t->token_gap, result->token_gap_us);
}

void
cs_router_record_load (cs_router_t *r, const char *name, int64_t at_ms, uint32_t running,
		       uint32_t queued)
{
	cs_target_t *t = cs_target_find (r, name);
	if (!t || (t->reported && at_ms < t->report_ms))
		return;
	t->reported = true;
	t->report_ms = at_ms;
	t->report_load = running + queued;
}

uint32_t
cs_router_in_flight (const cs_router_t *r, const char *name)
{
	const cs_target_t *t = cs_target_find (r, name);
	return t ? t->in_flight : 0;
}

uint32_t
cs_router_max_concurrent (const cs_router_t *r, const char *name)
{
	const cs_target_t *t = cs_target_find (r, name);
	return t ? t->max_concurrent : 0;
}

bool
cs_router_is_ejected (const cs_router_t *r, int64_t now_ms, const char *name)
{
	const cs_target_t *t = cs_target_find (r, name);
	return t && now_ms < t->ejected_until_ms;
}

void
cs_router_finish (cs_router_t *r)
{
	for (size_t i = 0; i < r->n; i++)
		free_target (r, r->targets[i]);
	free ((void *)r->targets);
	free ((void *)r->eligible);
	free (r->scratch);
}
