/* Checks refusals with `not-run` against what the service actually ran. */
#include "cs_test.h"

#include <string.h>

#include "cs_options.h"
#include "support_claims.h"

static cs_options_t options;

static uint32_t
claimant_off (void)
{
	return (cs_options_is_disabled (&options, "current-fold") ? CS_CLAIMANT_NO_CURRENT_STATE
								  : 0) |
	       (cs_options_is_disabled (&options, "abandon") ? CS_CLAIMANT_NO_ABANDON : 0) |
	       (cs_options_is_disabled (&options, "claim-before-dispatch")
			? CS_CLAIMANT_NO_CLAIM_BEFORE_DISPATCH
			: 0);
}

static uint32_t
home_off (void)
{
	return cs_options_is_disabled (&options, "own-record") ? CS_CLAIM_HOME_NO_APPLY_WAIT : 0;
}

static void
test_random_faults (void **state)
{
	(void)state;
	uint32_t said_not_run = 0;
	for (uint64_t seed = options.seed; seed < options.seed + options.runs; seed++) {
		world_t w;
		world_init (&w, seed, 0, claimant_off ());
		if (seed % 2)
			world_enable_homes (&w, seed / 2 % WORLD_DAEMONS, home_off ());
		world_run_random (&w, seed);
		for (uint32_t i = 0; i < w.n_submissions; i++)
			said_not_run += w.submissions[i].reported == REPORTED_NOT_RUN;
		if (w.false_refusals || w.ran_twice)
			print_message ("seed %llu\n", (unsigned long long)seed);
		assert_int_equal (w.false_refusals, 0);
		assert_int_equal (w.ran_twice, 0); /* an abandoned claim was dispatched */
		world_finish (&w);
	}
	assert_true (said_not_run > 0);
}

/* Loss of the log, or another fault, at a step of a request. */
typedef struct {
	const char *name;
	world_faults_t faults;
	int64_t cut_after_ms; /* loss of the log; -1: never */
	int64_t back_after_ms;
	world_reported_t said;
	cs_claim_refusal_t refusal; /* checked unless said is REPORTED_ANSWER */
	world_reported_t later;     /* result of the same key at another daemon afterwards */
} outage_case_t;

static const outage_case_t outages[] = {
	{"before the claim", {0}, 0, 10000, REPORTED_UNKNOWN, CS_CLAIM_NO_LOG, REPORTED_ANSWER},
	{"back in time", {0}, 0, 1000, REPORTED_ANSWER, 0, REPORTED_ANSWER},
	{"the log refuses all appends",
	 {.refused = 1000},
	 -1,
	 0,
	 REPORTED_NOT_RUN,
	 CS_CLAIM_NO_LOG,
	 REPORTED_ANSWER},
	{"the claim vanishes",
	 {.vanished = 1000},
	 -1,
	 0,
	 REPORTED_NOT_RUN,
	 CS_CLAIM_NO_LOG,
	 REPORTED_ANSWER},
	{"answers to appends are lost", {.lost = 1000}, -1, 0, REPORTED_ANSWER, 0, REPORTED_ANSWER},
	{"after dispatch, the answer goes out",
	 {0},
	 20,
	 10000,
	 REPORTED_ANSWER,
	 0,
	 REPORTED_ANSWER},
	{"after dispatch, the result is lost",
	 {.broken = 1000},
	 20,
	 10000,
	 REPORTED_UNKNOWN,
	 CS_CLAIM_NO_OUTCOME,
	 REPORTED_UNKNOWN},
	{"no back end takes it",
	 {.not_sent = 1000},
	 -1,
	 0,
	 REPORTED_NOT_RUN,
	 CS_CLAIM_NO_BACKEND,
	 REPORTED_ANSWER},
	{"it may not run anywhere",
	 {.blocked = 1000},
	 -1,
	 0,
	 REPORTED_NOT_RUN,
	 CS_CLAIM_CRASHES_REPLICAS,
	 REPORTED_ANSWER},
	{"no back end has room in time",
	 {.busy = 1000},
	 -1,
	 0,
	 REPORTED_NOT_RUN,
	 CS_CLAIM_OVERLOADED,
	 REPORTED_ANSWER},
	{"the back end declines",
	 {.declined = 1000},
	 -1,
	 0,
	 REPORTED_NOT_RUN,
	 CS_CLAIM_NO_BACKEND,
	 REPORTED_ANSWER},
};

