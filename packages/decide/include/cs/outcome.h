/* Consequences of one finished attempt at a back end: whether the request ran, and what is done
 * next or returned to the caller. Expected load: a group of back ends is lost every few seconds,
 * answers are lost or corrupted, and a tenth of all requests are non-idempotent. */
#ifndef CS_OUTCOME_H
#define CS_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "cs/serving.h"

typedef enum {
	CS_ATTEMPT_ANSWERED, /* a complete answer was received */
	CS_ATTEMPT_NOT_SENT, /* no byte of the request was sent */
	CS_ATTEMPT_BROKEN,   /* the connection failed, or the answer was malformed */
	CS_ATTEMPT_SILENT,   /* no answer in time, or the stream stalled */
	CS_ATTEMPT_TIMEOUT   /* the deadline of the caller or the route passed */
} cs_attempt_end_t;

typedef struct {
	cs_attempt_end_t end;
	int status;            /* HTTP status; with CS_ATTEMPT_ANSWERED only */
	bool is_signed;        /* the answer comes from a back end */
	bool is_own;           /* the answer names this request */
	bool declared_not_run; /* the answer states that the request did not run */
	bool is_stream;        /* a 200 with an event stream; only this can continue a stream */
	bool names_other; /* the answer names another request, and says nothing about this one */
	bool is_reused;   /* it came on a connection that an earlier request had used */
	bool was_there;   /* the request had been sent on that connection before */
} cs_attempt_t;

typedef enum {
	CS_RUN_NO, /* the request did not run and never will */
	CS_RUN_MAYBE,
	CS_RUN_YES /* the answer proves that the request ran */
} cs_run_t;

/* State of the request besides the attempt. */
typedef struct {
	const cs_serving_route_t *route;
	uint32_t runs;       /* attempts that ran or may have run, including this one */
	uint32_t tries;      /* all attempts */
	bool reached_caller; /* part of a streamed answer was sent to the caller */
	bool has_position;   /* an event id tells what the caller has received */
	bool may_repeat;     /* deadline and retry budget allow another attempt */
} cs_request_state_t;

typedef enum {
	CS_NEXT_DELIVER, /* pass on the back end's answer */
	CS_NEXT_RETRY,   /* retry from the start */
	CS_NEXT_RESUME,  /* retry, continuing after what the caller has received */
	CS_NEXT_REFUSE,  /* 503: the request has not run and never will */
	CS_NEXT_FAIL,    /* 502: the request may have run */
	CS_NEXT_EXPIRE,  /* 504: deadline passed; the request may have run */
	CS_NEXT_ABORT    /* abort the answer already begun, so that it cannot look complete */
} cs_next_step_t;

enum {
	/* Limit for one request. Counts also the attempts that were refused without running, which
	 * most are; the route's limit does not count those. */
	CS_OUTCOME_MAX_TRIES = 4
};

/* True if another attempt may follow one that may have run. Ignores may_repeat. */
bool cs_outcome_may_run_again (const cs_request_state_t *r);
/* Whether the attempt ran the request. */
cs_run_t cs_outcome_run (const cs_attempt_t *a);
/* What to do after the attempt. */
cs_next_step_t cs_outcome_next_step (const cs_attempt_t *a, const cs_request_state_t *r);
const char *cs_next_step_name (cs_next_step_t step);

#endif
