/* Whether an attempt ran its request, and what is done after it. Guards against running a
 * non-idempotent request twice and against needless errors. */
#include "cs_test.h"

#include "cs/outcome.h"

#define UNSIGNED_REFUSAL(code)                                                           \
	{                                                                                \
		CS_ATTEMPT_ANSWERED, code, false, true, true, false, false, false, false \
	}
#define SIGNED(code)                                                                     \
	{                                                                                \
		CS_ATTEMPT_ANSWERED, code, true, true, false, false, false, false, false \
	}

#define STREAM_END                                                                     \
	{                                                                              \
		CS_ATTEMPT_ANSWERED, 200, true, true, false, true, false, false, false \
	}

/* A request to `safe` may run more than once, one to `unsafe` may not. */
static const cs_serving_route_t safe = {.kind = CS_KIND_IDEMPOTENT, .attempts = 2};
static const cs_serving_route_t unsafe = {.kind = CS_KIND_NON_IDEMPOTENT, .attempts = 2};
static const cs_serving_route_t stream = {.kind = CS_KIND_STREAM, .attempts = 2, .resumable = true};
static const cs_serving_route_t stream_3_attempts = {
	.kind = CS_KIND_STREAM, .attempts = 3, .resumable = true};
static const cs_serving_route_t unresumable = {.kind = CS_KIND_STREAM, .attempts = 2};

static void
test_runs (void **state)
{
	static const struct {
		const char *name;
		cs_attempt_t attempt;
		cs_run_t run;
	} cases[] = {
		{"answered", SIGNED (200), CS_RUN_YES},
		{"failed by the back end", SIGNED (500), CS_RUN_YES},
		{"not sent",
		 {CS_ATTEMPT_NOT_SENT, 0, false, false, false, false, false, false, false},
		 CS_RUN_NO},
		{"full", UNSIGNED_REFUSAL (503), CS_RUN_NO},
		{"too many", UNSIGNED_REFUSAL (429), CS_RUN_NO},
		{"without an id", UNSIGNED_REFUSAL (400), CS_RUN_NO},
		{"another back end",
		 {CS_ATTEMPT_ANSWERED, 421, false, false, false, false, false, false, false},
		 CS_RUN_NO},
		{"refusal of another request",
		 {CS_ATTEMPT_ANSWERED, 503, true, false, true, false, true, false, false},
		 CS_RUN_MAYBE},
		{"unsigned refusal of another request",
		 {CS_ATTEMPT_ANSWERED, 429, false, false, true, false, true, false, false},
		 CS_RUN_MAYBE},
		{"421 to another request",
		 {CS_ATTEMPT_ANSWERED, 421, false, false, false, false, true, false, false},
		 CS_RUN_MAYBE},
		{"refusal that names no request",
		 {CS_ATTEMPT_ANSWERED, 503, false, false, true, false, false, false, false},
		 CS_RUN_NO},
		{"503 on a connection that the request had used before",
		 {CS_ATTEMPT_ANSWERED, 503, false, true, true, false, false, true, true},
		 CS_RUN_MAYBE},
		{"signed 503 on a connection that the request had used before",
		 {CS_ATTEMPT_ANSWERED, 503, true, true, true, false, false, true, true},
		 CS_RUN_MAYBE},
		{"429 on a connection that the request had used before",
		 {CS_ATTEMPT_ANSWERED, 429, false, true, true, false, false, true, true},
		 CS_RUN_MAYBE},
		{"400 on a connection that the request had used before",
		 {CS_ATTEMPT_ANSWERED, 400, false, true, true, false, false, true, true},
		 CS_RUN_MAYBE},
		{"421 on a connection that the request had used before",
		 {CS_ATTEMPT_ANSWERED, 421, false, true, false, false, false, true, true},
		 CS_RUN_MAYBE},
		{"refusal that names no request, on a connection used before",
		 {CS_ATTEMPT_ANSWERED, 503, false, false, true, false, false, true, false},
		 CS_RUN_MAYBE},
		{"421 that names no request, on a connection used before",
		 {CS_ATTEMPT_ANSWERED, 421, false, false, false, false, false, true, false},
		 CS_RUN_MAYBE},
		{"own refusal on a connection used before",
		 {CS_ATTEMPT_ANSWERED, 503, false, true, true, false, false, true, false},
		 CS_RUN_NO},
		{"503 that declares nothing",
		 {CS_ATTEMPT_ANSWERED, 503, false, true, false, false, false, false, false},
		 CS_RUN_MAYBE},
		{"500 that declares it did not run", UNSIGNED_REFUSAL (500), CS_RUN_MAYBE},
		{"answer to another request",
		 {CS_ATTEMPT_ANSWERED, 200, true, false, false, false, false, false, false},
		 CS_RUN_MAYBE},
		{"unsigned",
		 {CS_ATTEMPT_ANSWERED, 200, false, true, false, false, false, false, false},
		 CS_RUN_MAYBE},
		{"broken",
		 {CS_ATTEMPT_BROKEN, 200, true, true, false, false, false, false, false},
		 CS_RUN_MAYBE},
		{"silent",
		 {CS_ATTEMPT_SILENT, 0, false, false, false, false, false, false, false},
		 CS_RUN_MAYBE},
		{"timeout",
		 {CS_ATTEMPT_TIMEOUT, 0, false, false, false, false, false, false, false},
		 CS_RUN_MAYBE},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		if (cs_outcome_run (&cases[i].attempt) != cases[i].run)
			fail_msg ("%s", cases[i].name);
	}
}

