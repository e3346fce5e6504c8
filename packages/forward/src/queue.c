/* Queues, one for each service, of requests that wait for a free slot while all back ends are at
 * capacity, or until overload control lets them be sent. Services with large groups have a fair
 * queue and a rate by the loads of all heads; while these are not known, by own answers as others.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cs/caller_wait.h"
#include "cs/first_event.h"
#include "cs/homes.h"
#include "cs/log.h"
#include "cs/poison.h"
#include "cs/send_rate.h"
#include "cs/targets.h"
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
	MIN_WAIT_PERCENT = 10, /* of the objective, for a caller that has waited elsewhere */
	POLL_MS = 40, /* load reports about other daemons' requests can free slots without a local
			 event */
	FAIR_POLL_MS = 10,
	MS_PER_S = 1000
};

struct cs_wait_queue {
	char *service;
	cs_admission_t admission;
	cs_send_rate_t rate;
	bool is_fair; /* the service has large groups, and these are used */
	cs_overload_t overload;
	cs_fair_queue_t fair;
	cs_caller_wait_t caller_wait;
	cs_overload_counts_t counts;
	UT_hash_handle hh;
};

static cs_wait_queue_t *
new_queue (void)
{
	const cs_admission_options_t options = {.max_wait_ms = MAX_WAIT_MS};
	cs_wait_queue_t *q = cs_alloc (sizeof *q);
	cs_admission_init (&q->admission, &options);
	cs_overload_init (&q->overload, (uint64_t)cs_now_us ());
	cs_fair_queue_init (&q->fair, 0);
	return q;
}