static void
run_outage (const outage_case_t *c)
{
	world_t w;
	world_init (&w, 11, 0, claimant_off ());
	w.faults = c->faults;
	if (!c->cut_after_ms)
		w.daemons[0].is_disconnected_from_log = true;
	uint32_t id = world_submit (&w, 0, 1, 0);
	if (c->cut_after_ms > 0) {
		world_run (&w, c->cut_after_ms);
		w.daemons[0].is_disconnected_from_log = true;
	}
	world_run (&w, c->back_after_ms);
	w.daemons[0].is_disconnected_from_log = false;
	world_run (&w, 5000);
	if (w.submissions[id].reported != c->said)
		print_message ("%s\n", c->name);
	assert_int_equal (w.submissions[id].reported, c->said);
	if (c->said != REPORTED_ANSWER)
		assert_int_equal (w.submissions[id].refusal, c->refusal);
	memset (&w.faults, 0, sizeof w.faults);
	uint32_t later = world_submit (&w, 1, 1, 0);
	world_settle (&w);
	if (w.submissions[later].reported != c->later)
		print_message ("later: %s\n", c->name);
	assert_int_equal (w.submissions[later].reported, c->later);
	assert_int_equal (w.false_refusals, 0);
	assert_int_equal (w.ran_twice, 0);
	world_finish (&w);
}

static void
test_log_outage (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (outages); i++)
		run_outage (&outages[i]);
}

/* A daemon with an outdated state must not report `not-run` for a key that ran elsewhere. */
static void
test_outdated_state (void **state)
{
	(void)state;
	world_t w;
	world_init (&w, 1, 0, claimant_off ());
	world_run (&w, 100);
	w.daemons[0].is_disconnected_from_log = true;
	uint32_t first = world_submit (&w, 1, 1, 0);
	world_run (&w, 1000);
	uint32_t second = world_submit (&w, 0, 1, 0);
	world_run (&w, 5000);
	assert_int_equal (w.submissions[first].reported, REPORTED_ANSWER);
	assert_int_equal (w.submissions[second].reported, REPORTED_UNKNOWN);
	world_finish (&w);
}

/* A home that has lost the log must not report `not-run` for a key that ran through another
 * home. */
static void
test_old_home (void **state)
{
	(void)state;
	world_t w;
	world_init (&w, 1, 0, claimant_off ());
	world_enable_homes (&w, 3, home_off ());
	world_run (&w, 100);
	w.daemons[3].is_disconnected_from_log = true;
	world_move_home (&w, 1, 2);
	uint32_t first = world_submit (&w, 1, 1, 0);
	world_run (&w, 1000);
	w.daemons[0].is_disconnected_from_log = true;
	uint32_t second = world_submit (&w, 0, 1, 0);
	world_run (&w, 5000);
	assert_int_equal (w.submissions[first].reported, REPORTED_ANSWER);
	assert_int_equal (w.submissions[second].reported, REPORTED_UNKNOWN);
	world_finish (&w);
}

/* The claim's append is ambiguous and takes effect after the caller was refused. */
static void
test_late_claim (void **state)
{
	(void)state;
	world_t w;
	world_init (&w, 2, 0, claimant_off ());
	w.faults.late = 1000;
	uint32_t first = world_submit (&w, 0, 1, 0);
	w.daemons[0].claimant.options.claim_ms = 50;
	world_run (&w, 60);
	w.faults.late = 0;
	assert_int_equal (w.submissions[first].reported, REPORTED_NOT_RUN);
	world_run (&w, 7000);
	assert_int_equal (w.n_records >= 2, true); /* the claim and its outcome */
	assert_int_equal (w.key_ran[1], 0);
	uint32_t second = world_submit (&w, 1, 1, 0);
	world_settle (&w);
	assert_int_equal (w.submissions[second].reported, REPORTED_ANSWER);
	assert_int_equal (w.false_refusals + w.ran_twice, 0);
	world_finish (&w);
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_random_faults),  cmocka_unit_test (test_log_outage),
		cmocka_unit_test (test_outdated_state), cmocka_unit_test (test_old_home),
		cmocka_unit_test (test_late_claim),
	};
	options = cs_options_parse (argc, argv, 120);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
