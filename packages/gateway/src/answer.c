/* Answers from the other tasks: buffering, back-pressure and writing to the caller. */
#include "exchange.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	FREE_BYTES = 32 << 10,  /* what may wait without a share of the answer memory */
	PAUSE_BYTES = 16 << 10, /* reading from the back end pauses above this queue size */
	RESUME_BYTES = 4 << 10  /* and resumes below this one */
};

static void
send_flow_control (cs_exchange_t *x, bool paused)
{
	cs_gateway_t *g = x->gateway;
	x->paused = paused;
	cs_send (g->task, g->engine, &cs_flow_msg (x->request, paused)->msg);
}

void
cs_answer_update_waiting (cs_exchange_t *x)
{
	cs_gateway_t *g = x->gateway;
	size_t n = x->outbox.queue.n > FREE_BYTES ? x->outbox.queue.n - FREE_BYTES : 0;
	if (n == x->waiting_bytes)
		return;
	g->waiting_bytes += n - x->waiting_bytes;
	x->waiting_bytes = n;
	cs_send (g->task, g->engine, &cs_waiting_msg (g->waiting_bytes)->msg);
}

ssize_t
cs_answer_read (cs_exchange_t *x, char *out, size_t max)
{
	if (x->aborted)
		return CS_SERVER_CUT;
	size_t n = cs_httpd_outbox_take (&x->outbox, out, max);
	cs_answer_update_waiting (x);
	if (!n && x->ended)
		return x->complete ? CS_SERVER_END : CS_SERVER_CUT;
	if (n && x->has_head)
		cs_stats_answer_bytes (n);
	if (n && x->paused && cs_httpd_outbox_size (&x->outbox) < RESUME_BYTES)
		send_flow_control (x, false);
	return (ssize_t)n;
}

static void
begin_head (cs_exchange_t *x, int status, const char *content_type)
{
	char id[20];
	bool is_complete = x->ended && x->complete;
	snprintf (id, sizeof id, "%016" PRIx64, x->id);
	x->phase = CS_PHASE_ANSWERING;
	cs_server_answer (x->connection, status,
			  is_complete ? cs_httpd_outbox_size (&x->outbox)
				      : CS_SERVER_UNKNOWN_LENGTH);
	cs_server_answer_header (x->connection, "X-Request-Id", cs_str (id));
	if (content_type && *content_type)
		cs_server_answer_header (x->connection, "Content-Type", cs_str (content_type));
}

void
cs_answer_queue (cs_exchange_t *x)
{
	if (x->aborted) {
		cs_server_abort (x->connection);
		return;
	}
	if (x->problem.status) {
		cs_answer_problem (x);
		return;
	}
	if (!x->has_head)
		return;
	x->first_byte_us = cs_now_us ();
	cs_stats_first_byte (x);
	begin_head (x, x->status, x->content_type);
	cs_server_answer_end_head (x->connection, x->gateway->draining);
}

void
cs_answer_text (cs_exchange_t *x, int status, cs_buf_t *text)
{
	cs_httpd_outbox_move (&x->outbox, text);
	x->ended = x->complete = true;
	begin_head (x, status, "text/plain; charset=utf-8");
	cs_server_answer_end_head (x->connection, x->gateway->draining);
}

void
cs_answer_problem (cs_exchange_t *x)
{
	char seconds[12];
	cs_buf_t text;
	cs_buf_init (&text);
	if (!x->request)
		x->problem.outcome = cs_exchange_refusal_outcome (x);
	cs_problem_write (&x->problem, x->id, &text);
	cs_buf_addz (&text, "\n");
	cs_httpd_outbox_move (&x->outbox, &text);
	x->ended = x->complete = true;
	begin_head (x, x->problem.status, "application/problem+json");
	if (x->problem.retry_after_s > 0) {
		snprintf (seconds, sizeof seconds, "%d", x->problem.retry_after_s);
		cs_server_answer_header (x->connection, "Retry-After", cs_str (seconds));
	}
	if (x->problem.status == 401)
		cs_server_answer_header (x->connection, "WWW-Authenticate", cs_str ("Bearer"));
	if (x->problem.status == 405 && x->route.method)
		cs_server_answer_header (x->connection, "Allow", cs_str (x->route.method));
	cs_server_answer_end_head (x->connection, x->gateway->draining);
}

