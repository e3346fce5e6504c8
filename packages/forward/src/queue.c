/* Queues, one for each service, of requests that wait for a free slot while all back ends are at
 * capacity. */
#include <stdlib.h>
#include <string.h>

#include "cs/log.h"
#include "cs/send_rate.h"
#include "forward.h"

enum {
	/* Wait limit in percent of the latency objective. A request that waits longer misses the
	 * objective even if it is then answered at the usual speed. */
	MAX_WAIT_PERCENT = 50,
	DEADLINE_FACTOR =
		4, /* cs_admission lets a request wait for a quarter of the time to its deadline */
	MAX_WAIT_MS = 500,
	MIN_RETRY_AFTER_MS =
		400, /* callers may retry once; after this delay a slot is free more often */
	POLL_MS = 40 /* load reports about other daemons' requests can free slots without a local
			event */
};

struct cs_wait_queue {
	char *service;
	cs_admission_t admission;
	cs_send_rate_t rate;
	UT_hash_handle hh;
};

static cs_wait_queue_t *
find_queue (cs_forward_t *f, const char *service)
{
	const cs_admission_options_t options = {.max_wait_ms = MAX_WAIT_MS};
	cs_wait_queue_t *q;
	HASH_FIND_STR (f->queues, service, q);
	if (q)
		return q;
	q = cs_alloc (sizeof *q);
	q->service = cs_str_dup (cs_str (service));
	cs_admission_init (&q->admission, &options);
	HASH_ADD_KEYPTR (hh, f->queues, q->service, strlen (q->service), q);
	return q;
}

static cs_call_t *
find_call (const cs_forward_t *f, uint64_t number)
{
	cs_call_t *c = f->calls;
	while (c && c->number != number)
		c = c->next;
	return c;
}

bool
cs_queue_add (cs_call_t *c, const char *service, int64_t *retry_after_ms)
{
	cs_forward_t *f = c->forward;
	cs_wait_queue_t *q = find_queue (f, service);
	int64_t now = cs_now_ms ();
	int64_t max_wait_ms = (int64_t)c->route->target_ms * MAX_WAIT_PERCENT / 100;
	uint32_t priority = c->route->priority < CS_ADMISSION_PRIORITIES
				    ? c->route->priority
				    : CS_ADMISSION_PRIORITIES - 1;
	if (c->team && c->team->priority >= 0 && c->team->priority < CS_ADMISSION_PRIORITIES)
		priority = (uint32_t)c->team->priority;
	cs_status_t status =
		cs_admission_offer (&q->admission, now, c->number, priority,
				    now + DEADLINE_FACTOR * max_wait_ms, retry_after_ms);
	if (*retry_after_ms < MIN_RETRY_AFTER_MS)
		*retry_after_ms = MIN_RETRY_AFTER_MS;
	if (status != CS_OK)
		return false;
	c->queue = q;
	if (!ev_is_active (&f->queue_timer))
		ev_timer_again (f->task->kernel->loop, &f->queue_timer);
	return true;
}

void
cs_queue_remove (cs_call_t *c)
{
	if (c->queue)
		cs_admission_cancel (&c->queue->admission, c->number);
	c->queue = NULL;
}

bool
cs_queue_may_send (cs_forward_t *f, const char *service, bool is_queued)
{
	cs_wait_queue_t *q = find_queue (f, service);
	if (!is_queued && q->rate.limit != 0 && q->admission.queued)
		return false;
	return cs_send_rate_allows (&q->rate, cs_now_ms ());
}

void
cs_queue_record_arrival (cs_forward_t *f, const char *service)
{
	cs_send_rate_arrived (&find_queue (f, service)->rate, cs_now_ms ());
}

void
cs_queue_record_send (cs_forward_t *f, const char *service)
{
	cs_send_rate_sent (&find_queue (f, service)->rate);
}

void
cs_queue_record_load (const cs_backend_request_t *s, uint32_t waiting)
{
	cs_forward_t *f = s->call->forward;
	cs_send_rate_t *r = &find_queue (f, s->service)->rate;
	uint32_t slots = cs_router_max_concurrent (&f->router, s->backend_id);
	if (cs_send_rate_answered (r, cs_now_ms (), waiting, slots, s->call->route->target_ms))
		cs_log_event ("forward", "send_limit",
			      "service=%s limit_per_s=%.2f arrivals_per_s=%.2f back_end=%s "
			      "waiting=%u slots=%u run_ms=%.0f",
			      s->service, r->limit, r->arrivals, s->backend_id, waiting, slots,
			      r->duration_ms);
}

void
cs_queue_record_attempt_end (const cs_backend_request_t *s)
{
	cs_wait_queue_t *q = find_queue (s->call->forward, s->service);
	cs_admission_record_end (&q->admission, cs_now_ms ());
	if (s->first_us)
		cs_send_rate_ended (&q->rate, (cs_now_us () - s->sent_us) / 1000);
}

/* Dispatches queued requests in order while back ends have free slots. */
static void
dispatch_queued (cs_forward_t *f, cs_wait_queue_t *q)
{
	uint64_t number;
	while (cs_admission_peek (&q->admission, &number) == CS_OK) {
		cs_call_t *c = find_call (f, number);
		if (c && !cs_dispatch_queued (c, q->service))
			return;
		if (c)
			c->queue = NULL;
		cs_admission_remove (&q->admission, number);
	}
}

static void
send_refusals (cs_forward_t *f, cs_wait_queue_t *q)
{
	cs_admission_tick (&q->admission, cs_now_ms ());
	for (size_t i = 0; i < q->admission.n_refusals; i++) {
		const cs_admission_refusal_t *r = &q->admission.refusals[i];
		cs_call_t *c = find_call (f, r->id);
		int64_t ms = r->retry_after_ms > MIN_RETRY_AFTER_MS ? r->retry_after_ms
								    : MIN_RETRY_AFTER_MS;
		if (!c)
			continue;
		c->queue = NULL;
		cs_dispatch_refuse (c, "waited", (uint32_t)ms);
	}
	cs_admission_clear_refusals (&q->admission);
}

/* Dispatches queued requests, and refuses those that expired or were displaced. */
static void
serve_queues (cs_forward_t *f)
{
	bool waiting = false;
	for (cs_wait_queue_t *q = f->queues; q; q = q->hh.next) {
		dispatch_queued (f, q);
		send_refusals (f, q);
		waiting |= q->admission.queued > 0;
	}
	if (!waiting)
		ev_timer_stop (f->task->kernel->loop, &f->queue_timer);
}

static void
on_queue_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	serve_queues (w->data);
}

void
cs_queue_init (cs_forward_t *f)
{
	ev_timer_init (&f->queue_timer, on_queue_timer, 0., POLL_MS / 1000.);
	/* Answers that arrived while this process was paused are read first: they free slots. */
	ev_set_priority (&f->queue_timer, EV_MINPRI);
	f->queue_timer.data = f;
}

void
cs_queue_finish (cs_forward_t *f)
{
	cs_wait_queue_t *q, *next;
	ev_timer_stop (f->task->kernel->loop, &f->queue_timer);
	HASH_ITER (hh, f->queues, q, next) {
		HASH_DEL (f->queues, q);
		cs_admission_finish (&q->admission);
		free (q->service);
		free (q);
	}
}