static void
test_follows (void **state)
{
	static const cs_attempt_t answered = SIGNED (200);
	static const cs_attempt_t failed = SIGNED (500);
	static const cs_attempt_t full = UNSIGNED_REFUSAL (503);
	static const cs_attempt_t broken = {
		CS_ATTEMPT_BROKEN, 0, false, false, false, false, false, false, false};
	static const cs_attempt_t unsent = {
		CS_ATTEMPT_NOT_SENT, 0, false, false, false, false, false, false, false};
	static const cs_attempt_t late = {
		CS_ATTEMPT_TIMEOUT, 0, false, false, false, false, false, false, false};
	static const cs_attempt_t gone = SIGNED (404);
	static const cs_attempt_t finished = STREAM_END;
	static const struct {
		const char *name;
		const cs_attempt_t *attempt;
		const cs_serving_route_t *route;
		uint32_t runs;
		uint32_t tries;
		bool reached;
		bool budget;
		cs_next_step_t then;
	} cases[] = {
		{"answer", &answered, &unsafe, 1, 1, false, true, CS_NEXT_DELIVER},
		{"safe, failed: another try", &failed, &safe, 1, 1, false, true, CS_NEXT_RETRY},
		{"safe, failed twice", &failed, &safe, 2, 2, false, true, CS_NEXT_DELIVER},
		{"safe, failed, no budget", &failed, &safe, 1, 1, false, false, CS_NEXT_DELIVER},
		{"unsafe, failed", &failed, &unsafe, 1, 1, false, true, CS_NEXT_DELIVER},
		{"unsafe, refused unrun", &full, &unsafe, 0, 1, false, true, CS_NEXT_RETRY},
		{"unsafe, refused unrun by all", &full, &unsafe, 0, 4, false, true, CS_NEXT_REFUSE},
		{"unsafe, refused unrun, no budget", &full, &unsafe, 0, 1, false, false,
		 CS_NEXT_REFUSE},
		{"unsafe, not sent", &unsent, &unsafe, 0, 1, false, true, CS_NEXT_RETRY},
		{"unsafe, broken: it may have run", &broken, &unsafe, 1, 1, false, true,
		 CS_NEXT_FAIL},
		{"safe, broken", &broken, &safe, 1, 1, false, true, CS_NEXT_RETRY},
		{"safe, broken twice", &broken, &safe, 2, 2, false, true, CS_NEXT_FAIL},
		{"safe, broken, then refused unrun by the next", &full, &safe, 1, 2, false, true,
		 CS_NEXT_RETRY},
		{"safe, broken, then refused unrun, no budget", &full, &safe, 1, 2, false, false,
		 CS_NEXT_FAIL},
		{"stream, broken before an event", &broken, &stream, 1, 1, false, true,
		 CS_NEXT_RETRY},
		{"stream, broken amid", &broken, &stream, 1, 1, true, true, CS_NEXT_RESUME},
		{"stream, broken amid, no budget", &broken, &stream, 1, 1, true, false,
		 CS_NEXT_ABORT},
		{"stream, broken amid twice", &broken, &stream, 2, 2, true, true, CS_NEXT_ABORT},
		{"stream that can't resume, before an event", &broken, &unresumable, 1, 1, false,
		 true, CS_NEXT_FAIL},
		{"stream that can't resume, amid", &broken, &unresumable, 1, 1, true, true,
		 CS_NEXT_ABORT},
		{"stream, finished", &finished, &stream, 1, 1, true, true, CS_NEXT_DELIVER},
		{"stream, finished by its resumption", &finished, &stream, 2, 2, true, true,
		 CS_NEXT_DELIVER},
		{"stream, resumption failed by the back end", &failed, &stream_3_attempts, 2, 2,
		 true, true, CS_NEXT_RESUME},
		{"stream, resumption failed, no budget", &failed, &stream_3_attempts, 2, 2, true,
		 false, CS_NEXT_ABORT},
		{"stream, resumption failed, no attempt left", &failed, &stream, 2, 2, true, true,
		 CS_NEXT_ABORT},
		{"stream, resumption not found", &gone, &stream_3_attempts, 2, 2, true, true,
		 CS_NEXT_RESUME},
		{"stream, resumption answered without a stream", &answered, &stream_3_attempts, 2,
		 2, true, true, CS_NEXT_RESUME},
		{"stream, resumption refused unrun", &full, &stream, 1, 2, true, true,
		 CS_NEXT_RESUME},
		{"out of time", &late, &safe, 1, 1, false, true, CS_NEXT_EXPIRE},
		{"stream out of time amid", &late, &stream, 1, 1, true, true, CS_NEXT_ABORT},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		const cs_request_state_t r = {.route = cases[i].route,
					      .runs = cases[i].runs,
					      .tries = cases[i].tries,
					      .reached_caller = cases[i].reached,
					      .has_position = true,
					      .may_repeat = cases[i].budget};
		cs_next_step_t then = cs_outcome_next_step (cases[i].attempt, &r);
		if (then != cases[i].then)
			fail_msg ("%s: %s", cases[i].name, cs_next_step_name (then));
	}
}

