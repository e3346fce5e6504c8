/* Exchange: one request of a caller or operator and its answer. */
#ifndef CS_GATEWAY_EXCHANGE_H
#define CS_GATEWAY_EXCHANGE_H

#include "cs/httpd.h"
#include "cs/messages.h"
#include "cs/server.h"
#include "cs/settings.h"
#include "path.h"
#include "problem.h"

typedef struct cs_exchange cs_exchange_t;

/* State of the task "gateway". */
typedef struct {
	cs_task_t *task;
	cs_task_t *control;
	cs_task_t *engine;
	const cs_settings_t *settings;
	cs_server_t http; /* in_progress counts admitted exchanges not yet freed */
	cs_exchange_t *exchanges;
	size_t waiting_bytes; /* of all exchanges, as last told to the engine */
	uint64_t next_id;
	bool ready;
	bool draining;
	bool drained_sent; /* DRAINED has been sent to control */
} cs_gateway_t;

typedef enum {
	CS_PHASE_READING,  /* the request is being received */
	CS_PHASE_WAITING,  /* admitted; no answer queued yet */
	CS_PHASE_ANSWERING /* a response has been queued on the server */
} cs_phase_t;

struct cs_exchange {
	cs_gateway_t *gateway;
	cs_server_connection_t *connection;
	uint64_t id;
	cs_phase_t phase;
	bool aborted; /* the caller has disconnected, or the task stops */

	cs_buf_t target;       /* normalized */
	cs_buf_t header_lines; /* as received */
	cs_buf_t body;
	bool too_large; /* Content-Length exceeds max_body_bytes */
	char *method;
	cs_route_t route;
	const char *principal; /* name of the caller's team or of the operator */
	cs_trace_t span;       /* of this request */
	cs_trace_t parent;     /* from the traceparent header */
	bool has_parent;       /* that header was valid */
	int64_t received_us;   /* cs_now_us */

	cs_request_t *request; /* NULL until admitted; a reference is held */
	cs_problem_t problem;  /* if its status is set, the problem is the answer */

	bool has_head; /* status and content type have been received */
	int status;
	char *content_type;
	cs_httpd_outbox_t outbox;
	size_t waiting_bytes;         /* of the outbox, beyond what each caller may let wait */
	char last_bytes[3];           /* of the body as received; LF before it begins */
	bool paused;                  /* the engine has been told to pause reading */
	bool ended;                   /* no more of the answer will come */
	bool complete;                /* the answer ended without an error */
	int64_t first_byte_us;        /* cs_now_us when the answer was queued */
	uint64_t body_bytes_received; /* of the request, discarded ones included */

	cs_exchange_t *prev, *next;
};

/* Creates an exchange of g for a request with this head. Checks the target, the route, the headers
 * and the token. A fault sets the problem; of several faults among HTTP version, key, length and
 * token the last in this order is reported. */
cs_exchange_t *cs_exchange_new (cs_gateway_t *g, cs_server_connection_t *connection,
				const cs_http_head_t *head);
/* Counts the outcome and frees the exchange. Sends GONE to control if the answer to an
 * admitted request was neither delivered nor ended and GONE was not sent before. */
void cs_exchange_free (cs_exchange_t *x, bool delivered);
/* Checks the complete request and sends it to control as ADMIT, or sets the problem. */
void cs_exchange_admit (cs_exchange_t *x);
/* Creates the request for control, which takes over the body. Returns a reference that the
 * caller owns; NULL, with the problem set, if the request is invalid. */
cs_request_t *cs_exchange_create_request (cs_exchange_t *x);
/* Outcome of a request that is refused before it was admitted. */
cs_outcome_t cs_exchange_refusal_outcome (const cs_exchange_t *x);
/* Returns a header of the request; empty if there is none. */
cs_str_t cs_exchange_header (const cs_exchange_t *x, const char *name);

/* Passes the head of the answer to the server once it has come, or the problem document. */
void cs_answer_queue (cs_exchange_t *x);
/* Writes up to max bytes of the answer; see cs_server_owner_t. */
ssize_t cs_answer_read (cs_exchange_t *x, char *out, size_t max);
/* Answers with the problem document. */
void cs_answer_problem (cs_exchange_t *x);
/* Answers with a short text; takes over the buffer. */
void cs_answer_text (cs_exchange_t *x, int status, cs_buf_t *text);
/* Tells the engine what waits in the outbox, if that has changed. */
void cs_answer_update_waiting (cs_exchange_t *x);
/* Handles HEAD, BODY, END or REFUSE from another task. */
void cs_answer_receive (cs_exchange_t *x, cs_msg_t *m);
/* Ends the exchange because the caller has disconnected; sends GONE to control at most
 * once, and only if the answer has not ended. */
void cs_answer_abort (cs_exchange_t *x);

/* Metrics. */
void cs_stats_request_ended (const cs_exchange_t *x, bool delivered);
void cs_stats_first_byte (const cs_exchange_t *x);
void cs_stats_answer_bytes (size_t n);
void cs_stats_open_streams (int change);

#endif
