/* The listening socket, and what concerns all connections. */
#include "cs/server.h"

#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "cs/counters.h"
#include "cs/kernel.h"
#include "cs/log.h"
#include "listen_address.h"
#include "server_impl.h"

enum {
	MIN_SWEEP_MS = 50,      /* between two sweeps */
	ACCEPT_PAUSE_MS = 100,  /* when there is no descriptor for a connection */
	MAX_ACCEPTED = 8,       /* in one turn of the loop */
	MAX_LAST_RUNS_MS = 200, /* callers may send the next request at once */
	SWEEP_PAUSE_MS = 0
};

static const char ended_help[] = "Requests and connections that the server ended, by cause.";

static struct {
	const char *cause;
	cs_counter_t counter;
} ended[] = {
	{"head-too-large",
	 {.name = "cs_server_ended_total{cause=\"head-too-large\"}", .help = ended_help}},
	{"head-timeout",
	 {.name = "cs_server_ended_total{cause=\"head-timeout\"}", .help = ended_help}},
	{"request-line",
	 {.name = "cs_server_ended_total{cause=\"request-line\"}", .help = ended_help}},
	{"http-version",
	 {.name = "cs_server_ended_total{cause=\"http-version\"}", .help = ended_help}},
	{"header-line",
	 {.name = "cs_server_ended_total{cause=\"header-line\"}", .help = ended_help}},
	{"host", {.name = "cs_server_ended_total{cause=\"host\"}", .help = ended_help}},
	{"content-length",
	 {.name = "cs_server_ended_total{cause=\"content-length\"}", .help = ended_help}},
	{"transfer-encoding",
	 {.name = "cs_server_ended_total{cause=\"transfer-encoding\"}", .help = ended_help}},
	{"body-malformed",
	 {.name = "cs_server_ended_total{cause=\"body-malformed\"}", .help = ended_help}},
	{"body-timeout",
	 {.name = "cs_server_ended_total{cause=\"body-timeout\"}", .help = ended_help}},
	{"answer-unread",
	 {.name = "cs_server_ended_total{cause=\"answer-unread\"}", .help = ended_help}},
	{"idle", {.name = "cs_server_ended_total{cause=\"idle\"}", .help = ended_help}},
	{NULL, {.name = "cs_server_ended_total{cause=\"other\"}", .help = ended_help}},
};

static void
count_end (const char *cause)
{
	size_t i = 0;
	while (ended[i].cause && strcmp (ended[i].cause, cause) != 0)
		i++;
	cs_counter_add (&ended[i].counter, 1);
}

void
cs_server_log_end (const cs_server_connection_t *c, const char *cause, int64_t bound, int64_t value)
{
	count_end (cause);
	cs_log_event (c->server->log_component, "server_ended",
		      "cause=%s bound=%lld value=%lld connections=%zu", cause, (long long)bound,
		      (long long)value, c->server->n_connections);
}

static void
set_sweep (cs_server_t *s, int64_t due_ms)
{
	int64_t left_ms = due_ms - cs_now_ms ();
	s->sweep_ms = due_ms;
	cs_timer_start_after (s->loop, &s->sweep, left_ms > MIN_SWEEP_MS ? left_ms : MIN_SWEEP_MS);
}

void
cs_server_sweep_by (cs_server_t *s, int64_t due_ms)
{
	if (due_ms != INT64_MAX && (!ev_is_active (&s->sweep) || due_ms < s->sweep_ms))
		set_sweep (s, due_ms);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_server_t *s = w->data;
	cs_server_connection_t *c, *next;
	int64_t now = cs_now_ms (), earliest = INT64_MAX;
	(void)loop;
	(void)events;
	for (c = s->connections; c; c = next) {
		next = c->next;
		int64_t due = cs_connection_due_ms (c);
		if (due <= now)
			cs_connection_expire (c);
		else if (due < earliest)
			earliest = due;
	}
	if (s->n_connections < s->max_connections)
		ev_io_start (s->loop, &s->accept);
	cs_server_sweep_by (s, earliest);
	if (s->after_run)
		s->after_run (s->data);
}

static void
run_awake (cs_server_t *s)
{
	while (s->awake) {
		cs_server_connection_t *c = s->awake;
		DL_DELETE2 (s->awake, c, prev_awake, next_awake);
		c->is_awake = false;
		if (c->request && !c->is_answered && !c->is_aborted) {
			if (c->phase == CS_CONNECTION_BODY && !c->is_paused)
				cs_connection_receive (c, cs_str (NULL));
			if (!c->is_answered && !c->is_aborted)
				s->owner->resume (c->request);
		}
		cs_connection_run (c, false);
	}
}

static void
on_wake (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_server_t *s = w->data;
	(void)loop;
	(void)events;
	run_awake (s);
	if (s->after_run)
		s->after_run (s->data);
}

