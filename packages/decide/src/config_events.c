/* History of the last CS_CONFIG_EVENTS_MAX events, for watchers. */
#include <stdlib.h>
#include <string.h>

#include "log_internal.h"

static void
free_event (cs_event_t *e)
{
	free (e->change_id);
	free (e->text);
}

void
cs_config_clear_events (cs_config_t *c, uint64_t from)
{
	while (c->n_events)
		free_event (&c->events[--c->n_events]);
	c->events_from = from;
}

void
cs_config_add_event (cs_config_t *c, uint64_t offset, cs_event_kind_t kind, const char *change_id,
		     const char *text)
{
	if (!c->events)
		c->events = cs_alloc (CS_CONFIG_EVENTS_MAX * sizeof *c->events);
	if (c->n_events == CS_CONFIG_EVENTS_MAX) {
		c->events_from = c->events[0].offset + 1;
		free_event (&c->events[0]);
		memmove (c->events, c->events + 1, (CS_CONFIG_EVENTS_MAX - 1) * sizeof *c->events);
		c->n_events--;
	}
	c->events[c->n_events++] = (cs_event_t){offset, kind, cs_str_dup (cs_str (change_id)),
						cs_str_dup (cs_str (text))};
}

bool
cs_config_events (const cs_config_t *c, uint64_t since, const cs_event_t **first, size_t *n)
{
	size_t i = c->n_events;
	while (i > 0 && c->events[i - 1].offset >= since)
		i--;
	*first = c->events ? c->events + i : NULL;
	*n = c->n_events - i;
	return since >= c->events_from;
}
