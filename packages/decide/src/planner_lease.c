#include "cs/planner_lease.h"

cs_planner_lease_result_t
cs_planner_lease_renewed (cs_planner_lease_t *t, int64_t now_ms, int64_t sent_ms, uint32_t lease_ms,
			  bool held, uint64_t generation, uint64_t era)
{
	bool has_expired = now_ms >= t->lease_expires_ms;
	bool is_continued =
		t->held && era == t->era && (!has_expired || generation == t->generation);
	t->held = held;
	t->generation = generation;
	t->era = era;
	t->lease_expires_ms =
		sent_ms + (int64_t)lease_ms * (100 - CS_PLANNER_LEASE_MARGIN_PERCENT) / 100;
	if (!held)
		return CS_PLANNER_LEASE_NOT_HELD;
	return is_continued ? CS_PLANNER_LEASE_CONTINUED : CS_PLANNER_LEASE_ACQUIRED;
}
