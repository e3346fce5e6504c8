/* One attempt: a single HTTP call to a back end for a request. */
#ifndef CS_ENGINE_ATTEMPT_H
#define CS_ENGINE_ATTEMPT_H

#include "task.h"

enum {
	CS_ATTEMPT_MAX_HEADERS = 9
};

/* How the bytes of the answer are handled. */
typedef enum {
	CS_ANSWER_WAITING,  /* the head has not arrived yet */
	CS_ANSWER_BUFFERED, /* held back until it is complete */
	CS_ANSWER_EVENTS,   /* forwarded event by event */
	CS_ANSWER_STREAMED, /* forwarded as the bytes arrive */
	CS_ANSWER_IGNORED   /* the remaining bytes are dropped */
} cs_answer_mode_t;

struct cs_attempt {
	cs_http_call_t call;
	cs_engine_t *engine;
	cs_dispatch_msg_t *dispatch;
	uint64_t request_id; /* key in cs_engine_t.attempts */
	char *method;
	cs_buf_t url;
	char *header_lines[CS_ATTEMPT_MAX_HEADERS + 1];
	size_t n_header_lines;
	cs_trace_t span;
	int64_t started_us;
	int64_t first_byte_us; /* cs_now_us clock; 0: no byte received */
	cs_answer_mode_t mode;
	bool request_matches; /* the answer echoes the request's id */
	bool group_matches;
	bool fence_matches;
	bool names_other_request; /* the answer echoes another request id */
	bool names_other_group;   /* or another group or fencing number */
	int status;
	char *content_type;
	bool is_token_stream; /* a model group's 200 with events, ended by "data: [DONE]" */
	cs_sse_t sse;
	cs_buf_t body;
	size_t n_ready;           /* bytes at the start of the body that are ready for the caller */
	bool holds_unnumbered;    /* the last events in the body have no id */
	size_t held_bytes;        /* share of the engine task's answer_memory */
	size_t undelivered_bytes; /* sent to the gateway since it last had received all */
	bool awaits_delivery;     /* paused until the gateway has received them */
	bool is_caller_slow;      /* paused by the gateway */
	bool is_head_sent;
	bool is_reported;      /* ATTEMPT_END has been sent */
	bool has_final_result; /* final_result holds, however the call ends */
	cs_attempt_result_t final_result;
	UT_hash_handle hh;
};

/* Adds the header lines to send. Lines beyond CS_ATTEMPT_MAX_HEADERS are dropped. */
void cs_attempt_add_headers (cs_attempt_t *a);
/* Callbacks of cs_http_call_t that process the answer. */
void cs_answer_on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value);
void cs_answer_on_head (cs_http_call_t *call, int status, cs_str_t content_type);
void cs_answer_on_body (cs_http_call_t *call, cs_str_t bytes);
/* Returns the attempt's result for a call that has ended. If the answer is complete and was not
 * requested as a whole (dispatch.buffer), first forwards the bytes held back and END to the
 * gateway. */
cs_attempt_result_t cs_answer_on_end (cs_attempt_t *a, cs_http_end_t end);
/* Stops reading the answer until the gateway has received what was sent to it. */
void cs_attempt_await_delivery (cs_attempt_t *a);
/* Sends ATTEMPT_END, exports the spans and removes the attempt from cs_engine_t.attempts.
 * Calls after the first do nothing. Does not free the attempt. */
void cs_attempt_report (cs_attempt_t *a, cs_attempt_result_t result);

#endif
