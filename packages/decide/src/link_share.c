#include "cs/link_share.h"

enum {
	BITS_PER_BYTE = 8,
	US_PER_MS = 1000,
	AHEAD_MS = 60 /* between two looks; what is sent then is queued at the link */
};

static const double unknown_mbps = 20;
static const double share = 0.5;

bool
cs_link_share_is_free (const cs_link_share_t *l, int64_t now_ms)
{
	return l->until_us < (now_ms + AHEAD_MS) * US_PER_MS;
}

void
cs_link_share_take (cs_link_share_t *l, size_t bytes, int64_t now_ms)
{
	double mbps = (l->mbps > 0 ? l->mbps : unknown_mbps) * share;
	if (l->until_us < now_ms * US_PER_MS)
		l->until_us = now_ms * US_PER_MS;
	l->until_us += (int64_t)((double)(bytes * BITS_PER_BYTE) / mbps);
}
