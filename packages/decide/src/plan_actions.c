/* Actions of a plan: records to append and orders to send. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

void
cs_plan_init (cs_plan_t *plan)
{
	memset (plan, 0, sizeof *plan);
}

void
cs_plan_finish (cs_plan_t *plan)
{
	for (size_t i = 0; i < plan->n; i++) {
		cs_action_t *a = &plan->actions[i];
		if (a->record)
			cs__record__free_unpacked (a->record, NULL);
		free (a->reason);
		free (a->vm);
		free (a->url);
		free (a->group);
		free (a->model);
		free (a->version);
		free (a->members);
	}
	free (plan->actions);
	cs_plan_init (plan);
}

static char *
copy (const char *z)
{
	return cs_str_dup (cs_str (z));
}

static cs_action_t *
add_action (plan_context_t *w, cs_action_kind_t kind)
{
	cs_plan_t *out = w->out;
	out->actions = cs_grow (out->actions, &out->cap, out->n + 1, sizeof *out->actions);
	cs_action_t *a = &out->actions[out->n++];
	memset (a, 0, sizeof *a);
	a->kind = kind;
	return a;
}

Cs__Record *
plan_record_new (void)
{
	Cs__Record *record = cs_alloc (sizeof *record);
	cs__record__init (record);
	return record;
}

void
plan_append (plan_context_t *w, cs_planner_intent_t *intent, Cs__Record *record, const char *reason)
{
	if (w->p->append_tokens < 1) {
		cs__record__free_unpacked (record, NULL);
		return;
	}
	w->p->append_tokens--;
	intent->last_action_ms = w->in->now_ms;
	cs_action_t *a = add_action (w, CS_ACTION_APPEND);
	a->record = record;
	a->reason = copy (reason);
}

static void
fill_form (Cs__Form *f, const target_t *t, const cs_vm_t **members)
{
	const Cs__ModelGroup *spec = t->desired->spec;
	f->group = copy (t->name);
	f->model_group = copy (t->desired->name);
	f->model = copy (spec->model);
	f->version = copy (spec->version);
	f->previous_fence = t->group ? t->group->fence : 0;
	f->n_members = spec->members;
	f->members = cs_alloc (spec->members * sizeof (char *));
	for (uint32_t i = 0; i < spec->members; i++)
		f->members[i] = copy (members[i]->vm);
}

void
plan_append_form (plan_context_t *w, target_t *t, const cs_vm_t **members, const char *reason)
{
	uint64_t before = t->group ? t->group->fence : 0;
	cs_planner_intent_t *intent = plan_intent (w, "form", t->name, before);
	t->handled = true;
	if (!plan_is_due (w, intent, w->p->options.append_repeat_ms))
		return;
	/* Raise the estimate: if the weight store is slow rather than the member, the next load
	 * needs more time. */
	if (t->overdue_ms)
		plan_record_load_time (w, t->assignment->weights, t->overdue_ms);
	Cs__Record *record = plan_record_new ();
	record->body_case = CS__RECORD__BODY_FORM;
	record->form = cs_alloc (sizeof *record->form);
	cs__form__init (record->form);
	fill_form (record->form, t, members);
	plan_append (w, intent, record, reason);
}

void
plan_append_dissolve (plan_context_t *w, target_t *t, const char *reason)
{
	cs_planner_intent_t *intent = plan_intent (w, "dissolve", t->name, t->group->fence);
	t->handled = true;
	if (!plan_is_due (w, intent, w->p->options.append_repeat_ms))
		return;
	Cs__Record *record = plan_record_new ();
	record->body_case = CS__RECORD__BODY_DISSOLVE;
	record->dissolve = cs_alloc (sizeof *record->dissolve);
	cs__dissolve__init (record->dissolve);
	record->dissolve->group = copy (t->name);
	record->dissolve->fence = t->group->fence;
	record->dissolve->reason = copy (reason);
	plan_append (w, intent, record, reason);
}

bool
plan_may_order (const plan_context_t *w, bool fences_orders)
{
	/* An engine that checks fencing numbers rejects orders based on an outdated state. */
	return w->p->order_tokens >= 1 && (fences_orders || w->fresh);
}

static cs_action_t *
add_order (plan_context_t *w, cs_action_kind_t kind, const cs_vm_t *vm)
{
	cs_action_t *a = add_action (w, kind);
	w->p->order_tokens--;
	a->vm = copy (vm->vm);
	a->url = copy (vm->url);
	a->lifetime_ms = (uint32_t)w->p->options.order_lifetime_ms;
	return a;
}

void
plan_add_poll (plan_context_t *w, const cs_vm_t *vm)
{
	cs_action_t *a = add_action (w, CS_ACTION_POLL);
	a->vm = copy (vm->vm);
	a->url = copy (vm->url);
}

void
plan_order_load (plan_context_t *w, const target_t *t, size_t rank)
{
	const cs_group_t *g = t->group;
	cs_action_t *a = add_order (w, CS_ACTION_LOAD, g->members[rank]);
	cs_buf_t urls;
	cs_buf_init (&urls);
	for (size_t i = 0; i < g->n_members; i++)
		cs_buf_printf (&urls, "%s%s", i ? "," : "", g->members[i]->url);
	a->members = urls.p;
	a->group = copy (g->group);
	a->model = copy (g->model);
	a->version = copy (g->version);
	a->fence = g->fence;
	a->rank = (uint32_t)rank;
	a->weight_bytes = t->desired->spec->weight_bytes;
}

/* Carries the fencing number of the VM's last assignment, so that the order of any later FORM
 * has a higher one. */
void
plan_order_spare_load (plan_context_t *w, const Cs__ModelGroup *spec, const cs_vm_t *vm)
{
	cs_action_t *a = add_order (w, CS_ACTION_LOAD, vm);
	a->group = copy ("");
	a->model = copy (spec->model);
	a->version = copy (spec->version);
	a->members = copy ("");
	a->fence = vm->fence;
	a->weight_bytes = spec->weight_bytes;
}

void
plan_order_release (plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *report)
{
	cs_action_t *a = add_order (w, CS_ACTION_RELEASE, vm);
	a->group = copy (report->group);
	a->model = copy (report->model);
	a->version = copy ("");
	a->members = copy ("");
	a->fence = vm->fence > report->fence ? vm->fence : report->fence;
}
