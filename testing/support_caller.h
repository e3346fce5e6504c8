/* A TCP client on the test's event loop that sends raw bytes to the gateway and collects the
 * answer. */
#ifndef SUPPORT_CALLER_H
#define SUPPORT_CALLER_H

#include "cs/kernel.h"
#include "cs/str.h"

typedef struct {
	ev_io io;
	ev_timer deadline; /* of caller_wait_closed */
	cs_buf_t answer;   /* all bytes received */
	bool closed;       /* the gateway has closed the connection */
	bool reading;      /* the caller takes bytes */
} caller_t;

/* Connects to the port on 127.0.0.1 and starts reading. Fails the test if that is refused. */
void caller_open (caller_t *c, struct ev_loop *loop, uint16_t port);
void caller_send (caller_t *c, cs_str_t bytes);
/* Runs the loop until the gateway closes the connection. Fails the test if the connection is still
 * open after 5 s. */
void caller_wait_closed (caller_t *c, struct ev_loop *loop);
/* caller_open, caller_send and caller_wait_closed in sequence. */
void caller_run_request (caller_t *c, struct ev_loop *loop, uint16_t port, const char *request);
/* Closes the connection and frees the answer. */
void caller_close (caller_t *c, struct ev_loop *loop);

#endif
