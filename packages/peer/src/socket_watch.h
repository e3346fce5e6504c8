/* Calls back from the event loop when a ZeroMQ socket has messages to receive. */
#ifndef SOCKET_WATCH_H
#define SOCKET_WATCH_H

#include <ev.h>
#include <stdbool.h>

typedef struct {
	struct ev_loop *loop;
	void *socket;
	bool (*receive) (void *data); /* receives one message; false if there was none */
	void *data;
	ev_io readable;
	ev_prepare prepare;
	ev_idle no_wait; /* active while messages are left, so that the loop does not block */
} watch_t;

/* Set loop, socket, receive and data before the call. The watch owns the socket from now on. */
void watch_start (watch_t *w);
/* Stops watching and closes the socket; does nothing if there is no socket. */
void watch_close (watch_t *w);

#endif
