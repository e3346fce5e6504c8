/* Planner of the serving groups of a hosted platform. It assigns back ends to groups by orders
 * (join, open, close, stage) and opens or closes the head of each group, which takes its requests.
 *
 * A Form record in the ledger assigns members. Its offset and era give the group's epoch, so that
 * epochs rise and only one of two planners that append at the same offset succeeds. Joins
 * carry the epoch, and a back end refuses any epoch below the highest that it has seen. Rules:
 *
 * - A head is opened only when every member has reported itself ready under this group name and
 *   epoch. Once the head may be open, the group is lost as soon as a member is not ready.
 * - Members of a group that may be open are reassigned only after its head has reported that it
 *   is closed or broken, has moved to a later epoch or has ended. While an open order is
 *   unanswered it may take effect up to CS_FORMATION_MAX_ORDER_DELAY_MS later, and members are
 *   reassigned only by moving the head. That join names the number of orders that the head had
 *   taken when it was seen closed, and fails if the head has taken another order since.
 * - Silence of the head is no proof of anything: a partition has no longest length. If no daemon
 *   reaches the head, while another member answers, the members that can be reached are told to
 *   leave. The group then stands still, whatever its head knows, and is broken after stall_ms; so
 *   long after its leaving a member is free. A head that serves through any daemon keeps its
 *   members.
 * - The planner's state derives from the ledger and the reports alone. A planner that takes over
 *   assumes that orders of its predecessor are still in flight.
 *
 * A model load takes 12 to 16 s, a join with staged weights 0.2 to 1.6 s, and a member is lost
 * every few seconds. So repairs take survivors and staged back ends of the same domain first, and
 * idle back ends stage the weights that most members need.
 *
 * An operator evacuates a zone while members are lost as before. Its open groups stay as they are,
 * no load begins there, and the back ends that stand by in the other zones are formed into groups
 * where that needs no load; these groups stay when the zone is taken back. */
#ifndef CS_FORMATION_H
#define CS_FORMATION_H

#include "cs/evacuation.h"
#include "cs/fleet.h"
#include "cs/model_demand.h"
#include "cs/serving.h"

enum {
	CS_FORMATION_MAX_ORDER_DELAY_MS = 12500, /* the platform delays an order by up to 12 s */
	CS_FORMATION_TAKEOVER_MS = 1300,         /* a planner stops within its lease of 1.28 s */
	CS_FORMATION_ASK_TIMEOUT_MS =
		1500,                   /* daemons answer CS_FORM_ASK_DAEMONS well within that */
	CS_FORMATION_OPENING_MS = 500,  /* a head serves 0.3 s after it has taken an open order */
	CS_FORMATION_SILENT_PROBES = 2, /* in a row: a single probe may be lost */
	CS_FORMATION_STALL_MS = 4000,   /* default of stall_ms */
	CS_FORMATION_LOAD_WINDOW_MS = 5000, /* and of these two */
	CS_FORMATION_LOAD_OVERSHOOT_PERCENT = 110,
	CS_FORMATION_STALL_SLACK_MS = 300, /* timers of a head that breaks its group fire late */
	CS_FORMATION_REPORT_LAG_MS = 500   /* a report may be as old as that */
};

/* What is known of a member in its group. Times are 0 if there is none. */
typedef struct {
	int64_t unlisted_ms;    /* since when it is unlisted, in an open group */
	bool is_unlisted;       /* at the last plan */
	uint32_t silent_probes; /* consecutive probes without an answer */
	int64_t answered_ms;    /* when the last probe was answered, if it was */
	bool has_left;          /* its last answer was that it has ended or is in another group */
	int64_t join_sent_ms;   /* when the last join order was sent */
	int64_t leave_sent_ms;  /* when the last leave order was sent */
	int64_t left_ms;        /* since when it is known to be no member of the lost group */
} cs_formation_member_t;

