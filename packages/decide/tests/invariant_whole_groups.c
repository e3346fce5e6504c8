/* No group takes requests while one of its VMs is missing, and groups become whole again
 * after a fault. */
#include "cs_test.h"
#include "support_zone.h"

#include <stdio.h>
#include <string.h>

enum {
	DEFAULT_RUNS = 24,
	FAULTS_MAX = 5
};

static cs_options_t options;

static void
expect_no_violation (const char *violation, const char *name, uint64_t seed)
{
	if (*violation)
		fail_msg ("%s, seed %llu: %s", name, (unsigned long long)seed, violation);
}

static const zone_fault_t single_faults[] = {
	{FAULT_NONE, 0, 0, 0},
	{FAULT_KILL, 1000, 0, 0},
	{FAULT_RESTART, 1000, 12000, 1},
	{FAULT_PAUSE, 1000, 4000, 0},
	{FAULT_PAUSE, 1000, 60000, 0},
	{FAULT_CUT, 1000, 30000, 5},
	{FAULT_RETURN, 1000, 30000, 0},
	{FAULT_LEAVE, 1000, 0, 0},
	{FAULT_CUT_DOMAIN, 1000, 10000, 0},
	{FAULT_CUT_DOMAIN, 1000, 90000, 0},
	{FAULT_OUTAGE, 1000, 60000, 0},
	{FAULT_LOST_ANSWER, 1000, 60000, 0},
	{FAULT_FREEZE_DAEMON, 1000, 30000, 0},
	{FAULT_CUT_DAEMON, 1000, 60000, 0},
	{FAULT_RACE, 1000, 60000, 0},
	{FAULT_LATE_ORDERS, 1000, 60000, 0},
	{FAULT_EMPTY_LIST, 1000, 60000, 0},
};

static void
test_single_faults (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (single_faults); i++)
		for (int ignores = 0; ignores < 2; ignores++) {
			zone_options_t o = {ignores, options.without, 7};
			char name[64];
			snprintf (name, sizeof name, "fault %zu, fencing %s", i,
				  ignores ? "ignored" : "honoured");
			expect_no_violation (zone_run_faults (&o, &single_faults[i], 1), name,
					     o.seed);
		}
}

/* The pairs of faults whose first one is in the range; the second begins 2 s after the first. */
static void
run_pairs (size_t begin, size_t end)
{
	for (size_t i = begin; i < end; i++)
		for (size_t k = 1; k < CS_ARRAY_LEN (single_faults); k++) {
			zone_options_t o = {(i + k) % 2, options.without, i * 100 + k};
			zone_fault_t pair[2] = {single_faults[i], single_faults[k]};
			char name[64];
			snprintf (name, sizeof name, "faults %zu and %zu", i, k);
			pair[1].at_ms = 3000;
			pair[1].target = 2;
			expect_no_violation (zone_run_faults (&o, pair, 2), name, o.seed);
		}
}

static void
test_first_pairs (void **state)
{
	(void)state;
	run_pairs (1, CS_ARRAY_LEN (single_faults) / 2);
}

static void
test_second_pairs (void **state)
{
	(void)state;
	run_pairs (CS_ARRAY_LEN (single_faults) / 2, CS_ARRAY_LEN (single_faults));
}

static void
test_random_faults (void **state)
{
	(void)state;
	for (uint64_t seed = options.seed; seed < options.seed + options.runs; seed++) {
		zone_fault_t faults[FAULTS_MAX];
		size_t n = zone_random_faults (seed, faults, FAULTS_MAX);
		zone_options_t o = {seed % 2, options.without, seed};
		expect_no_violation (zone_run_faults (&o, faults, n), "random faults", seed);
	}
}

/* After a pause of the daemon for more than CS_EVIDENCE_MAX_AGE_MS all its reports are too old, so
 * that its groups take no requests. The check of their age suffices for this. */
static void
test_own_pause (void **state)
{
	static const struct {
		int64_t pause_ms;
		bool whole;
	} cases[] = {
		{0, true},
		{CS_EVIDENCE_MAX_AGE_MS, true},
		{CS_EVIDENCE_MAX_AGE_MS + 1, false},
		{3600000, false},
	};
	zone_t z;
	zone_options_t o = {false, options.without, 1};
	(void)state;
	zone_init (&z, &o);
	while (zone_count_whole_groups (&z) < ZONE_REPLICAS)
		zone_step (&z);
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		const zone_daemon_t *d = &z.daemons[0];
		const cs_group_t *g = cs_groups_next (&d->groups, NULL);
		cs_group_verdict_t v = cs_evidence_judge (&d->evidence, g, z.now_ms);
		int64_t oldest_report_ms = z.now_ms - v.age_ms;
		v = cs_evidence_judge (&d->evidence, g, oldest_report_ms + cases[i].pause_ms);
		assert_int_equal (v.whole, cases[i].whole);
	}
	zone_finish (&z);
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_single_faults),
		{"first_pairs", test_first_pairs, NULL, NULL, NULL},
		{"second_pairs", test_second_pairs, NULL, NULL, NULL},
		cmocka_unit_test (test_random_faults),
		cmocka_unit_test (test_own_pause),
	};
	options = cs_options_parse (argc, argv, DEFAULT_RUNS);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
