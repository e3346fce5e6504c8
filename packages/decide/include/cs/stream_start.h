/* Whether the start of a back end's event stream goes to the caller. A stream has begun with the
 * first event that has data or an id. Until then the request can still be answered by another back
 * end, so that nothing is sent: neither the head, which names the back end, nor the comments in
 * front of the event. Expected load: back ends break off a few streams a second, some of them
 * before the first event, and comments may come without end. */
#ifndef CS_STREAM_START_H
#define CS_STREAM_START_H

#include <stdbool.h>
#include <stddef.h>

enum {
	CS_STREAM_START_BYTES = 64 << 10 /* held in front of the first event */
};

typedef enum {
	CS_STREAM_HOLD,
	CS_STREAM_SEND,  /* the head, if the caller has none yet, and all that is held */
	CS_STREAM_REJECT /* too much came before the first event */
} cs_stream_start_t;

/* has_begun: this stream, or one that it continues; n: bytes held. */
cs_stream_start_t cs_stream_start (bool has_begun, size_t n);

#endif
