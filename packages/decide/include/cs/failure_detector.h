/* Heartbeat failure detector. It decides whether this daemon may admit requests while the log
 * is unreachable, and proposes to exclude daemons that are silent.
 *
 * Each tick generates a nonce; every heartbeat carries it and echoes the last nonce received
 * from its receiver. A peer is reachable while the newest nonce of this daemon that the peer
 * has echoed was sent within CS_REACHABLE_MS. Requiring a round trip keeps packets that were
 * delayed in buffers from counting. A gap between two ticks of more than
 * CS_PAUSE_THRESHOLD_MS means that this daemon was paused: all round trips are discarded, and
 * the daemon admits no requests until a log read sent after the pause has reached the end of
 * the log, or a majority of its zone has completed new round trips and its applier has caught up
 * with those peers. All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_FAILURE_DETECTOR_H
#define CS_FAILURE_DETECTOR_H

#include <uthash.h>

#include "cs/members.h"
#include "cs/peer.pb-c.h"
#include "cs/writer.h"

enum {
	CS_TICK_MS = 1000,            /* heartbeat interval */
	CS_REACHABLE_MS = 3000,       /* maximum age of the nonce echoed by a reachable peer */
	CS_PAUSE_THRESHOLD_MS = 2500, /* a longer gap between two ticks is a pause */
	CS_LOG_CURRENT_MS = 5000,     /* the log is current if its end was read within this time */
	CS_SILENCE_MS = 12000,        /* a peer without a round trip for this time is silent;
				       * above the sum of CS_LOG_CURRENT_MS,
				       * CS_REACHABLE_MS and CS_PAUSE_THRESHOLD_MS */
	CS_EXCLUDE_STAGGER_MS = 2000, /* delay of a proposal per rank of the proposing daemon */
	CS_EXCLUDE_REPEAT_MS = 10000, /* minimum between proposals to exclude the same daemon */
	CS_DETECTOR_NONCES = 8        /* this daemon's latest nonces that are stored */
};

/* Mechanisms that a test can disable; bits of the argument disabled of cs_detector_init (). */
enum {
	CS_DETECTOR_NO_MAJORITY = 1,     /* admit without a majority of the zone */
	CS_DETECTOR_NO_PAUSE = 2,        /* do not detect pauses */
	CS_DETECTOR_NO_ROUND_TRIP = 4,   /* count any heartbeat as a round trip */
	CS_DETECTOR_NO_KNOWN_MEMBERS = 8 /* count silence reports over the current members only */
};

typedef enum {
	CS_ADMIT,
	CS_ADMIT_NOT_JOINED, /* this incarnation is not, or no longer, a member */
	CS_ADMIT_GAP,        /* the applier needs a snapshot or a peer's state */
	CS_ADMIT_PAUSED,     /* after a pause, neither the log nor the zone is confirmed */
	CS_ADMIT_ISOLATED    /* neither the log nor a majority of the zone is reachable */
} cs_admit_t;

typedef struct {
	uint64_t incarnation;
	uint64_t received_nonce; /* of the peer's last heartbeat; echoed to the peer */
	int64_t echoed_sent_ms;  /* when the newest nonce that the peer echoed was sent; -1: none */
	int64_t silence_start_ms; /* start of the peer's silence unless it echoes a later nonce */
	int64_t silent_list_ms;   /* when the peer's list of silent daemons arrived; -1: none */
	uint64_t control_next;    /* next offset of the control stream that the peer will apply */
	int64_t exclude_proposed_ms; /* when the last proposal to exclude the peer was submitted;
				      * -1: never */
	uint64_t *silent;            /* incarnations in the peer's list of silent daemons */
	size_t n_silent;
	bool leaving; /* the peer's last heartbeat says that it is leaving */
	UT_hash_handle hh;
} cs_peer_t;

