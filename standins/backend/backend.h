/* Stand-in for a backend server, used by tests: a member of a model engine or a plain
 * service, with fault injection through POST /fault. */
#ifndef STANDIN_BACKEND_H
#define STANDIN_BACKEND_H

#include "server.h"

typedef struct {
	const char *name; /* VM name in engine mode, backend name in service mode */
	bool honours_fencing;
	const char *weights_url;     /* base URL of the weight store; "": a load takes load_ms */
	uint64_t load_ms;            /* duration of a load without a weight store */
	uint64_t tokens_per_s;       /* generation rate of one request; above 0 */
	uint64_t prefill_ms_per_1k;  /* prefill time of 1,000 prompt tokens */
	uint64_t batch_size;         /* concurrent requests; above 0 */
	uint64_t work_ms;            /* duration of one call in service mode */
	uint64_t cache_prefixes;     /* capacity of the prefix cache; 0 disables it */
	uint64_t cache_lag_ms;       /* delay before a cache event is published */
	uint64_t cache_loss_percent; /* percentage of cache events that are never published */
} backend_options_t;

enum {
	CACHE_MAX_PREFIXES = 1024 /* upper limit of cache_prefixes */
};

extern backend_options_t options;

typedef enum {
	FAULT_OK,
	FAULT_CRASH,         /* exits with status 1 at token number after_tokens, at once if 0 */
	FAULT_SILENT,        /* keeps connections open without sending a response */
	FAULT_STRAGGLE,      /* multiplies processing times by factor */
	FAULT_REFUSE,        /* responds with 503 */
	FAULT_STALE_REPORT,  /* /v1/report returns the state at the time the fault was set */
	FAULT_LOSE_RESPONSE, /* service mode: runs the call, then closes the connection */
	/* Sends without end until the client closes the connection. The modes before
	 * FAULT_ENDLESS_REPORT answer all requests but reports and orders. */
	FAULT_ENDLESS_HEAD,        /* header lines */
	FAULT_ENDLESS_JSON,        /* a body of JSON */
	FAULT_ENDLESS_409,         /* the body of a refusal */
	FAULT_ENDLESS_503,         /* the body of a refusal */
	FAULT_ENDLESS_EVENT,       /* the first event of a stream */
	FAULT_ENDLESS_LATER_EVENT, /* the second event of a stream */
	FAULT_ENDLESS_COMMENTS,    /* comments before the first event of a stream */
	FAULT_ENDLESS_TAIL,        /* bytes behind the end of a complete stream */
	FAULT_ENDLESS_TRAILERS,    /* trailers of a body in chunks */
	FAULT_ENDLESS_BODY,        /* a body of unknown type */
	FAULT_ENDLESS_REPORT,      /* a body of /v1/report; other requests are not affected */
	N_FAULT_MODES
} fault_mode_t;

/* Handles POST /fault with a JSON object of the optional fields mode, after_tokens, factor,
 * poison, silence_open (silences open connections) and silence_streams (silences logged
 * requests). Responds with 400 to an unknown or malformed fault. */
enum MHD_Result fault_handle (server_request_t *r);
fault_mode_t fault_mode (void);
/* Returns ms, multiplied by the factor while FAULT_STRAGGLE is set. */
int64_t fault_scale_ms (int64_t ms);
/* Called with the request body before each token of a completion and each call of a service.
 * Exits the process with status 1 if the body contains the poison text or FAULT_CRASH has
 * reached its token count. */
void fault_before_token (cs_str_t body);
/* True for a logged request that had begun when silence_streams was last set. */
bool fault_silences_completion (uint64_t id);
/* True if the request must not be answered at present: FAULT_SILENT is set or its
 * connection was silenced. */
bool fault_silences_request (const server_request_t *r);

/* True if the current mode answers this request without end. */
bool endless_applies (const server_request_t *r);
/* Sends until the client closes the connection, then returns MHD_NO. */
enum MHD_Result endless_handle (server_request_t *r);
/* Numbers of answers without end since the start, of those that are being sent, and of their bytes.
 * The caller owns the object. */
json_t *endless_json (void);

/* Log of the last 10,000 requests that were run. Ids count from 1. */
typedef uint64_t request_log_id_t;
request_log_id_t request_log_begin (const char *id, const char *key, const char *path,
				    uint64_t fence);
void request_log_update (request_log_id_t id, uint64_t tokens, bool complete);
/* The most recent id; 0 if there is none. */
request_log_id_t request_log_last_id (void);
/* All entries, oldest first. The caller owns the array. */
json_t *request_log_json (void);

/* The engine's prefix cache with LRU eviction. A prefix is identified by the number in the
 * request header X-Cs-Prefix; 0 means no prefix. */
/* Inserts the prefix or marks it as most recently used; true on a cache hit. */
bool cache_access (uint64_t prefix);
/* Empties the cache and starts a new epoch of events, as a restart of the engine does. */
void cache_reset (void);
/* Published events with numbers above after; all available ones if epoch is not the current
 * epoch. NULL if there are none. The caller owns the result. */
json_t *cache_events (uint64_t epoch, uint64_t after);

/* Engine: /v1/report, /v1/orders, /v1/chat/completions. */
enum MHD_Result engine_handle (server_request_t *r);
void engine_freeze_report (bool frozen);
enum MHD_Result engine_handle_order (server_request_t *r);
enum MHD_Result engine_handle_completion (server_request_t *r);

/* Assignment of a member to a group. */
typedef struct {
	char group[128];
	char model[128];
	char version[64];
	uint64_t fence; /* fencing number */
	uint32_t rank;
} assignment_t;

/* True while the member is ready for this group with this fencing number. */
bool engine_has_assignment (const char *group, uint64_t fence);
/* Copies the assignment in any state; false if the member is not ready. */
bool engine_get_assignment (assignment_t *out);
/* Waits for a free slot in the batch and acquires it; false if the caller closed the
 * connection first. */
bool engine_acquire_slot (server_request_t *r);
void engine_release_slot (void);

/* Service mode: handles any path. */
enum MHD_Result service_handle (server_request_t *r);

#endif
