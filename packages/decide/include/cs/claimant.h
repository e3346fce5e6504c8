/* State machine for the protected requests of this daemon: claim, dispatch, outcome, answer.
 *
 *   submit -> APPEND claim -> applied, own claim stands     -> DISPATCH -> result
 *                                                           -> APPEND outcome, ANSWER
 *                             applied, another claim stands -> wait -> kept answer or `unknown`
 *                             applied, body differs         -> conflict
 *                             not applied within claim_ms   -> abandoned -> refused
 *
 * Rules:
 * - DISPATCH is emitted only once the own claim stands in a view of the shard without a gap.
 *   Such a view contains every record before the claim, and records after the claim cannot
 *   displace it. A claim that is applied later than claim_ms after the submission, or whose
 *   caller has left, is abandoned instead.
 * - A request is not repeated once a byte has gone to a back end. After
 *   CS_CLAIM_RESULT_NOT_SENT the next DISPATCH may go to another back end, at most
 *   max_attempts times in all.
 * - `not-run` is a statement about the key: nothing has run under it up to now. It is
 *   reported only in two cases: a read of the tail that was sent after this submission has
 *   been applied without a gap and shows no claim but abandoned ones of this daemon; or the own
 *   claim stands and no byte was sent (the view up to the claim is contiguous, whatever its
 *   age). In all other cases the answer is `unknown`.
 * - A claim whose append is ambiguous doesn't prevent `not-run`: dispatch needs the claim to
 *   be applied, and an abandoned submission isn't dispatched when its claim is applied later.
 *   The daemon then writes the outcome `not-run`, which frees the key. If the daemon crashes
 *   before that, the claim has no outcome and later callers get `unknown`, which is weaker
 *   and still true.
 * - A claim by this incarnation that has no submission here also gets `not-run`.
 * - The answer goes to the caller together with the append of the outcome and doesn't
 *   wait for it: waiting would make a finished answer depend on the log, and a crash
 *   between the two leads to `unknown` in either order.
 * - A submission is kept until its outcome is applied, so that an outage of the log loses
 *   none. At most max_submissions are kept; further ones are refused.
 *
 * Forwarding: a daemon need not read the key's shard. While cs_shard_view_t names a home,
 * records are forwarded to that daemon, which replies with the key's state as it has applied it.
 * That state includes the forwarded record, is a contiguous prefix of the log no older than the
 * record, and is therefore as good as the local state; of the two, the one that reaches further
 * is used. Without a reply within forward_ms, CS_CLAIM_DO_READ_SHARD asks for the shard to be
 * read here, and the rules above apply to the local state. A submission that is refused while its
 * ClaimRequest has no reply is given up but kept until a reply comes: if its claim stands,
 * `not-run` is written and the request never runs. An own claim without a submission counts as
 * never dispatched only if its offset lies above all settled claims: a view that is behind, or that
 * is read anew, shows settled claims as open.
 *
 * Effect of a log outage at each step:
 *   before the claim is applied         refused at claim_ms: `not-run` only with a current state
 *   claim applied, before dispatch      no effect: the claim stands
 *   after dispatch                      answered; the outcome is appended when the log is back
 * If the claimant has left or is excluded and there is no outcome, every daemon reports `unknown`
 * at once. */
#ifndef CS_CLAIMANT_H
#define CS_CLAIMANT_H

#include "cs/claims.h"

/* Mechanisms that tests can disable. */
typedef enum {
	CS_CLAIMANT_NO_CLAIM_BEFORE_DISPATCH = 1 << 0,
	CS_CLAIMANT_NO_CURRENT_STATE = 1 << 1, /* report `not-run` from an outdated state */
	CS_CLAIMANT_NO_SENT_CHECK = 1 << 2,    /* retry after a byte was sent */
	CS_CLAIMANT_NO_ABANDON = 1 << 3, /* dispatch claims that are applied after the refusal */
	CS_CLAIMANT_NO_ATTEMPT_CHECK = 1 << 4, /* accept results of any attempt */
	CS_CLAIMANT_NO_FALL_BACK = 1 << 5,     /* keep waiting for a home that does not reply */
	CS_CLAIMANT_NO_SETTLED_CHECK = 1 << 6, /* treat settled claims shown as open as abandoned */
	CS_CLAIMANT_NO_GIVEN_UP = 1 << 7       /* drop refused submissions with a pending claim */
} cs_claimant_disabled_t;

