#include "cs/claims.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "claims_impl.h"
#include "cs/hash.h"

enum {
	KEEP_GENERATIONS = 24,
	RETIRE_GENERATIONS = 144,
	ANSWER_BYTES = 4 * 1024 * 1024,
	SEAL_CLAIMS = 2048
};

void
cs_claims_init (cs_claims_t *c, const cs_claims_options_t *options)
{
	memset (c, 0, sizeof *c);
	c->options = *options;
	if (!c->options.keep_generations)
		c->options.keep_generations = KEEP_GENERATIONS;
	if (!c->options.retire_generations)
		c->options.retire_generations = RETIRE_GENERATIONS;
	if (!c->options.max_answer_bytes)
		c->options.max_answer_bytes = ANSWER_BYTES;
	if (!c->options.seal_claims)
		c->options.seal_claims = SEAL_CLAIMS;
	c->generation = 1;
}

static bool
is_disabled (const cs_claims_t *c, cs_claims_disabled_t what)
{
	return c->options.disabled & what;
}

static size_t
answer_size (const cs_answer_t *a)
{
	return CS_CLAIM_ANSWER_OVERHEAD + a->content_type_n + a->answer_n;
}

void
cs_claims_drop_answer (cs_claims_t *c, cs_claim_t *claim)
{
	cs_answer_t *a = claim->answer;
	if (!a)
		return;
	c->answers_total_bytes -= answer_size (a);
	c->answers_unsealed_bytes -= answer_size (a);
	DL_DELETE (c->answers, a);
	free (a->bytes);
	free (a);
	claim->answer = NULL;
}

void
cs_claims_set_state (cs_claims_t *c, cs_claim_t *claim, cs_claim_state_t state)
{
	c->n_settled += state != CS_CLAIM_OPEN;
	c->n_settled -= claim->state > CS_CLAIM_OPEN;
	claim->state = state;
}

void
cs_claims_drop (cs_claims_t *c, cs_claim_t *claim)
{
	cs_claims_drop_answer (c, claim);
	c->n_settled -= claim->state > CS_CLAIM_OPEN;
	HASH_DEL (c->by_key, claim);
	free (claim);
}

void
cs_claims_clear (cs_claims_t *c)
{
	cs_claim_t *claim, *next;
	HASH_ITER (hh, c->by_key, claim, next) {
		cs_claims_drop (c, claim);
	}
	cs_claims_clear_segments (c);
	c->generation = 1;
}

void
cs_claims_finish (cs_claims_t *c)
{
	cs_claims_clear (c);
}

uint64_t
cs_claims_short_key (const cs_claim_key_t *key)
{
	uint64_t v;
	memcpy (&v, key->bytes, sizeof v);
	return v;
}

cs_claim_t *
cs_claims_find (const cs_claims_t *c, const cs_claim_key_t *key)
{
	cs_claim_t *claim;
	HASH_FIND (hh, c->by_key, key, sizeof *key, claim);
	return claim;
}

bool
cs_claims_find_standing (const cs_claims_t *c, const cs_claim_key_t *key, cs_claim_t *out)
{
	const cs_claim_t *claim = cs_claims_find (c, key);
	if (!claim)
		return cs_claims_find_sealed (c, key, out);
	*out = *claim;
	return true;
}

cs_claim_t *
cs_claims_add (cs_claims_t *c, const cs_claim_key_t *key)
{
	cs_claim_t *claim = cs_alloc (sizeof *claim);
	claim->key = *key;
	HASH_ADD (hh, c->by_key, key, sizeof claim->key, claim);
	return claim;
}

void
cs_claims_set_answer (cs_claims_t *c, cs_claim_t *claim, const cs_claim_view_t *view)
{
	cs_answer_t *a = cs_alloc (sizeof *a);
	a->claim = claim;
	a->holder = view->holder;
	a->digest = view->answer_digest;
	a->has_answer = view->has_answer;
	claim->answer = a;
	if (view->has_answer) {
		a->content_type_n = (uint32_t)view->content_type.n;
		a->answer_n = view->answer.n;
		a->bytes = cs_alloc (a->content_type_n + a->answer_n);
		memcpy (a->bytes, view->content_type.p, a->content_type_n);
		memcpy (a->bytes + a->content_type_n, view->answer.p, a->answer_n);
	}
	DL_APPEND (c->answers, a);
	c->answers_total_bytes += answer_size (a);
	c->answers_unsealed_bytes += answer_size (a);
	while (c->answers_total_bytes > c->options.max_answer_bytes)
		if (!cs_claims_evict_answers (c))
			cs_claims_drop_answer (c, c->answers->claim);
}

