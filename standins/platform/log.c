/* Log service: append-only streams with offsets from 1 and retention by record count. */
#include <errno.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform.h"

enum {
	MAX_READ_RECORDS = 5000,
	MAX_WAIT_MS = 60000 /* longest long poll */
};

typedef struct stream {
	struct stream *next;
	char *name;
	char **values; /* base64; values[i] is at offset begin + i */
	size_t n;
	size_t cap;
	uint64_t begin; /* oldest retained offset */
} stream_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t streams_changed = PTHREAD_COND_INITIALIZER;
static stream_t *streams;
static log_fault_t fault;
static int64_t delay_ms;            /* of each call under LOG_SLOW */
static double append_tokens = 1;    /* token bucket of the append rate limit */
static int64_t append_tokens_at_ms; /* last refill, by server_now_ms */
static struct {
	json_int_t appends, records, refused, reads, silenced_reads, bytes_in, bytes_out;
} stats;

static stream_t *
stream_get (cs_str_t name)
{
	for (stream_t *s = streams; s; s = s->next)
		if (cs_str_is (name, s->name))
			return s;
	stream_t *s = cs_alloc (sizeof *s);
	s->name = cs_str_dup (name);
	s->begin = 1;
	s->next = streams;
	streams = s;
	return s;
}

static uint64_t
stream_add (stream_t *s, const char *value)
{
	s->values = cs_grow (s->values, &s->cap, s->n + 1, sizeof *s->values);
	s->values[s->n++] = cs_str_dup (cs_str (value));
	uint64_t offset = s->begin + s->n - 1;
	while (s->n > options.retention_records) {
		free (s->values[0]);
		memmove (s->values, s->values + 1, --s->n * sizeof *s->values);
		s->begin++;
	}
	return offset;
}

void
log_set_fault (log_fault_t new_fault, int64_t ms)
{
	pthread_mutex_lock (&lock);
	fault = new_fault;
	delay_ms = ms;
	pthread_cond_broadcast (&streams_changed);
	pthread_mutex_unlock (&lock);
}

json_t *
log_stats (void)
{
	json_t *ends = json_object ();
	pthread_mutex_lock (&lock);
	for (const stream_t *s = streams; s; s = s->next) {
		json_int_t begin = (json_int_t)s->begin;
		json_int_t end = begin + (json_int_t)s->n;
		json_object_set_new (ends, s->name,
				     json_pack ("{s:I, s:I}", "begin", begin, "end", end));
	}
	json_t *j = json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "appends", stats.appends,
			       "records", stats.records, "refused", stats.refused, "reads",
			       stats.reads, "silenced_reads", stats.silenced_reads, "bytes_in",
			       stats.bytes_in, "bytes_out", stats.bytes_out, "streams", ends);
	pthread_mutex_unlock (&lock);
	return j;
}

/* Token bucket: takes a token for one append; false if there is none. The burst is the number
 * of appends allowed per second. */
static bool
take_append_token (void)
{
	int64_t now = server_now_ms ();
	double rate = (double)options.appends_per_second;
	if (!options.appends_per_second)
		return true;
	append_tokens += (double)(now - append_tokens_at_ms) * rate / 1000;
	append_tokens_at_ms = now;
	if (append_tokens > rate)
		append_tokens = rate;
	if (append_tokens < 1)
		return false;
	append_tokens -= 1;
	return true;
}

/* Decoded size of base64 text in bytes, -1 if it is malformed. */
static ssize_t
decoded_bytes (const char *text)
{
	size_t n = strlen (text);
	size_t got = 0;
	unsigned char *bytes = cs_alloc (n);
	int malformed = sodium_base642bin (bytes, n, text, n, NULL, &got, NULL,
					   sodium_base64_VARIANT_ORIGINAL);
	free (bytes);
	return malformed ? -1 : (ssize_t)got;
}

/* Decoded size of all records in bytes; -1 if there are none or one is malformed. */
static ssize_t
records_bytes (const json_t *records)
{
	size_t i;
	json_t *record;
	ssize_t total = 0;
	if (!json_is_array (records) || !json_array_size (records))
		return -1;
	json_array_foreach (records, i, record) {
		const char *value = json_string_value (json_object_get (record, "value"));
		ssize_t n = value ? decoded_bytes (value) : -1;
		if (n < 0)
			return -1;
		total += n;
	}
	return total;
}

static json_t *
append_locked (cs_str_t name, const json_t *records, ssize_t bytes)
{
	size_t i;
	json_t *record;
	json_t *offsets = json_array ();
	stream_t *s = stream_get (name);
	json_array_foreach (records, i, record) {
		uint64_t o = stream_add (s, json_string_value (json_object_get (record, "value")));
		json_array_append_new (
			offsets, json_pack ("{s:i, s:I}", "partition", 0, "offset", (json_int_t)o));
		stats.records++;
	}
	stats.appends++;
	stats.bytes_in += bytes;
	pthread_cond_broadcast (&streams_changed);
	return json_pack ("{s:o}", "offsets", offsets);
}

