/* Heads of requests and responses. */
#include "cs/http_syntax.h"

#include <string.h>
#include <strings.h>

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_HTTP_VERSION = 505,
	STATUS_SWITCHING = 101,
	STATUS_FIRST = 100, /* the least status of each class */
	STATUS_FINAL = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_RESET_CONTENT = 205,
	STATUS_NOT_MODIFIED = 304,
	STATUS_END = 600,
	STATUS_DIGITS = 3
};

static bool
is_token_byte (unsigned char c)
{
	if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'))
		return true;
	return c && strchr ("!#$%&'*+-.^_`|~", c) != NULL;
}

static bool
is_token (cs_str_t s)
{
	for (size_t i = 0; i < s.n; i++)
		if (!is_token_byte ((unsigned char)s.p[i]))
			return false;
	return s.n > 0;
}

static bool
is_blank (char c)
{
	return c == ' ' || c == '\t';
}

/* Visible characters, blanks and bytes above 127. */
static bool
is_text (cs_str_t s)
{
	for (size_t i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];
		if ((c < ' ' && c != '\t') || c == 127)
			return false;
	}
	return true;
}

static bool
is_target (cs_str_t s)
{
	return s.n && is_text (s) && !memchr (s.p, ' ', s.n) && !memchr (s.p, '\t', s.n);
}

static cs_str_t
trim (cs_str_t s)
{
	while (s.n && is_blank (s.p[0]))
		s = cs_str_n (s.p + 1, s.n - 1);
	while (s.n && is_blank (s.p[s.n - 1]))
		s.n--;
	return s;
}

bool
cs_http_name_is (cs_str_t name, const char *expected)
{
	return name.n == strlen (expected) && !strncasecmp (name.p, expected, name.n);
}

size_t
cs_http_head_length (cs_str_t bytes, size_t searched)
{
	enum {
		END_BYTES = 3 /* of LF CR LF: the last one may have come without the others */
	};
	const char *end = bytes.p + bytes.n;
	const char *p = bytes.p + (searched > END_BYTES ? searched - END_BYTES : 0);
	while (p < end && (p = memchr (p, '\n', (size_t)(end - p)))) {
		p++;
		size_t cr = p < end && *p == '\r';
		if (p + cr < end && p[cr] == '\n')
			return (size_t)(p + cr + 1 - bytes.p);
	}
	return 0;
}

cs_str_t
cs_http_line (cs_str_t raw)
{
	if (raw.n && raw.p[raw.n - 1] == '\n')
		raw.n--;
	if (raw.n && raw.p[raw.n - 1] == '\r')
		raw.n--;
	return raw;
}

bool
cs_http_header_line (cs_str_t line, cs_str_t *name, cs_str_t *value)
{
	const char *colon = line.n ? memchr (line.p, ':', line.n) : NULL;
	if (!colon)
		return false;
	*name = cs_str_n (line.p, (size_t)(colon - line.p));
	*value = trim (cs_str_n (colon + 1, line.n - name->n - 1));
	return is_token (*name) && is_text (*value);
}

bool
cs_http_next_line (cs_str_t *lines, cs_str_t *name, cs_str_t *value)
{
	cs_str_t line = cs_http_line (cs_str_split (lines, '\n'));
	return line.n && cs_http_header_line (line, name, value);
}

/* "HTTP/1." and a digit. */
static bool
is_version (cs_str_t s)
{
	return s.n == 8 && cs_str_starts (s, "HTTP/1.") && s.p[7] >= '0' && s.p[7] <= '9';
}

bool
cs_http_status_line (cs_str_t line, int *status)
{
	cs_str_t version = cs_str_split (&line, ' ');
	int n = 0;
	if (!is_version (version) || line.n < STATUS_DIGITS)
		return false;
	for (int i = 0; i < STATUS_DIGITS; i++) {
		if (line.p[i] < '0' || line.p[i] > '9')
			return false;
		n = n * 10 + line.p[i] - '0';
	}
	if (line.n > STATUS_DIGITS && line.p[STATUS_DIGITS] != ' ')
		return false;
	*status = n;
	return n >= STATUS_FIRST && n < STATUS_END && is_text (line);
}

static cs_http_fault_t
parse_request_line (cs_str_t line, cs_http_head_t *head)
{
	head->method = cs_str_split (&line, ' ');
	head->target = cs_str_split (&line, ' ');
	if (!is_token (head->method) || !is_target (head->target))
		return CS_HTTP_BAD_REQUEST_LINE;
	head->is_http_1_0 = cs_str_is (line, "HTTP/1.0");
	if (is_version (line))
		return CS_HTTP_SOUND;
	return cs_str_starts (line, "HTTP/") && is_token (cs_str_n (line.p + 5, line.n - 5))
		       ? CS_HTTP_BAD_VERSION
		       : CS_HTTP_BAD_REQUEST_LINE;
}