static cs_wait_queue_t *
find_queue (cs_forward_t *f, const char *service)
{
	cs_wait_queue_t *q;
	HASH_FIND_STR (f->queues, service, q);
	if (q)
		return q;
	q = new_queue ();
	q->service = cs_str_dup (cs_str (service));
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

static uint32_t
priority_of (const cs_call_t *c)
{
	if (c->team && c->team->priority >= 0 && c->team->priority < CS_ADMISSION_PRIORITIES)
		return (uint32_t)c->team->priority;
	return c->route->priority < CS_ADMISSION_PRIORITIES ? c->route->priority
							    : CS_ADMISSION_PRIORITIES - 1;
}

static int64_t
max_wait_ms (const cs_wait_queue_t *q, const cs_call_t *c)
{
	int64_t ms = (int64_t)c->route->target_ms * MAX_WAIT_PERCENT / 100;
	if (!q->is_fair)
		return ms;
	if (cs_overload_is_informed (&q->overload, cs_now_ms ()))
		ms = cs_overload_max_wait_ms (&q->overload, c->route->target_ms);
	int64_t least_ms = (int64_t)c->route->target_ms * MIN_WAIT_PERCENT / 100;
	if (!c->is_overdue)
		ms = ms - c->waited_ms > least_ms ? ms - c->waited_ms : least_ms;
	return ms < MAX_WAIT_MS ? ms : MAX_WAIT_MS;
}

static cs_fair_request_t
fair_request (const cs_wait_queue_t *q, const cs_call_t *c)
{
	uint64_t team =
		c->team ? cs_poison_fingerprint (cs_str (c->team->name), cs_str (""), cs_str (""))
			: 0;
	return (cs_fair_request_t){.id = c->number,
				   .team = team,
				   .content = c->content,
				   .priority = priority_of (c),
				   .cost = c->work_ms,
				   .max_wait_ms = max_wait_ms (q, c),
				   .remaining_ms = c->expires_ms - cs_now_ms (),
				   .is_overdue = c->is_overdue};
}

/* Tokens beyond what the next request needs; infinite without a limit. */
static double
spare_tokens (cs_wait_queue_t *q)
{
	int64_t now = cs_now_ms ();
	if (cs_overload_is_informed (&q->overload, now)) {
		cs_fair_queue_set_rate (&q->fair, cs_overload_rate (&q->overload, now));
		return cs_overload_spare (&q->overload, now);
	}
	bool allows = cs_send_rate_allows (&q->rate, now);
	cs_fair_queue_set_rate (&q->fair, q->rate.limit);
	if (q->rate.limit == 0)
		return INFINITY;
	return allows ? CS_OVERLOAD_RESERVE : q->rate.tokens - 1;
}

static void
count_event (cs_wait_queue_t *q, const cs_call_t *c, cs_overload_event_t event)
{
	cs_overload_counts_add (&q->counts, event, priority_of (c), c->is_overdue);
}

/* Until a request can be sent by the rate. */
static int64_t
next_token_ms (const cs_wait_queue_t *q, double spare)
{
	if (spare >= 0 || q->fair.rate <= 0)
		return 0;
	return (int64_t)fmin (-spare * MS_PER_S / q->fair.rate, MAX_WAIT_MS + 1);
}

static bool
add_fair (cs_wait_queue_t *q, cs_call_t *c, int64_t *retry_after_ms)
{
	cs_forward_t *f = c->forward;
	const cs_fair_request_t r = fair_request (q, c);
	double spare = spare_tokens (q);
	int64_t token_ms = next_token_ms (q, spare);
	if (!isinf (spare))
		cs_overload_held (&q->overload, cs_now_ms ());
	cs_status_t status =
		cs_fair_queue_offer (&q->fair, cs_now_ms (), &r, token_ms, retry_after_ms);
	count_event (q, c, status == CS_OK ? CS_OVERLOAD_WAITED : CS_OVERLOAD_REFUSED);
	if (status != CS_OK)
		return false;
	c->queue = q;
	if (!ev_is_active (&f->fair_timer))
		ev_timer_again (f->task->kernel->loop, &f->fair_timer);
	return true;
}

bool
cs_queue_add (cs_call_t *c, const char *service, int64_t *retry_after_ms)
{
	cs_forward_t *f = c->forward;
	cs_wait_queue_t *q = find_queue (f, service);
	int64_t now = cs_now_ms ();
	if (q->is_fair)
		return add_fair (q, c, retry_after_ms);
	cs_status_t status =
		cs_admission_offer (&q->admission, now, c->number, priority_of (c),
				    now + DEADLINE_FACTOR * max_wait_ms (q, c), retry_after_ms);
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
	if (c->queue) {
		cs_admission_cancel (&c->queue->admission, c->number);
		cs_fair_queue_remove (&c->queue->fair, c->number);
	}
	c->queue = NULL;
}

static bool
may_send_fair (cs_wait_queue_t *q, const cs_call_t *c)
{
	const cs_fair_request_t r = fair_request (q, c);
	if (!c->queue && cs_fair_queue_has_before (&q->fair, &r))
		return false;
	return cs_fair_queue_reserve (&q->fair, cs_now_ms (), &r) <= spare_tokens (q);
}

static bool
may_send (cs_wait_queue_t *q, const cs_call_t *c)
{
	if (q->is_fair)
		return may_send_fair (q, c);
	if (!c->queue && q->rate.limit != 0 && q->admission.queued)
		return false;
	return cs_send_rate_allows (&q->rate, cs_now_ms ());
}

bool
cs_queue_may_send (const cs_call_t *c, const char *service)
{
	return may_send (find_queue (c->forward, service), c);
}

static bool
has_large_groups (const cs_call_t *c)
{
	const cs_serving_service_t *service = cs_serving_find_service (c->serving, c->service);
	return service && cs_serving_has_large_groups (service);
}

/* Takes over whether the service has large groups, while nothing waits or is to be refused. */
static void
set_fair (cs_wait_queue_t *q, const cs_call_t *c)
{
	bool is_fair = has_large_groups (c);
	if (is_fair == q->is_fair || q->admission.queued || q->admission.n_refusals ||
	    cs_fair_queue_count (&q->fair) || q->fair.n_refused)
		return;
	q->is_fair = is_fair;
	cs_queue_heads_changed (c->forward);
}

/* False for a model that the service doesn't declare: its name is the caller's, of which there may
 * be any number, and no back end serves it. */
static bool
is_declared (const cs_call_t *c, const char *name)
{
	const cs_serving_service_t *service = cs_serving_find_service (c->serving, c->service);
	return !service || !service->n_models ||
	       cs_serving_find_model (service, name + strlen (c->service) + 1);
}

/* Finds out how long the caller has waited. */
static void
set_waited (cs_wait_queue_t *q, cs_call_t *c)
{
	uint64_t route = cs_poison_fingerprint (cs_str (c->route->name), cs_str (""), cs_str (""));
	int64_t remaining_ms = c->states_deadline ? c->deadline_ms - c->received_ms : 0;
	c->waited_ms = cs_caller_wait_ms (&q->caller_wait, route, remaining_ms);
	c->is_overdue = cs_overload_is_overdue (c->waited_ms, c->route->target_ms);
	if (cs_overload_is_calm (&q->overload, cs_now_ms ()))
		cs_caller_wait_record (&q->caller_wait, route, remaining_ms);
}

/* The expected time of an engine. */
static double
work_ms (const cs_wait_queue_t *q, const cs_call_t *c)
{
	const cs_serving_service_t *service = cs_serving_find_service (c->serving, c->service);
	if (!service)
		return 0;
	const cs_serving_model_t *model =
		service->n_models
			? cs_serving_find_model (service, q->service + strlen (c->service) + 1)
			: NULL;
	return cs_first_event_work_ms (&service->engine, model ? model->pace : 1, service->slots,
				       &c->size);
}

void
cs_queue_record_arrival (cs_call_t *c, const char *service)
{
	if (!is_declared (c, service))
		return;
	cs_wait_queue_t *q = find_queue (c->forward, service);
	set_fair (q, c);
	cs_send_rate_arrived (&q->rate, cs_now_ms ());
	if (!q->is_fair)
		return;
	set_waited (q, c);
	c->work_ms = work_ms (q, c);
	const cs_fair_request_t r = fair_request (q, c);
	cs_overload_arrived (&q->overload, cs_now_ms (), c->route->target_ms);
	cs_fair_queue_arrived (&q->fair, cs_now_ms (), &r);
	count_event (q, c, CS_OVERLOAD_ARRIVED);
}

void
cs_queue_record_send (const cs_call_t *c, const char *service)
{
	cs_wait_queue_t *q = find_queue (c->forward, service);
	cs_send_rate_sent (&q->rate);
	if (!q->is_fair)
		return;
	const cs_fair_request_t r = fair_request (q, c);
	cs_overload_sent (&q->overload, cs_now_ms ());
	cs_fair_queue_sent (&q->fair, cs_now_ms (), &r);
	count_event (q, c, CS_OVERLOAD_SENT);
}

void
cs_queue_record_board (cs_forward_t *f, const char *service, int64_t seen_ms, uint32_t running,
		       uint32_t waiting, uint32_t slots, uint32_t delay_ms)
{
	cs_wait_queue_t *q;
	const cs_overload_sample_t sample = {seen_ms, running, waiting, slots, delay_ms};
	HASH_FIND_STR (f->queues, service, q);
	if (q && q->is_fair)
		cs_overload_sample (&q->overload, cs_now_ms (), &sample);
}

/* Slots of all groups of the service that may get requests. */
static uint32_t
count_slots (cs_forward_t *f, const cs_wait_queue_t *q)
{
	uint32_t slots = 0;
	cs_buf_t name;
	cs_buf_init (&name);
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));) {
		const cs_backend_t *b = e->backend;
		if (b->state != CS_MEMBERSHIP_OPEN || b->draining ||
		    cs_targets_is_evacuated (&f->fleet, &f->evacuation, b))
			continue;
		const cs_serving_service_t *service =
			cs_serving_find_service (f->serving, b->service);
		const cs_serving_model_t *model =
			service ? cs_serving_find_model (service, b->model) : NULL;
		if (!model)
			continue;
		cs_targets_service_name (&name, b->service, cs_str (b->model));
		if (strcmp (name.p, q->service) == 0 &&
		    cs_fleet_is_group_complete (&f->fleet, b, model->group_size))
			slots += service->slots;
	}
	cs_buf_finish (&name);
	return slots;
}

