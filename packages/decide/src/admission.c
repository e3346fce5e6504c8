#include "cs/admission.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

enum {
	MAX_QUEUED = 256,
	MAX_WAIT_MS = 2000,
	RATE_MS = 500,      /* between two measurements of the drain rate */
	DEADLINE_SHARE = 4, /* a request waits at most a quarter of its time */
	LEAST_RETRY_MS = 100,
	MAX_RETRY_MS = 60000,
	SECOND_MS = 1000
};

static const double rate_smoothing = 0.3;

struct cs_queued {
	uint64_t id;
	uint32_t priority;
	int64_t until_ms; /* refused then */
	struct cs_queued *prev, *next;
	UT_hash_handle hh;
};

void
cs_admission_init (cs_admission_t *a, const cs_admission_options_t *options)
{
	memset (a, 0, sizeof *a);
	a->options = *options;
	if (!a->options.max_queued)
		a->options.max_queued = MAX_QUEUED;
	if (!a->options.max_wait_ms)
		a->options.max_wait_ms = MAX_WAIT_MS;
}

static bool
is_off (const cs_admission_t *a, cs_admission_disabled_t what)
{
	return a->options.disabled & what;
}

static void
drop (cs_admission_t *a, cs_queued_t *q)
{
	HASH_DEL (a->by_id, q);
	DL_DELETE (a->queues[q->priority], q);
	a->queued--;
	free (q);
}

void
cs_admission_finish (cs_admission_t *a)
{
	cs_queued_t *q = NULL;
	cs_queued_t *next = NULL;
	HASH_ITER (hh, a->by_id, q, next) {
		drop (a, q);
	}
	free (a->refusals);
}

/* Requests that would be run before one of this priority that came now. */
static uint32_t
count_ahead (const cs_admission_t *a, uint32_t priority)
{
	uint32_t ahead = 0;
	for (const cs_queued_t *q = a->by_id; q; q = q->hh.next)
		ahead += q->priority <= priority;
	return ahead;
}

int64_t
cs_admission_wait_ms (const cs_admission_t *a, uint32_t priority)
{
	uint32_t ahead = count_ahead (a, priority);
	if (!ahead || a->rate <= 0)
		return 0;
	return (int64_t)(ahead * SECOND_MS / a->rate);
}

/* When a caller may come again: the queue has drained by then at the measured rate. */
static int64_t
pick_retry (const cs_admission_t *a)
{
	int64_t ms = a->rate > 0 ? (int64_t)((a->queued + 1) * SECOND_MS / a->rate) : SECOND_MS;
	if (ms < LEAST_RETRY_MS)
		return LEAST_RETRY_MS;
	return ms < MAX_RETRY_MS ? ms : MAX_RETRY_MS;
}

static void
refuse (cs_admission_t *a, cs_queued_t *q)
{
	a->refusals =
		cs_grow (a->refusals, &a->cap_refusals, a->n_refusals + 1, sizeof *a->refusals);
	cs_admission_refusal_t *r = &a->refusals[a->n_refusals++];
	r->id = q->id;
	r->retry_after_ms = pick_retry (a);
	drop (a, q);
}

/* The last one of the lowest priority below the given one. */
static cs_queued_t *
find_victim (const cs_admission_t *a, uint32_t priority)
{
	for (uint32_t p = CS_ADMISSION_PRIORITIES - 1; p > priority; p--)
		if (a->queues[p])
			return a->queues[p]->prev;
	return NULL;
}

static bool
make_room (cs_admission_t *a, uint32_t priority)
{
	if (a->queued < a->options.max_queued || is_off (a, CS_ADMISSION_NO_BOUND))
		return true;
	cs_queued_t *victim = find_victim (a, priority);
	if (victim)
		refuse (a, victim);
	return victim;
}

/* Longest wait that the request can afford. */
static int64_t
affordable (const cs_admission_t *a, int64_t now_ms, int64_t deadline_ms)
{
	int64_t most = a->options.max_wait_ms;
	if (!deadline_ms)
		return most;
	int64_t share = (deadline_ms - now_ms) / DEADLINE_SHARE;
	return share < most ? share : most;
}

/* The rate is that of a system which has work: idle time isn't counted. */
static void
measure (cs_admission_t *a, int64_t now_ms)
{
	int64_t passed = now_ms - a->rate_ms;
	if (passed < RATE_MS)
		return;
	double rate = a->ended * (double)SECOND_MS / (double)passed;
	if (a->rate <= 0)
		a->rate = rate;
	else if (a->busy || rate > a->rate)
		a->rate += rate_smoothing * (rate - a->rate);
	a->rate_ms = now_ms;
	a->ended = 0;
	a->busy = a->queued > 0;
}

cs_status_t
cs_admission_offer (cs_admission_t *a, int64_t now_ms, uint64_t id, uint32_t priority,
		    int64_t deadline_ms, int64_t *retry_after_ms)
{
	measure (a, now_ms);
	if (priority >= CS_ADMISSION_PRIORITIES)
		priority = CS_ADMISSION_PRIORITIES - 1;
	if (is_off (a, CS_ADMISSION_NO_PRIORITY))
		priority = 0;
	int64_t most = affordable (a, now_ms, deadline_ms);
	int64_t wait = cs_admission_wait_ms (a, priority);
	bool too_long = wait > most && !is_off (a, CS_ADMISSION_NO_ESTIMATE);
	*retry_after_ms = 0;
	if (most <= 0 || too_long || !make_room (a, priority)) {
		*retry_after_ms = pick_retry (a);
		return cs_fail (CS_EXHAUSTED, "the queue is too long");
	}
	cs_queued_t *q = cs_alloc (sizeof *q);
	q->id = id;
	q->priority = priority;
	q->until_ms = now_ms + most;
	if (is_off (a, CS_ADMISSION_NO_EXPIRY))
		q->until_ms = deadline_ms ? deadline_ms : INT64_MAX;
	HASH_ADD (hh, a->by_id, id, sizeof q->id, q);
	DL_APPEND (a->queues[priority], q);
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
cs_admission_take (cs_admission_t *a, uint64_t id)
{
	cs_queued_t *q;
	HASH_FIND (hh, a->by_id, &id, sizeof id, q);
	if (q)
		drop (a, q);
}

void
cs_admission_gone (cs_admission_t *a, uint64_t id)
{
	cs_admission_take (a, id);
}

void
cs_admission_ended (cs_admission_t *a, int64_t now_ms)
{
	a->ended++;
	a->busy |= a->queued > 0;
	measure (a, now_ms);
}

void
cs_admission_tick (cs_admission_t *a, int64_t now_ms)
{
	cs_queued_t *q = NULL;
	cs_queued_t *next = NULL;
	measure (a, now_ms);
	HASH_ITER (hh, a->by_id, q, next) {
		if (now_ms >= q->until_ms)
			refuse (a, q);
	}
}

void
cs_admission_drained (cs_admission_t *a)
{
	a->n_refusals = 0;
}
