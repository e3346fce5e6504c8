/* Options and callbacks of one libcurl handle. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cs/log.h"
#include "transfer.h"

enum {
	DEFAULT_CONNECT_MS = 2000,
	MAX_HEAD_BYTES = 32 << 10,  /* of all header lines of a call: informational responses, the
				       final one and trailers */
	HEAD_LINE_BYTES = 128,      /* what a header line counts besides its bytes: libcurl and its
				       receiver keep each of them */
	MAX_IDLE_CONNECTION_S = 30, /* a connection idle for longer is not reused */
	MAX_BYTES_AT_ONCE = 64 << 10, /* of a body, then other sockets and timers have their turn */
	MAX_TURN_MS = 20 /* the same for bytes that reach no callback, as a chunk's extension */
};

static cs_str_t
trim (cs_str_t s)
{
	while (s.n && (s.p[0] == ' ' || s.p[0] == '\t')) {
		s.p++;
		s.n--;
	}
	while (s.n && strchr (" \t\r\n", s.p[s.n - 1]))
		s.n--;
	return s;
}

static bool
name_is (cs_str_t name, const char *expected)
{
	return name.n == strlen (expected) && !strncasecmp (name.p, expected, name.n);
}

/* Whether this header determines where the body ends. */
static bool
delimits_body (cs_str_t name, cs_str_t value)
{
	if (name_is (name, "content-length"))
		return true;
	return name_is (name, "transfer-encoding") && value.n >= 7 &&
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

static bool
is_head_too_long (cs_http_transfer_t *t, size_t line_bytes)
{
	t->head_bytes += line_bytes + HEAD_LINE_BYTES;
	if (t->head_bytes <= MAX_HEAD_BYTES)
		return false;
	cs_log ("http", CS_LOG_WARN, "header lines from %.*s exceed %d bytes",
		CS_STR_ARG (t->call->url), MAX_HEAD_BYTES);
	return true;
}

static bool
is_informational (cs_http_transfer_t *t)
{
	long status = 0;
	curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &status);
	return status < 200;
}

static void
finish_head (cs_http_transfer_t *t)
{
	long status = 0;
	curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200 || t->status)
		return;
	long connects = 1;
	curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &connects);
	t->call->is_reused = !connects;
	t->status = (int)status;
	if (status == 204 || status == 304 || !strcmp (t->call->method, "HEAD"))
		t->delimited = true;
	if (t->call->on_head)
		t->call->on_head (t->call, t->status, cs_buf_str (&t->content_type));
}

/* libcurl reads a folded line as a header of its own, and does not find the end of the body in a
 * header whose name has a space behind it. */
static bool
is_misread (cs_str_t line)
{
	cs_str_t name = cs_str_split (&line, ':');
	cs_str_t trimmed = trim (name);
	if (name.n && (name.p[0] == ' ' || name.p[0] == '\t'))
		return true;
	return name.n > trimmed.n &&
	       (name_is (trimmed, "content-length") || name_is (trimmed, "transfer-encoding"));
}

/* libcurl calls this once for each header line, including its line terminator. Only whole heads end
 * a silence: single lines could come for good. */
static size_t
on_header (char *p, size_t size, size_t n, void *data)
{
	cs_http_transfer_t *t = data;
	cs_str_t raw = cs_str_n (p, size * n);
	cs_str_t line = trim (raw);
	if (t->cancelled || is_head_too_long (t, size * n))
		return 0;
	if (t->status)
		return size * n; /* a trailer */
	if (is_misread (raw))
		return 0;
	if (cs_str_starts (line, "HTTP/")) {
		t->delimited = false;
		return size * n;
	}
	if (!line.n) {
		t->last_byte = ev_now (t->call->http->loop);
		finish_head (t);
		return t->cancelled ? 0 : size * n;
	}
	if (is_informational (t))
		return size * n;
	cs_str_t name = trim (cs_str_split (&line, ':'));
	line = trim (line);
	if (name_is (name, "content-type")) {
		cs_buf_clear (&t->content_type);
		cs_buf_add (&t->content_type, line);
	}
	if (name_is (name, "content-length") && !accept_length (t, line))
		return 0;
	t->delimited |= delimits_body (name, line);
	if (t->call->on_header)
		t->call->on_header (t->call, name, line);
	return t->cancelled ? 0 : size * n;
}

static size_t
on_write (char *p, size_t size, size_t n, void *data)
{
	cs_http_transfer_t *t = data;
	/* Bytes behind a 101 response, to which no request asks to change. */
	if (t->cancelled || !t->status)
		return 0;
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

static bool
add_headers (cs_http_transfer_t *t)
{
	bool has_content_type = false;
	t->headers = curl_slist_append (NULL, "Expect:");
	for (const char *const *h = t->call->headers; h && *h; h++) {
		struct curl_slist *list = curl_slist_append (t->headers, *h);
		if (!list)
			return false;
		t->headers = list;
		has_content_type |= !strncasecmp (*h, "content-type:", 13);
	}
	if (!has_content_type)
		t->headers = curl_slist_append (t->headers, "Content-Type:");
	return t->headers && !curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->headers);
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
