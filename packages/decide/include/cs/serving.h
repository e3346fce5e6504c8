/* The operator's configuration in force on a hosted platform: routes, services with the models of
 * their engines, teams with their keys, and limits on callers' requests. The platform adapter
 * builds each version, which is immutable afterwards and shared by reference. */
#ifndef CS_SERVING_H
#define CS_SERVING_H

#include <stdbool.h>
#include <uthash.h>

#include "cs/ref.h"
#include "cs/rng.h"
#include "cs/str.h"

enum {
	CS_SERVING_LARGE_GROUP = 12 /* back ends of a group */
};

typedef enum {
	CS_KIND_IDEMPOTENT,     /* may run more than once */
	CS_KIND_NON_IDEMPOTENT, /* at most once for each request id */
	CS_KIND_STREAM          /* server-sent events; idempotent where it is resumable */
} cs_route_kind_t;

typedef struct {
	char *service;
	uint32_t weight;
} cs_split_t;

typedef struct {
	char *name;
	char *host;   /* without port */
	char *prefix; /* path prefix; begins and ends with a slash */
	cs_route_kind_t kind;
	uint32_t timeout_ms; /* 0: none */
	uint32_t target_ms;  /* latency objective for the whole answer, or a stream's first event */
	uint32_t gap_ms;     /* objective for the longest pause between events; 0: none */
	uint32_t attempts;   /* maximum number of back ends that may run one request */
	uint32_t priority;   /* 0 is the most urgent */
	bool is_public;      /* requests need no key */
	bool resumable;      /* a stream can continue at another back end */
	cs_split_t *splits;  /* services by weight; at least one */
	size_t n_splits;
	char **homes; /* regions that requests may be sent to; none: all */
	size_t n_homes;
} cs_serving_route_t;

/* A model that back ends of a service run in groups. */
typedef struct {
	char *name;
	uint32_t group_size;
	double share;     /* initial share of the service's work, 0 to 1 */
	double pace;      /* factor applied to all times of a group */
	uint32_t load_ms; /* time to join if the weights must be loaded first */
	uint32_t warm_ms; /* time to join with weights already on the host */
} cs_serving_model_t;

/* How long an engine works on its requests. All times are of a model with pace 1; 0: not stated. */
typedef struct {
	double step_ms;         /* of one token of all requests that are writing */
	double step_request_ms; /* and more for each of them */
	double step_context_ms; /* and for each 1,000 tokens of its context */
	double read_tokens_ms;  /* tokens of prompts that are read in a millisecond */
	double read_pairs_ms;   /* and more for a million pairs of a token and an earlier one */
	uint32_t chunk_tokens;  /* of prompts that are read between two steps, at most */
	uint32_t stride;        /* steps of a pass, each followed by an event */
	uint64_t memory_tokens; /* of all its requests, prompts and answers */
	uint32_t usual_prompt;  /* tokens, on average */
	uint32_t usual_answer;
	double far_factor; /* by which a group of several domains is slower */
} cs_serving_engine_t;

typedef struct {
	char *name;
	uint32_t connection_limit; /* connections to one back end, all callers together */
	uint32_t slots;            /* concurrent requests of one group; 0: no engine */
	double loads_per_s;        /* rate at which loads from the weight store may start */
	uint32_t loads_at_once;    /* loads beyond this number share the weight store's bandwidth */
	cs_serving_model_t *models;
	size_t n_models;
	cs_serving_engine_t engine;
	double cold_per_s;      /* requests a second that a cold back end bears; 0: not stated */
	uint32_t cold_start_ms; /* for which a back end is cold after its start */
} cs_serving_service_t;

typedef struct {
	char *name;
	int priority; /* overrides the route's; -1: none */
	char **homes; /* regions that its requests may be sent to; none: all */
	size_t n_homes;
} cs_team_t;

typedef struct {
	char *key;
	size_t team; /* index into teams */
	UT_hash_handle hh;
} cs_team_key_t;

typedef struct {
	cs_ref_t ref;
	uint64_t version;
	int64_t read_ms; /* when this daemon read this version */
	cs_serving_route_t *routes;
	size_t n_routes;
	cs_serving_service_t *services;
	size_t n_services;
	cs_team_t *teams;
	size_t n_teams;
	cs_team_key_t *keys; /* uthash by key */
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t head_timeout_ms; /* from the first byte of a request's head to its last */
	uint32_t idle_ms;         /* callers reuse only connections idle for less than this */
} cs_serving_t;

/* Returns an empty configuration with one reference. It owns its elements and their strings, which
 * must be allocated on the heap. */
cs_serving_t *cs_serving_new (void);
/* Appends a zeroed element; invalidates pointers to earlier elements of the same kind. */
cs_serving_route_t *cs_serving_add_route (cs_serving_t *s);
cs_serving_service_t *cs_serving_add_service (cs_serving_t *s);
cs_serving_model_t *cs_serving_add_model (cs_serving_service_t *service);
/* Appends a service with its weight to the route's splits. */
void cs_serving_add_split (cs_serving_route_t *r, const char *service, uint32_t weight);
/* Adds a team and returns its index. */
size_t cs_serving_add_team (cs_serving_t *s, const char *name, int priority);
/* Appends a region to a list of homes. */
void cs_serving_add_home (char ***homes, size_t *n_homes, const char *region);
/* Adds a key of the team with that index. A key that is added again stays with its first team. */
void cs_serving_add_key (cs_serving_t *s, const char *key, size_t team);

/* Returns the route of the host whose prefix is the longest that the path begins with; NULL: none.
 * The host is compared without its port and regardless of case. */
const cs_serving_route_t *cs_serving_find_route (const cs_serving_t *s, cs_str_t host,
						 cs_str_t path);
/* Returns the key's team; NULL: unknown key. */
const cs_team_t *cs_serving_find_team (const cs_serving_t *s, cs_str_t key);
/* Draws a service of the route at random by weight; the first one if all weights are 0. */
const char *cs_serving_pick_service (const cs_serving_route_t *route, cs_rng_t *rng);
/* These two return NULL if there is none of that name. */
const cs_serving_service_t *cs_serving_find_service (const cs_serving_t *s, const char *name);
const cs_serving_model_t *cs_serving_find_model (const cs_serving_service_t *service,
						 const char *name);
/* True if a model of the service has groups of CS_SERVING_LARGE_GROUP back ends or more. Such a
 * service has few heads for its many daemons, each of which sees a head too seldom to know its load
 * by its own requests. */
bool cs_serving_has_large_groups (const cs_serving_service_t *service);
/* True if a request that may already have run may be attempted again. */
bool cs_serving_is_repeatable (const cs_serving_route_t *route);

#endif
