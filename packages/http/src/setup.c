/* Options and callbacks of one libcurl handle. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cs/counters.h"
#include "cs/http_syntax.h"
#include "cs/log.h"
#include "transfer.h"

enum {
	DEFAULT_CONNECT_MS = 2000,
	MAX_HEAD_BYTES = 32 << 10, /* of all header lines of a call: informational responses, the
				      final one and trailers */
	HEAD_LINE_BYTES = 128,     /* memory of a header line besides its bytes: libcurl and its
				      receiver keep each of them */
	MAX_HEAD_MEMORY_BYTES = 256 << 10, /* of these, with the bytes */
	MAX_IDLE_CONNECTION_S = 30,        /* a connection idle for longer is not reused */
	MAX_BYTES_AT_ONCE = 64 << 10, /* of a body, then other sockets and timers have their turn */
	MAX_TURN_MS = 20 /* the same for bytes that reach no callback, as a chunk's extension */
};

static cs_counter_t rejected = {.name = "cs_http_bad_heads_total",
				.help = "Responses whose head or trailers were malformed."};

/* Whether this header determines where the body ends. */
static bool
delimits_body (cs_str_t name, cs_str_t value)
{
	if (cs_http_name_is (name, "content-length"))
		return true;
	return cs_http_name_is (name, "transfer-encoding") && value.n >= 7 &&
	       !strncasecmp (value.p + value.n - 7, "chunked", 7);
}

/* False if the length is no number or another one than before. libcurl takes the number at the
 * start of the last line, and without one lets the body end with its connection. */
static bool
accept_length (cs_http_transfer_t *t, cs_str_t value)
{
	uint64_t n = 0;
	if (!cs_str_u64 (value, &n) || n > INT64_MAX || (t->has_length && n != t->length))
		return false;
	t->has_length = true;
	t->length = n;
	return true;
}

/* A head of many short lines takes more memory than its bytes, which calls share beyond what each
 * of them has. */
static bool
accept_head_bytes (cs_http_transfer_t *t, size_t bytes)
{
	cs_answer_memory_t *shared = &t->call->http->head_memory;
	t->head_bytes += bytes;
	t->n_head_lines++;
	size_t needed = t->head_bytes + t->n_head_lines * HEAD_LINE_BYTES;
	size_t excess = needed > MAX_HEAD_BYTES ? needed - MAX_HEAD_BYTES : 0;
	if (t->head_bytes <= MAX_HEAD_BYTES && needed <= MAX_HEAD_MEMORY_BYTES &&
	    cs_answer_memory_resize (shared, &t->held_head_bytes, excess))
		return true;
	cs_log ("http", CS_LOG_WARN,
		"header lines from %.*s: %zu lines of %zu bytes exceed %d bytes, %d of memory, or "
		"what is free of %zu, of which other calls hold %zu",
		CS_STR_ARG (t->call->url), t->n_head_lines, t->head_bytes, MAX_HEAD_BYTES,
		MAX_HEAD_MEMORY_BYTES, shared->max, shared->held - t->held_head_bytes);
	return false;
}

static void
finish_head (cs_http_transfer_t *t)
{
	int status = t->head_status;
	long connects = 1;
	curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &connects);
	t->call->is_reused = !connects;
	t->status = status;
	if (status == 204 || status == 304 || !strcmp (t->call->method, "HEAD"))
		t->delimited = true;
	if (t->call->on_head)
		t->call->on_head (t->call, t->status, cs_buf_str (&t->content_type));
}

void
cs_http_transfer_log_bad_head (const cs_http_transfer_t *t, const char *reason, cs_str_t line)
{
	enum {
		MAX_LOGGED_BYTES = 80
	};
	cs_buf_t text = {0};
	for (size_t i = 0; i < line.n && i < MAX_LOGGED_BYTES; i++) {
		unsigned char c = (unsigned char)line.p[i];
		bool is_plain = c >= ' ' && c < 127 && c != '"' && c != '\\';
		cs_buf_printf (&text, is_plain ? "%c" : "\\x%02x", c);
	}
	cs_counter_add (&rejected, 1);
	cs_log_event ("http", "bad_head", "url=%.*s reason=%s bytes=%zu line=\"%.*s\"",
		      CS_STR_ARG (t->call->url), reason, line.n, CS_STR_ARG (text));
	cs_buf_finish (&text);
}