static void
receive_head (cs_exchange_t *x, const cs_answer_msg_t *m)
{
	if (x->has_head)
		return;
	x->has_head = true;
	x->status = m->status;
	x->content_type = cs_str_dup (cs_str (m->content_type));
	memset (x->last_bytes, '\n', sizeof x->last_bytes);
	cs_stats_open_streams (1);
}

static void
record_last_bytes (cs_exchange_t *x, cs_str_t bytes)
{
	size_t kept = bytes.n < sizeof x->last_bytes ? sizeof x->last_bytes - bytes.n : 0;
	size_t n = sizeof x->last_bytes - kept;
	memmove (x->last_bytes, x->last_bytes + n, kept);
	memcpy (x->last_bytes + kept, bytes.p + bytes.n - n, n);
}

/* Whether the body ends with an empty line, or has not begun. */
static bool
is_between_events (const cs_exchange_t *x)
{
	const char *last = x->last_bytes;
	return !memcmp (last + 1, "\n\n", 2) || !memcmp (last + 1, "\r\r", 2) ||
	       !memcmp (last, "\n\r\n", 3);
}

static void
receive_body (cs_exchange_t *x, cs_answer_msg_t *m)
{
	if (m->bytes.n)
		record_last_bytes (x, cs_buf_str (&m->bytes));
	cs_httpd_outbox_move (&x->outbox, &m->bytes);
	cs_answer_update_waiting (x);
	/* Sent for each body above the limit: a new attempt, which is not paused yet, may
	 * have started since the last one. */
	if (cs_httpd_outbox_size (&x->outbox) > PAUSE_BYTES)
		send_flow_control (x, true);
}

/* Before the head the refusal becomes the answer. After it the answer ends incomplete; a
 * text/event-stream answer first gets an "error" event with the problem document, unless it was cut
 * within an event, which the lines of another one would complete. */
static void
receive_refusal (cs_exchange_t *x, const cs_refuse_msg_t *m)
{
	cs_problem_t p;
	cs_problem_init (&p);
	cs_problem_set (&p, m->status, m->type, "%s", m->detail);
	p.outcome = m->outcome;
	p.retry_after_s = m->retry_after_s;
	x->ended = true;
	if (!x->has_head) {
		cs_problem_finish (&x->problem);
		x->problem = p;
		return;
	}
	if (cs_str_starts_nocase (cs_str (x->content_type), "text/event-stream") &&
	    is_between_events (x)) {
		cs_buf_addz (&x->outbox.queue, "event: error\ndata: ");
		cs_problem_write (&p, x->id, &x->outbox.queue);
		cs_buf_addz (&x->outbox.queue, "\n\n");
	}
	cs_problem_finish (&p);
}

void
cs_answer_receive (cs_exchange_t *x, cs_msg_t *m)
{
	if (x->ended || x->aborted)
		return;
	switch (m->kind) {
	case CS_MSG_HEAD:
		receive_head (x, (cs_answer_msg_t *)m);
		break;
	case CS_MSG_BODY:
		receive_body (x, (cs_answer_msg_t *)m);
		break;
	case CS_MSG_END:
		x->ended = true;
		x->complete = ((cs_answer_msg_t *)m)->complete;
		break;
	default:
		receive_refusal (x, (cs_refuse_msg_t *)m);
		break;
	}
	cs_server_wake (x->connection);
}

void
cs_answer_abort (cs_exchange_t *x)
{
	cs_gateway_t *g = x->gateway;
	if (x->aborted)
		return;
	if (x->request && !x->ended)
		cs_send (g->task, g->control,
			 &cs_request_msg (CS_MSG_CALLER_DISCONNECTED, x->request)->msg);
	x->aborted = true;
	cs_server_wake (x->connection);
}
