/* A connection of a caller. */
#ifndef CS_SERVER_IMPL_H
#define CS_SERVER_IMPL_H

#include "cs/server.h"

enum {
	CS_SERVER_BLOCK_BYTES = 64 << 10 /* received at a time */
};

typedef enum {
	CS_CONNECTION_IDLE, /* no byte of the next head yet */
	CS_CONNECTION_HEAD,
	CS_CONNECTION_BODY,
	CS_CONNECTION_BUSY,   /* the request was received, or is not read any further */
	CS_CONNECTION_CLOSING /* the answer was sent; what the caller still sends is dropped, so
				 that it can read the answer */
} cs_connection_phase_t;

struct cs_server_connection {
	cs_server_t *server;
	ev_io input;
	ev_io output; /* active while the socket takes no more */
	cs_connection_phase_t phase;
	int64_t since_ms; /* start of the phase, or last progress in it */
	int64_t closing_until_ms;
	cs_buf_t in;     /* received and not processed */
	size_t searched; /* bytes of it that do not hold the end of a head */
	void *request;   /* NULL: none, or refused here */
	/* Of the request. */
	bool is_http_1_0;
	bool is_head; /* its answer has no body */
	bool closes;  /* the connection closes behind the answer */
	bool caller_closes;
	bool owes_continue;
	bool is_chunked;
	bool is_received;
	bool is_paused;
	uint64_t body_left;
	cs_http_chunks_t chunks;
	/* Of the answer. */
	bool is_answered; /* the head is in out */
	bool has_date;
	bool has_chunks;
	bool is_cut;
	bool is_read; /* all of it is in out */
	int status;
	uint64_t answer_left;
	cs_buf_t out;
	size_t sent; /* bytes of out */
	bool is_aborted;
	bool is_awake;
	cs_server_connection_t *prev, *next;
	cs_server_connection_t *prev_awake, *next_awake;
};

/* server.c */
/* Counts and logs what the server itself decided on a connection. */
void cs_server_log_end (const cs_server_connection_t *c, const char *cause, int64_t bound,
			int64_t value);
/* Sees to it that a sweep comes by the time when the connection's phase is to end. */
void cs_server_sweep_by (cs_server_t *s, int64_t due_ms);
/* connection.c */
void cs_connection_new (cs_server_t *s, int fd);
/* Takes all steps that are possible now; reads from the socket only if it may have
 * something. The connection may be freed. */
void cs_connection_run (cs_server_connection_t *c, bool may_receive);
void cs_connection_free (cs_server_connection_t *c);
void cs_connection_set_phase (cs_server_connection_t *c, cs_connection_phase_t phase);
/* Time at which the phase is to end; INT64_MAX: no limit. */
int64_t cs_connection_due_ms (const cs_server_connection_t *c);
/* The phase has lasted as long as it may. The connection may be freed. */
void cs_connection_expire (cs_server_connection_t *c);
/* connection_input.c: uses bytes that were received, and what is left of those before. */
void cs_connection_receive (cs_server_connection_t *c, cs_str_t bytes);
/* Answers by the server itself and closes behind it. */
void cs_connection_refuse (cs_server_connection_t *c, int status, const char *cause, int64_t bound,
			   int64_t value);
/* connection_output.c: sends what there is of the answer. */
typedef enum {
	CS_OUTPUT_WAITS,
	CS_OUTPUT_DONE,
	CS_OUTPUT_BROKEN
} cs_output_t;

cs_output_t cs_connection_send (cs_server_connection_t *c);
void cs_connection_send_continue (cs_server_connection_t *c);

#endif
