/* Header lines of a request to a back end: those of the caller and those set by this daemon. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "forward.h"

static void
add_line (cs_backend_request_t *s, size_t *n, const char *name, cs_str_t value)
{
	cs_buf_printf (&s->header_lines, "%s: %.*s", name, CS_STR_ARG (value));
	cs_buf_add (&s->header_lines, cs_str_n ("", 1));
	(*n)++;
}

/* True for headers that are never copied from the caller's request. */
static bool
is_set_here (const cs_header_names_t *names, const char *name)
{
	const char *const set_here[] = {names->deadline, names->key, names->team,
					names->expected_backend};
	for (size_t i = 0; i < sizeof set_here / sizeof *set_here; i++)
		if (!strcasecmp (set_here[i], name))
			return true;
	return false;
}

static void
add_callers_headers (cs_backend_request_t *s, size_t *n)
{
	const cs_call_t *c = s->call;
	const cs_header_names_t *names = c->forward->names;
	bool is_resumed = c->has_events && c->events.tokens;
	for (size_t i = 0; i < c->headers.n; i++) {
		const cs_header_t *h = &c->headers.items[i];
		if (cs_header_is_hop_by_hop (cs_str (h->name)) || is_set_here (names, h->name) ||
		    (is_resumed && !strcasecmp (h->name, names->last_event_id)))
			continue;
		add_line (s, n, h->name, cs_str (h->value));
	}
	if (!cs_headers_find (&c->headers, "Accept").n) {
		/* An empty value keeps libcurl from adding an Accept header that the caller did
		 * not send. */
		cs_buf_addz (&s->header_lines, "Accept:");
		cs_buf_add (&s->header_lines, cs_str_n ("", 1));
		(*n)++;
	}
	if (is_resumed) {
		char id[24];
		snprintf (id, sizeof id, "%" PRIu64, c->events.next - 1);
		add_line (s, n, names->last_event_id, cs_str (id));
	}
}

void
cs_backend_request_set_headers (cs_backend_request_t *s, int64_t now_ms)
{
	const cs_call_t *c = s->call;
	const cs_header_names_t *names = c->forward->names;
	char left_ms[24];
	size_t n = 0;
	add_callers_headers (s, &n);
	snprintf (left_ms, sizeof left_ms, "%" PRId64, c->expires_ms - now_ms);
	add_line (s, &n, names->deadline, cs_str (left_ms));
	add_line (s, &n, names->expected_backend, cs_str (s->backend_id));
	if (c->team)
		add_line (s, &n, names->team, cs_str (c->team->name));
	s->headers = cs_alloc ((n + 1) * sizeof *s->headers);
	const char *p = s->header_lines.p;
	for (size_t i = 0; i < n; i++, p += strlen (p) + 1)
		s->headers[i] = p;
}
