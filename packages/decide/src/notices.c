#include "cs/notices.h"

#include "cs/bucket.h"

void
cs_notices_init (cs_notices_t *n)
{
	*n = (cs_notices_t){CS_NOTICES_BURST, CS_NOTICES_PER_S, 0, CS_NOTICES_BURST};
}

void
cs_notices_init_breaks (cs_notices_t *n)
{
	*n = (cs_notices_t){CS_NOTICES_BREAK_BURST, CS_NOTICES_BREAKS_PER_S, 0,
			    CS_NOTICES_BREAK_BURST};
}

bool
cs_notices_try_acquire (cs_notices_t *n, int64_t now_ms, bool store_unreachable)
{
	n->tokens = cs_bucket_refill (n->tokens, n->per_s, now_ms - n->refilled_ms, n->burst);
	n->refilled_ms = now_ms;
	if (store_unreachable || n->tokens < 1)
		return false;
	n->tokens--;
	return true;
}
