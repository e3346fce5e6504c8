/* Sends a request to a back end and reads the answer. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cs/counters.h"
#include "cs/hash.h"
#include "cs/log.h"
#include "cs/stream_start.h"
#include "forward.h"

enum {
	CONNECT_MS = 250, /* a running machine accepts a connection within a few ms */
	MIN_FIRST_MS =
		150, /* lower bound of the timeout for the first byte: a few passes of a back end */
	MIN_FIRST_PERCENT = 80, /* lower bound, of the latency objective: a second attempt makes a
				   back end process the whole prompt again, and most requests are
				   still on time by then */
	MIN_GAP_MS = 250,       /* lower bound of the timeout between events */
	STALL_GAPS = 2, /* further gap timeouts before a stalled stream is resumed at another back
			   end: it is late by then, and its caller disconnects after eight gap
			   timeouts at the earliest */
	RETRY_CHECK_MS =
		250, /* interval of checks whether another attempt can replace a stalled one */
	MIN_EXCESSIVE_BYTES = 64 << 10 /* a shorter answer that finds no memory is no fault of its
					   back end */
};

static cs_counter_t bad_answers = {.name = "cs_forward_bad_answers_total",
				   .help = "Answers of back ends that could not be passed on."};

static struct ev_loop *
loop_of (const cs_call_t *c)
{
	return c->forward->task->kernel->loop;
}

/* True if the route allows another attempt after the current one. */
static bool
may_retry (const cs_call_t *c)
{
	cs_request_state_t state = cs_call_state (c);
	state.runs++;
	return cs_outcome_may_run_again (&state);
}

/* Returns the time in ms within which the answer, or the first event of a stream, must arrive. */
static int64_t
first_timeout_ms (const cs_backend_request_t *s, int64_t now)
{
	const cs_call_t *c = s->call;
	int64_t left_ms = c->expires_ms - now;
	int64_t most_ms = 2 * (int64_t)c->route->target_ms;
	if (!may_retry (c))
		return left_ms;
	int64_t least_ms = (int64_t)c->route->target_ms * MIN_FIRST_PERCENT / 100;
	least_ms = least_ms > MIN_FIRST_MS ? least_ms : MIN_FIRST_MS;
	int64_t ms = cs_answer_timeout_ms (&c->forward->answer_timeout, s->service, least_ms,
					   most_ms > least_ms ? most_ms : least_ms);
	return ms < left_ms ? ms : left_ms;
}

static int64_t
gap_timeout_ms (const cs_call_t *c, int64_t now)
{
	int64_t left_ms = c->expires_ms - now;
	int64_t ms = c->route->gap_ms;
	if (!may_retry (c) || !ms)
		return left_ms;
	ms = ms < MIN_GAP_MS ? MIN_GAP_MS : ms;
	return ms < left_ms ? ms : left_ms;
}

static void
start_progress_timer (cs_backend_request_t *s, int64_t ms)
{
	s->due_ms = cs_now_ms () + ms;
	cs_timer_start_after (loop_of (s->call), &s->progress_timer, ms);
}

/* Starts the timer with ms, or the time left to the request if that is shorter. Has no effect once
 * that time is over: the timer comes last in a turn of the loop, and bytes read in each turn would
 * put it off for ever. */
static void
set_progress_timer (cs_backend_request_t *s, int64_t ms)
{
	int64_t left_ms = s->call->expires_ms - cs_now_ms ();
	if (left_ms <= 0 &&
	    (ev_is_active (&s->progress_timer) || ev_is_pending (&s->progress_timer)))
		return;
	start_progress_timer (s, ms < left_ms ? ms : left_ms);
}

/* A stalled stream often recovers, and all streams of a group stall together. A stall of a
 * stream is therefore recorded first, so that other requests avoid the back end, and the stream
 * is given up only if it does not recover. */
static void
on_no_progress (cs_backend_request_t *s, int64_t now)
{
	if (s->events && !s->suspected) {
		s->suspected = true;
		cs_attempt_stalled (s);
		set_progress_timer (s, STALL_GAPS * gap_timeout_ms (s->call, now));
	} else if (cs_attempt_acquire_retry (s)) {
		s->stalled = true;
		cs_http_cancel (&s->http);
	} else {
		cs_attempt_stalled (s);
		set_progress_timer (s, RETRY_CHECK_MS);
	}
}

