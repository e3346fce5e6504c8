/* HTTP client calls on the kernel's loop (libcurl multi with libev). */
#ifndef CS_HTTP_H
#define CS_HTTP_H

#include "cs/kernel.h"
#include "cs/str.h"

typedef struct cs_http cs_http_t;
typedef struct cs_http_call cs_http_call_t;

/* How a call ended. An answer whose end only the closing of the connection marks
 * counts as broken, because a cut could not be told from its end, unless ends_by_close:
 * then only a reset does. */
typedef enum {
	CS_HTTP_DONE,     /* a whole answer came */
	CS_HTTP_NOT_SENT, /* no connection: no byte of the request left */
	CS_HTTP_BROKEN,   /* the connection failed later */
	CS_HTTP_SILENT,   /* no byte came for idle_ms, or total_ms is over */
	CS_HTTP_CANCELLED
} cs_http_end_t;

/* One call. The caller fills it in and keeps it alive until on_end. */
struct cs_http_call {
	const char *method;
	cs_str_t url;
	cs_str_t body;
	const char *const *headers; /* "Name: value", NULL at the end; may be NULL */
	uint32_t connect_ms;        /* 0: 2,000 */
	uint32_t idle_ms;           /* 0: 10,000; longest time without a byte */
	uint32_t total_ms;          /* 0: no bound but idle_ms */
	int64_t not_after_ms;       /* cs_now_ms clock; not sent later than this; 0: no bound */
	bool fresh;                 /* open a new connection instead of an idle one */
	bool ends_by_close;         /* an answer may end by the closing of its connection */
	/* All may be NULL but on_end. The on_header calls come first, then on_head once,
	 * then on_body; on_end is last, and the call's memory is the caller's again. */
	void (*on_head) (cs_http_call_t *call, int status, cs_str_t content_type);
	/* One call for each header line of the answer. */
	void (*on_header) (cs_http_call_t *call, cs_str_t name, cs_str_t value);
	void (*on_body) (cs_http_call_t *call, cs_str_t bytes);
	void (*on_end) (cs_http_call_t *call, cs_http_end_t end, int status);
	void *data;
	/* Set before on_end: the host answered that nothing listens there. */
	bool refused;
	/* private */
	cs_http_t *http;
	struct cs_http_transfer *transfer; /* NULL when the call does not run */
};

/* One client with its pool of connections; owned by a task. */
struct cs_http {
	struct ev_loop *loop;
	void *multi;
	ev_timer timer; /* of libcurl */
	ev_timer soon;  /* runs what could not be done inside a callback */
	struct cs_http_transfer **transfers;
	size_t running; /* length of transfers */
	size_t cap;
	bool inside; /* libcurl is calling back */
};

cs_status_t cs_http_init (cs_http_t *http, struct ev_loop *loop);
/* Cancels what runs; on_end is called for each. */
void cs_http_finish (cs_http_t *http);
/* Begins a call; no callback comes before this returns. A call is never repeated. */
cs_status_t cs_http_start (cs_http_t *http, cs_http_call_t *call);
/* Ends the call and its connection. on_end follows before this returns; inside an
 * on_head, on_header or on_body it follows once that has returned. */
void cs_http_cancel (cs_http_call_t *call);
/* Stops or resumes reading, so that a slow receiver bounds memory. */
void cs_http_pause (cs_http_call_t *call, bool paused);

#endif
