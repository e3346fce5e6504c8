/* Private types and functions shared by the source files of the claimant. */
#ifndef CS_CLAIMANT_IMPL_H
#define CS_CLAIMANT_IMPL_H

#include <uthash.h>

#include "cs/claimant.h"

typedef enum {
	CS_SUB_CLAIMING, /* the claim isn't applied yet */
	CS_SUB_WAITING,  /* another claim stands without an outcome */
	CS_SUB_GIVEN_UP, /* refused; the home may still append the claim */
	CS_SUB_RUNNING,  /* the claim stands and the request was dispatched */
	CS_SUB_ENDED     /* the caller has its answer; the outcome isn't applied yet */
} cs_sub_state_t;

struct cs_submission {
	uint64_t id;
	cs_claim_key_t key;
	uint64_t fingerprint;
	uint32_t shard;
	char *request_id;
	uint64_t request_hash; /* cs_hash of request_id */
	int64_t arrival_ms;
	int64_t deadline_ms; /* INT64_MAX: none */
	cs_sub_state_t state;
	uint64_t ticket;        /* of the last append */
	int64_t next_append_ms; /* earliest time of the next append */
	int64_t wait_until_ms;  /* WAITING: when the wait for the other claim's outcome ends */
	uint64_t claim_offset;  /* of the own claim once it is known; 0: not yet */
	/* Forwarding: */
	bool forwarded; /* the last record went to a home that has not replied yet */
	int64_t forwarded_ms;
	bool has_reply;         /* reply_view holds a home's reply */
	uint64_t reply_next;    /* first offset that reply_view does not include */
	int64_t reply_asked_ms; /* when the ClaimRequest of the reply was first sent */
	cs_claim_view_t reply_view;
	uint32_t attempt;
	bool without_caller; /* the caller has left or has been refused: nothing more is sent */
	/* ENDED: the outcome to be appended */
	Cs__OutcomeKind kind;
	uint32_t status;
	char *content_type;
	cs_buf_t answer;
	UT_hash_handle hh;
};

/* What the claimant keeps for a shard beside the applied state. */
struct cs_claimant_shard {
	uint64_t generation;         /* generation last seen in the state */
	int64_t generation_since_ms; /* when it was first seen */
	/* Every own claim below this offset is settled, or was never dispatched and has a
	 * submission. */
	uint64_t settled_end;
};

cs_claim_action_t *cs_claimant_queue_action (cs_claimant_t *c, cs_claim_action_kind_t kind,
					     uint64_t id);
void cs_claimant_queue_claim (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
			      const cs_shard_view_t *shard_view);
void cs_claimant_queue_outcome (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
				const cs_shard_view_t *shard_view);
/* Queues CS_CLAIM_DO_READ_SHARD if the home has not replied within forward_ms. */
void cs_claimant_read_shard_if_no_reply (cs_claimant_t *c, int64_t now_ms, const cs_submission_t *s,
					 const cs_shard_view_t *shard_view);
/* Sets v to the newest known state of the submission's key: from the local state or the home's
 * reply, whichever reaches further. Returns the shard view that v is valid for. */
cs_shard_view_t cs_claimant_newest_view (const cs_submission_t *s,
					 const cs_shard_view_t *shard_view, cs_claim_view_t *v);
cs_submission_t *cs_claimant_add_submission (cs_claimant_t *c, uint64_t id, cs_str_t request_id);
void cs_claimant_step_submission (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
				  const cs_shard_view_t *shard_view);
void cs_claimant_observe_generation (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
				     const cs_shard_view_t *shard_view);
cs_claimant_shard_t *cs_claimant_shard (cs_claimant_t *c, uint32_t shard);
void cs_claimant_remove_submission (cs_claimant_t *c, cs_submission_t *s);
void cs_claimant_dispatch (cs_claimant_t *c, cs_submission_t *s);
/* Handles a submission that was refused while its claim was forwarded: repeats the
 * ClaimRequest until it is known whether the claim stands. */
void cs_claimant_step_given_up (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
				const cs_shard_view_t *local_view);
/* Ends a submission; its outcome is appended again until a shard view shows one. */
void cs_claimant_end_submission (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
				 Cs__OutcomeKind kind, const cs_shard_view_t *shard_view);
/* Whether the own claim at the offset may be settled already although a view shows it as open:
 * views come from several daemons' states, and some are behind others. */
bool cs_claimant_may_be_settled (const cs_claimant_t *c, uint32_t shard, uint64_t offset);
/* Queues the outcome `not-run` if v is an open claim of this incarnation without a
 * submission. */
void cs_claimant_abandon_orphan (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
				 const cs_claim_key_t *key, const cs_claim_view_t *v,
				 const cs_shard_view_t *shard_view);
void cs_claimant_queue_answer (cs_claimant_t *c, const cs_submission_t *s, uint32_t status,
			       cs_str_t content_type, cs_str_t answer, bool kept);
void cs_claimant_queue_refusal (cs_claimant_t *c, const cs_submission_t *s,
				cs_claim_refusal_t refusal, cs_claim_reported_t reported,
				int64_t retry_after_ms, uint64_t holder);

bool cs_claimant_is_own_claim (const cs_claimant_t *c, const cs_submission_t *s,
			       const cs_claim_view_t *v);
/* Whether a key in that state is free to be claimed. */
bool cs_claimant_is_claimable (cs_claim_state_t state);
/* Returns the submission with that request hash, NULL if there is none. */
cs_submission_t *cs_claimant_find_request (const cs_claimant_t *c, uint64_t request);
/* Returns what may be reported of the key of a submission that has not been dispatched. */
cs_claim_reported_t cs_claimant_reportable_outcome (const cs_claimant_t *c,
						    const cs_submission_t *s,
						    const cs_shard_view_t *shard_view,
						    const cs_claim_view_t *v);

#endif
