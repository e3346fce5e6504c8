/* Declarations shared by the files of the simulated zone. */
#ifndef SUPPORT_ZONE_PARTS_H
#define SUPPORT_ZONE_PARTS_H

#include "support_zone.h"

/* Records a violated invariant, unless there has been one before. */
void zone_record_violation (zone_t *z, const char *what, const char *name);

/* support_zone_engines.c */
bool zone_vm_reachable (const zone_t *z, const zone_vm_t *vm);
zone_vm_t *zone_find_vm (zone_t *z, const char *name);
/* Requests in progress on the VM under its assignment. */
uint32_t zone_running_requests (const zone_t *z, const zone_vm_t *vm);
void zone_step_engines (zone_t *z);
void zone_end_assignment (zone_vm_t *vm);
void zone_send_order (zone_t *z, const cs_action_t *a);
void zone_deliver_orders (zone_t *z);

/* support_zone_daemon.c */
void zone_run_daemon (zone_t *z, zone_daemon_t *d);

/* support_zone_check.c */
void zone_end_requests (zone_t *z);
void zone_check_invariants (zone_t *z);
/* Number of groups that the live VMs could form, at most ZONE_REPLICAS. */
size_t zone_count_possible_groups (const zone_t *z);

/* support_zone_faults.c */
void zone_inject_fault (zone_t *z, const zone_fault_t *f);
/* Lists live VMs again that were unlisted while paused. */
void zone_relist_vms (zone_t *z);

#endif