/* A group as the ledger or its members' reports define it. */
typedef struct cs_formation_group {
	uint64_t epoch;
	char *name;
	char *service;
	char *model;
	char **members;                /* the first is the head */
	cs_formation_member_t *states; /* of the members */
	size_t n;
	bool abandoned;       /* the ledger has it that its members may be told to leave */
	int64_t abandoned_ms; /* when that was appended, as far as this planner knows; 0: unknown */
	bool adopted; /* known by reports alone, which may be incomplete: the group is left serving
			 if it is open, and neither completed nor opened; its members are "" where
			 none is reported */
	bool inherited;     /* formed by another planner: it may be open already */
	bool seen_open;     /* its head was seen open, so that a late open order changes nothing */
	bool opened;        /* an open order was sent, or the head was seen open */
	bool given_up;      /* it makes room for a group of another model */
	bool lost;          /* a member is lost, drains or was reassigned, or the head is broken */
	bool released;      /* its members may be reassigned */
	int64_t created_ms; /* when this planner read its record */
	int64_t open_sent_ms;     /* when the last open order was sent; 0: never */
	bool open_unanswered;     /* the last open order has had no answer yet */
	int64_t open_accepted_ms; /* when the head's last acceptance of one was read; 0: never */
	int64_t pending_open_ms;  /* when the last open order was sent whose outcome is unknown: one
				     without answer, or perhaps one of an earlier planner; 0: none */
	int64_t closed_since_ms;  /* since when probes show that the head does not serve and has
				     taken no further order; 0: probes don't show that */
	int64_t seen_closed_ms;   /* the last of these probes; 0: the last did not show it closed */
	uint64_t sequence;        /* orders that the head had taken at its last probe */
	bool head_listed_closed;  /* the group is lost and the list shows that the head does not
				     serve: members may join a new group that the same head joins, as
				     moving the head closes the old one */
	int64_t close_sent_ms;    /* when the last close order was sent; 0: never */
	int64_t closing_since_ms; /* when the first close order was sent; 0: never */
	int64_t head_unlisted_ms; /* since when the head is unlisted; 0: listed */
	int64_t probed_ms;        /* when its head or members were last probed */
	int64_t round_ms;         /* when probe_rounds last rose */
	int64_t suspected_ms; /* when a daemon reported that the group does not answer; 0: no report
				 since the group was last found healthy */
	uint32_t probe_rounds;    /* rounds of probes since suspected_ms */
	int64_t relisted_ms;      /* when a missing member was listed again */
	bool any_unlisted;        /* a member is unlisted */
	int64_t daemons_asked_ms; /* when daemons were asked about the head; 0: not asked */
	bool head_serves;         /* the head's last probe showed it open or closing */
	bool head_ended; /* the head no longer runs at its address, or belongs to another group */
	UT_hash_handle hh;
} cs_formation_group_t;

typedef enum {
	CS_FORM_JOIN = 1, /* the numbers appear in the log: docs/OPERATIONS.md */
	CS_FORM_OPEN,
	CS_FORM_CLOSE,
	CS_FORM_STAGE,
	CS_FORM_PROBE,       /* ask a member for its report */
	CS_FORM_ASK_DAEMONS, /* ask all daemons whether the head answers them; its id may be "" */
	CS_FORM_LEAVE        /* tell a member to leave its group */
} cs_form_kind_t;

/* One action. Pointers are valid until the next call on the formation or the fleet. */
typedef struct {
	cs_form_kind_t kind;
	const cs_formation_group_t *group; /* NULL for CS_FORM_STAGE */
	const char *id;                    /* of the back end */
	const char *address;               /* listed, or the last one known; NULL: none is */
	const char *model;                 /* JOIN and STAGE */
	bool expects_sequence; /* JOIN: refused if another order was taken after `sequence` */
	uint64_t sequence;
	bool abort_requests; /* CLOSE: end the requests in progress */
	const char *reason;  /* static text for the log */
} cs_form_action_t;

/* Safety checks that tests turn off. */
typedef enum {
	CS_FORMATION_NO_HEAD_CHECK = 1 << 0,  /* reassign members whatever their old head does */
	CS_FORMATION_NO_INHERITANCE = 1 << 1, /* treat groups of earlier planners as never opened */
	CS_FORMATION_NO_READY_CHECK = 1 << 2, /* open without having seen all members ready */
	CS_FORMATION_NO_LATE_OPENS = 1 << 3,  /* treat an unanswered open order as without effect */
	CS_FORMATION_NO_SEQUENCE_CHECK = 1 << 4, /* move a head whatever orders it took meanwhile */
	CS_FORMATION_NO_LEAVE = 1 << 5,     /* take the silence of an unlisted head for its end */
	CS_FORMATION_NO_STALL = 1 << 6,     /* reassign members as soon as they have left */
	CS_FORMATION_NO_LATE_JOINS = 1 << 7 /* treat an older join order as without effect */
} cs_formation_disabled_t;

/* A domain whose free back ends are kept for one model. */
typedef struct {
	char *zone;
	char *domain;
	char *service;
	char *model;
	int64_t until_ms;
} cs_form_reserve_t;

typedef struct cs_assignment cs_assignment_t;
typedef struct cs_staging cs_staging_t;

