/* Bounds the memory of the requests that a daemon reads and holds: of their bodies, and of heads
 * that are larger than usual.
 *
 * Expected load: bodies of several MB on hundreds of connections at once, more than the machine's
 * memory holds, beside thousands of requests of a few KB; senders that are slow or stop; bodies
 * whose length shows at their end only. A body gets its whole length before it is read, so that
 * each one that has begun can be completed. The others wait in order of arrival, unread, each in
 * what its connection's receive buffer takes. What cannot be held within half of its caller's time
 * is refused, so that the other half is left for another daemon. Small bodies are always admitted;
 * medium ones need not wait behind large ones, which leave a part of the memory free.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_BODY_MEMORY_H
#define CS_BODY_MEMORY_H

#include "cs/answer_memory.h"

enum {
	CS_BODY_SMALL_BYTES = CS_ANSWER_MEMORY_SMALL_BYTES, /* always admitted */
	CS_BODY_MEDIUM_BYTES = 256 << 10,  /* up to this size a body passes those that wait */
	CS_BODY_MAX_WAITING = 64,          /* further bodies are refused */
	CS_BODY_WAITING_BYTES = 192 << 10, /* of one that waits: Linux's usual receive buffer, and
					      what was read before the length was known */
	CS_BODY_STALL_MS = 2000            /* one whose sender has stopped makes room then */
};

/* Shares of a machine's memory. */
typedef struct {
	size_t answers; /* bytes that answers may hold until they are passed on */
	size_t bodies;  /* bytes that bodies of requests may hold */
} cs_memory_shares_t;

/* Divides memory_bytes among answers and bodies, less what the daemon itself and its connections
 * need. */
cs_memory_shares_t cs_memory_shares (size_t memory_bytes, uint32_t max_connections);

/* What a request's head takes beyond its connection's share of the machine's memory, until the
 * request has ended: its copies, and what is kept for each of its lines. */
size_t cs_body_memory_head_bytes (size_t bytes, size_t n_lines);

typedef enum {
	CS_BODY_ADMITTED,
	CS_BODY_WAITS,
	CS_BODY_REFUSED,
	CS_BODY_TOO_LARGE /* for this machine at any time */
} cs_body_verdict_t;

/* One body; zeroed at first. */
typedef struct cs_body {
	size_t held_bytes;
	size_t wanted_bytes; /* that it waits for; 0: it does not wait */
	int64_t admitted_ms;
	int64_t refuse_ms; /* it is refused if it still waits then */
	struct cs_body *prev, *next;
} cs_body_t;

typedef struct {
	cs_answer_memory_t memory;
	cs_body_t *waiting; /* in order of arrival */
	size_t n_waiting;
	size_t wanted_bytes; /* by all that wait */
	double hold_ms;      /* for which a byte is held, smoothed; 0: none was released yet */
} cs_body_memory_t;

void cs_body_memory_init (cs_body_memory_t *m, size_t max_bytes);
/* Asks for `size` bytes in all for the body, whose caller waits until deadline_ms. A body that
 * waits is decided on by cs_body_memory_next. */
cs_body_verdict_t cs_body_memory_ask (cs_body_memory_t *m, cs_body_t *b, size_t size,
				      int64_t now_ms, int64_t deadline_ms);
/* Returns the next waiting body that has been decided on, which no longer waits then; NULL if there
 * is none. */
cs_body_t *cs_body_memory_next (cs_body_memory_t *m, int64_t now_ms, cs_body_verdict_t *verdict);
/* Sets what the body holds to no more than size bytes; 0: it is gone, and no longer waits. */
void cs_body_memory_shrink (cs_body_memory_t *m, cs_body_t *b, size_t size, int64_t now_ms);
/* Time after which a body of this size may be admitted, for Retry-After. */
uint32_t cs_body_memory_retry_ms (const cs_body_memory_t *m, size_t size);
/* True if a body that is still being received may be dropped: nobody waits for its answer any
 * more, or others wait for its memory while its sender, last heard at heard_ms, sends nothing. */
bool cs_body_memory_may_drop (const cs_body_memory_t *m, const cs_body_t *b, int64_t heard_ms,
			      int64_t deadline_ms, int64_t now_ms);

#endif
