#include "cs/note_gather.h"

uint32_t
cs_note_gather_add (cs_note_gather_t *g, int64_t now_ms)
{
	if (!g->n++)
		g->since_ms = now_ms;
	int64_t left_ms = g->since_ms + CS_NOTE_GATHER_MS - now_ms;
	bool waits = !g->is_stopping && g->n < CS_NOTE_GATHER_MAX && left_ms > 0;
	return waits ? (uint32_t)left_ms : 0;
}

void
cs_note_gather_sent (cs_note_gather_t *g)
{
	g->n = 0;
}
