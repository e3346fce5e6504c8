/* An answer whose head stops at any byte, and whose connection closes there, is no answer: its
 * caller gets neither its status nor an empty body that looks whole. */
#include <stdlib.h>
#include <string.h>

#include "cs_test.h"
#include "support_relay.h"

#define CLOSE "Connection: close\r\n"
#define HEAD(path) path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n" CLOSE
#define UNSAFE HEAD ("POST /unsafe/a") "Content-Length: 4\r\n\r\nbody"
#define STREAM HEAD ("GET /stream/a") "\r\n"
#define STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define OWN_HEADERS "X-Id: r1\r\nX-Signature: s\r\n"

typedef struct {
	const char *name;
	const char *request;
	const char *head;
	const char *body;
	const char *whole; /* in the caller's answer if the head was not cut */
} case_t;

static const case_t cases[] = {
	{"length", UNSAFE, STATUS_LINE "Content-Length: 5\r\n" OWN_HEADERS "\r\n", "whole",
	 "whole"},
	{"length of zero", UNSAFE, STATUS_LINE OWN_HEADERS "Content-Length: 0\r\n\r\n", "",
	 "X-Signature: s"},
	{"chunks", UNSAFE, STATUS_LINE "Transfer-Encoding: chunked\r\n" OWN_HEADERS "\r\n",
	 "5\r\nwhole\r\n0\r\n\r\n", "whole"},
	{"end of the connection", UNSAFE, STATUS_LINE OWN_HEADERS CLOSE "\r\n", "whole", "whole"},
	{"no content", UNSAFE, "HTTP/1.1 204 No Content\r\n" OWN_HEADERS "\r\n", "",
	 "X-Signature: s"},
	{"behind an informational head", UNSAFE,
	 "HTTP/1.1 100 Continue\r\n\r\n" STATUS_LINE OWN_HEADERS CLOSE "\r\n", "whole", "whole"},
	{"lines that end with LF alone", UNSAFE,
	 "HTTP/1.1 200 OK\nX-Id: r1\nX-Signature: s\nConnection: close\n\n", "whole", "whole"},
	{"events until the connection's end", STREAM,
	 STATUS_LINE "Content-Type: text/event-stream\r\n" OWN_HEADERS CLOSE "\r\n",
	 "id: 1\ndata: a\n\n", "data: a"},
	{"events in chunks", STREAM,
	 STATUS_LINE OWN_HEADERS
	 "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
	 "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", "data: a"},
};

/* The first `cut` bytes of the answer, then the end of the connection. */
static void
check_cut (void **state, const case_t *t, size_t cut, bool is_cut)
{
	char *bytes = cs_str_dup (cs_str_n (t->head, cut));
	cs_buf_t answer;
	caller_t c;
	cs_buf_init (&answer);
	cs_buf_addz (&answer, bytes);
	if (!is_cut)
		cs_buf_addz (&answer, t->body);
	const step_t step = {.bytes = answer.n ? answer.p : NULL, .close = true};
	relay_setup (state);
	relay_t *r = *state;
	relay_list (r, 0, 8);
	relay_script (r, &step, 1);
	relay_request (r, &c, t->request);
	if (relay_count (&c.answer, t->whole) != !is_cut ||
	    relay_count (&c.answer, " 502 ") != is_cut)
		fail_msg ("%s, %zu of %zu bytes of the head: %.*s", t->name, cut, strlen (t->head),
			  CS_STR_ARG (cs_buf_str (&c.answer)));
	caller_close (&c, r->kernel.loop);
	relay_teardown (state);
	cs_buf_finish (&answer);
	free (bytes);
}

static void
test_truncated_head (void **state)
{
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		size_t n = strlen (cases[i].head);
		for (size_t cut = 0; cut < n; cut++)
			check_cut (state, &cases[i], cut, true);
		check_cut (state, &cases[i], n, false);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_truncated_head)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
