#include "cs/read_times.h"

enum {
	PERCENT = 100,
	/* A change reaches daemons within 1.0 s whatever the bound: longer ones give no more time.
	 */
	MAX_BOUND_MS = 2000
};

static uint32_t
share (uint32_t bound_ms, uint32_t percent)
{
	uint32_t ms = bound_ms && bound_ms < MAX_BOUND_MS ? bound_ms : MAX_BOUND_MS;
	return ms * percent / PERCENT;
}

cs_read_times_t
cs_read_times (uint32_t bound_ms)
{
	return (cs_read_times_t){
		.store_wait = share (bound_ms, 25),
		.late_min = share (bound_ms, 10),
		.late_max = share (bound_ms, 25),
		.give_up = share (bound_ms, 50),
		.reader_wait = share (bound_ms, 35),
		.reader_late = share (bound_ms, 12),
		.reader_age = share (bound_ms, 45),
		.reader_check = share (bound_ms, 3),
	};
}
