#include "socket_watch.h"

#include <zmq.h>

enum {
	MAX_RECEIVES_PER_CALLBACK = 256
};

static void
receive_all (watch_t *w)
{
	for (int i = 0; i < MAX_RECEIVES_PER_CALLBACK && w->receive (w->data); i++)
		continue;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	receive_all (io->data);
}

/* ZMQ_FD is edge-triggered, so that messages which are already queued do not make it readable
 * again: the socket is polled before the loop blocks. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
	watch_t *w = prepare->data;
	int ready = 0;
	size_t size = sizeof ready;
	(void)loop;
	(void)events;
	zmq_getsockopt (w->socket, ZMQ_EVENTS, &ready, &size);
	if (ready & ZMQ_POLLIN)
		receive_all (w);
}

void
watch_start (watch_t *w)
{
	int fd = -1;
	size_t size = sizeof fd;
	zmq_getsockopt (w->socket, ZMQ_FD, &fd, &size);
	ev_io_init (&w->readable, on_readable, fd, EV_READ);
	w->readable.data = w;
	ev_io_start (w->loop, &w->readable);
	ev_prepare_init (&w->prepare, on_prepare);
	w->prepare.data = w;
	ev_set_priority (&w->prepare, EV_MAXPRI);
	ev_prepare_start (w->loop, &w->prepare);
}

void
watch_close (watch_t *w)
{
	if (!w->socket)
		return;
	ev_io_stop (w->loop, &w->readable);
	ev_prepare_stop (w->loop, &w->prepare);
	zmq_close (w->socket);
	w->socket = NULL;
}
