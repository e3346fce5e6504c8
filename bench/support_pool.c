#include "support_pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"

static int
compare_double (const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;
	return (x > y) - (x < y);
}

enum {
	ROUTERS = 4,
	REPLICA_SLOTS = 16,   /* concurrent requests per replica */
	CACHED_PREFIXES = 40, /* prefixes that a replica caches */
	TOKENS_PER_REQUEST = 60,
	STEP_MS = 5,
	RUN_MS = 90000,
	REPORT_INTERVAL_MS = 500,
	LOAD_REPORT_LAG_MS = 300,
	MAX_JOBS = 40000,
	POLLED_REPLICAS = POOL_REPLICAS * 2 / ROUTERS, /* replicas that a daemon polls */
	EVENTS = 4096,                                 /* capacity of a replica's event ring */
	HEARTBEAT_MS = 1000 /* added lag of events that are forwarded to peers */
};

typedef struct {
	int64_t arrival_ms, first_ms, end_ms;
	int router, replica; /* replica -1: not yet routed */
	uint64_t prefix;
	double gap_ms;
} job_t;

typedef struct {
	char name[8];
	int running;
	uint64_t cache[CACHED_PREFIXES]; /* newest first */
	double slow_factor;
	struct {
		cs_cache_event_t event;
		int64_t at_ms;
	} events[EVENTS]; /* ring, indexed by event number modulo EVENTS */
	uint64_t n_events;
} replica_t;

typedef struct {
	cs_router_t routers[ROUTERS];
	replica_t replicas[POOL_REPLICAS];
	job_t jobs[MAX_JOBS];
	int n, done;
	int hits;
	cs_rng_t rng;
	cs_rng_t loss_rng;
	pool_case_t c;
	uint64_t delivered_events; /* events delivered to daemons */
} pool_t;

/* Cases without hints use small numbers as keys, so that their results stay comparable with
 * those of earlier versions. */
static uint64_t
prefix_key (const pool_t *p, uint64_t prefix)
{
	return p->c.hash_prefixes ? cs_rendezvous (0, prefix) : prefix;
}

static void
add_event (pool_t *p, replica_t *r, uint64_t prefix, bool held, int64_t now_ms)
{
	if (!prefix)
		return;
	uint64_t number = ++r->n_events;
	bool lost = cs_rng_below (&p->loss_rng, 100) < p->c.lost_percent;
	r->events[number % EVENTS].event =
		(cs_cache_event_t){lost ? 0 : number, prefix_key (p, prefix), held};
	r->events[number % EVENTS].at_ms = now_ms;
}

static bool
use_cache (pool_t *p, replica_t *r, uint64_t prefix, int64_t now_ms)
{
	int at = 0;
	int last = (p->c.cached_prefixes ? p->c.cached_prefixes : CACHED_PREFIXES) - 1;
	while (at < last && r->cache[at] != prefix)
		at++;
	bool hit = r->cache[at] == prefix;
	if (!hit) {
		add_event (p, r, r->cache[at], false, now_ms);
		add_event (p, r, prefix, true, now_ms);
	}
	memmove (r->cache + 1, r->cache, (size_t)at * sizeof *r->cache);
	r->cache[0] = prefix;
	return hit;
}

/* Delivers to daemon d the events of replica i that it has not received and whose delay has
 * passed. */
static void
deliver_events (pool_t *p, int d, int i, int64_t now_ms)
{
	cs_cache_event_t list[EVENTS];
	replica_t *r = &p->replicas[i];
	bool polls_replica = (i + d) % ROUTERS < 2;
	int64_t until_ms = now_ms - p->c.lag_ms - (polls_replica ? 0 : HEARTBEAT_MS);
	size_t n = 0;
	size_t max_events = polls_replica ? CS_MAX_CACHE_EVENTS : EVENTS;
	if (polls_replica &&
	    !cs_router_is_cache_poll_due (r->name, (uint64_t)(now_ms / REPORT_INTERVAL_MS),
					  POLLED_REPLICAS))
		return;
	if (p->c.hints < HINTS_GATHERERS || (!polls_replica && p->c.hints != HINTS_SHARED))
		return;
	uint64_t epoch;
	uint64_t number;
	cs_router_cache_position (&p->routers[d], r->name, &epoch, &number);
	number++;
	if (r->n_events >= EVENTS && number <= r->n_events - EVENTS)
		number = r->n_events - EVENTS + 1;
	for (; n < max_events && number <= r->n_events &&
	       r->events[number % EVENTS].at_ms <= until_ms;
	     number++)
		if (r->events[number % EVENTS].event.number)
			list[n++] = r->events[number % EVENTS].event;
	cs_router_apply_cache_events (&p->routers[d], now_ms, r->name, 1, list, n);
	p->delivered_events += n;
}

static bool
route_job (pool_t *p, job_t *j, int64_t now_ms)
{
	cs_route_query_t q = {.service = "m", .prefix = prefix_key (p, j->prefix)};
	cs_route_t out;
	if (cs_router_pick (&p->routers[j->router], now_ms, &q, &out) != CS_OK)
		return false;
	j->replica = atoi (out.name);
	replica_t *r = &p->replicas[j->replica];
	bool hit = use_cache (p, r, j->prefix, now_ms);
	double slowdown = r->running < REPLICA_SLOTS ? 1 + (double)r->running / REPLICA_SLOTS
						     : 2.0 * r->running / REPLICA_SLOTS;
	p->hits += hit;
	r->running++;
	cs_router_begin_attempt (&p->routers[j->router], now_ms, r->name);
	j->first_ms = now_ms + (int64_t)((hit ? 60 : 350) * slowdown * r->slow_factor);
	j->gap_ms = 20 * slowdown * r->slow_factor;
	j->end_ms = j->first_ms + (int64_t)(j->gap_ms * TOKENS_PER_REQUEST);
	return true;
}

