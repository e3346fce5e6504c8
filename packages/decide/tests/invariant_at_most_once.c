/* Checks that a protected request runs at most once under any faults. */
#include "cs_test.h"

#include "cs_options.h"
#include "support_claims.h"

static cs_options_t options;

static uint32_t
claims_off (void)
{
	return (cs_options_is_disabled (&options, "first-claim-wins") ? CS_CLAIMS_NO_FIRST_WINS
								      : 0) |
	       (cs_options_is_disabled (&options, "outcome-check") ? CS_CLAIMS_NO_OUTCOME_CHECK
								   : 0) |
	       (cs_options_is_disabled (&options, "retired-keys") ? CS_CLAIMS_NO_RETIRED : 0);
}

static uint32_t
claimant_off (void)
{
	return (cs_options_is_disabled (&options, "claim-before-dispatch")
			? CS_CLAIMANT_NO_CLAIM_BEFORE_DISPATCH
			: 0) |
	       (cs_options_is_disabled (&options, "sent-check") ? CS_CLAIMANT_NO_SENT_CHECK : 0) |
	       (cs_options_is_disabled (&options, "abandon") ? CS_CLAIMANT_NO_ABANDON : 0) |
	       (cs_options_is_disabled (&options, "fall-back") ? CS_CLAIMANT_NO_FALL_BACK : 0) |
	       (cs_options_is_disabled (&options, "settled-check") ? CS_CLAIMANT_NO_SETTLED_CHECK
								   : 0) |
	       (cs_options_is_disabled (&options, "given-up") ? CS_CLAIMANT_NO_GIVEN_UP : 0);
}

static void
run_seed (uint64_t seed, bool homes)
{
	world_t w;
	world_init (&w, seed, claims_off (), claimant_off ());
	if (homes)
		world_enable_homes (&w, seed % WORLD_DAEMONS, 0);
	world_run_random (&w, seed);
	if (w.ran_twice)
		print_message ("seed %llu%s\n", (unsigned long long)seed, homes ? ", homes" : "");
	assert_int_equal (w.ran_twice, 0);
	world_finish (&w);
}

static void
test_random_faults (void **state)
{
	(void)state;
	for (uint64_t seed = options.seed; seed < options.seed + options.runs; seed++) {
		run_seed (seed, false);
		run_seed (seed, true);
	}
}

/* Faults while daemon 0 forwards its claim to its home, daemon 3. */
static void
test_forwarding (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		world_faults_t faults;
		bool stopped, paused, apart, cut; /* state of the home */
		bool asker_cut;                   /* daemon 0 is disconnected from the log */
		bool moves; /* daemon 0 changes its home to daemon 2 meanwhile */
		world_reported_t said;
	} cases[] = {
		{.name = "nothing", .said = REPORTED_ANSWER},
		{.name = "home dead", .stopped = true, .said = REPORTED_ANSWER},
		{.name = "home paused", .paused = true, .said = REPORTED_ANSWER},
		{.name = "request lost",
		 .faults = {.requests_lost = 1000},
		 .said = REPORTED_ANSWER},
		{.name = "reply lost", .faults = {.replies_lost = 1000}, .said = REPORTED_ANSWER},
		{.name = "reply late", .faults = {.replies_late = 1000}, .said = REPORTED_ANSWER},
		{.name = "home changes", .moves = true, .said = REPORTED_ANSWER},
		{.name = "cut between them", .apart = true, .said = REPORTED_ANSWER},
		{.name = "home without log", .cut = true, .said = REPORTED_ANSWER},
		{.name = "asker without log", .asker_cut = true, .said = REPORTED_ANSWER},
		{.name = "neither has it",
		 .cut = true,
		 .asker_cut = true,
		 .said = REPORTED_UNKNOWN},
		{.name = "reply lost, asker without log",
		 .faults = {.replies_lost = 1000},
		 .asker_cut = true,
		 .said = REPORTED_UNKNOWN},
		{.name = "reply after the refusal",
		 .faults = {.replies_late = 1000},
		 .asker_cut = true,
		 .said = REPORTED_UNKNOWN},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		world_t w;
		world_init (&w, 2, claims_off (), claimant_off ());
		world_enable_homes (&w, 3, 0);
		world_run (&w, 100);
		w.faults = cases[i].faults;
		w.daemons[3].stopped = cases[i].stopped;
		w.daemons[3].paused = cases[i].paused;
		w.daemons[3].is_disconnected_from_daemons = cases[i].apart;
		w.daemons[3].is_disconnected_from_log = cases[i].cut;
		w.daemons[0].is_disconnected_from_log = cases[i].asker_cut;
		/* short claim_ms: the late reply arrives after the submission was given up */
		if (cases[i].faults.replies_late && cases[i].asker_cut)
			w.daemons[0].claimant.options.claim_ms = 100;
		world_submit (&w, 0, 1, 0);
		world_run (&w, 10);
		if (cases[i].moves)
			world_move_home (&w, 0, 2);
		world_run (&w, 5000);
		world_settle (&w);
		uint32_t later = world_submit (&w, 1, 1, 0);
		world_settle (&w);
		bool right = w.submissions[0].reported == cases[i].said &&
			     w.submissions[0].ran == (cases[i].said == REPORTED_ANSWER) &&
			     w.submissions[later].reported == REPORTED_ANSWER && w.key_ran[1] == 1;
		if (!right)
			print_message ("%s: said %d, later %d, ran %u\n", cases[i].name,
				       w.submissions[0].reported, w.submissions[later].reported,
				       w.key_ran[1]);
		assert_true (right);
		assert_int_equal (w.ran_twice + w.wrong_counts + w.false_refusals, 0);
		world_finish (&w);
	}
}

