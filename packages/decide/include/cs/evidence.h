/* Evidence: the newest report of each VM and its age.
 *
 * A report carries the time at which its poll was sent, so its age is never underestimated.
 * Two daemons of the zone, the VM's gatherers (cs_evidence_is_gatherer), poll each VM and pass
 * the reports on with their heartbeats. Evidence doesn't depend on the log service: in a
 * zone that is disconnected from it, groups with all members ready keep serving.
 *
 * After a pause of this process, reports need no special treatment: the clock has advanced,
 * so a report from before a pause longer than CS_EVIDENCE_MAX_AGE_MS is too old. The VM list
 * has no such age limit, so no group takes requests after a pause until the list has been
 * read again, or CS_EVIDENCE_LIST_TIMEOUT_MS have passed.
 *
 * A VM missing from the list may still run, so one that keeps reporting keeps serving
 * without being listed. One that was silent for longer than the bound meanwhile must be
 * listed again before it serves, as the next list may mark it as leaving. */
#ifndef CS_EVIDENCE_H
#define CS_EVIDENCE_H

#include "cs/groups.h"
#include "cs/members.h"

enum {
	CS_EVIDENCE_MAX_AGE_MS = 3000,        /* maximum age of a report for its group to serve */
	CS_EVIDENCE_POLL_MS = 500,            /* interval of a gatherer's polls of one VM */
	CS_EVIDENCE_GATHERERS = 2,            /* daemons that poll one VM */
	CS_EVIDENCE_MAX_POLLS_PER_ROUND = 24, /* with more VMs, each is polled every second round */
	CS_EVIDENCE_PAUSE_MS = 1000,          /* a longer gap between two ticks is a pause */
	CS_EVIDENCE_LIST_TIMEOUT_MS = 3000,   /* maximum wait for the VM list after a pause */
	CS_EVIDENCE_REFUSED_SPAN_MS = 400 /* refusals over this span mean that the engine ended */
};

/* State of an engine member as it reports it; same values as cs_vm_state_t. */
typedef enum {
	CS_MEMBER_UNREACHABLE,
	CS_MEMBER_IDLE,
	CS_MEMBER_LOADING,
	CS_MEMBER_READY
} cs_member_state_t;

/* A VM's report. As an argument it borrows its strings; the store keeps copies. */
typedef struct {
	const char *vm;
	cs_member_state_t state;
	const char *group; /* "" when idle */
	uint64_t fence;
	const char *model; /* "" when idle */
	uint32_t running;
	uint32_t queued;
	int64_t at_ms; /* when the poll was sent, on this daemon's clock */
} cs_vm_report_t;

/* Why a group takes no requests. */
typedef enum {
	CS_GROUP_COMPLETE,
	CS_GROUP_UNKNOWN,     /* no such group */
	CS_GROUP_LEAVING,     /* a member is leaving */
	CS_GROUP_MEMBER_GONE, /* a member is no longer listed */
	CS_GROUP_ENDED,       /* a member's host refuses connections, its engine has ended */
	CS_GROUP_SILENT,      /* a member has not reported within the bound */
	CS_GROUP_OTHER_FENCE, /* a member reports another assignment */
	CS_GROUP_OTHER_MODEL, /* a member reports another model */
	CS_GROUP_NOT_READY,   /* a member is loading or idle */
	CS_GROUP_UNLISTED,    /* a member reports again after a silence, but is not listed */
	CS_GROUP_OLD_LIST,    /* the VM list was read before this daemon's last pause */
	CS_GROUP_REASONS      /* number of reasons */
} cs_group_reason_t;

typedef struct {
	bool whole; /* may take requests now */
	cs_group_reason_t reason;
	const char *vm; /* first member that prevents serving, "" if none; borrowed */
	int64_t age_ms; /* of the report of `vm`, or of the oldest member report if there is none;
			   -1: no report */
	uint64_t fence; /* of the group */
} cs_group_verdict_t;

/* Mechanisms that tests turn off. */
typedef enum {
	CS_EVIDENCE_AGE = 1,     /* check the age of reports */
	CS_EVIDENCE_FENCE = 2,   /* check their fencing number */
	CS_EVIDENCE_LEAVING = 4, /* reject leaving members */
	CS_EVIDENCE_LISTED = 8,  /* reject members that report again unlisted */
	CS_EVIDENCE_PAUSE = 16   /* require a new VM list after a pause */
} cs_evidence_mechanism_t;

typedef struct cs_evidence_vm cs_evidence_vm_t;
typedef struct cs_evidence_source cs_evidence_source_t;

typedef struct {
	cs_evidence_vm_t *vms;
	cs_evidence_source_t *sources; /* tables received from peers */
	cs_evidence_vm_t **table;      /* VMs polled by this daemon, by index; NULL: unused */
	size_t n_table;
	size_t cap_table;
	uint64_t self;     /* this daemon's incarnation */
	uint64_t sequence; /* of the last delta sent */
	bool whole_wanted; /* a peer has requested the whole table */
	int64_t whole_sent_ms;
	int64_t bound_ms;
	int64_t tick_ms;   /* last tick; 0: none */
	int64_t paused_ms; /* end of the last pause of this daemon; 0: none */
	int64_t listed_ms; /* when the last VM list read was requested; 0: none */
	unsigned disabled; /* cs_evidence_mechanism_t bits */
} cs_evidence_t;

/* An entry of the VM list. */
typedef struct {
	const char *vm;
	bool leaving;
} cs_evidence_listed_t;

