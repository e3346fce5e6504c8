/* Applies the records of a zone's stream to its VMs and groups. */
#include "groups_internal.h"

#include <stdlib.h>
#include <string.h>

static void
set_string (char **at, const char *value)
{
	if (*at && !strcmp (*at, value))
		return;
	free (*at);
	*at = cs_str_dup (cs_str (value));
}

/* Adds a VM or updates its attributes. */
static bool
apply_vm_seen (cs_groups_t *g, uint64_t offset, const Cs__VmSeen *r)
{
	cs_vm_t *vm = cs_groups_find_vm (g, r->vm);
	if (!*r->vm)
		return false;
	/* The members of a group must stay in one fabric domain. */
	if (vm && vm->use == CS_VM_ASSIGNED && strcmp (vm->fabric_domain, r->fabric_domain) != 0)
		return false;
	if (!vm)
		vm = cs_groups_add_vm (g, r->vm);
	/* A new VM may hold any assignment. So may a VM whose fabric domain has changed: it is
	 * another machine under a known name. */
	if (!vm->fabric_domain || strcmp (vm->fabric_domain, r->fabric_domain) != 0) {
		vm->use = CS_VM_RELEASING;
		vm->fence = offset;
	}
	set_string (&vm->fabric_domain, r->fabric_domain);
	set_string (&vm->url, r->url);
	vm->accelerators = r->accelerators;
	vm->leaving = r->leaving;
	vm->gone = false;
	return true;
}

static bool
apply_vm_gone (cs_groups_t *g, const Cs__VmGone *r)
{
	cs_vm_t *vm = cs_groups_find_vm (g, r->vm);
	if (!vm || vm->gone)
		return false;
	if (vm->use == CS_VM_ASSIGNED)
		vm->gone = true;
	else
		cs_groups_remove_vm (g, vm);
	return true;
}

/* Ends the VM's assignment, and removes the VM if it is no longer listed. */
static void
unassign_vm (cs_groups_t *g, cs_vm_t *vm)
{
	if (vm->gone) {
		cs_groups_remove_vm (g, vm);
		return;
	}
	vm->use = g->disabled & CS_GROUPS_FREE_AFTER_IDLE ? CS_VM_FREE : CS_VM_RELEASING;
	vm->previous_fence = 0;
	vm->group = NULL;
}

/* Whether the VM is among the first n members that the record names. */
static bool
names_member (const Cs__Form *r, const char *vm, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp (r->members[i], vm))
			return true;
	return false;
}

/* Whether the VM that the record names as member i can join the group. old is the group as
 * currently formed, NULL if it is not formed. */
static bool
is_member_available (const cs_groups_t *g, const Cs__Form *r, const cs_group_t *old, size_t i)
{
	const cs_vm_t *vm = cs_groups_find_vm (g, r->members[i]);
	const cs_vm_t *head = cs_groups_find_vm (g, r->members[0]);
	if (!vm || vm->leaving || vm->gone || names_member (r, vm->vm, i))
		return false;
	if (!(g->disabled & CS_GROUPS_ONE_DOMAIN) &&
	    strcmp (vm->fabric_domain, head->fabric_domain) != 0)
		return false;
	return vm->use == CS_VM_FREE || (vm->use == CS_VM_ASSIGNED && vm->group == old);
}

/* Whether the record's precondition holds; old as in is_member_available. */
static bool
is_form_valid (const cs_groups_t *g, const Cs__Form *r, const cs_group_t *old)
{
	if (!*r->group || !r->n_members)
		return false;
	if (!(g->disabled & CS_GROUPS_PREVIOUS_FENCE) &&
	    r->previous_fence != (old ? old->fence : 0))
		return false;
	for (size_t i = 0; i < r->n_members; i++)
		if (!is_member_available (g, r, old, i))
			return false;
	return true;
}

static bool
apply_form (cs_groups_t *g, uint64_t offset, const Cs__Form *r)
{
	cs_group_t *old = cs_groups_find (g, r->group);
	if (!is_form_valid (g, r, old))
		return false;
	uint64_t previous_fence = old ? old->fence : 0;
	for (size_t i = 0; old && i < old->n_members; i++)
		if (!names_member (r, old->members[i]->vm, r->n_members))
			unassign_vm (g, old->members[i]);
	if (old)
		cs_groups_remove_group (g, old);

	cs_group_t *group = cs_groups_add_group (g, r->group, offset, r->n_members);
	group->model_group = cs_str_dup (cs_str (r->model_group));
	group->model = cs_str_dup (cs_str (r->model));
	group->version = cs_str_dup (cs_str (r->version));
	group->previous_fence = previous_fence;
	group->n_members = r->n_members;
	for (size_t i = 0; i < r->n_members; i++) {
		cs_vm_t *vm = cs_groups_find_vm (g, r->members[i]);
		vm->previous_fence = vm->use == CS_VM_ASSIGNED ? previous_fence : 0;
		vm->use = CS_VM_ASSIGNED;
		vm->fence = offset;
		vm->group = group;
		group->members[i] = vm;
	}
	return true;
}

static bool
apply_dissolve (cs_groups_t *g, const Cs__Dissolve *r)
{
	cs_group_t *group = cs_groups_find (g, r->group);
	if (!group || group->fence != r->fence)
		return false;
	for (size_t i = 0; i < group->n_members; i++)
		unassign_vm (g, group->members[i]);
	cs_groups_remove_group (g, group);
	return true;
}

static bool
apply_freed (const cs_groups_t *g, const Cs__Freed *r)
{
	cs_vm_t *vm = cs_groups_find_vm (g, r->vm);
	if (!vm || vm->use != CS_VM_RELEASING || vm->fence != r->fence)
		return false;
	vm->use = CS_VM_FREE;
	return true;
}

bool
cs_groups_apply (cs_groups_t *g, uint64_t offset, const Cs__Record *record)
{
	if (offset < g->next_offset)
		return false;
	g->next_offset = offset + 1;
	switch (record->body_case) {
	case CS__RECORD__BODY_VM_SEEN:
		return apply_vm_seen (g, offset, record->vm_seen);
	case CS__RECORD__BODY_VM_GONE:
		return apply_vm_gone (g, record->vm_gone);
	case CS__RECORD__BODY_FORM:
		return apply_form (g, offset, record->form);
	case CS__RECORD__BODY_DISSOLVE:
		return apply_dissolve (g, record->dissolve);
	case CS__RECORD__BODY_FREED:
		return apply_freed (g, record->freed);
	default:
		return true;
	}
}
