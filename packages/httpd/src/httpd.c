#include "cs/httpd.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "cs/kernel.h"
#include "cs/log.h"
#include "cs/str.h"
#include "listen_address.h"

enum {
	RUN_INTERVAL_US_PER_REQUEST = 1,
	MAX_RUN_INTERVAL_US = 2000,
	MAX_LAST_RUNS_MS = 200 /* callers may send the next request at once */
};

/* Runs the server until nothing is pending, and sets the timer for its next run. */
void
cs_httpd_run (cs_httpd_t *h)
{
	MHD_UNSIGNED_LONG_LONG ms;
	ev_timer_stop (h->loop, &h->timer);
	h->run_scheduled = false;
	h->last_run = ev_now (h->loop);
	MHD_run (h->server);
	if (MHD_get_timeout (h->server, &ms) == MHD_YES && (!ms || !h->run_scheduled)) {
		ev_timer_stop (h->loop, &h->timer);
		ev_timer_set (&h->timer, (double)ms / 1000., 0.);
		ev_timer_start (h->loop, &h->timer);
	}
	if (h->after_run)
		h->after_run (h->data);
}

static bool
has_pending_io (const cs_httpd_t *h)
{
	MHD_UNSIGNED_LONG_LONG ms;
	struct pollfd server = {.fd = h->readable.fd, .events = POLLIN};
	return (MHD_get_timeout (h->server, &ms) == MHD_YES && !ms) || poll (&server, 1, 0) > 0;
}

void
cs_httpd_run_last (cs_httpd_t *h)
{
	int64_t end_ms = cs_now_ms () + MAX_LAST_RUNS_MS;
	do
		cs_httpd_run (h);
	while (has_pending_io (h) && cs_now_ms () < end_ms);
}

/* With an external event loop, libmicrohttpd does not wake up when a connection is resumed. Each
 * run iterates over all suspended connections; the minimum interval between runs therefore grows
 * with the number of requests in progress, so that several resumptions share a run. */
void
cs_httpd_schedule_run (cs_httpd_t *h)
{
	if (h->run_scheduled)
		return;
	h->run_scheduled = true;
	size_t us = h->in_progress * RUN_INTERVAL_US_PER_REQUEST;
	ev_tstamp interval = (double)(us < MAX_RUN_INTERVAL_US ? us : MAX_RUN_INTERVAL_US) / 1e6;
	ev_tstamp delay = h->last_run + interval - ev_now (h->loop);
	ev_timer_stop (h->loop, &h->timer);
	ev_timer_set (&h->timer, delay > 0. ? delay : 0., 0.);
	ev_timer_start (h->loop, &h->timer);
}

static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	cs_httpd_run (w->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	cs_httpd_run (w->data);
}

static void
on_server_log (void *data, const char *format, va_list ap)
{
	const cs_httpd_t *h = data;
	char text[256];
	vsnprintf (text, sizeof text, format, ap);
	text[strcspn (text, "\n")] = 0;
	cs_log (h->log_component, CS_LOG_DEBUG, "%s", text);
}

cs_status_t
cs_httpd_start (cs_httpd_t *h, struct ev_loop *loop, const char *listen,
		MHD_AccessHandlerCallback handler, struct MHD_OptionItem *options)
{
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
	struct addrinfo *address = cs_httpd_resolve_listen_address (listen);
	if (!address)
		return cs_fail (CS_INVALID, "listen address \"%s\" is not IP:PORT or [IP]:PORT",
				listen);
	if (address->ai_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	h->loop = loop;
	h->server =
		MHD_start_daemon (flags, 0, NULL, NULL, handler, h->data,
				  MHD_OPTION_EXTERNAL_LOGGER, on_server_log, h, MHD_OPTION_ARRAY,
				  options, MHD_OPTION_SOCK_ADDR, address->ai_addr, MHD_OPTION_END);
	freeaddrinfo (address);
	if (!h->server)
		return cs_fail (CS_UNAVAILABLE, "cannot listen on %s", listen);
	int fd = MHD_get_daemon_info (h->server, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
	ev_io_init (&h->readable, on_readable, fd, EV_READ);
	h->readable.data = h;
	ev_io_start (loop, &h->readable);
	ev_init (&h->timer, on_timer);
	h->timer.data = h;
	return CS_OK;
}

void
cs_httpd_stop (cs_httpd_t *h)
{
	if (!h->server)
		return;
	ev_io_stop (h->loop, &h->readable);
	ev_timer_stop (h->loop, &h->timer);
	MHD_stop_daemon (h->server);
	h->server = NULL;
}
