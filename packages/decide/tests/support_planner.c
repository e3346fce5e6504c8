#include "support_planner.h"

#include <stdio.h>
#include <string.h>

static const char group_name[] = "pool/z/0";

static unsigned
mechanism_bit (const char *name)
{
	static const struct {
		const char *name;
		unsigned bit;
	} all[] = {
		{"ended", CS_PLANNER_ENDED},
		{"load-times", CS_PLANNER_LOAD_TIMES},
		{"warm", CS_PLANNER_WARM},
		{"overdue", CS_PLANNER_OVERDUE},
		{"order-life", CS_PLANNER_ORDER_LIFE},
	};
	for (size_t i = 0; i < sizeof all / sizeof *all; i++)
		if (!strcmp (all[i].name, name))
			return all[i].bit;
	return 0;
}

void
planner_sim_init (planner_sim_t *w, const double *weights, const char *without)
{
	memset (w, 0, sizeof *w);
	w->now_ms = 1000000;
	w->offset = 1;
	w->min_order_delay_ms = INT64_MAX;
	memcpy (w->weights, weights, sizeof w->weights);
	for (size_t i = 0; i < PLANNER_VMS; i++) {
		snprintf (w->vms[i].vm, sizeof w->vms[i].vm, "vm-%zu", i);
		w->vms[i].state = CS_MEMBER_IDLE;
		w->vms[i].store_load_ms = 60000;
	}
	cs__model_group__init (&w->spec);
	w->spec.model = "m";
	w->spec.version = "1";
	w->spec.replicas = 1;
	w->spec.members = PLANNER_MEMBERS;
	w->spec.fences_orders = true;
	cs_groups_init (&w->groups);
	cs_evidence_init (&w->evidence, 1);
	cs_planner_init (&w->planner, "z", NULL);
	w->planner.disabled = mechanism_bit (without);
}

void
planner_sim_finish (planner_sim_t *w)
{
	cs_groups_finish (&w->groups);
	cs_evidence_finish (&w->evidence);
	cs_planner_finish (&w->planner);
}

static void
report_engine (planner_sim_t *w, planner_vm_t *vm)
{
	bool idle = vm->state == CS_MEMBER_IDLE;
	if (vm->silent_until_ms > w->now_ms)
		return;
	if (vm->ended) {
		cs_evidence_report_refusal (&w->evidence, vm->vm, w->now_ms);
		return;
	}
	if (vm->state == CS_MEMBER_LOADING && vm->ready_ms <= w->now_ms) {
		vm->state = CS_MEMBER_READY;
		vm->has_weights = true;
	}
	cs_vm_report_t r = {.vm = vm->vm,
			    .state = vm->state,
			    .group = idle ? "" : vm->group,
			    .fence = idle ? 0 : vm->fence,
			    .model = idle ? "" : "m",
			    .at_ms = w->now_ms};
	cs_evidence_report (&w->evidence, &r);
}

static void
apply_order (planner_sim_t *w, const cs_action_t *a)
{
	planner_vm_t *vm = &w->vms[a->vm[3] - '0'];
	bool same = !strcmp (vm->version, a->version);
	bool repeat = vm->state != CS_MEMBER_IDLE && vm->fence == a->fence &&
		      !strcmp (vm->group, a->group) && same;
	if (vm->silent_until_ms > w->now_ms || vm->ended || a->fence < vm->fence)
		return;
	vm->fence = a->fence;
	if (a->kind == CS_ACTION_RELEASE) {
		vm->state = CS_MEMBER_IDLE;
		vm->has_weights = false;
		return;
	}
	if (repeat)
		return;
	if (*a->group && w->now_ms - w->formed_ms < w->min_order_delay_ms)
		w->min_order_delay_ms = w->now_ms - w->formed_ms;
	snprintf (vm->group, sizeof vm->group, "%s", a->group);
	snprintf (vm->version, sizeof vm->version, "%s", a->version);
	vm->state = CS_MEMBER_LOADING;
	vm->has_weights &= same;
	vm->loads += !vm->has_weights;
	vm->ready_ms = w->now_ms + (vm->has_weights ? PLANNER_STEP_MS : vm->store_load_ms);
}

static void
run_planner (planner_sim_t *w)
{
	cs_plan_t out;
	cs_listed_vm_t list[PLANNER_VMS];
	cs_desired_t desired = {"pool", &w->spec};
	for (size_t i = 0; i < PLANNER_VMS; i++)
		list[i] = (cs_listed_vm_t){w->vms[i].vm, "f", "http://127.0.0.1:7100", 1,
					   w->vms[i].leaving};
	cs_plan_input_t in = {.now_ms = w->now_ms,
			      .read_sent_ms = w->now_ms,
			      .groups = &w->groups,
			      .evidence = &w->evidence,
			      .desired = &desired,
			      .n_desired = 1,
			      .vms = list,
			      .n_vms = PLANNER_VMS,
			      .listed_ms = w->now_ms,
			      .downtime_weight = w->weights[0],
			      .stranded_weight = w->weights[1]};
	cs_plan_init (&out);
	cs_planner_plan (&w->planner, &in, &out);
	for (size_t i = 0; i < out.n; i++) {
		const Cs__Record *record = out.actions[i].record;
		if (record && record->body_case == CS__RECORD__BODY_FORM)
			w->formed_ms = w->now_ms;
		if (record)
			cs_groups_apply (&w->groups, w->offset++, record);
		else if (out.actions[i].kind != CS_ACTION_POLL)
			apply_order (w, &out.actions[i]);
	}
	cs_plan_finish (&out);
}

void
planner_sim_step (planner_sim_t *w)
{
	w->now_ms += PLANNER_STEP_MS;
	for (size_t i = 0; i < PLANNER_VMS; i++)
		report_engine (w, &w->vms[i]);
	if (w->now_ms % 1000 == 0)
		run_planner (w);
}

static bool
is_whole (const planner_sim_t *w)
{
	return cs_evidence_judge_by_name (&w->evidence, &w->groups, group_name, w->now_ms).whole;
}

int64_t
planner_sim_run_until_whole (planner_sim_t *w, int64_t max_ms)
{
	int64_t start = w->now_ms;
	while (w->now_ms - start < max_ms && !is_whole (w))
		planner_sim_step (w);
	return w->now_ms - start;
}

planner_vm_t *
planner_sim_member (planner_sim_t *w, size_t rank)
{
	const cs_group_t *g = cs_groups_find (&w->groups, group_name);
	return g ? &w->vms[g->members[rank]->vm[3] - '0'] : NULL;
}

bool
planner_sim_is_assigned (const planner_sim_t *w, const planner_vm_t *vm)
{
	const cs_vm_t *x = cs_groups_find_vm (&w->groups, vm->vm);
	return x && x->use == CS_VM_ASSIGNED;
}

uint64_t
planner_sim_fence (const planner_sim_t *w)
{
	const cs_group_t *g = cs_groups_find (&w->groups, group_name);
	return g ? g->fence : 0;
}
