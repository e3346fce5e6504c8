#include "cs/sse.h"

#include <string.h>

void
cs_sse_init (cs_sse_t *s, uint64_t first)
{
	memset (s, 0, sizeof *s);
	cs_buf_init (&s->incomplete_event);
	s->next = first;
}

void
cs_sse_init_increasing (cs_sse_t *s, uint64_t last)
{
	cs_sse_init (s, last + 1);
	s->increasing = true;
}

void
cs_sse_finish (cs_sse_t *s)
{
	cs_buf_finish (&s->incomplete_event);
}

/* Gets the value of a line "NAME: VALUE"; false if the line is not of that form or has another
 * name. */
static bool
get_field (cs_str_t line, const char *name, cs_str_t *value)
{
	size_t n = strlen (name);
	if (!cs_str_starts (line, name) || line.n == n || line.p[n] != ':')
		return false;
	n += line.n > n + 1 && line.p[n + 1] == ' ' ? 2 : 1;
	*value = cs_str_n (line.p + n, line.n - n);
	return true;
}

static cs_status_t
process_line (cs_sse_t *s, cs_str_t line)
{
	cs_str_t value;
	uint64_t id;
	if (get_field (line, "data", &value)) {
		s->has_data = true;
		s->ends_stream |= !s->increasing && cs_str_is (value, "[DONE]");
		return CS_OK;
	}
	if (cs_str_is (line, "data")) {
		s->has_data = true; /* of an empty line */
		return CS_OK;
	}
	if (!get_field (line, "id", &value))
		return CS_OK;
	if (!cs_str_u64 (value, &id) || id == UINT64_MAX ||
	    (s->increasing ? id < s->next : id != s->next))
		return cs_fail (
			CS_INVALID,
			"event id \"%.*s\" is invalid or out of order: next expected id is %llu",
			CS_STR_ARG (value), (unsigned long long)s->next);
	s->has_id = true;
	s->id = id;
	return CS_OK;
}

static cs_status_t
finish_event (cs_sse_t *s)
{
	if (s->needs_id && s->has_data && !s->has_id)
		return cs_fail (CS_INVALID, "event without an id at the start of a resumed stream");
	s->needs_id &= !s->has_id;
	s->tokens += s->has_id;
	s->events += s->has_id || s->has_data;
	if (s->has_id)
		s->next = s->id + 1;
	s->unnumbered = !s->has_id && (s->unnumbered || s->has_data);
	s->done = s->ends_stream;
	s->has_id = s->has_data = false;
	return CS_OK;
}

cs_status_t
cs_sse_push (cs_sse_t *s, cs_str_t bytes, cs_buf_t *out)
{
	cs_status_t status = CS_OK;
	const char *end;
	size_t complete_bytes = 0;
	if (s->done)
		return CS_OK;
	cs_buf_add (&s->incomplete_event, bytes);
	while (status == CS_OK && !s->done && s->incomplete_event.n > s->searched &&
	       (end = memchr (s->incomplete_event.p + s->searched, '\n',
			      s->incomplete_event.n - s->searched))) {
		size_t next = (size_t)(end - s->incomplete_event.p) + 1;
		cs_str_t line =
			cs_str_n (s->incomplete_event.p + s->line_start, next - 1 - s->line_start);
		if (line.n && line.p[line.n - 1] == '\r')
			line.n--;
		if (line.n) {
			status = process_line (s, line);
		} else {
			status = finish_event (s);
			complete_bytes = status == CS_OK ? next : complete_bytes;
		}
		s->line_start = s->searched = next;
	}
	cs_buf_add (out, cs_str_n (s->incomplete_event.p, complete_bytes));
	cs_buf_consume (&s->incomplete_event, complete_bytes);
	s->line_start -= complete_bytes;
	s->searched = s->incomplete_event.n;
	if (status == CS_OK && s->incomplete_event.n > CS_SSE_EVENT_BYTES)
		status = cs_fail (CS_EXHAUSTED, "server-sent event exceeds %d bytes",
				  CS_SSE_EVENT_BYTES);
	return status;
}
