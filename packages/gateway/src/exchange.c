#include "exchange.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "auth.h"

enum {
	MAX_KEY_BYTES = 255, /* longest Idempotency-Key */
	RETRY_AFTER_S = 1    /* Retry-After while not ready or draining */
};

static void
read_trace_context (cs_exchange_t *x)
{
	cs_str_t header = cs_exchange_header (x, "traceparent");
	char text[CS_TRACEPARENT_BYTES + 1];
	cs_trace_parse (&x->parent, header);
	cs_trace_format (&x->parent, text);
	x->has_parent = cs_str_is (header, text);
	x->span = x->parent;
	if (x->has_parent)
		cs_trace_child (&x->span, &x->parent);
}

static void
export_spans (const cs_exchange_t *x)
{
	const cs_attribute_t attributes[] = {
		{"http.request.method", cs_str (x->method)},
		{"url.path", cs_buf_str (&x->target)},
	};
	cs_span_export (&x->span, x->has_parent ? &x->parent : NULL, "request", x->received_us,
			cs_now_us (), attributes, 2);
}

static void
release_request (cs_exchange_t *x, bool delivered)
{
	cs_gateway_t *g = x->gateway;
	if (!delivered && !x->ended && !x->aborted)
		cs_send (g->task, g->control,
			 &cs_request_msg (CS_MSG_CALLER_DISCONNECTED, x->request)->msg);
	x->request->connection = NULL;
	cs_ref_put (&x->request->ref);
	g->http.in_progress--;
}

void
cs_exchange_free (cs_exchange_t *x, bool delivered)
{
	cs_gateway_t *g = x->gateway;
	export_spans (x);
	cs_stats_request_ended (x, delivered);
	if (x->request)
		release_request (x, delivered);
	DL_DELETE (g->exchanges, x);
	cs_buf_finish (&x->target);
	cs_buf_finish (&x->header_lines);
	cs_buf_finish (&x->body);
	cs_httpd_outbox_finish (&x->outbox);
	cs_answer_update_waiting (x);
	cs_problem_finish (&x->problem);
	free (x->method);
	free (x->content_type);
	free (x);
}

/* Returns the number of header lines with this name, and the value of the first. */
static size_t
find_header (const cs_exchange_t *x, const char *name, cs_str_t *value)
{
	cs_str_t lines = cs_buf_str (&x->header_lines), line_name, line_value;
	size_t n = 0;
	*value = cs_str ("");
	while (cs_http_next_line (&lines, &line_name, &line_value))
		if (cs_http_name_is (line_name, name) && !n++)
			*value = line_value;
	return n;
}

cs_str_t
cs_exchange_header (const cs_exchange_t *x, const char *name)
{
	cs_str_t value;
	find_header (x, name, &value);
	return value;
}

static void
authorize (cs_exchange_t *x)
{
	const cs_settings_t *s = x->gateway->settings;
	cs_str_t value = cs_exchange_header (x, "Authorization");
	const char *caller = cs_auth_find_principal (s->callers, s->n_callers, value);
	const char *operator_name = cs_auth_find_principal (s->operators, s->n_operators, value);
	bool is_operator_route = x->route.kind == CS_ROUTE_OPERATOR;
	x->principal = is_operator_route ? operator_name : caller;
	if (x->principal)
		return;
	if (caller || operator_name)
		cs_problem_set (&x->problem, 403, "forbidden", "this token is valid only for %s",
				caller ? "callers" : "operators");
	else
		cs_problem_set (&x->problem, 401, "unauthorized",
				"a valid bearer token is required");
}

/* True for routes that need no token and do not reach control. */
static bool
is_answered_locally (const cs_exchange_t *x)
{
	return x->route.kind == CS_ROUTE_HEALTH || x->route.kind == CS_ROUTE_READY ||
	       x->route.kind == CS_ROUTE_METRICS;
}

static bool
is_valid_key (cs_str_t key)
{
	for (size_t i = 0; i < key.n; i++)
		if (key.p[i] < '!' || key.p[i] > '~')
			return false;
	return key.n >= 1 && key.n <= MAX_KEY_BYTES;
}

static void
check_idempotency_key (cs_exchange_t *x)
{
	cs_str_t key;
	if (find_header (x, "Idempotency-Key", &key) && !is_valid_key (key))
		cs_problem_set (&x->problem, 400, "invalid-idempotency-key",
				"Idempotency-Key is not 1 to %d visible ASCII characters",
				MAX_KEY_BYTES);
}

