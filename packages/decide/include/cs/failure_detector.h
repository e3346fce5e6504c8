/* Heartbeat failure detector. It decides whether this daemon may admit requests while the log
 * is unreachable, and proposes to exclude daemons that are silent.
 *
 * Each tick generates a nonce; every heartbeat carries it and echoes the last nonce received
 * from its receiver. A peer is reachable while the newest nonce of this daemon that the peer
 * has echoed was sent within CS_REACHABLE_MS. Requiring a round trip keeps packets that were
 * delayed in buffers from counting. A gap between two ticks of more than
 * CS_PAUSE_THRESHOLD_MS means that this daemon was paused: all round trips are discarded, and
 * the daemon admits no requests until a log read sent after the pause has reached the end of
 * the log, or a majority of its zone has completed new round trips. */
#ifndef CS_FAILURE_DETECTOR_H
#define CS_FAILURE_DETECTOR_H

#include <uthash.h>

#include "cs/members.h"
#include "cs/peer.pb-c.h"
#include "cs/writer.h"

enum {
	CS_TICK_MS = 1000,            /* heartbeat interval */
	CS_REACHABLE_MS = 3000,       /* maximum age of a reachable peer's echoed nonce */
	CS_PAUSE_THRESHOLD_MS = 2500, /* a longer gap between ticks is a pause */
	CS_LOG_CURRENT_MS = 5000,     /* maximum age of the last read of the log's end */
	CS_SILENCE_MS = 12000,        /* a peer without a round trip for so long is silent; above
					 the sum of CS_LOG_CURRENT_MS, CS_REACHABLE_MS and
					 CS_PAUSE_THRESHOLD_MS */
	CS_EXCLUDE_STAGGER_MS = 2000, /* delay of a proposal per rank */
	CS_EXCLUDE_REPEAT_MS = 10000, /* between proposals to exclude the same daemon */
	CS_DETECTOR_NONCES = 8        /* latest nonces stored */
};

/* Mechanisms that a test may turn off. */
enum {
	CS_DETECTOR_NO_MAJORITY = 1,
	CS_DETECTOR_NO_PAUSE = 2,
	CS_DETECTOR_NO_ROUND_TRIP = 4,
	CS_DETECTOR_NO_KNOWN_VIEW = 8
};

typedef enum {
	CS_ADMIT,
	CS_ADMIT_NOT_JOINED, /* this incarnation is not a member, or no longer */
	CS_ADMIT_GAP,        /* needed records have expired; a snapshot is required */
	CS_ADMIT_PAUSED,     /* paused; no current log or majority since */
	CS_ADMIT_ISOLATED    /* neither the log nor a majority of the zone is reachable */
} cs_admit_t;

typedef struct {
	uint64_t incarnation;
	uint64_t received_nonce;     /* of the peer's last heartbeat; echoed to the peer */
	int64_t echoed_sent_ms;      /* when the newest nonce that it echoed was sent; -1: none */
	int64_t silence_start_ms;    /* when its silence starts if it has echoed none */
	int64_t silent_list_ms;      /* when its list of silent daemons was received; -1: none */
	uint64_t control_next;       /* next offset of the control stream that it will apply */
	int64_t exclude_proposed_ms; /* when this daemon last proposed its exclusion; -1: never */
	uint64_t *silent;            /* incarnations in its list of silent daemons */
	size_t n_silent;
	bool leaving;
	UT_hash_handle hh;
} cs_peer_t;

typedef struct {
	uint64_t me;    /* incarnation of this daemon */
	uint64_t seed;  /* of the nonces */
	uint64_t ticks; /* since init */
	uint64_t nonces[CS_DETECTOR_NONCES];
	int64_t sent_ms[CS_DETECTOR_NONCES]; /* when the nonce of the same index was sent */
	int64_t tick_ms;                     /* time of the last tick; -1: none */
	int64_t started_ms;                  /* time of the first tick; -1: none */
	int64_t paused_ms;        /* end of the last pause; -1: none, or admission has resumed */
	uint64_t catch_up_offset; /* that the applier must reach after a pause; 0: not known yet */
	cs_peer_t *peers;
	uint64_t *silent; /* silent members of this daemon's zone as of the last tick */
	size_t n_silent;
	unsigned disabled;
} cs_detector_t;

void cs_detector_init (cs_detector_t *h, uint64_t me, uint64_t seed, unsigned disabled);
void cs_detector_finish (cs_detector_t *h);

/* Call every CS_TICK_MS, before heartbeats are sent. Returns true if this call detects a pause; one
 * already detected by cs_detector_record_heartbeat () or cs_detector_may_admit () is not reported.
 */
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
/* Number of members of the zone that are reachable; counts this daemon if it is one of them. */
size_t cs_detector_count_reachable (const cs_detector_t *h, const cs_members_t *m, const char *zone,
				    int64_t now_ms);
/* Returns CS_ADMIT if this daemon may admit requests, else the reason why it may not. applier
 * is that of the control stream. */
cs_admit_t cs_detector_may_admit (cs_detector_t *h, const cs_members_t *m,
				  const cs_applier_t *applier, int64_t now_ms);
/* Text of the admission state for refusals and status; statically allocated. */
const char *cs_admit_text (cs_admit_t admission);

/* Argument of cs_detector_filter_available (), a filter for cs_members_rank (): passes reachable
 * daemons that are not leaving, and this daemon. */
typedef struct {
	const cs_detector_t *detector;
	int64_t now_ms;
} cs_detector_filter_t;
bool cs_detector_filter_available (void *reachable, const cs_member_t *member);

/* Returns true if the VM list no longer contains the VM of the member. */
typedef bool (*cs_vm_gone_t) (void *arg, const cs_member_t *member);
/* Submits EXCLUDE records for silent daemons: those that a majority of their own zone reports
 * as silent, counted over the zone's members at the offset that the daemon was last known to
 * have applied and again at each JOIN since, and those that are silent to this daemon and
 * whose VM has disappeared from the VM list. Does nothing unless the log is current. vm_gone
 * may be NULL if no VM list is available. */
void cs_detector_propose_exclusions (cs_detector_t *h, const cs_members_t *m, int64_t now_ms,
				     cs_vm_gone_t vm_gone, void *arg, cs_writer_t *control);

#endif
