/* One run of the planner: what it looks at, and what it remembers. */
#ifndef PLAN_INTERNAL_H
#define PLAN_INTERNAL_H

#include "cs/planner.h"

/* Something wanted, e.g. that a VM be freed; kept while it is wanted in every run. */
struct cs_planner_intent {
	uint64_t key;
	int64_t since_ms;
	int64_t last_action_ms;  /* last action for it; -1: none */
	int64_t first_action_ms; /* first action for it */
	bool from_store;         /* of a load: its weights come from the store */
	uint64_t weights;        /* of a load */
	uint32_t run;
	UT_hash_handle hh;
};

/* What was seen of one assignment. */
struct cs_planner_assignment {
	uint64_t fence;
	uint64_t weights;      /* hash of model and version; 0: not seen as a present one */
	int64_t seen_ms;       /* first seen */
	int64_t superseded_ms; /* first seen to be past; -1: present */
	bool was_whole;
	bool member_gone;   /* a member was taken off the list */
	size_t members;     /* as long as it was present */
	uint32_t whole_run; /* last run in which the group was whole */
	size_t n_ready;     /* VMs that reported ready under it in ready_run */
	uint32_t ready_run;
	uint32_t lost_run; /* last run in which a VM that held it was lost */
	uint32_t busy_run; /* last run in which a VM reported work under it */
	uint32_t run;
	UT_hash_handle hh;
};

typedef struct {
	const char *name;
	const cs_vm_t **vms; /* all of the domain; a slice of work_t's */
	size_t n;
	const cs_vm_t **spares; /* free, idle, heard; the one freed longest ago first */
	size_t n_spares;        /* not yet promised in this run */
	size_t n_returning;     /* listed VMs that will be free when released */
	bool mostly_silent;     /* most of its VMs are silent */
} domain_t;

/* A group that is declared or formed. */
typedef struct {
	char *name;
	const cs_desired_t *desired;         /* NULL: to be dissolved */
	const cs_group_t *group;             /* NULL: not formed */
	cs_planner_assignment_t *assignment; /* of the group's fence */
	domain_t *domain;                    /* of the group's members */
	size_t unfit;                        /* members lost, leaving, or overdue */
	size_t lost;
	int64_t overdue_ms;    /* longest load among members whose load has failed; 0: none */
	int64_t silence_ms;    /* shortest among the lost members */
	int64_t wait_ms;       /* expected time until the lost members are back */
	uint32_t accelerators; /* of the fit members */
	bool whole;
	bool drained; /* nothing runs on it */
	bool handled; /* an action was chosen in this run */
} target_t;

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
	size_t pending_loads; /* members that still have to load weights */
	bool fresh;           /* the fold is recent enough for orders and appends to rest on */
	bool mostly_silent;   /* most of the zone is silent: the fault may be this daemon's */
} plan_context_t;

/* What a VM holds without a group, compared with the weights that are wanted. */
typedef enum {
	WARMTH_NONE,
	WARMTH_OTHER,
	WARMTH_LOADING,
	WARMTH_READY
} warmth_t;

enum {
	NEVER_MS = 1 << 30 /* longer than any wait */
};

/* plan_memory.c */
/* The time since which this has been wanted; makes the wish if it is new. */
cs_planner_intent_t *plan_intent (plan_context_t *w, const char *what, const char *name,
				  uint64_t number);
/* The wish, NULL if there is none. */
cs_planner_intent_t *plan_find_intent (const plan_context_t *w, const char *what, const char *name,
				       uint64_t number);
/* Whether to act on a wish now: not before this planner's turn, nor again too soon. */
bool plan_is_due (plan_context_t *w, cs_planner_intent_t *intent, int64_t repeat_ms);
cs_planner_assignment_t *plan_assignment (plan_context_t *w, uint64_t fence);
cs_planner_assignment_t *plan_find_assignment (const plan_context_t *w, uint64_t fence);
/* Forgets what this run has not touched. */
void plan_drop_stale_hints (plan_context_t *w);
uint64_t plan_hash_weights (const char *model, const char *version);
/* Of a declaration. */
uint64_t plan_hash_spec_weights (const Cs__ModelGroup *spec);

/* plan_view.c */
void plan_view_init (plan_context_t *w);
void plan_view_finish (plan_context_t *w);
const cs_vm_report_t *plan_fresh_report (const plan_context_t *w, const cs_vm_t *vm);
/* How long the VM has been silent, as far as this planner can tell. */
int64_t plan_silence_ms (const plan_context_t *w, const cs_vm_t *vm);
/* Whether nothing runs on the VM any more, so that what it had loaded is lost. */
bool plan_engine_ended (const plan_context_t *w, const cs_vm_t *vm);
bool plan_is_lost (const plan_context_t *w, const cs_vm_t *vm);
bool plan_is_disabled (const plan_context_t *w, cs_planner_mechanism_t mechanism);
/* Whether requests may still run on a past assignment, so that orders have to wait. */
bool plan_is_draining (const plan_context_t *w, uint64_t fence);

