/* Load orders to members, highest saved cost per load first. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

/* A group that is not whole and has no unfit members. */
typedef struct {
	const target_t *target;
	size_t n_loads;  /* members that have to load from the weight store */
	double priority; /* cost rate of the group's downtime, per load */
} queued_t;

bool
plan_reports_assignment (const cs_group_t *g, const cs_vm_report_t *r)
{
	return r && r->state != CS_MEMBER_IDLE && r->fence == g->fence &&
	       !strcmp (r->group, g->group);
}

/* Whether a member already holds the weights, from the previous assignment or as a warm spare. */
static bool
has_weights (const plan_context_t *w, const target_t *t, const cs_vm_t *vm, const cs_vm_report_t *r)
{
	const cs_planner_assignment_t *past = plan_find_assignment (w, vm->previous_fence);
	if (plan_warmth (w, vm, t->assignment->weights) == WARMTH_READY)
		return true;
	if (!r || !past || r->fence != vm->previous_fence || r->state != CS_MEMBER_READY)
		return false;
	return past->weights == t->assignment->weights;
}

static size_t
count_store_loads (const plan_context_t *w, const target_t *t)
{
	size_t n = 0;
	for (size_t i = 0; i < t->group->n_members; i++) {
		const cs_vm_t *vm = t->group->members[i];
		const cs_vm_report_t *r = plan_fresh_report (w, vm);
		n += !plan_reports_assignment (t->group, r) && !has_weights (w, t, vm, r);
	}
	return n;
}

static int
by_priority (const void *a, const void *b)
{
	const queued_t *x = a;
	const queued_t *y = b;
	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	return strcmp (x->target->name, y->target->name);
}

/* Whether the member may get its order. Members kept from the previous assignment wait until it
 * has drained, spares until the load of these weights in progress has ended. On engines that
 * ignore fencing numbers, all wait until earlier orders have expired. */
static bool
may_order_member (const plan_context_t *w, const target_t *t, const cs_vm_t *vm)
{
	const cs_planner_options_t *o = &w->p->options;
	if (vm->previous_fence && plan_is_draining (w, vm->previous_fence))
		return false;
	if (plan_warmth (w, vm, t->assignment->weights) == WARMTH_LOADING)
		return false;
	int64_t past = w->in->now_ms - t->assignment->seen_ms;
	return t->desired->spec->fences_orders || plan_is_disabled (w, CS_PLANNER_ORDER_LIFE) ||
	       past >= o->order_lifetime_ms + o->max_state_age_ms;
}

/* Sends one member its load order if due; true if this starts a load from the weight store. */
static bool
order_member (plan_context_t *w, const target_t *t, size_t rank, bool may_load)
{
	const cs_vm_t *vm = t->group->members[rank];
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	bool from_store = !has_weights (w, t, vm, r);
	if (!r || vm->gone || plan_reports_assignment (t->group, r) ||
	    r->fence >= w->in->groups->next_offset)
		return false;
	cs_planner_intent_t *intent = plan_intent (w, "load", vm->vm, t->group->fence);
	if (from_store && !may_load && intent->last_action_ms < 0)
		return false;
	if (!may_order_member (w, t, vm) ||
	    !plan_is_due (w, intent, w->p->options.order_repeat_ms) ||
	    !plan_may_order (w, t->desired->spec->fences_orders))
		return false;
	bool first = intent->last_action_ms < 0;
	intent->last_action_ms = w->in->now_ms;
	if (first) {
		intent->first_action_ms = w->in->now_ms;
		intent->from_store = from_store;
	}
	plan_order_load (w, t, rank);
	return from_store && first;
}

static size_t
collect_groups (const plan_context_t *w, queued_t *queue)
{
	size_t n = 0;
	for (size_t i = 0; i < w->n_targets; i++) {
		const target_t *t = &w->targets[i];
		if (!t->group || !t->desired || t->whole || t->unfit)
			continue;
		queued_t *q = &queue[n++];
		q->target = t;
		q->n_loads = count_store_loads (w, t);
		q->priority = w->in->downtime_weight + w->in->stranded_weight * t->accelerators;
		q->priority /= (double)(q->n_loads ? q->n_loads : 1);
	}
	qsort (queue, n, sizeof *queue, by_priority);
	return n;
}

/* Whether a spare has been ordered to load and the order has not expired. */
static bool
may_begin_load (const plan_context_t *w, const cs_vm_t *vm)
{
	const cs_planner_intent_t *intent = plan_find_intent (w, "warm", vm->vm, vm->fence);
	if (!intent || intent->last_action_ms < 0 || !intent->from_store)
		return false;
	return w->in->now_ms - intent->last_action_ms <= w->p->options.order_lifetime_ms;
}

/* Counts loads in progress: VMs that report one, and VMs that have been ordered to load and do
 * not report it yet. Loads that have timed out don't count. */
static size_t
count_in_progress (plan_context_t *w)
{
	size_t n = 0;
	for (size_t i = 0; i < w->n_vms; i++) {
		const cs_vm_t *vm = w->vms[i];
		const cs_vm_report_t *r = plan_fresh_report (w, vm);
		if (r && r->state == CS_MEMBER_LOADING) {
			n += !plan_is_load_overdue (w, r);
			continue;
		}
		if (vm->use == CS_VM_FREE && r) {
			n += may_begin_load (w, vm);
			continue;
		}
		if (vm->use != CS_VM_ASSIGNED || !r || plan_reports_assignment (vm->group, r))
			continue;
		n += plan_intent (w, "load", vm->vm, vm->fence)->last_action_ms >= 0;
	}
	return n;
}

void
plan_order_loads (plan_context_t *w)
{
	queued_t *queue = cs_alloc (w->n_targets * sizeof *queue);
	size_t n = collect_groups (w, queue);
	size_t n_loading = count_in_progress (w);
	size_t limit =
		plan_is_disabled (w, CS_PLANNER_LOAD_LIMIT) ? SIZE_MAX : w->p->options.max_loads;
	for (size_t i = 0; i < n; i++) {
		const target_t *t = queue[i].target;
		for (size_t rank = 0; rank < t->group->n_members; rank++)
			n_loading += order_member (w, t, rank, n_loading < limit);
	}
	plan_warm_spares (w, n_loading);
	free (queue);
}
