#include "cs/notices.h"

enum {
	NOTICE_MS = 1000 / CS_NOTICES_PER_S,
	FULL_MS = CS_NOTICES_BURST * NOTICE_MS
};

void
cs_notices_init (cs_notices_t *n)
{
	n->refilled_ms = 0;
	n->credit_ms = FULL_MS;
}

bool
cs_notices_take (cs_notices_t *n, int64_t now_ms, bool store_away)
{
	n->credit_ms += now_ms - n->refilled_ms;
	n->refilled_ms = now_ms;
	if (n->credit_ms > FULL_MS)
		n->credit_ms = FULL_MS;
	if (store_away || n->credit_ms < NOTICE_MS)
		return false;
	n->credit_ms -= NOTICE_MS;
	return true;
}
