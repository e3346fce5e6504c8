/* Private types and functions of the router, shared by its source files. */
#ifndef CS_ROUTER_IMPL_H
#define CS_ROUTER_IMPL_H

#include "cs/router.h"

enum {
	CS_ROUTER_HISTORY_SAMPLES = 64,     /* samples of in_flight kept for each target */
	CS_ROUTER_HISTORY_INTERVAL_MS = 50, /* shortest time between two samples */
	CS_ROUTER_HINT_SLOTS = 256,         /* slots for prefix hashes of each target */
	CS_ROUTER_MIN_SAMPLES = 5,          /* attempts before a target may be ejected */
	CS_ROUTER_MAX_FAILURES = 5,         /* consecutive failures that mark an outlier */
	CS_ROUTER_AWAITED = 32              /* own requests at a target that are considered */
};

/* Exponentially weighted moving average of a latency, microseconds. */
typedef struct {
	double value;
	uint32_t samples;
} cs_ewma_t;

/* What placing by the first event knows of a target. */
typedef struct {
	bool is_stated; /* engine and pace are */
	cs_serving_engine_t engine;
	double pace;
	uint64_t board_target; /* its name on the board of loads */
	bool is_seen;          /* the next ones are known */
	int64_t seen_ms;
	uint32_t running;
	double delay_ms; /* smoothed */
	struct {
		int64_t sent_ms;
		double read_ms;
		double idle_ms;
	} awaited[CS_ROUTER_AWAITED]; /* own requests without a first event, in order */
	size_t n_awaited;
	uint64_t own_tokens; /* of own requests in flight: prompts and answers */
} cs_placing_t;

struct cs_target {
	UT_hash_handle hh;
	char *name;
	char *service;
	char *zone;
	char *version;
	char **adapters;
	size_t n_adapters;
	uint64_t hash; /* of name */
	uint64_t fence;
	uint32_t max_concurrent;
	bool serving;
	bool leaving;
	bool evacuated;
	bool reachable;
	bool own_zone;      /* in the router's zone */
	uint32_t in_flight; /* attempts begun by this daemon and not ended */
	struct {
		int64_t at_ms;
		uint32_t in_flight;
	} history[CS_ROUTER_HISTORY_SAMPLES]; /* ring buffer */
	uint32_t n_history;                   /* samples ever written */
	bool reported;                        /* the target has reported its load */
	int64_t report_ms;                    /* time of the last report */
	uint32_t report_load;                 /* running and queued requests */
	int64_t slow_start_began_ms;          /* start of the slow start */
	cs_ewma_t first_byte;
	cs_ewma_t token_gap;
	uint32_t consecutive_failures;
	int64_t ejected_until_ms; /* 0: not ejected */
	uint32_t ejections; /* since the target last recovered: each doubles the ejection time */
	uint64_t hints[CS_ROUTER_HINT_SLOTS]; /* direct-mapped prefix hashes; 0: empty */
	uint64_t cache_epoch;                 /* epoch of the last event applied; 0: none */
	uint64_t cache_after;                 /* number of the last event applied */
	cs_placing_t placing;
	int64_t event_lost_ms; /* first gap in the events since the hints were cleared; 0: none */
};

/* Estimated load of the target, in requests. */
double cs_target_load (const cs_router_t *r, const cs_target_t *t, int64_t now_ms);
/* Load for comparing targets: with the zone penalty, and raised during the slow start. */
double cs_target_cost (const cs_router_t *r, const cs_target_t *t, int64_t now_ms);
/* Load as it counts during the slow start. */
double cs_target_slow_start (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
			     double load);
/* NULL if there is no target of this name. */
cs_target_t *cs_target_find (const cs_router_t *r, const char *name);
/* Clears the hints and the position in the engine's cache events. */
void cs_target_reset_cache (cs_target_t *t);
/* True if a cache event has said that the target holds the prefix. */
bool cs_target_is_hinted (const cs_target_t *t, uint64_t prefix);
/* Index of the first target of a service; *n is the number of its targets. */
size_t cs_router_find_service (const cs_router_t *r, const char *service, size_t *n);

/* Which targets come into question. */
typedef struct {
	bool with_suspects;
	bool own_zone_only;
} cs_route_pass_t;

typedef struct {
	cs_route_pass_t pass; /* the last one, of whose targets the numbers are */
	size_t serving;       /* targets that serve the query, whatever their load and ejection */
	size_t holding;       /* of these, whose engine could hold it if it were empty */
	size_t unsuspected;   /* of those that serve, neither ejected, to be avoided nor suspect */
	size_t n;             /* of r->eligible: those that can take the request now */
} cs_route_candidates_t;

/* Whether the target, of the query's service, can take the request now, and if not, why. */
cs_route_verdict_t cs_router_judge (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
				    const cs_route_query_t *q, const cs_route_pass_t *pass);
/* Sets r->eligible. */
cs_route_candidates_t cs_router_collect (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q);

/* Forgets what was seen of the target's last group. */
void cs_placing_reset (cs_placing_t *p);
void cs_placing_set_engine (cs_target_t *t, const cs_target_info_t *info);
/* True if the target's engine is stated and couldn't hold the request even if it were empty: by
 * the tokens that the request states, as the usual answer and a guess from its body's length may
 * be too high. */
bool cs_placing_exceeds_engine (const cs_target_t *t, const cs_route_query_t *q);
/* True if slots and memory of the target's engine, which is stated, hold the request as well. */
bool cs_placing_has_capacity (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
			      const cs_request_size_t *size);
/* When the first event of the query's request is expected; n is the number of r->eligible. */
double cs_placing_first_event_ms (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
				  const cs_route_query_t *q, size_t n);
/* The policy CS_ROUTE_FIRST_EVENT, for targets whose engine is stated. */
cs_target_t *cs_placing_choose (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
				cs_target_t **eligible, size_t n);

/* Routing policy: returns one of n >= 1 eligible targets. */
typedef cs_target_t *(*cs_route_choose_t) (cs_router_t *r, int64_t now_ms,
					   const cs_route_query_t *q, cs_target_t **eligible,
					   size_t n);
extern const cs_route_choose_t cs_route_choices[CS_ROUTE_POLICIES];

#endif
