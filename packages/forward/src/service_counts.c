/* Metrics by service: requests, repeats, and refusals that were taken as proof that a request has
 * not run. */
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "forward.h"

enum {
	MAX_SERVICES = 64 /* those beyond are not counted */
};

typedef enum {
	REQUESTS,
	REPEATS,
	DENIED,
	REFUSALS,
	REFUSALS_ID_BEFORE,
	N_COUNTS
} count_t;

struct cs_service_counts {
	char *service;
	cs_counter_t counts[N_COUNTS];
	UT_hash_handle hh;
};

static const struct {
	const char *name;
	const char *label; /* further one */
	const char *help;
} kinds[N_COUNTS] = {
	[REQUESTS] = {"cs_forward_service_requests_total", "", "Requests by service."},
	[REPEATS] = {"cs_forward_service_repeats_total", ",granted=\"yes\"",
		     "Further attempts of requests that were wanted, by service."},
	[DENIED] = {"cs_forward_service_repeats_total", ",granted=\"no\"", "The same."},
	[REFUSALS] = {"cs_forward_refusals_believed_total", ",id_before=\"no\"",
		      "Refusals of back ends taken as proof that a request has not run."},
	[REFUSALS_ID_BEFORE] = {"cs_forward_refusals_believed_total", ",id_before=\"yes\"",
				"The same, on a connection that had carried this request before."},
};

static char *
metric_name (count_t kind, const char *service)
{
	cs_buf_t name;
	cs_buf_init (&name);
	cs_buf_printf (&name, "%s{service=\"%s\"%s}", kinds[kind].name, service, kinds[kind].label);
	return name.p;
}

/* What is counted stays registered. */
static void
add (cs_forward_t *f, const char *service, count_t kind)
{
	cs_service_counts_t *s;
	HASH_FIND_STR (f->service_counts, service, s);
	if (!s && HASH_COUNT (f->service_counts) == MAX_SERVICES)
		return;
	if (!s) {
		s = cs_alloc (sizeof *s);
		s->service = cs_str_dup (cs_str (service));
		HASH_ADD_KEYPTR (hh, f->service_counts, s->service, strlen (s->service), s);
	}
	if (!s->counts[kind].name)
		s->counts[kind] = (cs_counter_t){.name = metric_name (kind, service),
						 .help = kinds[kind].help};
	cs_counter_add (&s->counts[kind], 1);
}

void
cs_service_counts_request (cs_forward_t *f, const char *service)
{
	add (f, service, REQUESTS);
}

void
cs_service_counts_repeat (cs_forward_t *f, const char *service, bool is_granted)
{
	add (f, service, is_granted ? REPEATS : DENIED);
}

void
cs_service_counts_refusal (cs_forward_t *f, const char *service, bool id_before)
{
	add (f, service, id_before ? REFUSALS_ID_BEFORE : REFUSALS);
}
