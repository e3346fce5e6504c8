/* Reconciles the groups of one zone: compares the declared groups with the applied state, the
 * platform's VM list and the VMs' reports, and returns the records to append and the orders
 * to send.
 *
 * Any daemon may plan. Concurrent planners are safe: a record's precondition is checked when
 * it is applied, and orders are idempotent and carry the fencing number. The planner keeps
 * only hints in memory (since when an action has been needed, when it was last issued).
 * A restarted planner starts without hints and only waits longer before it acts.
 *
 * Orders wait for the requests in progress: after a FORM or DISSOLVE no daemon admits
 * requests to the old assignment, and its members get their next order only when they report
 * that nothing runs, when a member of the old assignment is lost, or after drain_max_ms.
 * The substitute for a leaving VM therefore loads while the old assignment drains. */
#ifndef CS_PLANNER_H
#define CS_PLANNER_H

#include "cs/evidence.h"
#include "cs/groups.h"

/* Timeouts and expected times in ms, and rate limits. */
typedef struct {
	int64_t load_ms;                 /* a load from the weight store, before any is observed */
	int64_t bind_ms;                 /* start of a member that has its weights already */
	int64_t return_ms;               /* expected return of a silent VM that is still listed */
	int64_t silent_domain_return_ms; /* the same in a domain most of whose VMs are silent */
	int64_t replace_ms;              /* expected time until the platform replaces a VM */
	int64_t order_lifetime_ms;       /* lifetime of an order: engines do not begin it later */
	int64_t max_state_age_ms;        /* greatest age of the state that an order is based on */
	int64_t lost_after_ms;           /* silence after which a member counts as lost */
	int64_t gone_after_ms;           /* a VM unlisted and silent for this long is gone */
	int64_t silent_domain_hold_ms; /* wait before groups of a mostly silent domain are moved */
	int64_t settle_ms;             /* delay after a FORM before idle reports count */
	int64_t drain_max_ms;          /* drain timeout */
	int64_t min_assignment_ms;     /* minimum time between two assignments of a group */
	int64_t stagger_ms;            /* delay before an action, per rank of the daemon */
	int64_t order_repeat_ms;       /* retry interval of an order without effect */
	int64_t append_repeat_ms;      /* retry interval of a record */
	uint32_t max_loads;            /* concurrent loads from the weight store, in the zone */
	uint32_t appends_per_s;        /* rate limit of records */
	uint32_t orders_per_s;         /* rate limit of orders */
	double max_cost_ratio;         /* limit on cost of an action / cost of waiting */
} cs_planner_options_t;

/* Mechanisms that a test can turn off. */
typedef enum {
	CS_PLANNER_FREE_AFTER_IDLE = 1,    /* free a VM once idle and orders have expired */
	CS_PLANNER_LEAVING = 2,            /* move groups off leaving VMs */
	CS_PLANNER_DRAIN = 4,              /* orders wait for requests in progress */
	CS_PLANNER_SILENT_DOMAIN_HOLD = 8, /* wait before moving groups of a mostly silent domain */
	CS_PLANNER_MERGE = 16,             /* merge two broken groups of a domain */
	CS_PLANNER_RELEASE_STALE = 32,     /* release assignments that the log does not have */
	CS_PLANNER_LOAD_LIMIT = 64,        /* limit concurrent loads from the weight store */
	CS_PLANNER_SILENCES = 128,         /* estimate how long silences last */
	CS_PLANNER_ENDED = 256,            /* replace a member at once when its engine has ended */
	CS_PLANNER_LOAD_TIMES = 512,       /* estimate how long loads take */
	CS_PLANNER_WARM = 1024,            /* spares load weights before a group needs them */
	CS_PLANNER_ORDER_LIFE = 2048,      /* wait for older orders if fencing is ignored */
	CS_PLANNER_OVERDUE = 4096          /* replace a member whose load times out */
} cs_planner_mechanism_t;

/* A model group as declared. */
typedef struct {
	const char *name;
	const Cs__ModelGroup *spec;
} cs_desired_t;

/* A VM as the platform lists it. */
typedef struct {
	const char *vm;
	const char *fabric_domain;
	const char *url;
	uint32_t accelerators;
	bool leaving;
} cs_listed_vm_t;

