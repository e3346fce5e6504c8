#include "cs/reader_candidate.h"

enum {
	MIN_LINK_MBPS = 100,
	MIN_CORE_PERCENT = 15,
	MIN_MEMORY_BYTES = 128000000,
	PERCENT = 100,
	/* Longer than the time between two joins of a member: none is listed behind an outage. */
	MIN_NONE_MS = 1600,
	SPREAD_MS = 1500
};

static bool
is_enough (double value, double least)
{
	return value <= 0 || value >= least;
}

void
cs_reader_candidate_init (cs_reader_candidate_t *c, const cs_reader_machine_t *machine,
			  uint64_t spread)
{
	bool is_wide = is_enough (machine->link_mbps, MIN_LINK_MBPS) &&
		       is_enough (machine->cores, (double)MIN_CORE_PERCENT / PERCENT) &&
		       is_enough ((double)machine->memory_bytes, MIN_MEMORY_BYTES);
	*c = (cs_reader_candidate_t){.is_candidate = is_wide,
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
