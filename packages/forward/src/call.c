#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/stop.h"
#include "forward.h"

enum {
	MAX_TIMEOUT_MS = 30000, /* upper bound, and the value when the caller states none */
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503
};

static void
on_retry_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	cs_dispatch (w->data);
}

cs_call_t *
cs_call_new (cs_forward_t *f, cs_server_connection_t *connection, const cs_http_head_t *head,
	     int64_t received_ms)
{
	cs_call_t *c = cs_alloc (sizeof *c);
	cs_str_t name, value, lines = head->lines;
	c->forward = f;
	c->number = ++f->last_number;
	c->connection = connection;
	c->method = cs_str_dup (head->method);
	c->target = cs_str_dup (head->target);
	c->is_http_1_0 = head->is_http_1_0;
	while (cs_http_next_line (&lines, &name, &value))
		cs_headers_add (&c->headers, name, value);
	c->received_ms = received_ms;
	c->predicted_ms = -1;
	c->first_ms = -1;
	ev_init (&c->retry_timer, on_retry_timer);
	c->retry_timer.data = c;
	DL_APPEND (f->calls, c);
	return c;
}

void
cs_call_count (cs_call_t *c)
{
	c->phase = CS_CALL_WAITING;
	c->counted = true;
	c->forward->callers.in_progress++;
}

void
cs_call_free (cs_call_t *c)
{
	cs_forward_t *f = c->forward;
	struct ev_loop *loop = f->task->kernel->loop;
	ev_timer_stop (loop, &c->retry_timer);
	cs_queue_remove (c);
	c->abandoned = true; /* prevents a retry or a reply when the attempt ends */
	cs_backend_request_cancel (c);
	if (c->counted) {
		f->callers.in_progress--;
		cs_counts_request_ended (c);
	}
	cs_answer_memory_resize (&f->answer_memory, &c->held_bytes, 0);
	cs_body_release (c);
	cs_bodies_serve (f);
	DL_DELETE (f->calls, c);
	for (uint32_t i = 0; i < c->tries && i < CS_OUTCOME_MAX_TRIES; i++)
		free (c->tried[i]);
	if (c->has_events)
		cs_sse_finish (&c->events);
	if (c->serving)
		cs_ref_put (&c->serving->ref);
	cs_headers_clear (&c->headers);
	cs_headers_clear (&c->answer_headers);
	cs_buf_finish (&c->body);
	cs_httpd_outbox_finish (&c->outbox);
	free (c->method);
	free (c->target);
	free (c->service);
	free (c->causes);
	free (c);
}

cs_str_t
cs_call_id (const cs_call_t *c)
{
	return cs_headers_find (&c->headers, c->forward->names->request_id);
}

int64_t
cs_call_deadline_ms (const cs_call_t *c)
{
	cs_str_t text = cs_headers_find (&c->headers, c->forward->names->deadline);
	uint64_t ms = MAX_TIMEOUT_MS;
	if (!cs_str_u64 (text, &ms) || ms > MAX_TIMEOUT_MS)
		ms = MAX_TIMEOUT_MS;
	return c->received_ms + (int64_t)ms;
}

void
cs_call_set_deadlines (cs_call_t *c)
{
	c->deadline_ms = cs_call_deadline_ms (c);
	uint64_t stated_ms;
	c->states_deadline =
		cs_str_u64 (cs_headers_find (&c->headers, c->forward->names->deadline), &stated_ms);
	c->expires_ms = c->deadline_ms;
	int64_t route_ms = c->received_ms + c->route->timeout_ms;
	if (c->route->timeout_ms && route_ms < c->expires_ms)
		c->expires_ms = route_ms;
}

cs_request_state_t
cs_call_state (const cs_call_t *c)
{
	return (cs_request_state_t){.route = c->route,
				    .runs = c->runs,
				    .tries = c->tries,
				    .reached_caller = c->has_head,
				    .has_position = !c->events.unnumbered,
				    .may_repeat = true};
}

void
cs_call_end_at_exit (cs_call_t *c)
{
	const cs_stop_request_t request = {.has_ended = c->ended || c->abandoned,
					   .has_head = c->has_head,
					   .is_at_back_end = c->backend_request != NULL,
					   .runs = c->runs};
	if (c->phase == CS_CALL_READING)
		return;
	switch (cs_stop_answer (&request)) {
	case CS_STOP_LEAVE_ALONE:
		return;
	case CS_STOP_NOT_RUN:
		cs_reply_own (c, STATUS_UNAVAILABLE, "stopping", CS_STOPPING_RETRY_MS);
		break;
	case CS_STOP_MAY_HAVE_RUN:
		cs_reply_own (c, STATUS_BAD_GATEWAY, "stopping", 0);
		break;
	case CS_STOP_CUT:
		cs_reply_end (c, false);
		break;
	}
	cs_queue_remove (c);
	ev_timer_stop (c->forward->task->kernel->loop, &c->retry_timer);
	cs_backend_request_cancel_blameless (c);
}
