#include "attempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "cs/counters.h"

enum {
	CONNECT_TIMEOUT_MS = 1000
};

static const char *const result_names[] = {
	[CS_END_OK] = "ok",
	[CS_END_NOT_SENT] = "not-sent",
	[CS_END_REFUSED] = "refused",
	[CS_END_BROKEN] = "broken",
	[CS_END_TIMED_OUT] = "silent",
	[CS_END_WRONG_GROUP] = "wrong-group",
	[CS_END_CANCELLED] = "cancelled",
};

static const char attempts_help[] = "Ended attempts at back ends.";

static cs_counter_t attempts_total[] = {
	[CS_END_OK] = {.name = "cs_engine_attempts_total{result=\"ok\"}", .help = attempts_help},
	[CS_END_NOT_SENT] = {.name = "cs_engine_attempts_total{result=\"not-sent\"}",
			     .help = attempts_help},
	[CS_END_REFUSED] = {.name = "cs_engine_attempts_total{result=\"refused\"}",
			    .help = attempts_help},
	[CS_END_BROKEN] = {.name = "cs_engine_attempts_total{result=\"broken\"}",
			   .help = attempts_help},
	[CS_END_TIMED_OUT] = {.name = "cs_engine_attempts_total{result=\"silent\"}",
			      .help = attempts_help},
	[CS_END_WRONG_GROUP] = {.name = "cs_engine_attempts_total{result=\"wrong-group\"}",
				.help = attempts_help},
	[CS_END_CANCELLED] = {.name = "cs_engine_attempts_total{result=\"cancelled\"}",
			      .help = attempts_help},
};

static void
export_child_span (const cs_attempt_t *a, const char *name, int64_t start_us, int64_t end_us)
{
	cs_trace_t child;
	cs_trace_child (&child, &a->span);
	cs_span_export (&child, &a->span, name, start_us, end_us, NULL, 0);
}

static void
export_spans (const cs_attempt_t *a, cs_attempt_result_t result, int64_t now_us)
{
	const cs_dispatch_msg_t *d = a->dispatch;
	char fence[24], attempt[12];
	snprintf (fence, sizeof fence, "%" PRIu64, d->fence);
	snprintf (attempt, sizeof attempt, "%" PRIu32, d->attempt);
	const cs_attribute_t attributes[] = {
		{"url.full", cs_buf_str (&a->url)},
		{"group", cs_str (d->group)},
		{"fence", cs_str (fence)},
		{"attempt", cs_str (attempt)},
		{"result", cs_str (result_names[result])},
	};
	cs_span_export (&a->span, &d->request->trace, "dispatch", a->started_us, now_us, attributes,
			sizeof attributes / sizeof *attributes);
	if (!a->first_byte_us)
		return;
	export_child_span (a, "first_byte", a->started_us, a->first_byte_us);
	export_child_span (a, "stream", a->first_byte_us, now_us);
}

void
cs_attempt_report (cs_attempt_t *a, cs_attempt_result_t result)
{
	cs_engine_t *e = a->engine;
	const cs_dispatch_msg_t *d = a->dispatch;
	int64_t now_us = cs_now_us ();
	if (a->is_reported)
		return;
	a->is_reported = true;
	cs_counter_add (&attempts_total[result], 1);
	export_spans (a, result, now_us);

	cs_attempt_end_msg_t *m = cs_attempt_end_msg (d->request);
	m->attempt = d->attempt;
	m->result = result;
	m->status = a->status;
	m->content_type = cs_str_dup (cs_str (a->content_type));
	if (d->buffer && result == CS_END_OK) {
		m->body = a->body;
		cs_buf_init (&a->body);
	}
	m->reached_caller = a->is_head_sent;
	m->tokens = a->sse.tokens;
	m->first_byte_us = a->first_byte_us ? a->first_byte_us - a->started_us : 0;
	m->duration_us = now_us - a->started_us;
	cs_send (e->task, e->control, &m->msg);
	HASH_DEL (a->engine->attempts, a);
}

