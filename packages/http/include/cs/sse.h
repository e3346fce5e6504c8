/* Splits a stream of server-sent events at event boundaries. Bytes of an incomplete event are
 * buffered, so that the output always ends at an event boundary. Lines end with LF or CRLF; the
 * number in "id:" is the position of the event's token in the stream. */
#ifndef CS_SSE_H
#define CS_SSE_H

#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_SSE_EVENT_BYTES = 1 << 20 /* longest incomplete event that is buffered */
};

typedef struct {
	cs_buf_t incomplete_event; /* bytes not yet passed on */
	size_t line_start;         /* of the line being read, in held */
	size_t searched;           /* bytes of held already searched for LF */
	uint64_t next;    /* id that the next token must have, or its least id if increasing */
	uint32_t tokens;  /* complete events with an id so far */
	uint32_t events;  /* complete events with an id or data so far; comments are none */
	uint64_t id;      /* of the event being read, if it has one */
	bool has_id;      /* the event being read has an id */
	bool has_data;    /* the event being read has data */
	bool unnumbered;  /* an event with data but no id was complete since the last id: none
			     tells the position behind it */
	bool needs_id;    /* the next event with data must have an id, as the stream continues one
			     whose position is known */
	bool ends_stream; /* the event being read has "data: [DONE]" */
	bool done;        /* the event with "data: [DONE]" is complete */
	bool increasing;  /* ids increase but need not be consecutive; no event ends the stream */
} cs_sse_t;

/* first: position of the first token, counted from 1. */
void cs_sse_init (cs_sse_t *s, uint64_t first);
/* For streams whose ids strictly increase. last: the last id already received, 0 if none; an event
 * with this or a lower id is out of order. `next` is one above the last id received. */
void cs_sse_init_increasing (cs_sse_t *s, uint64_t last);
void cs_sse_finish (cs_sse_t *s);
/* Appends to out the events that are complete with these bytes, up to the one with "data: [DONE]";
 * later bytes are ignored. CS_INVALID if an id is not a number or is out of order, CS_EXHAUSTED if
 * more than CS_SSE_EVENT_BYTES of an incomplete event are buffered; the complete events before it
 * are still appended. */
cs_status_t cs_sse_push (cs_sse_t *s, cs_str_t bytes, cs_buf_t *out);

#endif
