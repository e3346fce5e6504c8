/* State machine of one claims-N stream: which request owns each idempotency key.
 *
 * A protected request may be sent to a back end only when its claim is the standing
 * one in the state of its stream. The first claim of a key stands; a later one has no
 * effect unless the standing claim has the outcome `not-run`, which frees the key for
 * other requests with the same body; a late repeat of the freed claim has no effect. Only the
 * claimant may record `ran` or `not-run`, since no other daemon can know that a running or paused
 * claimant will not dispatch. Other daemons may record `unknown`. The first outcome stands, but
 * `unknown` may be replaced by `ran` or `not-run`.
 *
 * Window: clocks are never compared between daemons. Each claim carries a generation
 * number. A claimant that has seen the current generation for generation_ms by its own
 * clock writes the next number, and the first claim to do so begins that generation. A
 * restart of the daemon restarts this measurement, so a generation lasts at least generation_ms and
 * a key is kept for at least keep_generations of them (24 x 1 h by default), longer when there are
 * no claims or when every daemon is restarted within the hour. A key older than that is retired: 8
 * bytes of its hash are kept for retire_generations more (6 days by default) and it is refused as
 * CS_CLAIM_EXPIRED. After that the key counts as new again, so callers must not reuse a key after 7
 * days.
 *
 * State: a hash table of keys that are open or recently settled (have an outcome), and immutable
 * segments. When seal_claims keys are settled, or a generation ends, the settled keys and their
 * outcomes are sealed into one segment and their answers into another; when only the answers
 * reach CS_CLAIMS_SEAL_BYTES, only they are sealed. Segments have the format that is written to
 * the log. A sealed key that changes (`unknown` to `ran`, or `not-run` claimed again) is put back
 * in the table, which hides its sealed entry. The window of a settled key is counted from the
 * generation in which it was sealed, so that a whole segment expires at once and becomes a segment
 * of retired keys. A hidden entry may then make a freed key CS_CLAIM_EXPIRED, which is the safe
 * error. Kept answers take up to max_answer_bytes in all; beyond that the oldest answer segment is
 * dropped and the outcomes stay. */
#ifndef CS_CLAIMS_H
#define CS_CLAIMS_H

#include "cs/applier.h"

enum {
	CS_CLAIM_KEY_BYTES = 16,
	CS_CLAIM_ANSWER_BYTES = 4096,     /* largest answer that is kept in the log */
	CS_CLAIM_ANSWER_OVERHEAD = 128,   /* memory counted per kept answer, besides its bytes */
	CS_CLAIMS_SEAL_BYTES = 64 * 1024, /* unsealed answers that are sealed */
	CS_CLAIMS_MAX_RETIRED = 16384     /* most keys in a segment of retired keys */
};

/* Mechanisms that tests turn off. */
typedef enum {
	CS_CLAIMS_NO_FIRST_WINS = 1 << 0,        /* the last claim stands */
	CS_CLAIMS_NO_FINGERPRINT_CHECK = 1 << 1, /* a key may be reused with another body */
	CS_CLAIMS_NO_RETIRED = 1 << 2,           /* a key older than the window is new */
	CS_CLAIMS_NO_OUTCOME_CHECK = 1 << 3,     /* any daemon may set any outcome of any claim */
	CS_CLAIMS_NO_REPEAT_CHECK = 1 << 4       /* a request may claim again after `not-run` */
} cs_claims_disabled_t;

typedef struct {
	uint32_t keep_generations;   /* generations that a key is kept; 0: 24 */
	uint32_t retire_generations; /* further ones that its hash is kept; 0: 144 */
	size_t max_answer_bytes;     /* all kept answers of the stream; 0: 4 MiB */
	size_t seal_claims;          /* settled keys that make a segment; 0: 2048 */
	uint32_t disabled;           /* cs_claims_disabled_t */
} cs_claims_options_t;

typedef struct {
	uint8_t bytes[CS_CLAIM_KEY_BYTES];
} cs_claim_key_t;

typedef enum {
	CS_CLAIM_NONE,    /* no such key in the window: it may be claimed */
	CS_CLAIM_OPEN,    /* claimed, no outcome yet */
	CS_CLAIM_UNKNOWN, /* may have run */
	CS_CLAIM_NOT_RUN, /* proved not to have run; the key may be claimed again */
	CS_CLAIM_RAN,
	CS_CLAIM_EXPIRED /* older than the window; refused, as it may have run */
} cs_claim_state_t;