typedef struct {
	uint64_t me;                         /* incarnation of this daemon */
	uint64_t seed;                       /* of the nonces */
	uint64_t ticks;                      /* number of ticks since cs_detector_init () */
	uint64_t nonces[CS_DETECTOR_NONCES]; /* ring, by tick; 0: none, or sent before a pause */
	int64_t sent_ms[CS_DETECTOR_NONCES]; /* when the nonce of the same index was sent */
	int64_t tick_ms;                     /* time of the last tick; -1: none */
	int64_t started_ms;                  /* time of the first tick; -1: none */
	int64_t paused_ms;        /* end of the last pause; -1: none, or admission has resumed */
	uint64_t catch_up_offset; /* which the applier must reach after a pause; 0: not known yet */
	cs_peer_t *peers;         /* uthash by incarnation */
	uint64_t
		*silent; /* incarnations of silent members of this daemon's zone at the last tick */
	size_t n_silent;
	unsigned disabled; /* CS_DETECTOR_NO_* */
} cs_detector_t;

/* seed is that of the nonces; disabled is a set of CS_DETECTOR_NO_* flags. */
void cs_detector_init (cs_detector_t *h, uint64_t own_incarnation, uint64_t seed,
		       unsigned disabled);
void cs_detector_finish (cs_detector_t *h);

/* To be called every CS_TICK_MS, before heartbeats are sent. Returns true if this call detects a
 * pause; a pause already detected by cs_detector_record_heartbeat () or cs_detector_may_admit () is
 * not reported. */
bool cs_detector_tick (cs_detector_t *h, const cs_members_t *m, int64_t now_ms);
/* Sets nonce, echo and silent of a heartbeat to the daemon of incarnation `to`. The list of
 * silent daemons remains owned by h and is valid until the next tick. echo is 0 unless the
 * receiver is a member. */
void cs_detector_fill_heartbeat (const cs_detector_t *h, const cs_members_t *m, uint64_t to,
				 Cs__Heartbeat *heartbeat);
/* Records a heartbeat received from the daemon of incarnation `from`; ignored if that is 0 or this
 * daemon. */
void cs_detector_record_heartbeat (cs_detector_t *h, uint64_t from, const Cs__Heartbeat *heartbeat,
				   int64_t now_ms);

/* True if the peer of that incarnation is reachable; false for this daemon itself. */
bool cs_detector_is_reachable (const cs_detector_t *h, uint64_t incarnation, int64_t now_ms);
/* Number of members of the zone that are reachable, including this daemon if it is a member of the
 * zone. */
size_t cs_detector_count_reachable (const cs_detector_t *h, const cs_members_t *m, const char *zone,
				    int64_t now_ms);
/* Returns CS_ADMIT if this daemon may admit requests, else the reason why it may not. applier
 * is that of the control stream. CS_ADMIT ends a pause. */
cs_admit_t cs_detector_may_admit (cs_detector_t *h, const cs_members_t *m,
				  const cs_applier_t *applier, int64_t now_ms);
/* Text of the admission state for refusals and status; statically allocated. */
const char *cs_admit_text (cs_admit_t admission);

/* Argument of cs_detector_filter_available (). */
typedef struct {
	const cs_detector_t *detector;
	int64_t now_ms;
} cs_detector_filter_t;
/* Filter for cs_members_rank () that passes this daemon and all reachable daemons that are not
 * leaving; arg is a cs_detector_filter_t. */
bool cs_detector_filter_available (void *arg, const cs_member_t *member);

/* Returns true if the VM list no longer contains the VM of the member. */
typedef bool (*cs_vm_gone_t) (void *arg, const cs_member_t *member);
/* Submits EXCLUDE records to control, the writer of the control stream, for two kinds of silent
 * daemons: those of this daemon's zone that a majority of the zone reports as silent, and those
 * silent to this daemon whose VM has disappeared from the VM list. The majority is
 * counted over the zone's members at the offset that the silent daemon was last known to have
 * applied, and again after each later JOIN. Does nothing unless this daemon is a member and the log
 * is current. vm_gone may be NULL if no VM list is available. */
void cs_detector_propose_exclusions (cs_detector_t *h, const cs_members_t *m, int64_t now_ms,
				     cs_vm_gone_t vm_gone, void *arg, cs_writer_t *control);

#endif
