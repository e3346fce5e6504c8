#include "cs/router.h"

#include <string.h>

#include "router_impl.h"

enum {
	DEFAULT_EJECT_PERCENT = 10,
	DEFAULT_SLOW_START_MS = 10000,
	DEFAULT_EJECT_MS = 10000,
	DEFAULT_BOUND_PERCENT = 125,
	DEFAULT_REPORT_MS = 10000
};

static uint32_t
value_or (uint32_t value, uint32_t default_value)
{
	return value ? value : default_value;
}

void
cs_router_init (cs_router_t *r, const cs_router_options_t *options)
{
	memset (r, 0, sizeof *r);
	cs_router_options_t *o = &r->options;
	*o = *options;
	o->eject_percent = value_or (o->eject_percent, DEFAULT_EJECT_PERCENT);
	o->slow_start_ms = value_or (o->slow_start_ms, DEFAULT_SLOW_START_MS);
	o->eject_ms = value_or (o->eject_ms, DEFAULT_EJECT_MS);
	o->load_bound_percent = value_or (o->load_bound_percent, DEFAULT_BOUND_PERCENT);
	o->max_report_age_ms = value_or (o->max_report_age_ms, DEFAULT_REPORT_MS);
	cs_rng_init (&r->rng, o->seed);
}

static bool
has_version (const cs_target_t *t, const char *version)
{
	return !version || !*version || !*t->version || !strcmp (t->version, version);
}

static bool
has_adapter (const cs_target_t *t, const char *adapter)
{
	return !adapter || !*adapter ||
	       cs_str_in_list ((const char *const *)t->adapters, t->n_adapters, adapter);
}

/* Why the target does not serve the query, whatever its load and ejection; CS_ROUTE_CANDIDATE: it
 * does. */
static cs_route_verdict_t
judge_service (const cs_target_t *t, const cs_route_query_t *q)
{
	if (!t->serving)
		return CS_ROUTE_NOT_SERVING;
	if (t->leaving)
		return CS_ROUTE_LEAVING;
	if (t->evacuated)
		return CS_ROUTE_EVACUATED;
	if (!t->own_zone && !t->reachable)
		return CS_ROUTE_UNREACHABLE;
	if (q->has_zones && !cs_str_in_list (q->zones, q->n_zones, t->zone))
		return CS_ROUTE_NO_HOME;
	if (!has_version (t, q->version) || !has_adapter (t, q->adapter) ||
	    (q->only && strcmp (t->name, q->only) != 0))
		return CS_ROUTE_UNSUITED;
	return CS_ROUTE_CANDIDATE;
}

static bool
has_capacity (const cs_router_t *r, const cs_target_t *t, int64_t now_ms, const cs_route_query_t *q)
{
	if (t->placing.is_stated)
		return cs_placing_has_capacity (r, t, now_ms, &q->size);
	return !t->max_concurrent || cs_target_load (r, t, now_ms) < t->max_concurrent;
}

cs_route_verdict_t
cs_router_judge (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
		 const cs_route_query_t *q, const cs_route_pass_t *pass)
{
	cs_route_verdict_t verdict = judge_service (t, q);
	if (verdict != CS_ROUTE_CANDIDATE)
		return verdict;
	if (cs_str_in_list (q->avoid, q->n_avoid, t->name))
		return CS_ROUTE_TRIED;
	if (!q->only && now_ms < t->ejected_until_ms)
		return CS_ROUTE_EJECTED;
	if (!pass->with_suspects && cs_str_in_list (q->suspects, q->n_suspects, t->name))
		return CS_ROUTE_SUSPECT;
	if (cs_str_in_list (q->barred, q->n_barred, t->name))
		return CS_ROUTE_BARRED;
	if (!q->includes_full &&
	    (cs_placing_exceeds_engine (t, q) || !has_capacity (r, t, now_ms, q)))
		return CS_ROUTE_FULL;
	return pass->own_zone_only && !t->own_zone ? CS_ROUTE_OTHER_ZONE : CS_ROUTE_CANDIDATE;
}

