/* Sliding window of a limit: number of occupied slots by the time step that frees them. */
#include "limits_impl.h"

static int64_t
step_of (int64_t ms)
{
	return (ms + CS_LIMITS_STEP_MS - 1) / CS_LIMITS_STEP_MS;
}

static int64_t
min_i64 (int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static void
occupy_step (cs_window_t *w, int64_t step, int64_t n)
{
	w->returning[step % CS_LIMITS_STEPS] += (uint32_t)n;
	w->occupied += n;
}

void
cs_window_occupy (cs_window_t *w, int64_t return_ms, int64_t n)
{
	int64_t step = step_of (return_ms);
	if (step > w->step && n > 0)
		occupy_step (w, min_i64 (step, w->step + CS_LIMITS_STEPS - 1), n);
}

void
cs_window_defer (cs_window_t *w, int64_t return_ms, int64_t n)
{
	int64_t step = min_i64 (step_of (return_ms), w->step + CS_LIMITS_STEPS - 1);
	if (step <= w->step || n <= 0)
		return;
	w->deferred[step % CS_LIMITS_STEPS] += (uint32_t)n;
	occupy_step (w, step, n);
}

void
cs_window_release (cs_window_t *w, int64_t return_ms, int64_t n)
{
	int64_t step = step_of (return_ms);
	if (step <= w->step || step >= w->step + CS_LIMITS_STEPS)
		return;
	int64_t used = w->returning[step % CS_LIMITS_STEPS] - w->deferred[step % CS_LIMITS_STEPS];
	occupy_step (w, step, -min_i64 (n, used));
}

void
cs_window_release_deferred (cs_window_t *w, int64_t n)
{
	for (int64_t step = w->step + CS_LIMITS_STEPS - 1; n > 0 && step > w->step; step--) {
		int64_t released = min_i64 (n, w->deferred[step % CS_LIMITS_STEPS]);
		w->deferred[step % CS_LIMITS_STEPS] -= (uint32_t)released;
		occupy_step (w, step, -released);
		n -= released;
	}
}

void
cs_window_advance (cs_window_t *w, int64_t now_ms)
{
	int64_t now = now_ms / CS_LIMITS_STEP_MS;
	if (now - w->step > CS_LIMITS_STEPS)
		w->step = now - CS_LIMITS_STEPS;
	while (w->step < now) {
		w->step++;
		int64_t n = w->returning[w->step % CS_LIMITS_STEPS];
		int64_t paid = min_i64 (n, w->debt);
		w->deferred[w->step % CS_LIMITS_STEPS] = 0;
		occupy_step (w, w->step, -n);
		w->debt -= paid;
		cs_window_occupy (w, w->step * CS_LIMITS_STEP_MS + CS_LIMITS_MINUTE_MS, paid);
	}
}

void
cs_window_pay_debt (cs_window_t *w, int64_t now_ms, int64_t free)
{
	int64_t paid = min_i64 (free, w->debt);
	if (paid <= 0)
		return;
	w->debt -= paid;
	cs_window_occupy (w, now_ms + CS_LIMITS_MINUTE_MS, paid);
}
