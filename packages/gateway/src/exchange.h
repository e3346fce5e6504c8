/* One request of a caller or operator and its answer. */
#ifndef CS_GATEWAY_EXCHANGE_H
#define CS_GATEWAY_EXCHANGE_H

#include "cs/httpd.h"
#include "cs/messages.h"
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
	cs_httpd_t http; /* in_progress: admitted and not yet ended */
	cs_exchange_t *exchanges;
	uint64_t next_id;
	bool ready;
	bool draining;
	bool drained; /* DRAINED has been sent */
} cs_gateway_t;

typedef enum {
	CS_PHASE_READING,  /* the request comes in */
	CS_PHASE_WAITING,  /* admitted: no answer yet */
	CS_PHASE_ANSWERING /* the answer's head has been given to the server */
} cs_phase_t;

struct cs_exchange {
	cs_gateway_t *gateway;
	struct MHD_Connection *connection;
	uint64_t id;
	cs_phase_t phase;
	bool begun;     /* the request's headers have been read */
	bool suspended; /* the server leaves the connection alone */
	bool gone;      /* the caller has left */
	cs_httpd_leave_t leave;

	cs_buf_t target;
	cs_buf_t body;
	bool too_large;
	char *method;
	cs_route_t route;
	const char *name; /* of the caller's team or the operator */
	cs_trace_t span;
	cs_trace_t parent;
	bool has_parent;
	int64_t received_us;

	cs_request_t *request; /* once admitted */
	cs_problem_t problem;  /* the answer, if its status is set */

	bool has_head;
	int status;
	char *content_type;
	cs_httpd_outbox_t outbox;
	bool paused; /* the back end has been asked to wait */
	bool ended;
	bool complete;
	int64_t first_byte_us;
	uint64_t bytes;

	cs_exchange_t *prev, *next;
};

cs_exchange_t *cs_exchange_new (cs_gateway_t *g, struct MHD_Connection *connection,
				const char *target);
/* Counts, tells control if the caller left early, and frees. */
void cs_exchange_free (cs_exchange_t *x, bool delivered);
/* Checks the request's headers; what is wrong with them becomes the problem. */
void cs_exchange_begin (cs_exchange_t *x, const char *method, const char *version);
/* Checks the whole request and sends it to control, or sets the problem. */
void cs_exchange_admit (cs_exchange_t *x);
/* Makes the request that control sees; it takes over the body. */
cs_request_t *cs_exchange_request (cs_exchange_t *x);
/* A header of the request; empty if there is none. */
cs_str_t cs_exchange_header (const cs_exchange_t *x, const char *name);

/* Hands what is ready of the answer to the server, or suspends the connection. */
enum MHD_Result cs_answer_queue (cs_exchange_t *x);
/* Answers with the problem. */
enum MHD_Result cs_answer_problem (cs_exchange_t *x);
/* Answers with a short text; takes over the buffer. */
enum MHD_Result cs_answer_text (cs_exchange_t *x, int status, cs_buf_t *text);
/* HEAD, BODY, END or REFUSE from another task. */
void cs_answer_receive (cs_exchange_t *x, cs_msg_t *m);
/* Ends the exchange because the caller has left; control is told once. */
void cs_answer_gone (cs_exchange_t *x);
void cs_exchange_suspend (cs_exchange_t *x);
void cs_exchange_resume (cs_exchange_t *x);

/* Counters. */
void cs_stats_end (const cs_exchange_t *x, bool delivered);
void cs_stats_first_byte (const cs_exchange_t *x);
void cs_stats_bytes (size_t n);
void cs_stats_streams (int by);

#endif
