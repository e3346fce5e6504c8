/* Declared resources with their versions, and the proposals that change them.
 *
 * A PROPOSE record is validated as a whole when it is applied: the form of each change,
 * references between resources, expected versions, and the scope. A proposal that conflicts with an
 * open one is invalid. The required daemons of a proposal are those in its scope that were joined
 * at its offset, except those whose membership has ended since. An ACTIVATE record is valid if it
 * lists every required daemon as having staged the proposal; the first valid ACTIVATE or
 * WITHDRAW decides the proposal. The version of a resource is the offset of the ACTIVATE that
 * put it in force, so versions never decrease. */
#ifndef CS_CONFIG_H
#define CS_CONFIG_H

#include "cs/failure_detector.h"
#include "cs/members.h"

enum {
	CS_CONFIG_WITHDRAW_MS = 5000,    /* time for staging a proposal before it is withdrawn */
	CS_CONFIG_STAGGER_MS = 500,      /* delay per rank before a daemon decides a proposal of
					    another daemon */
	CS_CONFIG_STAGGER_MAX_MS = 2500, /* upper bound of that delay */
	CS_CONFIG_RETRY_MS = 3000,       /* minimum between this daemon's attempts to decide a
					    proposal */
	CS_CONFIG_DECIDED_MAX = 256,     /* maximum number of decided proposals retained */
	CS_CONFIG_EVENTS_MAX = 1024      /* maximum number of events retained for watchers */
};

/* Mechanisms that a test can disable, as bits of cs_config_t.disabled. */
enum {
	CS_CONFIG_NO_EXPECTED_VERSION = 1, /* expected versions are not compared */
	CS_CONFIG_NO_ACK_ALL = 2,          /* a proposal is activated whichever daemons staged it */
	CS_CONFIG_NO_FIRST_PROPOSAL = 4,   /* conflicts with open proposals are accepted */
	CS_CONFIG_NO_WITHDRAW = 8,         /* no proposal is withdrawn */
	CS_CONFIG_NO_TAKEOVER = 16,        /* only the proposer decides */
	CS_CONFIG_NO_IN_DOUBT = 32,        /* no resource is in doubt */
	CS_CONFIG_NO_REFERENCES = 64,      /* references are not checked */
	CS_CONFIG_NO_SCOPE = 128 /* zones of model groups are not compared with the scope */
};

typedef enum {
	CS_KIND_MODEL_GROUP,
	CS_KIND_SERVICE,
	CS_KIND_TEAM,
	CS_KIND_POLICY,
	CS_KIND_COUNT
} cs_kind_t;

/* Returns the kind's name: "model_group", "service", "team" or "policy". */
const char *cs_kind_name (cs_kind_t kind);
/* Sets *kind to the kind of that name; false, without change, if there is none. */
bool cs_kind_parse (cs_str_t name, cs_kind_t *kind);

typedef struct {
	cs_kind_t kind;
	uint64_t version; /* offset of the ACTIVATE that put it in force */
	char *change_id;  /* change that put this version in force */
	Cs__Resource *resource;
	char *key; /* KIND/NAME */
	UT_hash_handle hh;
} cs_resource_t;

typedef enum {
	CS_PROPOSAL_OPEN,
	CS_PROPOSAL_ACTIVE,    /* in force */
	CS_PROPOSAL_WITHDRAWN, /* not staged in time by all required daemons */
	CS_PROPOSAL_REFUSED    /* invalid when applied */
} cs_proposal_state_t;

typedef struct cs_proposal {
	uint64_t offset; /* of the PROPOSE */
	uint64_t proposer;
	Cs__Propose *propose; /* without its changes once the proposal is decided */
	cs_proposal_state_t state;
	uint64_t decided_at; /* offset of the deciding record; 0: open */
	char *reason;        /* of the withdrawal or refusal; otherwise "" */
	uint64_t *required;  /* incarnations of the daemons required when the PROPOSE was applied,
				ascending; empty once decided */
	size_t n_required;
	uint8_t *staged; /* bitmap over `required`: known to have staged the proposal */
	/* Times on this daemon's clock: */
	int64_t opened_ms;       /* first cs_config_tick after the PROPOSE; -1: none yet */
	int64_t all_staged_ms;   /* first cs_config_tick at which all required daemons were known
				    to have staged it; -1: none yet */
	int64_t last_attempt_ms; /* this daemon's last attempt to decide it; -1: none yet */
} cs_proposal_t;

typedef enum {
	CS_EVENT_PROPOSED,
	CS_EVENT_ACTIVATED,
	CS_EVENT_WITHDRAWN,
	CS_EVENT_REFUSED
} cs_event_kind_t;

