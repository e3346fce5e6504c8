/* Functions of groups.c that change the state, for groups_apply.c and groups_snapshot.c. */
#ifndef GROUPS_INTERNAL_H
#define GROUPS_INTERNAL_H

#include "cs/groups.h"

/* Adds a VM of which only the name is set. No VM may have that name yet. */
cs_vm_t *cs_groups_add_vm (cs_groups_t *g, const char *name);
/* Removes and frees a VM, which must not be a member of any group. */
void cs_groups_remove_vm (cs_groups_t *g, cs_vm_t *vm);
/* Adds a group of which only the name and the fencing number are set; no group may have either yet.
 * Allocates n_members NULL entries in `members`; the caller sets them and the group's n_members. */
cs_group_t *cs_groups_add_group (cs_groups_t *g, const char *name, uint64_t fence,
				 size_t n_members);
/* Removes and frees a group. The members' `group` pointers are not reset. */
void cs_groups_remove_group (cs_groups_t *g, cs_group_t *group);

#endif
