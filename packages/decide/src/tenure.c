#include "cs/tenure.h"

cs_tenure_step_t
cs_tenure_renewed (cs_tenure_t *t, int64_t now_ms, int64_t asked_ms, uint32_t lease_ms, bool held,
		   uint64_t generation)
{
	bool expired = now_ms >= t->until_ms;
	bool continues = t->held && (!expired || generation == t->generation);
	t->held = held;
	t->generation = generation;
	t->until_ms = asked_ms + (int64_t)lease_ms * (100 - CS_TENURE_MARGIN_PERCENT) / 100;
	if (!held)
		return CS_TENURE_NONE;
	return continues ? CS_TENURE_ON : CS_TENURE_NEW;
}
