/* When reading from a back end pauses for a caller that reads slowly, and when it goes on.
 *
 * Expected load: hundreds of callers that read slowly or not at all, beside streams whose callers
 * keep up. A back end cuts off an answer that stays unread for some seconds. So a pause lasts a
 * second, and then the answer is read on into the memory of answers, as long as all answers take no
 * more than half of it: the other half is left to those whose callers keep up. An answer that finds
 * no room pauses again.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_READ_PAUSE_H
#define CS_READ_PAUSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cs/answer_memory.h"

enum {
	CS_READ_PAUSE_BYTES = 16 << 10, /* that wait for the caller: about a hundred events */
	CS_READ_RESUME_BYTES = 4 << 10, /* before nothing is left and the caller has to wait */
	CS_READ_PAUSE_MS = 1000,        /* less than a back end bears */
	CS_READ_PIECE_BYTES = 16 << 10  /* that are read at a time */
};

/* Of one answer; zeroed at first. */
typedef struct {
	bool is_paused;
	bool reads_on; /* more than usual waits, since a pause has ended before the caller read */
	int64_t since_ms; /* of the pause */
} cs_read_pause_t;

/* In what follows, held_bytes is the answer's share of the memory, and *promised_bytes what all
 * that are read on may still read before they are asked again, so that they don't count on the same
 * room: summed up by cs_read_pause_promised ahead of each round of ticks. */

/* Records that bytes were added to what waits for the caller. True if reading is to pause now. */
bool cs_read_pause_added (cs_read_pause_t *p, const cs_answer_memory_t *m, size_t held_bytes,
			  size_t *promised_bytes, size_t waiting_bytes, int64_t now_ms);
/* Records what still waits once the caller has read. True if a pause ends by that. */
bool cs_read_pause_taken (cs_read_pause_t *p, size_t waiting_bytes);
/* What the answer may still read before it is asked whether there is room. */
size_t cs_read_pause_promised (const cs_read_pause_t *p);
/* True if a pause ends because it has lasted. */
bool cs_read_pause_tick (cs_read_pause_t *p, const cs_answer_memory_t *m, size_t held_bytes,
			 size_t *promised_bytes, int64_t now_ms);

#endif