static enum MHD_Result
append_records (server_request_t *r, cs_str_t name)
{
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	const json_t *records = json_object_get (body, "records");
	ssize_t bytes = records_bytes (records);
	if (bytes < 0) {
		json_decref (body);
		return server_reply_error (
			r, 422,
			"expected a non-empty array \"records\" with a base64 \"value\" in each");
	}
	pthread_mutex_lock (&lock);
	bool down = fault == LOG_DOWN;
	bool lose_response = fault == LOG_LOSE_RESPONSES || fault == LOG_LOSE_NEXT;
	bool over_rate = !down && (fault == LOG_OVER_RATE || !take_append_token ());
	json_t *answer = down || over_rate ? NULL : append_locked (name, records, bytes);
	if (answer && fault == LOG_LOSE_NEXT)
		fault = LOG_OK;
	stats.refused += over_rate;
	pthread_mutex_unlock (&lock);
	json_decref (body);
	if (down)
		return server_reply_error (r, 503, "the log is down");
	if (over_rate)
		return server_reply_error (r, 429, "the append rate limit is exceeded");
	if (!lose_response)
		return server_reply (r, 200, answer);
	json_decref (answer);
	return MHD_NO;
}

/* Long poll: waits until the stream has the offset, the time-out (at most MAX_WAIT_MS) expires
 * or LOG_DOWN is set. Call with the lock held. */
static void
wait_for_offset (const stream_t *s, uint64_t offset, uint64_t timeout_ms)
{
	struct timespec end;
	if (timeout_ms > MAX_WAIT_MS)
		timeout_ms = MAX_WAIT_MS;
	clock_gettime (CLOCK_REALTIME, &end);
	end.tv_sec += (time_t)(timeout_ms / 1000);
	end.tv_nsec += (long)(timeout_ms % 1000) * 1000000;
	if (end.tv_nsec >= 1000000000) {
		end.tv_sec++;
		end.tv_nsec -= 1000000000;
	}
	while (s->begin + s->n <= offset && fault != LOG_DOWN)
		if (pthread_cond_timedwait (&streams_changed, &lock, &end) == ETIMEDOUT)
			return;
}

/* Up to count records starting at the offset; NULL if the offset is below the oldest retained
 * one. */
static json_t *
read_locked (const stream_t *s, uint64_t offset, uint64_t count)
{
	if (offset < s->begin)
		return NULL;
	json_t *list = json_array ();
	for (uint64_t i = offset - s->begin; i < s->n && count; i++, count--) {
		json_array_append_new (list, json_pack ("{s:n, s:s, s:i, s:I}", "key", "value",
							s->values[i], "partition", 0, "offset",
							(json_int_t)s->begin + (json_int_t)i));
		stats.bytes_out += (json_int_t)strlen (s->values[i]) * 3 / 4;
	}
	return list;
}

static void
add_offset_header (struct MHD_Response *response, const char *name, uint64_t offset)
{
	char text[24];
	snprintf (text, sizeof text, "%llu", (unsigned long long)offset);
	MHD_add_response_header (response, name, text);
}

enum MHD_Result
log_hold_silent (server_request_t *r)
{
	enum MHD_Result result = server_block_until_closed (r);
	pthread_mutex_lock (&lock);
	stats.silenced_reads += !strcmp (r->method, "GET");
	pthread_mutex_unlock (&lock);
	return result;
}

static enum MHD_Result
read_messages (server_request_t *r, cs_str_t name)
{
	uint64_t offset = server_query_u64 (r, "offset", 1);
	uint64_t count = server_query_u64 (r, "count", MAX_READ_RECORDS);
	uint64_t timeout_ms = server_query_u64 (r, "timeout", 0);
	pthread_mutex_lock (&lock);
	const stream_t *s = stream_get (name);
	wait_for_offset (s, offset, timeout_ms);
	bool down = fault == LOG_DOWN;
	json_t *list =
		down ? NULL
		     : read_locked (s, offset, count < MAX_READ_RECORDS ? count : MAX_READ_RECORDS);
	uint64_t begin = s->begin;
	uint64_t end = s->begin + s->n;
	stats.reads++;
	pthread_mutex_unlock (&lock);
	if (server_is_silent (r)) {
		json_decref (list);
		return log_hold_silent (r);
	}
	if (down)
		return server_reply_error (r, 503, "the log is down");
	unsigned status = list ? 200 : 404;
	if (!list)
		list = json_pack ("{s:i, s:s}", "error_code", 40404, "message",
				  "the offset is below X-Begin-Offset, the oldest retained");
	struct MHD_Response *response = server_json_response (list);
	add_offset_header (response, "X-Begin-Offset", begin);
	add_offset_header (response, "X-End-Offset", end);
	return server_queue_response (r, status, response);
}

enum MHD_Result
log_handle (server_request_t *r)
{
	cs_str_t rest = cs_str (r->path + strlen ("/topics/"));
	cs_str_t name = cs_str_split (&rest, '/');
	pthread_mutex_lock (&lock);
	int64_t wait_ms = fault == LOG_SLOW ? delay_ms : 0;
	pthread_mutex_unlock (&lock);
	if (wait_ms && !server_sleep (r, wait_ms))
		return MHD_NO;
	if (!strcmp (r->method, "POST") && !rest.n)
		return append_records (r, name);
	if (!strcmp (r->method, "GET") && cs_str_is (rest, "partitions/0/messages"))
		return read_messages (r, name);
	return server_reply_error (r, 404, "no such path");
}
