#include "exchange.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "auth.h"

enum {
	KEY_BYTES = 255,  /* longest Idempotency-Key */
	RETRY_AFTER_S = 1 /* while not ready or draining */
};

static void
on_left (void *data)
{
	cs_answer_gone (data);
}

static void
read_trace (cs_exchange_t *x)
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

cs_exchange_t *
cs_exchange_new (cs_gateway_t *g, struct MHD_Connection *connection, const char *target)
{
	cs_exchange_t *x = cs_alloc (sizeof *x);
	x->gateway = g;
	x->connection = connection;
	x->id = g->next_id++;
	x->received_us = cs_now_us ();
	cs_problem_init (&x->problem);
	if (cs_path_normalize (cs_str (target), &x->target) != CS_OK)
		cs_problem_set (&x->problem, 400, "invalid-request", "%s", cs_last_message ());
	x->leave.left = on_left;
	x->leave.data = x;
	DL_APPEND (g->exchanges, x);
	return x;
}

static void
export_spans (const cs_exchange_t *x)
{
	const cs_attribute_t attributes[] = {
		{"http.request.method", cs_str (x->method)},
		{"url.path", cs_buf_str (&x->target)},
	};
	if (x->begun)
		cs_span_export (&x->span, x->has_parent ? &x->parent : NULL, "request",
				x->received_us, cs_now_us (), attributes, 2);
}

static void
leave_progress (cs_exchange_t *x, bool delivered)
{
	cs_gateway_t *g = x->gateway;
	if (!delivered && !x->ended && !x->gone)
		cs_send (g->task, g->control, &cs_request_msg (CS_MSG_GONE, x->request)->msg);
	x->request->connection = NULL;
	cs_ref_put (&x->request->ref);
	g->http.in_progress--;
}

void
cs_exchange_free (cs_exchange_t *x, bool delivered)
{
	cs_gateway_t *g = x->gateway;
	cs_httpd_leave_stop (&x->leave, g->task->kernel->loop);
	export_spans (x);
	cs_stats_end (x, delivered);
	if (x->request)
		leave_progress (x, delivered);
	DL_DELETE (g->exchanges, x);
	cs_buf_finish (&x->target);
	cs_buf_finish (&x->body);
	cs_httpd_outbox_finish (&x->outbox);
	cs_problem_finish (&x->problem);
	free (x->method);
	free (x->content_type);
	free (x);
}

cs_str_t
cs_exchange_header (const cs_exchange_t *x, const char *name)
{
	return cs_str (MHD_lookup_connection_value (x->connection, MHD_HEADER_KIND, name));
}

static void
authorize (cs_exchange_t *x)
{
	const cs_settings_t *s = x->gateway->settings;
	cs_str_t value = cs_exchange_header (x, "Authorization");
	const char *caller = cs_auth_find (s->callers, s->n_callers, value);
	const char *operator_name = cs_auth_find (s->operators, s->n_operators, value);
	bool operates = x->route.kind == CS_ROUTE_OPERATOR;
	x->name = operates ? operator_name : caller;
	if (x->name)
		return;
	if (caller || operator_name)
		cs_problem_set (&x->problem, 403, "forbidden", "this token is for %s",
				caller ? "callers" : "operators");
	else
		cs_problem_set (&x->problem, 401, "unauthorized", "a known bearer token is needed");
}

static bool
is_local (const cs_exchange_t *x)
{
	return x->route.kind == CS_ROUTE_HEALTH || x->route.kind == CS_ROUTE_READY ||
	       x->route.kind == CS_ROUTE_METRICS;
}

static bool
is_key (cs_str_t key)
{
	for (size_t i = 0; i < key.n; i++)
		if (key.p[i] < '!' || key.p[i] > '~')
			return false;
	return key.n >= 1 && key.n <= KEY_BYTES;
}

static void
check_key (cs_exchange_t *x)
{
	const char *key =
		MHD_lookup_connection_value (x->connection, MHD_HEADER_KIND, "Idempotency-Key");
	if (key && !is_key (cs_str (key)))
		cs_problem_set (&x->problem, 400, "invalid-idempotency-key",
				"Idempotency-Key is not 1 to %d visible ASCII characters",
				KEY_BYTES);
}

static void
check_length (cs_exchange_t *x)
{
	uint32_t max = x->gateway->settings->max_body_bytes;
	cs_str_t length = cs_exchange_header (x, "Content-Length");
	uint64_t n = 0;
	x->too_large = length.n && (!cs_str_u64 (length, &n) || n > max);
	if (x->too_large)
		cs_problem_set (&x->problem, 413, "body-too-large",
				"the body has more than %u bytes", (unsigned)max);
}

/* The answer's end cannot be marked in HTTP/1.0, so that a cut would go unseen. */
static void
check_version (cs_exchange_t *x, const char *version)
{
	if (strcmp (version, MHD_HTTP_VERSION_1_1) != 0)
		cs_problem_set (&x->problem, 505, "http-version", "HTTP/1.1 is needed");
}

void
cs_exchange_begin (cs_exchange_t *x, const char *method, const char *version)
{
	x->begun = true;
	x->method = cs_str_dup (cs_str (method));
	read_trace (x);
	if (x->problem.status)
		return;
	x->route = cs_path_route (cs_buf_str (&x->target));
	if (x->route.kind == CS_ROUTE_NONE) {
		cs_problem_set (&x->problem, 404, "not-found", "there is no such path");
		return;
	}
	if (!is_local (x)) {
		check_version (x, version);
		check_key (x);
		check_length (x);
		authorize (x);
	}
	if (!x->problem.status && x->route.method && strcmp (x->route.method, method) != 0)
		cs_problem_set (&x->problem, 405, "method-not-allowed", "only %s is allowed",
				x->route.method);
}

static void
refuse_for_now (cs_exchange_t *x, const char *type, const char *detail)
{
	cs_problem_set (&x->problem, 503, type, "%s", detail);
	x->problem.retry_after_s = RETRY_AFTER_S;
}

void
cs_exchange_admit (cs_exchange_t *x)
{
	cs_gateway_t *g = x->gateway;
	if (g->draining)
		refuse_for_now (x, "draining", "this daemon is shutting down");
	else if (!g->ready && x->route.kind != CS_ROUTE_OPERATOR)
		refuse_for_now (x, "not-ready", "this daemon is not ready");
	if (x->problem.status)
		return;
	x->request = cs_exchange_request (x);
	if (!x->request)
		return;
	g->http.in_progress++;
	x->phase = CS_PHASE_WAITING;
	cs_trace_t child;
	cs_trace_child (&child, &x->span);
	cs_span_export (&child, &x->span, "admission", x->received_us, cs_now_us (), NULL, 0);
	cs_send (g->task, g->control, &cs_request_msg (CS_MSG_ADMIT, x->request)->msg);
	cs_httpd_leave_start (&x->leave, g->task->kernel->loop, x->connection);
}

void
cs_exchange_suspend (cs_exchange_t *x)
{
	cs_httpd_suspend (x->connection, &x->suspended);
}

void
cs_exchange_resume (cs_exchange_t *x)
{
	cs_httpd_resume (&x->gateway->http, x->connection, &x->suspended);
}