static void
end_job (pool_t *p, job_t *j, int64_t now_ms)
{
	cs_route_result_t result = {true, (j->first_ms - j->arrival_ms) * 1000,
				    (int64_t)(j->gap_ms * 1000)};
	p->replicas[j->replica].running--;
	if (p->c.hints == HINTS_OWN || p->c.hints >= HINTS_BOTH)
		cs_router_set_hint (&p->routers[j->router], p->replicas[j->replica].name,
				    prefix_key (p, j->prefix), true);
	cs_router_end_attempt (&p->routers[j->router], now_ms, p->replicas[j->replica].name,
			       &result);
	j->end_ms = 0;
	p->done++;
}

static void
set_replicas (pool_t *p, int n, int64_t now_ms)
{
	for (int d = 0; d < ROUTERS; d++) {
		for (int i = 0; i < POOL_REPLICAS; i++) {
			cs_target_info_t t = {.name = p->replicas[i].name,
					      .service = "m",
					      .zone = "a",
					      .version = "",
					      .max_concurrent = REPLICA_SLOTS,
					      .serving = i < n};
			cs_router_set_target (&p->routers[d], now_ms, &t);
		}
	}
}

static void
start_pool (pool_t *p, const pool_case_t *c, uint64_t seed)
{
	memset (p, 0, sizeof *p);
	p->c = *c;
	cs_rng_init (&p->rng, seed);
	cs_rng_init (&p->loss_rng, seed + 100);
	for (int i = 0; i < POOL_REPLICAS; i++) {
		snprintf (p->replicas[i].name, sizeof p->replicas[i].name, "%d", i);
		p->replicas[i].slow_factor = c->straggler && i == 3 ? 5 : 1;
	}
	for (int d = 0; d < ROUTERS; d++) {
		cs_router_options_t o = {.policy = c->policy,
					 .zone = "a",
					 .seed = seed + (uint64_t)d,
					 .disabled = c->disabled};
		cs_router_init (&p->routers[d], &o);
	}
	set_replicas (p, c->replicas_before ? c->replicas_before : POOL_REPLICAS, -100000);
}

static void
report_loads (pool_t *p, int64_t now_ms, int lagged[POOL_REPLICAS])
{
	for (int i = 0; i < POOL_REPLICAS; i++) {
		for (int d = 0; d < ROUTERS && now_ms > REPORT_INTERVAL_MS; d++) {
			cs_router_record_load (&p->routers[d], p->replicas[i].name,
					       now_ms - LOAD_REPORT_LAG_MS, (uint32_t)lagged[i], 0);
			deliver_events (p, d, i, now_ms);
		}
	}
}

static void
run_pool (pool_t *p)
{
	/* At full load a replica takes 400 ms to the first token and 40 ms per token. */
	double mean_interval_ms =
		(400 + 40.0 * TOKENS_PER_REQUEST) / (POOL_REPLICAS * REPLICA_SLOTS) / p->c.load;
	double next_ms = 0;
	int first = 0;
	int lagged[POOL_REPLICAS] = {0};
	for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS) {
		if (p->c.replicas_after && now_ms == RUN_MS / 2)
			set_replicas (p, p->c.replicas_after, now_ms);
		for (; next_ms <= (double)now_ms && p->n < MAX_JOBS;
		     next_ms += cs_rng_exponential (&p->rng, mean_interval_ms)) {
			double u = cs_rng_unit (&p->rng);
			job_t j = {.arrival_ms = now_ms,
				   .router = (int)cs_rng_below (&p->rng, ROUTERS),
				   .replica = -1,
				   .prefix = 1 + (uint64_t)(u * u * POOL_PREFIXES)};
			p->jobs[p->n++] = j;
		}
		for (int i = first; i < p->n; i++) {
			job_t *j = &p->jobs[i];
			if (j->replica >= 0 && j->end_ms && j->end_ms <= now_ms)
				end_job (p, j, now_ms);
			else if (j->replica < 0)
				route_job (p, j, now_ms);
			if (i == first && j->replica >= 0 && !j->end_ms)
				first++;
		}
		for (int i = 0;
		     i < POOL_REPLICAS &&
		     now_ms % REPORT_INTERVAL_MS == REPORT_INTERVAL_MS - LOAD_REPORT_LAG_MS;
		     i++)
			lagged[i] = p->replicas[i].running;
		if (now_ms % REPORT_INTERVAL_MS == 0)
			report_loads (p, now_ms, lagged);
		for (int d = 0; d < ROUTERS && now_ms % 1000 == 0; d++)
			cs_router_update_ejections (&p->routers[d], now_ms);
	}
}

pool_result_t
pool_measure (const pool_case_t *c, uint64_t seed)
{
	static pool_t p;
	static double first[MAX_JOBS];
	size_t n = 0;
	start_pool (&p, c, seed);
	run_pool (&p);
	for (int i = 0; i < p.n; i++)
		if (p.jobs[i].arrival_ms > 10000 && p.jobs[i].arrival_ms < RUN_MS - 10000)
			first[n++] = p.jobs[i].replica < 0
					     ? (double)(RUN_MS - p.jobs[i].arrival_ms)
					     : (double)(p.jobs[i].first_ms - p.jobs[i].arrival_ms);
	qsort (first, n, sizeof *first, compare_double);
	for (int d = 0; d < ROUTERS; d++)
		cs_router_finish (&p.routers[d]);
	return (pool_result_t){first[n / 2], first[n * 95 / 100], first[n * 99 / 100],
			       100.0 * p.hits / p.n,
			       (double)p.delivered_events * 1000 / RUN_MS / ROUTERS};
}
