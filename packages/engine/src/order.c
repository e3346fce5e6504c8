/* Sends load and release orders to engine members. */
#include <jansson.h>
#include <stdlib.h>

#include "task.h"

enum {
	SEND_TIMEOUT_MS = 500,   /* an order that cannot be sent within this time is not sent */
	ANSWER_TIMEOUT_MS = 2000 /* longest wait for the engine's answer */
};

struct cs_order {
	cs_http_call_t call;
	cs_engine_t *engine;
	cs_order_result_msg_t *result;
	cs_buf_t url;
	char *body;
};

static json_t *
members_to_json (const char *members)
{
	json_t *list = json_array ();
	cs_str_t rest = cs_str (members);
	while (rest.n) {
		cs_str_t url = cs_str_split (&rest, ',');
		json_array_append_new (list, json_stringn (url.p, url.n));
	}
	return list;
}

static char *
format_order (const cs_order_msg_t *m, uint32_t deadline_ms)
{
	json_t *root =
		json_pack ("{s:s, s:s, s:I, s:s, s:s, s:I, s:o, s:I, s:I}", "order",
			   m->release ? "release" : "load", "group", m->group ? m->group : "",
			   "fence", (json_int_t)m->fence, "model", m->model ? m->model : "",
			   "version", m->version ? m->version : "", "rank", (json_int_t)m->rank,
			   "members", members_to_json (m->members), "deadline_ms",
			   (json_int_t)deadline_ms, "weight_bytes", (json_int_t)m->weight_bytes);
	char *text = json_dumps (root, JSON_COMPACT);
	json_decref (root);
	return text;
}

/* 202 means that the order is in force, 4xx that it is not. After any other answer, or none, or a
 * head that is cut off (status 0), the order may be in force, unless it was not sent. */
static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	cs_order_t *o = call->data;
	cs_engine_t *e = o->engine;
	bool is_definite = end == CS_HTTP_DONE && status && status < 500;
	o->result->accepted = is_definite && status < 300;
	o->result->is_fence_too_low = is_definite && status == 409;
	o->result->is_outcome_unknown = !is_definite && end != CS_HTTP_NOT_SENT;
	cs_send (e->task, e->control, &o->result->msg);
	cs_buf_finish (&o->url);
	free (o->body);
	free (o);
}

void
cs_order_start (cs_engine_t *e, const cs_order_msg_t *m)
{
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	uint32_t send_timeout_ms =
		m->lifetime_ms / 2 < SEND_TIMEOUT_MS ? m->lifetime_ms / 2 : SEND_TIMEOUT_MS;
	cs_order_t *o = cs_alloc (sizeof *o);
	o->engine = e;
	o->result = cs_order_result_msg (m->vm);
	o->result->group = cs_str_dup (cs_str (m->group));
	o->result->fence = m->fence;
	o->result->release = m->release;
	/* The engine counts deadline_ms from the arrival, which may be up to
	 * send_timeout_ms from now. */
	o->body = format_order (m, m->lifetime_ms - send_timeout_ms);
	cs_buf_printf (&o->url, "%s/v1/orders", m->url);
	o->call = (cs_http_call_t){
		.method = "POST",
		.url = cs_buf_str (&o->url),
		.body = cs_str (o->body),
		.headers = headers,
		.connect_timeout_ms = send_timeout_ms ? send_timeout_ms : 1,
		.not_after_ms = cs_now_ms () + send_timeout_ms,
		.idle_timeout_ms = ANSWER_TIMEOUT_MS,
		.total_timeout_ms = ANSWER_TIMEOUT_MS,
		.on_end = on_end,
		.data = o,
	};
	if (cs_http_start (&e->http, &o->call) != CS_OK)
		on_end (&o->call, CS_HTTP_NOT_SENT, 0);
}