/* Once per attempt, as bytes may arrive without end. */
static bool
extend_after_pause (cs_backend_request_t *s, int64_t now)
{
	int64_t ms = cs_answer_timeout_extension_ms (s->due_ms, now,
						     cs_http_received_in_turn (&s->http));
	if (!ms || s->is_extended)
		return false;
	s->is_extended = true;
	cs_log_event ("forward", "reads_on", "id=%.*s back_end=%s late_ms=%lld extension_ms=%lld",
		      CS_STR_ARG (cs_call_id (s->call)), s->backend_id,
		      (long long)(now - s->due_ms), (long long)ms);
	start_progress_timer (s, ms);
	return true;
}

static void
on_progress_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_backend_request_t *s = w->data;
	int64_t now = cs_now_ms ();
	(void)loop;
	(void)events;
	if (extend_after_pause (s, now))
		return;
	if (now < s->call->expires_ms) {
		on_no_progress (s, now);
		return;
	}
	s->timed_out = true;
	cs_http_cancel (&s->http);
}

/* Ends the attempt because its answer cannot be forwarded. */
static void
reject_answer (cs_backend_request_t *s, const char *reason)
{
	s->malformed = true;
	cs_counter_add (&bad_answers, 1);
	cs_log_event ("forward", "bad_answer", "id=%.*s back_end=%s status=%d reason=\"%s\"",
		      CS_STR_ARG (cs_call_id (s->call)), s->backend_id, s->status, reason);
	cs_http_cancel (&s->http);
}

/* Accounts for the part of the answer that is held. False if the attempt was ended because there
 * is no memory for it. */
static bool
hold_bytes (cs_backend_request_t *s, size_t n)
{
	if (cs_reply_hold (s->call, n))
		return true;
	s->is_blameless = n < MIN_EXCESSIVE_BYTES || s->call->read_pause.reads_on;
	reject_answer (s, "too long to be held");
	return false;
}

static void
on_header (cs_http_call_t *http, cs_str_t name, cs_str_t value)
{
	cs_backend_request_t *s = http->data;
	cs_headers_add (&s->answer_headers, name, value);
}

static cs_str_t
answer_id (const cs_backend_request_t *s)
{
	return cs_headers_find (&s->answer_headers, s->call->forward->names->request_id);
}

static bool
is_for_request (const cs_backend_request_t *s)
{
	return cs_str_eq (answer_id (s), cs_call_id (s->call));
}

static bool
names_other_request (const cs_backend_request_t *s)
{
	const char *name = s->call->forward->names->request_id;
	for (size_t i = 0; i < s->answer_headers.n; i++) {
		const cs_header_t *h = &s->answer_headers.items[i];
		if (!strcasecmp (h->name, name) && *h->value &&
		    !cs_str_eq (cs_str (h->value), cs_call_id (s->call)))
			return true;
	}
	return false;
}

static bool
is_signed (const cs_backend_request_t *s)
{
	return cs_headers_find (&s->answer_headers, s->call->forward->names->signature).n > 0;
}

static cs_attempt_t
result_of (const cs_backend_request_t *s, cs_attempt_end_t end)
{
	const cs_header_names_t *names = s->call->forward->names;
	return (cs_attempt_t){
		.end = end,
		.status = s->status,
		.is_signed = is_signed (s),
		.is_own = is_for_request (s),
		.declared_not_run = cs_headers_find (&s->answer_headers, names->not_run).n > 0,
		.is_stream = s->is_stream,
		.names_other = names_other_request (s),
		.is_reused = s->http.is_reused,
		.was_there = s->http.sent_on.had_tag,
	};
}

/* Closes the connection: nothing behind the head counts. Behind a refusal, its copy could follow
 * and be read as the answer to a later request. */
static void
stop_at_head (cs_backend_request_t *s)
{
	s->head_suffices = true;
	cs_http_cancel (&s->http);
}

