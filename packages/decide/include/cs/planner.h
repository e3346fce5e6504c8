/* Planner of one zone's groups: compares what is declared, folded, listed and reported,
 * and says which records to append and which orders to send.
 *
 * Any daemon may plan. Two that plan at once do no harm: records are judged when they
 * are folded, and orders are idempotent and carry the fencing number. The planner keeps
 * only hints in memory (since when it has wanted something, when it last asked for it);
 * a new one starts with none of them and waits the longer.
 *
 * Orders wait for the requests in progress: after a FORM or DISSOLVE no daemon admits to
 * the old assignment, and its members get their next order only when they report that
 * nothing runs, when a member of the old assignment is lost, or after drain_max_ms. So
 * the substitute for a leaving VM loads while the old assignment ends its work. */
#ifndef CS_PLANNER_H
#define CS_PLANNER_H

#include "cs/evidence.h"
#include "cs/groups.h"

/* Times in ms, rates and weights of the planner. */
typedef struct {
	int64_t load_ms;          /* load of one member's weights, until loads have been seen */
	int64_t bind_ms;          /* expected time for a member that has the weights already */
	int64_t return_ms;        /* expected return of a VM that has gone silent but is listed */
	int64_t domain_return_ms; /* expected return of a whole fabric domain */
	int64_t replace_ms;       /* expected time until a VM takes the place of an unlisted one */
	int64_t order_life_ms;    /* an engine does not begin an order later than this */
	int64_t fold_fresh_ms;    /* oldest fold on which an order may rest */
	int64_t lost_after_ms;    /* silence after which a member counts as lost */
	int64_t gone_after_ms;    /* silence and absence from the list after which a VM is gone */
	int64_t dark_hold_ms;     /* shortest wait before groups of a dark domain are moved */
	int64_t settle_ms;        /* after a FORM: reports of "nothing runs" count from here on */
	int64_t drain_max_ms;     /* longest wait for requests in progress */
	int64_t reform_ms;        /* shortest time between two assignments of a group */
	int64_t stagger_ms;       /* delay of a planner for each rank before it */
	int64_t order_repeat_ms;  /* an order without effect is sent again after this */
	int64_t append_repeat_ms;
	uint32_t loads;         /* loads from the weight store at a time, in the zone */
	uint32_t appends_per_s; /* records proposed a second */
	uint32_t orders_per_s;
	double gain; /* an action must cost less than this share of waiting */
} cs_planner_options_t;

/* Mechanisms that a test can turn off. */
typedef enum {
	CS_PLANNER_FREE_AFTER_IDLE = 1, /* free a VM only after idle and the orders' life */
	CS_PLANNER_LEAVING = 2,         /* move groups off leaving VMs */
	CS_PLANNER_DRAIN = 4,           /* orders wait for requests in progress */
	CS_PLANNER_DARK_HOLD = 8,       /* a dark domain is not dissolved at once */
	CS_PLANNER_MERGE = 16,
	CS_PLANNER_RELEASE_STALE = 32, /* release assignments that are not the log's */
	CS_PLANNER_LOAD_LIMIT = 64,
	CS_PLANNER_RETURNS = 128,     /* learn how long silences last */
	CS_PLANNER_ENDED = 256,       /* replace a member whose engine has ended at once */
	CS_PLANNER_LOAD_TIMES = 512,  /* learn how long loads take */
	CS_PLANNER_WARM = 1024,       /* spares load weights before a group needs them */
	CS_PLANNER_ORDER_LIFE = 2048, /* where numbers are ignored, orders wait for earlier ones */
	CS_PLANNER_OVERDUE = 4096     /* replace a member whose load does not end */
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

/* What a plan is made from; all of it borrowed. */
typedef struct {
	int64_t now_ms;
	int64_t folded_ms; /* when the read was sent that found the zone's stream at its tail */
	const cs_groups_t *groups;
	const cs_evidence_t *evidence;
	/* Those that name this zone; plan only once the configuration has been folded, as
	 * groups that nothing declares are dissolved. */
	const cs_desired_t *desired;
	size_t n_desired;
	const cs_listed_vm_t *vms; /* last good reading of the list */
	size_t n_vms;
	int64_t listed_ms; /* when that reading was asked for; 0: there was none */
	double downtime_weight;
	double stranded_weight;
	uint32_t rank; /* 0 plans at once; others wait rank x stagger_ms */
	/* Requests that this daemon has in progress on an assignment; may be NULL. */
	uint32_t (*in_flight) (void *context, uint64_t fence);
	void *context;
} cs_plan_input_t;

typedef enum {
	CS_ACTION_APPEND, /* append `record` to the zone's stream */
	CS_ACTION_LOAD,   /* send the order */
	CS_ACTION_RELEASE,
	CS_ACTION_POLL /* ask the VM for its report, whoever gathers it */
} cs_action_kind_t;

/* One action; owned by its plan. */
typedef struct {
	cs_action_kind_t kind;
	Cs__Record *record; /* APPEND; the caller sets incarnation and sequence */
	char *reason;       /* APPEND of FORM and DISSOLVE: a short sentence for the log */
	char *vm;           /* LOAD, RELEASE and POLL */
	char *url;
	/* LOAD and RELEASE, as in the order message. */
	char *group;
	char *model;
	char *version;
	uint64_t fence;
	uint32_t rank;
	char *members; /* URLs, comma separated, head first */
	uint32_t lifetime_ms;
	uint64_t weight_bytes;
} cs_action_t;

typedef struct {
	cs_action_t *actions;
	size_t n;
	size_t cap;
} cs_plan_t;

/* How one silence of a VM ended. */
typedef struct {
	int64_t ms; /* its length */
	bool kept;  /* the VM came back and still held what it held */
} cs_planner_silence_t;

/* Time that one load of certain weights takes, learned. */
typedef struct {
	uint64_t weights; /* hash of model and version */
	int64_t ms;
} cs_planner_load_t;

enum {
	CS_PLANNER_LOADS_MAX = 16,   /* weights whose loads are remembered */
	CS_PLANNER_SILENCES_MAX = 32 /* silences remembered */
};

typedef struct cs_planner_intent cs_planner_intent_t;
typedef struct cs_planner_assignment cs_planner_assignment_t;

typedef struct {
	cs_planner_options_t options;
	char *zone;
	int64_t started_ms; /* first plan */
	int64_t last_ms;
	uint32_t run; /* number of this plan */
	double append_tokens;
	double order_tokens;
	cs_planner_intent_t *intents;         /* what is wanted, since when, last asked for when */
	cs_planner_assignment_t *assignments; /* what was seen of assignments */
	cs_planner_silence_t silences[CS_PLANNER_SILENCES_MAX]; /* a ring */
	size_t n_silences;                                      /* ever seen */
	cs_planner_load_t loads[CS_PLANNER_LOADS_MAX];          /* a ring */
	size_t n_loads;                                         /* ever entered */
	unsigned disabled;                                      /* cs_planner_mechanism_t bits */
} cs_planner_t;

/* The defaults. */
void cs_planner_options_init (cs_planner_options_t *options);
void cs_planner_init (cs_planner_t *p, const char *zone, const cs_planner_options_t *options);
void cs_planner_finish (cs_planner_t *p);
/* Appends the actions due at in->now_ms; call it about once a second and after changes.
 * Nothing is done on the strength of an action: its effect is read back from the log
 * and the reports. */
void cs_planner_plan (cs_planner_t *p, const cs_plan_input_t *in, cs_plan_t *out);

void cs_plan_init (cs_plan_t *plan);
void cs_plan_finish (cs_plan_t *plan);

#endif
