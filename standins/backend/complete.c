/* Chat completions of the head member, with deterministic text generated token by token. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"
#include "cs/hash.h"

enum {
	DEFAULT_MAX_TOKENS = 16,
	HIT_PREFILL_DIVISOR = 6, /* a cache hit divides the prefill time by this */
	BYTES_PER_TOKEN = 4,     /* assumed for prompts, counted over the whole request body */
	TEXT_BYTES = 128
};

/* A request in progress; holds a batch slot. Freed by completion_free. */
typedef struct {
	server_request_t *request;
	assignment_t assignment;
	char id[TEXT_BYTES];
	uint64_t message_hash; /* hash of the last user message */
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	uint64_t tokens_done; /* tokens generated, including those skipped by X-Cs-Resume-From */
	request_log_id_t log_id;
	cs_buf_t out; /* response bytes not yet sent */
	bool is_finished;
} completion_t;

static void
completion_free (void *data)
{
	completion_t *c = data;
	engine_release_slot ();
	cs_buf_finish (&c->out);
	free (c);
}

static uint64_t
header_u64 (server_request_t *r, const char *name)
{
	uint64_t v;
	return cs_str_u64 (cs_str (server_header (r, name)), &v) ? v : 0;
}

/* Content of the last message with the role "user", "" if there is none. */
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

/* Text of token n, counted from 1. The first token identifies the request that it answers. */
static void
token_text (const completion_t *c, uint64_t n, char out[TEXT_BYTES])
{
	if (n == 1)
		snprintf (out, TEXT_BYTES, "echo-%016llx", (unsigned long long)c->message_hash);
	else
		snprintf (out, TEXT_BYTES, " tok%llu", (unsigned long long)n);
}

static json_t *
usage_json (const completion_t *c)
{
	return json_pack ("{s:I, s:I, s:I}", "prompt_tokens", (json_int_t)c->prompt_tokens,
			  "completion_tokens", (json_int_t)c->tokens_done, "total_tokens",
			  (json_int_t)c->prompt_tokens + (json_int_t)c->tokens_done);
}

static void
add_event (completion_t *c, uint64_t id, json_t *chunk)
{
	char *text = json_dumps (chunk, JSON_COMPACT);
	json_decref (chunk);
	if (id)
		cs_buf_printf (&c->out, "id: %llu\n", (unsigned long long)id);
	cs_buf_printf (&c->out, "data: %s\n\n", text ? text : "{}");
	free (text);
}

static void
add_token (completion_t *c)
{
	char text[TEXT_BYTES];
	token_text (c, c->tokens_done, text);
	add_event (c, c->tokens_done,
		   json_pack ("{s:s, s:s, s:s, s:[{s:i, s:{s:s}, s:n}]}", "id", c->id, "object",
			      "chat.completion.chunk", "model", c->assignment.model, "choices",
			      "index", 0, "delta", "content", text, "finish_reason"));
}

static void
add_final_events (completion_t *c)
{
	add_event (c, 0,
		   json_pack ("{s:s, s:s, s:s, s:[{s:i, s:{}, s:s}], s:o}", "id", c->id, "object",
			      "chat.completion.chunk", "model", c->assignment.model, "choices",
			      "index", 0, "delta", "finish_reason", "length", "usage",
			      usage_json (c)));
	cs_buf_addz (&c->out, "data: [DONE]\n\n");
}

/* Generates one token; false if the assignment has changed or the caller has disconnected. */
static bool
generate_token (completion_t *c)
{
	int64_t ms = (int64_t)(1000 / options.tokens_per_s);
	if (!server_sleep (c->request, fault_scale_ms (ms)))
		return false;
	if (!engine_has_assignment (c->assignment.group, c->assignment.fence))
		return false;
	fault_before_token (cs_buf_str (&c->request->body));
	c->tokens_done++;
	request_log_update (c->log_id, c->tokens_done, c->tokens_done >= c->max_tokens);
	return true;
}

/* Generates the next events of a stream; false if the stream must be aborted. */
static bool
fill_output (completion_t *c)
{
	if (c->tokens_done >= c->max_tokens) {
		add_final_events (c);
		c->is_finished = true;
		return true;
	}
	if (!generate_token (c))
		return false;
	add_token (c);
	return true;
}

static ssize_t
on_stream_read (void *data, uint64_t position, char *out, size_t max)
{
	completion_t *c = data;
	(void)position;
	if (!c->out.n && c->is_finished)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!c->out.n && !fill_output (c))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (fault_silences_request (c->request) || fault_silences_completion (c->log_id)) {
		server_block_until_closed (c->request);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	size_t n = c->out.n < max ? c->out.n : max;
	memcpy (out, c->out.p, n);
	cs_buf_consume (&c->out, n);
	return (ssize_t)n;
}

