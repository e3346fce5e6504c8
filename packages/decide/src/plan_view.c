/* Builds the view of one run: VMs by fabric domain, spares, and which assignments are draining. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

enum {
	POLL_ANSWER_MS = 1500, /* a silent VM that has not answered polls for so long is lost */
	POLL_REPEAT_MS = 1000,
	RETURNING_MS = 30000 /* a released VM not free after this time is not expected back */
};

bool
plan_is_disabled (const plan_context_t *w, cs_planner_mechanism_t mechanism)
{
	return w->p->disabled & mechanism;
}

const cs_vm_report_t *
plan_fresh_report (const plan_context_t *w, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = cs_evidence_find (w->in->evidence, vm->vm);
	return r && w->in->now_ms - r->at_ms <= w->p->options.lost_after_ms ? r : NULL;
}

int64_t
plan_silence_ms (const plan_context_t *w, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = cs_evidence_find (w->in->evidence, vm->vm);
	int64_t since_ms = w->p->started_ms;
	if (r && r->at_ms > since_ms)
		since_ms = r->at_ms;
	return w->in->now_ms - since_ms;
}

bool
plan_engine_ended (const plan_context_t *w, const cs_vm_t *vm)
{
	return !plan_is_disabled (w, CS_PLANNER_ENDED) &&
	       cs_evidence_has_ended (w->in->evidence, vm->vm, w->in->now_ms);
}

bool
plan_is_lost (const plan_context_t *w, const cs_vm_t *vm)
{
	if (vm->gone || plan_engine_ended (w, vm))
		return true;
	if (plan_silence_ms (w, vm) <= w->p->options.lost_after_ms)
		return false;
	const cs_planner_intent_t *poll = plan_find_intent (w, "poll", vm->vm, 0);
	return poll && w->in->now_ms - poll->since_ms >= POLL_ANSWER_MS;
}

/* No report within the evidence bound. This is shorter than lost_after_ms, so that a domain which
 * fails is seen as mostly silent before the first of its VMs counts as lost. */
static bool
is_silent (const plan_context_t *w, const cs_vm_t *vm)
{
	return vm->gone || plan_silence_ms (w, vm) > w->in->evidence->bound_ms;
}

/* Polls a silent VM directly: the daemons that gather its reports may have failed instead. */
static void
poll_silent (plan_context_t *w, const cs_vm_t *vm)
{
	if (vm->gone || !is_silent (w, vm))
		return;
	cs_planner_intent_t *intent = plan_intent (w, "poll", vm->vm, 0);
	if (intent->last_action_ms >= 0 && w->in->now_ms - intent->last_action_ms < POLL_REPEAT_MS)
		return;
	intent->last_action_ms = w->in->now_ms;
	plan_add_poll (w, vm);
}

static int
by_domain (const void *a, const void *b)
{
	const cs_vm_t *x = *(const cs_vm_t *const *)a;
	const cs_vm_t *y = *(const cs_vm_t *const *)b;
	int d = strcmp (x->fabric_domain, y->fabric_domain);
	return d ? d : strcmp (x->vm, y->vm);
}

static int
by_fence (const void *a, const void *b)
{
	const cs_vm_t *x = *(const cs_vm_t *const *)a;
	const cs_vm_t *y = *(const cs_vm_t *const *)b;
	if (x->fence != y->fence)
		return x->fence < y->fence ? -1 : 1;
	return strcmp (x->vm, y->vm);
}

static bool
is_spare (const plan_context_t *w, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	if (vm->use != CS_VM_FREE || vm->leaving || vm->gone)
		return false;
	if (!r || r->state == CS_MEMBER_IDLE)
		return r;
	return plan_may_stay_warm (w, vm, r) && !plan_is_load_overdue (w, r);
}

/* Adds the end of a silence longer than lost_after_ms to the history; true if there was one. The
 * caller records one for each domain and run, as the VMs of a failed domain come back together. */
static bool
record_silence_end (plan_context_t *w, const cs_vm_t *vm)
{
	const cs_planner_intent_t *poll = plan_find_intent (w, "poll", vm->vm, 0);
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	if (!poll || !r || is_silent (w, vm) || vm->use == CS_VM_FREE)
		return false;
	int64_t ms = w->in->now_ms - poll->since_ms + w->in->evidence->bound_ms;
	if (ms <= w->p->options.lost_after_ms)
		return false;
	plan_record_silence (w, ms, r->state != CS_MEMBER_IDLE);
	return true;
}

/* Whether a VM that is being released will be free soon. */
static bool
is_returning (plan_context_t *w, const cs_vm_t *vm)
{
	if (vm->use != CS_VM_RELEASING || vm->leaving || plan_is_lost (w, vm))
		return false;
	int64_t since_ms = plan_intent (w, "releasing", vm->vm, vm->fence)->since_ms;
	return w->in->now_ms - since_ms < RETURNING_MS && !plan_is_draining (w, vm->fence);
}

