#include "cs/reader_candidate.h"

enum {
	MIN_LINK_MBPS = 100,
	/* Longer than the time between two joins of a member: none is listed behind an outage. */
	MIN_NONE_MS = 1600,
	SPREAD_MS = 1500
};

void
cs_reader_candidate_init (cs_reader_candidate_t *c, double link_mbps, uint64_t spread)
{
	*c = (cs_reader_candidate_t){.is_candidate = link_mbps <= 0 || link_mbps >= MIN_LINK_MBPS,
				     .spread = (uint32_t)(spread % SPREAD_MS)};
}

int64_t
cs_reader_candidate_looked (cs_reader_candidate_t *c, int64_t now_ms, uint32_t n_readers)
{
	if (c->is_candidate)
		return 0;
	if (n_readers) {
		c->none_since_ms = 0;
		return 0;
	}
	if (!c->none_since_ms)
		c->none_since_ms = now_ms;
	c->is_candidate = now_ms - c->none_since_ms >= MIN_NONE_MS;
	return c->is_candidate ? 0 : MIN_NONE_MS + c->spread;
}
