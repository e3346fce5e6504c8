/* Chat completions of the head member: deterministic text, token by token. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"
#include "cs/hash.h"

enum {
	DEFAULT_MAX_TOKENS = 16,
	HIT_SHARE = 6,       /* a prompt whose prefix is held takes a sixth of the time */
	BYTES_PER_TOKEN = 4, /* of a prompt */
	TEXT_BYTES = 128
};

/* One request at work; freed by job_free. */
typedef struct {
	server_request_t *request;
	assignment_t assignment;
	char id[TEXT_BYTES];
	uint64_t echo; /* hash of the last user message */
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	uint64_t done; /* tokens generated, those skipped by a resumption included */
	ran_id_t ran;
	cs_buf_t out; /* bytes to be sent */
	bool ended;
} job_t;

static void
job_free (void *data)
{
	job_t *j = data;
	engine_leave ();
	cs_buf_finish (&j->out);
	free (j);
}

static uint64_t
header_u64 (server_request_t *r, const char *name)
{
	uint64_t v;
	return cs_str_u64 (cs_str (server_header (r, name)), &v) ? v : 0;
}

/* The content of the last message of the user. */
static const char *
last_user_message (const json_t *body)
{
	size_t i;
	json_t *m;
	const char *last = "";
	json_array_foreach (json_object_get (body, "messages"), i, m) {
		const char *role = json_string_value (json_object_get (m, "role"));
		const char *text = json_string_value (json_object_get (m, "content"));
		if (role && text && !strcmp (role, "user"))
			last = text;
	}
	return last;
}

/* Text of token n, from 1; the first one tells answers apart. */
static void
token_text (const job_t *j, uint64_t n, char out[TEXT_BYTES])
{
	if (n == 1)
		snprintf (out, TEXT_BYTES, "echo-%016llx", (unsigned long long)j->echo);
	else
		snprintf (out, TEXT_BYTES, " tok%llu", (unsigned long long)n);
}

static json_t *
usage_json (const job_t *j)
{
	return json_pack ("{s:I, s:I, s:I}", "prompt_tokens", (json_int_t)j->prompt_tokens,
			  "completion_tokens", (json_int_t)j->done, "total_tokens",
			  (json_int_t)j->prompt_tokens + (json_int_t)j->done);
}

static void
add_event (job_t *j, uint64_t id, json_t *chunk)
{
	char *text = json_dumps (chunk, JSON_COMPACT);
	json_decref (chunk);
	if (id)
		cs_buf_printf (&j->out, "id: %llu\n", (unsigned long long)id);
	cs_buf_printf (&j->out, "data: %s\n\n", text ? text : "{}");
	free (text);
}

static void
add_token (job_t *j)
{
	char text[TEXT_BYTES];
	token_text (j, j->done, text);
	add_event (j, j->done,
		   json_pack ("{s:s, s:s, s:s, s:[{s:i, s:{s:s}, s:n}]}", "id", j->id, "object",
			      "chat.completion.chunk", "model", j->assignment.model, "choices",
			      "index", 0, "delta", "content", text, "finish_reason"));
}

static void
add_end (job_t *j)
{
	add_event (j, 0,
		   json_pack ("{s:s, s:s, s:s, s:[{s:i, s:{}, s:s}], s:o}", "id", j->id, "object",
			      "chat.completion.chunk", "model", j->assignment.model, "choices",
			      "index", 0, "delta", "finish_reason", "length", "usage",
			      usage_json (j)));
	cs_buf_addz (&j->out, "data: [DONE]\n\n");
}

/* Generates one token; false when the assignment or the caller is gone. */
static bool
step (job_t *j)
{
	int64_t ms = (int64_t)(1000 / options.tokens_per_s);
	if (!server_sleep (j->request, fault_stretch (ms)))
		return false;
	if (!engine_holds (j->assignment.group, j->assignment.fence))
		return false;
	fault_token (cs_buf_str (&j->request->body));
	j->done++;
	ran_progress (j->ran, j->done, j->done >= j->max_tokens);
	return true;
}

/* Makes the next bytes of a stream; false when it breaks. */
static bool
fill (job_t *j)
{
	if (j->done >= j->max_tokens) {
		add_end (j);
		j->ended = true;
		return true;
	}
	if (!step (j))
		return false;
	add_token (j);
	return true;
}