static void
fill_domain (plan_context_t *w, domain_t *d, const cs_vm_t **spares)
{
	size_t n_silent = 0;
	bool recorded = false;
	d->spares = spares;
	for (size_t i = 0; i < d->n; i++) {
		const cs_vm_t *vm = d->vms[i];
		n_silent += is_silent (w, vm);
		recorded = recorded || record_silence_end (w, vm);
		if (is_spare (w, vm))
			d->spares[d->n_spares++] = vm;
		d->n_returning += is_returning (w, vm);
	}
	d->mostly_silent = n_silent > 1 && 2 * n_silent >= d->n;
	qsort (d->spares, d->n_spares, sizeof (void *), by_fence);
}

static void
split_domains (plan_context_t *w)
{
	size_t i = 0;
	while (i < w->n_vms) {
		domain_t *d = &w->domains[w->n_domains++];
		size_t first = i;
		d->name = w->vms[i]->fabric_domain;
		d->vms = w->vms + i;
		while (i < w->n_vms && !strcmp (w->vms[i]->fabric_domain, d->name))
			i++;
		d->n = i - first;
		fill_domain (w, d, w->spares + first);
	}
}

/* Records a superseded assignment of a VM, and whether requests still run on it. */
static void
record_past_assignment (plan_context_t *w, const cs_vm_t *vm)
{
	uint64_t past = vm->use == CS_VM_RELEASING ? vm->fence : vm->previous_fence;
	if (!past || vm->use == CS_VM_FREE)
		return;
	cs_planner_assignment_t *assignment = plan_assignment (w, past);
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	if (assignment->superseded_ms < 0)
		assignment->superseded_ms = w->in->now_ms;
	if (r && r->fence == past && (r->running || r->queued))
		assignment->busy_run = w->p->run;
	if (plan_is_lost (w, vm))
		assignment->lost_run = w->p->run;
}

/* Counts the VMs that report READY with an assignment, current or superseded. */
static void
count_ready (plan_context_t *w, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = plan_fresh_report (w, vm);
	cs_planner_assignment_t *assignment = r ? plan_find_assignment (w, r->fence) : NULL;
	if (!assignment || r->state != CS_MEMBER_READY || !*r->group)
		return;
	if (assignment->ready_run != w->p->run)
		assignment->n_ready = 0;
	assignment->ready_run = w->p->run;
	assignment->n_ready++;
}

void
plan_view_init (plan_context_t *w)
{
	size_t n = HASH_COUNT (w->in->groups->vms);
	size_t n_silent = 0;
	w->vms = cs_alloc (n * sizeof (void *));
	w->spares = cs_alloc (n * sizeof (void *));
	w->domains = cs_alloc (n * sizeof *w->domains);
	for (const cs_vm_t *vm = cs_groups_next_vm (w->in->groups, NULL); vm;
	     vm = cs_groups_next_vm (w->in->groups, vm)) {
		w->vms[w->n_vms++] = vm;
		poll_silent (w, vm);
		n_silent += is_silent (w, vm);
		record_past_assignment (w, vm);
		count_ready (w, vm);
	}
	w->mostly_silent = n > 1 && 2 * n_silent > n;
	qsort (w->vms, n, sizeof (void *), by_domain);
	split_domains (w);
}

void
plan_view_finish (plan_context_t *w)
{
	for (size_t i = 0; i < w->n_targets; i++)
		free (w->targets[i].name);
	free (w->targets);
	free (w->domains);
	free (w->spares);
	free (w->vms);
}

bool
plan_is_draining (const plan_context_t *w, uint64_t fence)
{
	const cs_planner_options_t *o = &w->p->options;
	const cs_planner_assignment_t *assignment = fence ? plan_find_assignment (w, fence) : NULL;
	if (!assignment || assignment->superseded_ms < 0 || plan_is_disabled (w, CS_PLANNER_DRAIN))
		return false;
	/* Nothing can run without all members, but a member recorded as gone may report again. */
	bool all_ready =
		assignment->ready_run == w->p->run && assignment->n_ready >= assignment->members;
	if (assignment->lost_run == w->p->run || (assignment->member_gone && !all_ready))
		return false;
	int64_t superseded_for_ms = w->in->now_ms - assignment->superseded_ms;
	if (superseded_for_ms >= o->drain_max_ms)
		return false;
	if (superseded_for_ms < o->settle_ms || assignment->busy_run == w->p->run)
		return true;
	return w->in->in_flight && w->in->in_flight (w->in->context, fence) > 0;
}