/* The answer may not be that to this request: the real one could follow and be read as that to the
 * next request. */
static void
reject_foreign_answer (cs_backend_request_t *s)
{
	cs_log_event ("forward", "not_own_answer", "id=%.*s back_end=%s status=%d",
		      CS_STR_ARG (cs_call_id (s->call)), s->backend_id, s->status);
	stop_at_head (s);
}

/* A stream's load is that at its head, not at its end. */
static void
record_load (cs_backend_request_t *s)
{
	cs_forward_t *f = s->call->forward;
	uint32_t running, waiting;
	if (!f->host->adapter->decode_load (cs_headers_find (&s->answer_headers, f->names->load),
					    &running, &waiting))
		return;
	cs_router_record_load (&f->router, s->backend_id, cs_now_ms (), running, waiting);
	s->has_load = true;
	s->load_ms = cs_now_ms ();
	s->running = running;
	s->waiting = waiting;
	cs_queue_record_load (s, waiting);
}

static void
on_head (cs_http_call_t *http, int status, cs_str_t content_type)
{
	cs_backend_request_t *s = http->data;
	s->status = status;
	cs_said_in_head (s);
	record_load (s);
	s->is_stream = s->call->route->kind == CS_KIND_STREAM && status == 200 &&
		       cs_str_starts_nocase (content_type, "text/event-stream");
	const cs_attempt_t answered = result_of (s, CS_ATTEMPT_ANSWERED);
	cs_run_t run = cs_outcome_run (&answered);
	/* Callers request no content coding, so these bytes are not what the back end sent. */
	if (cs_headers_find (&s->answer_headers, "Content-Encoding").n)
		reject_answer (s, "content coding");
	else if (s->is_stream && run != CS_RUN_YES)
		reject_answer (s, "unsigned, or of another request");
	else if (run == CS_RUN_MAYBE)
		reject_foreign_answer (s);
	else if (run == CS_RUN_NO)
		stop_at_head (s);
}

/* Records the response time when the first byte or event arrives. */
static void
record_first_byte (cs_backend_request_t *s, int64_t now_us)
{
	if (s->first_us)
		return;
	s->first_us = now_us;
	if (s->call->first_ms < 0)
		s->call->first_ms = now_us / 1000 - s->call->received_ms;
	cs_loads_record_first_event (s);
	cs_answer_timeout_record_answer (&s->call->forward->answer_timeout, now_us / 1000,
					 s->service, (now_us - s->sent_us) / 1000);
}

/* Comments are no progress: the caller's objective is measured by events. A back end that sends
 * them alone is treated as a silent one, whose stream is given up only if another can replace it.
 */
static void
record_progress (cs_backend_request_t *s)
{
	cs_call_t *c = s->call;
	s->last_us = cs_now_us ();
	cs_suspects_record_answer (&c->forward->suspects, s->last_us / 1000, s->backend_id);
	record_first_byte (s, s->last_us);
	cs_crashes_record_event (s);
	s->suspected = false;
	set_progress_timer (s, gap_timeout_ms (c, s->last_us / 1000));
}

/* Sends what is held, if anything, or holds it on. */
static void
pass_on (cs_backend_request_t *s, bool is_event)
{
	cs_call_t *c = s->call;
	switch (cs_stream_start (c->has_head || is_event, s->body.n)) {
	case CS_STREAM_HOLD:
		break;
	case CS_STREAM_SEND:
		if (!c->has_head)
			cs_reply_head (c, s->status, &s->answer_headers);
		if (s->body.n)
			cs_reply_body (c, cs_buf_str (&s->body));
		cs_buf_finish (&s->body);
		break;
	case CS_STREAM_REJECT:
		reject_answer (s, "too long before its first event");
		break;
	}
}

/* Forwards complete events. The response head is sent with the first one, so that until then the
 * request can be retried from the start at another back end. */