typedef struct {
	uint64_t incarnation;     /* of this daemon */
	uint32_t claim_ms;        /* longest time from submission to dispatch; 0: 3000 */
	uint32_t wait_ms;         /* longest wait for the outcome of another claim; 0: 2000 */
	uint32_t retry_ms;        /* delay of the next append after a definite failure; 0: 200 */
	uint32_t append_ms;       /* delay of the next append while none is applied; 0: 1000 */
	uint32_t resend_ms;       /* delay of the next ClaimRequest without a reply; 0: 200 */
	uint32_t forward_ms;      /* longest wait for the home's reply; 0: 1000 */
	uint32_t generation_ms;   /* shortest length of a generation; 0: one hour */
	uint32_t max_attempts;    /* attempts while no byte has been sent; 0: 3 */
	uint32_t max_submissions; /* most submissions kept; 0: 4096 */
	uint32_t disabled;        /* cs_claimant_disabled_t */
	/* Whether the control stream shows that incarnation as joined; NULL: all are joined. */
	bool (*joined) (void *arg, uint64_t incarnation);
	void *joined_arg;
} cs_claimant_options_t;

/* State of the key's shard as this daemon has applied it. */
typedef struct {
	const cs_claims_t *claims;
	bool is_contiguous;   /* applied without a gap since a snapshot or the beginning */
	int64_t read_sent_ms; /* when the last read that reached the tail was sent; the
			       * tail applied is no older than this */
	bool is_catching_up;  /* the shard is read here, but is_contiguous is not set yet:
			       * nothing is appended */
	uint64_t next_offset; /* next offset to apply */
	uint64_t home;        /* daemon to forward to, if the shard isn't read here; 0: none */
} cs_shard_view_t;

/* Reply of a home: the state of a key as the home has applied it. */
typedef struct {
	uint64_t requester; /* incarnation that sent the ClaimRequest */
	uint32_t shard;
	uint64_t ticket;      /* of the FORWARD action */
	uint64_t next_offset; /* next offset that the home will apply */
	cs_claim_key_t key;
	cs_claim_view_t view;
} cs_claim_reply_t;

typedef enum {
	CS_CLAIM_DO_APPEND,     /* append record to the shard's stream */
	CS_CLAIM_DO_FORWARD,    /* send record to home; a failure need not be reported */
	CS_CLAIM_DO_READ_SHARD, /* the home does not reply: read the shard here */
	CS_CLAIM_DO_DISPATCH,   /* send to a back end; report with cs_claimant_attempt_end */
	CS_CLAIM_DO_ANSWER,     /* `ran`: send the answer to the caller */
	CS_CLAIM_DO_REFUSE      /* send a problem document with the outcome */
} cs_claim_action_kind_t;

/* Why a submission is refused; cs_claim_refusal_type gives the last part of the problem's URI. */
typedef enum {
	CS_CLAIM_CONFLICT,         /* 409: the key was used with another body */
	CS_CLAIM_KEY_EXPIRED,      /* 409: the key is older than the window */
	CS_CLAIM_IN_PROGRESS,      /* 409: another submission of the key has not ended */
	CS_CLAIM_NO_OUTCOME,       /* 504: the request may have run */
	CS_CLAIM_NO_LOG,           /* 503: the claim was not applied in time */
	CS_CLAIM_NO_BACKEND,       /* 503: no back end accepted the request */
	CS_CLAIM_NO_ANSWER,        /* 409: the request ran, but its answer is no longer kept */
	CS_CLAIM_BUSY,             /* 503: too many submissions */
	CS_CLAIM_CRASHES_REPLICAS, /* 422: the request has crashed the replicas that ran it */
	CS_CLAIM_OVERLOADED /* 503: all back ends are at capacity; the queue sets the delay */
} cs_claim_refusal_t;

typedef enum {
	CS_CLAIM_REPORTED_NOT_RUN,
	CS_CLAIM_REPORTED_RAN,
	CS_CLAIM_REPORTED_UNKNOWN
} cs_claim_reported_t;

/* One action for the caller of this module to carry out; owns the memory it points to. */
typedef struct cs_claim_action {
	cs_claim_action_kind_t kind;
	uint64_t id;    /* of the submission, as given to cs_claimant_submit */
	uint32_t shard; /* unset for ANSWER and REFUSE */
	/* APPEND, FORWARD: */
	uint64_t home;
	uint64_t ticket;   /* to be passed to cs_claimant_appended */
	Cs__Record record; /* body only: the log writer sets incarnation and sequence */
	Cs__Claim claim;
	Cs__Outcome outcome;
	/* DISPATCH: */
	uint32_t attempt; /* from 1 */
	/* ANSWER: */
	uint32_t status;
	cs_str_t content_type;
	cs_str_t answer;
	bool is_kept; /* the answer of an earlier submission */
	/* REFUSE: */
	cs_claim_refusal_t refusal;
	cs_claim_reported_t reported_outcome;
	int64_t retry_after_ms; /* 0: not known */
	uint64_t holder;        /* NO_ANSWER: incarnation that may still keep the answer; 0: none */
	/* private */
	char *storage;
	struct cs_claim_action *next;
} cs_claim_action_t;