static bool
is_unsuspected (cs_route_verdict_t verdict)
{
	return verdict == CS_ROUTE_CANDIDATE || verdict == CS_ROUTE_OTHER_ZONE ||
	       verdict == CS_ROUTE_FULL || verdict == CS_ROUTE_BARRED;
}

static cs_route_candidates_t
collect_pass (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
	      const cs_route_pass_t *pass)
{
	cs_route_candidates_t c = {.pass = *pass};
	size_t n_range;
	size_t first = cs_router_find_service (r, q->service, &n_range);
	r->eligible =
		cs_grow ((void *)r->eligible, &r->cap_eligible, n_range, sizeof (cs_target_t *));
	for (size_t i = first; i < first + n_range; i++) {
		cs_target_t *t = r->targets[i];
		/* Where one of the own zone is found, the others need not be looked at. */
		if (pass->own_zone_only && !t->own_zone)
			continue;
		cs_route_verdict_t verdict = cs_router_judge (r, t, now_ms, q, pass);
		c.serving += verdict <= CS_ROUTE_LAST_SERVING;
		c.holding += verdict <= CS_ROUTE_LAST_SERVING && !cs_placing_exceeds_engine (t, q);
		c.unsuspected += is_unsuspected (verdict);
		if (verdict == CS_ROUTE_CANDIDATE)
			r->eligible[c.n++] = t;
	}
	return c;
}

static cs_route_candidates_t
collect_zones (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, bool with_suspects)
{
	bool any_zone = r->options.zone_penalty || (r->options.disabled & CS_ROUTER_NO_ZONE_FIRST);
	cs_route_pass_t pass = {.with_suspects = with_suspects, .own_zone_only = !any_zone};
	cs_route_candidates_t c = collect_pass (r, now_ms, q, &pass);
	if (c.n || any_zone)
		return c;
	pass.own_zone_only = false;
	return collect_pass (r, now_ms, q, &pass);
}

cs_route_candidates_t
cs_router_collect (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q)
{
	cs_route_candidates_t c = collect_zones (r, now_ms, q, false);
	if (!c.n && !c.unsuspected && q->n_suspects)
		c = collect_zones (r, now_ms, q, true);
	return c;
}

cs_status_t
cs_router_pick (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, cs_route_t *out)
{
	const cs_route_candidates_t c = cs_router_collect (r, now_ms, q);
	if (!c.serving)
		return cs_fail (CS_UNAVAILABLE, "no target of %s serves the request", q->service);
	if (!c.n && !c.holding)
		return cs_fail (CS_INVALID, "the request exceeds the memory of each engine of %s",
				q->service);
	if (!c.n)
		return cs_fail (CS_EXHAUSTED,
				"all targets of %s are at capacity, ejected or to be avoided",
				q->service);
	/* All targets of a service are stated alike. */
	bool is_stated = r->eligible[0]->placing.is_stated;
	cs_route_policy_t policy = is_stated ? CS_ROUTE_FIRST_EVENT : r->options.policy;
	cs_target_t *t = cs_route_choices[policy](r, now_ms, q, r->eligible, c.n);
	out->name = t->name;
	out->zone = t->zone;
	out->fence = t->fence;
	out->in_other_zone = !t->own_zone;
	out->is_suspect = cs_str_in_list (q->suspects, q->n_suspects, t->name);
	out->cached = cs_target_is_hinted (t, q->prefix);
	out->first_event_ms =
		is_stated ? (int64_t)cs_placing_first_event_ms (r, t, now_ms, q, c.n) : -1;
	return CS_OK;
}

bool
cs_router_is_evacuated (cs_router_t *r, const char *service)
{
	size_t n, n_evacuated = 0;
	size_t first = cs_router_find_service (r, service, &n);
	for (size_t i = first; i < first + n; i++) {
		const cs_target_t *t = r->targets[i];
		if (!t->serving || t->leaving)
			continue;
		if (!t->evacuated)
			return false;
		n_evacuated++;
	}
	return n_evacuated > 0;
}
