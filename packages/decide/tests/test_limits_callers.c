/* Limits of teams: admissions in an unused minute, and of callers that obey Retry-After. */
#include "cs_test.h"

#include "cs_options.h"
#include "support_limits.h"

static uint32_t disabled;
static uint64_t seed;

/* Sends requests to all daemons in turn or to one of them, in a minute without earlier use.
 * Refused callers retry at the time given by Retry-After. */
static void
test_callers (void **state)
{
	enum {
		RUN_S = 360,
		SOON_S = 10 /* time by which reports on the first second have reached all daemons */
	};
	(void)state;
	static const struct {
		const char *name;
		uint32_t limit;
		int callers;
		bool one_daemon;
		uint32_t first_admitted;  /* at least, on the first attempt */
		uint32_t soon;            /* within SOON_S, at least */
		uint32_t second_admitted; /* of retries after SOON_S, at least, per cent */
	} cases[] = {
		{"in turn", DAEMONS, DAEMONS, false, DAEMONS, DAEMONS, 0},
		{"one daemon", DAEMONS, DAEMONS, true, 1, DAEMONS, 90},
		{"fewer slots than daemons", 5, 5, true, 0, 5, 90},
		{"more than the limit", 120, 240, false, 120, 120, 95},
		{"much more than the limit", 120, 360, false, 120, 120, 95},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		Cs__Limits limits = CS__LIMITS__INIT;
		int64_t due[360] = {0}; /* -1: admitted */
		uint32_t first = 0, soon = 0, retries = 0, retries_admitted = 0;
		fleet_t f;
		limits.requests_per_minute = cases[i].limit;
		fleet_start (&f, &limits, disabled, seed);
		f.loss_percent = 0;
		for (int second = 0; second < RUN_S; second++, f.now_ms += 1000) {
			fleet_exchange_heartbeats (&f, FAULT_NONE, second);
			for (int k = 0; k < cases[i].callers; k++) {
				cs_limits_hold_t hold;
				cs_limit_kind_t kind;
				int64_t retry = 0;
				bool is_first = !due[k];
				if (due[k] < 0 || due[k] > f.now_ms)
					continue;
				int d = cases[i].one_daemon ? 0 : k % DAEMONS;
				bool ok = cs_limits_admit (&f.limits[d], f.now_ms, "dala", 0,
							   (uint64_t)k + 1, &hold, &kind,
							   &retry) == CS_OK;
				due[k] = ok ? -1 : f.now_ms + retry;
				first += is_first && ok;
				soon += ok && second < SOON_S;
				retries += !is_first && second >= SOON_S;
				retries_admitted += !is_first && second >= SOON_S && ok;
			}
		}
		if (first < cases[i].first_admitted || soon < cases[i].soon ||
		    retries_admitted * 100 < retries * cases[i].second_admitted)
			print_message ("%s: %u, %u, %u of %u\n", cases[i].name, first, soon,
				       retries_admitted, retries);
		assert_true (first >= cases[i].first_admitted);
		assert_true (soon >= cases[i].soon);
		assert_true (retries_admitted * 100 >= retries * cases[i].second_admitted);
		fleet_finish (&f);
	}
}

/* With demand at all daemons and fewer slots than daemons, every daemon gets a slot in turn. */
static void
test_turns (void **state)
{
	enum {
		ROUNDS_S = 1200,
		FEW = 5
	};
	(void)state;
	Cs__Limits limits = CS__LIMITS__INIT;
	uint32_t admitted[DAEMONS] = {0};
	fleet_t f;
	limits.requests_per_minute = FEW;
	fleet_start (&f, &limits, disabled, seed);
	for (int second = 0; second < ROUNDS_S; second++, f.now_ms += 1000) {
		fleet_exchange_heartbeats (&f, FAULT_NONE, second);
		for (int d = 0; d < DAEMONS; d++) {
			cs_limits_hold_t hold;
			cs_limit_kind_t kind;
			int64_t retry;
			admitted[d] += cs_limits_admit (&f.limits[d], f.now_ms, "dala", 0, 0, &hold,
							&kind, &retry) == CS_OK;
		}
	}
	for (int d = 0; d < DAEMONS; d++)
		assert_in_range (admitted[d], 1, FEW * ROUNDS_S / MINUTE_S);
	fleet_finish (&f);
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_callers),
		cmocka_unit_test (test_turns),
	};
	cs_options_t o = cs_options_parse (argc, argv, 1);
	seed = o.seed;
	disabled = (cs_options_is_disabled (&o, "lending") ? CS_LIMITS_NO_LENDING : 0) |
		   (cs_options_is_disabled (&o, "promises") ? CS_LIMITS_NO_RETRY_SCHEDULE : 0);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
