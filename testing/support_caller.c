#include "support_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cs_test.h"

static void
on_bytes (struct ev_loop *loop, ev_io *w, int events)
{
	caller_t *c = w->data;
	char bytes[4096];
	(void)events;
	ssize_t n = recv (w->fd, bytes, sizeof bytes, MSG_DONTWAIT);
	if (n > 0) {
		cs_buf_add (&c->answer, cs_str_n (bytes, (size_t)n));
		return;
	}
	c->closed = true;
	ev_io_stop (loop, w);
	ev_break (loop, EVBREAK_ONE);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break (loop, EVBREAK_ONE);
}

void
caller_open (caller_t *c, struct ev_loop *loop, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons (port)};
	memset (c, 0, sizeof *c);
	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	int fd = socket (AF_INET, SOCK_STREAM, 0);
	assert_int_equal (connect (fd, (struct sockaddr *)&a, sizeof a), 0);
	ev_io_init (&c->io, on_bytes, fd, EV_READ);
	c->io.data = c;
	ev_io_start (loop, &c->io);
}

void
caller_send (caller_t *c, cs_str_t bytes)
{
	assert_int_equal (send (c->io.fd, bytes.p, bytes.n, MSG_NOSIGNAL), bytes.n);
}

void
caller_wait_closed (caller_t *c, struct ev_loop *loop)
{
	ev_timer_init (&c->deadline, on_deadline, 5., 0.);
	ev_timer_start (loop, &c->deadline);
	if (!c->closed)
		ev_run (loop, 0);
	ev_timer_stop (loop, &c->deadline);
	assert_true (c->closed);
}

void
caller_run_request (caller_t *c, struct ev_loop *loop, uint16_t port, const char *request)
{
	caller_open (c, loop, port);
	caller_send (c, cs_str (request));
	caller_wait_closed (c, loop);
}

void
caller_close (caller_t *c, struct ev_loop *loop)
{
	ev_io_stop (loop, &c->io);
	close (c->io.fd);
	cs_buf_finish (&c->answer);
}
