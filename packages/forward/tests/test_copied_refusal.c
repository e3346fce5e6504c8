/* The copy of a refusal, late on its connection, is not taken for the answer to a request that runs
 * there: neither to the one that was refused and came again under its id, nor to another. */
#include <stdio.h>
#include <string.h>

#include "cs_test.h"
#include "support_relay.h"

enum {
	COPY_MS = 30, /* behind the refusal */
	RUN_MS = 200
};

#define REQUEST(id)                                              \
	"POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\n" \
	"X-Key: key\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
#define ANSWER(id)                            \
	"HTTP/1.1 200 OK\r\nX-Id: " id "\r\n" \
	"X-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"
#define REFUSAL(status) \
	"HTTP/1.1 " status "\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define UNNAMED(status) "HTTP/1.1 " status "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define CONTINUE "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct {
	const char *name;
	const char *refusal;
	const char *copy;
	const char *copy_rest; /* sent 10 ms later; NULL: none */
	bool at_once;          /* the copy is sent when the request arrives again */
} copy_case_t;

static const copy_case_t cases[] = {
	{.name = "503", REFUSAL ("503 Unavailable"), REFUSAL ("503 Unavailable")},
	{.name = "429", REFUSAL ("429 Too Many"), REFUSAL ("429 Too Many")},
	{.name = "400", REFUSAL ("400 Bad Request"), REFUSAL ("400 Bad Request")},
	{.name = "421", REFUSAL ("421 Misdirected"), REFUSAL ("421 Misdirected")},
	{.name = "copy without an id", REFUSAL ("503 Unavailable"), UNNAMED ("503 Unavailable")},
	{.name = "copy behind a 1xx",
	 REFUSAL ("503 Unavailable"),
	 CONTINUE REFUSAL ("503 Unavailable")},
	{.name = "copy in two segments",
	 REFUSAL ("503 Unavailable"),
	 "HTTP/1.1 503 Unavailable\r\nX-",
	 "Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{.name = "copy as the first bytes behind the request",
	 REFUSAL ("503 Unavailable"),
	 REFUSAL ("503 Unavailable"),
	 .at_once = true},
};

typedef struct {
	relay_t *relay;
	const copy_case_t *copy_case;
	const char *answer_bytes;
	int refused_on; /* number of the connection */
	int runs_on;
	size_t runs;
	ev_timer copy;
	ev_timer copy_rest;
	ev_timer answer;
} run_t;

static void
on_copy_rest (struct ev_loop *loop, ev_timer *w, int events)
{
	const run_t *t = w->data;
	(void)loop;
	(void)events;
	stub_server_send_on (&t->relay->back_ends[0], t->refused_on, t->copy_case->copy_rest);
}

static void
on_copy (struct ev_loop *loop, ev_timer *w, int events)
{
	run_t *t = w->data;
	(void)events;
	stub_server_send_on (&t->relay->back_ends[0], t->refused_on, t->copy_case->copy);
	if (t->copy_case->copy_rest)
		cs_timer_start_after (loop, &t->copy_rest, 10);
}

static void
on_answer (struct ev_loop *loop, ev_timer *w, int events)
{
	const run_t *t = w->data;
	(void)loop;
	(void)events;
	stub_server_send_on (&t->relay->back_ends[0], t->runs_on, t->answer_bytes);
}

/* Refuses the request the first time, and runs it from then on. */
static void
on_request (stub_server_t *s)
{
	run_t *t = s->data;
	s->answer = NULL;
	if (!t->refused_on) {
		t->refused_on = s->asked;
		s->answer = t->copy_case->refusal;
		if (!t->copy_case->at_once)
			cs_timer_start_after (s->loop, &t->copy, COPY_MS);
		return;
	}
	t->runs++;
	t->runs_on = s->asked;
	cs_timer_start_after (s->loop, &t->answer, RUN_MS);
	if (t->copy_case->at_once)
		on_copy (s->loop, &t->copy, 0);
}

static void
start_timer_data (run_t *t, ev_timer *w, void (*on) (struct ev_loop *, ev_timer *, int))
{
	ev_init (w, on);
	w->data = t;
}

static void
start (run_t *t, const copy_case_t *copy_case, relay_t *r)
{
	*t = (run_t){.relay = r, .copy_case = copy_case, .answer_bytes = ANSWER ("r1")};
	start_timer_data (t, &t->copy, on_copy);
	start_timer_data (t, &t->copy_rest, on_copy_rest);
	start_timer_data (t, &t->answer, on_answer);
	r->back_ends[0].on_request = on_request;
	r->back_ends[0].data = t;
}

static void
stop (run_t *t)
{
	struct ev_loop *loop = t->relay->kernel.loop;
	ev_timer_stop (loop, &t->copy);
	ev_timer_stop (loop, &t->copy_rest);
	ev_timer_stop (loop, &t->answer);
}

/* Returns whether the request ran once and its caller has the answer. */
static bool
held (const run_t *t, const char *name, const caller_t *c)
{
	bool is_answered = strstr (c->answer.p, " 200 ") && strstr (c->answer.p, "whole");
	print_message ("%s: refused on connection %d, ran %zu times, on connection %d: %.20s\n",
		       name, t->refused_on, t->runs, t->runs_on, c->answer.p);
	return t->runs == 1 && is_answered;
}

static void
test_caller_comes_again_under_its_id (void **state)
{
	uint32_t failed = 0;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		run_t t;
		caller_t c;
		relay_setup (state);
		relay_t *r = *state;
		start (&t, &cases[i], r);
		relay_list (r, 0, 8);
		relay_request (r, &c, REQUEST ("r1"));
		assert_non_null (strstr (c.answer.p, " 503 "));
		caller_close (&c, r->kernel.loop);
		relay_request (r, &c, REQUEST ("r1"));
		failed += !held (&t, cases[i].name, &c);
		caller_close (&c, r->kernel.loop);
		stop (&t);
		relay_teardown (state);
	}
	assert_int_equal (failed, 0);
}

static void
test_copy_while_another_request_runs (void **state)
{
	uint32_t failed = 0;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		run_t t;
		caller_t c;
		relay_setup (state);
		relay_t *r = *state;
		start (&t, &cases[i], r);
		t.answer_bytes = ANSWER ("r2");
		relay_list (r, 0, 8);
		relay_request (r, &c, REQUEST ("r1"));
		assert_non_null (strstr (c.answer.p, " 503 "));
		caller_close (&c, r->kernel.loop);
		relay_request (r, &c, REQUEST ("r2"));
		failed += !held (&t, cases[i].name, &c);
		caller_close (&c, r->kernel.loop);
		stop (&t);
		relay_teardown (state);
	}
	assert_int_equal (failed, 0);
}

/* The daemon tries the back end again within one call. */
static void
test_one_address_under_two_ids (void **state)
{
	uint32_t failed = 0;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		run_t t;
		caller_t c;
		relay_setup (state);
		relay_t *r = *state;
		start (&t, &cases[i], r);
		snprintf (r->back_ends[1].url, sizeof r->back_ends[1].url, "%s",
			  r->back_ends[0].url);
		relay_list (r, 0, 8);
		relay_list (r, 1, 8);
		relay_request (r, &c, REQUEST ("r1"));
		failed += !held (&t, cases[i].name, &c);
		caller_close (&c, r->kernel.loop);
		stop (&t);
		relay_teardown (state);
	}
	assert_int_equal (failed, 0);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_caller_comes_again_under_its_id),
		cmocka_unit_test (test_copy_while_another_request_runs),
		cmocka_unit_test (test_one_address_under_two_ids),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
