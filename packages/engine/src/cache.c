/* Parses the prefix-cache events in an engine's report. The events are hints that serving must
 * not depend on: a malformed event ends the list, and the rest of the report stays valid. */
#include <stdlib.h>
#include <string.h>

#include "task.h"

enum {
	PREFIX_HEX_DIGITS = 16
};

static bool
parse_prefix (const char *text, uint64_t *out)
{
	char *end;
	if (strlen (text) != PREFIX_HEX_DIGITS ||
	    strspn (text, "0123456789abcdef") != PREFIX_HEX_DIGITS)
		return false;
	*out = strtoull (text, &end, 16);
	return *out != 0;
}

static bool
parse_event (json_t *entry, cs_cache_event_t *e)
{
	json_int_t number;
	const char *stored = NULL;
	const char *removed = NULL;
	if (json_unpack (entry, "{s:I, s?s, s?s}", "n", &number, "stored", &stored, "removed",
			 &removed) ||
	    number <= 0 || !stored == !removed)
		return false;
	e->number = (uint64_t)number;
	e->is_stored = stored != NULL;
	return parse_prefix (stored ? stored : removed, &e->prefix);
}

void
cs_poll_parse_cache_events (cs_report_msg_t *m, const json_t *cache)
{
	const json_t *events = json_object_get (cache, "events");
	json_int_t epoch = json_integer_value (json_object_get (cache, "epoch"));
	if (epoch <= 0)
		return;
	m->cache_epoch = (uint64_t)epoch;
	size_t n = json_array_size (events);
	for (size_t i = 0; i < n && m->n_cache_events < CS_MAX_CACHE_EVENTS; i++) {
		if (!parse_event (json_array_get (events, i), &m->cache_events[m->n_cache_events]))
			return;
		m->n_cache_events++;
	}
}
