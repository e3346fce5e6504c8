/* A planned stop leaves no request without an answer: what completes once new requests are refused
 * reaches no back end, and what is unfinished at the exit is told whether it may have run. */
#include <string.h>

#include "cs/stop.h"
#include "cs_test.h"
#include "support_relay.h"

#define HEAD(path) path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n"
#define SAFE HEAD ("GET /safe/a") "\r\n"
#define UNSAFE_HEAD HEAD ("POST /unsafe/a") "Content-Length: 4\r\n\r\n"
#define STREAM HEAD ("GET /stream/a") "\r\n"
#define OWN_HEADERS "X-Id: r1\r\nX-Signature: s\r\n"
#define COMPLETE "HTTP/1.1 200 OK\r\n" OWN_HEADERS "Content-Length: 5\r\n\r\nwhole"
#define STREAM_HEAD "HTTP/1.1 200 OK\r\n" OWN_HEADERS "Content-Type: text/event-stream\r\n\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"
#define LAST_CHUNK "\r\n0\r\n\r\n"

enum {
	GRACE_MS = 8000,
	BEFORE_MS = 100, /* between what is sent before the stop and late */
	/* Of the grace period: new requests are refused, but what was sent before came while they
	 * were still accepted. */
	LATE_MS = CS_STOP_BALANCER_MS + BEFORE_MS / 2
};

typedef struct {
	const char *name;
	const char *before; /* sent before the stop */
	const char *late;   /* sent at LATE_MS of the grace period; NULL: none */
	const char *answer; /* of the back end; NULL: it is silent */
	uint32_t slots;     /* of the only back end; 0: none is listed */
	size_t attempts;    /* that reached the back end */
	const char *status; /* of the answer at the exit */
	const char *text;   /* in it */
	bool is_whole;      /* the answer ends as its framing says */
} case_t;

static const case_t cases[] = {
	{"an unsafe request whose body ends late in the grace period", UNSAFE_HEAD, "body",
	 COMPLETE, 8, 0, " 503 ", "stopping", true},
	{"an unsafe request of which half the body came before", UNSAFE_HEAD "bo", "dy", NULL, 8, 0,
	 " 503 ", "stopping", true},
	{"a head that ends late", HEAD ("GET /safe/a"), "\r\n", COMPLETE, 8, 0, " 503 ", "stopping",
	 true},
	{"an unsafe request that is late", "", UNSAFE_HEAD "body", NULL, 8, 0, " 503 ", "stopping",
	 true},
	{"a stream that is late", "", STREAM, NULL, 8, 0, " 503 ", "stopping", true},
	{"an unsafe request on a kept connection that is late", UNSAFE_HEAD "body",
	 UNSAFE_HEAD "body", COMPLETE, 8, 1, " 503 ", "stopping", true},
	{"an unsafe request that runs until the exit", UNSAFE_HEAD "body", NULL, NULL, 8, 1,
	 " 502 ", "stopping", true},
	{"a safe request that runs until the exit", SAFE, NULL, NULL, 8, 1, " 502 ", "stopping",
	 true},
	{"a stream without an event until the exit", STREAM, NULL, STREAM_HEAD, 8, 1, " 502 ",
	 "stopping", true},
	{"a stream amid its events", STREAM, NULL, STREAM_HEAD EVENT_1, 8, 1, " 200 ", EVENT_1,
	 false},
	{"half of a body until the exit", UNSAFE_HEAD "body", NULL,
	 "HTTP/1.1 200 OK\r\n" OWN_HEADERS "Content-Length: 5\r\n\r\nwh", 8, 1, " 502 ", "stopping",
	 true},
};

static bool
ends_whole (const case_t *t, const cs_buf_t *answer)
{
	size_t n = strlen (LAST_CHUNK);
	if (!strcmp (t->status, " 200 "))
		return answer->n >= n && !memcmp (answer->p + answer->n - n, LAST_CHUNK, n);
	return relay_count (answer, "Content-Length: 8\r\n") == 1; /* that of "stopping" */
}

static void
exit_at_end_of_grace (relay_t *r)
{
	r->forward->stopping_ms = cs_now_ms () - GRACE_MS;
	ev_invoke (r->kernel.loop, &r->forward->tick, EV_TIMER);
	assert_true (r->forward->stopped);
	cs_listener_stop (r->forward);
}

static void
test_stop (void **state)
{
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		const case_t *t = &cases[i];
		const step_t step = {.bytes = t->answer};
		caller_t c;
		relay_setup (state);
		relay_t *r = *state;
		r->host.grace_ms = GRACE_MS;
		relay_list (r, 0, t->slots);
		relay_script (r, &step, 1);
		caller_open (&c, r->kernel.loop, r->port);
		caller_send (&c, cs_str (t->before));
		relay_run_for (r, BEFORE_MS / 1000.);
		if (t->late) {
			r->forward->stopping_ms = cs_now_ms () - LATE_MS;
			caller_send (&c, cs_str (t->late));
			relay_run_for (r, 0.05);
		}
		exit_at_end_of_grace (r);
		caller_wait_closed (&c, r->kernel.loop);
		print_message ("%s: attempts %zu, answer:\n%.*s\n", t->name, r->attempts,
			       CS_STR_ARG (cs_buf_str (&c.answer)));
		assert_int_equal (r->attempts, t->attempts);
		assert_int_equal (relay_count (&c.answer, t->status), 1);
		assert_int_equal (relay_count (&c.answer, t->text), 1);
		assert_int_equal (ends_whole (t, &c.answer), t->is_whole);
		assert_int_equal (r->notes, 0);
		caller_close (&c, r->kernel.loop);
		relay_teardown (state);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_stop)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
