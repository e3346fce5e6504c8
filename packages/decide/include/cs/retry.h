/* Retry policy: whether a failed attempt is retried, and after which delay.
 *
 * Only one level retries: the daemon that accepted the request. The retry budget over the last
 * CS_RETRY_WINDOW_S seconds is a share of the first tries, but at least CS_RETRY_MIN_PER_S per
 * second, so that a daemon with little traffic may retry at all. Delays are exponential with full
 * jitter, drawn from the seed. */
#ifndef CS_RETRY_H
#define CS_RETRY_H

#include <stdbool.h>

#include "cs/rng.h"
#include "cs/status.h"

enum {
	CS_RETRY_MIN_PER_S = 1,   /* retries per second allowed at any traffic */
	CS_RETRY_WINDOW_S = 10,   /* over which first tries and retries are counted */
	CS_RETRY_MAX_ATTEMPTS = 3 /* including the first */
};

/* Mechanisms that tests can disable. */
typedef enum {
	CS_RETRY_NO_BUDGET = 1 << 0,
	CS_RETRY_NO_CALLER_CHECK = 1 << 1, /* retry even if the caller has part of an answer */
	CS_RETRY_NO_PROTECTED_CHECK = 1 << 2
} cs_retry_disabled_t;

typedef struct {
	uint32_t percent;  /* retries as a percentage of first tries; policy.retry_percent */
	uint64_t seed;     /* of the random delays */
	uint32_t disabled; /* cs_retry_disabled_t */
} cs_retry_options_t;

typedef struct {
	cs_retry_options_t options;
	cs_rng_t rng;
	int64_t second; /* the newest in the window; the counts are indexed by second % window */
	uint32_t firsts[CS_RETRY_WINDOW_S];  /* first tries in each second */
	uint32_t retries[CS_RETRY_WINDOW_S]; /* retries in each second */
} cs_retry_t;

typedef enum {
	CS_RETRY_NO,    /* end with an error */
	CS_RETRY_AGAIN, /* a new attempt from the start */
	CS_RETRY_RESUME /* a new attempt that continues after the tokens the caller has */
} cs_retry_verdict_t;

typedef enum {
	CS_RETRY_ALLOWED,
	CS_RETRY_PROTECTED,      /* part of a protected request was sent */
	CS_RETRY_PARTIAL_ANSWER, /* the caller has part of an answer that can't be resumed */
	CS_RETRY_DEADLINE,       /* the delay would pass the deadline */
	CS_RETRY_ATTEMPTS,       /* CS_RETRY_MAX_ATTEMPTS reached */
	CS_RETRY_BUDGET          /* the retry budget is exhausted */
} cs_retry_reason_t;

/* The attempt that failed. */
typedef struct {
	uint32_t attempt; /* counts from 1 */
	bool is_protected;
	bool sent;           /* at least one byte went to the back end */
	bool reached_caller; /* at least one byte of the answer went to the caller */
	bool resumable;      /* the engine can continue after the tokens sent */
	int64_t deadline_ms; /* 0: none */
} cs_retry_attempt_t;

void cs_retry_init (cs_retry_t *r, const cs_retry_options_t *options);
void cs_retry_set_percent (cs_retry_t *r, uint32_t percent);
/* Counts a request's first try. */
void cs_retry_count_first_try (cs_retry_t *r, int64_t now_ms);
/* Decides whether the failed attempt is retried; charges the budget unless the verdict is
 * CS_RETRY_NO. *delay_ms: delay before the retry; *reason: why there is none, or
 * CS_RETRY_ALLOWED. */
cs_retry_verdict_t cs_retry_decide (cs_retry_t *r, int64_t now_ms, const cs_retry_attempt_t *failed,
				    int64_t *delay_ms, cs_retry_reason_t *reason);
const char *cs_retry_reason_name (cs_retry_reason_t reason);

#endif
