/* How long a caller has waited since its first attempt, by the time that it says is left.
 *
 * Load: more requests than there is room for. Callers that were refused come back to other daemons,
 * which have not seen them before; their latency objective began with the first attempt. First
 * attempts on a route state times within a band, as from 0.85 to 1 of 5 s; who comes back states
 * what is left.
 *
 * Keeps, for each route, the last times that were stated while nobody was refused, and so the lower
 * edge of their band. Who states less has waited, by the difference to the middle of the band. A
 * few that lie far below the others don't count, nor do huge ones, as these don't move the edge.
 * While little is known, nobody has waited. */
#ifndef CS_CALLER_WAIT_H
#define CS_CALLER_WAIT_H

#include <stdint.h>

enum {
	CS_CALLER_WAIT_ROUTES = 64, /* a new one takes the place of the one that was idle longest */
	CS_CALLER_WAIT_TIMES = 64   /* of a route */
};

typedef struct {
	uint64_t route;
	uint64_t used; /* turn of its last time; 0: never */
	uint32_t n, next;
	int32_t times_ms[CS_CALLER_WAIT_TIMES];
	int32_t edge_ms, middle_ms; /* 0: not known */
} cs_caller_wait_route_t;

/* Zero-initialised at first. */
typedef struct {
	cs_caller_wait_route_t routes[CS_CALLER_WAIT_ROUTES];
	uint64_t turn;
} cs_caller_wait_t;

/* Records a request that arrives while no request was refused for the last seconds; its caller says
 * that it waits for remaining_ms more; 0 or less: it says nothing, which is ignored. */
void cs_caller_wait_record (cs_caller_wait_t *w, uint64_t route, int64_t remaining_ms);
/* How long the caller has waited, as a guess; 0: not known, or it has just begun. */
int64_t cs_caller_wait_ms (const cs_caller_wait_t *w, uint64_t route, int64_t remaining_ms);

#endif
