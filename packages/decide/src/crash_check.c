#include "cs/crash_check.h"

void
cs_crash_check_begin (cs_crash_check_t *c, int64_t now_ms, size_t n_members)
{
	c->broken_ms = now_ms;
	c->unanswered = n_members >= CS_CRASH_CHECK_MAX_MEMBERS ? UINT64_MAX
								: (UINT64_C (1) << n_members) - 1;
	c->dead = false;
	c->repolls = 0;
}

static uint64_t
bit_of (size_t member)
{
	return member < CS_CRASH_CHECK_MAX_MEMBERS ? UINT64_C (1) << member : 0;
}

cs_crash_check_state_t
cs_crash_check_no_answer (cs_crash_check_t *c, size_t member)
{
	if (c->dead)
		return CS_CRASH_CHECK_DEAD;
	if (!(c->unanswered & bit_of (member)) || c->repolls >= CS_CRASH_CHECK_MAX_REPOLLS)
		return CS_CRASH_CHECK_PENDING;
	c->repolls++;
	return CS_CRASH_CHECK_REPOLL;
}

cs_crash_check_state_t
cs_crash_check_answer (cs_crash_check_t *c, size_t member, int64_t poll_sent_ms, bool dead)
{
	uint64_t bit = bit_of (member);
	c->dead |= dead;
	if (c->dead)
		return CS_CRASH_CHECK_DEAD;
	if (!(c->unanswered & bit))
		return CS_CRASH_CHECK_PENDING;
	if (poll_sent_ms < c->broken_ms)
		return CS_CRASH_CHECK_REPOLL;
	c->unanswered &= ~bit;
	return c->unanswered ? CS_CRASH_CHECK_PENDING : CS_CRASH_CHECK_ALL_ALIVE;
}
