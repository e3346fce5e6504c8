#include "socket_watch.h"

#include <zmq.h>

enum {
	MAX_RECEIVES_PER_CALLBACK = 256 /* then other watchers have their turn */
};

/* True if none is left. */
static bool
receive_messages (watch_t *w)
{
	for (int i = 0; i < MAX_RECEIVES_PER_CALLBACK; i++)
		if (!w->receive (w->data))
			return true;
	return false;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	receive_messages (io->data);
}

static bool
has_message (const watch_t *w)
{
	int ready = 0;
	size_t size = sizeof ready;
	zmq_getsockopt (w->socket, ZMQ_EVENTS, &ready, &size);
	return ready & ZMQ_POLLIN;
}

/* ZMQ_FD is edge-triggered, so that messages which are already queued do not make it readable
 * again: the socket is polled before the loop blocks, and the loop does not block while there are
 * more. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
	watch_t *w = prepare->data;
	(void)events;
	if (!has_message (w) || receive_messages (w))
		ev_idle_stop (loop, &w->no_wait);
	else
		ev_idle_start (loop, &w->no_wait);
}

static void
on_idle (struct ev_loop *loop, ev_idle *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
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
	/* Before the kernel's own, which delivers the messages that receive sends to tasks. */
	ev_set_priority (&w->prepare, EV_MAXPRI);
	ev_prepare_start (w->loop, &w->prepare);
	ev_idle_init (&w->no_wait, on_idle);
}

void
watch_close (watch_t *w)
{
	if (!w->socket)
		return;
	ev_io_stop (w->loop, &w->readable);
	ev_prepare_stop (w->loop, &w->prepare);
	ev_idle_stop (w->loop, &w->no_wait);
	zmq_close (w->socket);
	w->socket = NULL;
}
