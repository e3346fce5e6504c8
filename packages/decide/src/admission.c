#include "cs/admission.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

enum {
	DEFAULT_MAX_QUEUED = 256,
	DEFAULT_MAX_WAIT_MS = 2000,
	RATE_INTERVAL_MS = 500, /* shortest interval over which the drain rate is measured */
	DEADLINE_DIVISOR = 4,   /* a request waits at most a quarter of the time to its deadline */
	MIN_RETRY_MS = 100,     /* bounds of the retry delay */
	MAX_RETRY_MS = 60000,
	MS_PER_SECOND = 1000
};

static const double rate_smoothing = 0.3; /* weight of the newest interval in drain_rate */

struct cs_queued {
	uint64_t id;
	uint32_t priority;
	int64_t expires_ms; /* refused at this time if still queued */
	struct cs_queued *prev, *next;
	UT_hash_handle hh;
};

void
cs_admission_init (cs_admission_t *a, const cs_admission_options_t *options)
{
	memset (a, 0, sizeof *a);
	a->options = *options;
	if (!a->options.max_queued)
		a->options.max_queued = DEFAULT_MAX_QUEUED;
	if (!a->options.max_wait_ms)
		a->options.max_wait_ms = DEFAULT_MAX_WAIT_MS;
}

static bool
is_disabled (const cs_admission_t *a, cs_admission_disabled_t mechanism)
{
	return a->options.disabled & mechanism;
}

static void
remove_queued (cs_admission_t *a, cs_queued_t *request)
{
	HASH_DEL (a->by_id, request);
	DL_DELETE (a->queues[request->priority], request);
	a->queued--;
	free (request);
}

void
cs_admission_finish (cs_admission_t *a)
{
	cs_queued_t *request = NULL;
	cs_queued_t *next = NULL;
	HASH_ITER (hh, a->by_id, request, next) {
		remove_queued (a, request);
	}
	free (a->refusals);
}

/* Number of queued requests that run before a new one of this priority. */
static uint32_t
count_queued_ahead (const cs_admission_t *a, uint32_t priority)
{
	uint32_t n_ahead = 0;
	for (const cs_queued_t *request = a->by_id; request; request = request->hh.next)
		n_ahead += request->priority <= priority;
	return n_ahead;
}

int64_t
cs_admission_wait_ms (const cs_admission_t *a, uint32_t priority)
{
	uint32_t n_ahead = count_queued_ahead (a, priority);
	if (!n_ahead || a->drain_rate <= 0)
		return 0;
	return (int64_t)(n_ahead * MS_PER_SECOND / a->drain_rate);
}

/* Retry delay, ms: the time in which the queue drains at the measured rate, or a second if the rate
 * is not known; between MIN_RETRY_MS and MAX_RETRY_MS. */
static int64_t
retry_delay_ms (const cs_admission_t *a)
{
	int64_t ms = a->drain_rate > 0 ? (int64_t)((a->queued + 1) * MS_PER_SECOND / a->drain_rate)
				       : MS_PER_SECOND;
	if (ms < MIN_RETRY_MS)
		return MIN_RETRY_MS;
	return ms < MAX_RETRY_MS ? ms : MAX_RETRY_MS;
}

/* Moves a queued request to refusals. */
static void
refuse_queued (cs_admission_t *a, cs_queued_t *request)
{
	a->refusals =
		cs_grow (a->refusals, &a->cap_refusals, a->n_refusals + 1, sizeof *a->refusals);
	cs_admission_refusal_t *refusal = &a->refusals[a->n_refusals++];
	refusal->id = request->id;
	refusal->retry_after_ms = retry_delay_ms (a);
	remove_queued (a, request);
}

/* Newest request of the lowest priority below the given one; NULL if there is none. */
static cs_queued_t *
find_victim (const cs_admission_t *a, uint32_t priority)
{
	for (uint32_t p = CS_ADMISSION_PRIORITIES - 1; p > priority; p--)
		if (a->queues[p])
			return a->queues[p]->prev;
	return NULL;
}

static bool
is_full (const cs_admission_t *a)
{
	return a->queued >= a->options.max_queued && !is_disabled (a, CS_ADMISSION_NO_BOUND);
}

/* Longest time that the request may be queued, ms; not positive if its deadline is due. */
static int64_t
wait_limit_ms (const cs_admission_t *a, int64_t now_ms, int64_t deadline_ms)
{
	int64_t limit_ms = a->options.max_wait_ms;
	if (!deadline_ms)
		return limit_ms;
	int64_t share_ms = (deadline_ms - now_ms) / DEADLINE_DIVISOR;
	return share_ms < limit_ms ? share_ms : limit_ms;
}

/* Updates the drain rate. The drain rate is the rate under full load: an interval in which no
 * request was queued can raise it but not lower it. */
