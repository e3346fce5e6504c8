/* How calls end with correct, truncated, malformed and missing responses. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cs/http.h"
#include "cs_test.h"
#include "support_loop.h"
#include "support_server.h"

enum {
	IDLE_MS = 100
};

static const double endless_s = 0.5; /* longer than the idle timeout */

typedef struct {
	cs_http_call_t call;
	char url[96];
	cs_buf_t body;
	cs_buf_t echo; /* value of X-Echo */
	cs_buf_t type;
	int heads;
	int ends;
	cs_http_end_t end;
	int status;
	bool cancel_in_body;
	struct ev_loop *loop;
} test_call_t;

static void
on_head (cs_http_call_t *c, int status, cs_str_t type)
{
	test_call_t *s = c->data;
	cs_buf_add (&s->type, type);
	s->heads++;
	s->status = status;
}

static void
on_header (cs_http_call_t *c, cs_str_t name, cs_str_t value)
{
	test_call_t *s = c->data;
	if (cs_str_is (name, "X-Echo"))
		cs_buf_add (&s->echo, value);
}

static void
on_body (cs_http_call_t *c, cs_str_t bytes)
{
	test_call_t *s = c->data;
	cs_buf_add (&s->body, bytes);
	if (s->cancel_in_body)
		cs_http_cancel (c);
}

static void
on_end (cs_http_call_t *c, cs_http_end_t end, int status)
{
	test_call_t *s = c->data;
	(void)status;
	s->ends++;
	s->end = end;
	ev_break (s->loop, EVBREAK_ONE);
}

static void
init_call (test_call_t *s, cs_http_t *http, const char *method, const char *base)
{
	memset (s, 0, sizeof *s);
	s->loop = http->loop;
	snprintf (s->url, sizeof s->url, "%s/a/../b?c=d", base);
	s->call = (cs_http_call_t){.method = method,
				   .url = cs_str (s->url),
				   .idle_timeout_ms = IDLE_MS,
				   .on_head = on_head,
				   .on_header = on_header,
				   .on_body = on_body,
				   .on_end = on_end,
				   .data = s};
}

static void
free_call (test_call_t *s)
{
	cs_buf_finish (&s->body);
	cs_buf_finish (&s->echo);
	cs_buf_finish (&s->type);
}

typedef struct {
	struct ev_loop *loop;
	cs_http_t http;
	stub_server_t server;
} fixture_t;

static int
setup (void **state)
{
	fixture_t *b = cs_alloc (sizeof *b);
	b->loop = ev_loop_new (EVFLAG_AUTO);
	stub_server_init (&b->server, b->loop);
	assert_int_equal (cs_http_init (&b->http, b->loop), CS_OK);
	*state = b;
	return 0;
}

static int
teardown (void **state)
{
	fixture_t *b = *state;
	cs_http_finish (&b->http);
	stub_server_finish (&b->server);
	ev_loop_destroy (b->loop);
	free (b);
	return 0;
}

static void
test_ends (void **state)
{
	static const struct {
		const char *method;
		const char *answer;
		bool close;
		cs_http_end_t end;
		int status;
		const char *body;
	} cases[] = {
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, CS_HTTP_DONE, 200,
		 "ab"},
		{"POST", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", false, CS_HTTP_DONE,
		 409, ""},
		{"DELETE", "HTTP/1.1 204 No Content\r\n\r\n", false, CS_HTTP_DONE, 204, ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false, CS_HTTP_DONE, 200,
		 ""},
		{"GET",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
		 "X-T: 1\r\n\r\n",
		 false, CS_HTTP_DONE, 200, "ab"},
		{"GET",
		 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		 false, CS_HTTP_DONE, 200, "a"},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true, CS_HTTP_BROKEN, 200,
		 "ab"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true,
		 CS_HTTP_BROKEN, 200, "ab"},
		{"GET", "HTTP/1.1 200 OK\r\n\r\nab", true, CS_HTTP_BROKEN, 200, "ab"},
		{"POST", "", true, CS_HTTP_BROKEN, 0, ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", true, CS_HTTP_BROKEN, 0, ""},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A", true,
		 CS_HTTP_BROKEN, 0, ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n \r\n", true, CS_HTTP_BROKEN, 0,
		 ""},
		{"GET", "garbage\r\n\r\n", true, CS_HTTP_BROKEN, 0, ""},
		{"POST", NULL, false, CS_HTTP_TIMED_OUT, 0, ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na", false, CS_HTTP_TIMED_OUT,
		 200, "a"},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		test_call_t s;
		b->server.answer = cases[i].answer;
		b->server.close = cases[i].close;
		int before = b->server.requests;
		init_call (&s, &b->http, cases[i].method, b->server.url);
		assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
		ev_run (b->loop, 0);
		assert_int_equal (s.end, cases[i].end);
		assert_int_equal (s.status, cases[i].status);
		assert_int_equal (s.heads, cases[i].status != 0);
		assert_string_equal (s.body.n ? s.body.p : "", cases[i].body);
		assert_int_equal (s.ends, 1);
		assert_int_equal (b->server.requests, before + 1);
		assert_true (cs_str_starts (cs_buf_str (&b->server.last_request), cases[i].method));
		assert_non_null (strstr (b->server.last_request.p, " /a/../b?c=d HTTP/1.1\r\n"));
		free_call (&s);
	}
}

