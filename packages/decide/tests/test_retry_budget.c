/* Guards against repeats beyond the fleet's budget through claims that are not this daemon's to
 * use, settings that change, and services without bound. */
#include "cs_test.h"

#include <stdio.h>

#include "cs/retry_budget.h"

enum {
	START_MS = 1000,
	CLAIMS_MS = 30000, /* claims of before the start have ended */
	SEED = 7
};

static const cs_retry_limits_t limits = {.ratio = 0.2, .slack = 80, .window_ms = 10000};

static void
init_budget (cs_retry_budget_t *b)
{
	cs_retry_budget_init (b, &limits, SEED, false, START_MS);
	cs_retry_budget_follow (b, START_MS, 1, 100, 0);
}

/* What is done between a claim and the first repeat that it may grant. */
static const struct {
	const char *name;
	int64_t want_ms;      /* when slack is wanted first */
	uint64_t era, offset; /* of the record with the claim */
	uint32_t others;      /* repeats that another daemon claimed just before */
	bool is_other_id;     /* a claim of the process before under the same name */
	int64_t use_ms;       /* since the claim was sent */
	bool is_granted;
} claims[] = {
	{"read back", CLAIMS_MS, 1, 100, 0, false, 300, true},
	{"room beside another one", CLAIMS_MS, 1, 100, 40, false, 300, true},
	{"no room", CLAIMS_MS, 1, 100, 80, false, 300, false},
	{"a claim beyond all bounds", CLAIMS_MS, 1, 100, UINT32_MAX, false, 300, false},
	{"the process before claimed it", CLAIMS_MS, 1, 100, 0, true, 300, false},
	{"read back too late", CLAIMS_MS, 1, 100, 0, false, 1300, false},
	{"records were missed", CLAIMS_MS, 1, 101, 0, false, 300, false},
	{"the store went back", CLAIMS_MS, 2, 100, 0, false, 300, false},
	{"just started", START_MS + 500, 1, 100, 0, false, 300, false},
};

static void
test_claims (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (claims); i++) {
		cs_retry_budget_t b;
		cs_retry_claim_t claim;
		int64_t now_ms = claims[i].want_ms;
		uint64_t offset = claims[i].offset;
		init_budget (&b);
		cs_retry_decision_t d = cs_retry_budget_acquire (&b, "s", false, now_ms);
		assert_int_equal (d.grant, CS_RETRY_GRANT_NONE);
		bool is_claimed = cs_retry_budget_next_claim (&b, now_ms, &claim);
		assert_int_equal (is_claimed, claims[i].want_ms == CLAIMS_MS);
		now_ms += claims[i].use_ms;
		if (!is_claimed)
			claim = (cs_retry_claim_t){"s", 1, SEED + 1};
		if (claims[i].is_other_id)
			claim.id += 1000;
		if (claims[i].others) {
			const cs_retry_claim_t other = {"s", claims[i].others, claim.id};
			cs_retry_budget_follow (&b, now_ms, claims[i].era, offset++, 1);
			assert_false (cs_retry_budget_hear (&b, now_ms, &other, false));
		}
		cs_retry_budget_follow (&b, now_ms, claims[i].era, offset, 1);
		bool is_granted = cs_retry_budget_hear (&b, now_ms, &claim, true);
		d = cs_retry_budget_acquire (&b, "s", false, now_ms);
		if (is_granted != claims[i].is_granted)
			print_message ("%s\n", claims[i].name);
		assert_int_equal (is_granted, claims[i].is_granted);
		assert_int_equal (d.grant, is_granted ? CS_RETRY_GRANT_SLACK : CS_RETRY_GRANT_NONE);
		/* It is used once, and heard once more it grants nothing. */
		assert_false (cs_retry_budget_hear (&b, now_ms, &claim, true));
		cs_retry_budget_finish (&b);
	}
}

static uint32_t
count_grants (cs_retry_budget_t *b, const char *service, int64_t now_ms, uint32_t n)
{
	uint32_t granted = 0;
	while (granted < n && cs_retry_budget_acquire (b, service, false, now_ms).grant)
		granted++;
	return granted;
}

/* 200 requests of one moment allow 0.95 x 0.2 / 2 of them as repeats. */
static void
test_settings_change (void **state)
{
	static const struct {
		cs_retry_limits_t next;
		int64_t later_ms;
		uint32_t granted;
	} cases[] = {
		{{0.2, 80, 10000}, 0, 19},    {{0.1, 80, 10000}, 0, 9},
		{{0, 80, 10000}, 0, 0},       {{0.2, 80, 5000}, 0, 0}, /* counts anew */
		{{0.2, 80, 10000}, 9400, 19}, {{0.2, 80, 10000}, 10100, 0},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_retry_budget_t b;
		init_budget (&b);
		for (int n = 0; n < 200; n++)
			cs_retry_budget_count_request (&b, "s", START_MS, START_MS);
		cs_retry_budget_set_limits (&b, &cases[i].next, START_MS);
		assert_int_equal (count_grants (&b, "s", START_MS + cases[i].later_ms, 100),
				  cases[i].granted);
		cs_retry_budget_finish (&b);
	}
}

/* A burst of grants that are sent as late as they may be, and all that is granted once it has left
 * the window of grants, arrive in one window. */
static void
test_late_sends (void **state)
{
	static const uint32_t per_s[] = {5, 30, 300, 3000};
	enum {
		TICK_MS = 10,
		BURST_MS = 20000,
		FROM_MS = BURST_MS + CS_RETRY_SEND_MS,
		TO_MS = FROM_MS + 10000 /* a window */
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (per_s); i++) {
		cs_retry_budget_t b;
		uint32_t n = 0, sent = 0;
		init_budget (&b);
		for (int64_t now_ms = START_MS; now_ms < TO_MS; now_ms += TICK_MS) {
			for (n += per_s[i] * TICK_MS; n >= 1000; n -= 1000)
				cs_retry_budget_count_request (&b, "s", now_ms, now_ms);
			if (now_ms == BURST_MS || now_ms >= FROM_MS)
				sent += count_grants (&b, "s", now_ms, 10000);
		}
		assert_in_range (sent, 1, 0.2 * per_s[i] * 10);
		cs_retry_budget_finish (&b);
	}
}

/* A service that vanishes keeps its counts while they matter; those beyond the bound get nothing.
 */
static void
test_many_services (void **state)
{
	cs_retry_budget_t b;
	char name[16];
	(void)state;
	init_budget (&b);
	for (int i = 0; i < 100 * CS_RETRY_SERVICES; i++) {
		snprintf (name, sizeof name, "s%d", i);
		cs_retry_budget_count_request (&b, name, START_MS, START_MS);
		assert_true (b.n_services <= CS_RETRY_SERVICES);
	}
	for (int i = 0; i < 100; i++)
		cs_retry_budget_count_request (&b, "s0", START_MS, START_MS);
	assert_int_equal (count_grants (&b, "s0", START_MS + 9000, 100), 9);
	assert_int_equal (count_grants (&b, name, START_MS + 9000, 100), 0);
	for (int i = 0; i < 20; i++)
		cs_retry_budget_count_request (&b, name, START_MS + 60000, START_MS + 60000);
	assert_int_equal (count_grants (&b, name, START_MS + 60000, 100), 1);
	cs_retry_budget_finish (&b);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_claims),
		cmocka_unit_test (test_settings_change),
		cmocka_unit_test (test_late_sends),
		cmocka_unit_test (test_many_services),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
