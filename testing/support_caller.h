/* A caller that writes raw bytes to the gateway, on the test's own loop. */
#ifndef SUPPORT_CALLER_H
#define SUPPORT_CALLER_H

#include "cs/kernel.h"
#include "cs/str.h"

typedef struct {
	ev_io io;
	ev_timer bound;
	cs_buf_t answer;
	bool closed;  /* the gateway has closed the connection */
	bool reading; /* the caller takes bytes */
} caller_t;

void caller_open (caller_t *c, struct ev_loop *loop, uint16_t port);
void caller_send (caller_t *c, cs_str_t bytes);
/* Runs the loop until the gateway closes the connection; it must within 5 s. */
void caller_run (caller_t *c, struct ev_loop *loop);
/* Opens a connection, sends the request and runs the loop until it is closed. */
void caller_ask (caller_t *c, struct ev_loop *loop, uint16_t port, const char *request);
void caller_close (caller_t *c, struct ev_loop *loop);

#endif
