/* Cost model: expected load times, and the cost of an action compared with waiting. */
#include "plan_internal.h"

int64_t
plan_time_for_loads_ms (const plan_context_t *w, uint64_t weights, size_t loads)
{
	const cs_planner_options_t *o = &w->p->options;
	size_t width = o->max_loads ? o->max_loads : 1;
	size_t rounds = loads ? (w->pending_loads + loads + width - 1) / width : 0;
	return o->bind_ms + (int64_t)rounds * plan_one_load_ms (w, weights);
}

bool
plan_is_action_cheaper (const plan_context_t *w, double action_cost, double wait_cost)
{
	return action_cost < w->p->options.max_cost_ratio * wait_cost;
}