/* Input of one run; all pointers are borrowed. */
typedef struct {
	int64_t now_ms;
	int64_t read_sent_ms; /* send time of the last read that reached the stream's tail */
	const cs_groups_t *groups;
	const cs_evidence_t *evidence;
	/* Declarations that name this zone. Don't plan before the configuration has been
	 * applied: groups without a declaration are dissolved. */
	const cs_desired_t *desired;
	size_t n_desired;
	const cs_listed_vm_t *vms; /* last successful read of the list */
	size_t n_vms;
	int64_t listed_ms;      /* send time of that read; 0: no read has succeeded */
	double downtime_weight; /* cost of a group being down */
	double stranded_weight; /* cost of an accelerator of a group that is down */
	uint32_t rank;          /* of this daemon; it acts after rank * stagger_ms */
	/* Requests that this daemon has in progress on an assignment; may be NULL. */
	uint32_t (*in_flight) (void *context, uint64_t fence);
	void *context;
} cs_plan_input_t;

typedef enum {
	CS_ACTION_APPEND, /* append `record` to the zone's stream */
	CS_ACTION_LOAD,   /* send the order */
	CS_ACTION_RELEASE,
	CS_ACTION_POLL /* poll the VM, also if this daemon is not its gatherer */
} cs_action_kind_t;

/* One action; owned by its plan. */
typedef struct {
	cs_action_kind_t kind;
	Cs__Record *record; /* APPEND; the caller sets incarnation and sequence */
	char *reason;       /* APPEND of FORM and DISSOLVE: a sentence for the operators' log */
	char *vm;           /* LOAD, RELEASE and POLL */
	char *url;
	/* LOAD and RELEASE, as in the order message. */
	char *group;
	char *model;
	char *version;
	uint64_t fence;
	uint32_t rank; /* of the VM in its group */
	char *members; /* URLs, comma separated, by rank; the head has rank 0 */
	uint32_t lifetime_ms;
	uint64_t weight_bytes;
} cs_action_t;

typedef struct {
	cs_action_t *actions;
	size_t n;
	size_t cap;
} cs_plan_t;

/* A past period without reports from a VM. */
typedef struct {
	int64_t ms;           /* duration */
	bool held_assignment; /* the VM came back and still held its assignment */
} cs_planner_silence_t;

/* Estimated time of one load of certain weights. */
typedef struct {
	uint64_t weights; /* hash of model and version */
	int64_t ms;
} cs_planner_load_t;

enum {
	CS_PLANNER_LOADS_MAX = 16,   /* capacity of the load time estimates */
	CS_PLANNER_SILENCES_MAX = 32 /* capacity of the history of silences */
};

typedef struct cs_planner_intent cs_planner_intent_t;
typedef struct cs_planner_assignment cs_planner_assignment_t;

typedef struct {
	cs_planner_options_t options;
	char *zone;
	int64_t started_ms; /* first run since the start or the last pause */
	int64_t last_ms;    /* last run */
	uint32_t run;       /* number of the current run */
	double append_tokens;
	double order_tokens;
	cs_planner_intent_t *intents;                           /* actions needed */
	cs_planner_assignment_t *assignments;                   /* observations on assignments */
	cs_planner_silence_t silences[CS_PLANNER_SILENCES_MAX]; /* ring */
	size_t n_silences;                                      /* total, not capped */
	cs_planner_load_t load_times[CS_PLANNER_LOADS_MAX];     /* ring */
	size_t n_load_times;                                    /* total, not capped */
	unsigned disabled;                                      /* cs_planner_mechanism_t bits */
} cs_planner_t;

/* Sets the defaults. */
void cs_planner_options_init (cs_planner_options_t *options);
/* Copies zone and options; options may be NULL for the defaults. */
void cs_planner_init (cs_planner_t *p, const char *zone, const cs_planner_options_t *options);
void cs_planner_finish (cs_planner_t *p);
/* Appends the actions due at in->now_ms to *out. Expected to be called about once a second
 * and after changes. The planner does not assume that an action succeeds: it observes the
 * effect in the log and the reports. */
void cs_planner_plan (cs_planner_t *p, const cs_plan_input_t *in, cs_plan_t *out);

void cs_plan_init (cs_plan_t *plan);
void cs_plan_finish (cs_plan_t *plan);

#endif
