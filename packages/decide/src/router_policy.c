#include "cs/hash.h"
#include "router_impl.h"

enum {
	MIN_BOUND_DIVISOR = 4, /* affinity always applies up to a quarter of max_concurrent */
	DEFAULT_MIN_BOUND = 4  /* and up to this many requests if max_concurrent is unknown */
};

static cs_target_t *
choose_random (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, cs_target_t **eligible,
	       size_t n)
{
	(void)now_ms;
	(void)q;
	return eligible[cs_rng_below (&r->rng, (uint32_t)n)];
}

static cs_target_t *
choose_round_robin (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
		    cs_target_t **eligible, size_t n)
{
	(void)now_ms;
	(void)q;
	return eligible[r->round_robin_index++ % n];
}

static cs_target_t *
choose_fewest (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, cs_target_t **eligible,
	       size_t n)
{
	(void)now_ms;
	(void)q;
	size_t start = cs_rng_below (&r->rng, (uint32_t)n);
	cs_target_t *best = eligible[start];
	for (size_t i = 1; i < n; i++) {
		cs_target_t *t = eligible[(start + i) % n];
		if (t->in_flight < best->in_flight)
			best = t;
	}
	return best;
}

static cs_target_t *
choose_two_choices (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
		    cs_target_t **eligible, size_t n)
{
	(void)q;
	if (n == 1)
		return eligible[0];
	uint32_t i = cs_rng_below (&r->rng, (uint32_t)n);
	uint32_t j = cs_rng_below (&r->rng, (uint32_t)n - 1);
	cs_target_t *a = eligible[i];
	cs_target_t *b = eligible[j < i ? j : j + 1];
	return cs_target_cost (r, a, now_ms) <= cs_target_cost (r, b, now_ms) ? a : b;
}

/* Load above which a target gets no requests by affinity. */
static double
load_bound (const cs_router_t *r, int64_t now_ms, cs_target_t **eligible, size_t n,
	    const cs_target_t *t)
{
	double sum = 1;
	for (size_t i = 0; i < n; i++)
		sum += cs_target_load (r, eligible[i], now_ms);
	double bound = sum / (double)n * r->options.load_bound_percent / 100;
	double min_bound = t->max_concurrent ? (double)t->max_concurrent / MIN_BOUND_DIVISOR
					     : DEFAULT_MIN_BOUND;
	return bound > min_bound ? bound : min_bound;
}

/* Rendezvous hashing with bounded load: the first target in the rendezvous order of the
 * prefix whose load is within the bound, preferring targets that hold the prefix according
 * to cache events. Without a prefix, or with all targets above the bound, the less loaded of
 * two at random. */
static cs_target_t *
choose_affinity (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, cs_target_t **eligible,
		 size_t n)
{
	if (!q->prefix)
		return choose_two_choices (r, now_ms, q, eligible, n);
	double bound = load_bound (r, now_ms, eligible, n, eligible[0]);
	bool ignores_bound = r->options.disabled & CS_ROUTER_NO_LOAD_BOUND;
	cs_target_t *best = NULL;
	uint64_t best_score = 0;
	bool is_best_hinted = false;
	for (size_t i = 0; i < n; i++) {
		cs_target_t *t = eligible[i];
		uint64_t score = cs_rendezvous (t->hash, q->prefix);
		bool is_hinted = cs_target_is_hinted (t, q->prefix);
		bool is_better = !best || (is_hinted && !is_best_hinted) ||
				 (is_hinted == is_best_hinted && score > best_score);
		if (!is_better || (!ignores_bound && cs_target_cost (r, t, now_ms) > bound))
			continue;
		best = t;
		best_score = score;
		is_best_hinted = is_hinted;
	}
	return best ? best : choose_two_choices (r, now_ms, q, eligible, n);
}

static cs_target_t *
choose_first_event (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
		    cs_target_t **eligible, size_t n)
{
	return eligible[0]->placing.is_stated ? cs_placing_choose (r, now_ms, q, eligible, n)
					      : choose_two_choices (r, now_ms, q, eligible, n);
}

const cs_route_choose_t cs_route_choices[CS_ROUTE_POLICIES] = {
	[CS_ROUTE_RANDOM] = choose_random,     [CS_ROUTE_ROUND_ROBIN] = choose_round_robin,
	[CS_ROUTE_FEWEST] = choose_fewest,     [CS_ROUTE_TWO_CHOICES] = choose_two_choices,
	[CS_ROUTE_AFFINITY] = choose_affinity, [CS_ROUTE_FIRST_EVENT] = choose_first_event,
};

const char *
cs_route_policy_name (cs_route_policy_t policy)
{
	static const char *const names[CS_ROUTE_POLICIES] = {
		[CS_ROUTE_RANDOM] = "random",     [CS_ROUTE_ROUND_ROBIN] = "round-robin",
		[CS_ROUTE_FEWEST] = "fewest",     [CS_ROUTE_TWO_CHOICES] = "two-choices",
		[CS_ROUTE_AFFINITY] = "affinity", [CS_ROUTE_FIRST_EVENT] = "first-event",
	};
	return names[policy];
}