/* plan_targets.c */
void plan_targets_init (plan_context_t *w);

/* plan_actions.c */
void plan_append (plan_context_t *w, cs_planner_intent_t *intent, Cs__Record *record,
		  const char *reason);
Cs__Record *plan_record_new (void);
void plan_append_form (plan_context_t *w, target_t *t, const cs_vm_t **members, const char *reason);
void plan_append_dissolve (plan_context_t *w, target_t *t, const char *reason);
void plan_add_poll (plan_context_t *w, const cs_vm_t *vm);
void plan_order_load (plan_context_t *w, const target_t *t, size_t rank);
/* Orders a spare to load a declaration's weights, without a group. */
void plan_order_spare_load (plan_context_t *w, const Cs__ModelGroup *spec, const cs_vm_t *vm);
void plan_order_release (plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *report);
/* Whether an order may go out now for engines of this kind. */
bool plan_may_order (const plan_context_t *w, bool fences_orders);

/* plan_returns.c */
/* Remembers the end of a VM's silence. */
void plan_record_silence (plan_context_t *w, int64_t ms, bool kept);
/* Whether waiting for a member that has been silent so long is expected to make the group
 * whole sooner than a load that takes load_ms. */
bool plan_wait_pays (const plan_context_t *w, int64_t silence_ms, int64_t load_ms);

/* plan_repair.c */
/* Fills the list with broken groups, the most worth repairing first; how many. */
size_t plan_list_broken (plan_context_t *w, target_t **list);
/* Whether a broken group may be assigned anew already. */
bool plan_may_reassign (const plan_context_t *w, const target_t *t);
/* VMs that the group lacks. */
size_t plan_count_missing (const target_t *t);
/* Forms the group of its fit members and spares of its domain. */
void plan_replace_members (plan_context_t *w, target_t *t, const char *reason);
/* The domain with the most spares if a whole group fits; NULL if none does. */
domain_t *plan_find_domain (plan_context_t *w, size_t members, const domain_t *except);
/* Forms the group wholly of a domain's spares. */
void plan_form_in_domain (plan_context_t *w, target_t *t, domain_t *d, const char *reason);

/* The steps, in their order. */
void plan_observe_loads (plan_context_t *w);
void plan_compare_list (plan_context_t *w);
void plan_release_vms (plan_context_t *w);
void plan_dissolve_undeclared (plan_context_t *w);
void plan_repair_groups (plan_context_t *w);
void plan_merge_groups (plan_context_t *w);
void plan_form_groups (plan_context_t *w);
void plan_order_loads (plan_context_t *w);

/* plan_progress.c */
/* Expected time of one load from the store. */
int64_t plan_one_load_ms (const plan_context_t *w, uint64_t weights);
/* Whether the load that the VM reports lasts much longer than expected. */
bool plan_is_load_overdue (const plan_context_t *w, const cs_vm_report_t *r);
/* How long a member's load of the group's assignment has lasted if it is overdue, else 0. */
int64_t plan_overdue_load_ms (const plan_context_t *w, const cs_group_t *g, const cs_vm_t *vm);
/* Takes a load's time into the estimate. */
void plan_record_load_time (plan_context_t *w, uint64_t weights, int64_t ms);

/* plan_warm.c */
/* Whether the VM reports a load that was ordered without a group. */
bool plan_is_warm (const cs_vm_t *vm, const cs_vm_report_t *r);
bool plan_may_stay_warm (const plan_context_t *w, const cs_vm_t *vm, const cs_vm_report_t *r);
warmth_t plan_warmth (const plan_context_t *w, const cs_vm_t *vm, uint64_t weights);
/* Spares of the domain that hold the declared weights. */
size_t plan_count_warm (const plan_context_t *w, const domain_t *d, const Cs__ModelGroup *spec);
/* The order by which a VM came to what it reports without a group; NULL if unknown. */
cs_planner_intent_t *plan_find_warm_order (const plan_context_t *w, const cs_vm_t *vm,
					   const cs_vm_report_t *r);
/* Orders spares to load, with what busy loads leave of the store's share. */
void plan_warm_spares (plan_context_t *w, size_t busy);

/* plan_loads.c */
/* Whether the VM reports the group's assignment. */
bool plan_reports_assignment (const cs_group_t *g, const cs_vm_report_t *r);

/* plan_cost.c: expected times and costs. */
int64_t plan_time_for_loads_ms (const plan_context_t *w, uint64_t weights, size_t loads);
bool plan_action_pays (const plan_context_t *w, double cost, double wait);

#endif