/* Ends the call: what was received is no response, and its connection is not used again. */
static size_t
reject (const cs_http_transfer_t *t, const char *reason, cs_str_t line)
{
	cs_http_transfer_log_bad_head (t, reason, line);
	return 0;
}

/* libcurl takes more for a status line than is one, and other versions of it take others. False if
 * the line is none, or one that no request asked for. */
static bool
begin_head (cs_http_transfer_t *t, cs_str_t line)
{
	t->delimited = t->has_length = t->is_chunked = false;
	t->head_status = 0;
	if (!cs_http_status_line (line, &t->head_status))
		return false;
	cs_http_response_t response = cs_http_judge_status (t->head_status, t->n_interim);
	t->is_interim = response == CS_HTTP_INTERIM;
	t->n_interim += t->is_interim;
	return response != CS_HTTP_UNASKED;
}

/* The empty line behind the header lines. */
static size_t
end_head (cs_http_transfer_t *t, size_t bytes)
{
	t->last_byte = ev_now (t->call->http->loop);
	t->is_in_head = false;
	if (t->is_interim)
		return bytes;
	if (!cs_http_may_state_body (t->head_status, t->is_chunked, t->has_length ? t->length : 0))
		return reject (t, "body", cs_str (NULL));
	finish_head (t);
	return t->cancelled ? 0 : bytes;
}

/* libcurl calls this once for each status and header line, with its end, and for trailers. Only
 * whole heads end a silence: single lines could come for good. */
static size_t
on_header (char *p, size_t size, size_t n, void *data)
{
	cs_http_transfer_t *t = data;
	cs_str_t line = cs_http_line (cs_str_n (p, size * n)), name, value;
	if (t->cancelled)
		return 0;
	if (!accept_head_bytes (t, size * n))
		return reject (t, "too-long", line);
	if (!t->is_in_head && !t->status) {
		t->is_in_head = true;
		return begin_head (t, line) ? size * n : reject (t, "status-line", line);
	}
	if (!line.n)
		return t->status ? size * n : end_head (t, size * n);
	if (!cs_http_header_line (line, &name, &value))
		return reject (t, t->status ? "trailer" : "header-line", line);
	if (t->status || t->is_interim)
		return size * n;
	if (cs_http_name_is (name, "content-type")) {
		cs_buf_clear (&t->content_type);
		cs_buf_add (&t->content_type, value);
	}
	if (cs_http_name_is (name, "content-length") && !accept_length (t, value))
		return reject (t, "content-length", line);
	t->is_chunked |= cs_http_name_is (name, "transfer-encoding");
	t->delimited |= delimits_body (name, value);
	if (t->call->on_header)
		t->call->on_header (t->call, name, value);
	return t->cancelled ? 0 : size * n;
}

static size_t
on_write (char *p, size_t size, size_t n, void *data)
{
	cs_http_transfer_t *t = data;
	/* Bytes behind a 101 response, to which no request asks to change. */
	if (t->cancelled || !t->status)
		return 0;
	if (!cs_http_may_state_body (t->status, false, size * n))
		return reject (t, "body", cs_str_n (p, size * n));
	t->last_byte = ev_now (t->call->http->loop);
	if (t->paused || t->bytes_at_once >= MAX_BYTES_AT_ONCE) {
		cs_http_transfer_withhold (t);
		return CURL_WRITEFUNC_PAUSE;
	}
	t->bytes_at_once += size * n;
	if (t->call->on_body)
		t->call->on_body (t->call, cs_str_n (p, size * n));
	return t->cancelled ? 0 : size * n;
}

/* libcurl reads for as long as the socket is readable, which may be without end. */
static int
on_progress (void *data, curl_off_t down_total, curl_off_t down, curl_off_t up_total, curl_off_t up)
{
	cs_http_transfer_t *t = data;
	ev_tstamp turn_s = ev_time () - ev_now (t->call->http->loop);
	(void)down_total;
	(void)down;
	(void)up_total;
	(void)up;
	if (t->status && !t->data_withheld && turn_s * 1000 > MAX_TURN_MS) {
		cs_http_transfer_withhold (t);
		curl_easy_pause (t->easy, CURLPAUSE_RECV);
	}
	return 0;
}

