/* VMs and groups of a zone: construction, lookup and iteration. */
#include "groups_internal.h"

#include <stdlib.h>
#include <string.h>

void
cs_groups_init (cs_groups_t *g)
{
	memset (g, 0, sizeof *g);
	g->next_offset = 1;
}

void
cs_groups_remove_vm (cs_groups_t *g, cs_vm_t *vm)
{
	HASH_DEL (g->vms, vm); /* NOLINT: the analyzer cannot follow uthash's links */
	free (vm->vm);
	free (vm->fabric_domain);
	free (vm->url);
	free (vm);
}

void
cs_groups_remove_group (cs_groups_t *g, cs_group_t *group)
{
	HASH_DEL (g->groups, group); /* NOLINT: the analyzer cannot follow uthash's links */
	HASH_DELETE (by_fence, g->groups_by_fence, group); /* NOLINT: as above */
	free (group->group);
	free (group->model_group);
	free (group->model);
	free (group->version);
	free (group->members);
	free (group);
}

void
cs_groups_finish (cs_groups_t *g)
{
	cs_group_t *group, *next_group;
	cs_vm_t *vm, *next_vm;
	HASH_ITER (hh, g->groups, group, next_group) {
		cs_groups_remove_group (g, group);
	}
	HASH_ITER (hh, g->vms, vm, next_vm) {
		cs_groups_remove_vm (g, vm);
	}
}

cs_vm_t *
cs_groups_add_vm (cs_groups_t *g, const char *name) /* NOLINT: statements of uthash's macros */
{
	cs_vm_t *vm = cs_alloc (sizeof *vm);
	vm->vm = cs_str_dup (cs_str (name));
	HASH_ADD_KEYPTR (hh, g->vms, vm->vm, strlen (vm->vm), vm);
	return vm;
}

cs_group_t *
cs_groups_add_group (cs_groups_t *g, const char *name, /* NOLINT: statements of uthash's macros */
		     uint64_t fence, size_t n_members)
{
	cs_group_t *group = cs_alloc (sizeof *group);
	group->group = cs_str_dup (cs_str (name));
	group->fence = fence;
	group->members = cs_alloc (n_members * sizeof (cs_vm_t *));
	HASH_ADD_KEYPTR (hh, g->groups, group->group, strlen (group->group), group);
	HASH_ADD (by_fence, g->groups_by_fence, fence, sizeof group->fence, group);
	return group;
}

cs_group_t *
cs_groups_find (const cs_groups_t *g, const char *group)
{
	cs_group_t *found;
	HASH_FIND (hh, g->groups, group, strlen (group), found);
	return found;
}

cs_group_t *
cs_groups_find_by_fence (const cs_groups_t *g, uint64_t fence)
{
	cs_group_t *found;
	HASH_FIND (by_fence, g->groups_by_fence, &fence, sizeof fence, found);
	return found;
}

cs_vm_t *
cs_groups_find_vm (const cs_groups_t *g, const char *vm)
{
	cs_vm_t *found;
	HASH_FIND (hh, g->vms, vm, strlen (vm), found);
	return found;
}

cs_group_t *
cs_groups_next (const cs_groups_t *g, const cs_group_t *at)
{
	return at ? at->hh.next : g->groups;
}

cs_vm_t *
cs_groups_next_vm (const cs_groups_t *g, const cs_vm_t *at)
{
	return at ? at->hh.next : g->vms;
}