static void
test_stream_without_ids (void **state)
{
	static const cs_attempt_t broken = {.end = CS_ATTEMPT_BROKEN};
	static const cs_attempt_t finished = STREAM_END;
	static const struct {
		const char *name;
		const cs_attempt_t *attempt;
		bool reached;
		cs_next_step_t then;
	} cases[] = {
		{"broken before an event", &broken, false, CS_NEXT_RETRY},
		{"broken amid", &broken, true, CS_NEXT_ABORT},
		{"finished", &finished, true, CS_NEXT_DELIVER},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		const cs_request_state_t r = {.route = &stream,
					      .runs = 1,
					      .tries = 1,
					      .reached_caller = cases[i].reached,
					      .may_repeat = true};
		cs_next_step_t then = cs_outcome_next_step (cases[i].attempt, &r);
		if (then != cases[i].then)
			fail_msg ("%s: %s", cases[i].name, cs_next_step_name (then));
	}
}

/* Whatever the end of an attempt: an answer that the caller has in part is completed only by a
 * signed event stream that names this request. */
static void
test_only_a_stream_completes_a_partial_answer (void **state)
{
	static const int statuses[] = {0, 200, 204, 206, 400, 404, 421, 429, 500, 503, 504};
	static const cs_serving_route_t *const routes[] = {&safe, &unsafe, &stream,
							   &stream_3_attempts, &unresumable};
	(void)state;
	for (unsigned bits = 0; bits < 1 << 5; bits++)
		for (int end = CS_ATTEMPT_ANSWERED; end <= CS_ATTEMPT_TIMEOUT; end++)
			for (size_t i = 0; i < CS_ARRAY_LEN (statuses); i++)
				for (size_t k = 0; k < CS_ARRAY_LEN (routes); k++) {
					const cs_attempt_t a = {
						.end = (cs_attempt_end_t)end,
						.status = statuses[i],
						.is_signed = bits & 1,
						.is_own = bits & 2,
						.declared_not_run = bits & 4,
						.is_stream = statuses[i] == 200 && bits & 8,
					};
					const cs_request_state_t r = {.route = routes[k],
								      .runs = 1,
								      .tries = 1,
								      .reached_caller = true,
								      .has_position = true,
								      .may_repeat = bits & 16};
					bool completes = end == CS_ATTEMPT_ANSWERED &&
							 a.is_signed && a.is_own && a.is_stream;
					cs_next_step_t then = cs_outcome_next_step (&a, &r);
					if ((then == CS_NEXT_DELIVER) != completes ||
					    (!completes && then != CS_NEXT_RESUME &&
					     then != CS_NEXT_ABORT))
						fail_msg ("end %d, status %d, bits %x: %s", end,
							  statuses[i], bits,
							  cs_next_step_name (then));
				}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_runs),
		cmocka_unit_test (test_follows),
		cmocka_unit_test (test_stream_without_ids),
		cmocka_unit_test (test_only_a_stream_completes_a_partial_answer),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
