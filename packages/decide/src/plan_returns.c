/* Whether to wait for a silent VM, judged by how earlier silences have ended. */
#include "plan_internal.h"

/* What is assumed until as many silences have been seen. */
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

/* Fills the list with the silences that lasted longer than this one has until now. */
static size_t
longer_silences (const cs_planner_t *p, int64_t silence_ms, cs_planner_silence_t *list)
{
	size_t seen = p->n_silences;
	size_t n = 0;
	if (seen > CS_PLANNER_SILENCES_MAX)
		seen = CS_PLANNER_SILENCES_MAX;
	for (size_t i = 0; i < seen; i++)
		if (p->silences[i].ms > silence_ms)
			list[n++] = p->silences[i];
	for (size_t i = 0; seen < N_PRIOR_SILENCES && i < N_PRIOR_SILENCES; i++)
		if (prior_silences[i].ms > silence_ms)
			list[n++] = prior_silences[i];
	return n;
}

/* Expected time until the group is whole, if it is waited until the silence has lasted
 * until_ms and the load begins then. */
static int64_t
expected_whole_ms (const cs_planner_silence_t *list, size_t n, int64_t silence_ms, int64_t until_ms,
		   int64_t load_ms)
{
	int64_t sum = 0;
	for (size_t i = 0; i < n; i++) {
		bool ends = list[i].ms <= until_ms;
		sum += (ends ? list[i].ms : until_ms) - silence_ms;
		sum += ends && list[i].kept ? 0 : load_ms;
	}
	return sum / (int64_t)n;
}

bool
plan_wait_pays (const plan_context_t *w, int64_t silence_ms, int64_t load_ms)
{
	cs_planner_silence_t list[CS_PLANNER_SILENCES_MAX + N_PRIOR_SILENCES];
	size_t n = longer_silences (w->p, silence_ms, list);
	for (size_t i = 0; i < n; i++)
		if (expected_whole_ms (list, n, silence_ms, list[i].ms, load_ms) < load_ms)
			return true;
	return false;
}
