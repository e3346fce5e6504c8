#include "cs/late_answer.h"

enum {
	MULTIPLE_OF_USUAL = 2,
	DECAY = 8 /* of answers after which a slow one counts a third */
};

void
cs_late_answer_took (cs_late_answer_t *l, uint32_t took_ms, uint32_t wait_ms)
{
	/* How long the server held an earlier answer is not known. */
	if (wait_ms && took_ms < wait_ms)
		return;
	uint32_t beyond_ms = took_ms - wait_ms;
	if (beyond_ms > l->usual_ms)
		l->usual_ms = beyond_ms;
	else
		l->usual_ms -= (l->usual_ms - beyond_ms + DECAY - 1) / DECAY;
}

uint32_t
cs_late_answer_after (const cs_late_answer_t *l, uint32_t wait_ms)
{
	uint32_t ms = MULTIPLE_OF_USUAL * l->usual_ms;
	if (ms < l->min_ms)
		ms = l->min_ms;
	return wait_ms + (ms < l->max_ms ? ms : l->max_ms);
}

cs_late_answer_step_t
cs_late_answer_next (const cs_late_answer_t *l, uint32_t wait_ms, uint32_t give_up_ms,
		     uint32_t since_ms, int n_calls)
{
	uint32_t end_ms = wait_ms + give_up_ms;
	uint32_t left_ms = end_ms > since_ms ? end_ms - since_ms : 0;
	uint32_t late_ms = n_calls > 1 ? l->max_ms : cs_late_answer_after (l, wait_ms);
	bool repeats = n_calls < CS_CALLS_MAX && late_ms < left_ms;
	/* Calls that were repeated in quick succession fail early, so that a new one is made. */
	bool ends_early = n_calls >= CS_CALLS_MAX && l->max_ms < left_ms;
	return (cs_late_answer_step_t){repeats, repeats      ? late_ms
						: ends_early ? l->max_ms
							     : left_ms};
}
