/* The header lines of a request to a back end: the caller's, and this daemon's own. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "forward.h"

static void
add_line (cs_sending_t *s, size_t *n, const char *name, cs_str_t value)
{
	cs_buf_printf (&s->lines, "%s: %.*s", name, CS_STR_ARG (value));
	cs_buf_add (&s->lines, cs_str_n ("", 1));
	(*n)++;
}

/* Headers that are set here and not taken from the caller. */
static bool
is_own_header (const cs_header_names_t *names, const char *name)
{
	const char *const own[] = {names->deadline, names->key, names->team,
				   names->expected_backend};
	for (size_t i = 0; i < sizeof own / sizeof *own; i++)
		if (!strcasecmp (own[i], name))
			return true;
	return false;
}

static void
add_callers_headers (cs_sending_t *s, size_t *n)
{
	const cs_call_t *c = s->call;
	const cs_header_names_t *names = c->forward->names;
	bool resumes = c->has_events && c->events.tokens;
	for (size_t i = 0; i < c->headers.n; i++) {
		const cs_header_t *h = &c->headers.items[i];
		if (cs_header_is_hop (cs_str (h->name)) || is_own_header (names, h->name) ||
		    (resumes && !strcasecmp (h->name, names->last_event_id)))
			continue;
		add_line (s, n, h->name, cs_str (h->value));
	}
	if (!cs_headers_find (&c->headers, "Accept").n) {
		/* libcurl adds one that the caller did not send. */
		cs_buf_addz (&s->lines, "Accept:");
		cs_buf_add (&s->lines, cs_str_n ("", 1));
		(*n)++;
	}
	if (resumes) {
		char id[24];
		snprintf (id, sizeof id, "%" PRIu64, c->events.next - 1);
		add_line (s, n, names->last_event_id, cs_str (id));
	}
}

void
cs_sending_headers (cs_sending_t *s, int64_t now)
{
	const cs_call_t *c = s->call;
	const cs_header_names_t *names = c->forward->names;
	char left[24];
	size_t n = 0;
	add_callers_headers (s, &n);
	snprintf (left, sizeof left, "%" PRId64, c->timeout_ms - now);
	add_line (s, &n, names->deadline, cs_str (left));
	add_line (s, &n, names->expected_backend, cs_str (s->target));
	if (c->team)
		add_line (s, &n, names->team, cs_str (c->team->name));
	s->headers = cs_alloc ((n + 1) * sizeof *s->headers);
	const char *p = s->lines.p;
	for (size_t i = 0; i < n; i++, p += strlen (p) + 1)
		s->headers[i] = p;
}