static ssize_t
produce (void *data, uint64_t position, char *out, size_t max)
{
	job_t *j = data;
	(void)position;
	if (!j->out.n && j->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!j->out.n && !fill (j))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (fault_is_silent (j->request) || fault_silences_run (j->ran)) {
		server_stay_silent (j->request);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	size_t n = j->out.n < max ? j->out.n : max;
	memcpy (out, j->out.p, n);
	cs_buf_consume (&j->out, n);
	return (ssize_t)n;
}

static void
add_headers (struct MHD_Response *response, const assignment_t *a, const char *id)
{
	char fence[24];
	snprintf (fence, sizeof fence, "%llu", (unsigned long long)a->fence);
	MHD_add_response_header (response, "X-Cs-Group", a->group);
	MHD_add_response_header (response, "X-Cs-Fence", fence);
	MHD_add_response_header (response, "X-Cs-Request", id);
}

static enum MHD_Result
answer_stream (job_t *j)
{
	server_request_t *r = j->request;
	struct MHD_Response *response =
		MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 4096, produce, j, job_free);
	MHD_add_response_header (response, "Content-Type", "text/event-stream");
	add_headers (response, &j->assignment, j->id);
	return server_queue (r, 200, response);
}

static enum MHD_Result
answer_whole (job_t *j)
{
	cs_buf_t text;
	char token[TEXT_BYTES];
	server_request_t *r = j->request;
	cs_buf_init (&text);
	bool ok = true;
	while (ok && j->done < j->max_tokens) {
		ok = step (j);
		token_text (j, j->done, token);
		cs_buf_addz (&text, token);
	}
	if (!ok || fault_is_silent (r) || fault_silences_run (j->ran)) {
		cs_buf_finish (&text);
		job_free (j);
		return ok ? server_stay_silent (r) : MHD_NO;
	}
	struct MHD_Response *response = server_json (json_pack (
		"{s:s, s:s, s:s, s:[{s:i, s:{s:s, s:s}, s:s}], s:o}", "id", j->id, "object",
		"chat.completion", "model", j->assignment.model, "choices", "index", 0, "message",
		"role", "assistant", "content", text.p ? text.p : "", "finish_reason", "length",
		"usage", usage_json (j)));
	cs_buf_finish (&text);
	add_headers (response, &j->assignment, j->id);
	job_free (j);
	return server_queue (r, 200, response);
}

static job_t *
job_new (server_request_t *r, const assignment_t *a, const json_t *body)
{
	job_t *j = cs_alloc (sizeof *j);
	json_t *max = json_object_get (body, "max_tokens");
	j->request = r;
	j->assignment = *a;
	snprintf (j->id, sizeof j->id, "%s", server_header (r, "X-Cs-Request"));
	j->echo = cs_hash (cs_str (last_user_message (body)));
	j->prompt_tokens = r->body.n / BYTES_PER_TOKEN;
	j->max_tokens =
		json_is_integer (max) ? (uint64_t)json_integer_value (max) : DEFAULT_MAX_TOKENS;
	j->done = header_u64 (r, "X-Cs-Resume-From");
	cs_buf_init (&j->out);
	return j;
}

/* Milliseconds that the prompt takes. */
static int64_t
prefill_ms (server_request_t *r, const job_t *j)
{
	uint64_t prefix = strtoull (server_header (r, "X-Cs-Prefix"), NULL, 16);
	uint64_t ms = j->prompt_tokens * options.prefill_ms_per_k / 1000;
	return (int64_t)(cache_use (prefix) ? ms / HIT_SHARE : ms);
}

/* 0 if this member may run the request, else the status of the refusal. */
static unsigned
check (server_request_t *r, assignment_t *a)
{
	if (!engine_ready (a))
		return 503;
	if (a->rank || strcmp (server_header (r, "X-Cs-Group"), a->group) != 0 ||
	    header_u64 (r, "X-Cs-Fence") != a->fence)
		return 409;
	return 0;
}

enum MHD_Result
engine_complete (server_request_t *r)
{
	assignment_t a;
	unsigned refusal = check (r, &a);
	if (refusal)
		return server_reply_error (r, refusal,
					   refusal == 503 ? "not ready" : "another assignment");
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	if (!body)
		return server_reply_error (r, 400, "malformed JSON");
	if (!engine_enter (r)) {
		json_decref (body);
		return MHD_NO;
	}
	job_t *j = job_new (r, &a, body);
	bool stream = json_is_true (json_object_get (body, "stream"));
	json_decref (body);
	j->ran = ran_begin (j->id, server_header (r, "Idempotency-Key"), r->path, a.fence);
	if (!server_sleep (r, fault_stretch (prefill_ms (r, j)))) {
		job_free (j);
		return MHD_NO;
	}
	return stream ? answer_stream (j) : answer_whole (j);
}