cs_outcome_t
cs_exchange_refusal_outcome (const cs_exchange_t *x)
{
	bool may_be_protected = x->route.kind == CS_ROUTE_CHAT || x->route.kind == CS_ROUTE_SERVICE;
	cs_str_t key = cs_exchange_header (x, "Idempotency-Key");
	return may_be_protected && is_valid_key (key) ? cs_outcome_before_lookup (key) : CS_NOT_RUN;
}

static void
check_content_length (cs_exchange_t *x, const cs_http_head_t *head)
{
	uint32_t max = x->gateway->settings->max_body_bytes;
	x->too_large = head->length > max;
	if (x->too_large)
		cs_problem_set (&x->problem, 413, "body-too-large",
				"the body has more than %u bytes", (unsigned)max);
}

/* Each is read once: another reader could take the other line. */
static void
check_single_headers (cs_exchange_t *x)
{
	static const char *const names[] = {"Authorization", "Idempotency-Key",
					    "X-Request-Timeout-Ms"};
	cs_str_t value;
	for (size_t i = 0; i < sizeof names / sizeof *names; i++)
		if (find_header (x, names[i], &value) > 1)
			cs_problem_set (&x->problem, 400, "invalid-request",
					"there is more than one header %s", names[i]);
}

/* HTTP/1.0 cannot mark the end of an answer of unknown length: a truncated answer would
 * look complete. */
static void
check_http_version (cs_exchange_t *x, const cs_http_head_t *head)
{
	if (head->is_http_1_0)
		cs_problem_set (&x->problem, 505, "http-version", "HTTP/1.1 is required");
}

static void
check_head (cs_exchange_t *x, const cs_http_head_t *head)
{
	if (x->problem.status)
		return;
	x->route = cs_path_find_route (cs_buf_str (&x->target));
	if (x->route.kind == CS_ROUTE_NONE) {
		cs_problem_set (&x->problem, 404, "not-found", "no route matches the path");
		return;
	}
	if (!is_answered_locally (x)) {
		check_http_version (x, head);
		check_idempotency_key (x);
		check_content_length (x, head);
		authorize (x);
		check_single_headers (x);
	}
	if (!x->problem.status && x->route.method && strcmp (x->route.method, x->method) != 0)
		cs_problem_set (&x->problem, 405, "method-not-allowed", "only %s is allowed",
				x->route.method);
}

cs_exchange_t *
cs_exchange_new (cs_gateway_t *g, cs_server_connection_t *connection, const cs_http_head_t *head)
{
	cs_exchange_t *x = cs_alloc (sizeof *x);
	x->gateway = g;
	x->connection = connection;
	x->id = g->next_id++;
	x->received_us = cs_now_us ();
	x->method = cs_str_dup (head->method);
	cs_buf_add (&x->header_lines, head->lines);
	cs_problem_init (&x->problem);
	if (cs_path_normalize (head->target, &x->target) != CS_OK)
		cs_problem_set (&x->problem, 400, "invalid-request", "%s",
				cs_last_error_message ());
	read_trace_context (x);
	check_head (x, head);
	DL_APPEND (g->exchanges, x);
	return x;
}

static void
refuse_unavailable (cs_exchange_t *x, const char *type, const char *detail)
{
	cs_problem_set (&x->problem, 503, type, "%s", detail);
	x->problem.retry_after_s = RETRY_AFTER_S;
}

void
cs_exchange_admit (cs_exchange_t *x)
{
	cs_gateway_t *g = x->gateway;
	if (g->draining)
		refuse_unavailable (x, "draining", "this daemon is shutting down");
	else if (!g->ready && x->route.kind != CS_ROUTE_OPERATOR)
		refuse_unavailable (x, "not-ready", "this daemon is not ready");
	if (x->problem.status)
		return;
	x->request = cs_exchange_create_request (x);
	if (!x->request)
		return;
	g->http.in_progress++;
	x->phase = CS_PHASE_WAITING;
	cs_trace_t child;
	cs_trace_child (&child, &x->span);
	cs_span_export (&child, &x->span, "admission", x->received_us, cs_now_us (), NULL, 0);
	cs_send (g->task, g->control, &cs_request_msg (CS_MSG_ADMIT, x->request)->msg);
}
