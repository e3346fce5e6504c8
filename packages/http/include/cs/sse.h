/* Splits a stream of server-sent events at event boundaries. Bytes of an event that
 * isn't whole are held back, so that what has been passed on always ends at a
 * boundary. Lines end with LF or CRLF; the number of "id:" is the token's position. */
#ifndef CS_SSE_H
#define CS_SSE_H

#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_SSE_EVENT_BYTES = 1 << 20 /* longest event */
};

typedef struct {
	cs_buf_t held;
	size_t line;     /* start of the line being read, in held */
	size_t looked;   /* bytes of held already searched */
	uint64_t next;   /* position that the next token must have */
	uint32_t tokens; /* whole events with an id so far */
	bool has_id;     /* of the event being read */
	bool ends;
	bool done;   /* "data: [DONE]" came */
	bool rising; /* ids need not be consecutive; no event ends the stream */
} cs_sse_t;

/* first: position of the first token, from 1. */
void cs_sse_init (cs_sse_t *s, uint64_t first);
/* For streams whose ids only rise: `next` is one above the last id passed on. */
void cs_sse_init_rising (cs_sse_t *s, uint64_t last);
void cs_sse_finish (cs_sse_t *s);
/* Appends to out the events that the bytes make whole; nothing behind "data: [DONE]".
 * CS_INVALID for a token out of order, CS_EXHAUSTED for an event that is too long. */
cs_status_t cs_sse_push (cs_sse_t *s, cs_str_t bytes, cs_buf_t *out);

#endif