/* With ends_by_close, a response without Content-Length or chunked encoding ends when the
 * connection closes; a truncated response with either is still an error. */
static void
test_ends_by_close (void **state)
{
	static const struct {
		const char *answer;
		cs_http_end_t end;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\n\r\nab", CS_HTTP_DONE},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", CS_HTTP_BROKEN},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		 CS_HTTP_BROKEN},
		{"", CS_HTTP_BROKEN},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		test_call_t s;
		b->server.answer = cases[i].answer;
		b->server.close = true;
		init_call (&s, &b->http, "GET", b->server.url);
		s.call.ends_by_close = true;
		assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
		ev_run (b->loop, 0);
		assert_int_equal (s.end, cases[i].end);
		free_call (&s);
	}
}

/* A Content-Length that is no single number does not say where the body ends, so that none of its
 * bytes is known to complete it. */
static void
test_invalid_length (void **state)
{
	static const struct {
		const char *headers;
		cs_http_end_t end;
	} cases[] = {
		{"Content-Length: 2\r\n", CS_HTTP_DONE},
		{"Content-Length: 2\r\nContent-Length: 2\r\n", CS_HTTP_DONE},
		{"Content-Length: 99999999999999999999\r\n", CS_HTTP_BROKEN},
		{"Content-Length: 9223372036854775808\r\n", CS_HTTP_BROKEN},
		{"Content-Length: -2\r\n", CS_HTTP_BROKEN},
		{"Content-Length: 2x\r\n", CS_HTTP_BROKEN},
		{"Content-Length: 2, 9\r\n", CS_HTTP_BROKEN},
		{"Content-Length: 9\r\nContent-Length: 2\r\n", CS_HTTP_BROKEN},
		{"Content-Length: \r\n", CS_HTTP_BROKEN},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		test_call_t s;
		cs_buf_t answer;
		cs_buf_init (&answer);
		cs_buf_printf (&answer, "HTTP/1.1 200 OK\r\n%s\r\nab", cases[i].headers);
		b->server.answer = answer.p;
		b->server.close = true;
		init_call (&s, &b->http, "GET", b->server.url);
		s.call.ends_by_close = true;
		assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
		ev_run (b->loop, 0);
		print_message ("%send %d\n", cases[i].headers, (int)s.end);
		assert_int_equal (s.end, cases[i].end);
		free_call (&s);
		cs_buf_finish (&answer);
	}
}

/* What libcurl does not read as the header that says where the body ends must not be taken for it
 * either: the body then ends with its connection, wherever that breaks. */
