/* Baseline policies for groups with lost or leaving members. */
#include "support_world.h"

#include <stdio.h>
#include <string.h>

static bool
is_unfit (const world_t *w, const cs_vm_t *vm)
{
	const cs_vm_report_t *r = cs_evidence_find (&w->evidence, vm->vm);
	return vm->leaving || vm->gone || !r ||
	       w->now_ms - r->at_ms > w->planner.options.lost_after_ms;
}

/* Replaces unfit members by the first free VMs; changes nothing if there are too few. */
static void
replace_members (world_t *w, const cs_group_t *g)
{
	Cs__Record r = CS__RECORD__INIT;
	Cs__Form f = CS__FORM__INIT;
	char *members[MEMBERS];
	char name[48];
	const cs_vm_t *at = NULL;
	for (size_t i = 0; i < g->n_members; i++) {
		members[i] = g->members[i]->vm;
		if (!is_unfit (w, g->members[i]))
			continue;
		do
			at = cs_groups_next_vm (&w->groups, at);
		while (at && (at->use != CS_VM_FREE || is_unfit (w, at)));
		if (!at)
			return;
		members[i] = at->vm;
	}
	snprintf (name, sizeof name, "%s", g->group);
	f.group = name;
	f.model_group = "pool";
	f.model = "pool";
	f.version = "1";
	f.n_members = g->n_members;
	f.members = members;
	f.previous_fence = g->fence;
	r.body_case = CS__RECORD__BODY_FORM;
	r.form = &f;
	cs_groups_apply (&w->groups, w->offset++, &r);
}

static void
dissolve (world_t *w, const cs_group_t *g)
{
	Cs__Record r = CS__RECORD__INIT;
	Cs__Dissolve d = CS__DISSOLVE__INIT;
	char name[48];
	snprintf (name, sizeof name, "%s", g->group);
	d.group = name;
	d.fence = g->fence;
	r.body_case = CS__RECORD__BODY_DISSOLVE;
	r.dissolve = &d;
	cs_groups_apply (&w->groups, w->offset++, &r);
}

void
baseline_apply (world_t *w)
{
	const cs_group_t *next;
	for (const cs_group_t *g = cs_groups_next (&w->groups, NULL); g; g = next) {
		bool broken = false;
		next = cs_groups_next (&w->groups, g);
		for (size_t i = 0; i < g->n_members; i++)
			broken |= is_unfit (w, g->members[i]);
		if (broken && w->policy == ANY_DOMAIN)
			replace_members (w, g);
		else if (broken && w->policy == RELEASE)
			dissolve (w, g);
	}
}
