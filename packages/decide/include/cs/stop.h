/* Phases of a graceful shutdown. The load balancer keeps sending new connections for some time
 * after readiness is withdrawn, and callers keep open connections. Requests are therefore accepted
 * at first, then refused as not run, so that none is in progress when the process must end. */
#ifndef CS_STOP_H
#define CS_STOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/* The load balancer stops sending connections after two failed health checks at 1 s
	 * intervals; the rest is for the last connections to arrive. */
	CS_STOP_BALANCER_MS = 2500,
	CS_STOP_MARGIN_MS = 400 /* the process exits this long before it is killed */
};

typedef enum {
	CS_STOP_NONE,
	CS_STOP_ACCEPTING, /* readiness is withdrawn; requests are still accepted */
	CS_STOP_REFUSING,  /* new requests are refused, those in progress continue */
	CS_STOP_EXIT       /* exit now */
} cs_stop_phase_t;

/* stopping_ms: when the stop began; 0: not stopping. grace_ms: time from then until the process is
 * killed. in_progress: number of unfinished requests. */
cs_stop_phase_t cs_stop_phase (int64_t stopping_ms, int64_t now_ms, uint32_t grace_ms,
			       size_t in_progress);

/* What the caller of a request that is unfinished at the exit gets. */
typedef enum {
	CS_STOP_LEAVE_ALONE,  /* its answer is already determined */
	CS_STOP_NOT_RUN,      /* an answer that says it has not run */
	CS_STOP_MAY_HAVE_RUN, /* an answer that says nothing of that */
	CS_STOP_CUT           /* a part of an answer was sent: it is broken off */
} cs_stop_answer_t;

typedef struct {
	bool has_ended; /* its answer is determined; bytes of it may still wait for the caller */
	bool has_head;  /* the head of an answer was passed on */
	bool is_at_back_end; /* an attempt is in progress */
	uint32_t runs;       /* attempts that ran or may have run */
} cs_stop_request_t;

cs_stop_answer_t cs_stop_answer (const cs_stop_request_t *r);

#endif