static void
forward_events (cs_backend_request_t *s, cs_str_t bytes)
{
	cs_call_t *c = s->call;
	uint32_t events_before = c->events.events;
	uint32_t tokens_before = c->events.tokens;
	size_t held = s->body.n + c->events.incomplete_event.n;
	if (!hold_bytes (s, cs_reply_excess (c, held + bytes.n)))
		return;
	if (c->events.incomplete_event.n + bytes.n > CS_ANSWER_MEMORY_SMALL_BYTES)
		cs_buf_reserve_mapping (&c->events.incomplete_event);
	if (cs_sse_push (&c->events, bytes, &s->body) != CS_OK)
		reject_answer (s, cs_last_error_message ());
	bool is_event = c->events.events > events_before;
	s->events += c->events.tokens - tokens_before;
	c->owes_event &= c->events.tokens == tokens_before;
	if (is_event)
		record_progress (s);
	pass_on (s, is_event);
}

static void
on_body (cs_http_call_t *http, cs_str_t bytes)
{
	cs_backend_request_t *s = http->data;
	if (s->malformed || s->head_suffices)
		return;
	if (s->is_stream) {
		forward_events (s, bytes);
		return;
	}
	record_first_byte (s, cs_now_us ());
	if (hold_bytes (s, s->body.n + bytes.n))
		cs_buf_add (&s->body, bytes);
}

/* A stream that ends within an event is incomplete, also if it ended there in an earlier attempt
 * and the one behind it had no event. */
static bool
is_cut (const cs_call_t *c)
{
	return c->events.incomplete_event.n || c->owes_event;
}

static cs_attempt_end_t
attempt_end (const cs_backend_request_t *s, cs_http_end_t end)
{
	if (s->timed_out)
		return CS_ATTEMPT_TIMEOUT;
	if (s->is_withdrawn)
		return CS_ATTEMPT_NOT_SENT;
	if (s->stalled)
		return CS_ATTEMPT_SILENT;
	if (s->malformed)
		return CS_ATTEMPT_BROKEN;
	if (s->head_suffices)
		return CS_ATTEMPT_ANSWERED;
	switch (end) {
	case CS_HTTP_DONE:
		return s->is_stream && is_cut (s->call) ? CS_ATTEMPT_BROKEN : CS_ATTEMPT_ANSWERED;
	case CS_HTTP_NOT_SENT:
		return CS_ATTEMPT_NOT_SENT;
	case CS_HTTP_TIMED_OUT:
		return CS_ATTEMPT_TIMEOUT; /* its bound is the request's time */
	default:
		return CS_ATTEMPT_BROKEN;
	}
}

static void
on_end (cs_http_call_t *http, cs_http_end_t end, int status)
{
	cs_backend_request_t *s = http->data;
	cs_attempt_t result = result_of (s, attempt_end (s, end));
	(void)status;
	/* If the connection could not be made in time, the attempt counts as not sent rather
	 * than silent. */
	if (end == CS_HTTP_NOT_SENT && result.end != CS_ATTEMPT_TIMEOUT)
		result.end = CS_ATTEMPT_NOT_SENT;
	ev_timer_stop (loop_of (s->call), &s->progress_timer);
	s->call->backend_request = NULL;
	cs_attempt_ended (s, &result);
}

static void
init_events (cs_call_t *c)
{
	uint64_t last_id = 0;
	if (c->route->kind != CS_KIND_STREAM)
		return;
	if (!c->has_events) {
		cs_str_u64 (cs_headers_find (&c->headers, c->forward->names->last_event_id),
			    &last_id);
		cs_sse_init_increasing (&c->events, last_id);
		c->has_events = true;
		return;
	}
	/* Drops the bytes of an incomplete event, which the next back end sends again. */
	uint32_t tokens = c->events.tokens;
	c->owes_event |= tokens && c->events.has_id;
	bool unnumbered = c->events.unnumbered;
	last_id = c->events.next - 1;
	cs_sse_finish (&c->events);
	cs_sse_init_increasing (&c->events, last_id);
	c->events.tokens = tokens;
	c->events.unnumbered = unnumbered;
	c->events.needs_id = tokens > 0;
}

