#include "cs/unproven_answers.h"

#include <stdlib.h>
#include <string.h>

#include "cs/str.h"

enum {
	ALMOST_ONCE_MS = 100, /* connections of a back end that ends break within this time */
	NOTES_MS = 500        /* breaks that other daemons saw are read within this time */
};

cs_unproven_t
cs_unproven_decide (int64_t now_ms, int64_t ended_ms, const cs_unproven_evidence_t *e)
{
	if (e->answered_ms > ended_ms)
		return CS_UNPROVEN_WHOLE;
	if (e->end_ms > ended_ms + ALMOST_ONCE_MS)
		return CS_UNPROVEN_UNKNOWN;
	bool is_told = e->end_ms || now_ms - e->broken_ms >= NOTES_MS;
	if (!e->is_listed || (e->broken_ms >= ended_ms - ALMOST_ONCE_MS && is_told))
		return CS_UNPROVEN_BROKEN;
	return CS_UNPROVEN_UNKNOWN;
}

void
cs_unproven_answers_remove (cs_unproven_answers_t *u, size_t i)
{
	free (u->items[i].back_end);
	free (u->items[i].keys);
	memmove (u->items + i, u->items + i + 1, (--u->n - i) * sizeof *u->items);
}

void
cs_unproven_answers_add (cs_unproven_answers_t *u, const cs_unproven_answer_t *a)
{
	if (u->n == CS_UNPROVEN_MAX)
		cs_unproven_answers_remove (u, 0);
	cs_unproven_answer_t *copy = &u->items[u->n++];
	*copy = *a;
	copy->back_end = cs_str_dup (cs_str (a->back_end));
	copy->keys = cs_alloc (a->n * sizeof *a->keys);
	memcpy (copy->keys, a->keys, a->n * sizeof *a->keys);
}

void
cs_unproven_answers_finish (cs_unproven_answers_t *u)
{
	while (u->n)
		cs_unproven_answers_remove (u, u->n - 1);
}
