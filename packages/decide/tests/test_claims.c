/* Tests the claims state machine: which daemon may write which record, sealing, and snapshots. */
#include "cs_test.h"

#include <stdio.h>
#include <string.h>

#include "cs/claims.h"
#include "cs/rng.h"
#include "cs_options.h"

static cs_options_t program_options;

/* One record: a claim with a fingerprint, or an outcome of the claim at an offset. */
typedef struct {
	uint64_t incarnation; /* 0: no more records */
	uint64_t fingerprint; /* of a claim; 0: an outcome */
	uint64_t claim;
	int kind; /* Cs__OutcomeKind */
} step_t;

enum {
	UNKNOWN = CS__OUTCOME_KIND__OUTCOME_UNKNOWN,
	NOT_RUN = CS__OUTCOME_KIND__OUTCOME_NOT_RUN,
	RAN = CS__OUTCOME_KIND__OUTCOME_RAN,
	ANSWER_BYTES = 10 * (CS_CLAIM_ANSWER_OVERHEAD + 6) /* room for ten answers */
};

static void
apply (cs_claims_t *c, uint64_t offset, const step_t *s, const cs_claim_key_t *key,
       uint64_t generation)
{
	Cs__Record r = CS__RECORD__INIT;
	Cs__Claim claim = CS__CLAIM__INIT;
	Cs__Outcome outcome = CS__OUTCOME__INIT;
	r.incarnation = s->incarnation;
	claim.key.data = outcome.key.data = (uint8_t *)key->bytes;
	claim.key.len = outcome.key.len = sizeof key->bytes;
	claim.fingerprint = s->fingerprint;
	claim.generation = generation;
	outcome.claim = s->claim;
	outcome.kind = (Cs__OutcomeKind)s->kind;
	outcome.status = 200;
	outcome.body.data = (uint8_t *)"booked";
	outcome.body.len = 6;
	r.body_case = s->fingerprint ? CS__RECORD__BODY_CLAIM : CS__RECORD__BODY_OUTCOME;
	if (s->fingerprint)
		r.claim = &claim;
	else
		r.outcome = &outcome;
	cs_claims_apply (c, offset, &r);
}

