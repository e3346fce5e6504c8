/* When a call without an answer is made once more, beside the first.
 *
 * Load: of hundreds of daemons whose connections fall silent each must have a change within a part
 * of the time in which it has to be in force, so that waiting for the call's time-out is too long.
 * But a server that is slow for all of them must not get each call twice: what counts as late
 * follows the times that answers took lately, within bounds.
 *
 * All times are in milliseconds. */
#ifndef CS_LATE_ANSWER_H
#define CS_LATE_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	uint32_t min_ms;
	uint32_t max_ms;
	uint32_t usual_ms; /* of the slow answers lately */
} cs_late_answer_t;

/* Records that an answer took took_ms to a call that the server may hold for wait_ms. */
void cs_late_answer_took (cs_late_answer_t *l, uint32_t took_ms, uint32_t wait_ms);
/* Time after which a call that the server may hold for wait_ms is late. */
uint32_t cs_late_answer_after (const cs_late_answer_t *l, uint32_t wait_ms);

enum {
	CS_CALLS_MAX = 3 /* the same call, on as many connections */
};

typedef struct {
	bool repeats;      /* make the call once more; false: it has failed */
	uint32_t after_ms; /* from now */
} cs_late_answer_step_t;

/* What is next for a call that was first made since_ms ago, and n_calls times in all, if nothing is
 * answered. It fails give_up_ms beyond its wait. */
cs_late_answer_step_t cs_late_answer_next (const cs_late_answer_t *l, uint32_t wait_ms,
					   uint32_t give_up_ms, uint32_t since_ms, int n_calls);

#endif
