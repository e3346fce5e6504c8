#include "cut_proxy.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../platform/soak/wire.h"

enum {
	POLL_MS = 10,
	CONNECT_MS = 1000,
	BLOCK_BYTES = 16 << 10
};

typedef struct {
	cut_proxy_t *proxy;
	int fd;
} client_t;

/* Moves what one side has sent to the other. False at the end of the connection. */
static bool
move (int from, int to)
{
	char block[BLOCK_BYTES];
	ssize_t n = recv (from, block, sizeof block, MSG_DONTWAIT);
	return n > 0 && wire_send (to, cs_str_n (block, (size_t)n));
}

static bool
pass (int a, int b)
{
	struct pollfd sides[] = {{.fd = a, .events = POLLIN}, {.fd = b, .events = POLLIN}};
	if (poll (sides, 2, POLL_MS) <= 0)
		return true;
	if (sides[0].revents && !move (a, b))
		return false;
	return !sides[1].revents || move (b, a);
}

static void *
serve_connection (void *data)
{
	client_t *c = data;
	int fd = -1;
	bool is_open = true;
	while (c->proxy->is_cut)
		wire_sleep_ms (POLL_MS);
	fd = wire_connect ("127.0.0.1", c->proxy->target, CONNECT_MS);
	while (is_open && fd >= 0) {
		if (c->proxy->is_cut)
			wire_sleep_ms (POLL_MS);
		else
			is_open = pass (c->fd, fd);
	}
	if (fd >= 0)
		close (fd);
	close (c->fd);
	free (c);
	return NULL;
}

static void *
accept_connections (void *data)
{
	cut_proxy_t *p = data;
	for (;;) {
		pthread_t thread;
		int fd = accept4 (p->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			return NULL;
		client_t *c = calloc (1, sizeof *c);
		if (!c)
			abort ();
		*c = (client_t){p, fd};
		pthread_create (&thread, NULL, serve_connection, c);
		pthread_detach (thread);
	}
}

bool
cut_proxy_start (cut_proxy_t *p, uint16_t target)
{
	pthread_t thread;
	*p = (cut_proxy_t){.target = target};
	p->listener = wire_listen (&p->port);
	if (p->listener < 0 || pthread_create (&thread, NULL, accept_connections, p))
		return false;
	pthread_detach (thread);
	return true;
}
