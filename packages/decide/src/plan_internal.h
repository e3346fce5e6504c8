/* State of one planner run, and the hints kept between runs. */
#ifndef PLAN_INTERNAL_H
#define PLAN_INTERNAL_H

#include "cs/planner.h"

/* An action that is needed, e.g. freeing a VM. It is dropped after the first run that does not need
 * it any more. */
struct cs_planner_intent {
	uint64_t key;
	int64_t since_ms;        /* when the action was first needed */
	int64_t last_action_ms;  /* when it was last issued; -1: never */
	int64_t first_action_ms; /* load: when the order was first issued */
	bool from_store;         /* load: reads the weights from the weight store */
	uint64_t weights;        /* load: hash of model and version */
	uint32_t run;            /* last run that used the entry */
	UT_hash_handle hh;
};

/* Observations on one assignment. */
struct cs_planner_assignment {
	uint64_t fence;
	uint64_t weights;      /* hash of model and version; 0: never observed as current */
	int64_t seen_ms;       /* first observed */
	int64_t superseded_ms; /* first observed to be superseded; -1: current */
	bool was_whole;
	bool member_gone;   /* a member has been recorded as gone */
	size_t members;     /* number of members; 0: never observed as current */
	uint32_t whole_run; /* last run in which the group was whole */
	size_t n_ready;     /* VMs that reported READY with this fence in ready_run */
	uint32_t ready_run;
	uint32_t lost_run; /* last run in which a VM with this assignment was lost */
	uint32_t busy_run; /* last run in which a VM reported requests on it */
	uint32_t run;      /* last run that used the entry */
	UT_hash_handle hh;
};

typedef struct {
	const char *name;
	const cs_vm_t **vms; /* slice of plan_context_t.vms */
	size_t n;
	const cs_vm_t **spares; /* usable free VMs; the one freed longest ago first */
	size_t n_spares;        /* not yet used in this run */
	size_t n_returning;     /* VMs that will be free soon, see is_returning */
	bool mostly_silent;     /* at least two, and at least half, of its VMs are silent */
} domain_t;

/* A group that is declared or formed. */
typedef struct {
	char *name;
	const cs_desired_t *desired;         /* NULL: to be dissolved */
	const cs_group_t *group;             /* NULL: not formed */
	cs_planner_assignment_t *assignment; /* of the group's fence */
	domain_t *domain;                    /* fabric domain of the members */
	size_t unfit;                        /* members lost, leaving, or overdue */
	size_t lost;
	int64_t overdue_ms;    /* longest overdue load of a member; 0: none */
	int64_t silence_ms;    /* shortest silence of a lost member */
	int64_t wait_ms;       /* expected time until the unfit members are usable */
	uint32_t accelerators; /* of the fit members */
	bool whole;
	bool drained; /* no request runs on the group, or a member is lost */
	bool handled; /* this run has chosen an action for the group */
} target_t;

/* Working state of one run. */
typedef struct {
	cs_planner_t *p;
	const cs_plan_input_t *in;
	cs_plan_t *out;
	const cs_vm_t **vms; /* by domain, then by name */
	const cs_vm_t **spares;
	size_t n_vms;
	domain_t *domains;
	size_t n_domains;
	target_t *targets;
	size_t n_targets;
	size_t cap_targets;
	size_t pending_loads; /* loads that members still have to make */
	bool fresh; /* the state is recent enough for records and for orders without fencing */
	bool mostly_silent; /* most VMs are silent: this daemon may be partitioned */
} plan_context_t;

/* State of a VM without a group with respect to certain weights. */
typedef enum {
	WARMTH_NONE,
	WARMTH_OTHER, /* other weights, a load that timed out, or not yet known */
	WARMTH_LOADING,
	WARMTH_READY
} warmth_t;

enum {
	NEVER_MS = 1 << 30 /* longer than any wait */
};

/* plan_hints.c */
/* Returns the intent for an action on the named VM or group, created if new, and keeps it for
 * the next run. */
cs_planner_intent_t *plan_intent (plan_context_t *w, const char *action, const char *name,
				  uint64_t number);
/* Returns the intent for an action on the named VM or group, NULL if there is none. */
cs_planner_intent_t *plan_find_intent (const plan_context_t *w, const char *action,
				       const char *name, uint64_t number);
/* Whether to act on an intent now: after this daemon's stagger delay, and repeat_ms after the
 * last action. */
bool plan_is_due (plan_context_t *w, cs_planner_intent_t *intent, int64_t repeat_ms);
/* Returns the observations on the assignment, created if there are none. */
cs_planner_assignment_t *plan_assignment (plan_context_t *w, uint64_t fence);
/* Returns the observations on the assignment, NULL if there are none. */
cs_planner_assignment_t *plan_find_assignment (const plan_context_t *w, uint64_t fence);
/* Drops the intents and observations that this run has not used. */
void plan_drop_stale_hints (plan_context_t *w);
/* Hash that identifies weights; never 0. */
uint64_t plan_hash_weights (const char *model, const char *version);
uint64_t plan_hash_spec_weights (const Cs__ModelGroup *spec);

