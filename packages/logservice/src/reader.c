/* Reads streams of the log. */
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

enum {
	POLL_MS = 1000,          /* longest wait of one read at the tail */
	IDLE_MS = 3000,          /* a read without a byte for so long is silent */
	RECORDS_A_READ = 64,     /* at most */
	FIRST_RECORDS = 8,       /* of the first read */
	READ_BYTES = 768 * 1024, /* body that is aimed at: some 13 ms of parsing */
	FIRST_RETRY_MS = 200,
	LAST_RETRY_MS = 2000
};

static void read_on (reader_t *r);

static cs_task_t *
control (const reader_t *r)
{
	return cs_task_find (r->platform->task->kernel, "control");
}

/* Adds the decoded value of one record to the message; false if it is malformed. */
static bool
add_record (cs_records_msg_t *m, const json_t *item)
{
	const json_t *value = json_object_get (item, "value");
	const json_t *offset = json_object_get (item, "offset");
	if (!json_is_string (value) || !json_is_integer (offset))
		return false;
	size_t n = json_string_length (value);
	size_t used = 0;
	cs_buf_reserve (&m->storage, n);
	char *to = m->storage.p + m->storage.n;
	if (sodium_base642bin ((unsigned char *)to, n, json_string_value (value), n, NULL, &used,
			       NULL, sodium_base64_VARIANT_ORIGINAL))
		return false;
	m->records[m->n].offset = (uint64_t)json_integer_value (offset);
	m->records[m->n].bytes.n = used;
	m->storage.n += used;
	m->n++;
	return true;
}

/* The storage has stopped moving: points each record into it. */
static void
place_records (cs_records_msg_t *m)
{
	const char *at = m->storage.p;
	for (size_t i = 0; i < m->n; i++) {
		m->records[i].bytes.p = at;
		at += m->records[i].bytes.n;
	}
}

static cs_records_msg_t *
parse (const reader_t *r)
{
	json_error_t error;
	json_t *list = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, &error);
	if (!json_is_array (list)) {
		json_decref (list);
		return cs_records_msg (r->stream, CS_UNAVAILABLE);
	}
	cs_records_msg_t *m = cs_records_msg (r->stream, CS_OK);
	m->records = cs_alloc ((json_array_size (list) + 1) * sizeof *m->records);
	for (size_t i = 0; i < json_array_size (list); i++)
		if (!add_record (m, json_array_get (list, i)))
			break;
	place_records (m);
	json_decref (list);
	return m;
}

static void
publish (reader_t *r, cs_records_msg_t *m)
{
	m->begin = r->begin;
	m->end = r->end;
	m->asked_ms = r->asked_ms;
	cs_send (r->platform->task, control (r), &m->msg);
}

static void
on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	reader_t *r = call->data;
	if (name.n == 14 && !strncasecmp (name.p, "X-Begin-Offset", 14))
		cs_str_u64 (value, &r->begin);
	if (name.n == 12 && !strncasecmp (name.p, "X-End-Offset", 12))
		cs_str_u64 (value, &r->end);
}

static void
on_body (cs_http_call_t *call, cs_str_t bytes)
{
	reader_t *r = call->data;
	cs_buf_add (&r->body, bytes);
}

static void
retry_later (reader_t *r)
{
	uint32_t ms = FIRST_RETRY_MS << (r->failures < 4 ? r->failures : 4);
	r->failures++;
	if (ms > LAST_RETRY_MS)
		ms = LAST_RETRY_MS;
	cs_timer_in (r->platform->task->kernel->loop, &r->retry, ms);
}

/* As many records as made such a body. */
static void
adapt_count (reader_t *r, size_t n)
{
	size_t fit = n ? READ_BYTES * n / (r->body.n + 1) : r->count;
	r->count = fit < 1 ? 1 : fit > RECORDS_A_READ ? RECORDS_A_READ : (unsigned)fit;
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	reader_t *r = call->data;
	r->busy = false;
	if (r->platform->finishing || r->stopped)
		return;
	if (end == CS_HTTP_CANCELLED) {
		read_on (r);
		return;
	}
	cs_records_msg_t *m = NULL;
	if (end == CS_HTTP_DONE && status == 200)
		m = parse (r);
	else if (end == CS_HTTP_DONE && status == 404 && r->begin > r->offset)
		m = cs_records_msg (r->stream, CS_OK);
	else
		m = cs_records_msg (r->stream, CS_UNAVAILABLE);

	bool failed = m->status != CS_OK;
	r->fresh = failed;
	if (m->n)
		r->offset = m->records[m->n - 1].offset + 1;
	else if (!failed && r->begin > r->offset)
		r->offset = r->begin;
	adapt_count (r, m->n);
	publish (r, m);
	if (failed) {
		retry_later (r);
		return;
	}
	r->failures = 0;
	read_on (r);
}

static void
read_on (reader_t *r)
{
	cs_buf_clear (&r->url);
	cs_buf_clear (&r->body);
	r->begin = 0;
	r->end = 0;
	cs_buf_printf (&r->url,
		       "%s/topics/%s/partitions/0/messages?offset=%llu&count=%u&timeout=%d",
		       r->platform->settings->log_url, r->stream, (unsigned long long)r->offset,
		       r->count, POLL_MS);
	r->call = (cs_http_call_t){
		.method = "GET",
		.url = cs_buf_str (&r->url),
		.idle_ms = IDLE_MS,
		.fresh = r->fresh,
		.on_header = on_header,
		.on_body = on_body,
		.on_end = on_end,
		.data = r,
	};
	r->asked_ms = cs_now_ms ();
	r->busy = cs_http_start (&r->platform->http, &r->call) == CS_OK;
	if (!r->busy)
		retry_later (r);
}

static void
on_retry (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	read_on (w->data);
}

/* Goes on from the offset; 0: stops. */
static void
move (reader_t *r, uint64_t offset)
{
	bool was_stopped = r->stopped;
	r->offset = offset;
	r->stopped = !offset;
	if (r->busy) {
		cs_http_cancel (&r->call);
		return;
	}
	if (!was_stopped && !r->stopped)
		return; /* its retry is due */
	ev_timer_stop (r->platform->task->kernel->loop, &r->retry);
	if (!r->stopped)
		read_on (r);
}

void
platform_follow (platform_t *p, const char *stream, uint64_t offset)
{
	reader_t *r = p->readers;
	while (r && strcmp (r->stream, stream) != 0)
		r = r->next;
	if (r) {
		move (r, offset);
		return;
	}
	if (!offset)
		return;
	r = cs_alloc (sizeof *r);
	r->platform = p;
	r->stream = cs_str_dup (cs_str (stream));
	r->offset = offset;
	r->count = FIRST_RECORDS;
	ev_timer_init (&r->retry, on_retry, 0, 0);
	r->retry.data = r;
	r->next = p->readers;
	p->readers = r;
	read_on (r);
}

void
platform_readers_finish (platform_t *p)
{
	while (p->readers) {
		reader_t *r = p->readers;
		p->readers = r->next;
		ev_timer_stop (p->task->kernel->loop, &r->retry);
		free (r->stream);
		cs_buf_finish (&r->url);
		cs_buf_finish (&r->body);
		free (r);
	}
}
