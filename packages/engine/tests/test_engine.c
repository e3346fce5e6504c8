/* Attempts, polls and orders against a server with canned answers. The tasks "control" and
 * "gateway" are fakes that record the messages they receive. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cs/engine.h"
#include "cs/messages.h"
#include "cs_test.h"
#include "support_server.h"

enum {
	IDLE_TIMEOUT_MS = 100,
	ARRIVAL_MS = 100 /* more than a delayed acknowledgement, on which small segments wait */
};

#define ECHO_7 "X-Cs-Request: 0000000000000007\r\nX-Cs-Group: g\r\nX-Cs-Fence: 9\r\n"
#define EVENTS "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" ECHO_7
#define EVENTS_IN_CAPITALS "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n" ECHO_7
#define FAILED_EVENTS "HTTP/1.1 500 Fault\r\nContent-Type: text/event-stream\r\n" ECHO_7
#define JSON "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" ECHO_7
#define PLAIN_200 "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"
#define PLAIN_EVENTS "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TOKEN_1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define TOKEN_2 "f\r\nid: 2\ndata: b\n\n\r\n"
#define TOKEN_1_ROLE "1b\r\nid: 1\ndata: a\n\ndata: role\n\n\r\n"
#define COMMENT "5\r\n: c\n\n\r\n"
#define ROLE "c\r\ndata: role\n\n\r\n"
#define PARTIAL_TOKEN_2 "7\r\nid: 2\nd\r\n"
#define DONE "e\r\ndata: [DONE]\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define NOT_MODIFIED "HTTP/1.1 304 Not Modified\r\n\r\n"
#define REPORT_WITH_ETAG                                                                       \
	"HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 72\r\n\r\n{\"vm\":\"a\",\"state\":" \
	"\"ready\",\"group\":\"g\",\"fence\":6,\"model\":\"m\",\"running\":2}"
#define TEXT_COMMENT ": c\n\n"
#define TEXT_ROLE "data: role\n\n"
#define TEXT_1 "id: 1\ndata: a\n\n"
#define TEXT_2 "id: 2\ndata: b\n\n"
#define TEXT_DONE "data: [DONE]\n\n"

static struct {
	int heads;
	int status;
	cs_buf_t bytes;
	int ends;
	cs_msg_t *last; /* last message to "control"; holds a reference */
	cs_kernel_t *kernel;
} received;

static cs_status_t
fake_init (cs_task_t *task)
{
	(void)task;
	return CS_OK;
}

static void
fake_finish (cs_task_t *task)
{
	(void)task;
}

static void
gateway_receive (cs_task_t *task, cs_msg_t *m)
{
	cs_answer_msg_t *a = (cs_answer_msg_t *)m;
	(void)task;
	if (m->kind == CS_MSG_HEAD) {
		received.heads++;
		received.status = a->status;
	} else if (m->kind == CS_MSG_BODY) {
		cs_buf_add (&received.bytes, cs_buf_str (&a->bytes));
	} else if (m->kind == CS_MSG_END) {
		received.ends += a->complete;
	}
}

static void
control_receive (cs_task_t *task, cs_msg_t *m)
{
	cs_ref_get (&m->ref);
	received.last = m;
	cs_kernel_stop (task->kernel);
}

static cs_plugin_t fakes[] = {
	{"control", 1, fake_init, NULL, control_receive, fake_finish, CS_PROFILE_NATIVE, NULL},
	{"gateway", 1, fake_init, NULL, gateway_receive, fake_finish, CS_PROFILE_NATIVE, NULL},
};

typedef struct {
	cs_kernel_t kernel;
	stub_server_t server;
	cs_request_t request;
} fixture_t;

static void
keep_request (cs_ref_t *ref)
{
	(void)ref;
}

