/* Chooses the target of a request: a complete replica or a plain back end.
 *
 * The load of a target is the load it last reported, corrected by the requests that this
 * daemon has begun and ended since the report:
 * max (own now, reported - own at the report + own now), own being this daemon's requests
 * in flight. Outdated reports are ignored.
 *
 * Targets of the daemon's own zone are preferred. Other zones are used only when no target
 * of the own zone can take the request; then all their reachable targets compete regardless
 * of zone. With a zone_penalty, all zones are compared together and a target of another zone
 * counts as if its load were higher by the penalty.
 *
 * Outlier ejection: a target whose smoothed time to first byte or gap between tokens is too
 * far above the median of its service, or that fails repeatedly, gets no requests for a
 * while. At most eject_percent of the targets of a service are ejected, but always up to one
 * if it has three or more.
 *
 * Slow start: the load of a new or returned target counts multiplied until slow_start_ms
 * have passed.
 *
 * Placing by the first event, for targets whose engine is stated: load of hundreds of daemons, each
 * of which sends to a target once in seconds, and of prompts of 40 to 5,880 tokens. The first event
 * is expected after
 *     way + delay + reading of what this daemon sent there and waits for + own reading + own pass,
 * way being CS_ROUTE_WAY_MS for another zone, and delay the one that the load predicts: half a
 * pass, and what the streams add to the passes of the reading and to the own one. A delay that was
 * seen replaces it, the less the older it is, for 200 ms. A request of this daemon that waits for
 * its first event shows a delay at least that long. A target of which nothing is known counts as
 * loaded as the mean of the others. Of two at random the one that costs less is chosen:
 *
 *   cost = (first event + CS_ROUTE_HARM_PERCENT of the own reading * streams running) / objective
 *
 * Long prompts thus go where few streams would pause for them. All daemons see the same loads,
 * late: a cost is that of a load drawn at random from what it may be by now, with a deviation of
 * four times the requests that may have come since; this daemon's own requests, which it knows at
 * once, count thirtyfold. The own zone is kept while its choice is expected within
 * CS_ROUTE_OWN_ZONE_PERCENT of the objective; else the better of two of the other zones is chosen
 * if it costs less, with the way. A target is at capacity if its slots are taken even if as many
 * requests as may have come since have ended, or if the request would exceed its memory.
 *
 * Cache events are only hints; they may be late or missing. */
#ifndef CS_ROUTER_H
#define CS_ROUTER_H

#include "cs/cache_event.h"
#include "cs/first_event.h"
#include "cs/load_board.h"
#include "cs/rng.h"
#include "cs/status.h"
#include "cs/str.h"

/* Mechanisms that tests can disable. */
typedef enum {
	CS_ROUTER_NO_EJECTION = 1 << 0,
	CS_ROUTER_NO_SLOW_START = 1 << 1,
	CS_ROUTER_NO_CORRECTION = 1 << 2, /* use reported loads uncorrected */
	CS_ROUTER_NO_ZONE_FIRST = 1 << 3,
	CS_ROUTER_NO_LOAD_BOUND = 1 << 4, /* prefix affinity regardless of the load */
	CS_ROUTER_NO_CACHE_GAP = 1 << 5,  /* keep hints after lost cache events */
	CS_ROUTER_NO_CACHE_EPOCH = 1 << 6 /* keep hints and position after an engine restart */
} cs_router_disabled_t;

enum {
	CS_ROUTE_WAY_MS = 3,            /* to another zone of the region and back */
	CS_ROUTE_OWN_ZONE_PERCENT = 25, /* of the objective */
	CS_ROUTE_HARM_PERCENT = 10,
	CS_ROUTE_TARGET_MS = 500
};

typedef enum {
	CS_ROUTE_RANDOM,
	CS_ROUTE_ROUND_ROBIN,
	CS_ROUTE_FEWEST,      /* fewest of this daemon's requests in flight */
	CS_ROUTE_TWO_CHOICES, /* the less loaded of two at random */
	CS_ROUTE_AFFINITY,    /* prefix affinity with bounded load, else two choices */
	CS_ROUTE_FIRST_EVENT, /* also for each target whose engine is stated, whatever the policy */
	CS_ROUTE_POLICIES
} cs_route_policy_t;

typedef struct {
	cs_route_policy_t policy;
	const char *zone; /* of this daemon; must outlive the router */
	uint64_t seed;
	uint32_t eject_percent;      /* 0: 10 */
	uint32_t slow_start_ms;      /* 0: 10000 */
	uint32_t eject_ms;           /* 0: 10000; doubles with each repeat, up to the eightfold */
	uint32_t load_bound_percent; /* affinity: largest load relative to the mean; 0: 125 */
	uint32_t max_report_age_ms;  /* 0: 10000; older load reports are ignored */
	uint32_t zone_penalty;       /* requests; 0: own zone first */
	uint32_t disabled;           /* cs_router_disabled_t */
} cs_router_options_t;

