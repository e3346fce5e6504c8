/* Warm spares: spares load the weights of a declared model before a group needs them. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

enum {
	WARM_REPEAT_MS = 30000, /* retry interval for engines that reject a load without a group */
	SPARE_LOADS_DIVISOR = 2 /* spares get 1/SPARE_LOADS_DIVISOR of the concurrent loads */
};

bool
plan_is_warm (const cs_vm_t *vm, const cs_vm_report_t *r)
{
	return r->state != CS_MEMBER_IDLE && !*r->group && r->fence == vm->fence;
}

cs_planner_intent_t *
plan_find_warm_order (const plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *r)
{
	if (!r || r->state == CS_MEMBER_IDLE || *r->group)
		return NULL;
	return plan_find_intent (w, "warm", vm->vm, r->fence);
}

warmth_t
plan_warmth (const plan_context_t *w, const cs_vm_t *vm, uint64_t weights)
{
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	const cs_planner_intent_t *order = plan_find_warm_order (w, vm, r);
	if (!order)
		return WARMTH_NONE;
	/* Before the order expires, the report may be older than the order. */
	if (order->weights != weights ||
	    r->at_ms < order->last_action_ms + w->p->options.order_lifetime_ms)
		return WARMTH_OTHER;
	if (r->state == CS_MEMBER_READY)
		return WARMTH_READY;
	return plan_is_load_overdue (w, r) ? WARMTH_OTHER : WARMTH_LOADING;
}

size_t
plan_count_warm (const plan_context_t *w, const domain_t *d, const Cs__ModelGroup *spec)
{
	uint64_t weights = plan_hash_spec_weights (spec);
	size_t n = 0;
	for (size_t i = 0; i < d->n_spares; i++)
		n += plan_warmth (w, d->spares[i], weights) == WARMTH_READY;
	return n;
}

static const cs_desired_t *
find_declared (const plan_context_t *w, uint64_t weights)
{
	for (size_t i = 0; i < w->in->n_desired; i++) {
		const Cs__ModelGroup *spec = w->in->desired[i].spec;
		if (plan_hash_spec_weights (spec) == weights)
			return &w->in->desired[i];
	}
	return NULL;
}

/* Loads that another planner ordered are not known here and may stay if a declaration names their
 * model. */
bool
plan_may_stay_warm (const plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *r)
{
	if (vm->use != CS_VM_FREE || !plan_is_warm (vm, r) || plan_is_disabled (w, CS_PLANNER_WARM))
		return false;
	const cs_planner_intent_t *order = plan_find_warm_order (w, vm, r);
	if (order)
		return find_declared (w, order->weights);
	for (size_t i = 0; i < w->in->n_desired; i++)
		if (!strcmp (w->in->desired[i].spec->model, r->model))
			return true;
	return false;
}

/* Members of a declaration's groups in a domain, for each spare (plus one) that has been ordered to
 * load its weights there. */
static double
members_per_spare (const plan_context_t *w, const domain_t *d, const cs_desired_t *x)
{
	uint64_t weights = plan_hash_spec_weights (x->spec);
	size_t members = 0;
	size_t spares = 1;
	for (size_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].desired == x && w->targets[i].domain == d)
			members += w->targets[i].group->n_members;
	for (size_t i = 0; i < d->n_spares; i++) {
		const cs_vm_t *vm = d->spares[i];
		const cs_planner_intent_t *order = plan_find_intent (w, "warm", vm->vm, vm->fence);
		spares += order && order->weights == weights;
	}
	return (double)members / (double)spares;
}

/* The declaration whose weights a spare should load; NULL if no group of its domain could use it.
 * A VM that holds a model stays with that model. */
static const cs_desired_t *
choose_declaration (const plan_context_t *w, const domain_t *d, const cs_vm_report_t *r)
{
	const cs_desired_t *best = NULL;
	double highest_demand = 0;
	for (size_t i = 0; i < w->in->n_desired; i++) {
		const cs_desired_t *x = &w->in->desired[i];
		if (r->state != CS_MEMBER_IDLE && strcmp (r->model, x->spec->model) != 0)
			continue;
		double demand = members_per_spare (w, d, x);
		if (demand <= highest_demand)
			continue;
		best = x;
		highest_demand = demand;
	}
	return best;
}

/* Orders one spare to load if due; true if this starts a load from the weight store. */
static bool
warm_spare (plan_context_t *w, const domain_t *d, const cs_vm_t *vm, bool may_load)
{
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	const cs_planner_intent_t *known = plan_find_intent (w, "warm", vm->vm, vm->fence);
	const cs_desired_t *x = known ? find_declared (w, known->weights) : NULL;
	may_load |= r->state != CS_MEMBER_IDLE;
	if (!x && may_load)
		x = choose_declaration (w, d, r);
	if (!x)
		return false;
	cs_planner_intent_t *intent = plan_intent (w, "warm", vm->vm, vm->fence);
	uint64_t weights = plan_hash_spec_weights (x->spec);
	if (intent->weights != weights)
		intent->last_action_ms = -1;
	intent->weights = weights;
	bool first = intent->last_action_ms < 0;
	bool loaded = !first && r->state != CS_MEMBER_IDLE;
	if (loaded || (first && !may_load) || !plan_is_due (w, intent, WARM_REPEAT_MS) ||
	    !plan_may_order (w, x->spec->fences_orders))
		return false;
	intent->last_action_ms = w->in->now_ms;
	intent->first_action_ms = w->in->now_ms;
	intent->from_store = r->state == CS_MEMBER_IDLE;
	plan_order_spare_load (w, x->spec, vm);
	return first && intent->from_store;
}

void
plan_warm_spares (plan_context_t *w, size_t n_loading)
{
	size_t limit = (w->p->options.max_loads + SPARE_LOADS_DIVISOR - 1) / SPARE_LOADS_DIVISOR;
	if (plan_is_disabled (w, CS_PLANNER_WARM))
		return;
	for (size_t i = 0; i < w->n_domains; i++) {
		const domain_t *d = &w->domains[i];
		for (size_t k = 0; k < d->n_spares; k++)
			n_loading += warm_spare (w, d, d->spares[k], n_loading < limit);
	}
}