bool
cs_claims_is_outside_window (const cs_claims_t *c, uint64_t generation)
{
	return generation + c->options.keep_generations < c->generation;
}

/* Whether the new claim m may replace the standing one; counts conflicting fingerprints. */
static bool
may_replace (cs_claims_t *c, const cs_claim_t *standing, uint64_t incarnation, const Cs__Claim *m)
{
	if (is_disabled (c, CS_CLAIMS_NO_FIRST_WINS))
		return true;
	bool is_same_body = standing->fingerprint == m->fingerprint ||
			    is_disabled (c, CS_CLAIMS_NO_FINGERPRINT_CHECK);
	if (!is_same_body)
		c->conflicts++;
	bool is_repeat = standing->incarnation == incarnation &&
			 standing->request == cs_hash (cs_str (m->request_id)) &&
			 !is_disabled (c, CS_CLAIMS_NO_REPEAT_CHECK);
	return is_same_body && !is_repeat && standing->state == CS_CLAIM_NOT_RUN;
}

static bool
read_key (const ProtobufCBinaryData *bytes, cs_claim_key_t *key)
{
	if (bytes->len != sizeof key->bytes)
		return false;
	memcpy (key->bytes, bytes->data, sizeof key->bytes);
	return true;
}

static void
apply_claim (cs_claims_t *c, uint64_t offset, uint64_t incarnation, const Cs__Claim *m)
{
	cs_claim_key_t key;
	if (!read_key (&m->key, &key)) {
		c->ignored++;
		return;
	}
	if (m->generation == c->generation + 1) {
		cs_claims_seal (c, true);
		c->generation++;
		cs_claims_retire (c);
	}
	cs_claim_t standing;
	bool stands = cs_claims_find_standing (c, &key, &standing);
	if (stands ? !may_replace (c, &standing, incarnation, m) : cs_claims_is_retired (c, &key)) {
		c->ignored++;
		return;
	}
	cs_claim_t *claim = cs_claims_find (c, &key);
	if (!claim)
		claim = cs_claims_add (c, &key);
	cs_claims_drop_answer (c, claim);
	claim->offset = offset;
	claim->incarnation = incarnation;
	claim->fingerprint = m->fingerprint;
	claim->request = cs_hash (cs_str (m->request_id));
	claim->generation = (uint32_t)c->generation;
	cs_claims_set_state (c, claim, CS_CLAIM_OPEN);
}

static cs_claim_state_t
outcome_state (Cs__OutcomeKind kind)
{
	if (kind == CS__OUTCOME_KIND__OUTCOME_RAN)
		return CS_CLAIM_RAN;
	return kind == CS__OUTCOME_KIND__OUTCOME_NOT_RUN ? CS_CLAIM_NOT_RUN : CS_CLAIM_UNKNOWN;
}

/* Whether the incarnation may change the state of the claim to `to`. */
static bool
may_set_state (const cs_claims_t *c, const cs_claim_t *claim, const Cs__Outcome *m,
	       uint64_t incarnation, cs_claim_state_t to)
{
	if (is_disabled (c, CS_CLAIMS_NO_OUTCOME_CHECK))
		return true;
	if (m->claim != claim->offset)
		return false;
	if (to != CS_CLAIM_UNKNOWN && incarnation != claim->incarnation)
		return false;
	if (claim->state == CS_CLAIM_UNKNOWN)
		return to != CS_CLAIM_UNKNOWN;
	return claim->state == CS_CLAIM_OPEN;
}

static void
read_answer (const Cs__Outcome *m, cs_claim_view_t *out)
{
	memset (out, 0, sizeof *out);
	out->status = m->status;
	out->holder = m->holder;
	if (m->body_digest.len == sizeof out->answer_digest)
		memcpy (&out->answer_digest, m->body_digest.data, sizeof out->answer_digest);
	out->has_answer = !m->body_digest.len && m->body.len <= CS_CLAIM_ANSWER_BYTES;
	out->content_type = cs_str (m->content_type);
	out->answer = cs_str_n ((const char *)m->body.data, m->body.len);
}

