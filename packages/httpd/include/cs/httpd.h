/* HTTP server: libmicrohttpd driven by a task's libev event loop. */
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
	ev_io readable;            /* the server's epoll descriptor */
	ev_timer timer;
	ev_tstamp last_run; /* when the server ran last */
	bool run_scheduled; /* the timer is set for resumed connections */
	size_t in_progress; /* requests suspended or being answered; maintained by the owner */
	/* Called after each run of the server; may be NULL. */
	void (*after_run) (void *data);
	void *data;                /* argument of after_run and of the request handler */
	const char *log_component; /* component name in the log lines that the server writes */
} cs_httpd_t;

/* Listens on IP:PORT and passes requests to the handler, with h->data as its first argument.
 * options ends with MHD_OPTION_END; address, suspension and logging are set here. CS_INVALID if
 * listen is malformed, CS_UNAVAILABLE if the server cannot listen there. */
cs_status_t cs_httpd_start (cs_httpd_t *h, struct ev_loop *loop, const char *listen,
			    MHD_AccessHandlerCallback handler, struct MHD_OptionItem *options);
void cs_httpd_stop (cs_httpd_t *h);
/* Processes all pending I/O of the server now. */
void cs_httpd_run (cs_httpd_t *h);
/* Runs the server until all that callers have sent so far has been processed. To be called before
 * cs_httpd_stop, which closes connections without an answer to a request that waits in them. */
void cs_httpd_run_last (cs_httpd_t *h);
/* Schedules a run of the server, for connections that were resumed. */
void cs_httpd_schedule_run (cs_httpd_t *h);
/* Suspend or resume a connection; *suspended is its state. No effect if already in that state. */
void cs_httpd_suspend (struct MHD_Connection *connection, bool *suspended);
void cs_httpd_resume (cs_httpd_t *h, struct MHD_Connection *connection, bool *suspended);
/* Queues a response whose body is a copy of the bytes; MHD_NO on failure. */
enum MHD_Result cs_httpd_queue_response (struct MHD_Connection *connection, unsigned status,
					 cs_str_t body);
typedef struct {
	const char *name; /* NULL: the end of the headers */
	const char *value;
} cs_httpd_header_t;

/* The same with further headers, which may be NULL. */
enum MHD_Result cs_httpd_queue_response_with (struct MHD_Connection *connection, unsigned status,
					      cs_str_t body, const cs_httpd_header_t *headers);

/* Bytes of a response that have not been sent to the caller yet. */
typedef struct {
	cs_buf_t queue;
	size_t consumed; /* bytes at the start of queue that have been sent */
} cs_httpd_outbox_t;

size_t cs_httpd_outbox_size (const cs_httpd_outbox_t *o);
void cs_httpd_outbox_add (cs_httpd_outbox_t *o, cs_str_t bytes);
/* Like cs_httpd_outbox_add, but takes over the memory of bytes if the outbox is empty, and leaves
 * bytes empty. */
void cs_httpd_outbox_move (cs_httpd_outbox_t *o, cs_buf_t *bytes);
/* Moves up to max bytes to out and returns their number. */
size_t cs_httpd_outbox_take (cs_httpd_outbox_t *o, char *out, size_t max);
void cs_httpd_outbox_finish (cs_httpd_outbox_t *o);

#endif