static int
setup (void **state)
{
	fixture_t *b = cs_alloc (sizeof *b);
	cs_kernel_init (&b->kernel, NULL);
	assert_int_equal (cs_kernel_start (&b->kernel), CS_OK);
	stub_server_init (&b->server, b->kernel.loop);
	cs_ref_init (&b->request.ref, keep_request);
	b->request.id = 7;
	b->request.method = cs_str ("PUT");
	b->request.path = cs_str ("/x?y=1");
	b->request.body = cs_str ("{}");
	b->request.key = cs_str ("k-1");
	memset (&received, 0, sizeof received);
	*state = b;
	return 0;
}

static int
teardown (void **state)
{
	fixture_t *b = *state;
	stub_server_finish (&b->server);
	cs_kernel_finish (&b->kernel);
	cs_buf_finish (&received.bytes);
	free (b);
	return 0;
}

static void
reset_received (void)
{
	if (received.last)
		cs_ref_put (&received.last->ref);
	cs_buf_finish (&received.bytes);
	memset (&received, 0, sizeof received);
}

/* Sends the message to the engine, then returns the next message that "control" receives. The
 * pointer is valid until reset_received(). */
static void *
send_and_wait (fixture_t *b, cs_msg_t *m)
{
	reset_received ();
	cs_send (NULL, cs_task_find (&b->kernel, "engine"), m);
	cs_kernel_run (&b->kernel);
	return received.last;
}

static cs_dispatch_msg_t *
new_dispatch (fixture_t *b, bool model, bool buffer, uint32_t resume_from)
{
	cs_dispatch_msg_t *m = cs_dispatch_msg (&b->request);
	m->attempt = 1;
	m->url = cs_str_dup (cs_str (b->server.url));
	m->group = cs_str_dup (cs_str (model ? "g" : ""));
	m->fence = 9;
	m->is_model_group = model;
	m->buffer = buffer;
	m->idle_timeout_ms = IDLE_TIMEOUT_MS;
	m->resume_from = resume_from;
	m->urgency = 2;
	m->prefix = 0xab;
	return m;
}

typedef struct {
	const char *answer;
	bool close;
	uint32_t resume_from;
	cs_attempt_result_t result;
	int heads;
	int status; /* of ATTEMPT_END */
	const char *bytes;
	int ends;
	uint32_t tokens;
	bool reached_caller;
} attempt_case_t;

static void
check_attempt (fixture_t *b, bool model, const attempt_case_t *c)
{
	b->server.answer = c->answer;
	b->server.close = c->close;
	cs_attempt_end_msg_t *m =
		send_and_wait (b, &new_dispatch (b, model, false, c->resume_from)->msg);
	assert_int_equal (m->msg.kind, CS_MSG_ATTEMPT_END);
	assert_int_equal (m->result, c->result);
	assert_int_equal (m->status, c->status);
	assert_int_equal (m->tokens, c->tokens);
	assert_int_equal (m->reached_caller, c->reached_caller);
	assert_int_equal (received.heads, c->heads);
	assert_string_equal (received.bytes.n ? received.bytes.p : "", c->bytes);
	assert_int_equal (received.ends, c->ends);
	reset_received ();
}

