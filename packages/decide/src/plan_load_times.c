/* Estimates load times from loads observed from the order to READY, and detects loads that have
 * timed out. */
#include "plan_internal.h"

#include <string.h>

enum {
	ESTIMATE_PARTS = 4, /* the latest load has weight 1/ESTIMATE_PARTS in the estimate */
	OVERDUE_FACTOR = 4  /* a load times out after so many times the expected time */
};

static cs_planner_load_t *
find_load (const plan_context_t *w, uint64_t weights)
{
	cs_planner_t *p = w->p;
	size_t n = p->n_load_times < CS_PLANNER_LOADS_MAX ? p->n_load_times : CS_PLANNER_LOADS_MAX;
	for (size_t i = 0; i < n; i++)
		if (p->load_times[i].weights == weights)
			return &p->load_times[i];
	return NULL;
}

int64_t
plan_one_load_ms (const plan_context_t *w, uint64_t weights)
{
	const cs_planner_load_t *estimate = find_load (w, weights);
	return estimate && !plan_is_disabled (w, CS_PLANNER_LOAD_TIMES) ? estimate->ms
									: w->p->options.load_ms;
}

void
plan_record_load_time (plan_context_t *w, uint64_t weights, int64_t ms)
{
	cs_planner_t *p = w->p;
	cs_planner_load_t *estimate = find_load (w, weights);
	if (estimate)
		estimate->ms = (estimate->ms * (ESTIMATE_PARTS - 1) + ms) / ESTIMATE_PARTS;
	else
		p->load_times[p->n_load_times++ % CS_PLANNER_LOADS_MAX] =
			(cs_planner_load_t){weights, ms};
}

/* Observed duration of a load; the time before the end of this planner's last pause is left out. */
static int64_t
load_duration_ms (const plan_context_t *w, const cs_planner_intent_t *loading)
{
	int64_t since_ms = w->p->started_ms;
	return w->in->now_ms - (loading->since_ms > since_ms ? loading->since_ms : since_ms);
}

bool
plan_is_load_overdue (const plan_context_t *w, const cs_vm_report_t *r)
{
	if (r->state != CS_MEMBER_LOADING || plan_is_disabled (w, CS_PLANNER_OVERDUE))
		return false;
	const cs_planner_intent_t *loading = plan_find_intent (w, "loading", r->vm, r->fence);
	if (!loading)
		return false;
	int64_t expected_ms = plan_time_for_loads_ms (w, loading->weights, 1);
	if (expected_ms < w->p->options.load_ms)
		expected_ms = w->p->options.load_ms;
	return load_duration_ms (w, loading) > OVERDUE_FACTOR * expected_ms;
}

int64_t
plan_overdue_load_ms (const plan_context_t *w, const cs_group_t *g, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	if (!r || !plan_reports_assignment (g, r) || !plan_is_load_overdue (w, r))
		return 0;
	return load_duration_ms (w, plan_find_intent (w, "loading", r->vm, r->fence));
}

/* Tracks one load. order: the intent that ordered it, NULL if another planner did. */
static void
observe_report (plan_context_t *w, const cs_vm_report_t *r, cs_planner_intent_t *order,
		uint64_t weights)
{
	cs_planner_intent_t *loading = plan_find_intent (w, "loading", r->vm, r->fence);
	if (r->state == CS_MEMBER_READY) {
		if (order && order->from_store)
			plan_record_load_time (w, weights, w->in->now_ms - order->first_action_ms);
		else if (loading && loading->from_store)
			plan_record_load_time (w, weights,
					       w->in->now_ms - loading->first_action_ms);
		if (order)
			order->from_store = false;
		return;
	}
	cs_planner_intent_t *intent = plan_intent (w, "loading", r->vm, r->fence);
	intent->weights = weights;
	if (loading || !order)
		return;
	intent->from_store = order->from_store;
	intent->first_action_ms = order->first_action_ms;
}

/* Tracks the load of a VM that is free or a member of a group that is not whole. */
static void
observe_vm (plan_context_t *w, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	cs_planner_intent_t *order = plan_find_warm_order (w, vm, r);
	if (order)
		order->run = w->p->run;
	if (order)
		observe_report (w, r, order, order->weights);
	else if (r && vm->group && plan_reports_assignment (vm->group, r))
		observe_report (w, r, plan_find_intent (w, "load", vm->vm, vm->fence),
				plan_hash_weights (vm->group->model, vm->group->version));
}

void
plan_observe_loads (plan_context_t *w)
{
	for (size_t i = 0; i < w->n_targets; i++) {
		const target_t *t = &w->targets[i];
		if (!t->group || (t->whole && t->assignment->whole_run + 1 == w->p->run))
			continue;
		for (size_t k = 0; k < t->group->n_members; k++)
			observe_vm (w, t->group->members[k]);
	}
	for (size_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].whole)
			w->targets[i].assignment->whole_run = w->p->run;
	for (size_t i = 0; i < w->n_vms; i++)
		if (w->vms[i]->use == CS_VM_FREE)
			observe_vm (w, w->vms[i]);
}