/* State of a key. The strings point into the shard's state and are valid until it changes. */
typedef struct {
	cs_claim_state_t state;
	uint64_t offset;      /* of the standing claim */
	uint64_t incarnation; /* of its claimant */
	uint64_t fingerprint;
	uint64_t request; /* cs_hash of the claimant's request id */
	/* CS_CLAIM_RAN: */
	uint32_t status;
	bool has_answer; /* content_type and answer are in the state */
	cs_str_t content_type;
	cs_str_t answer;
	uint64_t holder;        /* incarnation that may keep a larger answer; 0: none */
	uint64_t answer_digest; /* cs_hash of a larger answer */
} cs_claim_view_t;

typedef struct cs_claim cs_claim_t;
typedef struct cs_answer cs_answer_t;
typedef struct cs_claims_segment cs_claims_segment_t;

typedef struct {
	cs_claims_options_t options;
	cs_claim_t *by_key;            /* uthash: unsealed keys */
	size_t n_settled;              /* keys in by_key that are not open */
	cs_answer_t *answers;          /* of the keys in by_key, oldest first */
	size_t answers_unsealed_bytes; /* with CS_CLAIM_ANSWER_OVERHEAD each */
	size_t answers_total_bytes;    /* likewise, of all answers */
	uint64_t generation;           /* current one, from 1 */
	cs_claims_segment_t *segments; /* oldest first */
	size_t n_segments, cap_segments;
	size_t n_sealed;    /* keys in segments, including those hidden by the table */
	size_t n_retired;   /* retired keys */
	uint64_t conflicts; /* claims refused for another fingerprint */
	uint64_t ignored;   /* records without effect */
} cs_claims_t;

/* Key of a protected request: BLAKE2b of team, service and Idempotency-Key. */
cs_claim_key_t cs_claim_key (cs_str_t team, cs_str_t service, cs_str_t idempotency_key);
/* Fingerprint of a request: hash of method, path, content type and body. */
uint64_t cs_claim_fingerprint (cs_str_t method, cs_str_t path, cs_str_t content_type,
			       cs_str_t body);
uint32_t cs_claim_shard (const cs_claim_key_t *key, uint32_t shards);
/* The incarnation that made a Claim or Outcome: the writer, or the claimant if it was forwarded. */
uint64_t cs_claim_claimant (const Cs__Record *record);

void cs_claims_init (cs_claims_t *c, const cs_claims_options_t *options);
void cs_claims_finish (cs_claims_t *c);
/* Applies one record, after exactly-once filtering and in offset order. Records that are
 * neither Claim nor Outcome, or break a rule, have no effect. */
void cs_claims_apply (cs_claims_t *c, uint64_t offset, const Cs__Record *record);
/* Looks up the state of a key. */
void cs_claims_lookup (const cs_claims_t *c, const cs_claim_key_t *key, cs_claim_view_t *out);
/* Number of keys, sealed or not; a key that is in both forms counts twice. */
size_t cs_claims_count (const cs_claims_t *c);
/* Approximate memory use, including the hash table. */
size_t cs_claims_bytes (const cs_claims_t *c);
/* Appends the unsealed state to out; equal states give equal bytes. */
void cs_claims_save (const cs_claims_t *c, cs_buf_t *out);
/* Replaces the state; on CS_INVALID it is left empty. The segments are then added in order
 * by cs_claims_add_segment. */
cs_status_t cs_claims_restore (cs_claims_t *c, cs_str_t bytes);
size_t cs_claims_segment_count (const cs_claims_t *c);
/* Returns the xxHash of segment i and appends its bytes to out unless that is NULL. */
uint64_t cs_claims_save_segment (const cs_claims_t *c, size_t i, cs_buf_t *out);
/* Adds a segment after the others; CS_INVALID if it is damaged. */
cs_status_t cs_claims_add_segment (cs_claims_t *c, cs_str_t bytes);

/* State machine operations of a claims stream; the state is a cs_claims_t. */
extern const cs_state_machine_ops_t cs_claims_ops;

#endif
