/* Outlier ejection: stops routing to targets that are much slower than the others of their
 * service or fail repeatedly. */
#include <stdlib.h>
#include <string.h>

#include "router_impl.h"

enum {
	RECOVERY_SAMPLES = 100, /* attempts after which earlier ejections no longer count */
	MIN_PEERS = 3,          /* a median of fewer targets is meaningless */
	MAX_DOUBLINGS = 3       /* of the ejection time for repeated ejections */
};

/* Multiples of the median of the service above which a target is an outlier. */
static const double first_byte_factor = 3;
static const double token_gap_factor = 2;

static int
compare_double (const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;
	return (x > y) - (x < y);
}

/* Median, microseconds, of the smoothed token gap or time to first byte over the serving
 * targets with enough samples; 0 if there are fewer than MIN_PEERS. */
static double
median_latency (cs_router_t *r, size_t first, size_t n, bool is_token_gap)
{
	size_t count = 0;
	r->scratch = cs_grow (r->scratch, &r->cap_scratch, n, sizeof *r->scratch);
	for (size_t i = first; i < first + n; i++) {
		const cs_target_t *t = r->targets[i];
		const cs_ewma_t *s = is_token_gap ? &t->token_gap : &t->first_byte;
		if (t->serving && s->samples >= CS_ROUTER_MIN_SAMPLES)
			r->scratch[count++] = s->value;
	}
	if (count < MIN_PEERS)
		return 0;
	qsort (r->scratch, count, sizeof *r->scratch, compare_double);
	return r->scratch[count / 2];
}

/* Latency of the target relative to the outlier threshold, or its consecutive failures if
 * these are too many; it is an outlier above 1. */
static double
slowness (const cs_target_t *t, double first_byte, double gap)
{
	double worst =
		t->consecutive_failures >= CS_ROUTER_MAX_FAILURES ? t->consecutive_failures : 0;
	if (first_byte > 0 && t->first_byte.samples >= CS_ROUTER_MIN_SAMPLES) {
		double x = t->first_byte.value / (first_byte * first_byte_factor);
		worst = x > worst ? x : worst;
	}
	if (gap > 0 && t->token_gap.samples >= CS_ROUTER_MIN_SAMPLES) {
		double x = t->token_gap.value / (gap * token_gap_factor);
		worst = x > worst ? x : worst;
	}
	return worst;
}

static void
eject_target (cs_router_t *r, cs_target_t *t, int64_t now_ms)
{
	uint32_t doublings = t->ejections < MAX_DOUBLINGS ? t->ejections : MAX_DOUBLINGS;
	t->ejected_until_ms = now_ms + ((int64_t)r->options.eject_ms << doublings);
	t->ejections++;
}

/* Readmits a target whose ejection time has passed: clears its statistics and begins a slow
 * start. */
static void
readmit_if_due (cs_target_t *t, int64_t now_ms)
{
	if (!t->ejected_until_ms || now_ms < t->ejected_until_ms)
		return;
	t->ejected_until_ms = 0;
	t->slow_start_began_ms = now_ms;
	t->consecutive_failures = 0;
	memset (&t->first_byte, 0, sizeof t->first_byte);
	memset (&t->token_gap, 0, sizeof t->token_gap);
}

/* Resets the ejection time of a target that has been healthy for RECOVERY_SAMPLES attempts. */
static void
reset_ejections (cs_target_t *t, double slowness_ratio)
{
	if (slowness_ratio <= 1 && !t->ejected_until_ms &&
	    t->first_byte.samples >= RECOVERY_SAMPLES)
		t->ejections = 0;
}

/* Returns the worst outlier that is not ejected; NULL if there is none. */
static cs_target_t *
find_slowest (cs_router_t *r, size_t first, size_t n, double first_byte, double gap)
{
	cs_target_t *slowest = NULL;
	double worst = 1;
	for (size_t i = first; i < first + n; i++) {
		cs_target_t *t = r->targets[i];
		double x = t->serving && !t->ejected_until_ms ? slowness (t, first_byte, gap) : 0;
		reset_ejections (t, x);
		if (x > worst) {
			slowest = t;
			worst = x;
		}
	}
	return slowest;
}

/* Number of targets that may be ejected at a time: eject_percent of the serving ones, but at
 * least one if there are enough for a median and eject_percent is not 0. */
static size_t
max_ejected (const cs_router_t *r, size_t serving)
{
	size_t share = serving * r->options.eject_percent / 100;
	if (!r->options.eject_percent)
		return 0;
	return !share && serving >= MIN_PEERS ? 1 : share;
}

static void
eject_outliers (cs_router_t *r, int64_t now_ms, size_t first, size_t n)
{
	size_t serving = 0;
	size_t n_ejected = 0;
	for (size_t i = first; i < first + n; i++) {
		cs_target_t *t = r->targets[i];
		readmit_if_due (t, now_ms);
		serving += t->serving;
		n_ejected += t->serving && t->ejected_until_ms;
	}
	double first_byte = median_latency (r, first, n, false);
	double gap = median_latency (r, first, n, true);
	while (n_ejected < max_ejected (r, serving)) {
		cs_target_t *t = find_slowest (r, first, n, first_byte, gap);
		if (!t)
			return;
		eject_target (r, t, now_ms);
		n_ejected++;
	}
}

void
cs_router_update_ejections (cs_router_t *r, int64_t now_ms)
{
	if (r->options.disabled & CS_ROUTER_NO_EJECTION)
		return;
	for (size_t first = 0; first < r->n;) {
		size_t n;
		cs_router_find_service (r, r->targets[first]->service, &n);
		eject_outliers (r, now_ms, first, n);
		first += n;
	}
}
