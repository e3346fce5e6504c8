/* Choice of the target (a whole replica or a plain back end) for one request.
 *
 * Load of a target = what it last reported, corrected for the report's age by what this
 * daemon has itself begun and ended since: max (own, reported - own then + own now).
 * Own zone first. Other zones only when no target of the own zone may take the request;
 * then all reachable targets of other zones count alike. With a zone_penalty all zones are
 * compared at once, and a target of another zone counts as if it had that load more.
 * Stragglers are ejected for a while by comparing their smoothed time to first byte and
 * gap between tokens with the median of their service, never more than eject_percent of
 * them, but one of three or more. A new or returned target starts slowly: its load counts
 * multiplied until slow_start_ms have passed. Cache events are hints: they may be late or
 * missing. */
#ifndef CS_ROUTER_H
#define CS_ROUTER_H

#include "cs/cache_event.h"
#include "cs/rng.h"
#include "cs/status.h"
#include "cs/str.h"

/* Mechanisms that tests turn off. */
typedef enum {
	CS_ROUTER_NO_EJECTION = 1 << 0,
	CS_ROUTER_NO_SLOW_START = 1 << 1,
	CS_ROUTER_NO_CORRECTION = 1 << 2, /* take the report as it is */
	CS_ROUTER_NO_ZONE_FIRST = 1 << 3,
	CS_ROUTER_NO_LOAD_BOUND = 1 << 4, /* affinity whatever the load */
	CS_ROUTER_NO_CACHE_GAP = 1 << 5,  /* hints stay though cache events were lost */
	CS_ROUTER_NO_CACHE_EPOCH = 1 << 6 /* hints and numbers stay though the engine restarted */
} cs_router_disabled_t;

typedef enum {
	CS_ROUTE_RANDOM,
	CS_ROUTE_ROUND_ROBIN,
	CS_ROUTE_FEWEST,      /* fewest of this daemon's requests in flight */
	CS_ROUTE_TWO_CHOICES, /* the less loaded of two at random */
	CS_ROUTE_AFFINITY,    /* two choices, prefix affinity with bounded load */
	CS_ROUTE_POLICIES
} cs_route_policy_t;

typedef struct {
	cs_route_policy_t policy;
	const char *zone; /* of this daemon; must outlive the router */
	uint64_t seed;
	uint32_t eject_percent; /* 0: 10 */
	uint32_t slow_start_ms; /* 0: 10000 */
	uint32_t eject_ms;      /* 0: 10000; doubles with each repeat, up to 8 times */
	uint32_t bound_percent; /* affinity: load up to this share of the mean; 0: 125 */
	uint32_t report_ms;     /* 0: 10000; older reports of load say nothing */
	uint32_t zone_penalty;  /* requests; 0: own zone first */
	uint32_t disabled;      /* cs_router_disabled_t */
} cs_router_options_t;

/* What is declared or known of a target; strings are copied. */
typedef struct {
	const char *name;    /* group or back end, unique */
	const char *service; /* model group or plain service it belongs to */
	const char *zone;
	const char *version; /* "" matches any */
	const char *const *adapters;
	size_t n_adapters;
	uint64_t fence;          /* a new number is a new replica: counters start anew */
	uint32_t max_concurrent; /* requests in progress, of all daemons; 0: no bound */
	bool serving;            /* whole, by evidence within its bound */
	bool leaving;            /* no new work */
	bool reachable;          /* its zone isn't cut off */
} cs_target_info_t;

typedef struct cs_target cs_target_t;

typedef struct {
	cs_router_options_t options;
	cs_rng_t rng;
	cs_target_t **targets; /* sorted by service and name */
	size_t n;
	size_t cap;
	uint32_t turn;          /* round robin */
	cs_target_t **eligible; /* scratch of one choice */
	size_t cap_eligible;
	double *scratch;
	size_t cap_scratch;
} cs_router_t;

typedef struct {
	const char *service;
	const char *version;      /* "" for any */
	const char *adapter;      /* "" for none */
	uint64_t prefix;          /* hash of the prompt's prefix; 0: none */
	const char *const *avoid; /* targets tried before */
	size_t n_avoid;
	const char *only; /* this target or none; NULL: any */
	bool any_load;    /* also targets at capacity, where no other may take it */
} cs_route_query_t;

typedef struct {
	const char *name; /* valid until the target is removed */
	const char *zone;
	uint64_t fence;
	bool spilled; /* not in the own zone */
	bool cached;  /* a cache event said that the prefix is there */
} cs_route_t;

/* End of one attempt at a target; times in microseconds, 0 when there was none. */
typedef struct {
	bool ok;
	int64_t first_byte_us;
	int64_t token_gap_us; /* mean time between tokens */
} cs_route_result_t;

void cs_router_init (cs_router_t *r, const cs_router_options_t *options);
void cs_router_finish (cs_router_t *r);
/* Adds or changes a target. */
void cs_router_set (cs_router_t *r, int64_t now_ms, const cs_target_info_t *info);
void cs_router_remove (cs_router_t *r, const char *name);
/* Keeps only targets for which keep (arg, name) holds. */
void cs_router_retain (cs_router_t *r, bool (*keep) (void *arg, const char *name), void *arg);
/* CS_UNAVAILABLE: no target serves; CS_EXHAUSTED: all that serve are at capacity. */
cs_status_t cs_router_pick (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
			    cs_route_t *out);
/* The attempt begins and ends; each begin has one end. */
void cs_router_begin (cs_router_t *r, int64_t now_ms, const char *name);
void cs_router_end (cs_router_t *r, int64_t now_ms, const char *name,
		    const cs_route_result_t *result);
/* Load that the target itself reported at_ms. */
void cs_router_report (cs_router_t *r, const char *name, int64_t at_ms, uint32_t running,
		       uint32_t queued);
/* A cache event: the target holds the prefix, or has dropped it. */
void cs_router_cached (cs_router_t *r, const char *name, uint64_t prefix, bool held);
/* Events of the replica's engine, by rising number; those that were taken before are
 * skipped. Hints end five minutes after an event was lost, and at once with another epoch:
 * an engine that started anew. epoch 0 and no events: the engine had nothing to say. */
void cs_router_cache_events (cs_router_t *r, int64_t now_ms, const char *name, uint64_t epoch,
			     const cs_cache_event_t *events, size_t n);
/* Epoch and number of the last event taken: what to ask the engine for. */
void cs_router_cache_position (const cs_router_t *r, const char *name, uint64_t *epoch,
			       uint64_t *after);
/* True if this round's poll of the named replica asks for its cache events: of n polls a
 * few do, others in each round; none where n is so large that the events would come too
 * late to be of use. */
bool cs_router_cache_due (const char *name, uint64_t round, size_t n);
/* Judges stragglers; once a second. */
void cs_router_tick (cs_router_t *r, int64_t now_ms);
bool cs_router_is_ejected (const cs_router_t *r, int64_t now_ms, const char *name);
uint32_t cs_router_in_flight (const cs_router_t *r, const char *name);
/* Requests that all serving targets of a service can take at once, and those in flight
 * by the corrected load; own zone only. */
void cs_router_capacity (const cs_router_t *r, int64_t now_ms, const char *service,
			 uint64_t *capacity, uint64_t *load);
const char *cs_route_policy_name (cs_route_policy_t policy);

#endif
