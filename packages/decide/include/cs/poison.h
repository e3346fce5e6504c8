/* Detection and refusal of poisonous requests, those that crash the replicas that run them.
 *
 * Evidence: a connection to a group broke and a member of the group was found dead (process
 * gone, not merely silent) within CS_POISON_EVIDENCE_MS. The daemon then appends a Crash
 * record to the control stream with the fingerprints of its own requests that were running
 * on the group.
 *
 * State (computed from the stream): all records of one (group, fence) are one crash. If
 * none of its requests was a suspect, all become suspects. Otherwise those that were are
 * refused from then on, and the others are not blamed, as the crash is explained. A record
 * clears a suspect that has completed. So a request that runs alone at two crashes is
 * refused after the second.
 *
 * Isolation: a suspect runs on a single group in the zone of the crash, never the group that
 * crashed. All daemons derive the same group from the state, so copies sent to several daemons
 * run on the same replica. Suspects of one crash get different groups while there are enough.
 *
 * Cost: a poisonous request crashes two replicas, however often and wherever it is sent after
 * the first crash is known. Not covered: copies that run on other replicas before the first
 * crash is known, and a crash whose only witness, the daemon that sent the request, dies
 * before it has appended the record. Therefore a request whose connection broke is answered
 * only when its crash is applied (or after CS_POISON_HOLD_MS), so that the caller's retry is
 * judged with the crash known. This daemon treats such a request as suspect at once and does
 * not place it again while a second broken connection may still prove to be a crash.
 *
 * False positives: a harmless request is refused only if it ran beside an unknown poisonous
 * one at one crash and then, before it had completed once, shared a replica with a suspect
 * at another crash. bench_serving measures the rate.
 *
 * Bounds: the newest CS_POISON_MAX_CRASHES crashes with their suspects,
 * CS_POISON_MAX_FINGERPRINTS fingerprints of each record, and the newest CS_POISON_MAX_REFUSED
 * refused fingerprints. */
#ifndef CS_POISON_H
#define CS_POISON_H

#include "cs/record.pb-c.h"
#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_POISON_EVIDENCE_MS = 5000, /* maximum time between a break and a member's death */
	CS_POISON_HOLD_MS = 1500,     /* maximum delay of the answer to a broken request */
	CS_POISON_MAX_CRASHES = 256,
	CS_POISON_MAX_FINGERPRINTS = 64,
	CS_POISON_MAX_BROKEN = 64,
	CS_POISON_MAX_REFUSED = 4096
};

/* Mechanisms that tests turn off. */
typedef enum {
	CS_POISON_NO_ISOLATION = 1 << 0,
	CS_POISON_NO_EVIDENCE = 1 << 1, /* treat any broken connection as a crash */
	CS_POISON_NO_APPLY = 1 << 2,    /* ignore the control stream's records */
	CS_POISON_NO_CLEARING = 1 << 3
} cs_poison_disabled_t;

typedef struct {
	uint32_t disabled;
} cs_poison_options_t;

typedef enum {
	CS_POISON_CLEAN,
	CS_POISON_SUSPECT, /* place with cs_poison_place */
	CS_POISON_REFUSED
} cs_poison_verdict_t;

typedef struct cs_poison_entry cs_poison_entry_t;
typedef struct cs_poison_crash cs_poison_crash_t;
typedef struct cs_poison_running cs_poison_running_t;
typedef struct cs_poison_broken_group cs_poison_broken_group_t;
typedef struct cs_poison_recent_group cs_poison_recent_group_t;

/* A Crash record to append; group is "" if it only clears suspects. */
typedef struct {
	char *group;
	uint64_t fence;
	uint64_t *fingerprints;
	size_t n_fingerprints;
	uint64_t *cleared;
	size_t n_cleared;
} cs_poison_report_t;