typedef struct {
	uint64_t offset;
	cs_event_kind_t kind;
	char *change_id;
	char *text; /* the reason of a withdrawal or refusal, else the changed resources */
} cs_event_t;

typedef struct {
	const cs_members_t *members;
	unsigned disabled;         /* CS_CONFIG_NO_ bits */
	cs_resource_t *resources;  /* by key; in order of kind and name */
	cs_proposal_t **proposals; /* open and decided, in order of offset */
	size_t n_proposals, cap_proposals;
	cs_event_t *events; /* in order of offset */
	size_t n_events;
	uint64_t events_from; /* events at lower offsets are not retained */
	bool has_unsent_acks; /* no heartbeat has carried the newest acknowledgements yet */
} cs_config_t;

/* State machine of the control stream; must be added to the applier after cs_members_ops. */
extern const cs_state_machine_ops_t cs_config_ops;

/* members is borrowed; each record must be applied to it before it is applied to c. disabled:
 * CS_CONFIG_NO_ bits. */
void cs_config_init (cs_config_t *c, const cs_members_t *members, unsigned disabled);
void cs_config_finish (cs_config_t *c);

/* The resource in force; NULL if there is none. Owned by c and valid until the next record is
 * applied. */
const cs_resource_t *cs_config_get (const cs_config_t *c, cs_kind_t kind, cs_str_t name);
/* Iterates over the resources in force, in order of kind and name: returns the one after `after`,
 * or the first one if `after` is NULL; NULL at the end. Skips resources of other kinds unless kind
 * is CS_KIND_COUNT. */
const cs_resource_t *cs_config_next (const cs_config_t *c, cs_kind_t kind,
				     const cs_resource_t *after);
/* The number of resources of all kinds in force. */
size_t cs_config_count (const cs_config_t *c);
/* The retained proposal with that change id; NULL if there is none. While it is retained, another
 * PROPOSE with the same id has no effect. */
const cs_proposal_t *cs_config_proposal_by_id (const cs_config_t *c, cs_str_t change_id);
/* The retained proposal whose PROPOSE is at the offset; NULL if there is none. */
const cs_proposal_t *cs_config_proposal (const cs_config_t *c, uint64_t offset);
/* The open proposal that changes or removes the resource; NULL if there is none. */
const cs_proposal_t *cs_config_open_proposal (const cs_config_t *c, cs_kind_t kind, cs_str_t name);
/* Validates a proposal against the current state, as applying it does. Returns CS_INVALID if the
 * proposal has no change id or no changes, CS_CONFLICT on any other fault; appends the fault
 * to reason in both cases. */
cs_status_t cs_config_validate (const cs_config_t *c, const Cs__Propose *propose, cs_buf_t *reason);
/* Appends the comma-separated names of the joined required daemons that are not known to have
 * staged the proposal. */
void cs_config_list_missing (const cs_config_t *c, const cs_proposal_t *p, cs_buf_t *out);

/* Sets *first and *n to the retained events at offsets >= since, which are owned by c and valid
 * until the next record is applied. Returns false if some at these offsets are not retained. */
bool cs_config_events (const cs_config_t *c, uint64_t since, const cs_event_t **first, size_t *n);

/* Stages open proposals on this daemon and decides them: submits ACTIVATE to control when all
 * required daemons have staged a proposal, WITHDRAW when they have not done so within
 * CS_CONFIG_WITHDRAW_MS. Decides nothing unless log_current, i.e. this daemon's state is current.
 * me: this daemon's incarnation. Returns true while there are acknowledgements that no heartbeat
 * has carried, so that the caller can send a heartbeat at once. */
bool cs_config_tick (cs_config_t *c, const cs_detector_t *h, uint64_t me, bool log_current,
		     int64_t now_ms, cs_writer_t *control);
/* Adds the acknowledgements of open proposals to a heartbeat; free them with
 * cs_config_acks_free (). The bitmaps remain owned by c. */
void cs_config_add_acks (cs_config_t *c, Cs__Heartbeat *heartbeat);
void cs_config_acks_free (Cs__Heartbeat *heartbeat);
/* Merges the acknowledgements of a received heartbeat. */
void cs_config_merge_acks (cs_config_t *c, const Cs__Heartbeat *heartbeat);

/* True if an open proposal changes the resource while the log is not current, so the change
 * may already be in force on other daemons. The old version stays in use, except that the
 * stricter of a team's old and proposed limits is enforced. */
bool cs_config_in_doubt (const cs_config_t *c, bool log_current, cs_kind_t kind, cs_str_t name);
/* The limits to enforce for a team; false if there is no such team. */
bool cs_config_limits (const cs_config_t *c, bool log_current, cs_str_t team, Cs__Limits *out);

#endif
