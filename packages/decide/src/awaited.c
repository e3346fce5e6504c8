#include "cs/awaited.h"

void
cs_awaited_begin (cs_awaited_t *a, int64_t now_ms, size_t n_members)
{
	a->broken_ms = now_ms;
	a->unanswered = n_members >= CS_AWAITED_MAX ? UINT64_MAX : (UINT64_C (1) << n_members) - 1;
	a->dead = false;
}

cs_awaited_state_t
cs_awaited_answer (cs_awaited_t *a, size_t member, int64_t asked_ms, bool dead)
{
	uint64_t bit = member < CS_AWAITED_MAX ? UINT64_C (1) << member : 0;
	a->dead |= dead;
	if (a->dead)
		return CS_AWAITED_DEAD;
	if (!(a->unanswered & bit))
		return CS_AWAITED_MORE;
	if (asked_ms < a->broken_ms)
		return CS_AWAITED_ASK;
	a->unanswered &= ~bit;
	return a->unanswered ? CS_AWAITED_MORE : CS_AWAITED_ALL;
}
