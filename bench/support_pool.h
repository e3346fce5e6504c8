/* Simulation of several daemons that route to the replicas of one zone. Load reports reach the
 * daemons with a delay; each replica caches some prompt prefixes and publishes cache events. */
#ifndef BENCH_SUPPORT_POOL_H
#define BENCH_SUPPORT_POOL_H

#include "cs/router.h"

enum {
	POOL_REPLICAS = 17,
	POOL_PREFIXES = 300
};

/* How the daemons learn which prefixes a replica caches. */
typedef enum {
	HINTS_OFF,
	HINTS_OWN,       /* from the daemon's own successful requests */
	HINTS_GATHERERS, /* from events, at the two daemons that poll the replica */
	HINTS_BOTH,      /* from own requests and, at the polling daemons, events */
	HINTS_SHARED     /* from own requests, and events that heartbeats carry to all daemons */
} hints_t;

typedef struct {
	cs_route_policy_t policy;
	double load;        /* share of the replicas' capacity */
	bool straggler;     /* one replica is five times slower */
	bool hash_prefixes; /* prefix keys are hashes instead of small numbers */
	hints_t hints;
	int lag_ms;            /* additional delay of the cache events */
	uint32_t lost_percent; /* share of cache events that are lost */
	int cached_prefixes;   /* prefixes that a replica caches; 0: CACHED_PREFIXES */
	int replicas_before, replicas_after; /* in each half; 0: POOL_REPLICAS, no change */
	uint32_t disabled;
} pool_case_t;

typedef struct {
	double p50_ms, p95_ms, p99_ms; /* time to the first token */
	double hits;                   /* cache hits, per cent of the requests */
	double events;                 /* cache events per second to one daemon */
} pool_result_t;

pool_result_t pool_measure (const pool_case_t *c, uint64_t seed);

#endif