static cs_http_fault_t
parse_length (cs_http_head_t *head, cs_str_t value)
{
	uint64_t n = UINT64_MAX;
	for (size_t i = 0; i < value.n; i++)
		if (value.p[i] < '0' || value.p[i] > '9')
			return CS_HTTP_BAD_LENGTH;
	cs_str_u64 (value, &n);
	if (!value.n || (head->has_length && n != head->length))
		return CS_HTTP_BAD_LENGTH;
	head->has_length = true;
	head->length = n;
	return CS_HTTP_SOUND;
}

static bool
has_word (cs_str_t list, const char *word)
{
	while (list.n)
		if (cs_http_name_is (trim (cs_str_split (&list, ',')), word))
			return true;
	return false;
}

static cs_http_fault_t
interpret (cs_http_head_t *head, cs_str_t name, cs_str_t value, bool *has_host)
{
	if (cs_http_name_is (name, "Content-Length"))
		return parse_length (head, value);
	if (cs_http_name_is (name, "Transfer-Encoding")) {
		bool is_sound = !head->is_chunked && !head->is_http_1_0 &&
				cs_http_name_is (value, "chunked");
		head->is_chunked = true;
		return is_sound ? CS_HTTP_SOUND : CS_HTTP_BAD_CODING;
	}
	if (cs_http_name_is (name, "Host")) {
		bool is_second = *has_host;
		*has_host = true;
		return is_second ? CS_HTTP_BAD_HOST : CS_HTTP_SOUND;
	}
	if (cs_http_name_is (name, "Connection"))
		head->closes |= has_word (value, "close");
	if (cs_http_name_is (name, "Expect"))
		head->expects_continue |= cs_http_name_is (value, "100-continue");
	return CS_HTTP_SOUND;
}

cs_http_fault_t
cs_http_head_parse (cs_str_t bytes, cs_http_head_t *head)
{
	bool has_host = false;
	*head = (cs_http_head_t){0};
	cs_http_fault_t fault =
		parse_request_line (cs_http_line (cs_str_split (&bytes, '\n')), head);
	head->lines = bytes;
	head->closes = head->is_http_1_0;
	while (fault == CS_HTTP_SOUND) {
		cs_str_t name, value, line = cs_http_line (cs_str_split (&bytes, '\n'));
		if (!line.n)
			break;
		head->n_lines++;
		fault = cs_http_header_line (line, &name, &value)
				? interpret (head, name, value, &has_host)
				: CS_HTTP_BAD_HEADER_LINE;
	}
	/* Two statements of the length could hide a second request in the body. */
	if (fault == CS_HTTP_SOUND && head->is_chunked && head->has_length)
		fault = CS_HTTP_BAD_CODING;
	return fault;
}

int
cs_http_fault_status (cs_http_fault_t fault)
{
	return fault == CS_HTTP_BAD_VERSION ? STATUS_HTTP_VERSION : STATUS_BAD_REQUEST;
}

const char *
cs_http_fault_name (cs_http_fault_t fault)
{
	static const char *const names[] = {
		[CS_HTTP_SOUND] = "sound",
		[CS_HTTP_BAD_REQUEST_LINE] = "request-line",
		[CS_HTTP_BAD_VERSION] = "http-version",
		[CS_HTTP_BAD_HEADER_LINE] = "header-line",
		[CS_HTTP_BAD_HOST] = "host",
		[CS_HTTP_BAD_LENGTH] = "content-length",
		[CS_HTTP_BAD_CODING] = "transfer-encoding",
	};
	return names[fault];
}

cs_http_response_t
cs_http_judge_status (int status, unsigned n_interim)
{
	if (status >= STATUS_FINAL)
		return CS_HTTP_FINAL;
	return status == STATUS_SWITCHING || n_interim >= CS_HTTP_MAX_INTERIM ? CS_HTTP_UNASKED
									      : CS_HTTP_INTERIM;
}

bool
cs_http_may_state_body (int status, bool is_chunked, uint64_t length)
{
	if (status == STATUS_NO_CONTENT)
		return !is_chunked && !length;
	/* It may come in chunks, of which there is only the last one. */
	if (status == STATUS_RESET_CONTENT)
		return !length;
	/* The length is that of the representation, which is not sent. */
	return status != STATUS_NOT_MODIFIED || !is_chunked;
}