typedef struct {
	cs_formation_group_t *groups;    /* uthash by epoch */
	cs_assignment_t *assignments;    /* uthash by back end */
	cs_formation_group_t **proposed; /* groups that the caller is to append to the ledger */
	size_t n_proposed;
	cs_formation_group_t **abandoned; /* groups whose abandonment is to be appended, too */
	size_t n_abandoned;
	size_t cap_abandoned;
	int64_t started_ms;        /* when this daemon began to plan */
	int64_t tokens_updated_ms; /* when load_tokens was brought up to date */
	double load_tokens;        /* token bucket: loads that may begin */
	uint32_t disabled;         /* cs_formation_disabled_t */
	int64_t load_window_ms;    /* in which loads_per_s is not exceeded */
	double load_overshoot;     /* by more than this factor, and a few loads */
	int64_t stall_ms;          /* after which a group that lacks a member is broken */
	int64_t eager_until_ms;    /* loads are not rate-limited before this time */
	bool caught_up;
	const cs_evacuation_t *evacuation; /* the caller's; NULL: no zone is evacuated */
	cs_model_demand_t *demand;         /* the caller's; NULL: shares as configured */
	uint32_t n_zones;                  /* most that had back ends to choose from */
	cs_form_reserve_t reserve;
	int64_t gave_up_ms;          /* when groups were last given up; 0: never */
	cs_staging_t *staging;       /* uthash by back end: orders to stage weights */
	size_t n_listed;             /* back ends listed at the last plan */
	int64_t n_listed_changed_ms; /* when that number last changed */
	cs_form_action_t *actions;
	size_t n_actions;
	size_t cap_actions;
} cs_formation_t;

/* Epoch of the group whose Form record has this offset in the ledger; never 0. The offset is given
 * again after the ledger was restored from an older copy, but not in the same era. Of the era the
 * lower 21 bits count, so that the epoch is exact as a number of JSON. */
uint64_t cs_formation_epoch (uint64_t era, uint64_t offset);
void cs_formation_init (cs_formation_t *f);
void cs_formation_finish (cs_formation_t *f);
/* Starts planning. Discards all state, as other planners may have sent orders meanwhile. Until
 * eager_until_ms, while the whole system starts for the first time, loads are not rate-limited: no
 * request waits for the weight store yet. */
void cs_formation_start (cs_formation_t *f, int64_t now_ms, int64_t eager_until_ms);
/* Marks the ledger as read to its end: records applied from now on were appended just before. */
void cs_formation_caught_up (cs_formation_t *f);
/* Applies a Form record: the members belong to this group from now on. A known epoch or an empty
 * group is ignored. */
void cs_formation_apply (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *name,
			 const char *service, const char *model, const char *const *members,
			 size_t n);
/* Applies an Abandon record, behind cs_formation_apply for the group that it names: its members may
 * have been told to leave, and are not free until it is broken. */
void cs_formation_abandon (cs_formation_t *f, int64_t now_ms, uint64_t epoch);
/* Fills f->actions with the orders that are due, and f->proposed and f->abandoned with what is to
 * become a record. The caller sends the orders, appends the records at the ledger's end, and
 * applies what it then reads there. */
void cs_formation_plan (cs_formation_t *f, int64_t now_ms, const cs_fleet_t *fleet,
			const cs_serving_t *serving);
/* Records the address of a member that is not listed, from the ledger or another daemon. */
void cs_formation_learn_address (cs_formation_t *f, const char *id, const char *address);
/* Reports the answer to an open order. A refused order had no effect. */
void cs_formation_open_answered (cs_formation_t *f, int64_t now_ms, uint64_t epoch, bool accepted);
/* Reports that the member has taken the order to leave. */
void cs_formation_leave_answered (cs_formation_t *f, int64_t now_ms, uint64_t epoch,
				  const char *id);
/* Reports a daemon's suspicion that the group does not answer: its members are probed. */
void cs_formation_suspect (cs_formation_t *f, int64_t now_ms, uint64_t epoch);

/* Reports that a daemon reached the head of the group, which is this back end. */
void cs_formation_head_reached (cs_formation_t *f, uint64_t epoch, const char *head,
				const char *address);

typedef enum {
	CS_PROBE_SILENT,
	CS_PROBE_ENDED, /* that instance of the back end no longer runs at its address */
	CS_PROBE_MOVED, /* it is no longer a member of this group */
	CS_PROBE_MEMBER /* it is a member, in the given state */
} cs_probe_t;

/* Reports the result of a probe. state counts only for CS_PROBE_MEMBER; sequence is the number of
 * orders that the back end has taken since it started. */
void cs_formation_record_probe (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *id,
				cs_probe_t result, cs_membership_state_t state, uint64_t sequence);

#endif
