/* standin-relay: a TCP proxy that simulates a network partition. SIGUSR1 starts the partition:
 * connections from the address CUT_FROM_IP (all connections if it is not given), including new
 * ones, stay open but carry no data. SIGUSR2 ends it and closes the affected connections. */
#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

enum {
	BLOCK_BYTES = 64 << 10,
	BACKLOG = 128
};

typedef struct side {
	struct pair *pair;
	struct side *other;
	ev_io readable;
	ev_io writable;          /* active while there are bytes to send to this side */
	size_t n, sent;          /* in bytes: length and sent part */
	char bytes[BLOCK_BYTES]; /* to be sent to this side */
} side_t;

typedef struct pair {
	side_t client, server;
	bool is_partitionable;
	struct pair *prev, *next;
} pair_t;

static struct ev_loop *loop;
static pair_t *pairs;
static bool is_partitioned;
static struct sockaddr_in target;
static in_addr_t partition_from = INADDR_ANY;

static void
pair_close (pair_t *p)
{
	side_t *sides[] = {&p->client, &p->server};
	for (int i = 0; i < 2; i++) {
		ev_io_stop (loop, &sides[i]->readable);
		ev_io_stop (loop, &sides[i]->writable);
		close (sides[i]->readable.fd);
	}
	DL_DELETE (pairs, p);
	free (p);
}

static void
on_writable (struct ev_loop *l, ev_io *w, int events)
{
	side_t *s = w->data;
	(void)events;
	ssize_t n = send (w->fd, s->bytes + s->sent, s->n - s->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0) {
		pair_close (s->pair);
		return;
	}
	s->sent += (size_t)n;
	if (s->sent < s->n)
		return;
	ev_io_stop (l, w);
	ev_io_start (l, &s->other->readable);
}

static void
on_readable (struct ev_loop *l, ev_io *w, int events)
{
	side_t *s = w->data;
	(void)events;
	ssize_t n = recv (w->fd, s->other->bytes, BLOCK_BYTES, MSG_DONTWAIT);
	if (n <= 0) {
		pair_close (s->pair);
		return;
	}
	s->other->n = (size_t)n;
	s->other->sent = 0;
	ev_io_stop (l, w);
	ev_io_start (l, &s->other->writable);
}

static void
side_init (side_t *s, pair_t *p, side_t *other, int fd)
{
	s->pair = p;
	s->other = other;
	ev_io_init (&s->readable, on_readable, fd, EV_READ);
	ev_io_init (&s->writable, on_writable, fd, EV_WRITE);
	s->readable.data = s->writable.data = s;
}

static void
on_connection (struct ev_loop *l, ev_io *w, int events)
{
	struct sockaddr_in from = {0};
	socklen_t size = sizeof from;
	(void)events;
	int fd = accept (w->fd, (struct sockaddr *)&from, &size);
	int out = socket (AF_INET, SOCK_STREAM, 0);
	if (fd < 0 || connect (out, (struct sockaddr *)&target, sizeof target)) {
		close (fd);
		close (out);
		return;
	}
	pair_t *p = calloc (1, sizeof *p);
	if (!p)
		abort ();
	side_init (&p->client, p, &p->server, fd);
	side_init (&p->server, p, &p->client, out);
	p->is_partitionable =
		partition_from == INADDR_ANY || from.sin_addr.s_addr == partition_from;
	DL_APPEND (pairs, p);
	if (is_partitioned && p->is_partitionable)
		return;
	ev_io_start (l, &p->client.readable);
	ev_io_start (l, &p->server.readable);
}

static void
on_partition_signal (struct ev_loop *l, ev_signal *w, int events)
{
	(void)events;
	is_partitioned = w->signum == SIGUSR1;
	pair_t *p, *next;
	DL_FOREACH_SAFE (pairs, p, next)
	{
		if (!p->is_partitionable)
			continue;
		if (!is_partitioned) {
			pair_close (p);
			continue;
		}
		ev_io_stop (l, &p->client.readable);
		ev_io_stop (l, &p->client.writable);
		ev_io_stop (l, &p->server.readable);
		ev_io_stop (l, &p->server.writable);
	}
}

static bool
parse_address (const char *text, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	unsigned port;
	*out = (struct sockaddr_in){.sin_family = AF_INET};
	if (sscanf (text, "%15[0-9.]:%u", ip, &port) != 2 || port > UINT16_MAX)
		return false;
	out->sin_port = htons ((uint16_t)port);
	return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

static int
listen_at (const struct sockaddr_in *address)
{
	int one = 1;
	int fd = socket (AF_INET, SOCK_STREAM, 0);
	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (bind (fd, (const struct sockaddr *)address, sizeof *address) || listen (fd, BACKLOG)) {
		perror ("standin-relay");
		exit (1);
	}
	return fd;
}

int
main (int argc, char **argv)
{
	struct sockaddr_in listen_address;
	bool ok = argc >= 3 && parse_address (argv[1], &listen_address) &&
		  parse_address (argv[2], &target);
	if (!ok || (argc > 3 && inet_pton (AF_INET, argv[3], &partition_from) != 1)) {
		fputs ("standin-relay LISTEN_IP:PORT TO_IP:PORT [CUT_FROM_IP]\n", stderr);
		return 2;
	}
	ev_io accepting;
	ev_signal partition_start, partition_end;
	loop = ev_default_loop (0);
	ev_io_init (&accepting, on_connection, listen_at (&listen_address), EV_READ);
	ev_signal_init (&partition_start, on_partition_signal, SIGUSR1);
	ev_signal_init (&partition_end, on_partition_signal, SIGUSR2);
	ev_io_start (loop, &accepting);
	ev_signal_start (loop, &partition_start);
	ev_signal_start (loop, &partition_end);
	ev_run (loop, 0);
	return 0;
}
