/* After which lease renewals a planner keeps its state, and after which it must reread it. */
#include "cs/planner_lease.h"
#include "cs_test.h"

enum {
	LEASE_MS = 1000,
	STEPS = 4
};

typedef struct {
	int64_t sent_ms;
	int64_t answered_ms; /* 0: end of the list */
	bool held;
	uint64_t generation;
	cs_planner_lease_result_t step;
	uint64_t era;
} renewal_t;

static const struct {
	const char *name;
	renewal_t renewals[STEPS + 1];
} cases[] = {
	{"first lease", {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3}}},
	{"renewed in time",
	 {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {300, 310, true, 1, CS_PLANNER_LEASE_CONTINUED, 3}}},
	{"renewed in time while the generation changes",
	 {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {300, 310, true, 7, CS_PLANNER_LEASE_CONTINUED, 3}}},
	{"answered late, no other daemon held it",
	 {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {300, 900, true, 1, CS_PLANNER_LEASE_CONTINUED, 3},
	  {950, 960, true, 1, CS_PLANNER_LEASE_CONTINUED, 3}}},
	{"answered late, the generation has changed",
	 {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {300, 800, true, 2, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {850, 860, true, 2, CS_PLANNER_LEASE_CONTINUED, 3}}},
	{"renewed in time, the store was restored",
	 {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {300, 310, true, 1, CS_PLANNER_LEASE_CONTINUED, 3},
	  {600, 610, true, 1, CS_PLANNER_LEASE_ACQUIRED, 4},
	  {900, 910, true, 1, CS_PLANNER_LEASE_CONTINUED, 4}}},
	{"lost and regained",
	 {{0, 10, true, 1, CS_PLANNER_LEASE_ACQUIRED, 3},
	  {300, 310, false, 2, CS_PLANNER_LEASE_NOT_HELD, 3},
	  {600, 610, false, 2, CS_PLANNER_LEASE_NOT_HELD, 3},
	  {900, 910, true, 2, CS_PLANNER_LEASE_ACQUIRED, 3}}},
};

static void
test_renewals (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_planner_lease_t lease = {.held = false};
		print_message ("%s\n", cases[i].name);
		for (const renewal_t *r = cases[i].renewals; r->answered_ms; r++) {
			assert_int_equal (cs_planner_lease_renewed (&lease, r->answered_ms,
								    r->sent_ms, LEASE_MS, r->held,
								    r->generation, r->era),
					  r->step);
			assert_int_equal (lease.lease_expires_ms, r->sent_ms + 800);
		}
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_renewals)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
