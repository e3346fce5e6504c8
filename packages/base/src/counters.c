#include "cs/counters.h"

#include <string.h>

static cs_counter_t *counters;

static void
register_counter (cs_counter_t *c)
{
	cs_counter_t **at = &counters;
	if (c->registered)
		return;
	while (*at && strcmp ((*at)->name, c->name) < 0)
		at = &(*at)->next;
	c->next = *at;
	*at = c;
	c->registered = true;
}

void
cs_counter_add (cs_counter_t *c, int64_t by)
{
	register_counter (c);
	c->value += by;
}

void
cs_gauge_set (cs_counter_t *c, int64_t value)
{
	register_counter (c);
	c->value = value;
}

/* Length of the metric's name without its labels. */
static size_t
bare_name_length (const cs_counter_t *c)
{
	return strcspn (c->name, "{");
}

void
cs_counters_print (cs_buf_t *out)
{
	cs_str_t last = cs_str ("");
	for (const cs_counter_t *c = counters; c; c = c->next) {
		cs_str_t name = cs_str_n (c->name, bare_name_length (c));
		if (!cs_str_eq (name, last)) {
			const char *kind = c->kind == CS_GAUGE ? "gauge" : "counter";
			cs_buf_printf (out, "# HELP %.*s %s\n", CS_STR_ARG (name), c->help);
			cs_buf_printf (out, "# TYPE %.*s %s\n", CS_STR_ARG (name), kind);
		}
		cs_buf_printf (out, "%s %lld\n", c->name, (long long)c->value);
		last = name;
	}
}
