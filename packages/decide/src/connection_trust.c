#include "cs/connection_trust.h"

bool
cs_connection_trust_lose (cs_connection_trust_t *t, uint32_t generation)
{
	if (generation != t->generation)
		return false;
	t->generation++;
	return true;
}

bool
cs_connection_trust_is_lost (const cs_connection_trust_t *t, uint32_t generation)
{
	return generation != t->generation;
}