/* A repeat is sent within the time for which it was granted. */
static int64_t
not_after_ms (const cs_backend_request_t *s)
{
	const cs_call_t *c = s->call;
	int64_t granted_until_ms = c->granted_ms + CS_RETRY_SEND_MS;
	int64_t ms =
		c->tries && granted_until_ms < c->expires_ms ? granted_until_ms : c->expires_ms;
	return s->cold_until_ms && s->cold_until_ms < ms ? s->cold_until_ms : ms;
}

static void
init_http (cs_backend_request_t *s, const cs_backend_t *b)
{
	const cs_call_t *c = s->call;
	cs_buf_printf (&s->url, "http://%s%s", b->address, c->target);
	s->http = (cs_http_call_t){
		.method = c->method,
		.url = cs_buf_str (&s->url),
		.body = cs_buf_str (&c->body),
		.headers = s->headers,
		.connect_timeout_ms = CONNECT_MS,
		.idle_timeout_ms = (uint32_t)(c->expires_ms - s->sent_us / 1000) + 1,
		.not_after_ms = not_after_ms (s),
		.ends_by_close = true,
		.tag = cs_hash (cs_call_id (c)),
		.on_header = on_header,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.data = s,
	};
}

cs_status_t
cs_backend_request_start (cs_call_t *c, const char *backend_id, const char *service,
			  int64_t first_event_ms)
{
	cs_forward_t *f = c->forward;
	const cs_backend_t *b = cs_fleet_find (&f->fleet, backend_id);
	int64_t now = cs_now_ms ();
	if (!b)
		return cs_fail (CS_NOT_FOUND, "back end %s is not listed", backend_id);
	if (now >= c->expires_ms)
		return cs_fail (CS_CONFLICT, "the request timeout passed before it was sent");
	cs_backend_request_t *s = cs_alloc (sizeof *s);
	s->call = c;
	s->backend_id = cs_str_dup (cs_str (b->id));
	s->service = cs_str_dup (cs_str (service));
	s->incarnation = b->epoch ? b->epoch : b->born;
	s->born = b->born;
	s->sent_us = cs_now_us ();
	s->sent_ms = now;
	s->predicted_ms = first_event_ms;
	c->predicted_ms = first_event_ms;
	ev_init (&s->progress_timer, on_progress_timer);
	/* Bytes that arrived while this process was paused are read first. */
	ev_set_priority (&s->progress_timer, EV_MINPRI);
	s->progress_timer.data = s;
	init_events (c);
	cs_answer_memory_resize (&f->answer_memory, &c->held_bytes, cs_reply_excess (c, 0));
	s->cold_until_ms = cs_cold_record_send (f, s->backend_id);
	cs_backend_request_set_headers (s, now);
	init_http (s, b);
	c->backend_request = s;
	c->tried[c->tries++] = cs_str_dup (cs_str (b->id));
	cs_router_begin_attempt (&f->router, now, s->backend_id);
	cs_router_record_send (&f->router, now, s->backend_id, &c->size);
	set_progress_timer (s, first_timeout_ms (s, now));
	if (cs_http_start (&f->client, &s->http) != CS_OK)
		on_end (&s->http, CS_HTTP_NOT_SENT, 0);
	return CS_OK;
}

void
cs_backend_request_pause (cs_call_t *c, bool paused)
{
	cs_backend_request_t *s = c->backend_request;
	int64_t now = cs_now_ms ();
	if (!s || !s->is_stream)
		return;
	cs_http_pause (&s->http, paused);
	/* While the caller does not read, the missing progress is no fault of the back end. */
	set_progress_timer (s, paused ? c->expires_ms - now : gap_timeout_ms (c, now));
}

void
cs_backend_request_cancel (cs_call_t *c)
{
	if (c->backend_request)
		cs_http_cancel (&c->backend_request->http);
}

void
cs_backend_request_withdraw (cs_call_t *c)
{
	cs_backend_request_t *s = c->backend_request;
	if (!s || cs_http_is_sent (&s->http))
		return;
	s->is_withdrawn = s->is_blameless = true;
	cs_http_cancel (&s->http);
}

void
cs_backend_request_cancel_blameless (cs_call_t *c)
{
	if (c->backend_request)
		c->backend_request->timed_out = true;
	cs_backend_request_cancel (c);
}
