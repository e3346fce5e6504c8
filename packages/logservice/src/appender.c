/* Appends records to log streams over HTTP. At most one append per stream is in flight, so that
 * records keep their order. */
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "internal.h"

enum {
	IDLE_MS = 3000
};

static const char *const headers[] = {"Content-Type: application/vnd.kafka.binary.v1+json", NULL};

static cs_counter_t appends = {.name = "cs_log_appends_total", .help = "Appends to the log."};
static cs_counter_t records = {.name = "cs_log_records_total", .help = "Records appended."};
static cs_counter_t lost = {.name = "cs_log_answers_lost_total",
			    .help = "Appends whose answer was lost."};

static void send_next (appender_t *a);

static void
encode_body (appender_t *a, const cs_append_msg_t *m)
{
	json_t *list = json_array ();
	cs_buf_t text;
	cs_buf_init (&text);
	for (size_t i = 0; i < m->n; i++) {
		cs_str_t bin = cs_buf_str (&m->records[i]);
		size_t len = sodium_base64_ENCODED_LEN (bin.n, sodium_base64_VARIANT_ORIGINAL);
		cs_buf_clear (&text);
		cs_buf_reserve (&text, len);
		sodium_bin2base64 (text.p, len, (const unsigned char *)bin.p, bin.n,
				   sodium_base64_VARIANT_ORIGINAL);
		json_array_append_new (list, json_pack ("{s:s}", "value", text.p));
	}
	cs_buf_finish (&text);
	json_t *root = json_pack ("{s:o}", "records", list);
	char *out = json_dumps (root, JSON_COMPACT);
	json_decref (root);
	cs_buf_clear (&a->body);
	cs_buf_addz (&a->body, out);
	free (out);
}

static void
on_body (cs_http_call_t *call, cs_str_t bytes)
{
	appender_t *a = call->data;
	cs_buf_add (&a->answer, bytes);
}

static cs_status_t
append_status (cs_http_end_t end, int status)
{
	if (end == CS_HTTP_NOT_SENT)
		return CS_UNAVAILABLE;
	if (end != CS_HTTP_DONE)
		return CS_UNKNOWN;
	if (status == 200)
		return CS_OK;
	if (status == 429)
		return CS_EXHAUSTED;
	return status == 503 ? CS_UNAVAILABLE : CS_UNKNOWN;
}

/* Returns whether the answer carries one offset for each of the n records. */
static bool
answer_has_all_offsets (const appender_t *a, size_t n)
{
	json_error_t error;
	json_t *root = json_loadb (a->answer.p ? a->answer.p : "", a->answer.n, 0, &error);
	bool complete = json_array_size (json_object_get (root, "offsets")) == n;
	json_decref (root);
	return complete;
}

/* Sends the result of the first queued message to its sender and removes it from the queue. An
 * answer without an offset for each record makes CS_OK CS_UNKNOWN. */
static void
report_result (appender_t *a, cs_status_t status)
{
	cs_append_msg_t *m = a->queue[0];
	if (status == CS_OK && !answer_has_all_offsets (a, m->n))
		status = CS_UNKNOWN;
	if (status == CS_UNKNOWN)
		cs_counter_add (&lost, 1);
	cs_appended_msg_t *r = cs_appended_msg (a->stream, m->ticket, status);
	cs_send (a->platform->task, m->msg.from, &r->msg);
	cs_ref_put (&m->msg.ref);
	a->n--;
	memmove (a->queue, a->queue + 1, a->n * sizeof *a->queue);
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	appender_t *a = call->data;
	a->busy = false;
	a->open_new_connection = end != CS_HTTP_DONE;
	if (a->platform->finishing)
		return;
	report_result (a, append_status (end, status));
	send_next (a);
}

static void
send_next (appender_t *a)
{
	if (a->busy || !a->n)
		return;
	encode_body (a, a->queue[0]);
	cs_buf_clear (&a->answer);
	a->call = (cs_http_call_t){
		.method = "POST",
		.url = cs_buf_str (&a->url),
		.body = cs_buf_str (&a->body),
		.headers = headers,
		.idle_timeout_ms = IDLE_MS,
		.needs_new_connection = a->open_new_connection,
		.on_body = on_body,
		.on_end = on_end,
		.data = a,
	};
	cs_counter_add (&appends, 1);
	cs_counter_add (&records, (int64_t)a->queue[0]->n);
	a->busy = cs_http_start (&a->platform->http, &a->call) == CS_OK;
	if (!a->busy)
		report_result (a, CS_UNAVAILABLE);
}

static appender_t *
find_or_create_appender (platform_t *p, const char *stream)
{
	appender_t *a = p->appenders;
	while (a && strcmp (a->stream, stream) != 0)
		a = a->next;
	if (a)
		return a;
	a = cs_alloc (sizeof *a);
	a->platform = p;
	a->stream = cs_str_dup (cs_str (stream));
	cs_buf_printf (&a->url, "%s/topics/%s", p->settings->log_url, stream);
	a->next = p->appenders;
	p->appenders = a;
	return a;
}

void
platform_append (platform_t *p, cs_append_msg_t *msg)
{
	appender_t *a = find_or_create_appender (p, msg->stream);
	cs_ref_get (&msg->msg.ref);
	a->queue = cs_grow (a->queue, &a->cap, a->n + 1, sizeof *a->queue);
	a->queue[a->n++] = msg;
	send_next (a);
}

void
platform_appenders_finish (platform_t *p)
{
	while (p->appenders) {
		appender_t *a = p->appenders;
		p->appenders = a->next;
		for (size_t i = 0; i < a->n; i++)
			cs_ref_put (&a->queue[i]->msg.ref);
		free (a->queue);
		free (a->stream);
		cs_buf_finish (&a->url);
		cs_buf_finish (&a->body);
		cs_buf_finish (&a->answer);
		free (a);
	}
}
