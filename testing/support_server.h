/* Stub HTTP server on the test's event loop that answers each request with fixed bytes. It listens
 * on a free port of 127.0.0.1. */
#ifndef SUPPORT_SERVER_H
#define SUPPORT_SERVER_H

#include "cs/kernel.h"
#include "cs/str.h"

typedef struct canned_connection stub_connection_t;

typedef struct canned_server stub_server_t;

struct canned_server {
	struct ev_loop *loop;
	ev_io accept;
	char url[64];
	const char *answer;     /* sent for each complete request; NULL: send nothing; not owned */
	bool close;             /* close the connection after the answer */
	const char *endless;    /* repeated after the answer until the peer closes; NULL: none; not
				   owned */
	size_t endless_bytes;   /* bytes of it sent so far, on all connections */
	cs_buf_t endless_block; /* repetitions of endless_unit; empty if that is long */
	const char *endless_unit;
	int connections;       /* connections accepted so far */
	int n_open;            /* connections open now */
	int requests;          /* complete requests received */
	int asked;             /* number of the connection that it came on, from 1 on */
	cs_buf_t last_request; /* bytes of the last complete request */
	stub_connection_t *first;
	/* Called for each complete request before the answer is sent; may be NULL. */
	void (*on_request) (stub_server_t *s);
	void *data; /* for use by asked */
};

/* Starts listening and sets url. Exits the program if the port cannot be opened. */
void stub_server_init (stub_server_t *s, struct ev_loop *loop);
void stub_server_finish (stub_server_t *s);
/* Sends the bytes on every open connection. */
void stub_server_send (stub_server_t *s, const char *bytes);
/* Sends the bytes on the connection with this number, if it is open. */
void stub_server_send_on (stub_server_t *s, int number, const char *bytes);
/* Sends on the most recently accepted open connection as many of the bytes as the socket accepts
 * without blocking. Returns the number of bytes sent; 0 on error or without a connection. */
size_t stub_server_send_nonblocking (stub_server_t *s, cs_str_t bytes);
/* Closes every open connection. */
void stub_server_disconnect_all (stub_server_t *s);

#endif