void
cs_queue_heads_changed (cs_forward_t *f)
{
	for (cs_wait_queue_t *q = f->queues; q; q = q->hh.next)
		if (q->is_fair)
			cs_overload_set_slots (&q->overload, count_slots (f, q));
}

void
cs_queue_tick (cs_forward_t *f, int64_t now_ms)
{
	for (cs_wait_queue_t *q = f->queues; q; q = q->hh.next)
		if (q->is_fair)
			cs_overload_counts_log (&q->counts, now_ms, q->service, &q->overload,
						&q->fair);
}

void
cs_queue_record_load (const cs_backend_request_t *s, uint32_t waiting)
{
	cs_forward_t *f = s->call->forward;
	cs_wait_queue_t *q = find_queue (f, s->service);
	cs_send_rate_t *r = &q->rate;
	uint32_t slots = cs_router_max_concurrent (&f->router, s->backend_id);
	bool is_changed =
		cs_send_rate_answered (r, cs_now_ms (), waiting, slots, s->call->route->target_ms);
	if (is_changed && !(q->is_fair && cs_overload_is_informed (&q->overload, cs_now_ms ())))
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
	if (!s->first_us)
		return;
	int64_t duration_ms = (cs_now_us () - s->sent_us) / 1000;
	cs_send_rate_ended (&q->rate, duration_ms);
	cs_overload_ended (&q->overload, duration_ms);
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
dispatch_fair (cs_forward_t *f, cs_wait_queue_t *q)
{
	uint64_t number;
	while (cs_fair_queue_count (&q->fair) &&
	       cs_fair_queue_peek (&q->fair, cs_now_ms (), spare_tokens (q), &number) == CS_OK) {
		cs_call_t *c = find_call (f, number);
		if (c && !cs_dispatch_queued (c, q->service)) {
			/* Without homes no other request finds room either. */
			if (!cs_homes_bind (c->route, c->team))
				break;
			cs_fair_queue_set_aside (&q->fair, number);
			continue;
		}
		if (c)
			c->queue = NULL;
		cs_fair_queue_remove (&q->fair, number);
	}
	cs_fair_queue_end_asides (&q->fair);
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

static void
send_fair_refusals (cs_forward_t *f, cs_wait_queue_t *q)
{
	cs_fair_queue_tick (&q->fair, cs_now_ms ());
	for (size_t i = 0; i < q->fair.n_refused; i++) {
		const cs_fair_refusal_t *r = &q->fair.refused[i];
		cs_call_t *c = find_call (f, r->id);
		/* One that was displaced may have been taken out since. */
		if (!c || c->queue != q)
			continue;
		c->queue = NULL;
		count_event (q, c, CS_OVERLOAD_REFUSED);
		cs_dispatch_refuse (c, "waited", (uint32_t)r->retry_after_ms);
	}
	cs_fair_queue_clear_refused (&q->fair);
}

/* Dispatches queued requests, and refuses those that expired or were displaced. */
static void
serve_queues (cs_forward_t *f)
{
	bool waiting = false;
	for (cs_wait_queue_t *q = f->queues; q; q = q->hh.next) {
		if (q->is_fair)
			continue;
		dispatch_queued (f, q);
		send_refusals (f, q);
		waiting |= q->admission.queued > 0;
	}
	if (!waiting)
		ev_timer_stop (f->task->kernel->loop, &f->queue_timer);
}

static void
on_fair_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_forward_t *f = w->data;
	bool waiting = false;
	(void)loop;
	(void)events;
	for (cs_wait_queue_t *q = f->queues; q; q = q->hh.next) {
		if (!q->is_fair)
			continue;
		dispatch_fair (f, q);
		send_fair_refusals (f, q);
		waiting |= cs_fair_queue_count (&q->fair) > 0;
	}
	if (!waiting)
		ev_timer_stop (f->task->kernel->loop, &f->fair_timer);
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
	ev_timer_init (&f->fair_timer, on_fair_timer, 0., FAIR_POLL_MS / 1000.);
	ev_set_priority (&f->fair_timer, EV_MINPRI);
	f->fair_timer.data = f;
}

void
cs_queue_finish (cs_forward_t *f)
{
	cs_wait_queue_t *q, *next;
	ev_timer_stop (f->task->kernel->loop, &f->queue_timer);
	ev_timer_stop (f->task->kernel->loop, &f->fair_timer);
	HASH_ITER (hh, f->queues, q, next) {
		HASH_DEL (f->queues, q);
		cs_admission_finish (&q->admission);
		cs_fair_queue_finish (&q->fair);
		free (q->service);
		free (q);
	}
}

/* As add_fair does. */
static bool
would_add_fair (cs_wait_queue_t *q, const cs_call_t *c, cs_queue_explanation_t *out)
{
	const cs_fair_request_t r = fair_request (q, c);
	int64_t now = cs_now_ms ();
	double spare = spare_tokens (q);
	out->waiting = cs_fair_queue_count (&q->fair);
	out->limit_per_s = q->fair.rate;
	out->spare = isinf (spare) ? 0 : spare;
	out->reserve = cs_fair_queue_reserve (&q->fair, now, &r);
	if (cs_overload_is_informed (&q->overload, now))
		out->busy = cs_overload_busy (&q->overload);
	cs_status_t status = cs_fair_queue_would_offer (&q->fair, now, &r, next_token_ms (q, spare),
							&out->retry_after_ms);
	return status == CS_OK;
}

/* As cs_queue_add does for others. */
static bool
would_add (const cs_wait_queue_t *q, cs_queue_explanation_t *out)
{
	int64_t now = cs_now_ms ();
	out->waiting = q->admission.queued;
	out->limit_per_s = q->rate.limit;
	out->spare = q->rate.limit != 0 ? q->rate.tokens - 1 : 0;
	cs_status_t status = cs_admission_would_offer (&q->admission, now, out->priority,
						       now + DEADLINE_FACTOR * out->max_wait_ms,
						       &out->retry_after_ms);
	if (out->retry_after_ms < MIN_RETRY_AFTER_MS)
		out->retry_after_ms = MIN_RETRY_AFTER_MS;
	return status == CS_OK;
}

void
cs_queue_explain (const cs_call_t *c, const char *service, cs_queue_explanation_t *out)
{
	cs_wait_queue_t *q;
	HASH_FIND_STR (c->forward->queues, service, q);
	/* Of a queue only the copy is changed; those that wait are only read. */
	cs_wait_queue_t *copy = q ? cs_alloc (sizeof *copy) : new_queue ();
	if (q)
		*copy = *q;
	else
		copy->is_fair = has_large_groups (c);
	*out = (cs_queue_explanation_t){.priority = priority_of (c)};
	out->may_send = may_send (copy, c);
	out->max_wait_ms = max_wait_ms (copy, c);
	out->would_wait = copy->is_fair ? would_add_fair (copy, c, out) : would_add (copy, out);
	free (copy);
}