/* Declared and observed properties of a target; strings are copied. */
typedef struct {
	const char *name;    /* group or back end, unique */
	const char *service; /* model group or plain service it belongs to */
	const char *zone;
	const char *version; /* "" matches any */
	const char *const *adapters;
	size_t n_adapters;
	uint64_t fence;          /* a new number means a new replica: its statistics are reset */
	uint32_t max_concurrent; /* requests in progress, from all daemons; 0: no limit */
	bool serving;            /* complete according to evidence that is recent enough */
	bool leaving;            /* draining: gets no new requests */
	bool evacuated;          /* gets no new requests until its zone is taken back */
	bool reachable;          /* its zone can be reached; ignored for the own zone */
	const cs_serving_engine_t *engine; /* copied; requests are placed by the first event. NULL:
					      they are not */
	double pace;                       /* of the engine; 0: 1 */
} cs_target_info_t;

typedef struct cs_target cs_target_t;

typedef struct {
	cs_router_options_t options;
	cs_rng_t rng;
	cs_target_t **targets; /* sorted by service and name */
	cs_target_t *by_name;  /* the same, uthash */
	size_t n;              /* length of targets */
	size_t cap;
	uint32_t round_robin_index; /* round-robin counter */
	cs_target_t **eligible;     /* buffer of one choice */
	size_t cap_eligible;
	double *scratch; /* buffer for computing a median */
	size_t cap_scratch;
} cs_router_t;

typedef struct {
	const char *service;
	const char *version;      /* "" for any */
	const char *adapter;      /* "" for none */
	uint64_t prefix;          /* hash of the prompt's prefix; 0: none */
	const char *const *avoid; /* names of targets not to choose: tried before */
	size_t n_avoid;
	const char *const *barred; /* names of targets that count as full */
	size_t n_barred;
	const char *const
		*suspects; /* names of targets to choose only if all others that serve the
			      query are to be avoided or ejected; being full is no reason */
	size_t n_suspects;
	const char *only; /* name of the only acceptable target, even if ejected; NULL: any */
	bool has_zones;   /* accept targets in these zones only, which may be none */
	const char *const *zones;
	size_t n_zones;
	bool includes_full;     /* accept targets at capacity as well */
	cs_request_size_t size; /* for targets whose engine is stated */
	bool is_size_guessed;   /* by the length of the body: the request doesn't state it */
	uint32_t target_ms;     /* objective for the first event; 0: CS_ROUTE_TARGET_MS */
} cs_route_query_t;

typedef struct {
	const char *name; /* valid until the target is removed */
	const char *zone;
	uint64_t fence;
	bool in_other_zone;     /* the target is in another zone */
	bool is_suspect;        /* the target is one of the query's suspects */
	bool cached;            /* the target holds the prefix according to a cache event */
	int64_t first_event_ms; /* expected from now on; -1: unknown */
} cs_route_t;

/* Whether a target can take a request, and what keeps it from it. */
typedef enum {
	CS_ROUTE_CANDIDATE,
	CS_ROUTE_FULL,
	CS_ROUTE_BARRED,
	CS_ROUTE_SUSPECT,
	CS_ROUTE_EJECTED,
	CS_ROUTE_TRIED,                              /* to be avoided */
	CS_ROUTE_OTHER_ZONE,                         /* one of the own zone can take it */
	CS_ROUTE_LAST_SERVING = CS_ROUTE_OTHER_ZONE, /* those up to here serve the query */
	CS_ROUTE_NO_HOME,                            /* in none of the query's zones */
	CS_ROUTE_EVACUATED,
	CS_ROUTE_LEAVING,
	CS_ROUTE_UNREACHABLE,
	CS_ROUTE_UNSUITED, /* other version or adapters, or not the only acceptable one */
	CS_ROUTE_NOT_SERVING,
	CS_ROUTE_VERDICTS
} cs_route_verdict_t;

/* A target as a query finds it. */
typedef struct {
	const char *name; /* valid until the target is removed, as is the zone */
	const char *zone;
	cs_route_verdict_t verdict;
	bool in_other_zone;
	uint32_t slots; /* requests that it runs at once; 0: unknown */
	double load;
	int64_t load_age_ms;    /* of its last load; -1: none was reported */
	int64_t first_event_ms; /* as in cs_route_t */
} cs_route_judged_t;

/* What cs_router_pick would do. */
typedef struct {
	cs_status_t status;
	cs_route_t chosen;
	cs_status_t next_status; /* of a second attempt, which avoids the chosen one */
	cs_route_t next;
	size_t n_judged;
	size_t n[CS_ROUTE_VERDICTS]; /* targets of the service by verdict */
} cs_route_explanation_t;

