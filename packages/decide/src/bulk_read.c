#include "cs/bulk_read.h"

static uint32_t
left (uint32_t limit_ms, uint32_t since_ms)
{
	return limit_ms > since_ms ? limit_ms - since_ms : 0;
}

cs_late_answer_step_t
cs_bulk_read_next (uint32_t since_ms, uint32_t last_ms, int n_calls, bool is_overtaken,
		   uint32_t spread)
{
	uint32_t late_ms = (is_overtaken ? CS_BULK_OVERTAKEN_MS : CS_BULK_LATE_MS) +
			   spread % CS_BULK_SPREAD_MS;
	uint32_t repeat_ms = left (late_ms, last_ms);
	uint32_t end_ms = left (CS_BULK_GIVE_UP_MS, since_ms);
	bool repeats = n_calls < CS_CALLS_MAX && repeat_ms < end_ms;
	return (cs_late_answer_step_t){repeats, repeats ? repeat_ms : end_ms};
}
