/* A change of the declared replicas or version stops groups without aborting requests in
 * progress, and completes in spite of faults. The stop of a daemon is tested with real
 * processes by e2e/stop, that of a leaving VM by invariant_leaving_server. */
#include "cs_test.h"
#include "support_zone.h"

#include <string.h>

enum {
	DEFAULT_RUNS = 6,
	FORMING_STEPS = 400,
	FAULT_MS = 20000,
	RUN_MS = 240000 /* from the change to the end of the run */
};

static cs_options_t options;

static const struct {
	const char *name;
	uint32_t replicas;
	const char *version;
} changes[] = {
	{"fewer replicas", 2, "1"},
	{"no replica", 0, "1"},
	{"another version", ZONE_REPLICAS, "2"},
	{"another version and fewer replicas", 3, "2"},
};

static void
no_fault (zone_t *z)
{
	(void)z;
}

static void
log_outage (zone_t *z)
{
	z->outage_until_ms = z->now_ms + FAULT_MS;
}

static void
lost_answers (zone_t *z)
{
	z->answers_lost_until_ms = z->now_ms + FAULT_MS;
}

static void
late_orders (zone_t *z)
{
	z->orders_late_until_ms = z->now_ms + FAULT_MS;
}

static void
two_planners (zone_t *z)
{
	z->daemons[1].rank = z->daemons[0].rank;
}

static void
planner_pauses (zone_t *z)
{
	z->daemons[0].frozen_until_ms = z->now_ms + FAULT_MS;
}

static void
planner_loses_log (zone_t *z)
{
	z->daemons[0].cut_until_ms = z->now_ms + FAULT_MS;
}

static const struct {
	const char *name;
	void (*begin) (zone_t *z);
} faults[] = {
	{"no fault", no_fault},
	{"outage of the log", log_outage},
	{"lost answers of appends", lost_answers},
	{"late orders", late_orders},
	{"two planners", two_planners},
	{"the planner pauses", planner_pauses},
	{"the planner loses the log", planner_loses_log},
};

/* Counts the groups of the declared version in the state of daemon 1, which no fault pauses
 * or disconnects. */
static size_t
declared_groups (const zone_t *z)
{
	const cs_groups_t *g = &z->daemons[1].groups;
	size_t n = 0;
	for (const cs_group_t *x = NULL; (x = cs_groups_next (g, x));)
		n += !strcmp (x->version, z->spec.version);
	return n;
}

static void
run_change (size_t change, size_t fault, size_t second, uint64_t seed)
{
	zone_t z;
	zone_options_t o = {seed % 2, options.without, seed};
	char violation[256];
	zone_init (&z, &o);
	for (int i = 0; i < FORMING_STEPS && zone_count_whole_groups (&z) < ZONE_REPLICAS; i++)
		zone_step (&z);
	assert_int_equal (zone_count_whole_groups (&z), ZONE_REPLICAS);
	for (int i = 0; i < 40; i++)
		zone_step (&z); /* requests begin */

	z.spec.replicas = changes[change].replicas;
	z.spec.version = (char *)changes[change].version;
	faults[fault].begin (&z);
	faults[second].begin (&z);
	int64_t end = z.now_ms + RUN_MS;
	while (z.now_ms < end && !*z.violation)
		zone_step (&z);
	size_t groups = declared_groups (&z);
	memcpy (violation, z.violation, sizeof violation);
	zone_finish (&z);
	if (*violation || groups != changes[change].replicas)
		fail_msg ("%s, %s and %s, seed %llu: %s, %zu groups as declared",
			  changes[change].name, faults[fault].name, faults[second].name,
			  (unsigned long long)seed, violation, groups);
}

static void
test_cases (void **state)
{
	(void)state;
	for (size_t c = 0; c < CS_ARRAY_LEN (changes); c++)
		for (size_t f = 0; f < CS_ARRAY_LEN (faults); f++)
			run_change (c, f, 0, c * CS_ARRAY_LEN (faults) + f + 1);
}

static void
test_pairs (void **state)
{
	(void)state;
	for (uint64_t seed = options.seed; seed < options.seed + options.runs; seed++) {
		cs_rng_t rng;
		cs_rng_init (&rng, seed);
		size_t change = cs_rng_below (&rng, CS_ARRAY_LEN (changes));
		size_t first = 1 + cs_rng_below (&rng, CS_ARRAY_LEN (faults) - 1);
		size_t second = 1 + cs_rng_below (&rng, CS_ARRAY_LEN (faults) - 1);
		run_change (change, first, second, seed);
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_cases),
		cmocka_unit_test (test_pairs),
	};
	options = cs_options_parse (argc, argv, DEFAULT_RUNS);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
