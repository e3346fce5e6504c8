/* Sends the response to the caller. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

enum {
	STATUS_BAD_REQUEST = 400,
	FREE_BYTES = CS_READ_PAUSE_BYTES /* what may wait without a share of the answer memory */
};

static cs_counter_t read_on = {.name = "cs_forward_read_on_total",
			       .help = "Answers that were read on for a slow caller."};

void
cs_reply_resume (cs_call_t *c)
{
	cs_server_wake (c->connection);
}

size_t
cs_reply_excess (const cs_call_t *c, size_t n)
{
	n += c->outbox.queue.n;
	return n > FREE_BYTES ? n - FREE_BYTES : 0;
}

/* Its length, or the missing last chunk, shows that the answer is not complete. */
static void
cut_answer (cs_call_t *c)
{
	cs_log_event ("forward", "answer_cut", "id=%.*s back_end_status=%d bytes=%zu",
		      CS_STR_ARG (cs_call_id (c)), c->status, cs_httpd_outbox_size (&c->outbox));
	cs_httpd_outbox_finish (&c->outbox);
	c->complete = false;
	cs_answer_memory_resize (&c->forward->answer_memory, &c->held_bytes, 0);
	cs_reply_resume (c);
}

bool
cs_reply_hold (cs_call_t *c, size_t n)
{
	cs_answer_memory_t *m = &c->forward->answer_memory;
	int64_t now = cs_now_ms ();
	bool held = cs_answer_memory_resize (m, &c->held_bytes, n);
	for (cs_call_t *o = c->forward->calls; o && !held; o = o->next) {
		if (o->phase != CS_CALL_ANSWERING ||
		    !cs_answer_memory_may_cut (o->held_bytes, o->ended, o->expires_ms, now))
			continue;
		cut_answer (o);
		held = cs_answer_memory_resize (m, &c->held_bytes, n);
	}
	return held;
}

static void
shrink_share (cs_call_t *c)
{
	cs_answer_memory_resize (&c->forward->answer_memory, &c->held_bytes,
				 cs_reply_excess (c, c->events.incomplete_event.n));
}

static void
pause_reading (cs_call_t *c, bool paused)
{
	if (!paused)
		shrink_share (c);
	cs_backend_request_pause (c, paused);
}

static void
read_on_for (cs_call_t *c, bool is_first, int64_t now_ms)
{
	const cs_answer_memory_t *m = &c->forward->answer_memory;
	if (is_first) {
		cs_counter_add (&read_on, 1);
		cs_log_event ("forward", "answer_read_on",
			      "id=%.*s paused_ms=%lld waiting=%zu held=%zu of=%zu",
			      CS_STR_ARG (cs_call_id (c)),
			      (long long)(now_ms - c->read_pause.since_ms),
			      cs_httpd_outbox_size (&c->outbox), m->held, m->max);
	}
	pause_reading (c, false);
}

void
cs_replies_tick (cs_forward_t *f, int64_t now_ms)
{
	f->promised_bytes = 0;
	for (const cs_call_t *c = f->calls; c; c = c->next)
		if (c->backend_request)
			f->promised_bytes += cs_read_pause_promised (&c->read_pause);
	for (cs_call_t *c = f->calls; c; c = c->next) {
		bool is_first = !c->read_pause.reads_on;
		if (c->backend_request &&
		    cs_read_pause_tick (&c->read_pause, &f->answer_memory, c->held_bytes,
					&f->promised_bytes, now_ms))
			read_on_for (c, is_first, now_ms);
	}
}

ssize_t
cs_reply_read (cs_call_t *c, char *out, size_t max)
{
	if (c->abandoned)
		return CS_SERVER_CUT;
	size_t n = cs_httpd_outbox_take (&c->outbox, out, max);
	bool was_read_on = c->read_pause.reads_on;
	if (cs_read_pause_taken (&c->read_pause, cs_httpd_outbox_size (&c->outbox)))
		pause_reading (c, false);
	else if (was_read_on && !c->read_pause.reads_on)
		shrink_share (c);
	if (!n && c->ended)
		return c->complete ? CS_SERVER_END : CS_SERVER_CUT;
	return (ssize_t)n;
}

void
cs_reply_serve (cs_call_t *c)
{
	cs_server_connection_t *to = c->connection;
	if (c->abandoned) {
		cs_server_abort (to);
		return;
	}
	if (c->phase == CS_CALL_ANSWERING || !c->has_head)
		return;
	c->phase = CS_CALL_ANSWERING;
	cs_server_answer (to, c->status,
			  c->ended && c->complete ? cs_httpd_outbox_size (&c->outbox)
						  : CS_SERVER_UNKNOWN_LENGTH);
	for (size_t i = 0; i < c->answer_headers.n; i++) {
		const cs_header_t *h = &c->answer_headers.items[i];
		if (!cs_header_is_hop_by_hop (cs_str (h->name)))
			cs_server_answer_header (to, h->name, cs_str (h->value));
	}
	bool is_malformed = c->own_reason && c->status == STATUS_BAD_REQUEST;
	cs_server_answer_end_head (to, c->forward->stopping_ms || is_malformed);
}

void
cs_reply_head (cs_call_t *c, int status, cs_headers_t *headers)
{
	c->has_head = true;
	c->status = status;
	cs_headers_clear (&c->answer_headers);
	for (size_t i = 0; i < headers->n; i++)
		cs_headers_add (&c->answer_headers, cs_str (headers->items[i].name),
				cs_str (headers->items[i].value));
	cs_reply_resume (c);
}

void
cs_reply_body (cs_call_t *c, cs_str_t bytes)
{
	cs_httpd_outbox_add (&c->outbox, bytes);
	if (cs_read_pause_added (&c->read_pause, &c->forward->answer_memory, c->held_bytes,
				 &c->forward->promised_bytes, cs_httpd_outbox_size (&c->outbox),
				 cs_now_ms ()))
		pause_reading (c, true);
	cs_reply_resume (c);
}

void
cs_reply_whole_body (cs_call_t *c, cs_buf_t *bytes)
{
	cs_httpd_outbox_move (&c->outbox, bytes);
	cs_reply_resume (c);
}

void
cs_reply_end (cs_call_t *c, bool complete)
{
	c->ended = true;
	c->complete = complete;
	cs_reply_resume (c);
}

void
cs_reply_own (cs_call_t *c, int status, const char *reason, uint32_t retry_after_ms)
{
	const cs_header_names_t *names = c->forward->names;
	char seconds[24];
	cs_headers_t headers = {0};
	cs_str_t id = cs_call_id (c);
	c->own_reason = reason;
	c->retry_after_ms = retry_after_ms;
	if (id.n)
		cs_headers_add (&headers, cs_str (names->request_id), id);
	cs_headers_add (&headers, cs_str ("Content-Type"), cs_str ("text/plain"));
	if (retry_after_ms) {
		snprintf (seconds, sizeof seconds, "%u.%03u", retry_after_ms / 1000,
			  retry_after_ms % 1000);
		cs_headers_add (&headers, cs_str ("Retry-After"), cs_str (seconds));
	}
	cs_reply_head (c, status, &headers);
	cs_headers_clear (&headers);
	cs_reply_body (c, cs_str (reason));
	cs_reply_end (c, true);
}
