#include "cs/caller_wait.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

enum {
	LEAST_TIMES = 5,     /* by which a band is known */
	MAX_MS = 1000000000, /* what is beyond is forged */
	STRAY_DIVISOR = 8,   /* of the times, that may lie apart from the others */
	APART_DIVISOR = 4,   /* of the way from the edge to the middle, that lies between them */
	PASSING_MS = 10      /* for which a request is on its way */
};

static const cs_caller_wait_route_t *
find_route (const cs_caller_wait_t *w, uint64_t route)
{
	for (size_t i = 0; i < CS_CALLER_WAIT_ROUTES; i++)
		if (w->routes[i].used && w->routes[i].route == route)
			return &w->routes[i];
	return NULL;
}

static cs_caller_wait_route_t *
add_route (cs_caller_wait_t *w, uint64_t route)
{
	cs_caller_wait_route_t *oldest = &w->routes[0];
	for (size_t i = 0; i < CS_CALLER_WAIT_ROUTES; i++) {
		cs_caller_wait_route_t *r = &w->routes[i];
		if (r->used && r->route == route)
			return r;
		if (r->used < oldest->used)
			oldest = r;
	}
	memset (oldest, 0, sizeof *oldest);
	oldest->route = route;
	return oldest;
}

static int
compare (const void *a, const void *b)
{
	const int32_t *x = a, *y = b;
	return (*x > *y) - (*x < *y);
}

/* The least time lies above the edge by about the mean gap between two times. */
static void
find_band (cs_caller_wait_route_t *r)
{
	int32_t sorted[CS_CALLER_WAIT_TIMES];
	int32_t n = (int32_t)r->n, least = 0;
	if (n < LEAST_TIMES)
		return;
	memcpy (sorted, r->times_ms, r->n * sizeof *sorted);
	qsort (sorted, r->n, sizeof *sorted, compare);
	int32_t middle_ms = sorted[n / 2];
	for (int32_t i = 1; i <= n / STRAY_DIVISOR; i++)
		if (sorted[i] - sorted[i - 1] > (middle_ms - sorted[i]) / APART_DIVISOR)
			least = i;
	r->middle_ms = middle_ms;
	r->edge_ms = sorted[least] - 2 * (middle_ms - sorted[least]) / (n - least) - PASSING_MS;
}

void
cs_caller_wait_record (cs_caller_wait_t *w, uint64_t route, int64_t remaining_ms)
{
	if (remaining_ms <= 0)
		return;
	cs_caller_wait_route_t *r = add_route (w, route);
	r->used = ++w->turn;
	r->times_ms[r->next] = remaining_ms < MAX_MS ? (int32_t)remaining_ms : MAX_MS;
	r->next = (r->next + 1) % CS_CALLER_WAIT_TIMES;
	r->n += r->n < CS_CALLER_WAIT_TIMES;
	find_band (r);
}

int64_t
cs_caller_wait_ms (const cs_caller_wait_t *w, uint64_t route, int64_t remaining_ms)
{
	const cs_caller_wait_route_t *r = find_route (w, route);
	if (!r || remaining_ms <= 0 || remaining_ms >= r->edge_ms)
		return 0;
	return r->middle_ms - remaining_ms;
}
