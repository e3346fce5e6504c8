/* Time limits and the retry ratio change in a running daemon; other settings wait for a restart. */
#include <string.h>

#include "cs/host.h"
#include "cs_test.h"

static char one[] = "127.0.0.1:1", two[] = "127.0.0.1:2";

static cs_host_t
make_settings (void)
{
	return (cs_host_t){.name = one,
			   .zone = one,
			   .listen_callers = one,
			   .listen_ready = one,
			   .listen_metrics = one,
			   .listen_internal = one,
			   .store_address = one,
			   .heartbeat_ms = 1200,
			   .grace_ms = 8000,
			   .lease_min_ms = 1000,
			   .retry_ratio = 0.2,
			   .retry_slack = 302,
			   .retry_window_ms = 10000,
			   .max_connections = 100};
}

static void
set_nothing (cs_host_t *h)
{
	(void)h;
}
static void
set_heartbeat (cs_host_t *h)
{
	h->heartbeat_ms = 600;
}
static void
set_grace (cs_host_t *h)
{
	h->grace_ms = 4000;
}
static void
set_lease (cs_host_t *h)
{
	h->lease_min_ms = 1500;
}
static void
set_ratio (cs_host_t *h)
{
	h->retry_ratio = 0.1;
}
static void
set_slack (cs_host_t *h)
{
	h->retry_slack = 120;
}
static void
set_window (cs_host_t *h)
{
	h->retry_window_ms = 5000;
}
static void
set_store (cs_host_t *h)
{
	h->store_address = two;
}
static void
set_callers (cs_host_t *h)
{
	h->listen_callers = two;
}
static void
set_zone (cs_host_t *h)
{
	h->zone = two;
}
static void
set_connections (cs_host_t *h)
{
	h->max_connections = 50;
}

static const struct {
	void (*set) (cs_host_t *h);
	const char *changes;
	bool applied; /* without a restart */
} cases[] = {
	{set_nothing, "", true},
	{set_heartbeat, "heartbeat_ms=1200->600 ", true},
	{set_grace, "grace_ms=8000->4000 ", true},
	{set_lease, "lease_min_ms=1000->1500 ", true},
	{set_ratio, "retry_ratio=0.2->0.1 ", true},
	{set_slack, "retry_slack=302->120 ", true},
	{set_window, "retry_window_ms=10000->5000 ", true},
	{set_store, "store_address=restart ", false},
	{set_callers, "listen_callers=restart ", false},
	{set_zone, "zone=restart ", false},
	{set_connections, "max_connections=restart ", false},
};

static void
test_adopt (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_host_t current = make_settings ();
		cs_host_t next = make_settings ();
		cs_buf_t changes;
		cs_buf_init (&changes);
		cases[i].set (&next);
		bool differs = cs_host_apply_settings (&current, &next, &changes);
		assert_int_equal (differs, *cases[i].changes != 0);
		assert_string_equal (changes.n ? changes.p : "", cases[i].changes);
		/* A setting that was applied does not differ the next time. */
		cs_buf_clear (&changes);
		assert_int_equal (cs_host_apply_settings (&current, &next, &changes),
				  !cases[i].applied);
		cs_buf_finish (&changes);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_adopt)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