static void
test_rules (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		step_t steps[5]; /* offsets from 1 */
		cs_claim_state_t state;
		uint64_t offset; /* of the standing claim */
	} cases[] = {
		{"first claim stands", {{1, 7, 0, 0}, {2, 7, 0, 0}}, CS_CLAIM_OPEN, 1},
		{"another body has no effect", {{1, 7, 0, 0}, {2, 8, 0, 0}}, CS_CLAIM_OPEN, 1},
		{"claimant records ran", {{1, 7, 0, 0}, {1, 0, 1, RAN}}, CS_CLAIM_RAN, 1},
		{"first outcome stands",
		 {{1, 7, 0, 0}, {1, 0, 1, RAN}, {1, 0, 1, NOT_RUN}},
		 CS_CLAIM_RAN,
		 1},
		{"unknown becomes ran",
		 {{1, 7, 0, 0}, {1, 0, 1, UNKNOWN}, {1, 0, 1, RAN}},
		 CS_CLAIM_RAN,
		 1},
		{"unknown becomes not run",
		 {{1, 7, 0, 0}, {2, 0, 1, UNKNOWN}, {1, 0, 1, NOT_RUN}},
		 CS_CLAIM_NOT_RUN,
		 1},
		{"others may record unknown",
		 {{1, 7, 0, 0}, {2, 0, 1, UNKNOWN}},
		 CS_CLAIM_UNKNOWN,
		 1},
		{"others may not record not run",
		 {{1, 7, 0, 0}, {2, 0, 1, NOT_RUN}},
		 CS_CLAIM_OPEN,
		 1},
		{"others may not record ran", {{1, 7, 0, 0}, {2, 0, 1, RAN}}, CS_CLAIM_OPEN, 1},
		{"outcome of a claim that lost",
		 {{1, 7, 0, 0}, {2, 7, 0, 0}, {2, 0, 2, RAN}},
		 CS_CLAIM_OPEN,
		 1},
		{"not run frees the key",
		 {{1, 7, 0, 0}, {1, 0, 1, NOT_RUN}, {2, 7, 0, 0}},
		 CS_CLAIM_OPEN,
		 3},
		{"not run does not free the key for another body",
		 {{1, 7, 0, 0}, {1, 0, 1, NOT_RUN}, {2, 8, 0, 0}},
		 CS_CLAIM_NOT_RUN,
		 1},
		{"late repeat of a freed claim",
		 {{1, 7, 0, 0}, {1, 0, 1, NOT_RUN}, {1, 7, 0, 0}},
		 CS_CLAIM_NOT_RUN,
		 1},
		{"late outcome of a freed claim",
		 {{1, 7, 0, 0}, {1, 0, 1, NOT_RUN}, {2, 7, 0, 0}, {1, 0, 1, RAN}},
		 CS_CLAIM_OPEN,
		 3},
	};
	cs_claim_key_t key = cs_claim_key (cs_str ("t"), cs_str ("s"), cs_str ("k"));
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_claims_options_t options = {
			.disabled = cs_options_is_disabled (&program_options, "repeat-check")
					    ? CS_CLAIMS_NO_REPEAT_CHECK
					    : 0};
		cs_claims_t c;
		cs_claim_view_t v;
		cs_claims_init (&c, &options);
		for (uint64_t n = 0; cases[i].steps[n].incarnation; n++)
			apply (&c, n + 1, &cases[i].steps[n], &key, 1);
		cs_claims_lookup (&c, &key, &v);
		if (v.state != cases[i].state || v.offset != cases[i].offset)
			print_message ("%s\n", cases[i].name);
		assert_int_equal (v.state, cases[i].state);
		assert_int_equal (v.offset, cases[i].offset);
		cs_claims_finish (&c);
	}
}

/* Parts of a key that concatenate to the same text must give different keys. */
static void
test_keys (void **state)
{
	(void)state;
	cs_claim_key_t a = cs_claim_key (cs_str ("ab"), cs_str ("c"), cs_str ("d"));
	cs_claim_key_t b = cs_claim_key (cs_str ("a"), cs_str ("bc"), cs_str ("d"));
	assert_memory_not_equal (a.bytes, b.bytes, sizeof a.bytes);
}

/* Copies the state through its snapshot and segments; truncated bytes must be refused. */
static void
copy_state (cs_claims_t *to, const cs_claims_t *from)
{
	cs_buf_t head = {0};
	cs_claims_save (from, &head);
	assert_int_equal (cs_claims_restore (to, cs_buf_str (&head)), CS_OK);
	assert_int_equal (cs_claims_restore (to, cs_str_n (head.p, head.n - 1)), CS_INVALID);
	assert_int_equal (cs_claims_count (to), 0);
	assert_int_equal (cs_claims_restore (to, cs_buf_str (&head)), CS_OK);
	cs_buf_finish (&head);
	for (size_t i = 0; i < cs_claims_segment_count (from); i++) {
		cs_buf_t bytes = {0};
		uint64_t digest = cs_claims_save_segment (from, i, &bytes);
		assert_int_equal (cs_claims_add_segment (to, cs_str_n (bytes.p, bytes.n - 1)),
				  CS_INVALID);
		assert_int_equal (cs_claims_add_segment (to, cs_buf_str (&bytes)), CS_OK);
		assert_int_equal (cs_claims_save_segment (to, i, NULL), digest);
		cs_buf_finish (&bytes);
	}
}

static void
assert_same_view (const cs_claims_t *a, const cs_claims_t *b, const cs_claim_key_t *key)
{
	cs_claim_view_t x, y;
	cs_claims_lookup (a, key, &x);
	cs_claims_lookup (b, key, &y);
	assert_int_equal (x.state, y.state);
	assert_int_equal (x.offset, y.offset);
	assert_int_equal (x.incarnation, y.incarnation);
	assert_int_equal (x.fingerprint, y.fingerprint);
	assert_int_equal (x.request, y.request);
	assert_int_equal (x.status, y.status);
	assert_int_equal (x.has_answer, y.has_answer);
	assert_true (cs_str_eq (x.answer, y.answer));
}