static void
free_attempt (cs_attempt_t *a)
{
	for (size_t i = 0; i < a->n_header_lines; i++)
		free (a->header_lines[i]);
	cs_buf_finish (&a->url);
	cs_buf_finish (&a->body);
	cs_sse_finish (&a->sse);
	free (a->method);
	free (a->content_type);
	cs_ref_put (&a->dispatch->msg.ref);
	free (a);
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	cs_attempt_t *a = call->data;
	(void)status;
	if (!a->is_reported)
		cs_attempt_report (a, cs_answer_on_end (a, end));
	cs_answer_memory_resize (&a->engine->answer_memory, &a->held_bytes, 0);
	free_attempt (a);
}

static cs_attempt_t *
find_attempt (cs_engine_t *e, const cs_request_t *r)
{
	cs_attempt_t *a = NULL;
	HASH_FIND (hh, e->attempts, &r->id, sizeof r->id, a);
	return a;
}

static void
prepare_call (cs_attempt_t *a)
{
	const cs_dispatch_msg_t *d = a->dispatch;
	const cs_request_t *r = d->request;
	if (d->is_model_group)
		cs_buf_printf (&a->url, "%s/v1/chat/completions", d->url);
	else
		cs_buf_printf (&a->url, "%s%.*s", d->url, CS_STR_ARG (r->path));
	cs_attempt_add_headers (a);
	a->method = cs_str_dup (d->is_model_group ? cs_str ("POST") : r->method);
	a->call = (cs_http_call_t){
		.method = a->method,
		.url = cs_buf_str (&a->url),
		.body = r->body,
		.headers = (const char *const *)a->header_lines,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = d->idle_timeout_ms,
		.needs_new_connection = d->attempt > 1,
		.on_head = cs_answer_on_head,
		.on_header = cs_answer_on_header,
		.on_body = cs_answer_on_body,
		.on_end = on_end,
		.data = a,
	};
}

static void
add_attempt (cs_engine_t *e, cs_attempt_t *a)
{
	HASH_ADD (hh, e->attempts, request_id, sizeof a->request_id, a);
}

void
cs_attempt_start (cs_engine_t *e, cs_dispatch_msg_t *m)
{
	cs_attempt_cancel (e, m->request);
	cs_attempt_t *a = cs_alloc (sizeof *a);
	cs_ref_get (&m->msg.ref);
	a->engine = e;
	a->dispatch = m;
	a->request_id = m->request->id;
	a->started_us = cs_now_us ();
	cs_trace_child (&a->span, &m->request->trace);
	cs_sse_init (&a->sse, (uint64_t)m->resume_from + 1);
	add_attempt (e, a);
	prepare_call (a);
	if (cs_http_start (&e->http, &a->call) == CS_OK)
		return;
	cs_attempt_report (a, CS_END_NOT_SENT);
	free_attempt (a);
}

void
cs_attempt_cancel (cs_engine_t *e, const cs_request_t *r)
{
	cs_attempt_t *a = find_attempt (e, r);
	if (a)
		cs_http_cancel (&a->call);
}

static void
update_pause (cs_attempt_t *a)
{
	cs_http_pause (&a->call, a->is_caller_slow || a->awaits_delivery);
}

void
cs_attempt_pause (cs_engine_t *e, const cs_request_t *r, bool paused)
{
	cs_attempt_t *a = find_attempt (e, r);
	if (!a)
		return;
	a->is_caller_slow = paused;
	update_pause (a);
}

/* Messages are delivered in order: this one comes back behind those to the gateway. */
void
cs_attempt_await_delivery (cs_attempt_t *a)
{
	cs_engine_t *e = a->engine;
	if (a->awaits_delivery)
		return;
	a->awaits_delivery = true;
	update_pause (a);
	cs_send (e->task, e->task, &cs_flow_msg (a->dispatch->request, false)->msg);
}

void
cs_attempt_delivered (cs_engine_t *e, const cs_request_t *r)
{
	cs_attempt_t *a = find_attempt (e, r);
	if (!a)
		return;
	a->undelivered_bytes = 0;
	a->awaits_delivery = false;
	update_pause (a);
}
