/* Validates a back end's answer and forwards it to the gateway. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "attempt.h"
#include "cs/counters.h"

enum {
	MAX_UNDELIVERED_BYTES = 4 << 10, /* of an answer, in messages to the gateway */
	MESSAGE_BYTES = 128,             /* what a message counts besides its bytes */
	MAX_UNSTREAMED_BYTES = 64 << 10, /* a longer answer of a plain service is streamed */
	MAX_UNNUMBERED_BYTES = 64 << 10, /* events of a stream with no token behind them */
	CHECKED_BLOCK_BYTES = 4 << 10,   /* of a stream that is checked as a whole */
	DROP_TIMEOUT_MS = 1000 /* for the rest of an answer that is dropped; then its connection is
				  closed instead of being used again */
};

static cs_counter_t tokens_total = {.name = "cs_engine_tokens_total",
				    .help = "Tokens passed on to callers."};

static bool
header_has_name (cs_str_t name, const char *expected)
{
	return name.n == strlen (expected) && !strncasecmp (name.p, expected, name.n);
}

/* A header may come twice. */
static void
compare (cs_str_t value, const char *expected, bool *matches, bool *differs)
{
	if (cs_str_is (value, expected))
		*matches = true;
	else
		*differs = true;
}

void
cs_answer_on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	cs_attempt_t *a = call->data;
	const cs_dispatch_msg_t *d = a->dispatch;
	char text[24];
	if (header_has_name (name, "X-Cs-Request")) {
		snprintf (text, sizeof text, "%016" PRIx64, a->request_id);
		compare (value, text, &a->request_matches, &a->names_other_request);
	} else if (header_has_name (name, "X-Cs-Group")) {
		compare (value, d->group, &a->group_matches, &a->names_other_group);
	} else if (header_has_name (name, "X-Cs-Fence")) {
		snprintf (text, sizeof text, "%" PRIu64, d->fence);
		compare (value, text, &a->fence_matches, &a->names_other_group);
	}
}

static void
set_final_result (cs_attempt_t *a, cs_attempt_result_t result)
{
	a->mode = CS_ANSWER_IGNORED;
	a->has_final_result = true;
	a->final_result = result;
}

/* Reports the attempt. What is left of its answer is dropped. */
static void
finish_early (cs_attempt_t *a, cs_attempt_result_t result)
{
	a->mode = CS_ANSWER_IGNORED;
	cs_attempt_report (a, result);
	cs_http_end_within (&a->call, DROP_TIMEOUT_MS);
}

/* Accounts for the part of the answer that is held. False if there is no memory for it. */
static bool
hold_bytes (cs_attempt_t *a, size_t n)
{
	return cs_answer_memory_resize (&a->engine->answer_memory, &a->held_bytes, n);
}

/* Sets the attempt's result and closes the connection to the back end. */
static void
abort_call (cs_attempt_t *a, cs_attempt_result_t result)
{
	set_final_result (a, result);
	cs_http_cancel (&a->call);
}

/* An engine that refuses with 409 or 503 has not run any part of the request. A refusal that names
 * no request may, on a connection that was used before, be one of an earlier request that was sent
 * again. Every other answer must echo the request id, the group and the fencing number. Only an
 * event stream can continue a resumed answer. */
static void
validate_model_head (cs_attempt_t *a)
{
	bool is_refusal = (a->status == 409 || a->status == 503) &&
			  (a->request_matches || !a->call.is_reused);
	bool is_expected = a->request_matches && a->group_matches && a->fence_matches &&
			   !a->names_other_request && !a->names_other_group;
	bool is_resumed = a->dispatch->resume_from > 0;
	if (is_refusal && !a->names_other_request)
		finish_early (a, CS_END_REFUSED);
	else if (!is_expected)
		abort_call (a, CS_END_WRONG_GROUP);
	else if (is_resumed && (a->status != 200 || a->mode != CS_ANSWER_EVENTS))
		abort_call (a, CS_END_BROKEN);
}

