/* The HTTP server for callers: what it reads becomes calls. */
#include <stdlib.h>

#include "cs/log.h"
#include "forward.h"

static void
on_caller_left (void *request)
{
	cs_call_t *c = request;
	if (c->abandoned || c->ended)
		return;
	c->abandoned = true;
	cs_log_event ("forward", "caller_left", "id=%.*s after_ms=%lld",
		      CS_STR_ARG (cs_call_id (c)), (long long)(cs_now_ms () - c->received_ms));
	cs_queue_remove (c);
	cs_backend_request_cancel (c);
	ev_timer_stop (c->forward->task->kernel->loop, &c->retry_timer);
}

static void *
on_head (void *data, cs_server_connection_t *connection, const cs_http_head_t *head,
	 int64_t started_ms)
{
	cs_call_t *c = cs_call_new (data, connection, head, started_ms);
	cs_body_begin (c, head);
	return c;
}

static void
on_body (void *request, cs_str_t bytes)
{
	cs_body_add (request, bytes);
}

static void
on_received (void *request)
{
	cs_call_t *c = request;
	cs_body_end (c);
	cs_call_count (c);
	cs_admit (c);
	cs_reply_serve (c);
}

static void
on_bad_body (void *request, int status, const char *reason)
{
	cs_body_refuse (request, status, reason);
}

static void
on_resumed (void *request)
{
	cs_reply_serve (request);
}

static ssize_t
on_read (void *request, char *out, size_t max)
{
	return cs_reply_read (request, out, max);
}

static void
on_finished (void *request, bool delivered)
{
	cs_call_t *c = request;
	c->abandoned |= !delivered && !c->ended;
	if (!delivered && c->ended && c->complete)
		cs_log_event ("forward", "undelivered", "id=%.*s status=%d runs=%u unsent=%zu",
			      CS_STR_ARG (cs_call_id (c)), c->status, c->runs,
			      cs_httpd_outbox_size (&c->outbox));
	cs_call_free (c);
}

static const cs_server_owner_t owner = {
	.begin = on_head,
	.receive_body = on_body,
	.receive_end = on_received,
	.refuse_body = on_bad_body,
	.resume = on_resumed,
	.read_answer = on_read,
	.leave = on_caller_left,
	.finish = on_finished,
};

void
cs_listener_set_limits (cs_forward_t *f)
{
	const cs_server_limits_t limits = {.max_head_bytes = f->serving->max_header_bytes,
					   .head_timeout_ms = f->serving->head_timeout_ms,
					   .idle_timeout_ms = f->serving->idle_ms};
	cs_server_set_limits (&f->callers, &limits);
}

cs_status_t
cs_listener_start (cs_forward_t *f)
{
	enum { /* until a configuration sets limits */
		MAX_HEAD_BYTES = 16 << 10,
		HEAD_TIMEOUT_MS = 3000,
		IDLE_TIMEOUT_MS = 15000
	};
	f->callers = (cs_server_t){.owner = &owner,
				   .data = f,
				   .log_component = "forward",
				   .limits = {MAX_HEAD_BYTES, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS},
				   .max_connections = f->host->max_connections};
	return cs_server_start (&f->callers, f->task->kernel->loop, f->host->listen_callers);
}

void
cs_listener_stop (cs_forward_t *f)
{
	cs_server_stop (&f->callers);
}
