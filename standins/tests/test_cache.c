/* Prefix cache of the stand-in engine: hits, LRU eviction and published events. */
#include <stdlib.h>

#include "backend.h"
#include "cs_test.h"

backend_options_t options;
static int64_t now_ms = 1000;

int64_t
server_now_ms (void)
{
	return now_ms;
}

static void
test_cache (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		uint64_t accesses[4]; /* prefixes in order of access, 1 s apart; the last one now */
		uint64_t lag_ms, loss;
		uint64_t after;
		bool other_epoch;
		bool hit; /* result of the last access */
		const char *events;
	} cases[] = {
		{"one", {1}, 0, 0, 0, false, false, "+1"},
		{"held", {1, 1}, 0, 0, 0, false, true, "+1"},
		{"least recently used is evicted", {1, 2, 1, 3}, 0, 0, 2, false, false, "-2+3"},
		{"evicted and stored again", {1, 2, 3, 1}, 0, 0, 4, false, false, "-2+1"},
		{"nothing new", {1, 2}, 0, 0, 2, false, false, ""},
		{"bound of an answer", {1, 2, 3, 4}, 0, 0, 0, false, false, "+1+2-1+3-2+4"},
		{"lag delays the newest event", {1, 2}, 1000, 0, 0, false, false, "+1"},
		{"lost", {1, 2}, 0, 100, 0, false, false, ""},
		{"position from an earlier epoch", {1}, 0, 0, 7, true, false, "+1"},
		{"no prefix", {0}, 0, 0, 0, false, false, ""},
	};
	uint64_t epoch = 0;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		bool hit = false;
		cs_buf_t events_text = {0};
		options.cache_prefixes = 2;
		options.cache_lag_ms = cases[i].lag_ms;
		options.cache_loss_percent = cases[i].loss;
		cache_reset ();
		epoch = now_ms > (int64_t)epoch ? (uint64_t)now_ms : epoch + 1;
		for (int u = 0; u < 4 && cases[i].accesses[u]; u++) {
			now_ms += 1000;
			hit = cache_access (cases[i].accesses[u]);
		}
		json_t *j = cache_events (epoch - cases[i].other_epoch, cases[i].after);
		size_t k;
		json_t *e;
		json_array_foreach (json_object_get (j, "events"), k, e) {
			const char *stored = json_string_value (json_object_get (e, "stored"));
			const char *text =
				stored ? stored
				       : json_string_value (json_object_get (e, "removed"));
			cs_buf_printf (&events_text, "%c%lu", stored ? '+' : '-',
				       strtoul (text, NULL, 16));
		}
		if (hit != cases[i].hit)
			print_message ("%s\n", cases[i].name);
		assert_int_equal (hit, cases[i].hit);
		assert_string_equal (events_text.n ? events_text.p : "", cases[i].events);
		json_decref (j);
		cs_buf_finish (&events_text);
	}
}

/* Events that leave the ring buffer unread are lost; a report has at most 8 events. */
static void
test_bounds (void **state)
{
	(void)state;
	options.cache_prefixes = CACHE_MAX_PREFIXES;
	options.cache_lag_ms = 0;
	options.cache_loss_percent = 0;
	cache_reset ();
	for (uint64_t prefix = 1; prefix <= CACHE_MAX_PREFIXES; prefix++)
		assert_false (cache_access (prefix));
	json_t *j = cache_events (0, 0);
	json_t *events = json_object_get (j, "events");
	assert_int_equal (json_array_size (events), 8);
	assert_int_equal (json_integer_value (json_object_get (json_array_get (events, 0), "n")),
			  CACHE_MAX_PREFIXES - 256 + 1);
	json_decref (j);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_cache),
		cmocka_unit_test (test_bounds),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
