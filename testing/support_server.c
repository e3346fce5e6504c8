#include "support_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	LISTEN_BACKLOG = 512,
	ENDLESS_BLOCK_BYTES = 64 << 10
};

struct canned_connection {
	ev_io io;
	ev_io writable; /* active while endless bytes are sent */
	stub_server_t *server;
	int number; /* from 1 on */
	cs_buf_t in;
	size_t endless_sent; /* of the server's block */
	stub_connection_t *next;
};

static void
close_connection (stub_server_t *s, stub_connection_t *c)
{
	stub_connection_t **at = &s->first;
	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	s->n_open--;
	ev_io_stop (s->loop, &c->io);
	ev_io_stop (s->loop, &c->writable);
	close (c->io.fd);
	cs_buf_finish (&c->in);
	free (c);
}

/* Returns the length in bytes, headers and body, of the request at the start of the buffer, or 0
 * if the request is incomplete. */
static size_t
complete_request_length (const cs_buf_t *in)
{
	const char *end = in->n ? strstr (in->p, "\r\n\r\n") : NULL;
	if (!end)
		return 0;
	const char *length = strcasestr (in->p, "content-length: ");
	size_t body = length && length < end ? strtoul (length + 16, NULL, 10) : 0;
	size_t n = (size_t)(end - in->p) + 4 + body;
	return in->n >= n ? n : 0;
}

static void
send_all (int fd, const char *z)
{
	if (send (fd, z, strlen (z), MSG_NOSIGNAL) < 0)
		perror ("support_server: send");
}

static void
on_writable (struct ev_loop *loop, ev_io *w, int events)
{
	stub_connection_t *c = w->data;
	stub_server_t *s = c->server;
	cs_str_t block = s->endless_block.n ? cs_buf_str (&s->endless_block) : cs_str (s->endless);
	ssize_t n = send (w->fd, block.p + c->endless_sent, block.n - c->endless_sent,
			  MSG_NOSIGNAL | MSG_DONTWAIT);
	(void)loop;
	(void)events;
	if (n < 0 && errno != EAGAIN) {
		close_connection (s, c);
		return;
	}
	if (n < 0)
		return;
	s->endless_bytes += (size_t)n;
	c->endless_sent = (c->endless_sent + (size_t)n) % block.n;
}

static void
start_endless (stub_connection_t *c)
{
	stub_server_t *s = c->server;
	if (s->endless_unit != s->endless)
		cs_buf_clear (&s->endless_block);
	s->endless_unit = s->endless;
	while (s->endless_block.n < ENDLESS_BLOCK_BYTES &&
	       strlen (s->endless) < ENDLESS_BLOCK_BYTES)
		cs_buf_addz (&s->endless_block, s->endless);
	c->endless_sent = 0;
	ev_io_start (s->loop, &c->writable);
}

static void
on_bytes (struct ev_loop *loop, ev_io *w, int events)
{
	stub_connection_t *c = (stub_connection_t *)w;
	stub_server_t *s = c->server;
	char bytes[4096];
	ssize_t n = recv (w->fd, bytes, sizeof bytes, 0);
	(void)loop;
	(void)events;
	if (n <= 0) {
		close_connection (s, c);
		return;
	}
	cs_buf_add (&c->in, cs_str_n (bytes, (size_t)n));
	size_t length = complete_request_length (&c->in);
	if (!length)
		return;
	s->requests++;
	s->asked = c->number;
	cs_buf_clear (&s->last_request);
	cs_buf_add (&s->last_request, cs_str_n (c->in.p, length));
	cs_buf_consume (&c->in, length);
	if (s->on_request)
		s->on_request (s);
	if (s->answer)
		send_all (w->fd, s->answer);
	if (s->endless)
		start_endless (c);
	if (s->close)
		close_connection (s, c);
}

static void
add_connection (stub_server_t *s, int fd)
{
	stub_connection_t *c = cs_alloc (sizeof *c);
	c->server = s;
	c->next = s->first;
	s->first = c;
	c->number = ++s->connections;
	s->n_open++;
	ev_io_init (&c->writable, on_writable, fd, EV_WRITE);
	c->writable.data = c;
	ev_io_init (&c->io, on_bytes, fd, EV_READ);
	ev_io_start (s->loop, &c->io);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
	int fd;
	(void)loop;
	(void)events;
	while ((fd = accept (w->fd, NULL, NULL)) >= 0)
		add_connection (w->data, fd);
}

void
stub_server_init (stub_server_t *s, struct ev_loop *loop)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t n = sizeof a;
	memset (s, 0, sizeof *s);
	s->loop = loop;
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	if (bind (fd, (struct sockaddr *)&a, n) || listen (fd, LISTEN_BACKLOG) ||
	    getsockname (fd, (struct sockaddr *)&a, &n)) {
		perror ("support_server: listen");
		exit (1);
	}
	snprintf (s->url, sizeof s->url, "http://127.0.0.1:%d", ntohs (a.sin_port));
	ev_io_init (&s->accept, on_accept, fd, EV_READ);
	s->accept.data = s;
	ev_io_start (loop, &s->accept);
}

void
stub_server_finish (stub_server_t *s)
{
	stub_server_disconnect_all (s);
	ev_io_stop (s->loop, &s->accept);
	close (s->accept.fd);
	cs_buf_finish (&s->last_request);
	cs_buf_finish (&s->endless_block);
}

void
stub_server_send (stub_server_t *s, const char *bytes)
{
	for (stub_connection_t *c = s->first; c; c = c->next)
		send_all (c->io.fd, bytes);
}

void
stub_server_send_on (stub_server_t *s, int number, const char *bytes)
{
	for (stub_connection_t *c = s->first; c; c = c->next)
		if (c->number == number)
			send_all (c->io.fd, bytes);
}

size_t
stub_server_send_nonblocking (stub_server_t *s, cs_str_t bytes)
{
	ssize_t n = s->first ? send (s->first->io.fd, bytes.p, bytes.n, MSG_NOSIGNAL | MSG_DONTWAIT)
			     : -1;
	return n < 0 ? 0 : (size_t)n;
}

void
stub_server_disconnect_all (stub_server_t *s)
{
	while (s->first)
		close_connection (s, s->first);
}