static void
update_rate (cs_admission_t *a, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - a->rate_updated_ms;
	if (elapsed_ms < RATE_INTERVAL_MS)
		return;
	double rate_per_s = a->n_ended * (double)MS_PER_SECOND / (double)elapsed_ms;
	if (a->drain_rate <= 0)
		a->drain_rate = rate_per_s;
	else if (a->was_queueing || rate_per_s > a->drain_rate)
		a->drain_rate += rate_smoothing * (rate_per_s - a->drain_rate);
	a->rate_updated_ms = now_ms;
	a->n_ended = 0;
	a->was_queueing = a->queued > 0;
}

static uint32_t
clamp_priority (const cs_admission_t *a, uint32_t priority)
{
	if (is_disabled (a, CS_ADMISSION_NO_PRIORITY))
		return 0;
	return priority < CS_ADMISSION_PRIORITIES ? priority : CS_ADMISSION_PRIORITIES - 1;
}

/* What becomes of a request that is offered; retry_after_ms: as in cs_admission_offer. */
static cs_status_t
consider (const cs_admission_t *a, int64_t now_ms, uint32_t priority, int64_t deadline_ms,
	  int64_t *retry_after_ms)
{
	int64_t limit_ms = wait_limit_ms (a, now_ms, deadline_ms);
	int64_t wait_ms = cs_admission_wait_ms (a, priority);
	bool is_wait_too_long = wait_ms > limit_ms && !is_disabled (a, CS_ADMISSION_NO_ESTIMATE);
	*retry_after_ms = 0;
	if (limit_ms > 0 && !is_wait_too_long && (!is_full (a) || find_victim (a, priority)))
		return CS_OK;
	*retry_after_ms = retry_delay_ms (a);
	return cs_fail (CS_EXHAUSTED, "queue is full, the expected wait exceeds the limit, "
				      "or the deadline is due");
}

cs_status_t
cs_admission_would_offer (const cs_admission_t *a, int64_t now_ms, uint32_t priority,
			  int64_t deadline_ms, int64_t *retry_after_ms)
{
	cs_admission_t copy = *a;
	update_rate (&copy, now_ms);
	return consider (&copy, now_ms, clamp_priority (a, priority), deadline_ms, retry_after_ms);
}

cs_status_t
cs_admission_offer (cs_admission_t *a, int64_t now_ms, uint64_t id, uint32_t priority,
		    int64_t deadline_ms, int64_t *retry_after_ms)
{
	update_rate (a, now_ms);
	priority = clamp_priority (a, priority);
	cs_status_t status = consider (a, now_ms, priority, deadline_ms, retry_after_ms);
	if (status != CS_OK)
		return status;
	if (is_full (a))
		refuse_queued (a, find_victim (a, priority));
	int64_t limit_ms = wait_limit_ms (a, now_ms, deadline_ms);
	cs_queued_t *request = cs_alloc (sizeof *request);
	request->id = id;
	request->priority = priority;
	request->expires_ms = now_ms + limit_ms;
	if (is_disabled (a, CS_ADMISSION_NO_EXPIRY))
		request->expires_ms = deadline_ms ? deadline_ms : INT64_MAX;
	HASH_ADD (hh, a->by_id, id, sizeof request->id, request);
	DL_APPEND (a->queues[priority], request);
	a->queued++;
	return CS_OK;
}

cs_status_t
cs_admission_peek (const cs_admission_t *a, uint64_t *id)
{
	for (int p = 0; p < CS_ADMISSION_PRIORITIES; p++) {
		if (!a->queues[p])
			continue;
		*id = a->queues[p]->id;
		return CS_OK;
	}
	return CS_NOT_FOUND;
}

void
cs_admission_remove (cs_admission_t *a, uint64_t id)
{
	cs_queued_t *request;
	HASH_FIND (hh, a->by_id, &id, sizeof id, request);
	if (request)
		remove_queued (a, request);
}

void
cs_admission_cancel (cs_admission_t *a, uint64_t id)
{
	cs_admission_remove (a, id);
}

void
cs_admission_record_end (cs_admission_t *a, int64_t now_ms)
{
	a->n_ended++;
	a->was_queueing |= a->queued > 0;
	update_rate (a, now_ms);
}

void
cs_admission_tick (cs_admission_t *a, int64_t now_ms)
{
	cs_queued_t *request = NULL;
	cs_queued_t *next = NULL;
	update_rate (a, now_ms);
	HASH_ITER (hh, a->by_id, request, next) {
		if (now_ms >= request->expires_ms)
			refuse_queued (a, request);
	}
}

void
cs_admission_clear_refusals (cs_admission_t *a)
{
	a->n_refusals = 0;
}