typedef struct {
	cs_poison_options_t options;
	cs_poison_entry_t *entries; /* uthash by fingerprint: suspect and refused requests */
	cs_poison_crash_t *crashes; /* oldest first */
	size_t n_crashes;
	size_t n_refused;
	size_t n_broken;
	uint64_t next_order;
	cs_poison_running_t *running; /* this daemon's requests in progress */
	cs_poison_recent_group_t
		*recent_groups;   /* uthash by name: served within CS_POISON_EVIDENCE_MS */
	int64_t updates_since_ms; /* start of the current run of updates without a gap over 2.5 s */
	int64_t last_update_ms;   /* last update of the groups that serve */
	cs_poison_broken_group_t *broken; /* groups with broken connections or dead members */
	cs_poison_report_t
		*reports; /* records to append; the caller calls cs_poison_clear_reports */
	size_t n_reports;
	size_t cap_reports;
	uint64_t *cleared; /* suspects that completed, not yet reported */
	size_t n_cleared;
	size_t cap_cleared;
	int64_t cleared_ms; /* when cleared suspects were last reported */
} cs_poison_t;

/* Returns the fingerprint of a request: a hash of team, model and body. */
uint64_t cs_poison_fingerprint (cs_str_t team, cs_str_t model, cs_str_t body);

void cs_poison_init (cs_poison_t *p, const cs_poison_options_t *options);
void cs_poison_finish (cs_poison_t *p);
/* Applies a Crash record of the control stream; ignores other records. */
void cs_poison_apply (cs_poison_t *p, const Cs__Record *record);
/* Applies the fingerprints named by a peer's heartbeat: suspects, also if cleared, for 10 s after
 * the last such heartbeat, or until a record of a crash with them is applied. */
void cs_poison_add_hints (cs_poison_t *p, int64_t now_ms, const uint64_t *fingerprints, size_t n);
/* Writes up to max fingerprints for this daemon's heartbeat, those with evidence of a crash
 * that is not applied yet; returns their number. Omits those that the applied records make
 * suspect or refused, as the peers know them. */
size_t cs_poison_suspects (const cs_poison_t *p, uint64_t *out, size_t max);
cs_poison_verdict_t cs_poison_judge (const cs_poison_t *p, int64_t now_ms, uint64_t fingerprint);
/* Updates the set of model groups that serve now, in all zones. Call it once a second;
 * cs_poison_place does so, too. If a suspect's group served less than CS_POISON_EVIDENCE_MS
 * ago and doesn't now, the suspect waits, as a crash of the group may not be applied yet. No
 * suspects are placed until updates have come for that long without a gap over 2.5 s. */
void cs_poison_update_serving (cs_poison_t *p, int64_t now_ms, const char *const *groups, size_t n);
/* Chooses the only group that a suspect may run on from those that serve its model (names
 * MODEL_GROUP/ZONE/INDEX, any order, all zones). On success *out is one of groups.
 * CS_UNAVAILABLE if no group in the zone of the crash serves, the chosen group has just
 * stopped serving, another suspect of this daemon runs there, a second broken connection may still
 * prove to be a crash, or updates of the serving groups have not come for long enough; refuse the
 * request as `not-run` with Retry-After. */
cs_status_t cs_poison_place (cs_poison_t *p, int64_t now_ms, uint64_t fingerprint,
			     const char *const *groups, size_t n, const char **out);
/* Record that a request of this daemon begins on a group, and that it ends. Ending an
 * unknown id has no effect. */
void cs_poison_begin_request (cs_poison_t *p, uint64_t id, uint64_t fingerprint, const char *group,
			      uint64_t fence);
void cs_poison_end_request (cs_poison_t *p, uint64_t id, bool completed);
/* Records that the request's connection broke (CS_END_BROKEN), and ends the request. */
void cs_poison_connection_broken (cs_poison_t *p, int64_t now_ms, uint64_t id);
/* Records that a member of the group is dead: it refuses connections or no longer knows its
 * assignment. */
void cs_poison_member_dead (cs_poison_t *p, int64_t now_ms, const char *group, uint64_t fence);
/* Adds records that are due to p->reports and expires old evidence and hints. */
void cs_poison_tick (cs_poison_t *p, int64_t now_ms);
/* Frees p->reports after the caller has appended them. */
void cs_poison_clear_reports (cs_poison_t *p);
/* Appends a snapshot of the applied state; equal states give equal bytes. */
void cs_poison_save (const cs_poison_t *p, cs_buf_t *out);
/* Replaces the applied state by a snapshot. CS_INVALID if it can't be decoded; the applied
 * state is then empty. */
cs_status_t cs_poison_restore (cs_poison_t *p, cs_str_t bytes);

#endif
