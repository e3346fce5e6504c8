/* HTTP client of the daemons' operators' API. */
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	CONNECT_TIMEOUT_MS = 3000,   /* then the next server is tried */
	DEFAULT_CALL_TIMEOUT_S = 30, /* limit for one call if the caller gives none */
	STREAM_STALL_S = 30          /* a stream without a byte for this long is closed */
};

void
answer_finish (answer_t *a)
{
	json_decref (a->body);
	a->body = NULL;
}

void
client_escape (cs_buf_t *out, const char *text)
{
	static const char plain[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789-._~/";
	for (const char *c = text; *c; c++) {
		if (strchr (plain, *c))
			cs_buf_add (out, cs_str_n (c, 1));
		else
			cs_buf_printf (out, "%%%02X", (unsigned char)*c);
	}
}

static size_t
append_response (char *bytes, size_t size, size_t n, void *data)
{
	cs_buf_add (data, cs_str_n (bytes, size * n));
	return size * n;
}

/* Creates a curl handle for server and path with the headers common to all calls. The caller
 * frees *headers after the handle. */
static CURL *
handle_new (const options_t *o, cs_str_t server, const char *path, struct curl_slist **headers)
{
	cs_buf_t text;
	CURL *curl = curl_easy_init ();
	if (!curl) {
		fputs ("cornelspindle: libcurl cannot be initialized\n", stderr);
		abort ();
	}
	while (server.n && server.p[server.n - 1] == '/')
		server.n--;
	cs_buf_init (&text);
	cs_buf_add (&text, server);
	cs_buf_addz (&text, path);
	curl_easy_setopt (curl, CURLOPT_URL, text.p);
	cs_buf_clear (&text);
	cs_buf_printf (&text, "Authorization: Bearer %s", o->token);
	*headers = curl_slist_append (NULL, "Content-Type: application/json");
	if (*o->token)
		*headers = curl_slist_append (*headers, text.p);
	cs_buf_finish (&text);
	curl_easy_setopt (curl, CURLOPT_HTTPHEADER, *headers);
	curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	return curl;
}

/* True if the call failed before any byte of the request was sent. */
static bool
is_unsent (CURLcode code)
{
	return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
	       code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

static cs_status_t
call_server (const options_t *o, cs_str_t server, const char *method, const char *path,
	     const char *body, uint64_t timeout_s, answer_t *a)
{
	cs_buf_t text;
	struct curl_slist *headers;
	long status = 0;
	CURL *curl = handle_new (o, server, path, &headers);
	cs_buf_init (&text);
	curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
	if (body)
		curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt (curl, CURLOPT_TIMEOUT,
			  (long)(timeout_s ? timeout_s : DEFAULT_CALL_TIMEOUT_S));
	curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt (curl, CURLOPT_WRITEDATA, &text);
	CURLcode code = curl_easy_perform (curl);
	double connect_s = 0;
	curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo (curl, CURLINFO_CONNECT_TIME, &connect_s);
	curl_easy_cleanup (curl);
	curl_slist_free_all (headers);
	bool was_unsent = is_unsent (code) || (code == CURLE_OPERATION_TIMEDOUT && connect_s <= 0);
	if (code == CURLE_OK) {
		a->status = (int)status;
		a->body = json_loadb (text.p ? text.p : "", text.n, JSON_DECODE_ANY, NULL);
	}
	cs_buf_finish (&text);
	if (code == CURLE_OK)
		return CS_OK;
	return cs_fail (was_unsent ? CS_UNAVAILABLE : CS_UNKNOWN, "%.*s: %s", CS_STR_ARG (server),
			curl_easy_strerror (code));
}

cs_status_t
client_call (const options_t *o, const char *method, const char *path, const json_t *body,
	     uint64_t timeout_s, answer_t *a)
{
	char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
	cs_status_t status = cs_fail (CS_UNAVAILABLE, "no --server was given");
	bool may_have_been_sent = false;
	*a = (answer_t){0, NULL};
	for (size_t i = 0; i < o->n_servers && status != CS_OK; i++) {
		cs_str_t rest = cs_str (o->servers[i]);
		while (rest.n && status != CS_OK) {
			status = call_server (o, cs_str_split (&rest, ','), method, path, text,
					      timeout_s, a);
			may_have_been_sent = may_have_been_sent || status == CS_UNKNOWN;
		}
	}
	free (text);
	if (status == CS_UNAVAILABLE && may_have_been_sent)
		return CS_UNKNOWN;
	return status;
}

cs_exit_t
client_get (const options_t *o, const char *path, answer_t *a, FILE *err)
{
	if (client_call (o, "GET", path, NULL, o->timeout_s, a) != CS_OK)
		return print_unreachable (o, err);
	if (a->status == 200 && a->body)
		return CS_EXIT_OK;
	cs_exit_t status = print_refusal (a, err);
	answer_finish (a);
	return status;
}

typedef struct {
	stream_t *stream;
	cs_buf_t line;
	cs_buf_t event;
	uint64_t next; /* stream->next once the event being read is complete; 0: unchanged */
	bool is_stopped;
} sse_t;

/* Parses one line of a server-sent event stream; an empty line dispatches the event. */
static void
parse_sse_line (sse_t *s, cs_str_t line)
{
	uint64_t id;
	if (line.n && line.p[line.n - 1] == '\r')
		line.n--;
	if (!line.n) {
		if (s->event.n && !s->stream->on_event (s->stream->data, cs_buf_str (&s->event)))
			s->is_stopped = true;
		if (s->next)
			s->stream->next = s->next;
		s->next = 0;
		cs_buf_clear (&s->event);
		return;
	}
	cs_str_t value = line;
	cs_str_t field = cs_str_split (&value, ':');
	if (value.n && *value.p == ' ')
		value = cs_str_n (value.p + 1, value.n - 1);
	/* Daemons write an event's data, a JSON document, as one line. */
	if (cs_str_is (field, "data"))
		cs_buf_add (&s->event, value);
	else if (cs_str_is (field, "id") && cs_str_u64 (value, &id))
		s->next = id + 1;
}

static size_t
on_stream_bytes (char *bytes, size_t size, size_t n, void *data)
{
	sse_t *s = data;
	cs_str_t rest = cs_str_n (bytes, size * n);
	while (rest.n && !s->is_stopped) {
		const char *end = memchr (rest.p, '\n', rest.n);
		cs_buf_add (&s->line, cs_str_split (&rest, '\n'));
		if (!end)
			break;
		parse_sse_line (s, cs_buf_str (&s->line));
		cs_buf_clear (&s->line);
	}
	return s->is_stopped ? 0 : size * n;
}

cs_status_t
client_stream (const options_t *o, const char *path, stream_t *stream)
{
	sse_t s = {.stream = stream};
	struct curl_slist *headers;
	long status = 0;
	if (!o->n_servers)
		return cs_fail (CS_UNAVAILABLE, "no --server was given");
	cs_str_t rest = cs_str (o->servers[0]);
	CURL *curl = handle_new (o, cs_str_split (&rest, ','), path, &headers);
	curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_stream_bytes);
	curl_easy_setopt (curl, CURLOPT_WRITEDATA, &s);
	curl_easy_setopt (curl, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt (curl, CURLOPT_LOW_SPEED_LIMIT, 1L);
	curl_easy_setopt (curl, CURLOPT_LOW_SPEED_TIME, (long)STREAM_STALL_S);
	if (o->timeout_s)
		curl_easy_setopt (curl, CURLOPT_TIMEOUT, (long)o->timeout_s);
	CURLcode code = curl_easy_perform (curl);
	curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup (curl);
	curl_slist_free_all (headers);
	cs_buf_finish (&s.line);
	cs_buf_finish (&s.event);
	if (s.is_stopped || code == CURLE_OK)
		return CS_OK;
	if (status >= 400 && status < 500)
		return cs_fail (CS_INVALID, "event stream refused with HTTP status %ld", status);
	return cs_fail (CS_UNAVAILABLE, "event stream %s of %s: %s", path, o->servers[0],
			curl_easy_strerror (code));
}
