/* The phases of a connection, from its socket's events. */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "cs/kernel.h"
#include "server_impl.h"

enum {
	STATUS_TIMEOUT = 408,
	STALL_MS = 60000,      /* a caller that sends nothing of its body, or reads nothing of its
				  answer */
	CLOSING_MS = 1000,     /* without a byte from a caller that still sends */
	MAX_CLOSING_MS = 10000 /* for callers to read an answer that came before they had sent all
				*/
};

static void
on_socket (struct ev_loop *loop, ev_io *w, int events)
{
	cs_server_connection_t *c = w->data;
	cs_server_t *s = c->server;
	(void)loop;
	cs_connection_run (c, events & EV_READ);
	if (s->after_run)
		s->after_run (s->data);
}

void
cs_connection_new (cs_server_t *s, int fd)
{
	cs_server_connection_t *c = cs_alloc (sizeof *c);
	c->server = s;
	ev_io_init (&c->input, on_socket, fd, EV_READ);
	ev_io_init (&c->output, on_socket, fd, EV_WRITE);
	c->input.data = c->output.data = c;
	ev_io_start (s->loop, &c->input);
	DL_APPEND (s->connections, c);
	s->n_connections++;
	cs_connection_set_phase (c, CS_CONNECTION_IDLE);
}

static void
finish_request (cs_server_connection_t *c, bool delivered)
{
	void *request = c->request;
	c->request = NULL;
	if (request)
		c->server->owner->finish (request, delivered);
}

void
cs_connection_free (cs_server_connection_t *c)
{
	cs_server_t *s = c->server;
	finish_request (c, false);
	if (c->is_awake)
		DL_DELETE2 (s->awake, c, prev_awake, next_awake);
	DL_DELETE (s->connections, c);
	s->n_connections--;
	ev_io_stop (s->loop, &c->input);
	ev_io_stop (s->loop, &c->output);
	close (c->input.fd);
	cs_buf_finish (&c->in);
	cs_buf_finish (&c->out);
	free (c);
	if (cs_server_is_running (s) && s->n_connections < s->max_connections)
		ev_io_start (s->loop, &s->accept);
}

int64_t
cs_connection_due_ms (const cs_server_connection_t *c)
{
	const cs_server_limits_t *limits = &c->server->limits;
	switch (c->phase) {
	case CS_CONNECTION_IDLE:
		return c->since_ms + limits->idle_timeout_ms;
	case CS_CONNECTION_HEAD:
		return c->since_ms + limits->head_timeout_ms;
	case CS_CONNECTION_BODY:
		return c->is_paused ? INT64_MAX : c->since_ms + STALL_MS;
	case CS_CONNECTION_BUSY:
		return c->out.n ? c->since_ms + STALL_MS : INT64_MAX;
	default:
		return c->since_ms + CLOSING_MS < c->closing_until_ms ? c->since_ms + CLOSING_MS
								      : c->closing_until_ms;
	}
}

void
cs_connection_set_phase (cs_server_connection_t *c, cs_connection_phase_t phase)
{
	c->phase = phase;
	c->since_ms = cs_now_ms ();
	cs_server_sweep_by (c->server, cs_connection_due_ms (c));
}

/* Bytes that wait behind the answer would make the system reset the connection, and the caller
 * lose the answer. */
static void
begin_closing (cs_server_connection_t *c)
{
	if (c->caller_closes && c->is_received && !c->in.n) {
		cs_connection_free (c);
		return;
	}
	shutdown (c->input.fd, SHUT_WR);
	c->is_paused = false;
	cs_buf_finish (&c->in);
	c->closing_until_ms = cs_now_ms () + MAX_CLOSING_MS;
	cs_connection_set_phase (c, CS_CONNECTION_CLOSING);
	ev_io_start (c->server->loop, &c->input);
}

