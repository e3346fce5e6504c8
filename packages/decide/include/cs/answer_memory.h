/* Bounds the memory of answers that a daemon holds back until they are complete.
 *
 * Expected load: faulty back ends send bytes without end on hundreds of connections, while the
 * answers of others, a few KB each, have to get through. An answer may hold up to four times what
 * then remains free (a dynamic threshold, as in shared packet buffers): 8 of 10 MB alone, less
 * beside others. The largest answers thus reach their limit first, and the total stays below its
 * bound, except for small answers, which are always admitted. Hundreds of callers may read slowly
 * or not at all: what waits for one of them has its share until the request's time has passed, then
 * as long as no other answer needs it. */
#ifndef CS_ANSWER_MEMORY_H
#define CS_ANSWER_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_ANSWER_MEMORY_SMALL_BYTES = 8 << 10 /* an answer up to this size is always admitted */
};

typedef struct {
	size_t max;  /* bytes that all answers together may hold */
	size_t held; /* bytes that all answers together hold */
} cs_answer_memory_t;

void cs_answer_memory_init (cs_answer_memory_t *m, size_t max_bytes);

/* Changes the memory of one answer from *held_bytes to size bytes. False, with nothing changed, if
 * the answer may not hold that much; an answer may always shrink. */
bool cs_answer_memory_resize (cs_answer_memory_t *m, size_t *held_bytes, size_t size);
/* Like cs_answer_memory_resize for bytes that are held in any case, whatever is free: those that
 * wait for callers elsewhere. Others then get less. */
void cs_answer_memory_charge (cs_answer_memory_t *m, size_t *held_bytes, size_t size);
/* True if an answer that holds held_bytes may be cut off for another. has_ended: its back end has
 * sent all; expires_ms: end of the time that its caller and its route gave the request. */
bool cs_answer_memory_may_cut (size_t held_bytes, bool has_ended, int64_t expires_ms,
			       int64_t now_ms);

#endif
