/* Counters and gauges of the process, printed as Prometheus text. */
#ifndef CS_COUNTERS_H
#define CS_COUNTERS_H

#include "cs/str.h"

typedef enum {
	CS_COUNTER,
	CS_GAUGE
} cs_counter_kind_t;

/* One metric, in static storage of the module that updates it; never unregistered. */
typedef struct cs_counter {
	const char *name; /* with its labels: cs_requests_total{outcome="ok"} */
	const char *help;
	cs_counter_kind_t kind;
	int64_t value;
	struct cs_counter *next;
	bool registered;
} cs_counter_t;

/* Adds to the counter; the first call registers it for printing. */
void cs_counter_add (cs_counter_t *c, int64_t by);
/* Sets the gauge; the first call registers it for printing. */
void cs_gauge_set (cs_counter_t *c, int64_t value);
/* Appends all registered metrics in the text format, sorted by name. */
void cs_counters_print (cs_buf_t *out);

#endif