/* The next request, of which there may be bytes already. */
static void
begin_next (cs_server_connection_t *c)
{
	c->is_answered = c->is_read = c->is_cut = c->is_received = c->is_paused = false;
	if (!c->in.n)
		cs_buf_finish (&c->in);
	cs_buf_finish (&c->out);
	cs_connection_set_phase (c, CS_CONNECTION_IDLE);
	ev_io_start (c->server->loop, &c->input);
}

/* While a request is processed, the bytes of the next one are left in the socket, and only the end
 * of the stream is looked for. Behind bytes of a next request it is not visible. */
static bool
has_left (cs_server_connection_t *c)
{
	char byte;
	ssize_t n = recv (c->input.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		ev_io_stop (c->server->loop, &c->input);
	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static bool
is_reading (const cs_server_connection_t *c)
{
	return c->phase != CS_CONNECTION_BUSY && !c->is_paused;
}

/* Reads what the caller has sent. False if it has left. */
static bool
receive (cs_server_connection_t *c)
{
	cs_server_t *s = c->server;
	if (!is_reading (c))
		return !has_left (c);
	ssize_t n = recv (c->input.fd, s->block, CS_SERVER_BLOCK_BYTES, MSG_DONTWAIT);
	if (n <= 0)
		return n < 0 && (errno == EAGAIN || errno == EINTR);
	s->activity += (size_t)n;
	if (c->phase == CS_CONNECTION_CLOSING)
		c->since_ms = cs_now_ms ();
	else
		cs_connection_receive (c, cs_str_n (s->block, (size_t)n));
	return true;
}

/* Sends what there is of the answer. False if the connection is freed. */
static bool
send_answer (cs_server_connection_t *c)
{
	switch (cs_connection_send (c)) {
	case CS_OUTPUT_WAITS:
		return true;
	case CS_OUTPUT_BROKEN:
		cs_connection_free (c);
		return false;
	default:
		break;
	}
	finish_request (c, true);
	if (c->closes) {
		begin_closing (c);
		return false;
	}
	begin_next (c);
	return true;
}

void
cs_connection_run (cs_server_connection_t *c, bool may_receive)
{
	if (may_receive && !receive (c)) {
		if (c->request)
			c->server->owner->leave (c->request);
		cs_connection_free (c);
		return;
	}
	while (!c->is_aborted && c->is_answered && c->phase == CS_CONNECTION_BUSY) {
		if (!send_answer (c))
			return;
		if (c->phase == CS_CONNECTION_IDLE && c->in.n)
			cs_connection_receive (c, cs_str (NULL));
		else
			break;
	}
	if (c->is_aborted)
		cs_connection_free (c);
}

void
cs_connection_expire (cs_server_connection_t *c)
{
	cs_server_t *s = c->server;
	int64_t ms = cs_now_ms () - c->since_ms;
	switch (c->phase) {
	case CS_CONNECTION_IDLE:
		cs_server_log_end (c, "idle", s->limits.idle_timeout_ms, ms);
		break;
	case CS_CONNECTION_HEAD:
		cs_connection_refuse (c, STATUS_TIMEOUT, "head-timeout", s->limits.head_timeout_ms,
				      ms);
		cs_connection_run (c, false);
		return;
	case CS_CONNECTION_BODY:
		cs_server_log_end (c, "body-timeout", STALL_MS, ms);
		cs_connection_set_phase (c, CS_CONNECTION_BUSY);
		s->owner->refuse_body (c->request, STATUS_TIMEOUT, "body-timeout");
		return;
	case CS_CONNECTION_BUSY:
		cs_server_log_end (c, "answer-unread", STALL_MS, ms);
		break;
	default:
		break;
	}
	cs_connection_free (c);
}

void
cs_server_pause (cs_server_connection_t *c, bool paused)
{
	if (c->is_paused == paused)
		return;
	c->is_paused = paused;
	c->since_ms = cs_now_ms ();
	if (paused)
		return;
	ev_io_start (c->server->loop, &c->input);
	cs_server_wake (c);
}

void
cs_server_abort (cs_server_connection_t *c)
{
	c->is_aborted = true;
	cs_server_wake (c);
}