void cs_evidence_init (cs_evidence_t *e, uint64_t incarnation);
void cs_evidence_finish (cs_evidence_t *e);
/* Drops all evidence and continues under another incarnation; keeps the time of the last
 * tick and pause and the disabled mechanisms. */
void cs_evidence_restart (cs_evidence_t *e, uint64_t incarnation);
/* Detects pauses of this daemon. Call it before any other function at now_ms. Returns true
 * if a pause has just ended. */
bool cs_evidence_tick (cs_evidence_t *e, int64_t now_ms);

/* Records the report of a poll by this daemon. Ignored if the VM is unreachable. */
void cs_evidence_report (cs_evidence_t *e, const cs_vm_report_t *report);
/* Records that the VM's host refused the connection of a poll sent at at_ms: no engine runs
 * there and its state is lost, which a poll without an answer doesn't show. */
void cs_evidence_report_refusal (cs_evidence_t *e, const char *vm, int64_t at_ms);
/* Whether the VM's engine has ended: polls were refused over at least
 * CS_EVIDENCE_REFUSED_SPAN_MS, the last one no longer ago than the bound, without a report
 * in between or since. */
bool cs_evidence_has_ended (const cs_evidence_t *e, const char *vm, int64_t now_ms);
/* Applies the VM list, requested at requested_ms, before the log reflects it. An empty list is
 * ignored. */
void cs_evidence_set_list (cs_evidence_t *e, const cs_evidence_listed_t *vms, size_t n,
			   int64_t requested_ms);
/* Records that the list, requested again at requested_ms, has not changed. */
void cs_evidence_list_unchanged (cs_evidence_t *e, int64_t requested_ms);
/* Whether the list is from before the last pause and CS_EVIDENCE_LIST_TIMEOUT_MS, the wait for a
 * new one, have not passed yet. */
bool cs_evidence_list_stale (const cs_evidence_t *e, int64_t now_ms);
/* Whether the VM reports again after a silence longer than the bound and is not listed. */
bool cs_evidence_is_unlisted (const cs_evidence_t *e, const char *vm);
/* Removes a VM that is no longer in the zone. */
void cs_evidence_remove_vm (cs_evidence_t *e, const char *vm);
/* Returns the VM's newest report, or NULL; valid until the store changes. */
const cs_vm_report_t *cs_evidence_find (const cs_evidence_t *e, const char *vm);
/* Whether the VM has reported within the bound. */
bool cs_evidence_is_fresh (const cs_evidence_t *e, const char *vm, int64_t now_ms);

/* Returns whether the group may take requests now, and why not. O(members). */
cs_group_verdict_t cs_evidence_judge_by_name (const cs_evidence_t *e, const cs_groups_t *g,
					      const char *group, int64_t now_ms);
/* The same for a group already looked up; group may be NULL. */
cs_group_verdict_t cs_evidence_judge (const cs_evidence_t *e, const cs_group_t *group,
				      int64_t now_ms);
/* Whether requests in progress on the group must be aborted because a member is lost.
 * Silence that a pause of this daemon may explain doesn't count. */
bool cs_evidence_group_lost (const cs_evidence_t *e, const cs_group_verdict_t *verdict,
			     int64_t now_ms);
/* The same for one VM, when its group has been formed again without it. */
bool cs_evidence_vm_lost (const cs_evidence_t *e, const char *vm, int64_t now_ms);
/* Returns the reason in lower case with hyphens, for logs and JSON. */
const char *cs_group_reason_name (cs_group_reason_t reason);

/* Whether `self` is one of the daemons that poll the VM, by rendezvous hashing; members are
 * the incarnations of the zone's running daemons, self included. */
bool cs_evidence_is_gatherer (const char *vm, uint64_t self, const uint64_t *members, size_t n);

/* Whether a gatherer of n_polled VMs polls this VM in the given round; rounds are
 * CS_EVIDENCE_POLL_MS apart. A daemon with more than CS_EVIDENCE_MAX_POLLS_PER_ROUND VMs polls each
 * half as often. A peer's report is then at most two rounds and a heartbeat old, which is
 * within the bound even with one of the two gatherers down. */
bool cs_evidence_poll_due (const char *vm, uint64_t round, size_t n_polled);

/* Appends a packed EvidenceDelta for the heartbeat to all peers of the zone: the changes
 * since the last delta and one age byte for each slot of the table. It holds only reports of
 * this daemon's polls. Call it once per round of heartbeats and send the same bytes to all
 * peers. */
void cs_evidence_export (cs_evidence_t *e, int64_t now_ms, cs_buf_t *out);
/* Applies a peer's delta. sent_ms is the latest time on this daemon's clock known to precede
 * the peer's sending: when this daemon sent the nonce that the same heartbeat echoes. Time
 * that the bytes spent in a buffer thus counts toward the age. CS_INVALID if the bytes
 * can't be decoded. */
cs_status_t cs_evidence_import (cs_evidence_t *e, uint64_t from, cs_str_t bytes, int64_t sent_ms);
/* Drops the tables of peers that are no longer members; the newest reports stay. Call it before
 * cs_evidence_export, which else requests tables of incarnations that have ended. */
void cs_evidence_remove_nonmembers (cs_evidence_t *e, const cs_members_t *m);

/* Appends lines of text that say whether a group is serving and, if not, why. */
void cs_groups_explain (const cs_groups_t *g, const cs_evidence_t *e, const char *group,
			int64_t now_ms, cs_buf_t *out);

#endif
