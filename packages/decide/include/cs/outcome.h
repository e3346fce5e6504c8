/* What one ended attempt at a back end means for its request: whether it ran, and what its
 * caller gets. Load: a group of back ends is lost every few seconds, answers are lost or
 * spoiled, and non-idempotent requests are a tenth of all. */
#ifndef CS_OUTCOME_H
#define CS_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "cs/serving.h"

typedef enum {
	CS_ATTEMPT_ANSWERED, /* a whole answer came */
	CS_ATTEMPT_NOT_SENT, /* no byte of the request left */
	CS_ATTEMPT_BROKEN,   /* the connection failed, or the answer was no proper one */
	CS_ATTEMPT_SILENT,   /* nothing came in time, or the stream stood still */
	CS_ATTEMPT_TIMEOUT   /* the time of the caller or the route is over */
} cs_attempt_end_t;

typedef struct {
	cs_attempt_end_t end;
	int status;            /* ANSWERED */
	bool is_signed;        /* a back end made the answer */
	bool is_own;           /* it names this request */
	bool declared_not_run; /* the back end says that it did not run the request */
} cs_attempt_t;

typedef enum {
	CS_RUN_NO, /* it did not run and never will */
	CS_RUN_MAYBE,
	CS_RUN_YES /* the answer shows it */
} cs_run_t;

/* What is known of the request besides the attempt. */
typedef struct {
	const cs_serving_route_t *route;
	uint32_t runs;       /* attempts that ran or may have, this one included */
	uint32_t tries;      /* attempts in all */
	bool reached_caller; /* part of a stream's answer did */
	bool may_repeat;     /* time and the budget of repeats allow it */
} cs_request_state_t;

typedef enum {
	CS_THEN_DELIVER, /* the back end's answer */
	CS_THEN_AGAIN,   /* another attempt from the start */
	CS_THEN_RESUME,  /* another attempt behind what the caller has */
	CS_THEN_REFUSE,  /* 503: it has not run and never will */
	CS_THEN_FAIL,    /* 502: it may have run */
	CS_THEN_EXPIRE,  /* 504: its time is over, it may have run */
	CS_THEN_CUT      /* end the answer that has begun so that it can't look whole */
} cs_then_t;

enum {
	CS_OUTCOME_MAX_TRIES =
		4 /* back ends asked for one request, most of which refused it unrun */
};

/* True if another attempt may follow one that may have run; may_repeat apart. */
bool cs_outcome_may_follow (const cs_request_state_t *r);
cs_run_t cs_outcome_run (const cs_attempt_t *a);
cs_then_t cs_outcome_then (const cs_attempt_t *a, const cs_request_state_t *r);
const char *cs_then_name (cs_then_t then);

#endif
