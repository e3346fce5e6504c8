#include "cs/stop.h"

cs_stop_phase_t
cs_stop_phase (int64_t stopping_ms, int64_t now_ms, uint32_t grace_ms, size_t in_progress)
{
	int64_t elapsed_ms = now_ms - stopping_ms;
	if (!stopping_ms)
		return CS_STOP_NONE;
	if (elapsed_ms >= (int64_t)grace_ms - CS_STOP_MARGIN_MS)
		return CS_STOP_EXIT;
	if (elapsed_ms < CS_STOP_BALANCER_MS)
		return CS_STOP_ACCEPTING;
	return in_progress ? CS_STOP_REFUSING : CS_STOP_EXIT;
}
