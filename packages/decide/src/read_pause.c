#include "cs/read_pause.h"

enum {
	READ_ON_PART = 2 /* of the memory, all answers may take this part while one is read on */
};

static bool
has_room (const cs_answer_memory_t *m, size_t held_bytes, size_t promised_bytes)
{
	cs_answer_memory_t then = *m;
	size_t held = held_bytes;
	return m->held + promised_bytes + CS_READ_PIECE_BYTES <= m->max / READ_ON_PART &&
	       cs_answer_memory_resize (&then, &held, held_bytes + CS_READ_PIECE_BYTES);
}

size_t
cs_read_pause_promised (const cs_read_pause_t *p)
{
	return p->reads_on && !p->is_paused ? CS_READ_PIECE_BYTES : 0;
}

bool
cs_read_pause_added (cs_read_pause_t *p, const cs_answer_memory_t *m, size_t held_bytes,
		     size_t *promised_bytes, size_t waiting_bytes, int64_t now_ms)
{
	size_t own = cs_read_pause_promised (p);
	size_t others = *promised_bytes > own ? *promised_bytes - own : 0;
	if (waiting_bytes <= CS_READ_PAUSE_BYTES ||
	    (p->reads_on && has_room (m, held_bytes, others)))
		return false;
	if (!p->is_paused)
		p->since_ms = now_ms;
	p->is_paused = true;
	*promised_bytes = others;
	return true;
}

bool
cs_read_pause_taken (cs_read_pause_t *p, size_t waiting_bytes)
{
	if (waiting_bytes > CS_READ_RESUME_BYTES)
		return false;
	bool was_paused = p->is_paused;
	p->is_paused = p->reads_on = false;
	return was_paused;
}

bool
cs_read_pause_tick (cs_read_pause_t *p, const cs_answer_memory_t *m, size_t held_bytes,
		    size_t *promised_bytes, int64_t now_ms)
{
	if (!p->is_paused || now_ms - p->since_ms < CS_READ_PAUSE_MS ||
	    !has_room (m, held_bytes, *promised_bytes))
		return false;
	p->is_paused = false;
	p->reads_on = true;
	*promised_bytes += cs_read_pause_promised (p);
	return true;
}
