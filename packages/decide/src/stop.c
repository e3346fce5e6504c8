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

cs_stop_answer_t
cs_stop_answer (const cs_stop_request_t *r)
{
	if (r->has_ended)
		return CS_STOP_LEAVE_ALONE;
	if (r->has_head)
		return CS_STOP_CUT;
	return r->runs || r->is_at_back_end ? CS_STOP_MAY_HAVE_RUN : CS_STOP_NOT_RUN;
}
