/* Long-polling readers of log streams. */
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

enum {
	POLL_WAIT_MS = 1000, /* how long the log service holds a read at the tail */
	IDLE_MS = 3000,      /* a read that receives no byte for this long fails */
	MAX_RECORDS_PER_READ = 64,
	INITIAL_RECORDS = 8,            /* max_records of a reader's first read */
	TARGET_BODY_BYTES = 768 * 1024, /* target size of an answer; parsing takes some 13 ms */
	INITIAL_RETRY_MS = 200,
	MAX_RETRY_MS = 2000
};

static void start_read (reader_t *r);

static cs_task_t *
control_task (const reader_t *r)
{
	return cs_task_find (r->platform->task->kernel, "control");
}

/* Appends the base64-decoded value of one record to the message's storage. Returns false if the
 * record is malformed. */
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

/* Points each record at its bytes in the storage. Called after the last record is added, since
 * growing the storage may move it. */
static void
set_record_pointers (cs_records_msg_t *m)
{
	const char *at = m->storage.p;
	for (size_t i = 0; i < m->n; i++) {
		m->records[i].bytes.p = at;
		at += m->records[i].bytes.n;
	}
}

static cs_records_msg_t *
parse_records (const reader_t *r)
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
	set_record_pointers (m);
	json_decref (list);
	return m;
}

static void
send_records (reader_t *r, cs_records_msg_t *m)
{
	m->begin = r->begin_offset;
	m->end = r->end_offset;
	m->read_started_ms = r->sent_ms;
	cs_send (r->platform->task, control_task (r), &m->msg);
}

static void
on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	reader_t *r = call->data;
	if (name.n == 14 && !strncasecmp (name.p, "X-Begin-Offset", 14))
		cs_str_u64 (value, &r->begin_offset);
	if (name.n == 12 && !strncasecmp (name.p, "X-End-Offset", 12))
		cs_str_u64 (value, &r->end_offset);
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
	uint32_t ms = INITIAL_RETRY_MS << (r->failures < 4 ? r->failures : 4);
	r->failures++;
	if (ms > MAX_RETRY_MS)
		ms = MAX_RETRY_MS;
	cs_timer_start_after (r->platform->task->kernel->loop, &r->retry_timer, ms);
}

/* Sets max_records so that the next answer is about TARGET_BODY_BYTES long, given that the last
 * one held n records in r->body.n bytes. */
static void
adapt_max_records (reader_t *r, size_t n)
{
	size_t fit = n ? TARGET_BODY_BYTES * n / (r->body.n + 1) : r->max_records;
	r->max_records = fit < 1                      ? 1
			 : fit > MAX_RECORDS_PER_READ ? MAX_RECORDS_PER_READ
						      : (unsigned)fit;
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	reader_t *r = call->data;
	r->busy = false;
	if (r->platform->finishing || r->stopped)
		return;
	if (end == CS_HTTP_CANCELLED) {
		start_read (r);
		return;
	}
	cs_records_msg_t *m = NULL;
	if (end == CS_HTTP_DONE && status == 200)
		m = parse_records (r);
	else if (end == CS_HTTP_DONE && status == 404 && r->begin_offset > r->next_offset)
		m = cs_records_msg (r->stream, CS_OK);
	else
		m = cs_records_msg (r->stream, CS_UNAVAILABLE);

	bool failed = m->status != CS_OK;
	r->open_new_connection = failed;
	if (m->n)
		r->next_offset = m->records[m->n - 1].offset + 1;
	else if (!failed && r->begin_offset > r->next_offset)
		r->next_offset = r->begin_offset;
	adapt_max_records (r, m->n);
	send_records (r, m);
	if (failed) {
		retry_later (r);
		return;
	}
	r->failures = 0;
	start_read (r);
}

static void
start_read (reader_t *r)
{
	cs_buf_clear (&r->url);
	cs_buf_clear (&r->body);
	r->begin_offset = 0;
	r->end_offset = 0;
	cs_buf_printf (&r->url,
		       "%s/topics/%s/partitions/0/messages?offset=%llu&count=%u&timeout=%d",
		       r->platform->settings->log_url, r->stream,
		       (unsigned long long)r->next_offset, r->max_records, POLL_WAIT_MS);
	r->call = (cs_http_call_t){
		.method = "GET",
		.url = cs_buf_str (&r->url),
		.idle_timeout_ms = IDLE_MS,
		.needs_new_connection = r->open_new_connection,
		.on_header = on_header,
		.on_body = on_body,
		.on_end = on_end,
		.data = r,
	};
	r->sent_ms = cs_now_ms ();
	r->busy = cs_http_start (&r->platform->http, &r->call) == CS_OK;
	if (!r->busy)
		retry_later (r);
}

static void
on_retry (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	start_read (w->data);
}

/* Continues reading at the offset; offset 0 stops the reader. A read in flight is cancelled;
 * its on_end starts the next one unless the reader is stopped. */
static void
reposition (reader_t *r, uint64_t offset)
{
	bool was_stopped = r->stopped;
	r->next_offset = offset;
	r->stopped = !offset;
	if (r->busy) {
		cs_http_cancel (&r->call);
		return;
	}
	if (!was_stopped && !r->stopped)
		return; /* the retry timer is running and starts the next read */
	ev_timer_stop (r->platform->task->kernel->loop, &r->retry_timer);
	if (!r->stopped)
		start_read (r);
}

void
platform_follow (platform_t *p, const char *stream, uint64_t offset)
{
	reader_t *r = p->readers;
	while (r && strcmp (r->stream, stream) != 0)
		r = r->next;
	if (r) {
		reposition (r, offset);
		return;
	}
	if (!offset)
		return;
	r = cs_alloc (sizeof *r);
	r->platform = p;
	r->stream = cs_str_dup (cs_str (stream));
	r->next_offset = offset;
	r->max_records = INITIAL_RECORDS;
	ev_timer_init (&r->retry_timer, on_retry, 0, 0);
	r->retry_timer.data = r;
	r->next = p->readers;
	p->readers = r;
	start_read (r);
}

void
platform_readers_finish (platform_t *p)
{
	while (p->readers) {
		reader_t *r = p->readers;
		p->readers = r->next;
		ev_timer_stop (p->task->kernel->loop, &r->retry_timer);
		free (r->stream);
		cs_buf_finish (&r->url);
		cs_buf_finish (&r->body);
		free (r);
	}
}
