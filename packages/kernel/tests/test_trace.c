/* Which traceparent headers are accepted and which start a new trace. */
#include <string.h>

#include "cs/trace.h"
#include "cs_test.h"

static void
test_parse (void **state)
{
	static const struct {
		const char *header;
		bool accepted;
	} cases[] = {
		{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true},
		{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00", true},
		{"00-00000000000000000000000000000000-00f067aa0ba902b7-01", false},
		{"00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false},
		{"garbage", false},
		{"", false},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_trace_t t;
		char out[CS_TRACEPARENT_BYTES + 1];
		cs_trace_parse (&t, cs_str (cases[i].header));
		cs_trace_format (&t, out);
		assert_int_equal (!strcmp (out, cases[i].header), cases[i].accepted);
		assert_int_equal (strlen (out), CS_TRACEPARENT_BYTES);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_parse)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
