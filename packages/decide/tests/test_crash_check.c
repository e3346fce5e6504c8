/* Guards against taking a failed connection for a crash, or a crash for a failed connection. */
#include "cs_test.h"

#include "cs/crash_check.h"

enum {
	BROKEN_MS = 1000
};

typedef struct {
	size_t member;
	int64_t poll_sent_ms;
	bool dead;
	cs_crash_check_state_t state;
} answer_t;

typedef struct {
	const char *name;
	size_t n_members;
	answer_t answers[4];
	size_t n_answers;
} case_t;

static const case_t cases[] = {
	{"both live",
	 2,
	 {{0, 1000, false, CS_CRASH_CHECK_PENDING}, {1, 1001, false, CS_CRASH_CHECK_ALL_ALIVE}},
	 2},
	{"one answers twice",
	 2,
	 {{1, 1000, false, CS_CRASH_CHECK_PENDING},
	  {1, 1500, false, CS_CRASH_CHECK_PENDING},
	  {0, 1500, false, CS_CRASH_CHECK_ALL_ALIVE}},
	 3},
	{"asked before it broke",
	 2,
	 {{1, 1000, false, CS_CRASH_CHECK_PENDING},
	  {0, 999, false, CS_CRASH_CHECK_REPOLL},
	  {0, 1020, false, CS_CRASH_CHECK_ALL_ALIVE}},
	 3},
	{"asked before, then dead",
	 2,
	 {{1, 1000, false, CS_CRASH_CHECK_PENDING},
	  {0, 999, false, CS_CRASH_CHECK_REPOLL},
	  {0, 1020, true, CS_CRASH_CHECK_DEAD}},
	 3},
	{"found dead by an earlier poll", 2, {{0, 990, true, CS_CRASH_CHECK_DEAD}}, 1},
	{"dead stays so",
	 2,
	 {{0, 1000, true, CS_CRASH_CHECK_DEAD}, {1, 1000, false, CS_CRASH_CHECK_DEAD}},
	 2},
	{"a group of one", 1, {{0, 1000, false, CS_CRASH_CHECK_ALL_ALIVE}}, 1},
	{"members not known", 0, {{0, 1000, false, CS_CRASH_CHECK_PENDING}}, 1},
	{"no such member", 2, {{99, 1000, false, CS_CRASH_CHECK_PENDING}}, 1},
};

static void
test_answers (void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
		cs_crash_check_t c;
		cs_crash_check_begin (&c, BROKEN_MS, cases[i].n_members);
		for (size_t k = 0; k < cases[i].n_answers; k++) {
			const answer_t *answer = &cases[i].answers[k];
			cs_crash_check_state_t actual = cs_crash_check_answer (
				&c, answer->member, answer->poll_sent_ms, answer->dead);
			if (actual != answer->state)
				fail_msg ("%s: answer %zu: %d, expected %d", cases[i].name, k,
					  actual, answer->state);
		}
	}
}

/* A member that resets the connection of its poll is asked again until it is known, but not for
 * ever. */
static void
test_no_answer (void **state)
{
	static const struct {
		const char *name;
		size_t member;
		int n_without; /* polls without an answer */
		int repolls;
		bool is_answered; /* the member had answered before */
		bool dead;        /* another member is known to be dead */
	} rows[] = {
		{"reset once, by a process that ends", 1, 1, 1, false, false},
		{"reset again and again", 1, 20, CS_CRASH_CHECK_MAX_REPOLLS, false, false},
		{"a later poll of a member that lives", 1, 3, 0, true, false},
		{"what is known needs no poll", 1, 3, 0, false, true},
		{"no such member", 99, 3, 0, false, false},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (rows); i++) {
		cs_crash_check_t c;
		int repolls = 0;
		cs_crash_check_begin (&c, BROKEN_MS, 2);
		if (rows[i].is_answered)
			cs_crash_check_answer (&c, 1, BROKEN_MS, false);
		if (rows[i].dead)
			cs_crash_check_answer (&c, 0, BROKEN_MS, true);
		for (int k = 0; k < rows[i].n_without; k++)
			repolls += cs_crash_check_no_answer (&c, rows[i].member) ==
				   CS_CRASH_CHECK_REPOLL;
		print_message ("%s\n", rows[i].name);
		assert_int_equal (repolls, rows[i].repolls);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_answers),
					   cmocka_unit_test (test_no_answer)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
