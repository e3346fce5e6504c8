#include "cs/crash_check.h"

void
cs_crash_check_begin (cs_crash_check_t *a, int64_t now_ms, size_t n_members)
{
	a->broken_ms = now_ms;
	a->unanswered = n_members >= CS_CRASH_CHECK_MAX_MEMBERS ? UINT64_MAX
								: (UINT64_C (1) << n_members) - 1;
	a->dead = false;
}

cs_crash_check_state_t
cs_crash_check_answer (cs_crash_check_t *a, size_t member, int64_t asked_ms, bool dead)
{
	uint64_t bit = member < CS_CRASH_CHECK_MAX_MEMBERS ? UINT64_C (1) << member : 0;
	a->dead |= dead;
	if (a->dead)
		return CS_CRASH_CHECK_DEAD;
	if (!(a->unanswered & bit))
		return CS_CRASH_CHECK_PENDING;
	if (asked_ms < a->broken_ms)
		return CS_CRASH_CHECK_REPOLL;
	a->unanswered &= ~bit;
	return a->unanswered ? CS_CRASH_CHECK_PENDING : CS_CRASH_CHECK_ALL_ALIVE;
}
