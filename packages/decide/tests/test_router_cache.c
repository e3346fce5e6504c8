/* Tests of the router's hints from the cache events of engines. */
#include "cs/router.h"
#include "cs_options.h"
#include "cs_test.h"

enum {
	NOW_MS = 20000 /* after the slow start */
};

static uint32_t disabled;

static void
init (cs_router_t *r)
{
	const cs_router_options_t options = {
		.policy = CS_ROUTE_AFFINITY, .zone = "a", .seed = 3, .disabled = disabled};
	cs_router_init (r, &options);
}

static void
add_target (cs_router_t *r, const char *name, uint64_t fence)
{
	const cs_target_info_t info = {.name = name,
				       .service = "m",
				       .zone = "a",
				       .version = "1",
				       .fence = fence,
				       .max_concurrent = 8,
				       .serving = true};
	cs_router_set_target (r, 0, &info);
}

static bool
is_cached (cs_router_t *r, int64_t now_ms, uint64_t prefix)
{
	const cs_route_query_t q = {.service = "m", .prefix = prefix};
	cs_route_t out;
	assert_int_equal (cs_router_pick (r, now_ms, &q, &out), CS_OK);
	return out.cached;
}

/* Applies two batches of cache events. The first adds prefix 77; the second has events that
 * are late, lost, repeated, out of order or from a restarted engine. */
static void
test_cache_events (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		uint64_t epoch; /* of the second batch; 0: no events */
		size_t n;
		cs_cache_event_t events[3];
		uint64_t fence;
		bool at_once, later; /* 77 is hinted then, and ten minutes later */
		uint64_t after;
	} cases[] = {
		{"nothing new", 0, 0, {{0, 0, false}}, 1, true, true, 2},
		{"in order", 5, 1, {{3, 9, true}}, 1, true, true, 3},
		{"removed", 5, 1, {{3, 77, false}}, 1, false, false, 3},
		{"another removed from its slot", 5, 1, {{3, 333, false}}, 1, true, true, 3},
		{"repeated", 5, 2, {{1, 77, false}, {2, 77, false}}, 1, true, true, 2},
		{"late, and repeated", 5, 2, {{2, 77, false}, {3, 9, true}}, 1, true, true, 3},
		{"out of order", 5, 2, {{4, 9, true}, {3, 77, false}}, 1, true, false, 4},
		{"a gap", 5, 1, {{4, 9, true}}, 1, true, false, 4},
		{"restarted", 6, 1, {{1, 9, true}}, 1, false, false, 1},
		{"restarted, beyond", 6, 1, {{3, 9, true}}, 1, false, false, 3},
		{"a new replica", 0, 0, {{0, 0, false}}, 2, false, false, 0},
		{"no prefix", 5, 1, {{3, 0, true}}, 1, true, true, 3},
	};
	static const cs_cache_event_t first[] = {{1, 8, true}, {2, 77, true}};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_router_t r;
		uint64_t epoch, after;
		init (&r);
		add_target (&r, "m/0", 1);
		cs_router_apply_cache_events (&r, NOW_MS, "m/0", 5, first, CS_ARRAY_LEN (first));
		add_target (&r, "m/0", cases[i].fence);
		cs_router_apply_cache_events (&r, NOW_MS, "m/0", cases[i].epoch, cases[i].events,
					      cases[i].n);
		cs_router_cache_position (&r, "m/0", &epoch, &after);
		bool at_once = is_cached (&r, NOW_MS, 77);
		cs_router_apply_cache_events (&r, NOW_MS + 600000, "m/0", 0, NULL, 0);
		bool later = is_cached (&r, NOW_MS + 600000, 77);
		if (at_once != cases[i].at_once || later != cases[i].later ||
		    after != cases[i].after)
			print_message ("%s: %d %d %d\n", cases[i].name, at_once, later, (int)after);
		assert_int_equal (at_once, cases[i].at_once);
		assert_int_equal (later, cases[i].later);
		assert_int_equal (after, cases[i].after);
		cs_router_finish (&r);
	}
}

/* A hint decides between targets within the load bound, never in favour of one above it. */
static void
test_hint_under_load (void **state)
{
	(void)state;
	const cs_route_query_t q = {.service = "m", .prefix = 77};
	cs_route_t out;
	cs_router_t r;
	init (&r);
	for (int i = 0; i < 10; i++)
		add_target (&r, (char[]){'m', (char)('0' + i), 0}, 1);
	for (int i = 0; i < 10; i++) {
		char name[] = {'m', (char)('0' + i), 0};
		cs_router_set_hint (&r, name, 77, true);
		assert_int_equal (cs_router_pick (&r, NOW_MS, &q, &out), CS_OK);
		assert_string_equal (out.name, name);
		cs_router_record_load (&r, name, NOW_MS, 7, 0);
		assert_int_equal (cs_router_pick (&r, NOW_MS, &q, &out), CS_OK);
		assert_string_not_equal (out.name, name);
		cs_router_record_load (&r, name, NOW_MS, 0, 0);
		cs_router_set_hint (&r, name, 77, false);
	}
	cs_router_finish (&r);
}

/* Number of polls for cache events in 100 rounds, and longest time without one, by the number
 * of engines. */
static void
test_cache_due (void **state)
{
	(void)state;
	static const struct {
		size_t engines;
		int least, most; /* polls in 100 rounds */
		int wait;        /* longest, in rounds */
	} cases[] = {
		{1, 100, 100, 0},   {4, 400, 400, 0}, {8, 350, 450, 20},
		{12, 350, 450, 30}, {13, 0, 0, 100},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		int polls = 0;
		int wait = 0;
		for (size_t h = 0; h < cases[i].engines; h++) {
			char name[] = {'v', (char)('a' + h), 0};
			int waits = 0;
			for (uint64_t round = 1; round <= 100; round++) {
				bool due =
					cs_router_is_cache_poll_due (name, round, cases[i].engines);
				polls += due;
				waits = due ? 0 : waits + 1;
				wait = waits > wait ? waits : wait;
			}
		}
		if (polls < cases[i].least || polls > cases[i].most || wait > cases[i].wait)
			print_message ("%zu engines: %d polls, wait %d\n", cases[i].engines, polls,
				       wait);
		assert_in_range (polls, cases[i].least, cases[i].most);
		assert_true (wait <= cases[i].wait);
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_cache_events),
		cmocka_unit_test (test_hint_under_load),
		cmocka_unit_test (test_cache_due),
	};
	cs_options_t o = cs_options_parse (argc, argv, 1);
	disabled = (cs_options_is_disabled (&o, "cache-gap") ? CS_ROUTER_NO_CACHE_GAP : 0) |
		   (cs_options_is_disabled (&o, "cache-epoch") ? CS_ROUTER_NO_CACHE_EPOCH : 0) |
		   (cs_options_is_disabled (&o, "load-bound") ? CS_ROUTER_NO_LOAD_BOUND : 0);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