static void
test_headers_that_do_not_delimit (void **state)
{
	static const char *const headers[] = {
		"Content-Length : 9\r\n",
		"Content-Length\t: 9\r\n",
		"Transfer-Encoding : chunked\r\n",
		"X-A: b\r\n Content-Length: 9\r\n",
		"X-A: b\r\n\tTransfer-Encoding: chunked\r\n",
		"Content-Length:\r\n 9\r\n",
		"Transfer-Encoding:\r\n chunked\r\n",
		"X-A: b\r\n X-Echo: folded\r\n",
		"Content-Length: 9\r\n \r\nX-A: b\r\n",
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < 2 * CS_ARRAY_LEN (headers); i++) {
		const char *h = headers[i / 2];
		test_call_t s;
		cs_buf_t answer;
		cs_buf_init (&answer);
		cs_buf_printf (&answer, "HTTP/1.1 200 OK\r\n%s\r\n9\r\nab", h);
		b->server.answer = answer.p;
		b->server.close = true;
		init_call (&s, &b->http, "GET", b->server.url);
		s.call.ends_by_close = i % 2;
		assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
		ev_run (b->loop, 0);
		print_message ("%sends by close %d: end %d\n", h, s.call.ends_by_close, (int)s.end);
		assert_int_equal (s.end, CS_HTTP_BROKEN);
		assert_int_equal (s.echo.n, 0);
		free_call (&s);
		cs_buf_finish (&answer);
	}
}

/* Only the headers of the final response are reported: those of an informational response and
 * trailers say nothing about it. */
static void
test_headers_of_final_response (void **state)
{
	static const struct {
		const char *answer;
		const char *echo;
		const char *type;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nX-Echo: own\r\nContent-Type: a/b\r\nContent-Length: "
		 "0\r\n\r\n",
		 "own", "a/b"},
		{"HTTP/1.1 103 Early Hints\r\nContent-Type: text/event-stream\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		 "", ""},
		{"HTTP/1.1 103 Early Hints\r\nX-Echo: early\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		 "", ""},
		{"HTTP/1.1 100 Continue\r\nX-Echo: early\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nX-Echo: own\r\nContent-Length: 0\r\n\r\n",
		 "own", ""},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
		 "X-Echo: late\r\n\r\n",
		 "", ""},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		test_call_t s;
		b->server.answer = cases[i].answer;
		init_call (&s, &b->http, "GET", b->server.url);
		assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
		ev_run (b->loop, 0);
		assert_int_equal (s.end, CS_HTTP_DONE);
		assert_int_equal (s.status, 200);
		assert_string_equal (s.echo.n ? s.echo.p : "", cases[i].echo);
		assert_string_equal (s.type.n ? s.type.p : "", cases[i].type);
		free_call (&s);
	}
}

/* A head that never ends breaks the call after a bounded number of bytes, whatever it is made
 * of. */
static void
test_head_without_end (void **state)
{
	static const struct {
		const char *name;
		const char *answer;
		const char *endless;
	} cases[] = {
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-A: ", "bbbbbbbb"},
		{"folded header lines", "HTTP/1.1 200 OK\r\nX-A: b\r\n", " b\r\n"},
		{"status line", "HTTP/1.1 200 ", "OKOKOKOK"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		{"no HTTP", "", "garbage"},
		{"bytes behind a change of protocols",
		 "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n", "bytesxyz"},
		{"lines that are no headers", "HTTP/1.1 200 OK\r\n", "garbage\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		 "X-A: b\r\n"},
		{"one trailer",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "bbbbbbbb"},
		{"size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		 "00000000"},
		{"extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		 "bbbbbbbb"},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		test_call_t s;
		b->server.answer = cases[i].answer;
		b->server.endless = cases[i].endless;
		b->server.endless_bytes = 0;
		init_call (&s, &b->http, "GET", b->server.url);
		s.call.ends_by_close = true;
		assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
		loop_run_for (b->loop, endless_s);
		print_message ("%s: %d ends, end %d, %zu bytes sent\n", cases[i].name, s.ends,
			       (int)s.end, b->server.endless_bytes);
		assert_int_equal (s.ends, 1);
		assert_true (s.end == CS_HTTP_BROKEN || s.end == CS_HTTP_TIMED_OUT);
		free_call (&s);
	}
}

static void
test_not_sent (void **state)
{
	fixture_t *b = *state;
	test_call_t s;
	init_call (&s, &b->http, "POST", "http://127.0.0.1:1");
	assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_NOT_SENT);
	free_call (&s);

	init_call (&s, &b->http, "POST", b->server.url);
	s.call.not_after_ms = cs_now_ms () - 1;
	assert_int_equal (cs_http_start (&b->http, &s.call), CS_OK);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_NOT_SENT);
	assert_int_equal (b->server.requests, 0);
	free_call (&s);
}

/* A reused connection closes without a response. The server may have executed the request, so the
 * client must not send it again on a new connection. */
static void
test_no_silent_repeat (void **state)
{
	fixture_t *b = *state;
	test_call_t s;
	b->server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	init_call (&s, &b->http, "POST", b->server.url);
	s.call.body = cs_str ("once");
	cs_http_start (&b->http, &s.call);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_DONE);

	b->server.answer = NULL;
	b->server.close = true;
	cs_http_start (&b->http, &s.call);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_BROKEN);
	assert_int_equal (b->server.requests, 2);
	free_call (&s);
}

