#include "cs/retry.h"

#include <string.h>

enum {
	SECOND_MS = 1000,
	BASE_DELAY_MS = 25, /* largest delay before the first retry */
	MAX_DELAY_MS = 1000 /* largest delay before any retry */
};

void
cs_retry_init (cs_retry_t *r, const cs_retry_options_t *options)
{
	memset (r, 0, sizeof *r);
	r->options = *options;
	cs_rng_init (&r->rng, options->seed);
}

void
cs_retry_set_percent (cs_retry_t *r, uint32_t percent)
{
	r->options.percent = percent;
}

/* Advances the window to the current second and clears the counts of the seconds that enter it. */
static void
advance_window (cs_retry_t *r, int64_t now_ms)
{
	int64_t second = now_ms / SECOND_MS;
	if (second - r->second > CS_RETRY_WINDOW_S)
		r->second = second - CS_RETRY_WINDOW_S;
	while (r->second < second) {
		r->second++;
		r->firsts[r->second % CS_RETRY_WINDOW_S] = 0;
		r->retries[r->second % CS_RETRY_WINDOW_S] = 0;
	}
}

void
cs_retry_count_first_try (cs_retry_t *r, int64_t now_ms)
{
	advance_window (r, now_ms);
	r->firsts[r->second % CS_RETRY_WINDOW_S]++;
}

static bool
has_budget (const cs_retry_t *r)
{
	uint64_t firsts = 0;
	uint64_t retries = 0;
	if (!r->options.percent)
		return false;
	for (int i = 0; i < CS_RETRY_WINDOW_S; i++) {
		firsts += r->firsts[i];
		retries += r->retries[i];
	}
	uint64_t share = firsts * r->options.percent / 100;
	uint64_t minimum = (uint64_t)CS_RETRY_MIN_PER_S * CS_RETRY_WINDOW_S;
	return retries < (share > minimum ? share : minimum);
}

/* Returns why no retry is allowed, or CS_RETRY_ALLOWED; does not consider the budget. */
static cs_retry_reason_t
find_denial_reason (const cs_retry_t *r, int64_t now_ms, const cs_retry_attempt_t *failed,
		    int64_t delay_ms)
{
	uint32_t disabled = r->options.disabled;
	if (failed->is_protected && failed->sent && !(disabled & CS_RETRY_NO_PROTECTED_CHECK))
		return CS_RETRY_PROTECTED;
	if (failed->reached_caller && !failed->resumable && !(disabled & CS_RETRY_NO_CALLER_CHECK))
		return CS_RETRY_PARTIAL_ANSWER;
	if (failed->attempt >= CS_RETRY_MAX_ATTEMPTS)
		return CS_RETRY_ATTEMPTS;
	if (failed->deadline_ms && now_ms + delay_ms >= failed->deadline_ms)
		return CS_RETRY_DEADLINE;
	return CS_RETRY_ALLOWED;
}

/* Full jitter: uniform below a bound that doubles with each attempt. */
static int64_t
pick_delay_ms (cs_retry_t *r, uint32_t attempt)
{
	uint32_t bound_ms = BASE_DELAY_MS;
	for (uint32_t i = 1; i < attempt && bound_ms < MAX_DELAY_MS; i++)
		bound_ms *= 2;
	return cs_rng_below (&r->rng, bound_ms < MAX_DELAY_MS ? bound_ms : MAX_DELAY_MS);
}

cs_retry_verdict_t
cs_retry_decide (cs_retry_t *r, int64_t now_ms, const cs_retry_attempt_t *failed, int64_t *delay_ms,
		 cs_retry_reason_t *reason)
{
	advance_window (r, now_ms);
	*delay_ms = pick_delay_ms (r, failed->attempt);
	*reason = find_denial_reason (r, now_ms, failed, *delay_ms);
	if (*reason == CS_RETRY_ALLOWED && !has_budget (r) &&
	    !(r->options.disabled & CS_RETRY_NO_BUDGET))
		*reason = CS_RETRY_BUDGET;
	if (*reason != CS_RETRY_ALLOWED)
		return CS_RETRY_NO;
	r->retries[r->second % CS_RETRY_WINDOW_S]++;
	return failed->reached_caller ? CS_RETRY_RESUME : CS_RETRY_AGAIN;
}

const char *
cs_retry_reason_name (cs_retry_reason_t reason)
{
	static const char *const names[] = {
		[CS_RETRY_ALLOWED] = "allowed",           [CS_RETRY_PROTECTED] = "protected",
		[CS_RETRY_PARTIAL_ANSWER] = "caller-has", [CS_RETRY_DEADLINE] = "late",
		[CS_RETRY_ATTEMPTS] = "attempts",         [CS_RETRY_BUDGET] = "budget",
	};
	return names[reason];
}
