/* Reconciles the VMs in the log with the platform's list, and releases and frees former members. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

static void
append_seen (plan_context_t *w, const cs_listed_vm_t *x, const char *reason)
{
	cs_planner_intent_t *intent = plan_intent (w, "seen", x->vm, x->leaving);
	if (!plan_is_due (w, intent, w->p->options.append_repeat_ms))
		return;
	Cs__Record *record = plan_record_new ();
	Cs__VmSeen *seen = cs_alloc (sizeof *seen);
	cs__vm_seen__init (seen);
	record->body_case = CS__RECORD__BODY_VM_SEEN;
	record->vm_seen = seen;
	seen->vm = cs_str_dup (cs_str (x->vm));
	seen->fabric_domain = cs_str_dup (cs_str (x->fabric_domain));
	seen->url = cs_str_dup (cs_str (x->url));
	seen->accelerators = x->accelerators;
	seen->leaving = x->leaving;
	plan_append (w, intent, record, reason);
}

static void
append_gone (plan_context_t *w, const cs_vm_t *vm, const char *reason)
{
	cs_planner_intent_t *intent = plan_intent (w, "gone", vm->vm, vm->fence);
	if (intent->since_ms == w->in->now_ms && vm->use == CS_VM_ASSIGNED)
		plan_record_silence (w, plan_silence_ms (w, vm), false);
	if (!plan_is_due (w, intent, w->p->options.append_repeat_ms))
		return;
	Cs__Record *record = plan_record_new ();
	record->body_case = CS__RECORD__BODY_VM_GONE;
	record->vm_gone = cs_alloc (sizeof *record->vm_gone);
	cs__vm_gone__init (record->vm_gone);
	record->vm_gone->vm = cs_str_dup (cs_str (vm->vm));
	plan_append (w, intent, record, reason);
}

static void
compare_listed (plan_context_t *w, const cs_listed_vm_t *x)
{
	const cs_vm_t *vm = cs_groups_find_vm (w->in->groups, x->vm);
	if (vm && !vm->gone && strcmp (vm->fabric_domain, x->fabric_domain) != 0) {
		append_gone (w, vm, "the VM is listed in another fabric domain");
		return;
	}
	if (!vm || vm->gone || vm->leaving != x->leaving || vm->accelerators != x->accelerators ||
	    strcmp (vm->url, x->url) != 0)
		append_seen (w, x, x->leaving ? "the VM is leaving" : "the VM is listed");
}

static int
by_name (const void *a, const void *b)
{
	return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* A VM that reports again after a silence and is not listed is recorded as leaving, so that its
 * group moves and its requests drain. */
static void
append_unlisted (plan_context_t *w, const cs_vm_t *vm)
{
	cs_listed_vm_t x = {vm->vm, vm->fabric_domain, vm->url, vm->accelerators, true};
	if (!vm->leaving && cs_evidence_is_unlisted (w->in->evidence, vm->vm))
		append_seen (w, &x, "the VM reports again but is not listed");
}

/* A VM is gone when it is both unlisted and silent for gone_after_ms: the list alone may be
 * incomplete. */
static void
find_gone (plan_context_t *w, const char **names, size_t n)
{
	for (size_t i = 0; i < w->n_vms; i++) {
		const cs_vm_t *vm = w->vms[i];
		if (vm->gone || bsearch (&vm->vm, names, n, sizeof *names, by_name))
			continue;
		cs_planner_intent_t *absent = plan_intent (w, "absent", vm->vm, vm->fence);
		int64_t absence_ms = w->in->now_ms - absent->since_ms;
		int64_t bound_ms = w->p->options.gone_after_ms;
		if (absence_ms < bound_ms)
			continue;
		if (plan_silence_ms (w, vm) >= bound_ms)
			append_gone (w, vm, "the VM is unlisted and silent");
		else if (n)
			append_unlisted (w, vm);
	}
}

void
plan_compare_list (plan_context_t *w)
{
	if (!w->in->listed_ms)
		return;
	size_t n = w->in->n_vms;
	const char **names = cs_alloc (n * sizeof *names);
	for (size_t i = 0; i < n; i++) {
		names[i] = w->in->vms[i].vm;
		compare_listed (w, &w->in->vms[i]);
	}
	qsort (names, n, sizeof *names, by_name);
	if (!w->mostly_silent)
		find_gone (w, names, n);
	free (names);
}

static void
append_freed (plan_context_t *w, const cs_vm_t *vm)
{
	cs_planner_intent_t *intent = plan_intent (w, "freed", vm->vm, vm->fence);
	if (!w->fresh || !plan_is_due (w, intent, w->p->options.append_repeat_ms))
		return;
	Cs__Record *record = plan_record_new ();
	record->body_case = CS__RECORD__BODY_FREED;
	record->freed = cs_alloc (sizeof *record->freed);
	cs__freed__init (record->freed);
	record->freed->vm = cs_str_dup (cs_str (vm->vm));
	record->freed->fence = vm->fence;
	plan_append (w, intent, record, "the VM is idle");
}

/* Whether all orders of the VM's earlier assignments have expired: each was based on a state at
 * most max_fold_age_ms old and has a lifetime of order_life_ms. */
static bool
orders_expired (plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *r)
{
	const cs_planner_options_t *o = &w->p->options;
	cs_planner_intent_t *past = plan_intent (w, "releasing", vm->vm, vm->fence);
	return r->at_ms >= past->since_ms + o->max_state_age_ms + o->order_lifetime_ms;
}

/* Whether the engines of the reported group are declared to reject old fencing numbers. */
static bool
fences_orders (const plan_context_t *w, const cs_vm_report_t *r)
{
	cs_str_t rest = cs_str (r->group);
	cs_str_t model_group = cs_str_split (&rest, '/');
	for (size_t i = 0; i < w->in->n_desired; i++)
		if (cs_str_is (model_group, w->in->desired[i].name))
			return w->in->desired[i].spec->fences_orders;
	return false;
}

static void
order_release (plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *r)
{
	/* A fencing number beyond the state belongs to an assignment not applied here yet. */
	if (plan_is_disabled (w, CS_PLANNER_RELEASE_STALE) ||
	    r->fence >= w->in->groups->next_offset)
		return;
	if (vm->use == CS_VM_RELEASING &&
	    (plan_is_draining (w, vm->fence) || plan_is_draining (w, r->fence)))
		return;
	cs_planner_intent_t *intent = plan_intent (w, "release", vm->vm, vm->fence);
	if (!plan_is_due (w, intent, w->p->options.order_repeat_ms) ||
	    !plan_may_order (w, fences_orders (w, r)))
		return;
	intent->last_action_ms = w->in->now_ms;
	plan_order_release (w, vm, r);
}

void
plan_release_vms (plan_context_t *w)
{
	for (size_t i = 0; i < w->n_vms; i++) {
		const cs_vm_t *vm = w->vms[i];
		const cs_vm_report_t *r = plan_fresh_report (w, vm);
		bool releasing = vm->use == CS_VM_RELEASING;
		if (vm->use == CS_VM_ASSIGNED)
			continue;
		if (releasing)
			plan_intent (w, "releasing", vm->vm, vm->fence);
		if (!r)
			continue;
		if (plan_may_stay_warm (w, vm, r))
			continue;
		if (r->state != CS_MEMBER_IDLE)
			order_release (w, vm, r);
		else if (releasing && (plan_is_disabled (w, CS_PLANNER_FREE_AFTER_IDLE) ||
				       orders_expired (w, vm, r)))
			append_freed (w, vm);
	}
}