static void
add_assignment_headers (struct MHD_Response *response, const assignment_t *a, const char *id)
{
	char fence[24];
	snprintf (fence, sizeof fence, "%llu", (unsigned long long)a->fence);
	MHD_add_response_header (response, "X-Cs-Group", a->group);
	MHD_add_response_header (response, "X-Cs-Fence", fence);
	MHD_add_response_header (response, "X-Cs-Request", id);
}

static enum MHD_Result
respond_stream (completion_t *c)
{
	server_request_t *r = c->request;
	struct MHD_Response *response = MHD_create_response_from_callback (
		MHD_SIZE_UNKNOWN, 4096, on_stream_read, c, completion_free);
	MHD_add_response_header (response, "Content-Type", "text/event-stream");
	add_assignment_headers (response, &c->assignment, c->id);
	return server_queue_response (r, 200, response);
}

static enum MHD_Result
respond_complete (completion_t *c)
{
	cs_buf_t text;
	char token[TEXT_BYTES];
	server_request_t *r = c->request;
	cs_buf_init (&text);
	bool ok = true;
	while (ok && c->tokens_done < c->max_tokens) {
		ok = generate_token (c);
		token_text (c, c->tokens_done, token);
		cs_buf_addz (&text, token);
	}
	if (!ok || fault_silences_request (r) || fault_silences_completion (c->log_id)) {
		cs_buf_finish (&text);
		completion_free (c);
		return ok ? server_block_until_closed (r) : MHD_NO;
	}
	struct MHD_Response *response = server_json_response (json_pack (
		"{s:s, s:s, s:s, s:[{s:i, s:{s:s, s:s}, s:s}], s:o}", "id", c->id, "object",
		"chat.completion", "model", c->assignment.model, "choices", "index", 0, "message",
		"role", "assistant", "content", text.p ? text.p : "", "finish_reason", "length",
		"usage", usage_json (c)));
	cs_buf_finish (&text);
	add_assignment_headers (response, &c->assignment, c->id);
	completion_free (c);
	return server_queue_response (r, 200, response);
}

static completion_t *
completion_new (server_request_t *r, const assignment_t *a, const json_t *body)
{
	completion_t *c = cs_alloc (sizeof *c);
	json_t *max = json_object_get (body, "max_tokens");
	c->request = r;
	c->assignment = *a;
	snprintf (c->id, sizeof c->id, "%s", server_header (r, "X-Cs-Request"));
	c->message_hash = cs_hash (cs_str (last_user_message (body)));
	c->prompt_tokens = r->body.n / BYTES_PER_TOKEN;
	c->max_tokens =
		json_is_integer (max) ? (uint64_t)json_integer_value (max) : DEFAULT_MAX_TOKENS;
	c->tokens_done = header_u64 (r, "X-Cs-Resume-From");
	cs_buf_init (&c->out);
	return c;
}

/* Prefill time of the prompt in ms; also updates the prefix cache. */
static int64_t
prefill_ms (server_request_t *r, const completion_t *c)
{
	uint64_t prefix = strtoull (server_header (r, "X-Cs-Prefix"), NULL, 16);
	uint64_t ms = c->prompt_tokens * options.prefill_ms_per_1k / 1000;
	return (int64_t)(cache_access (prefix) ? ms / HIT_PREFILL_DIVISOR : ms);
}

/* Returns 0 if this member may run the request, else the HTTP status of the refusal. */
static unsigned
refusal_status (server_request_t *r, assignment_t *a)
{
	if (!engine_get_assignment (a))
		return 503;
	if (a->rank || strcmp (server_header (r, "X-Cs-Group"), a->group) != 0 ||
	    header_u64 (r, "X-Cs-Fence") != a->fence)
		return 409;
	return 0;
}

enum MHD_Result
engine_handle_completion (server_request_t *r)
{
	assignment_t a;
	unsigned refusal = refusal_status (r, &a);
	if (refusal)
		return server_reply_error (r, refusal,
					   refusal == 503
						   ? "the member is not ready"
						   : "X-Cs-Group or X-Cs-Fence differs from the "
						     "assignment, or the member is not the head");
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	if (!body)
		return server_reply_error (r, 400, "the request body is not valid JSON");
	if (!engine_acquire_slot (r)) {
		json_decref (body);
		return MHD_NO;
	}
	completion_t *c = completion_new (r, &a, body);
	bool stream = json_is_true (json_object_get (body, "stream"));
	json_decref (body);
	c->log_id =
		request_log_begin (c->id, server_header (r, "Idempotency-Key"), r->path, a.fence);
	if (!server_sleep (r, fault_scale_ms (prefill_ms (r, c)))) {
		completion_free (c);
		return MHD_NO;
	}
	return stream ? respond_stream (c) : respond_complete (c);
}
