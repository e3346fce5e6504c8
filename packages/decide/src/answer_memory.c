#include "cs/answer_memory.h"

enum {
	THRESHOLD_FACTOR = 4 /* an answer may hold this many times what remains free */
};

void
cs_answer_memory_init (cs_answer_memory_t *m, size_t max_bytes)
{
	m->max = max_bytes;
	m->held = 0;
}

bool
cs_answer_memory_resize (cs_answer_memory_t *m, size_t *held_bytes, size_t size)
{
	size_t total = m->held - *held_bytes + size;
	size_t available = total < m->max ? m->max - total : 0;
	bool is_small = size <= *held_bytes || size <= CS_ANSWER_MEMORY_SMALL_BYTES;
	if (!is_small && size > THRESHOLD_FACTOR * available)
		return false;
	m->held = total;
	*held_bytes = size;
	return true;
}

void
cs_answer_memory_charge (cs_answer_memory_t *m, size_t *held_bytes, size_t size)
{
	m->held += size - *held_bytes;
	*held_bytes = size;
}

bool
cs_answer_memory_may_cut (size_t held_bytes, bool has_ended, int64_t expires_ms, int64_t now_ms)
{
	return held_bytes && has_ended && now_ms >= expires_ms;
}
