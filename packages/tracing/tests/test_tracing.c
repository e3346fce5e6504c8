/* Every ended span is counted as sent or dropped, whether the collector accepts, refuses or does
 * not answer. */
#include <string.h>

#include "cs/counters.h"
#include "cs/settings.h"
#include "cs/trace.h"
#include "cs/tracing.h"
#include "cs_test.h"
#include "support_loop.h"
#include "support_server.h"

enum {
	BATCH_SPANS = 3,
	MAX_WAIT_TENTHS = 100, /* longest wait, in tenths of a second */
	OVERFLOW_SPANS = 5000  /* more spans than the queue holds */
};

#define ANSWER(status) "HTTP/1.1 " status "\r\nContent-Length: 0\r\n\r\n"

static int64_t
counter_value (const char *name)
{
	cs_buf_t out = {0};
	char line[64];
	int64_t value = 0;
	cs_counters_print (&out);
	snprintf (line, sizeof line, "\n%s ", name);
	const char *at = out.n ? strstr (out.p, line) : NULL;
	if (at)
		value = strtoll (at + strlen (line), NULL, 10);
	cs_buf_finish (&out);
	return value;
}

static void
end_spans (int n)
{
	cs_trace_t t;
	cs_attribute_t a = {"team", {"crane-crews", 11}};
	for (int i = 0; i < n; i++) {
		cs_trace_parse (&t, cs_str (""));
		cs_span_export (&t, NULL, "dispatch", 1, 2, &a, 1);
	}
}

static const struct {
	const char *answer; /* NULL: no answer */
	int spans;
	int64_t sent, dropped; /* after the first batch */
} cases[] = {
	{ANSWER ("200 OK"), BATCH_SPANS, BATCH_SPANS, 0},
	{ANSWER ("503 Service Unavailable"), BATCH_SPANS, 0, BATCH_SPANS},
	{NULL, OVERFLOW_SPANS, 0,
	 OVERFLOW_SPANS - 2048}, /* the batch is in flight, not counted yet */
};

/* True once the collector got a batch and the counters show the values that the case expects. */
static bool
is_counted (const stub_server_t *server, int64_t sent, int64_t dropped, size_t i)
{
	return server->requests && counter_value ("cs_spans_sent_total") - sent == cases[i].sent &&
	       counter_value ("cs_spans_dropped_total") - dropped == cases[i].dropped;
}

static void
test_collector (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_kernel_t k;
		cs_settings_t settings = {0};
		stub_server_t server;
		cs_kernel_init (&k, &settings);
		stub_server_init (&server, k.loop);
		server.answer = cases[i].answer;
		settings.trace_url = server.url;
		assert_int_equal (cs_trace_open ("", "cornelspindled", "d1"), CS_OK);
		assert_int_equal (cs_kernel_start (&k), CS_OK);
		assert_non_null (cs_task_find (&k, cs_tracing_plugin.name));
		int64_t sent = counter_value ("cs_spans_sent_total");
		int64_t dropped = counter_value ("cs_spans_dropped_total");
		end_spans (cases[i].spans);
		for (int n = 0; n < MAX_WAIT_TENTHS && !is_counted (&server, sent, dropped, i); n++)
			loop_run_for (k.loop, 0.1);
		assert_int_equal (server.requests, 1);
		assert_int_equal (counter_value ("cs_spans_sent_total") - sent, cases[i].sent);
		assert_int_equal (counter_value ("cs_spans_dropped_total") - dropped,
				  cases[i].dropped);
		assert_non_null (strstr (server.last_request.p, "\"resourceSpans\""));
		assert_non_null (strstr (server.last_request.p, "\"stringValue\":\"d1\""));
		stub_server_finish (&server);
		cs_kernel_finish (&k);
		end_spans (1); /* no exporter is registered */
		cs_trace_close ();
	}
}

static void
test_sampling (void **state)
{
	cs_trace_t t;
	(void)state;
	cs_trace_set_sample_percent (0);
	cs_trace_parse (&t, cs_str (""));
	assert_false (t.sampled);
	cs_trace_parse (&t, cs_str ("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
	assert_true (t.sampled);
	cs_trace_set_sample_percent (100);
	cs_trace_parse (&t, cs_str (""));
	assert_true (t.sampled);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_collector),
		cmocka_unit_test (test_sampling),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