/* A call that timed out closes its connection; later calls reuse one unless fresh is set. */
static void
test_connections (void **state)
{
	fixture_t *b = *state;
	test_call_t s;
	init_call (&s, &b->http, "GET", b->server.url);
	cs_http_start (&b->http, &s.call);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_TIMED_OUT);
	b->server.answer = "HTTP/1.1 200 OK\r\nX-Echo: e\r\nContent-Length: 0\r\n\r\n";
	for (int i = 0; i < 3; i++) {
		s.call.needs_new_connection = i == 2;
		cs_http_start (&b->http, &s.call);
		ev_run (b->loop, 0);
		assert_int_equal (s.end, CS_HTTP_DONE);
	}
	assert_int_equal (b->server.connections, 3);
	assert_int_equal (b->server.n_open, 2);
	assert_string_equal (s.echo.p, "eee");
	free_call (&s);
}

/* A request is not sent again on a connection that it has used: a late response to it could not be
 * told from the one that is due. */
static void
test_same_request_on_a_new_connection (void **state)
{
	static const struct {
		uint64_t tag;
		int connections;
	} rows[] = {{1, 1}, {2, 1}, {1, 2}, {0, 2}, {0, 2}, {2, 2}, {2, 3}};
	fixture_t *b = *state;
	test_call_t s;
	b->server.answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
	init_call (&s, &b->http, "GET", b->server.url);
	for (size_t i = 0; i < CS_ARRAY_LEN (rows); i++) {
		s.call.tag = rows[i].tag;
		cs_http_start (&b->http, &s.call);
		ev_run (b->loop, 0);
		assert_int_equal (s.end, CS_HTTP_DONE);
		assert_false (s.call.sent_on.had_tag);
		assert_int_equal (s.call.sent_on.connection, rows[i].connections);
		assert_int_equal (b->server.connections, rows[i].connections);
		assert_int_equal (b->server.requests, i + 1);
	}
	free_call (&s);
}

static void
test_cancel (void **state)
{
	fixture_t *b = *state;
	test_call_t s;
	b->server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab";
	init_call (&s, &b->http, "GET", b->server.url);
	s.cancel_in_body = true;
	cs_http_start (&b->http, &s.call);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_CANCELLED);
	assert_int_equal (s.ends, 1);
	free_call (&s);

	init_call (&s, &b->http, "GET", b->server.url);
	cs_http_start (&b->http, &s.call);
	cs_http_cancel (&s.call);
	assert_int_equal (s.end, CS_HTTP_CANCELLED);
	assert_int_equal (s.ends, 1);
	assert_int_equal (b->http.running, 0);
	free_call (&s);
}

/* A paused call receives no bytes and does not time out; once resumed it receives all of them. */
static void
test_pause (void **state)
{
	fixture_t *b = *state;
	test_call_t s;
	b->server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
	init_call (&s, &b->http, "GET", b->server.url);
	cs_http_start (&b->http, &s.call);
	cs_http_pause (&s.call, true);
	loop_run_for (b->loop, IDLE_MS / 2000.);
	stub_server_send (&b->server, "abcd");
	loop_run_for (b->loop, 2 * IDLE_MS / 1000.);
	assert_int_equal (s.ends, 0);
	assert_int_equal (s.body.n, 0);
	cs_http_pause (&s.call, false);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_DONE);
	assert_string_equal (s.body.p, "abcd");
	free_call (&s);
}

static void
pause_process (stub_server_t *server)
{
	(void)server;
	usleep (2 * IDLE_MS * 1000);
}