typedef struct cs_submission cs_submission_t;
typedef struct cs_claimant_shard cs_claimant_shard_t;

typedef struct {
	cs_claimant_options_t options;
	cs_submission_t *by_id; /* uthash */
	uint32_t n_submissions; /* submissions */
	uint64_t next_ticket;
	uint64_t next_orphan;
	cs_claim_action_t *head; /* queued actions */
	cs_claim_action_t *tail;
	cs_claimant_shard_t *shards;
	size_t n_shards;
} cs_claimant_t;

/* One protected request of a caller. */
typedef struct {
	uint64_t id; /* unique within this incarnation */
	cs_claim_key_t key;
	uint64_t fingerprint;
	uint32_t shard;
	cs_str_t request_id; /* unique in the system; copied */
	int64_t deadline_ms; /* 0: none */
} cs_claim_submit_t;

/* How an attempt ended. */
typedef enum {
	CS_CLAIM_RESULT_COMPLETE, /* a complete answer with a status: the request ran */
	CS_CLAIM_RESULT_NOT_SENT, /* no byte left this daemon */
	CS_CLAIM_RESULT_REFUSED,  /* the back end's contract proves that the request did not run */
	CS_CLAIM_RESULT_BLOCKED,  /* not sent: the request may not run anywhere */
	CS_CLAIM_RESULT_BUSY,     /* not sent: no back end had room in time */
	CS_CLAIM_RESULT_LOST /* disconnected, timed out, cancelled or answer of another request */
} cs_claim_result_t;

void cs_claimant_init (cs_claimant_t *c, const cs_claimant_options_t *options);
void cs_claimant_finish (cs_claimant_t *c);

/* Removes and returns the next action to carry out, NULL if there is none; the caller frees
 * it with cs_claim_action_free. Every function below may queue further actions, also while
 * earlier ones are being carried out. */
cs_claim_action_t *cs_claimant_next_action (cs_claimant_t *c);
void cs_claim_action_free (cs_claim_action_t *a);

void cs_claimant_submit (cs_claimant_t *c, int64_t now_ms, const cs_claim_submit_t *submit,
			 const cs_shard_view_t *shard_view);
/* Result of an APPEND. CS_OK: appended; CS_UNKNOWN: may have been appended; any other status:
 * the append had no effect and never will have (refused by the log, or superseded by a later
 * sequence of this incarnation). */
void cs_claimant_appended (cs_claimant_t *c, int64_t now_ms, uint64_t ticket, cs_status_t status);
/* To be called after each batch of records that is applied for the shard: continues the shard's
 * submissions. */
void cs_claimant_applied (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
			  const cs_shard_view_t *shard_view);
/* To be called for each applied Claim of this incarnation, before cs_claimant_applied for its
 * batch. */
void cs_claimant_apply_own_claim (cs_claimant_t *c, int64_t now_ms, uint32_t shard, uint64_t offset,
				  const Cs__Claim *claim, const cs_shard_view_t *shard_view);
/* Handles the reply of a home to a ClaimRequest. */
void cs_claimant_handle_reply (cs_claimant_t *c, int64_t now_ms, const cs_claim_reply_t *reply,
			       const cs_shard_view_t *shard_view);
/* Returns the generation for a claim that is written now; the state must be
 * contiguous (is_contiguous). */
uint64_t cs_claimant_generation (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
				 const cs_shard_view_t *shard_view);
/* Reports the end of the attempt started by DISPATCH. Results of other attempts are ignored. */
void cs_claimant_attempt_end (cs_claimant_t *c, int64_t now_ms, uint64_t id, uint32_t attempt,
			      cs_claim_result_t result, uint32_t status, cs_str_t content_type,
			      cs_str_t answer, const cs_shard_view_t *shard_view);
/* The caller has left: no answer is sent any more; a running attempt goes on. */
void cs_claimant_caller_left (cs_claimant_t *c, uint64_t id);
/* Handles timeouts; shard_views is indexed by shard. */
void cs_claimant_tick (cs_claimant_t *c, int64_t now_ms, const cs_shard_view_t *shard_views,
		       size_t n_shard_views);
/* HTTP status of the problem document, and the last part of its type URI. */
int cs_claim_refusal_status (cs_claim_refusal_t r);
const char *cs_claim_refusal_type (cs_claim_refusal_t r);

#endif