/* Sealing must not change the state of any key, also when sealed keys are freed, claimed again or
 * change from `unknown` to `ran`. */
static void
test_sealed (void **state)
{
	(void)state;
	cs_claims_t sealed, plain;
	cs_rng_t rng;
	cs_rng_init (&rng, 7);
	cs_claims_init (&sealed, &(cs_claims_options_t){.seal_claims = 4});
	cs_claims_init (&plain, &(cs_claims_options_t){.seal_claims = SIZE_MAX});
	for (uint64_t offset = 1; offset < 3000; offset++) {
		char text[16];
		snprintf (text, sizeof text, "%u", cs_rng_below (&rng, 300));
		cs_claim_key_t key = cs_claim_key (cs_str ("t"), cs_str ("s"), cs_str (text));
		cs_claim_view_t v;
		cs_claims_lookup (&plain, &key, &v);
		uint64_t writer = v.incarnation && cs_rng_below (&rng, 4) ? v.incarnation : offset;
		step_t claim = {writer, 7 + cs_rng_below (&rng, 2), 0, 0};
		step_t outcome = {writer, 0, v.offset, (int)cs_rng_below (&rng, 3)};
		bool is_claim = v.state == CS_CLAIM_NONE || cs_rng_below (&rng, 2);
		apply (&sealed, offset, is_claim ? &claim : &outcome, &key, 1);
		apply (&plain, offset, is_claim ? &claim : &outcome, &key, 1);
		assert_same_view (&sealed, &plain, &key);
	}
	assert_true (cs_claims_segment_count (&sealed) > 50);
	assert_int_equal (cs_claims_segment_count (&plain), 0);
	cs_claims_finish (&sealed);
	cs_claims_finish (&plain);
}

/* A snapshot must restore an equal state, with retired keys and dropped answers; truncated bytes
 * must be refused. */
static void
test_snapshot (void **state)
{
	(void)state;
	cs_claims_options_t options = {
		.keep_generations = 2, .max_answer_bytes = ANSWER_BYTES, .seal_claims = 8};
	cs_claims_t a, b;
	cs_rng_t rng;
	uint64_t generation = 1;
	cs_rng_init (&rng, 5);
	cs_claims_init (&a, &options);
	cs_claims_init (&b, &options);
	for (uint64_t offset = 1; offset < 2000; offset++) {
		char text[16];
		snprintf (text, sizeof text, "%u", cs_rng_below (&rng, 200));
		cs_claim_key_t key = cs_claim_key (cs_str ("t"), cs_str ("s"), cs_str (text));
		cs_claim_view_t v;
		cs_claims_lookup (&a, &key, &v);
		step_t claim = {1, 7, 0, 0};
		step_t outcome = {1, 0, v.offset, (int)cs_rng_below (&rng, 3)};
		generation = a.generation + (offset % 300 == 0);
		apply (&a, offset, v.state == CS_CLAIM_OPEN ? &outcome : &claim, &key, generation);
	}
	assert_true (a.n_retired > 0);
	assert_true (a.answers_total_bytes > 0 && a.answers_total_bytes <= ANSWER_BYTES);
	copy_state (&b, &a);
	for (unsigned k = 0; k < 200; k++) {
		char text[16];
		snprintf (text, sizeof text, "%u", k);
		cs_claim_key_t key = cs_claim_key (cs_str ("t"), cs_str ("s"), cs_str (text));
		assert_same_view (&a, &b, &key);
	}
	copy_state (&a, &b);
	cs_claims_finish (&a);
	cs_claims_finish (&b);
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_rules),
		cmocka_unit_test (test_keys),
		cmocka_unit_test (test_sealed),
		cmocka_unit_test (test_snapshot),
	};
	program_options = cs_options_parse (argc, argv, 1);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