/* The claimant dies at each step of a request; the caller then retries at another daemon. */
static void
test_death_at_each_step (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		int64_t dies_after_ms; /* claim appended and applied at 10 ms, request runs from
					  20 ms on, then the result */
		uint32_t appends_vanish;
		uint32_t broken;
		world_reported_t later;
	} cases[] = {
		{"before the claim is appended", 0, 1000, 0, REPORTED_ANSWER},
		{"after the claim is applied", 10, 0, 0, REPORTED_UNKNOWN},
		{"while it runs", 30, 0, 1000, REPORTED_UNKNOWN},
		{"after the outcome is applied", 1000, 0, 0, REPORTED_ANSWER},
		{"after the outcome unknown is applied", 1000, 0, 1000, REPORTED_UNKNOWN},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		world_t w;
		world_init (&w, 7, claims_off (), claimant_off ());
		w.faults.vanished = cases[i].appends_vanish;
		w.faults.broken = cases[i].broken;
		world_submit (&w, 0, 1, 0);
		world_run (&w, cases[i].dies_after_ms);
		world_replace_daemon (&w, 0);
		w.faults.vanished = 0;
		uint32_t later = world_submit (&w, 1, 1, 0);
		world_run (&w, 5000);
		if (w.submissions[later].reported != cases[i].later)
			print_message ("%s\n", cases[i].name);
		assert_int_equal (w.submissions[later].reported, cases[i].later);
		assert_int_equal (w.ran_twice, 0);
		world_finish (&w);
	}
}

/* The same key is submitted to several daemons at once. */
static void
test_duplicates (void **state)
{
	(void)state;
	static const struct {
		uint32_t bodies[3];
		world_reported_t said[3];
	} cases[] = {
		{{0, 0, 0}, {REPORTED_ANSWER, REPORTED_ANSWER, REPORTED_ANSWER}},
		{{0, 1, 0}, {REPORTED_ANSWER, REPORTED_UNKNOWN, REPORTED_ANSWER}},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		world_t w;
		world_init (&w, 3, claims_off (), claimant_off ());
		for (uint32_t d = 0; d < 3; d++)
			world_submit (&w, d, 5, cases[i].bodies[d]);
		world_run (&w, 5000);
		for (uint32_t d = 0; d < 3; d++)
			assert_int_equal (w.submissions[d].reported, cases[i].said[d]);
		assert_int_equal (w.key_ran[5], 1);
		world_finish (&w);
	}
}

/* A key older than the window is refused; within it, the answer is kept. */
static void
test_window (void **state)
{
	(void)state;
	static const struct {
		int64_t age_ms;
		world_reported_t said;
	} cases[] = {
		{1000, REPORTED_ANSWER}, /* within keep_generations = 2 of 1 s each */
		{8000, REPORTED_UNKNOWN},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		world_t w;
		world_init (&w, 3, claims_off (), claimant_off ());
		w.generation_ms = 1000;
		for (uint32_t d = 0; d < WORLD_DAEMONS; d++)
			w.daemons[d].claimant.options.generation_ms = 1000;
		world_submit (&w, 0, 1, 0);
		world_run (&w, 500);
		/* claims of other keys advance the generation, at most four times */
		for (uint32_t g = 0; g < 4 && (int64_t)g * 1100 < cases[i].age_ms; g++) {
			world_run (&w, 1100);
			world_submit (&w, 1, 10 + g, 0);
		}
		world_run (&w, 100);
		uint32_t later = world_submit (&w, 2, 1, 0);
		world_run (&w, 5000);
		assert_int_equal (w.submissions[later].reported, cases[i].said);
		assert_int_equal (w.key_ran[1], 1);
		world_finish (&w);
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_random_faults),
		cmocka_unit_test (test_forwarding),
		cmocka_unit_test (test_death_at_each_step),
		cmocka_unit_test (test_duplicates),
		cmocka_unit_test (test_window),
	};
	options = cs_options_parse (argc, argv, 60);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
