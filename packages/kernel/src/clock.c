#include <time.h>

#include "cs/kernel.h"

int64_t
cs_now_us (void)
{
	struct timespec t;
	clock_gettime (CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int64_t
cs_now_ms (void)
{
	return cs_now_us () / 1000;
}

int64_t
cs_time_of_day_ms (void)
{
	struct timespec t;
	clock_gettime (CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