void
cs_answer_on_head (cs_http_call_t *call, int status, cs_str_t content_type)
{
	cs_attempt_t *a = call->data;
	bool is_event_stream = cs_str_starts_nocase (content_type, "text/event-stream");
	bool is_model = a->dispatch->is_model_group;
	a->status = status;
	a->content_type = cs_str_dup (content_type);
	a->mode = CS_ANSWER_BUFFERED;
	a->is_token_stream = is_event_stream && is_model && status == 200;
	if (a->is_token_stream && !a->dispatch->buffer)
		a->mode = CS_ANSWER_EVENTS;
	else if (is_event_stream && !is_model && !a->dispatch->buffer)
		a->mode = CS_ANSWER_STREAMED;
	if (is_model)
		validate_model_head (a);
}

static void
send_head (cs_attempt_t *a)
{
	cs_engine_t *e = a->engine;
	if (a->is_head_sent)
		return;
	a->is_head_sent = true;
	if (a->dispatch->resume_from)
		return;
	cs_answer_msg_t *m = cs_answer_msg (CS_MSG_HEAD, a->dispatch->request);
	m->status = a->status;
	m->content_type = cs_str_dup (cs_str (a->content_type));
	cs_send (e->task, e->gateway, &m->msg);
}

/* Sends the buffer's bytes to the gateway and empties the buffer. */
static void
send_bytes (cs_attempt_t *a, cs_buf_t *b)
{
	cs_engine_t *e = a->engine;
	send_head (a);
	if (!b->n)
		return;
	cs_answer_msg_t *m = cs_answer_msg (CS_MSG_BODY, a->dispatch->request);
	a->undelivered_bytes += MESSAGE_BYTES + b->n;
	m->bytes = *b;
	cs_buf_init (b);
	cs_send (e->task, e->gateway, &m->msg);
	if (a->undelivered_bytes > MAX_UNDELIVERED_BYTES)
		cs_attempt_await_delivery (a);
}

static void
send_end (cs_attempt_t *a)
{
	cs_engine_t *e = a->engine;
	send_head (a);
	cs_answer_msg_t *m = cs_answer_msg (CS_MSG_END, a->dispatch->request);
	m->complete = true;
	cs_send (e->task, e->gateway, &m->msg);
}

/* Adds the events that are complete with these bytes to the body. Events with data but without an
 * id have no position to resume behind, so that they are ready only with a token behind them or
 * with the end of the stream. Nothing is ready before the first token. */
static cs_status_t
add_events (cs_attempt_t *a, cs_str_t bytes)
{
	cs_status_t status = CS_OK;
	cs_sse_t *s = &a->sse;
	while (bytes.n && status == CS_OK && !s->done) {
		const char *end = memchr (bytes.p, '\n', bytes.n);
		size_t n = end ? (size_t)(end - bytes.p) + 1 : bytes.n;
		uint32_t tokens_before = s->tokens;
		s->unnumbered = false;
		status = cs_sse_push (s, cs_str_n (bytes.p, n), &a->body);
		a->holds_unnumbered |= s->unnumbered;
		if (s->tokens > tokens_before || s->done)
			a->holds_unnumbered = false;
		if (!a->holds_unnumbered && (s->tokens || s->done || a->dispatch->resume_from))
			a->n_ready = a->body.n;
		bytes = cs_str_n (bytes.p + n, bytes.n - n);
	}
	return status;
}

static void
send_ready_events (cs_attempt_t *a)
{
	cs_buf_t ready = {0};
	if (!a->n_ready)
		return;
	cs_buf_add (&ready, cs_str_n (a->body.p, a->n_ready));
	cs_buf_consume (&a->body, a->n_ready);
	a->n_ready = 0;
	send_bytes (a, &ready);
}