/* Called before each attempt to send the request. libcurl retries a request when a reused
 * connection closes without a response; this prevents it, as the server may have executed the first
 * attempt. */
static int
on_before_request (void *data, char *ip, char *local_ip, int port, int local_port)
{
	cs_http_transfer_t *t = data;
	int64_t not_after_ms = t->call->not_after_ms;
	if (t->sent || (not_after_ms && cs_now_ms () > not_after_ms))
		return CURL_PREREQFUNC_ABORT;
	t->stale = cs_http_connection_is_stale (t, ip, port, local_ip, local_port);
	t->sent = !t->stale;
	return t->sent ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static void
add_line (cs_http_transfer_t *t, size_t *n, char **text, const char *line)
{
	size_t bytes = strlen (line) + 1;
	memcpy (*text, line, bytes);
	t->headers[*n] = (struct curl_slist){.data = *text};
	if (*n)
		t->headers[*n - 1].next = &t->headers[*n];
	(*n)++;
	*text += bytes;
}

/* The list of header lines is one block, whatever their number. */
static bool
add_headers (cs_http_transfer_t *t)
{
	static const char no_expect[] = "Expect:", no_content_type[] = "Content-Type:";
	bool has_content_type = false;
	size_t n = 2, text_bytes = sizeof no_expect + sizeof no_content_type;
	const char *const *h;
	for (h = t->call->headers; h && *h; h++, n++)
		text_bytes += strlen (*h) + 1;
	t->headers = cs_alloc (n * sizeof *t->headers + text_bytes);
	char *text = (char *)(t->headers + n);
	n = 0;
	add_line (t, &n, &text, no_expect);
	for (h = t->call->headers; h && *h; h++) {
		add_line (t, &n, &text, *h);
		has_content_type |= !strncasecmp (*h, no_content_type, strlen (no_content_type));
	}
	if (!has_content_type)
		add_line (t, &n, &text, no_content_type);
	return curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->headers) == CURLE_OK;
}

static void
set_method (cs_http_transfer_t *t)
{
	const cs_http_call_t *c = t->call;
	CURL *e = t->easy;
	if (!strcmp (c->method, "HEAD")) {
		curl_easy_setopt (e, CURLOPT_NOBODY, 1L);
		return;
	}
	if (c->body.n || !strcmp (c->method, "POST") || !strcmp (c->method, "PUT") ||
	    !strcmp (c->method, "PATCH")) {
		curl_easy_setopt (e, CURLOPT_POST, 1L);
		curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->body.n);
		curl_easy_setopt (e, CURLOPT_POSTFIELDS, c->body.n ? c->body.p : "");
	}
	curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, c->method);
}

static void
set_connection_options (cs_http_transfer_t *t)
{
	const cs_http_call_t *c = t->call;
	long connect_ms = c->connect_timeout_ms ? (long)c->connect_timeout_ms : DEFAULT_CONNECT_MS;
	CURL *e = t->easy;
	curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	curl_easy_setopt (e, CURLOPT_MAXAGE_CONN, (long)MAX_IDLE_CONNECTION_S);
	curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, c->needs_new_connection ? 1L : 0L);
	curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (e, CURLOPT_PROXY, "");
	curl_easy_setopt (e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt (e, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt (e, CURLOPT_PATH_AS_IS, 1L);
}

static void
set_callbacks (cs_http_transfer_t *t)
{
	CURL *e = t->easy;
	curl_easy_setopt (e, CURLOPT_PRIVATE, t);
	curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt (e, CURLOPT_HEADERDATA, t);
	curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt (e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt (e, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt (e, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt (e, CURLOPT_XFERINFODATA, t);
	curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt (e, CURLOPT_PREREQDATA, t);
	cs_http_connections_watch (t);
}

CURL *
cs_http_transfer_setup (cs_http_transfer_t *t)
{
	char *url = cs_str_dup (t->call->url);
	t->easy = curl_easy_init ();
	if (t->easy) {
		set_callbacks (t);
		set_connection_options (t);
		set_method (t);
	}
	if (t->easy &&
	    (!add_headers (t) || curl_easy_setopt (t->easy, CURLOPT_URL, url) != CURLE_OK)) {
		curl_easy_cleanup (t->easy);
		t->easy = NULL;
	}
	free (url);
	return t->easy;
}