/* Result of one attempt at a target; times in microseconds, 0 if not measured. */
typedef struct {
	bool ok;
	int64_t first_byte_us;
	int64_t token_gap_us; /* mean time between tokens */
} cs_route_result_t;

void cs_router_init (cs_router_t *r, const cs_router_options_t *options);
void cs_router_finish (cs_router_t *r);
/* Adds or changes a target. */
void cs_router_set_target (cs_router_t *r, int64_t now_ms, const cs_target_info_t *info);
void cs_router_remove_target (cs_router_t *r, const char *name);
/* Removes the targets for which keep (arg, name) is false. */
void cs_router_retain_targets (cs_router_t *r, bool (*keep) (void *arg, const char *name),
			       void *arg);
/* Chooses a target. CS_UNAVAILABLE: no target serves the query; CS_INVALID: no engine of those that
 * do could ever hold the request; CS_EXHAUSTED: all that do are at capacity, ejected or among those
 * to avoid. */
cs_status_t cs_router_pick (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
			    cs_route_t *out);
/* Tells what cs_router_pick would do for the query now, and changes nothing. Stores up to max
 * targets of the service in judged, candidates first. */
void cs_router_explain (const cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
			cs_route_judged_t *judged, size_t max, cs_route_explanation_t *out);
/* True if targets would serve the service if they were not evacuated, and no other ones do. */
bool cs_router_is_evacuated (cs_router_t *r, const char *service);
/* Record the begin and the end of an attempt; each begin must have one end. */
void cs_router_begin_attempt (cs_router_t *r, int64_t now_ms, const char *name);
void cs_router_end_attempt (cs_router_t *r, int64_t now_ms, const char *name,
			    const cs_route_result_t *result);
/* Records the load that the target reported at at_ms; ignored if older than the last report. */
void cs_router_record_load (cs_router_t *r, const char *name, int64_t at_ms, uint32_t running,
			    uint32_t queued);
/* Record that a request of this size was sent, that its first event, or the first byte of an answer
 * that is no stream, has come, and that it ended; each sending must have one end. */
void cs_router_record_send (cs_router_t *r, int64_t now_ms, const char *name,
			    const cs_request_size_t *size);
void cs_router_record_first_event (cs_router_t *r, const char *name, int64_t sent_ms);
void cs_router_record_end (cs_router_t *r, const char *name, int64_t sent_ms,
			   const cs_request_size_t *size);
/* Records the loads of targets whose engine is stated, as far as they are newer. */
void cs_router_record_board (cs_router_t *r, int64_t now_ms, const cs_load_board_t *board);
/* The same for one that this daemon has seen; its own field `target` is not used. */
void cs_router_record_seen (cs_router_t *r, const char *name, const cs_load_t *seen);
/* Delay of a request's first event, first_ms after its sending, beyond the reading of its own
 * prompt; 0 if the target's engine is not stated. */
uint16_t cs_router_delay_ms (const cs_router_t *r, const char *name, const cs_request_size_t *size,
			     int64_t first_ms);
/* True if requests of this target are placed by the first event. */
bool cs_router_has_engine (const cs_router_t *r, const char *name);
/* Sets the hint whether the target holds the prefix; held is false once it is evicted. */
void cs_router_set_hint (cs_router_t *r, const char *name, uint64_t prefix, bool held);
/* Applies cache events of the replica's engine, in ascending order of their numbers; events
 * applied before are skipped. The hints are cleared five minutes after an event was lost, and
 * at once when the epoch changes, which means that the engine has restarted. epoch 0 and no
 * events: the engine reported none. */
void cs_router_apply_cache_events (cs_router_t *r, int64_t now_ms, const char *name, uint64_t epoch,
				   const cs_cache_event_t *events, size_t n);
/* Epoch and number of the last event applied, from which the engine is polled; 0 and 0 if there
 * is none. */
void cs_router_cache_position (const cs_router_t *r, const char *name, uint64_t *epoch,
			       uint64_t *after);
/* True if the poll of the named VM in this round includes its engine's cache events. Of the n
 * VMs polled, about four are chosen in each round by a hash of name and round; none if n
 * exceeds 12, as the events would then arrive some 10 s late. */
bool cs_router_is_cache_poll_due (const char *name, uint64_t round, size_t n);
/* Ejects outliers and readmits targets whose ejection has ended; called once a second. */
void cs_router_update_ejections (cs_router_t *r, int64_t now_ms);
bool cs_router_is_ejected (const cs_router_t *r, int64_t now_ms, const char *name);
uint32_t cs_router_in_flight (const cs_router_t *r, const char *name);
/* Requests that the target runs at once; 0: unknown. */
uint32_t cs_router_max_concurrent (const cs_router_t *r, const char *name);
const char *cs_route_verdict_name (cs_route_verdict_t verdict);
const char *cs_route_policy_name (cs_route_policy_t policy);

#endif