/* An answer of which the caller has a part can be resumed only behind a token. */
static void
forward_events (cs_attempt_t *a, cs_str_t bytes)
{
	uint32_t tokens_before = a->sse.tokens;
	cs_status_t status = add_events (a, bytes);
	cs_counter_add (&tokens_total, a->sse.tokens - tokens_before);
	send_ready_events (a);
	if (status != CS_OK || a->body.n > MAX_UNNUMBERED_BYTES ||
	    !hold_bytes (a, a->body.n + a->sse.incomplete_event.n)) {
		abort_call (a, CS_END_BROKEN);
		return;
	}
	if (!a->sse.done || a->is_reported)
		return;
	send_end (a);
	finish_early (a, CS_END_OK);
}

static void
buffer_bytes (cs_attempt_t *a, cs_str_t bytes)
{
	bool must_buffer = a->dispatch->is_model_group || a->dispatch->buffer;
	size_t n = a->body.n + bytes.n;
	bool is_held = (must_buffer || n <= MAX_UNSTREAMED_BYTES) && hold_bytes (a, n);
	if (!is_held && must_buffer) {
		abort_call (a, CS_END_BROKEN);
		return;
	}
	if (n > CS_ANSWER_MEMORY_SMALL_BYTES)
		cs_buf_reserve_mapping (&a->body);
	cs_buf_add (&a->body, bytes);
	if (is_held)
		return;
	a->mode = CS_ANSWER_STREAMED;
	hold_bytes (a, 0);
	send_bytes (a, &a->body);
}

void
cs_answer_on_body (cs_http_call_t *call, cs_str_t bytes)
{
	cs_attempt_t *a = call->data;
	if (!a->first_byte_us)
		a->first_byte_us = cs_now_us ();
	switch (a->mode) {
	case CS_ANSWER_EVENTS:
		forward_events (a, bytes);
		break;
	case CS_ANSWER_BUFFERED:
		buffer_bytes (a, bytes);
		break;
	case CS_ANSWER_STREAMED:
		cs_buf_add (&a->body, bytes);
		send_bytes (a, &a->body);
		break;
	default:
		break;
	}
}

/* Whether the stream that was held as a whole has all its tokens in order and its last event. */
static bool
is_stream_complete (const cs_attempt_t *a)
{
	cs_str_t rest = cs_buf_str (&a->body);
	cs_status_t status = CS_OK;
	cs_buf_t events = {0};
	cs_sse_t sse;
	cs_sse_init (&sse, 1);
	while (rest.n && status == CS_OK && !sse.done) {
		size_t n = rest.n < CHECKED_BLOCK_BYTES ? rest.n : CHECKED_BLOCK_BYTES;
		status = cs_sse_push (&sse, cs_str_n (rest.p, n), &events);
		cs_buf_clear (&events);
		rest = cs_str_n (rest.p + n, rest.n - n);
	}
	bool is_complete = status == CS_OK && sse.done;
	cs_buf_finish (&events);
	cs_sse_finish (&sse);
	return is_complete;
}

cs_attempt_result_t
cs_answer_on_end (cs_attempt_t *a, cs_http_end_t end)
{
	static const cs_attempt_result_t results[] = {
		[CS_HTTP_DONE] = CS_END_OK,
		[CS_HTTP_NOT_SENT] = CS_END_NOT_SENT,
		[CS_HTTP_BROKEN] = CS_END_BROKEN,
		[CS_HTTP_TIMED_OUT] = CS_END_TIMED_OUT,
		[CS_HTTP_CANCELLED] = CS_END_CANCELLED,
	};
	if (a->has_final_result)
		return a->final_result;
	if (end != CS_HTTP_DONE)
		return results[end];
	bool is_head_cut = a->mode == CS_ANSWER_WAITING; /* behind a header that ends the body */
	if (is_head_cut || a->mode == CS_ANSWER_EVENTS)
		return CS_END_BROKEN;
	if (a->dispatch->buffer)
		return a->is_token_stream && !is_stream_complete (a) ? CS_END_BROKEN : CS_END_OK;
	send_bytes (a, &a->body);
	send_end (a);
	return CS_END_OK;
}
