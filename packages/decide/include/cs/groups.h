/* State machine of one zone's record stream: the VMs and the groups that they form.
 *
 * The state depends on the records alone, so daemons that have applied the same offsets
 * hold the same groups. A VM is in at most one group. The offset of a FORM record is the
 * fencing number of the group's assignment.
 *
 * A newly listed VM is in state RELEASING and becomes FREE only by a FREED record, after it
 * has reported idle: a VM that returns under an old name may still hold an assignment. */
#ifndef CS_GROUPS_H
#define CS_GROUPS_H

#include <uthash.h>

#include "cs/record.pb-c.h"
#include "cs/status.h"
#include "cs/str.h"

typedef enum {
	CS_VM_RELEASING, /* may still hold the assignment `fence`; cannot join a group */
	CS_VM_FREE,      /* has reported idle; can join a group */
	CS_VM_ASSIGNED   /* member of a group */
} cs_vm_use_t;

typedef struct cs_group cs_group_t;

/* One VM of the zone. */
typedef struct {
	char *vm;
	char *fabric_domain;
	char *url;
	uint32_t accelerators; /* number of accelerators */
	bool leaving;          /* listed as leaving; cannot join a group */
	bool gone;             /* no longer listed; kept while it is a member of a group */
	cs_vm_use_t use;
	uint64_t fence;          /* fencing number of the current or last assignment; before the
				    first one, the offset of the record that listed the VM */
	uint64_t previous_fence; /* fencing number of the group's preceding assignment if the VM
				    was a member of it, else 0 */
	cs_group_t *group;       /* NULL unless assigned */
	UT_hash_handle hh;
} cs_vm_t;

/* One group; its members are VMs of one fabric domain. */
struct cs_group {
	char *group; /* MODEL_GROUP/ZONE/INDEX */
	char *model_group;
	char *model;
	char *version;
	uint64_t fence;          /* fencing number of the current assignment */
	uint64_t previous_fence; /* fencing number of the preceding assignment; 0: none */
	cs_vm_t **members;       /* the first one is the head */
	size_t n_members;
	UT_hash_handle hh;
	UT_hash_handle by_fence;
};

/* Checks that a test can disable, as bits of cs_groups_t.disabled. */
typedef enum {
	CS_GROUPS_PREVIOUS_FENCE = 1, /* compare FORM's previous fencing number */
	CS_GROUPS_ONE_DOMAIN = 2,     /* require one fabric domain for all members */
	CS_GROUPS_FREE_AFTER_IDLE = 4 /* former members are RELEASING until FREED */
} cs_groups_mechanism_t;

typedef struct {
	cs_vm_t *vms;
	cs_group_t *groups;
	cs_group_t *groups_by_fence;
	uint64_t next_offset; /* offset after the last applied record */
	unsigned disabled;    /* cs_groups_mechanism_t bits */
} cs_groups_t;

void cs_groups_init (cs_groups_t *g);
void cs_groups_finish (cs_groups_t *g);
/* Applies the record at the offset. Offsets must increase: a record below g->next_offset changes
 * nothing. Returns false if the record is below g->next_offset or its precondition does not hold. A
 * record whose precondition does not hold, or of a kind that does not concern VMs or groups,
 * changes only g->next_offset. */
bool cs_groups_apply (cs_groups_t *g, uint64_t offset, const Cs__Record *record);

/* Lookups; NULL if not found. The result is owned by g and valid until the next cs_groups_apply
 * or cs_groups_restore. */
cs_group_t *cs_groups_find (const cs_groups_t *g, const char *group);
cs_group_t *cs_groups_find_by_fence (const cs_groups_t *g, uint64_t fence);
cs_vm_t *cs_groups_find_vm (const cs_groups_t *g, const char *vm);
/* Iterate in a fixed order: return the element after `at`, or the first one if `at` is NULL; NULL
 * at the end. */
cs_group_t *cs_groups_next (const cs_groups_t *g, const cs_group_t *at);
cs_vm_t *cs_groups_next_vm (const cs_groups_t *g, const cs_vm_t *at);

/* Appends the state, except for `disabled`, as a packed GroupsState. */
void cs_groups_snapshot (const cs_groups_t *g, cs_buf_t *out);
/* Replaces the state, except for `disabled`, by the one in a packed GroupsState. Returns CS_INVALID
 * and changes nothing if the bytes do not decode to a consistent state. */
cs_status_t cs_groups_restore (cs_groups_t *g, cs_str_t bytes);

#endif
