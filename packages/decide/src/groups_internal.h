/* Changes to the state, shared by groups_apply.c and groups_snapshot.c. */
#ifndef GROUPS_INTERNAL_H
#define GROUPS_INTERNAL_H

#include "cs/groups.h"

cs_vm_t *cs_groups_add_vm (cs_groups_t *g, const char *name);
/* Removes and frees a VM, which must not be a member of any group. */
void cs_groups_remove_vm (cs_groups_t *g, cs_vm_t *vm);
/* Allocates n_members NULL entries in members; the caller sets them and the member
 * count. */
cs_group_t *cs_groups_add_group (cs_groups_t *g, const char *name, uint64_t fence,
				 size_t n_members);
/* Removes and frees a group. The members' `group` pointers are not reset. */
void cs_groups_remove_group (cs_groups_t *g, cs_group_t *group);

#endif
