/* Admission control: a bounded queue of requests that wait for a target, ordered by
 * priority and then by arrival.
 *
 * The wait limit of a request is a quarter of the time to its deadline, at most
 * max_wait_ms. A request is refused on arrival when its expected wait, estimated from the
 * measured rate at which requests end, exceeds this limit. A queued request that reaches
 * the limit is refused then, long before its deadline. When the queue is full, a new
 * request displaces the newest request of the lowest priority queued, if that priority is below
 * its own. All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_ADMISSION_H
#define CS_ADMISSION_H

#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_ADMISSION_PRIORITIES = 8 /* number of priorities; 0 is the most urgent */
};

/* Mechanisms that tests can disable. */
typedef enum {
	CS_ADMISSION_NO_ESTIMATE = 1 << 0, /* queue regardless of the expected wait */
	CS_ADMISSION_NO_BOUND = 1 << 1,    /* allow a queue of any length */
	CS_ADMISSION_NO_EXPIRY = 1 << 2,   /* queue requests until their deadline */
	CS_ADMISSION_NO_PRIORITY = 1 << 3  /* give all requests priority 0 */
} cs_admission_disabled_t;

typedef struct {
	uint32_t max_queued;  /* maximum queued requests; 0: 256 */
	uint32_t max_wait_ms; /* maximum wait limit; 0: 2000 */
	uint32_t disabled;    /* set of cs_admission_disabled_t */
} cs_admission_options_t;

typedef struct cs_queued cs_queued_t;

/* A queued request that was refused: it expired or was displaced. */
typedef struct {
	uint64_t id;
	int64_t retry_after_ms; /* delay after which the caller may retry */
} cs_admission_refusal_t;

typedef struct {
	cs_admission_options_t options;
	cs_queued_t *by_id;                           /* uthash */
	cs_queued_t *queues[CS_ADMISSION_PRIORITIES]; /* by priority, each in order of arrival */
	uint32_t queued;                              /* number of queued requests */
	double drain_rate;       /* requests ended per second, smoothed; 0: not yet measured */
	int64_t rate_updated_ms; /* when drain_rate was last updated */
	uint32_t n_ended;        /* requests ended since rate_updated_ms */
	bool was_queueing;       /* requests were queued since rate_updated_ms: targets were full */
	cs_admission_refusal_t *refusals; /* emptied with cs_admission_clear_refusals () */
	size_t n_refusals;
	size_t cap_refusals;
} cs_admission_t;

/* Copies options. */
void cs_admission_init (cs_admission_t *a, const cs_admission_options_t *options);
void cs_admission_finish (cs_admission_t *a);
/* Queues a request; id must not be queued already. CS_OK: queued; the caller removes the request
 * with cs_admission_remove () when a target has accepted it. CS_EXHAUSTED: refused; *retry_after_ms
 * is the delay after which the request's caller may retry. deadline_ms 0: no deadline; a priority
 * of CS_ADMISSION_PRIORITIES or more counts as the lowest. A request of lower priority that this
 * call displaces is moved to refusals. */
cs_status_t cs_admission_offer (cs_admission_t *a, int64_t now_ms, uint64_t id, uint32_t priority,
				int64_t deadline_ms, int64_t *retry_after_ms);
/* What cs_admission_offer would answer; changes nothing. */
cs_status_t cs_admission_would_offer (const cs_admission_t *a, int64_t now_ms, uint32_t priority,
				      int64_t deadline_ms, int64_t *retry_after_ms);
/* Stores the id of the next request to run, without removing the request; CS_NOT_FOUND if the queue
 * is empty. */
cs_status_t cs_admission_peek (const cs_admission_t *a, uint64_t *id);
/* Removes a request that has been placed on a target; no-op if it is not queued. */
void cs_admission_remove (cs_admission_t *a, uint64_t id);
/* Removes a request whose caller has disconnected; no-op if it is not queued. */
void cs_admission_cancel (cs_admission_t *a, uint64_t id);
/* Records the end of a request that ran, for the drain rate. */
void cs_admission_record_end (cs_admission_t *a, int64_t now_ms);
/* Moves requests that have reached their wait limit to refusals. */
void cs_admission_tick (cs_admission_t *a, int64_t now_ms);
/* Empties refusals, once the refused requests have been answered. */
void cs_admission_clear_refusals (cs_admission_t *a);
/* Expected wait, ms, of a new request of this priority; 0 while the drain rate is unknown. */
int64_t cs_admission_wait_ms (const cs_admission_t *a, uint32_t priority);

#endif