/* Returns the claim in the table; copies a sealed claim back into the table. */
static cs_claim_t *
find_or_unseal (cs_claims_t *c, const cs_claim_t *standing)
{
	cs_claim_t *claim = cs_claims_find (c, &standing->key);
	if (claim)
		return claim;
	claim = cs_claims_add (c, &standing->key);
	claim->offset = standing->offset;
	claim->incarnation = standing->incarnation;
	claim->fingerprint = standing->fingerprint;
	claim->request = standing->request;
	claim->generation = standing->generation;
	cs_claims_set_state (c, claim, standing->state);
	return claim;
}

static void
apply_outcome (cs_claims_t *c, uint64_t incarnation, const Cs__Outcome *m)
{
	cs_claim_key_t key;
	cs_claim_t standing;
	cs_claim_state_t to = outcome_state (m->kind);
	if (!read_key (&m->key, &key) || !cs_claims_find_standing (c, &key, &standing) ||
	    !may_set_state (c, &standing, m, incarnation, to)) {
		c->ignored++;
		return;
	}
	cs_claim_t *claim = find_or_unseal (c, &standing);
	cs_claims_set_state (c, claim, to);
	if (to == CS_CLAIM_RAN) {
		cs_claim_view_t answer;
		read_answer (m, &answer);
		claim->status = answer.status;
		cs_claims_drop_answer (c, claim);
		cs_claims_set_answer (c, claim, &answer);
	}
	cs_claims_seal (c, false);
}

void
cs_claims_apply (cs_claims_t *c, uint64_t offset, const Cs__Record *record)
{
	if (record->body_case == CS__RECORD__BODY_CLAIM)
		apply_claim (c, offset, cs_claim_claimant (record), record->claim);
	else if (record->body_case == CS__RECORD__BODY_OUTCOME)
		apply_outcome (c, cs_claim_claimant (record), record->outcome);
}

static void
fill_answer (const cs_claims_t *c, const cs_claim_t *claim, cs_claim_view_t *out)
{
	const cs_answer_t *a = claim->answer;
	const Cs__ClaimAnswer *m = a ? NULL : cs_claims_find_answer (c, claim->offset);
	if (a) {
		out->holder = a->holder;
		out->answer_digest = a->digest;
		out->has_answer = a->has_answer;
		out->content_type = cs_str_n (a->bytes, a->content_type_n);
		out->answer = cs_str_n (a->bytes + a->content_type_n, a->answer_n);
	} else if (m) {
		out->holder = m->holder;
		out->answer_digest = m->answer_digest;
		out->has_answer = m->has_answer;
		out->content_type = cs_str (m->content_type);
		out->answer = cs_str_n ((const char *)m->answer.data, m->answer.len);
	}
}

void
cs_claims_lookup (const cs_claims_t *c, const cs_claim_key_t *key, cs_claim_view_t *out)
{
	cs_claim_t claim;
	memset (out, 0, sizeof *out);
	if (!cs_claims_find_standing (c, key, &claim)) {
		out->state = cs_claims_is_retired (c, key) ? CS_CLAIM_EXPIRED : CS_CLAIM_NONE;
		return;
	}
	out->state = claim.state;
	out->offset = claim.offset;
	out->incarnation = claim.incarnation;
	out->fingerprint = claim.fingerprint;
	out->request = claim.request;
	if (claim.state != CS_CLAIM_RAN)
		return;
	out->status = claim.status;
	fill_answer (c, &claim, out);
}

size_t
cs_claims_count (const cs_claims_t *c)
{
	return HASH_COUNT (c->by_key) + c->n_sealed;
}

size_t
cs_claims_bytes (const cs_claims_t *c)
{
	enum {
		SEALED_BYTES = CS_CLAIM_KEY_BYTES + 4 * sizeof (uint64_t) + 1 + sizeof (uint32_t)
	};
	size_t table = HASH_COUNT (c->by_key);
	size_t bytes = table * sizeof (cs_claim_t) + c->answers_total_bytes;
	if (c->by_key)
		bytes += HASH_OVERHEAD (hh, c->by_key) - table * sizeof (UT_hash_handle);
	return bytes + c->n_sealed * SEALED_BYTES + c->n_retired * sizeof (uint64_t) +
	       c->n_segments * (sizeof (cs_claims_segment_t) + sizeof (Cs__ClaimsSegment));
}
