/* State of the task "engine". */
#ifndef CS_ENGINE_TASK_H
#define CS_ENGINE_TASK_H

#include <jansson.h>
#include <uthash.h>

#include "cs/answer_memory.h"
#include "cs/http.h"
#include "cs/messages.h"
#include "cs/sse.h"

typedef struct cs_attempt cs_attempt_t;
typedef struct cs_poll cs_poll_t;
typedef struct cs_order cs_order_t;
typedef struct cs_cached_report cs_cached_report_t;

typedef struct {
	cs_task_t *task;
	cs_task_t *gateway;
	cs_task_t *control;
	cs_http_t http;
	cs_answer_memory_t answer_memory;
	size_t waiting_bytes; /* share of it: of answers that wait in the gateway for their callers
			       */
	cs_attempt_t *attempts;             /* by request id */
	cs_poll_t *polls;                   /* by VM */
	cs_cached_report_t *cached_reports; /* last reports, by VM */
} cs_engine_t;

/* Starts an attempt, after cancelling an earlier one of the same request. Holds a reference to
 * the message until the attempt ends. */
void cs_attempt_start (cs_engine_t *e, cs_dispatch_msg_t *m);
void cs_attempt_cancel (cs_engine_t *e, const cs_request_t *r);
void cs_attempt_pause (cs_engine_t *e, const cs_request_t *r, bool paused);
/* The gateway has received what the attempt had sent to it. */
void cs_attempt_delivered (cs_engine_t *e, const cs_request_t *r);

/* Polls a VM for its report, unless an earlier poll of the VM is in progress. */
void cs_poll_start (cs_engine_t *e, const cs_poll_msg_t *m);
/* Copies the cache epoch and events of a report to the message: at most CS_MAX_CACHE_EVENTS, and up
 * to the first malformed event. Copies nothing if the epoch is missing or not positive. */
void cs_poll_parse_cache_events (cs_report_msg_t *m, const json_t *cache);
void cs_order_start (cs_engine_t *e, const cs_order_msg_t *m);

#endif
