/* Internal types and functions of the claims state machine, its segments and its snapshot. */
#ifndef CS_CLAIMS_IMPL_H
#define CS_CLAIMS_IMPL_H

#include <uthash.h>

#include "cs/claims.h"
#include "cs/claims.pb-c.h"

/* Answer of a claim with the outcome `ran`, until it is sealed. */
struct cs_answer {
	cs_claim_t *claim;
	uint32_t content_type_n;
	size_t answer_n;
	char *bytes; /* content type and answer */
	bool has_answer;
	uint64_t holder;
	uint64_t digest;
	struct cs_answer *prev, *next; /* in cs_claims_t.answers */
};

/* A key that is open, or settled and not yet sealed. Hides a sealed entry of the same key. */
struct cs_claim {
	cs_claim_key_t key;
	uint64_t offset;
	uint64_t incarnation;
	uint64_t fingerprint;
	uint64_t request;
	cs_answer_t *answer;
	uint32_t generation;
	uint32_t status;
	cs_claim_state_t state;
	UT_hash_handle hh;
};

/* An immutable segment of claims, answers or retired keys. */
struct cs_claims_segment {
	Cs__ClaimsSegment *m;
	uint64_t digest;
	size_t answer_bytes; /* counted towards options.max_answer_bytes */
};

/* First 8 bytes of the key, kept of a retired key. */
uint64_t cs_claims_short_key (const cs_claim_key_t *key);
/* The unsealed claim of the key; NULL if there is none. */
cs_claim_t *cs_claims_find (const cs_claims_t *c, const cs_claim_key_t *key);
/* Copies the standing claim of the key, sealed or not, to out; false if there is none. */
bool cs_claims_find_standing (const cs_claims_t *c, const cs_claim_key_t *key, cs_claim_t *out);
cs_claim_t *cs_claims_add (cs_claims_t *c, const cs_claim_key_t *key);
void cs_claims_set_state (cs_claims_t *c, cs_claim_t *claim, cs_claim_state_t state);
void cs_claims_drop (cs_claims_t *c, cs_claim_t *claim);
void cs_claims_drop_answer (cs_claims_t *c, cs_claim_t *claim);
/* Copies the answer into the claim. Drops the oldest answers beyond options.max_answer_bytes. */
void cs_claims_set_answer (cs_claims_t *c, cs_claim_t *claim, const cs_claim_view_t *answer);
void cs_claims_clear (cs_claims_t *c);
void cs_claims_clear_segments (cs_claims_t *c);

/* Seals settled claims and answers if there are enough for a segment; at the end of a generation
 * seals all settled claims. */
void cs_claims_seal (cs_claims_t *c, bool generation_ends);
/* Copies the newest sealed claim of the key to out; false if there is none. */
bool cs_claims_find_sealed (const cs_claims_t *c, const cs_claim_key_t *key, cs_claim_t *out);
/* The sealed answer of the claim at this offset; NULL if there is none. */
const Cs__ClaimAnswer *cs_claims_find_answer (const cs_claims_t *c, uint64_t claim);
bool cs_claims_is_retired (const cs_claims_t *c, const cs_claim_key_t *key);
/* Frees claims that have left the window and keeps their short keys in retired segments. */
void cs_claims_retire (cs_claims_t *c);
/* Frees the oldest segment of answers; false if there is none. */
bool cs_claims_evict_answers (cs_claims_t *c);
/* True if claims of the generation have left the window. */
bool cs_claims_is_outside_window (const cs_claims_t *c, uint64_t generation);

#endif