/* plan_view.c */
void plan_view_init (plan_context_t *w);
void plan_view_finish (plan_context_t *w);
/* Returns the VM's last report, NULL if it is older than lost_after_ms. */
const cs_vm_report_t *plan_fresh_report (const plan_context_t *w, const cs_vm_t *vm);
/* Time in ms since the VM's last report, at most since this planner's start or last pause. */
int64_t plan_silence_ms (const plan_context_t *w, const cs_vm_t *vm);
/* Whether the VM's engine has ended, so that its loaded weights are lost. */
bool plan_engine_ended (const plan_context_t *w, const cs_vm_t *vm);
bool plan_is_lost (const plan_context_t *w, const cs_vm_t *vm);
bool plan_is_disabled (const plan_context_t *w, cs_planner_mechanism_t mechanism);
/* Whether requests may still run on a superseded assignment, so that orders have to wait. */
bool plan_is_draining (const plan_context_t *w, uint64_t fence);

/* plan_targets.c */
void plan_targets_init (plan_context_t *w);

/* plan_actions.c */
/* Adds an action that appends the record. Takes ownership of the record; drops it if the rate limit
 * is reached. */
void plan_append (plan_context_t *w, cs_planner_intent_t *intent, Cs__Record *record,
		  const char *reason);
/* Returns an empty record, to be freed with cs__record__free_unpacked. */
Cs__Record *plan_record_new (void);
void plan_append_form (plan_context_t *w, target_t *t, const cs_vm_t **members, const char *reason);
void plan_append_dissolve (plan_context_t *w, target_t *t, const char *reason);
void plan_add_poll (plan_context_t *w, const cs_vm_t *vm);
void plan_order_load (plan_context_t *w, const target_t *t, size_t rank);
/* Orders a spare to load the declared weights without a group. */
void plan_order_spare_load (plan_context_t *w, const Cs__ModelGroup *spec, const cs_vm_t *vm);
void plan_order_release (plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *report);
/* Whether the rate limit and the age of the state allow an order. fences_orders: the engine
 * rejects orders with an old fencing number. */
bool plan_may_order (const plan_context_t *w, bool fences_orders);

/* plan_silences.c */
/* Adds a silence that has ended to the history. */
void plan_record_silence (plan_context_t *w, int64_t ms, bool kept);
/* Whether waiting for a member that has been silent for silence_ms is expected to make the
 * group whole sooner than a load of load_ms on a substitute. */
bool plan_is_wait_faster (const plan_context_t *w, int64_t silence_ms, int64_t load_ms);

/* plan_repair.c */
/* Fills the list with the groups that have unfit members, the highest cost per missing member
 * first; returns their number. */
size_t plan_list_broken (plan_context_t *w, target_t **list);
/* Whether a broken group may get a new assignment already. */
bool plan_may_reassign (const plan_context_t *w, const target_t *t);
/* Number of VMs that the group lacks. */
size_t plan_count_missing (const target_t *t);
/* Forms the group from its fit members and spares of its domain. */
void plan_replace_members (plan_context_t *w, target_t *t, const char *reason);
/* The domain with the most spares, of those where a whole group fits; NULL if there is none. */
domain_t *plan_find_domain (plan_context_t *w, size_t members, const domain_t *except);
/* Forms the group from a domain's spares only. */
void plan_form_in_domain (plan_context_t *w, target_t *t, domain_t *d, const char *reason);

/* Steps of a run. */
void plan_observe_loads (plan_context_t *w);
void plan_compare_list (plan_context_t *w);
void plan_release_vms (plan_context_t *w);
void plan_dissolve_undeclared (plan_context_t *w);
void plan_repair_groups (plan_context_t *w);
void plan_merge_groups (plan_context_t *w);
void plan_form_groups (plan_context_t *w);
void plan_order_loads (plan_context_t *w);

/* plan_load_times.c */
/* Expected time in ms of one load from the weight store. */
int64_t plan_one_load_ms (const plan_context_t *w, uint64_t weights);
/* Whether the load that the VM reports has timed out. */
bool plan_is_load_overdue (const plan_context_t *w, const cs_vm_report_t *r);
/* Duration in ms of a member's load of the group's assignment if it has timed out, else 0. */
int64_t plan_overdue_load_ms (const plan_context_t *w, const cs_group_t *g, const cs_vm_t *vm);
/* Updates the estimate with the duration of a load. */
void plan_record_load_time (plan_context_t *w, uint64_t weights, int64_t ms);

/* plan_warm.c */
/* Whether the VM reports a load that was ordered without a group. */
bool plan_is_warm (const cs_vm_t *vm, const cs_vm_report_t *r);
/* Whether a free VM may keep the weights that it holds without a group. */
bool plan_may_stay_warm (const plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *r);
warmth_t plan_warmth (const plan_context_t *w, const cs_vm_t *vm, uint64_t weights);
/* Number of the domain's spares that hold the declared weights. */
size_t plan_count_warm (const plan_context_t *w, const domain_t *d, const Cs__ModelGroup *spec);
/* The intent behind the load that a VM reports without a group; NULL if unknown. */
cs_planner_intent_t *plan_find_warm_order (const plan_context_t *w, const cs_vm_t *vm,
					   const cs_vm_report_t *r);
/* Orders spares to load while fewer loads run than their share of the limit; n_loading: loads in
 * progress. */
void plan_warm_spares (plan_context_t *w, size_t n_loading);

/* plan_loads.c */
/* Whether the VM reports the group's assignment. */
bool plan_reports_assignment (const cs_group_t *g, const cs_vm_report_t *r);

/* plan_cost.c: expected times and costs. */
/* Expected time in ms until `loads` more members have loaded weights and started, after the pending
 * loads. */
int64_t plan_time_for_loads_ms (const plan_context_t *w, uint64_t weights, size_t loads);
/* Whether an action costs less than max_cost_ratio times the cost of waiting. */
bool plan_is_action_cheaper (const plan_context_t *w, double action_cost, double wait_cost);

#endif
