/* Collects the declared and the formed groups and assesses the state of each. */
#include "plan_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static domain_t *
find_domain (const plan_context_t *w, const char *name)
{
	size_t low = 0;
	size_t high = w->n_domains;
	while (low < high) {
		size_t middle = (low + high) / 2;
		int d = strcmp (name, w->domains[middle].name);
		if (!d)
			return &w->domains[middle];
		if (d < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

/* Expected time until a silent member reports again: at least as long as the silence has lasted. */
static int64_t
expected_return_ms (const plan_context_t *w, const target_t *t, const cs_vm_t *vm)
{
	const cs_planner_options_t *o = &w->p->options;
	int64_t silence_ms = plan_silence_ms (w, vm);
	int64_t prior_ms = t->domain->mostly_silent ? o->silent_domain_return_ms : o->return_ms;
	if (vm->gone || vm->leaving || plan_engine_ended (w, vm))
		return NEVER_MS;
	return silence_ms > prior_ms ? silence_ms : prior_ms;
}

static void
assess_member (const plan_context_t *w, target_t *t, const cs_vm_t *vm)
{
	bool lost = plan_is_lost (w, vm);
	int64_t silence_ms = vm->gone ? NEVER_MS : plan_silence_ms (w, vm);
	int64_t overdue_ms = t->whole ? 0 : plan_overdue_load_ms (w, t->group, vm);
	if (overdue_ms > t->overdue_ms)
		t->overdue_ms = overdue_ms;
	if (!lost && !vm->leaving && !overdue_ms) {
		t->accelerators += vm->accelerators;
		return;
	}
	t->unfit++;
	t->assignment->member_gone |= vm->gone;
	if (lost && (!t->lost++ || silence_ms < t->silence_ms))
		t->silence_ms = silence_ms;
	int64_t wait_ms = overdue_ms ? NEVER_MS : expected_return_ms (w, t, vm);
	if (wait_ms > t->wait_ms)
		t->wait_ms = wait_ms;
}

/* Whether no request runs on the group, or a member is lost, so that there is nothing to wait
 * for. */
static bool
has_drained (const plan_context_t *w, const target_t *t)
{
	if (t->lost)
		return true;
	for (size_t i = 0; i < t->group->n_members; i++) {
		const cs_vm_report_t *r = plan_fresh_report (w, t->group->members[i]);
		if (r && r->fence == t->group->fence && (r->running || r->queued))
			return false;
	}
	return !w->in->in_flight || !w->in->in_flight (w->in->context, t->group->fence);
}

static void
assess_group (plan_context_t *w, target_t *t)
{
	const cs_group_t *g = t->group;
	t->assignment = plan_assignment (w, g->fence);
	t->assignment->weights = plan_hash_weights (g->model, g->version);
	t->assignment->members = g->n_members;
	t->domain = find_domain (w, g->members[0]->fabric_domain);
	t->whole = cs_evidence_judge (w->in->evidence, g, w->in->now_ms).whole;
	for (size_t i = 0; i < g->n_members; i++)
		assess_member (w, t, g->members[i]);
	t->assignment->was_whole |= t->whole;
	t->drained = has_drained (w, t);
}

static target_t *
add_target (plan_context_t *w, char *name, const cs_desired_t *desired, const cs_group_t *group)
{
	w->targets = cs_grow (w->targets, &w->cap_targets, w->n_targets + 1, sizeof *w->targets);
	target_t *t = &w->targets[w->n_targets++];
	memset (t, 0, sizeof *t);
	t->name = name;
	t->desired = desired;
	t->group = group;
	if (group)
		assess_group (w, t);
	return t;
}

/* Whether the name is MODEL_GROUP/ZONE/INDEX of a declared replica. */
static bool
is_declared (const plan_context_t *w, const cs_group_t *g)
{
	cs_str_t rest = cs_str (g->group);
	cs_str_t model_group = cs_str_split (&rest, '/');
	cs_str_t zone = cs_str_split (&rest, '/');
	uint64_t index;
	if (!cs_str_is (zone, w->p->zone) || !cs_str_u64 (rest, &index))
		return false;
	for (size_t i = 0; i < w->in->n_desired; i++)
		if (cs_str_is (model_group, w->in->desired[i].name))
			return index < w->in->desired[i].spec->replicas;
	return false;
}

void
plan_targets_init (plan_context_t *w)
{
	for (size_t i = 0; i < w->in->n_desired; i++) {
		const cs_desired_t *d = &w->in->desired[i];
		for (uint32_t k = 0; d->spec->members && k < d->spec->replicas; k++) {
			char *name;
			if (asprintf (&name, "%s/%s/%u", d->name, w->p->zone, k) < 0)
				abort ();
			add_target (w, name, d, cs_groups_find (w->in->groups, name));
		}
	}
	for (const cs_group_t *g = cs_groups_next (w->in->groups, NULL); g;
	     g = cs_groups_next (w->in->groups, g))
		if (!is_declared (w, g))
			add_target (w, cs_str_dup (cs_str (g->group)), NULL, g);
}
