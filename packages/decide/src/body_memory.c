#include "cs/body_memory.h"

#include <utlist.h>

enum {
	DAEMON_BYTES = 32 << 20,     /* lists, mirrors, notes and the program */
	ANSWERS_BYTES = 10 << 20,    /* one answer of 8 MB, and ordinary ones beside it */
	CONNECTION_BYTES = 24 << 10, /* head, state of the request, and a small body */
	HEAD_SHARE_BYTES = 16 << 10, /* of these, for the head */
	HEAD_COPIES = 6,      /* the caller's, the one for the back end with its list, libcurl's */
	HEAD_LINE_BYTES = 56, /* pointers and list entries of one line in these copies */
	LEAST_SHARE = 4,      /* of a machine that is too small, bodies get this part */
	HOLD_GAIN = 4,        /* a body of a quarter of the memory weighs a half */
	MIN_RETRY_MS = 500,
	MAX_RETRY_MS = 5000
};

cs_memory_shares_t
cs_memory_shares (size_t memory_bytes, uint32_t max_connections)
{
	size_t other = DAEMON_BYTES + ANSWERS_BYTES + (size_t)max_connections * CONNECTION_BYTES +
		       CS_BODY_MAX_WAITING * (size_t)CS_BODY_WAITING_BYTES;
	size_t least = memory_bytes / LEAST_SHARE;
	bool is_enough = memory_bytes > other + least;
	return (cs_memory_shares_t){ANSWERS_BYTES, is_enough ? memory_bytes - other : least};
}

size_t
cs_body_memory_head_bytes (size_t bytes, size_t n_lines)
{
	size_t all = bytes * HEAD_COPIES + n_lines * HEAD_LINE_BYTES;
	return all > HEAD_SHARE_BYTES ? all - HEAD_SHARE_BYTES : 0;
}

void
cs_body_memory_init (cs_body_memory_t *m, size_t max_bytes)
{
	*m = (cs_body_memory_t){.memory.max = max_bytes};
}

static bool
admit (cs_body_memory_t *m, cs_body_t *b, size_t size, int64_t now_ms)
{
	if (!cs_answer_memory_resize (&m->memory, &b->held_bytes, size))
		return false;
	b->admitted_ms = now_ms;
	return true;
}

static bool
may_pass (size_t size)
{
	return size <= CS_BODY_MEDIUM_BYTES;
}

/* Expected time until all that wait and a body of this size have their memory, if all of it is
 * released within the time for which a byte is held; 0 if that is not known. */
static int64_t
expected_wait_ms (const cs_body_memory_t *m, size_t size)
{
	size_t needed = m->memory.held + m->wanted_bytes + size;
	if (needed <= m->memory.max)
		return 0;
	return (int64_t)((double)(needed - m->memory.max) / (double)m->memory.max * m->hold_ms);
}

cs_body_verdict_t
cs_body_memory_ask (cs_body_memory_t *m, cs_body_t *b, size_t size, int64_t now_ms,
		    int64_t deadline_ms)
{
	const cs_answer_memory_t empty = {.max = m->memory.max};
	cs_answer_memory_t alone = empty;
	size_t none = 0;
	if ((!m->waiting || may_pass (size)) && admit (m, b, size, now_ms))
		return CS_BODY_ADMITTED;
	if (!cs_answer_memory_resize (&alone, &none, size))
		return CS_BODY_TOO_LARGE;
	int64_t max_wait_ms = (deadline_ms - now_ms) / 2;
	if (m->n_waiting >= CS_BODY_MAX_WAITING || max_wait_ms <= 0 ||
	    expected_wait_ms (m, size) > max_wait_ms)
		return CS_BODY_REFUSED;
	b->wanted_bytes = size;
	b->refuse_ms = now_ms + max_wait_ms;
	DL_APPEND (m->waiting, b);
	m->n_waiting++;
	m->wanted_bytes += size;
	return CS_BODY_WAITS;
}

static void
stop_waiting (cs_body_memory_t *m, cs_body_t *b)
{
	if (!b->wanted_bytes)
		return;
	DL_DELETE (m->waiting, b);
	m->n_waiting--;
	m->wanted_bytes -= b->wanted_bytes;
	b->wanted_bytes = 0;
}

cs_body_t *
cs_body_memory_next (cs_body_memory_t *m, int64_t now_ms, cs_body_verdict_t *verdict)
{
	for (cs_body_t *b = m->waiting; b; b = b->next) {
		bool is_late = now_ms >= b->refuse_ms;
		bool has_turn = b == m->waiting || may_pass (b->wanted_bytes);
		if (!is_late && !(has_turn && admit (m, b, b->wanted_bytes, now_ms)))
			continue;
		*verdict = is_late ? CS_BODY_REFUSED : CS_BODY_ADMITTED;
		stop_waiting (m, b);
		return b;
	}
	return NULL;
}

static void
record_release (cs_body_memory_t *m, size_t bytes, int64_t held_ms)
{
	double weight = (double)bytes * HOLD_GAIN;
	double gain = m->hold_ms == 0 ? 1 : weight / (weight + (double)m->memory.max);
	m->hold_ms += gain * ((double)held_ms - m->hold_ms);
}

void
cs_body_memory_shrink (cs_body_memory_t *m, cs_body_t *b, size_t size, int64_t now_ms)
{
	if (!size)
		stop_waiting (m, b);
	if (size >= b->held_bytes)
		return;
	if (b->held_bytes > CS_BODY_SMALL_BYTES)
		record_release (m, b->held_bytes - size, now_ms - b->admitted_ms);
	cs_answer_memory_charge (&m->memory, &b->held_bytes, size);
}

uint32_t
cs_body_memory_retry_ms (const cs_body_memory_t *m, size_t size)
{
	int64_t ms = expected_wait_ms (m, size);
	if (ms < MIN_RETRY_MS)
		return MIN_RETRY_MS;
	return ms < MAX_RETRY_MS ? (uint32_t)ms : MAX_RETRY_MS;
}

bool
cs_body_memory_may_drop (const cs_body_memory_t *m, const cs_body_t *b, int64_t heard_ms,
			 int64_t deadline_ms, int64_t now_ms)
{
	if (b->held_bytes <= CS_BODY_SMALL_BYTES || b->wanted_bytes)
		return false;
	return now_ms >= deadline_ms || (m->waiting && now_ms >= heard_ms + CS_BODY_STALL_MS);
}
