/* The task "gateway": the HTTP server for callers and operators. */
#include "cs/gateway.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "exchange.h"

static void
after_turn (void *data)
{
	cs_gateway_t *g = data;
	if (!g->draining || g->drained_sent || g->http.in_progress)
		return;
	g->drained_sent = true;
	cs_send (g->task, g->control, &cs_request_msg (CS_MSG_DRAINED, NULL)->msg);
}

static void
on_finished (void *request, bool delivered)
{
	cs_exchange_t *x = request;
	if (x->has_head)
		cs_stats_open_streams (-1);
	cs_exchange_free (x, delivered);
}

static void
answer_locally (cs_exchange_t *x)
{
	const cs_gateway_t *g = x->gateway;
	bool serving = g->ready && !g->draining;
	cs_buf_t text;
	cs_buf_init (&text);
	if (x->route.kind == CS_ROUTE_METRICS) {
		cs_counters_print (&text);
		cs_answer_text (x, 200, &text);
	} else if (x->route.kind == CS_ROUTE_HEALTH || serving) {
		cs_buf_addz (&text, "ok\n");
		cs_answer_text (x, 200, &text);
	} else {
		cs_buf_addz (&text, g->draining ? "draining\n" : "not ready\n");
		cs_answer_text (x, 503, &text);
	}
}

/* Answers the request or sends it to control, once it has been received completely. */
static void
on_received (void *request)
{
	cs_exchange_t *x = request;
	bool is_local = x->route.kind == CS_ROUTE_HEALTH || x->route.kind == CS_ROUTE_READY ||
			x->route.kind == CS_ROUTE_METRICS;
	if (x->problem.status) {
		cs_answer_problem (x);
	} else if (is_local) {
		answer_locally (x);
	} else {
		cs_exchange_admit (x);
		cs_answer_queue (x);
	}
}

/* Stores a part of the body. Bytes past max_body_bytes are discarded, up to twice that limit, so
 * that the connection can be used again behind the problem document. */
static void
on_body (void *request, cs_str_t part)
{
	cs_exchange_t *x = request;
	uint32_t max = x->gateway->settings->max_body_bytes;
	x->body_bytes_received += part.n;
	if (!x->problem.status && x->body_bytes_received <= max) {
		cs_buf_add (&x->body, part);
		return;
	}
	cs_buf_finish (&x->body);
	if (!x->problem.status)
		cs_problem_set (&x->problem, 413, "body-too-large",
				"the body has more than %u bytes", (unsigned)max);
	if (x->body_bytes_received > 2 * (uint64_t)max)
		cs_answer_problem (x);
}

static void
on_bad_body (void *request, int status, const char *reason)
{
	cs_exchange_t *x = request;
	if (!x->problem.status)
		cs_problem_set (&x->problem, status, reason, "the body cannot be read");
	cs_answer_problem (x);
}

static void *
on_head (void *data, cs_server_connection_t *connection, const cs_http_head_t *head,
	 int64_t started_ms)
{
	cs_exchange_t *x = cs_exchange_new (data, connection, head);
	(void)started_ms;
	if (x->too_large)
		cs_answer_problem (x);
	return x;
}

static void
on_resumed (void *request)
{
	cs_exchange_t *x = request;
	if (x->phase != CS_PHASE_READING || x->aborted)
		cs_answer_queue (x);
}

static ssize_t
on_read (void *request, char *out, size_t max)
{
	return cs_answer_read (request, out, max);
}

static void
on_left (void *request)
{
	cs_answer_abort (request);
}

static const cs_server_owner_t owner = {
	.begin = on_head,
	.receive_body = on_body,
	.receive_end = on_received,
	.refuse_body = on_bad_body,
	.resume = on_resumed,
	.read_answer = on_read,
	.leave = on_left,
	.finish = on_finished,
};

static cs_status_t
start_server (cs_gateway_t *g)
{
	const cs_settings_t *s = g->settings;
	g->http = (cs_server_t){
		.owner = &owner,
		.data = g,
		.log_component = "gateway",
		.limits = {s->max_header_bytes, s->head_timeout_ms, s->idle_timeout_ms},
		.max_connections = s->max_connections,
		.after_run = after_turn};
	return cs_server_start (&g->http, g->task->kernel->loop, s->listen);
}

static cs_status_t
init (cs_task_t *task)
{
	cs_gateway_t *g = task->state;
	g->task = task;
	g->settings = task->kernel->settings;
	if (sodium_init () < 0)
		return cs_fail (CS_INTERNAL, "cannot initialize libsodium");
	randombytes_buf (&g->next_id, sizeof g->next_id);
	return start_server (g);
}

static void
start (cs_task_t *task)
{
	cs_gateway_t *g = task->state;
	g->control = cs_task_find (task->kernel, "control");
	g->engine = cs_task_find (task->kernel, "engine");
}

static void
receive (cs_task_t *task, cs_msg_t *m)
{
	cs_gateway_t *g = task->state;
	cs_exchange_t *x;
	switch (m->kind) {
	case CS_MSG_READY:
		g->ready = true;
		break;
	case CS_MSG_UNREADY:
		g->ready = false;
		break;
	case CS_MSG_DRAIN:
		g->draining = true;
		after_turn (g);
		break;
	case CS_MSG_HEAD:
	case CS_MSG_BODY:
	case CS_MSG_END:
	case CS_MSG_REFUSE:
		x = ((cs_request_msg_t *)m)->request->connection;
		if (x)
			cs_answer_receive (x, m);
		break;
	default:
		break;
	}
}

static void
finish (cs_task_t *task)
{
	cs_gateway_t *g = task->state;
	if (!cs_server_is_running (&g->http))
		return;
	g->draining = true;
	cs_server_run_last (&g->http);
	for (cs_exchange_t *x = g->exchanges; x; x = x->next)
		x->aborted = true;
	cs_server_stop (&g->http);
}

uint16_t
cs_gateway_port (const cs_task_t *task)
{
	const cs_gateway_t *g = task->state;
	return cs_server_port (&g->http);
}

cs_plugin_t cs_gateway_plugin = {
	.name = "gateway",
	.state_size = sizeof (cs_gateway_t),
	.init = init,
	.start = start,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&cs_gateway_plugin);
}
