/* Snapshot and restore of a zone's groups as a packed GroupsState. */
#include "groups_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cs/groups.pb-c.h"

static void
pack_vm (const cs_vm_t *vm, Cs__GroupsVm *out)
{
	cs__groups_vm__init (out);
	out->vm = vm->vm;
	out->fabric_domain = vm->fabric_domain;
	out->url = vm->url;
	out->accelerators = vm->accelerators;
	out->leaving = vm->leaving;
	out->gone = vm->gone;
	out->use = vm->use;
	out->fence = vm->fence;
	out->previous_fence = vm->previous_fence;
}

static void
pack_group (const cs_group_t *group, Cs__GroupsGroup *out)
{
	cs__groups_group__init (out);
	out->group = group->group;
	out->model_group = group->model_group;
	out->model = group->model;
	out->version = group->version;
	out->fence = group->fence;
	out->previous_fence = group->previous_fence;
	out->n_members = group->n_members;
	out->members = cs_alloc (group->n_members * sizeof (char *));
	for (size_t i = 0; i < group->n_members; i++)
		out->members[i] = group->members[i]->vm;
}

void
cs_groups_snapshot (const cs_groups_t *g, cs_buf_t *out)
{
	Cs__GroupsState state = CS__GROUPS_STATE__INIT;
	size_t n_vms = HASH_COUNT (g->vms);
	size_t n_groups = HASH_COUNT (g->groups);
	Cs__GroupsVm *vms = cs_alloc (n_vms * sizeof *vms);
	Cs__GroupsGroup *groups = cs_alloc (n_groups * sizeof *groups);
	state.next = g->next_offset;
	state.vms = cs_alloc (n_vms * sizeof *state.vms);
	state.groups = cs_alloc (n_groups * sizeof *state.groups);
	for (const cs_vm_t *vm = g->vms; vm; vm = vm->hh.next) {
		pack_vm (vm, &vms[state.n_vms]);
		state.vms[state.n_vms] = &vms[state.n_vms];
		state.n_vms++;
	}
	for (const cs_group_t *x = g->groups; x; x = x->hh.next) {
		pack_group (x, &groups[state.n_groups]);
		state.groups[state.n_groups] = &groups[state.n_groups];
		state.n_groups++;
	}
	cs_buf_reserve (out, cs__groups_state__get_packed_size (&state));
	out->n += cs__groups_state__pack (&state, (uint8_t *)out->p + out->n);
	out->p[out->n] = 0;
	for (size_t i = 0; i < state.n_groups; i++)
		free (groups[i].members);
	free (state.vms);
	free (state.groups);
	free (vms);
	free (groups);
}

static cs_status_t
restore_vm (cs_groups_t *g, const Cs__GroupsVm *in)
{
	if (cs_groups_find_vm (g, in->vm) || in->use > CS_VM_ASSIGNED)
		return cs_fail (CS_INVALID, "snapshot lists VM \"%s\" twice or in an unknown state",
				in->vm);
	cs_vm_t *vm = cs_groups_add_vm (g, in->vm);
	vm->fabric_domain = cs_str_dup (cs_str (in->fabric_domain));
	vm->url = cs_str_dup (cs_str (in->url));
	vm->accelerators = in->accelerators;
	vm->leaving = in->leaving;
	vm->gone = in->gone;
	vm->use = (cs_vm_use_t)in->use;
	vm->fence = in->fence;
	vm->previous_fence = in->previous_fence;
	return CS_OK;
}

static cs_status_t
restore_group (cs_groups_t *g, const Cs__GroupsGroup *in)
{
	if (cs_groups_find (g, in->group) || cs_groups_find_by_fence (g, in->fence) ||
	    !in->n_members)
		return cs_fail (CS_INVALID,
				"group \"%s\" has no members, or its name or fencing number is "
				"used twice",
				in->group);
	cs_group_t *group = cs_groups_add_group (g, in->group, in->fence, in->n_members);
	group->model_group = cs_str_dup (cs_str (in->model_group));
	group->model = cs_str_dup (cs_str (in->model));
	group->version = cs_str_dup (cs_str (in->version));
	group->previous_fence = in->previous_fence;
	for (size_t i = 0; i < in->n_members; i++) {
		cs_vm_t *vm = cs_groups_find_vm (g, in->members[i]);
		if (!vm || vm->use != CS_VM_ASSIGNED || vm->group || vm->fence != in->fence)
			return cs_fail (CS_INVALID,
					"member \"%s\" of group \"%s\" is not assigned to it",
					in->members[i], in->group);
		vm->group = group;
		group->members[group->n_members++] = vm;
	}
	return CS_OK;
}

static cs_status_t
restore_state (cs_groups_t *g, const Cs__GroupsState *in)
{
	cs_status_t status = CS_OK;
	g->next_offset = in->next;
	for (size_t i = 0; !status && i < in->n_vms; i++)
		status = restore_vm (g, in->vms[i]);
	for (size_t i = 0; !status && i < in->n_groups; i++)
		status = restore_group (g, in->groups[i]);
	for (const cs_vm_t *vm = g->vms; !status && vm; vm = vm->hh.next)
		if (vm->use == CS_VM_ASSIGNED && !vm->group)
			status = cs_fail (CS_INVALID,
					  "VM \"%s\" is assigned, but no group lists it", vm->vm);
	return status;
}

cs_status_t
cs_groups_restore (cs_groups_t *g, cs_str_t bytes)
{
	Cs__GroupsState *in = cs__groups_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!in)
		return cs_fail (CS_INVALID, "snapshot of the groups cannot be decoded");
	cs_groups_t fresh;
	cs_groups_init (&fresh);
	cs_status_t status = restore_state (&fresh, in);
	cs__groups_state__free_unpacked (in, NULL);
	if (status) {
		cs_groups_finish (&fresh);
		return status;
	}
	fresh.disabled = g->disabled;
	cs_groups_finish (g);
	*g = fresh;
	return CS_OK;
}
