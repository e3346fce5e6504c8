/* Decides whether to wait for a silent VM, from the history of silences. */
#include "plan_internal.h"

/* Added to the observed silences while the history holds fewer than N_PRIOR_SILENCES. */
static const cs_planner_silence_t prior_silences[] = {
	{8000, true},
	{20000, true},
	{60000, false},
	{120000, false},
};

enum {
	N_PRIOR_SILENCES = sizeof prior_silences / sizeof *prior_silences
};

void
plan_record_silence (plan_context_t *w, int64_t ms, bool kept)
{
	cs_planner_t *p = w->p;
	p->silences[p->n_silences++ % CS_PLANNER_SILENCES_MAX] = (cs_planner_silence_t){ms, kept};
}

/* Fills the list with the silences longer than silence_ms; returns their number. */
static size_t
longer_silences (const cs_planner_t *p, int64_t silence_ms, cs_planner_silence_t *list)
{
	size_t n_recorded = p->n_silences;
	size_t n = 0;
	if (n_recorded > CS_PLANNER_SILENCES_MAX)
		n_recorded = CS_PLANNER_SILENCES_MAX;
	for (size_t i = 0; i < n_recorded; i++)
		if (p->silences[i].ms > silence_ms)
			list[n++] = p->silences[i];
	for (size_t i = 0; n_recorded < N_PRIOR_SILENCES && i < N_PRIOR_SILENCES; i++)
		if (prior_silences[i].ms > silence_ms)
			list[n++] = prior_silences[i];
	return n;
}

/* Expected time until the group is whole if the planner waits until the silence has lasted
 * until_ms and then starts the load on a substitute. */
static int64_t
expected_whole_ms (const cs_planner_silence_t *list, size_t n, int64_t silence_ms, int64_t until_ms,
		   int64_t load_ms)
{
	int64_t sum = 0;
	for (size_t i = 0; i < n; i++) {
		bool ends = list[i].ms <= until_ms;
		sum += (ends ? list[i].ms : until_ms) - silence_ms;
		sum += ends && list[i].held_assignment ? 0 : load_ms;
	}
	return sum / (int64_t)n;
}

bool
plan_is_wait_faster (const plan_context_t *w, int64_t silence_ms, int64_t load_ms)
{
	cs_planner_silence_t list[CS_PLANNER_SILENCES_MAX + N_PRIOR_SILENCES];
	size_t n = longer_silences (w->p, silence_ms, list);
	for (size_t i = 0; i < n; i++)
		if (expected_whole_ms (list, n, silence_ms, list[i].ms, load_ms) < load_ms)
			return true;
	return false;
}