static const attempt_case_t model_cases[] = {
	{EVENTS CHUNKED TOKEN_1 TOKEN_2 DONE LAST_CHUNK, false, 0, CS_END_OK, 1, 200,
	 TEXT_1 TEXT_2 TEXT_DONE, 1, 2, true},
	{EVENTS CHUNKED TOKEN_1 DONE, true, 0, CS_END_OK, 1, 200, TEXT_1 TEXT_DONE, 1, 1, true},
	{EVENTS CHUNKED TOKEN_1 TOKEN_2 LAST_CHUNK, false, 0, CS_END_BROKEN, 1, 200, TEXT_1 TEXT_2,
	 0, 2, true},
	{EVENTS CHUNKED TOKEN_1 PARTIAL_TOKEN_2, true, 0, CS_END_BROKEN, 1, 200, TEXT_1, 0, 1,
	 true},
	{EVENTS_IN_CAPITALS CHUNKED TOKEN_1 LAST_CHUNK, false, 0, CS_END_BROKEN, 1, 200, TEXT_1, 0,
	 1, true},
	{EVENTS CHUNKED TOKEN_1 PARTIAL_TOKEN_2, false, 0, CS_END_TIMED_OUT, 1, 200, TEXT_1, 0, 1,
	 true},
	{EVENTS CHUNKED, true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	/* Without a token there is no position to resume at: nothing reaches the caller. */
	{EVENTS CHUNKED ROLE, true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	{EVENTS CHUNKED ROLE, false, 0, CS_END_TIMED_OUT, 0, 200, "", 0, 0, false},
	{EVENTS CHUNKED ROLE TOKEN_1 DONE LAST_CHUNK, false, 0, CS_END_OK, 1, 200,
	 TEXT_ROLE TEXT_1 TEXT_DONE, 1, 1, true},
	{EVENTS CHUNKED ROLE TOKEN_1 PARTIAL_TOKEN_2, true, 0, CS_END_BROKEN, 1, 200,
	 TEXT_ROLE TEXT_1, 0, 1, true},
	{EVENTS CHUNKED ROLE DONE LAST_CHUNK, false, 0, CS_END_OK, 1, 200, TEXT_ROLE TEXT_DONE, 1,
	 0, true},
	/* Behind a token, too, the caller gets nothing that would come again on resumption.
	 */
	{EVENTS CHUNKED TOKEN_1 ROLE, true, 0, CS_END_BROKEN, 1, 200, TEXT_1, 0, 1, true},
	{EVENTS CHUNKED TOKEN_1_ROLE, true, 0, CS_END_BROKEN, 1, 200, TEXT_1, 0, 1, true},
	{EVENTS CHUNKED TOKEN_1 ROLE TOKEN_2 DONE LAST_CHUNK, false, 0, CS_END_OK, 1, 200,
	 TEXT_1 TEXT_ROLE TEXT_2 TEXT_DONE, 1, 2, true},
	{EVENTS CHUNKED TOKEN_1 ROLE DONE LAST_CHUNK, false, 0, CS_END_OK, 1, 200,
	 TEXT_1 TEXT_ROLE TEXT_DONE, 1, 1, true},
	{EVENTS CHUNKED TOKEN_1 COMMENT, true, 0, CS_END_BROKEN, 1, 200, TEXT_1 TEXT_COMMENT, 0, 1,
	 true},
	{EVENTS CHUNKED COMMENT, true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	{EVENTS CHUNKED ROLE, true, 1, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	{EVENTS CHUNKED ROLE TOKEN_2 DONE LAST_CHUNK, false, 1, CS_END_OK, 0, 200,
	 TEXT_ROLE TEXT_2 TEXT_DONE, 1, 1, true},
	{EVENTS CHUNKED TOKEN_2 DONE LAST_CHUNK, false, 1, CS_END_OK, 0, 200, TEXT_2 TEXT_DONE, 1,
	 1, true},
	{EVENTS CHUNKED TOKEN_1 TOKEN_2 DONE LAST_CHUNK, false, 1, CS_END_BROKEN, 0, 200, "", 0, 0,
	 false},
	{JSON "Content-Length: 2\r\n\r\n{}", false, 1, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	{JSON "Content-Length: 2\r\n\r\n{}", false, 0, CS_END_OK, 1, 200, "{}", 1, 0, true},
	{JSON "Content-Length: 3\r\n\r\n{}", true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	{JSON "\r\n{}", true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
	/* The events of a failure cannot be continued: they are an answer as a whole. */
	{FAILED_EVENTS CHUNKED TOKEN_1, true, 0, CS_END_BROKEN, 0, 500, "", 0, 0, false},
	{FAILED_EVENTS CHUNKED ROLE LAST_CHUNK, false, 0, CS_END_OK, 1, 500, TEXT_ROLE, 1, 0, true},
	/* What is no event stream with status 200 continues no answer. */
	{FAILED_EVENTS CHUNKED TOKEN_2 DONE LAST_CHUNK, false, 1, CS_END_BROKEN, 0, 500, "", 0, 0,
	 false},
	{"HTTP/1.1 500 Fault\r\n" ECHO_7 "Content-Length: 1\r\n\r\nx", false, 1, CS_END_BROKEN, 0,
	 500, "", 0, 0, false},
	{"HTTP/1.1 204 None\r\n" ECHO_7 "\r\n", false, 1, CS_END_BROKEN, 0, 204, "", 0, 0, false},
	/* On a new connection a refusal need not name the request. */
	{"HTTP/1.1 503 Not ready\r\nContent-Length: 1\r\n\r\nx", true, 1, CS_END_REFUSED, 0, 503,
	 "", 0, 0, false},
	{"HTTP/1.1 409 Conflict\r\nContent-Type: text/event-stream\r\n" CHUNKED TOKEN_2 DONE, true,
	 1, CS_END_REFUSED, 0, 409, "", 0, 0, false},
	{EVENTS CHUNKED DONE, false, 1, CS_END_OK, 0, 200, TEXT_DONE, 1, 0, true},
	{EVENTS "\r\nid: 2\ndata: b\n\n", true, 1, CS_END_BROKEN, 0, 200, TEXT_2, 0, 1, true},
	{"", true, 1, CS_END_BROKEN, 0, 0, "", 0, 0, false},
	/* The head is cut off behind one of its lines. */
	{JSON "Content-Length: 0\r\n", true, 0, CS_END_BROKEN, 0, 0, "", 0, 0, false},
	{"HTTP/1.1 400 Bad\r\n" ECHO_7 "Content-Length: 1\r\n\r\nx", false, 0, CS_END_OK, 1, 400,
	 "x", 1, 0, true},
	{"HTTP/1.1 409 Conflict\r\nX-Cs-Request: 0000000000000007\r\nX-Cs-Fence: 10\r\n"
	 "Content-Length: 1\r\n\r\nx",
	 false, 0, CS_END_REFUSED, 0, 409, "", 0, 0, false},
	/* On a connection used before it may be that of an earlier request, sent again. */
	{"HTTP/1.1 503 Not ready\r\nContent-Length: 0\r\n\r\n", false, 0, CS_END_WRONG_GROUP, 0,
	 503, "", 0, 0, false},
	{"HTTP/1.1 503 Not ready\r\nContent-Length: 0\r\n\r\n", false, 0, CS_END_REFUSED, 0, 503,
	 "", 0, 0, false},
	{"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", false, 0, CS_END_WRONG_GROUP, 0, 409,
	 "", 0, 0, false},
	{"HTTP/1.1 503 Not ready\r\nContent-Length: 0\r\n\r\n", false, 0, CS_END_REFUSED, 0, 503,
	 "", 0, 0, false},
	{"HTTP/1.1 503 Not ready\r\n" ECHO_7 "Content-Length: 0\r\n\r\n", false, 0, CS_END_REFUSED,
	 0, 503, "", 0, 0, false},
	{"HTTP/1.1 409 Conflict\r\nX-Cs-Request: 8\r\nContent-Length: 0\r\n\r\n", false, 0,
	 CS_END_WRONG_GROUP, 0, 409, "", 0, 0, false},
	/* An answer that names this request and another. */
	{"HTTP/1.1 200 OK\r\nX-Cs-Request: 0000000000000008\r\n" ECHO_7
	 "Content-Length: 2\r\n\r\n{}",
	 false, 0, CS_END_WRONG_GROUP, 0, 200, "", 0, 0, false},
	{"HTTP/1.1 409 Conflict\r\nX-Cs-Request: 0000000000000008\r\n" ECHO_7
	 "Content-Length: 0\r\n\r\n",
	 false, 0, CS_END_WRONG_GROUP, 0, 409, "", 0, 0, false},
	{"HTTP/1.1 200 OK\r\nX-Cs-Group: h\r\n" ECHO_7 "Content-Length: 2\r\n\r\n{}", false, 0,
	 CS_END_WRONG_GROUP, 0, 200, "", 0, 0, false},
	{"HTTP/1.1 200 OK\r\nX-Cs-Fence: 8\r\n" ECHO_7 "Content-Length: 2\r\n\r\n{}", false, 0,
	 CS_END_WRONG_GROUP, 0, 200, "", 0, 0, false},
	{"HTTP/1.1 200 OK\r\nX-Cs-Request: 0000000000000008\r\nX-Cs-Group: g\r\n"
	 "X-Cs-Fence: 9\r\nContent-Length: 2\r\n\r\n{}",
	 false, 0, CS_END_WRONG_GROUP, 0, 200, "", 0, 0, false},
	{"HTTP/1.1 200 OK\r\nX-Cs-Request: 0000000000000007\r\nX-Cs-Group: g\r\n"
	 "X-Cs-Fence: 8\r\nContent-Length: 2\r\n\r\n{}",
	 false, 0, CS_END_WRONG_GROUP, 0, 200, "", 0, 0, false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, 0, CS_END_WRONG_GROUP, 0, 200, "",
	 0, 0, false},
	{"", true, 0, CS_END_BROKEN, 0, 0, "", 0, 0, false},
	{NULL, false, 0, CS_END_TIMED_OUT, 0, 0, "", 0, 0, false},
};

static void
test_model_attempts (void **state)
{
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (model_cases); i++)
		check_attempt (b, true, &model_cases[i]);
	assert_non_null (
		strstr (b->server.last_request.p, "POST /v1/chat/completions HTTP/1.1\r\n"));
	assert_non_null (
		strstr (b->server.last_request.p, "\r\nX-Cs-Group: g\r\nX-Cs-Fence: 9\r\n"));
	assert_non_null (
		strstr (b->server.last_request.p, "\r\nX-Cs-Prefix: 00000000000000ab\r\n"));
	assert_non_null (strstr (b->server.last_request.p, "\r\ntraceparent: 00-"));
	assert_non_null (strstr (b->server.last_request.p, "\r\nPriority: u=2"));
	assert_null (strstr (b->server.last_request.p, "X-Request-Timeout-Ms"));
	b->request.deadline_ms = cs_now_ms () + 60000;
	check_attempt (b, true, &model_cases[0]);
	b->request.deadline_ms = 0;
	assert_non_null (strstr (b->server.last_request.p, "\r\nX-Request-Timeout-Ms: "));
}

static void
test_plain_attempts (void **state)
{
	static const attempt_case_t cases[] = {
		{"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", false, 0, CS_END_OK, 1, 201,
		 "ok", 1, 0, true},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, 0, CS_END_OK, 1, 503, "",
		 1, 0, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", true, 0, CS_END_BROKEN, 0, 200,
		 "", 0, 0, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", true, 0, CS_END_BROKEN, 0, 0, "", 0, 0,
		 false},
		/* A part of a stream reaches the caller, but no end. */
		{PLAIN_EVENTS CHUNKED TOKEN_1 LAST_CHUNK, false, 0, CS_END_OK, 1, 200, TEXT_1, 1, 0,
		 true},
		{PLAIN_EVENTS CHUNKED TOKEN_1, true, 0, CS_END_BROKEN, 1, 200, TEXT_1, 0, 0, true},
		{PLAIN_EVENTS CHUNKED TOKEN_1, false, 0, CS_END_TIMED_OUT, 1, 200, TEXT_1, 0, 0,
		 true},
		{PLAIN_EVENTS "\r\n" TEXT_1, true, 0, CS_END_BROKEN, 1, 200, TEXT_1, 0, 0, true},
		{PLAIN_200 "\r\nok", true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
		{PLAIN_200 CHUNKED "2\r\nok\r\n", true, 0, CS_END_BROKEN, 0, 200, "", 0, 0, false},
		{"HTTP/1.1 204 None\r\n\r\n", false, 0, CS_END_OK, 1, 204, "", 1, 0, true},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++)
		check_attempt (b, false, &cases[i]);
	assert_non_null (strstr (b->server.last_request.p, "PUT /x?y=1 HTTP/1.1\r\n"));
	assert_non_null (strstr (b->server.last_request.p, "\r\nIdempotency-Key: k-1\r\n"));
	assert_null (strstr (b->server.last_request.p, "X-Cs-Group"));
}

/* A head that stops at any byte with its connection is no answer, whatever it says of the body. */
static void
test_truncated_heads (void **state)
{
	static const struct {
		bool model;
		const char *head;
	} cases[] = {
		{true, EVENTS CHUNKED},
		{true, EVENTS "\r\n"},
		{true, JSON "Content-Length: 0\r\n\r\n"},
		{true, "HTTP/1.1 503 Not ready\r\nContent-Length: 0\r\n\r\n"},
		{false, PLAIN_200 "Content-Length: 0\r\n\r\n"},
		{false, PLAIN_200 CHUNKED},
		{false, "HTTP/1.1 204 None\r\n\r\n"},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++)
		for (size_t cut = 0; cut < strlen (cases[i].head); cut++) {
			char *head = cs_str_dup (cs_str_n (cases[i].head, cut));
			const attempt_case_t c = {.answer = head,
						  .close = true,
						  .result = CS_END_BROKEN,
						  .bytes = ""};
			check_attempt (*state, cases[i].model, &c);
			free (head);
		}
}

/* Answers of protected requests. What ends as CS_END_OK is kept as the outcome. */
static void
test_buffered (void **state)
{
	static const struct {
		bool model;
		const char *answer;
		bool close;
		cs_attempt_result_t result;
		int status;
		const char *type;
		const char *body;
	} cases[] = {
		{false, PLAIN_200 "Content-Length: 2\r\n\r\nok", false, CS_END_OK, 200, "a/b",
		 "ok"},
		{false, PLAIN_200 "Content-Length: 3\r\n\r\nok", true, CS_END_BROKEN, 200, "a/b",
		 ""},
		{false, PLAIN_200 "\r\nok", true, CS_END_BROKEN, 200, "a/b", ""},
		{false, PLAIN_200 CHUNKED "2\r\nok\r\n", true, CS_END_BROKEN, 200, "a/b", ""},
		{false, PLAIN_200 "Content-Length: 0\r\n", true, CS_END_BROKEN, 0, "", ""},
		{true, JSON "Content-Length: 2\r\n\r\n{}", false, CS_END_OK, 200,
		 "application/json", "{}"},
		/* A stream of a model group is whole by its last event, not by its framing. */
		{true, EVENTS CHUNKED TOKEN_1 DONE LAST_CHUNK, false, CS_END_OK, 200,
		 "text/event-stream", TEXT_1 TEXT_DONE},
		{true, EVENTS CHUNKED TOKEN_1 LAST_CHUNK, false, CS_END_BROKEN, 200,
		 "text/event-stream", ""},
		{true, EVENTS CHUNKED TOKEN_2 DONE LAST_CHUNK, false, CS_END_BROKEN, 200,
		 "text/event-stream", ""},
		{true, EVENTS_IN_CAPITALS CHUNKED TOKEN_1 LAST_CHUNK, false, CS_END_BROKEN, 200,
		 "Text/Event-Stream", ""},
		{true, FAILED_EVENTS CHUNKED ROLE LAST_CHUNK, false, CS_END_OK, 500,
		 "text/event-stream", TEXT_ROLE},
		{true, EVENTS "Content-Length: 0\r\n\r\n", false, CS_END_BROKEN, 200,
		 "text/event-stream", ""},
		{false, PLAIN_EVENTS CHUNKED TOKEN_1 LAST_CHUNK, false, CS_END_OK, 200,
		 "text/event-stream", TEXT_1},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		b->server.answer = cases[i].answer;
		b->server.close = cases[i].close;
		cs_attempt_end_msg_t *m =
			send_and_wait (b, &new_dispatch (b, cases[i].model, true, 0)->msg);
		assert_int_equal (m->result, cases[i].result);
		assert_int_equal (m->status, cases[i].status);
		assert_string_equal (m->content_type ? m->content_type : "", cases[i].type);
		assert_string_equal (m->body.n ? m->body.p : "", cases[i].body);
		assert_int_equal (received.heads + received.ends, 0);
	}
	reset_received ();
}

/* What a back end sends while no request is in progress is no answer to the next one. Answers of
 * plain services name no request, so that nothing else would tell. */
static void
test_answer_before_the_request (void **state)
{
	static const char *const before[] = {
		PLAIN_200 "Content-Length: 5\r\n\r\nother",
		"HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n",
		"other",
		"\r\n",
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < 2 * CS_ARRAY_LEN (before); i++) {
		bool buffer = i % 2;
		b->server.answer = PLAIN_200 "Content-Length: 2\r\n\r\nok";
		for (int k = 0; k < 2; k++) {
			cs_attempt_end_msg_t *m =
				send_and_wait (b, &new_dispatch (b, false, buffer, 0)->msg);
			const cs_buf_t *body = buffer ? &m->body : &received.bytes;
			print_message ("%s: result %d, body %s\n", before[i / 2], (int)m->result,
				       body->n ? body->p : "");
			assert_int_equal (m->result, CS_END_OK);
			assert_string_equal (body->p, "ok");
			if (!k)
				stub_server_send (&b->server, before[i / 2]);
			usleep (ARRIVAL_MS * 1000);
			ev_now_update (b->kernel.loop);
		}
		assert_int_equal (b->server.requests, 2 * ((int)i + 1));
	}
	reset_received ();
}

static void
test_not_sent_and_cancel (void **state)
{
	fixture_t *b = *state;
	cs_dispatch_msg_t *d = new_dispatch (b, true, false, 0);
	free (d->url);
	d->url = cs_str_dup (cs_str ("http://127.0.0.1:1"));
	cs_attempt_end_msg_t *m = send_and_wait (b, &d->msg);
	assert_int_equal (m->result, CS_END_NOT_SENT);

	cs_send (NULL, cs_task_find (&b->kernel, "engine"), &new_dispatch (b, true, false, 0)->msg);
	m = send_and_wait (b, &cs_request_msg (CS_MSG_CANCEL, &b->request)->msg);
	assert_int_equal (m->result, CS_END_CANCELLED);
	reset_received ();
}

static void
test_polls (void **state)
{
	static const struct {
		const char *answer;
		cs_vm_state_t state;
		uint64_t fence;
		bool sends_etag;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 74\r\n\r\n{\"vm\":\"a\",\"state\":\"ready\","
		 "\"group\":\"g\",\"fence\":5,\"model\":\"m\",\"running\":2}  ",
		 CS_VM_READY, 5, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"vm\":\"a\",\"state\":\"idle\"}  ",
		 CS_VM_IDLE, 0, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"vm\":\"b\",\"state\":\"idle\"}  ",
		 CS_VM_UNREACHABLE, 0, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]", CS_VM_UNREACHABLE, 0, false},
		{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", CS_VM_UNREACHABLE, 0, false},
		/* A 304 without a cached report. */
		{NOT_MODIFIED, CS_VM_UNREACHABLE, 0, false},
		/* An engine with entity tags: the cached report is valid until another answer. */
		{REPORT_WITH_ETAG, CS_VM_READY, 6, false},
		{NOT_MODIFIED, CS_VM_READY, 6, true},
		{NOT_MODIFIED, CS_VM_READY, 6, true},
		{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", CS_VM_UNREACHABLE, 0, true},
		{NOT_MODIFIED, CS_VM_UNREACHABLE, 0, false},
		/* The engine stops sending entity tags. */
		{REPORT_WITH_ETAG, CS_VM_READY, 6, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"vm\":\"a\",\"state\":\"idle\"}  ",
		 CS_VM_IDLE, 0, true},
		{NOT_MODIFIED, CS_VM_UNREACHABLE, 0, false},
		/* The report of another VM is rejected and not cached. */
		{"HTTP/1.1 200 OK\r\nETag: \"2\"\r\nContent-Length: 26\r\n\r\n"
		 "{\"vm\":\"b\",\"state\":\"idle\"}  ",
		 CS_VM_UNREACHABLE, 0, false},
		{NOT_MODIFIED, CS_VM_UNREACHABLE, 0, false},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		b->server.answer = cases[i].answer;
		int before = b->server.requests;
		cs_send (NULL, cs_task_find (&b->kernel, "engine"),
			 &cs_poll_msg ("a", b->server.url)->msg);
		cs_report_msg_t *m = send_and_wait (b, &cs_poll_msg ("a", b->server.url)->msg);
		assert_int_equal (m->msg.kind, CS_MSG_VM_REPORT);
		assert_int_equal (m->state, cases[i].state);
		assert_int_equal (m->fence, cases[i].fence);
		assert_int_equal (strstr (b->server.last_request.p, "If-None-Match: \"") != NULL,
				  cases[i].sends_etag);
		assert_int_equal (b->server.requests, before + 1);
	}
	cs_poll_msg_t *p = cs_poll_msg ("a", b->server.url);
	p->wants_cache = true;
	p->cache_after = 12;
	p->cache_epoch = 4;
	b->server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n"
			   "{\"vm\":\"a\",\"state\":\"idle\",\"cache\":{\"epoch\":9}}";
	cs_report_msg_t *m = send_and_wait (b, &p->msg);
	assert_int_equal (m->state, CS_VM_IDLE);
	assert_int_equal (m->cache_epoch, 9);
	assert_non_null (strstr (b->server.last_request.p,
				 "GET /v1/report?cache_after=12&cache_epoch=4 HTTP/1.1"));
	reset_received ();
}

static void
test_orders (void **state)
{
	static const struct {
		const char *answer;
		bool close;
		bool accepted, refused, lost;
	} cases[] = {
		{"HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n", false, true, false, false},
		{"HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n", false, false, true, false},
		{"HTTP/1.1 410 Late\r\nContent-Length: 0\r\n\r\n", false, false, false, false},
		{"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n", false, false, false, true},
		{"", true, false, false, true},
		{"HTTP/1.1 202 OK\r\nContent-Length: 0\r\n", true, false, false, true},
	};
	fixture_t *b = *state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		b->server.answer = cases[i].answer;
		b->server.close = cases[i].close;
		cs_order_msg_t *o = cs_order_msg ("a", b->server.url);
		o->members = cs_str_dup (cs_str ("http://1,http://2"));
		o->fence = 4;
		o->lifetime_ms = 3000;
		cs_order_result_msg_t *m = send_and_wait (b, &o->msg);
		assert_int_equal (m->msg.kind, CS_MSG_ORDER_RESULT);
		assert_int_equal (m->accepted, cases[i].accepted);
		assert_int_equal (m->is_fence_too_low, cases[i].refused);
		assert_int_equal (m->is_outcome_unknown, cases[i].lost);
	}
	assert_non_null (
		strstr (b->server.last_request.p, "\"members\":[\"http://1\",\"http://2\"]"));
	assert_non_null (strstr (b->server.last_request.p, "\"deadline_ms\":2500"));
	reset_received ();
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_model_attempts, setup, teardown),
		cmocka_unit_test_setup_teardown (test_plain_attempts, setup, teardown),
		cmocka_unit_test_setup_teardown (test_truncated_heads, setup, teardown),
		cmocka_unit_test_setup_teardown (test_buffered, setup, teardown),
		cmocka_unit_test_setup_teardown (test_answer_before_the_request, setup, teardown),
		cmocka_unit_test_setup_teardown (test_not_sent_and_cancel, setup, teardown),
		cmocka_unit_test_setup_teardown (test_polls, setup, teardown),
		cmocka_unit_test_setup_teardown (test_orders, setup, teardown),
	};
	cs_plugin_register (&fakes[0]);
	cs_plugin_register (&fakes[1]);
	assert_non_null (cs_engine_plugin.name);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
