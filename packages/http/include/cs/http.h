/* Asynchronous HTTP/1.1 client on a task's event loop (libcurl multi interface with libev). */
#ifndef CS_HTTP_H
#define CS_HTTP_H

#include "cs/answer_memory.h"
#include "cs/kernel.h"
#include "cs/str.h"

typedef struct cs_http cs_http_t;
typedef struct cs_http_call cs_http_call_t;
typedef struct cs_http_connection cs_http_connection_t;

/* How a call ended. A response without Content-Length or chunked encoding ends when the
 * connection closes, which looks the same as a truncated response. Such a response is
 * CS_HTTP_BROKEN, unless ends_by_close is set: then only a connection error is. */
typedef enum {
	CS_HTTP_DONE,      /* a complete response was received */
	CS_HTTP_NOT_SENT,  /* no byte of the request was sent, e.g. no connection */
	CS_HTTP_BROKEN,    /* the connection failed after sending began */
	CS_HTTP_TIMED_OUT, /* idle_timeout_ms or total_timeout_ms has passed */
	CS_HTTP_CANCELLED
} cs_http_end_t;

/* The connection that a call was sent on. */
typedef struct {
	uint64_t connection;   /* counts from 1 in this client; 0: not sent */
	uint32_t calls_before; /* on this connection */
	bool had_tag;          /* one of the last CS_HTTP_TAGS of them had the call's tag */
} cs_http_sent_on_t;

enum {
	CS_HTTP_TAGS = 16 /* tags that a connection remembers */
};

/* One call. The caller fills it in and keeps it allocated until on_end. */
struct cs_http_call {
	const char *method;
	cs_str_t url;
	cs_str_t body;
	const char *const *headers;  /* "Name: value", NULL at the end; may be NULL */
	uint32_t connect_timeout_ms; /* connect timeout; 0: 2,000 */
	uint32_t idle_timeout_ms;    /* longest time without a complete head, also of a 1xx
					response, or a byte of the body; 0: 10,000 */
	uint32_t total_timeout_ms;   /* longest time for the whole call; 0: only idle_timeout_ms
					applies */
	int64_t not_after_ms; /* the request is not sent after this cs_now_ms time; 0: no limit */
	bool needs_new_connection; /* open a new connection instead of reusing an idle one */
	bool ends_by_close;        /* the response may end by closing the connection */
	uint64_t tag; /* identifies the request among those on one connection; it is not sent on
			 one of whose last CS_HTTP_TAGS calls had the same; 0: none */
	/* All callbacks but on_end may be NULL. Order: on_header for each header line, on_head
	 * once, on_body for each piece of the body. on_end is last; the caller may then free or
	 * reuse the call. The status passed to on_end is 0 if no final response head came. */
	void (*on_head) (cs_http_call_t *call, int status, cs_str_t content_type);
	/* Not called for header lines of informational (1xx) responses, nor for trailers. */
	void (*on_header) (cs_http_call_t *call, cs_str_t name, cs_str_t value);
	void (*on_body) (cs_http_call_t *call, cs_str_t bytes);
	void (*on_end) (cs_http_call_t *call, cs_http_end_t end, int status);
	void *data;
	/* Set before on_head, or before on_end of a call that was sent: an earlier call has used
	 * the connection, so that the response may be a late one to that call. */
	bool is_reused;
	/* Set before the request is sent. */
	cs_http_sent_on_t sent_on;
	/* Set before on_end: the connection was refused (ECONNREFUSED). */
	bool is_connection_refused;
	/* Set before on_end: the head of the response says where its body ends. */
	bool is_delimited;
	/* private */
	cs_http_t *http;
	struct cs_http_transfer *transfer; /* NULL when the call is not in progress */
};

/* A client with its connection pool. Used by one task only. */
struct cs_http {
	struct ev_loop *loop;
	void *multi;             /* CURLM */
	ev_timer timer;          /* requested by libcurl */
	ev_timer deferred_timer; /* runs operations deferred from libcurl callbacks */
	struct cs_http_transfer **transfers;
	size_t running; /* length of transfers */
	size_t cap;
	cs_http_connection_t *connections; /* uthash by addresses */
	uint64_t last_connection;
	cs_answer_memory_t head_memory; /* of header lines, beyond what each call has by itself */
	bool in_libcurl; /* a libcurl function that may invoke callbacks is on the stack */
};

cs_status_t cs_http_init (cs_http_t *http, struct ev_loop *loop);
/* Cancels all calls in progress; on_end is called for each. */
void cs_http_finish (cs_http_t *http);
/* Starts a call; no callback runs before this returns. The request is never retried.
 * CS_INVALID if libcurl cannot set up the request; on_end is then not called. */
cs_status_t cs_http_start (cs_http_t *http, cs_http_call_t *call);
/* Aborts the call and closes its connection. on_end is called before this returns, or, if this
 * is called from on_head, on_header or on_body, after that callback has returned. */
void cs_http_cancel (cs_http_call_t *call);
/* True if bytes of the request may have been sent, on a call in progress. */
bool cs_http_is_sent (const cs_http_call_t *call);
/* Ends the call as CS_HTTP_TIMED_OUT if it is still in progress in ms from now. */
void cs_http_end_within (cs_http_call_t *call, uint32_t ms);
/* Stops or resumes reading the response, so that a slow consumer does not make data pile up in
 * memory. While paused, idle_ms does not run; total_ms does. */
void cs_http_pause (cs_http_call_t *call, bool paused);
/* True if part of the response was received in this turn of the event loop. */
bool cs_http_received_in_turn (const cs_http_call_t *call);

#endif
