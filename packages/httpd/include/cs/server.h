/* HTTP/1.1 server for callers, on a task's event loop. It reads heads and bodies, delimits answers,
 * and keeps to the limits on callers; what a request means is up to its owner.
 *
 * A connection at rest holds its descriptor and some 300 bytes; one whose head is being read holds
 * the bytes of the head, whatever its parts. */
#ifndef CS_SERVER_H
#define CS_SERVER_H

#include <ev.h>

#include "cs/http_syntax.h"
#include "cs/status.h"

typedef struct cs_server cs_server_t;
typedef struct cs_server_connection cs_server_connection_t;

typedef struct {
	uint32_t max_head_bytes;  /* of a head; a longer one is refused with 431 */
	uint32_t head_timeout_ms; /* from the first byte of a head to its last; 408 behind it */
	uint32_t idle_timeout_ms; /* without a request; told in Keep-Alive */
} cs_server_limits_t;

enum {
	CS_SERVER_END = -1, /* the answer is complete */
	CS_SERVER_CUT = -2  /* the answer ends here, incomplete */
};

#define CS_SERVER_UNKNOWN_LENGTH UINT64_MAX

/* Functions of the owner. None of them frees a connection; `request` is what begin returned. */
typedef struct {
	/* A sound head has been received, whose first byte came at started_ms. The head is valid
	 * during the call. Never returns NULL. */
	void *(*begin) (void *data, cs_server_connection_t *c, const cs_http_head_t *head,
			int64_t started_ms);
	/* A piece of the body. Not called while the connection is paused. */
	void (*receive_body) (void *request, cs_str_t bytes);
	/* The request has been received completely, with no answer given before. */
	void (*receive_end) (void *request);
	/* The body is malformed or has stopped; the owner answers with this status. */
	void (*refuse_body) (void *request, int status, const char *reason);
	/* Called after cs_server_wake while no answer has been given. */
	void (*resume) (void *request);
	/* Writes up to max bytes of the answer's body; 0: none at present, cs_server_wake is
	 * called later. Not called for bytes beyond a length that was stated. */
	ssize_t (*read_answer) (void *request, char *out, size_t max);
	/* The caller has closed the connection, or its sending side. */
	void (*leave) (void *request);
	/* The last call for a request. delivered: the whole answer has been sent. */
	void (*finish) (void *request, bool delivered);
} cs_server_owner_t;

struct cs_server {
	struct ev_loop *loop;
	const cs_server_owner_t *owner;
	void *data;                /* argument of begin */
	const char *log_component; /* component name in the log lines that the server writes */
	cs_server_limits_t limits;
	uint32_t max_connections;
	size_t in_progress; /* requests being processed; maintained by the owner */
	/* Called after connections have been processed; may be NULL. */
	void (*after_run) (void *data);
	/* private */
	ev_io accept;
	ev_timer sweep; /* ends connections at their limits */
	ev_timer wake;  /* never started: its event is fed */
	int64_t sweep_ms;
	cs_server_connection_t *connections;
	cs_server_connection_t *awake; /* to be processed */
	size_t n_connections;
	size_t activity; /* bytes received and sent, and connections accepted */
	char *block;     /* that bytes are received into */
};

/* Listens on IP:PORT. The owner has set the public fields. CS_INVALID if listen is malformed,
 * CS_UNAVAILABLE if the server cannot listen there. */
cs_status_t cs_server_start (cs_server_t *s, struct ev_loop *loop, const char *listen);
/* Closes all connections; finish is called for each request. */
void cs_server_stop (cs_server_t *s);
bool cs_server_is_running (const cs_server_t *s);
uint16_t cs_server_port (const cs_server_t *s);
/* Applies to open connections as well; a field of 0 leaves the limit as it is. */
void cs_server_set_limits (cs_server_t *s, const cs_server_limits_t *limits);
/* Processes what callers have sent so far and what can be sent to them, for a process that is
 * about to exit. */
void cs_server_run_last (cs_server_t *s);

/* Stops or resumes reading the body of the request in progress. */
void cs_server_pause (cs_server_connection_t *c, bool paused);
/* The request in progress is processed again in this turn of the loop. */
void cs_server_wake (cs_server_connection_t *c);
/* The connection is closed without an answer, or without the rest of it, once it is processed. */
void cs_server_abort (cs_server_connection_t *c);
/* The answer: its status and length, then header lines, then the end of the head. Its body is read
 * with read_answer. An answer before the end of the request closes the connection. */
void cs_server_answer (cs_server_connection_t *c, int status, uint64_t length);
void cs_server_answer_header (cs_server_connection_t *c, const char *name, cs_str_t value);
void cs_server_answer_end_head (cs_server_connection_t *c, bool closes);

#endif
