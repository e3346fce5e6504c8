/* libmicrohttpd's server on the kernel's loop. */
#ifndef CS_HTTPD_H
#define CS_HTTPD_H

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

#include "cs/status.h"
#include "cs/str.h"

typedef struct {
	struct ev_loop *loop;
	struct MHD_Daemon *server; /* NULL until it has been started */
	ev_io readable;
	ev_timer timer;
	ev_tstamp served;   /* when the server ran last */
	bool serve_soon;    /* the timer is set for resumed connections */
	size_t in_progress; /* suspended or answering; kept by the owner */
	/* Called after each turn of the server; may be NULL. */
	void (*after_turn) (void *data);
	void *data;       /* of after_turn and of the server's request handler */
	const char *part; /* of the log lines that the server writes */
} cs_httpd_t;

/* Listens on IP:PORT and answers with the handler. The options of libmicrohttpd end with
 * MHD_OPTION_END; those for the address, suspension and the log are set here. */
cs_status_t cs_httpd_start (cs_httpd_t *h, struct ev_loop *loop, const char *listen,
			    MHD_AccessHandlerCallback handler, struct MHD_OptionItem *options);
void cs_httpd_stop (cs_httpd_t *h);
/* Runs the server now. */
void cs_httpd_serve (cs_httpd_t *h);
/* Has the server run soon, for connections that were resumed. */
void cs_httpd_serve_soon (cs_httpd_t *h);
/* Leaves a connection alone until it is resumed; `suspended` tells whether it is. */
void cs_httpd_suspend (struct MHD_Connection *connection, bool *suspended);
void cs_httpd_resume (cs_httpd_t *h, struct MHD_Connection *connection, bool *suspended);
/* Answers with a copy of the bytes. */
enum MHD_Result cs_httpd_answer (struct MHD_Connection *connection, unsigned status, cs_str_t body);

/* Bytes of an answer that the caller has not taken yet. */
typedef struct {
	cs_buf_t queue;
	size_t taken; /* of the queue's start */
} cs_httpd_outbox_t;

size_t cs_httpd_outbox_size (const cs_httpd_outbox_t *o);
void cs_httpd_outbox_add (cs_httpd_outbox_t *o, cs_str_t bytes);
/* Moves up to max bytes out; their number. */
size_t cs_httpd_outbox_take (cs_httpd_outbox_t *o, char *out, size_t max);
void cs_httpd_outbox_finish (cs_httpd_outbox_t *o);

/* Watches for a caller that leaves while its request is worked on. One that closes its
 * sending side counts as gone too. Behind bytes of a next request the end cannot be seen;
 * then writing the answer tells. */
typedef struct {
	ev_io io;
	void (*left) (void *data);
	void *data;
} cs_httpd_leave_t;

/* left is called once at most. */
void cs_httpd_leave_start (cs_httpd_leave_t *l, struct ev_loop *loop,
			   struct MHD_Connection *connection);
/* May be called on zeroed memory. */
void cs_httpd_leave_stop (cs_httpd_leave_t *l, struct ev_loop *loop);

#endif
