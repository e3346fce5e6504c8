/* Creates the request that is shared with the other tasks. */
#include <stdlib.h>
#include <string.h>

#include "chat.h"
#include "exchange.h"

/* A request and the buffers that its views point into. */
typedef struct {
	cs_request_t request;
	cs_buf_t text;
	cs_buf_t body;
	cs_chat_t chat;
} owned_request_t;

static void
free_request (cs_ref_t *ref)
{
	owned_request_t *s = (owned_request_t *)ref;
	cs_buf_finish (&s->text);
	cs_buf_finish (&s->body);
	cs_chat_finish (&s->chat);
	free (s);
}

/* Copies the value, with a NUL, into the text buffer and returns a view of the copy. The
 * space must have been reserved: a reallocation would invalidate earlier views. */
static cs_str_t
copy_text (owned_request_t *s, cs_str_t value)
{
	size_t at = s->text.n;
	cs_buf_add (&s->text, value);
	cs_buf_add (&s->text, cs_str_n ("", 1));
	return cs_str_n (s->text.p + at, value.n);
}

static void
copy_texts (owned_request_t *s, const cs_exchange_t *x)
{
	cs_request_t *r = &s->request;
	cs_str_t name = cs_str (x->principal), method = cs_str (x->method), none = cs_str ("");
	cs_str_t type = cs_exchange_header (x, "Content-Type");
	cs_str_t key = cs_exchange_header (x, "Idempotency-Key");
	bool is_operator = x->route.kind == CS_ROUTE_OPERATOR;
	enum {
		MAX_TERMINATORS = 8 /* NULs behind the copies */
	};
	cs_buf_reserve (&s->text,
			x->target.n * 2 + name.n + method.n + type.n + key.n + MAX_TERMINATORS);
	r->method = copy_text (s, method);
	r->path = copy_text (s, x->route.path);
	r->query = cs_str_n (r->path.p + r->path.n - x->route.query.n, x->route.query.n);
	r->content_type = copy_text (s, type);
	r->key = copy_text (s, key);
	r->service = copy_text (s, x->route.service);
	r->is_operator = is_operator;
	r->team = copy_text (s, is_operator ? none : name);
	r->operator_name = is_operator ? copy_text (s, name) : none;
}

static void
set_chat_fields (owned_request_t *s)
{
	cs_request_t *r = &s->request;
	r->model = cs_buf_str (&s->chat.model);
	r->prefix = cs_buf_str (&s->chat.prefix);
	r->stream = s->chat.stream;
	r->max_tokens = s->chat.max_tokens;
}

static bool
read_timeout (cs_exchange_t *x, cs_request_t *r)
{
	cs_str_t value = cs_exchange_header (x, "X-Request-Timeout-Ms");
	uint64_t ms;
	if (!value.n)
		return true;
	if (!cs_str_u64 (value, &ms) || !ms || ms > INT32_MAX) {
		cs_problem_set (&x->problem, 400, "invalid-request",
				"X-Request-Timeout-Ms is not a number of milliseconds from 1 to "
				"2147483647");
		return false;
	}
	r->deadline_ms = x->received_us / 1000 + (int64_t)ms;
	return true;
}

cs_request_t *
cs_exchange_create_request (cs_exchange_t *x)
{
	owned_request_t *s = cs_alloc (sizeof *s);
	cs_request_t *r = &s->request;
	cs_ref_init (&r->ref, free_request);
	cs_chat_init (&s->chat);
	s->body = x->body;
	cs_buf_init (&x->body);
	bool ok = read_timeout (x, r);
	if (ok && x->route.kind == CS_ROUTE_CHAT &&
	    cs_chat_parse (&s->chat, cs_buf_str (&s->body)) != CS_OK) {
		cs_problem_set (&x->problem, 400, "invalid-request", "%s",
				cs_last_error_message ());
		ok = false;
	}
	if (!ok) {
		cs_ref_put (&r->ref);
		return NULL;
	}
	r->id = x->id;
	r->trace = x->span;
	r->body = cs_buf_str (&s->body);
	copy_texts (s, x);
	set_chat_fields (s);
	r->non_idempotent = cs_str_is (cs_exchange_header (x, "X-Non-Idempotent"), "true");
	r->received_us = x->received_us;
	r->connection = x;
	return r;
}