void
cs_server_wake (cs_server_connection_t *c)
{
	cs_server_t *s = c->server;
	if (c->is_awake)
		return;
	c->is_awake = true;
	DL_APPEND2 (s->awake, c, prev_awake, next_awake);
	ev_feed_event (s->loop, &s->wake, EV_CUSTOM);
}

/* False if no connection waits, or if none can be accepted now. */
static bool
accept_one (cs_server_t *s)
{
	int on = 1;
	if (s->n_connections >= s->max_connections) {
		ev_io_stop (s->loop, &s->accept);
		return false;
	}
	int fd = accept4 (s->accept.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0) {
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
			cs_log (s->log_component, CS_LOG_WARN, "cannot accept a connection: %s",
				strerror (errno));
			ev_io_stop (s->loop, &s->accept);
			cs_server_sweep_by (s, cs_now_ms () + ACCEPT_PAUSE_MS);
		}
		return errno == ECONNABORTED || errno == EINTR;
	}
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	s->activity++;
	cs_connection_new (s, fd);
	return true;
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
	cs_server_t *s = w->data;
	(void)loop;
	(void)events;
	for (int i = 0; i < MAX_ACCEPTED && accept_one (s); i++)
		;
}

static cs_status_t
open_socket (const char *listen_on, int *fd)
{
	int on = 1;
	struct addrinfo *address = cs_httpd_resolve_listen_address (listen_on);
	if (!address)
		return cs_fail (CS_INVALID, "listen address \"%s\" is not IP:PORT or [IP]:PORT",
				listen_on);
	*fd = socket (address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	bool ok = *fd >= 0 && !setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) &&
		  !bind (*fd, address->ai_addr, address->ai_addrlen) && !listen (*fd, SOMAXCONN);
	int error = errno;
	freeaddrinfo (address);
	if (ok)
		return CS_OK;
	if (*fd >= 0)
		close (*fd);
	return cs_fail (CS_UNAVAILABLE, "cannot listen on %s: %s", listen_on, strerror (error));
}

cs_status_t
cs_server_start (cs_server_t *s, struct ev_loop *loop, const char *listen_on)
{
	int fd = -1;
	cs_status_t status = open_socket (listen_on, &fd);
	if (status != CS_OK)
		return status;
	s->loop = loop;
	s->block = cs_alloc (CS_SERVER_BLOCK_BYTES);
	ev_init (&s->sweep, on_sweep);
	/* What came while this process was paused is read first. */
	ev_set_priority (&s->sweep, EV_MINPRI);
	ev_init (&s->wake, on_wake);
	ev_io_init (&s->accept, on_accept, fd, EV_READ);
	s->sweep.data = s->wake.data = s->accept.data = s;
	ev_io_start (loop, &s->accept);
	return CS_OK;
}

bool
cs_server_is_running (const cs_server_t *s)
{
	return s->block != NULL;
}

void
cs_server_stop (cs_server_t *s)
{
	if (!cs_server_is_running (s))
		return;
	free (s->block);
	s->block = NULL;
	ev_io_stop (s->loop, &s->accept);
	ev_timer_stop (s->loop, &s->sweep);
	close (s->accept.fd);
	while (s->connections)
		cs_connection_free (s->connections);
	ev_clear_pending (s->loop, &s->wake);
}

uint16_t
cs_server_port (const cs_server_t *s)
{
	struct sockaddr_in6 address = {0};
	socklen_t n = sizeof address;
	/* The port is at the same place in addresses of both families. */
	getsockname (s->accept.fd, (struct sockaddr *)&address, &n);
	return ntohs (address.sin6_port);
}

static uint32_t
limit (uint32_t next, uint32_t current)
{
	return next ? next : current;
}

void
cs_server_set_limits (cs_server_t *s, const cs_server_limits_t *limits)
{
	cs_server_limits_t *l = &s->limits;
	l->max_head_bytes = limit (limits->max_head_bytes, l->max_head_bytes);
	l->head_timeout_ms = limit (limits->head_timeout_ms, l->head_timeout_ms);
	l->idle_timeout_ms = limit (limits->idle_timeout_ms, l->idle_timeout_ms);
	if (cs_server_is_running (s))
		cs_server_sweep_by (s, cs_now_ms ());
}

void
cs_server_run_last (cs_server_t *s)
{
	int64_t end_ms = cs_now_ms () + MAX_LAST_RUNS_MS;
	size_t before;
	do {
		cs_server_connection_t *c, *next;
		before = s->activity;
		while (accept_one (s))
			;
		for (c = s->connections; c; c = next) {
			next = c->next;
			cs_connection_run (c, true);
		}
		run_awake (s);
	} while (s->activity != before && cs_now_ms () < end_ms);
}
