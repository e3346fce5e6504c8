/* Simulation of one planner, its applied state and the engines of one fabric domain. */
#ifndef SUPPORT_PLANNER_H
#define SUPPORT_PLANNER_H

#include "cs/planner.h"

enum {
	PLANNER_STEP_MS = 500,
	PLANNER_VMS = 4,
	PLANNER_MEMBERS = 2
};

typedef struct {
	char vm[8];
	cs_member_state_t state;
	char group[24];
	char version[8];
	uint64_t fence;
	bool has_weights;        /* holds the weights of its version */
	int64_t ready_ms;        /* end of its load */
	int64_t store_load_ms;   /* duration of a load from the weight store */
	int64_t silent_until_ms; /* sends no reports until this time */
	bool ended;              /* the engine has ended: its host refuses connections */
	bool leaving;
	uint32_t loads; /* number of loads from the weight store */
} planner_vm_t;

typedef struct {
	int64_t now_ms;
	uint64_t offset;
	int64_t formed_ms;          /* time of the last FORM */
	int64_t min_order_delay_ms; /* shortest time from a FORM to a load order of its group */
	planner_vm_t vms[PLANNER_VMS];
	cs_groups_t groups;
	cs_evidence_t evidence;
	cs_planner_t planner;
	Cs__ModelGroup spec;
	double weights[2]; /* of downtime and of stranded accelerators */
} planner_sim_t;

/* weights: of downtime and of stranded accelerators; without: name of the disabled mechanism. */
void planner_sim_init (planner_sim_t *w, const double *weights, const char *without);
void planner_sim_finish (planner_sim_t *w);
void planner_sim_step (planner_sim_t *w);
/* Steps until the group is whole; returns the time it took in ms, or about max_ms. */
int64_t planner_sim_run_until_whole (planner_sim_t *w, int64_t max_ms);
/* The group's member of that rank, NULL if the group is not formed. */
planner_vm_t *planner_sim_member (planner_sim_t *w, size_t rank);
/* Whether the VM is assigned to the group. */
bool planner_sim_is_assigned (const planner_sim_t *w, const planner_vm_t *vm);
/* The group's fencing number, 0 if it is not formed. */
uint64_t planner_sim_fence (const planner_sim_t *w);

#endif
