/* State of one simulated zone, shared by the parts of the replay. */
#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

#include "support_groups.h"

enum {
	STEP_MS = 2000,
	MEMBERS = 4,
	LIST_LAG_MS = 5000,    /* time until the VM list omits a failed VM */
	REQUEST_MS = 20000,    /* duration of a request */
	LOAD_MS = 60000,       /* one member's load at full rate */
	STORE_MAX_LOADS = 8,   /* concurrent loads that the weight store serves at full rate */
	SLOW_LOAD_MS = 240000, /* as LOAD_MS and STORE_MAX_LOADS, with a slow weight store */
	SLOW_MAX_LOADS = 4,
	UNCHANGED_STEPS = 10, /* steps without a change after which time may be skipped */
};

typedef struct {
	char vm[32];
	char domain[16];
	char url[40];
	uint32_t generation;
	bool listed, leaving, failed;
	int64_t silent_until_ms;  /* the VM does not answer before this time */
	bool refuses_connections; /* the host refuses connections while the VM is silent */
	int64_t unlist_at_ms;     /* time at which the VM leaves the VM list; 0: never */
	int64_t stop_at_ms;       /* time at which a leaving VM stops; 0: never */
	int64_t replace_at_ms;    /* time from which another VM may take the slot; 0: never */
	cs_member_state_t state;
	char group[48];
	uint64_t fence, highest_fence; /* of the current order; highest accepted so far */
	int64_t load_left_ms;          /* remaining load time at full rate */
	bool has_weights;              /* weights are in memory, so that loads take one step */
	int64_t busy_until_ms;         /* the last request ends at this time */
} slot_t;

typedef struct {
	const size_spec_t *size;
	const scenario_t *scenario;
	policy_t policy;
	double downtime_weight, stranded_weight;
	int64_t now_ms;
	uint64_t offset;
	uint32_t zone;
	slot_t *slots;
	size_t n;
	cs_groups_t groups;
	cs_evidence_t evidence;
	cs_planner_t planner;
	Cs__ModelGroup spec;
	cs_desired_t desired;
	cs_listed_vm_t *list;
	size_t n_list;
	size_t steps;
	double downtime_s, cross_domain_s, stranded_s;
	size_t unchanged_steps; /* steps without a change */
} world_t;

/* Applies the world's baseline policy to all groups with lost or leaving members. */
void baseline_apply (world_t *w);

#endif