/* The response arrives while this process does not run for longer than the idle timeout. */
static void
test_response_during_pause_of_process (void **state)
{
	fixture_t *b = *state;
	test_call_t s;
	b->server.on_request = pause_process;
	b->server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
	init_call (&s, &b->http, "GET", b->server.url);
	cs_http_start (&b->http, &s.call);
	ev_run (b->loop, 0);
	assert_int_equal (s.end, CS_HTTP_DONE);
	assert_string_equal (s.body.p, "ab");
	free_call (&s);
}

/* Sends one piece of the response every 40 ms, so that the line never is silent for the timeout. */
typedef struct {
	ev_timer timer;
	stub_server_t *server;
	const char *const *pieces; /* the last one is NULL: the one before repeats */
} trickle_t;

static void
on_trickle (struct ev_loop *loop, ev_timer *w, int events)
{
	trickle_t *t = w->data;
	(void)loop;
	(void)events;
	if (!t->server->n_open)
		return;
	stub_server_send (t->server, *t->pieces);
	t->pieces += t->pieces[1] != NULL;
}

static void
test_slow_response (void **state)
{
	enum {
		PIECE_MS = 2 * IDLE_MS / 5,
		WAIT_MS = 8 * IDLE_MS
	};
	static const struct {
		const char *name;
		const char *pieces[7];
		int ends;
		cs_http_end_t end;
	} cases[] = {
		{"lines of a head without end",
		 {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", NULL},
		 1,
		 CS_HTTP_TIMED_OUT},
		{"bytes of a line without end",
		 {"HTTP/1.1 200 OK", "x", NULL},
		 1,
		 CS_HTTP_TIMED_OUT},
		{"trailers without end",
		 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", NULL},
		 1,
		 CS_HTTP_TIMED_OUT},
		{"a response that takes longer than the timeout",
		 {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
		  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "ab", "c", "d", NULL},
		 1,
		 CS_HTTP_DONE},
		{"a body that goes on",
		 {"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n", " ", NULL},
		 0,
		 CS_HTTP_DONE},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		trickle_t t = {.server = &b->server, .pieces = cases[i].pieces};
		test_call_t s;
		b->server.answer = NULL;
		init_call (&s, &b->http, "GET", b->server.url);
		s.call.needs_new_connection = true;
		cs_http_start (&b->http, &s.call);
		ev_timer_init (&t.timer, on_trickle, PIECE_MS / 1000., PIECE_MS / 1000.);
		t.timer.data = &t;
		ev_timer_start (b->loop, &t.timer);
		loop_run_for (b->loop, WAIT_MS / 1000.);
		ev_timer_stop (b->loop, &t.timer);
		print_message ("%s: %d ends, %d\n", cases[i].name, s.ends, (int)s.end);
		assert_int_equal (s.ends, cases[i].ends);
		if (!s.ends)
			cs_http_cancel (&s.call);
		else
			assert_int_equal (s.end, cases[i].end);
		stub_server_disconnect_all (&b->server);
		loop_run_for (b->loop, 0.02);
		free_call (&s);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_ends, setup, teardown),
		cmocka_unit_test_setup_teardown (test_ends_by_close, setup, teardown),
		cmocka_unit_test_setup_teardown (test_invalid_length, setup, teardown),
		cmocka_unit_test_setup_teardown (test_headers_that_do_not_delimit, setup, teardown),
		cmocka_unit_test_setup_teardown (test_headers_of_final_response, setup, teardown),
		cmocka_unit_test_setup_teardown (test_head_without_end, setup, teardown),
		cmocka_unit_test_setup_teardown (test_not_sent, setup, teardown),
		cmocka_unit_test_setup_teardown (test_no_silent_repeat, setup, teardown),
		cmocka_unit_test_setup_teardown (test_connections, setup, teardown),
		cmocka_unit_test_setup_teardown (test_same_request_on_a_new_connection, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_cancel, setup, teardown),
		cmocka_unit_test_setup_teardown (test_pause, setup, teardown),
		cmocka_unit_test_setup_teardown (test_slow_response, setup, teardown),
		cmocka_unit_test_setup_teardown (test_response_during_pause_of_process, setup,
						 teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
