/* Guards against a shutdown that aborts requests which could still finish, and one that lasts until
 * the process is killed. */
#include "cs_test.h"

#include "cs/stop.h"

enum {
	GRACE_MS = 8000
};

static void
test_phases (void **state)
{
	static const struct {
		int64_t stopping_ms;
		int64_t now_ms;
		size_t in_progress;
		cs_stop_phase_t phase;
	} cases[] = {
		{0, 100000, 0, CS_STOP_NONE},
		{1000, 1000, 0, CS_STOP_ACCEPTING},
		{1000, 3499, 0, CS_STOP_ACCEPTING},
		{1000, 3500, 0, CS_STOP_EXIT},
		{1000, 3500, 1, CS_STOP_REFUSING},
		/* A request accepted from here on could not finish before the process exits. */
		{1000, 8000, 1, CS_STOP_REFUSING},
		{1000, 8599, 1, CS_STOP_REFUSING},
		{1000, 8600, 1, CS_STOP_EXIT},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_stop_phase_t phase = cs_stop_phase (cases[i].stopping_ms, cases[i].now_ms,
						       GRACE_MS, cases[i].in_progress);
		if (phase != cases[i].phase)
			fail_msg ("case %zu: phase %d", i, (int)phase);
	}
}

/* No caller is left without an answer at the exit, unless a part of one was sent. */
static void
test_answers (void **state)
{
	static const struct {
		cs_stop_request_t request;
		cs_stop_answer_t answer;
	} cases[] = {
		{{.runs = 0}, CS_STOP_NOT_RUN},
		{{.runs = 1}, CS_STOP_MAY_HAVE_RUN},
		{{.is_at_back_end = true}, CS_STOP_MAY_HAVE_RUN},
		{{.is_at_back_end = true, .runs = 2}, CS_STOP_MAY_HAVE_RUN},
		{{.has_head = true}, CS_STOP_CUT},
		{{.has_head = true, .is_at_back_end = true, .runs = 1}, CS_STOP_CUT},
		{{.has_ended = true}, CS_STOP_LEAVE_ALONE},
		{{.has_ended = true, .has_head = true, .runs = 1}, CS_STOP_LEAVE_ALONE},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++)
		if (cs_stop_answer (&cases[i].request) != cases[i].answer)
			fail_msg ("case %zu: answer %d, expected %d", i,
				  (int)cs_stop_answer (&cases[i].request), (int)cases[i].answer);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_phases),
					   cmocka_unit_test (test_answers)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
