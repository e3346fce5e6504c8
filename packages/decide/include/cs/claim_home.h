/* Forwarded claims at a shard's home, the daemon that appends records for other daemons:
 * which daemons have sent a ClaimRequest, and which replies they are due.
 *
 *   new request          -> record appended in the home's group commit, applied, then replied to
 *   repeated request     -> ignored while the append is under way; replied to again once applied
 *   key's state changes  -> replied to again until the requester is removed
 *
 * A reply is sent only from a view of the shard that includes the requester's own record. Such a
 * view reaches beyond the log's tail at the time of the request, so that a home that was paused,
 * has lost the log or has just become home cannot send a stale state. A request whose append failed
 * or has an unknown outcome is removed without a reply, and the requester sends it again.
 * Appending a claim twice is harmless, since the first one stands. */
#ifndef CS_CLAIM_HOME_H
#define CS_CLAIM_HOME_H

#include "cs/claimant.h"
#include "cs/peer.pb-c.h"

enum {
	CS_CLAIM_HOME_RETENTION_MS = 5000,  /* how long a requester is sent state changes */
	CS_CLAIM_HOME_MAX_REQUESTERS = 4096 /* further requests are ignored */
};

/* Mechanisms that tests turn off. */
typedef enum {
	CS_CLAIM_HOME_NO_APPLY_WAIT = 1 << 0 /* reply before the record is applied */
} cs_claim_home_disabled_t;

typedef struct cs_claim_requester cs_claim_requester_t;

typedef struct {
	cs_claim_requester_t *requesters; /* uthash */
	uint32_t disabled;                /* cs_claim_home_disabled_t */
} cs_claim_home_t;

void cs_claim_home_init (cs_claim_home_t *h, uint32_t disabled);
void cs_claim_home_finish (cs_claim_home_t *h);

/* Registers a request of daemon `from` to append the record, and sets the record's claimant.
 * If true, the caller appends the record and passes the outcome to cs_claim_home_append_done.
 * False for a repeat, a malformed record or too many requesters. */
bool cs_claim_home_request (cs_claim_home_t *h, int64_t now_ms, uint64_t from, uint64_t ticket,
			    uint32_t shard, Cs__Record *record);
/* Reports the outcome of the append: applied is true once the record has been applied here, false
 * if the append failed or its outcome is unknown; the request is then removed. */
void cs_claim_home_append_done (cs_claim_home_t *h, uint64_t from, uint64_t ticket, bool applied);
/* Fills in the next reply that is due for the shard; false if there is none. The reply's view
 * points into shard_view. */
bool cs_claim_home_next_reply (cs_claim_home_t *h, uint32_t shard,
			       const cs_shard_view_t *shard_view, cs_claim_reply_t *reply);
/* Removes requesters older than CS_CLAIM_HOME_RETENTION_MS. */
void cs_claim_home_expire (cs_claim_home_t *h, int64_t now_ms);

/* Fills the message m and its entry e from the reply. They point into the reply, except for
 * *content_type, which the caller frees. */
void cs_claim_reply_fill (const cs_claim_reply_t *r, Cs__ClaimReply *m, Cs__ClaimEntry *e,
			  char **content_type);
/* Reads a reply from the message; CS_INVALID if it is malformed. The reply's view points into
 * the message. */
cs_status_t cs_claim_reply_read (const Cs__ClaimReply *m, cs_claim_reply_t *r);

#endif
