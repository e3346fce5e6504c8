/* Overload control: how many requests a second this daemon sends to a service whose back ends let
 * requests wait.
 *
 * Load: more requests than the back ends run, at hundreds of daemons. Each of them then has too few
 * answers of a back end to know its load, so that back ends are full while daemons take them for
 * free, and all requests are answered late. What can be known is how long the requests that were
 * answered here have to wait at back ends of the service: the rate falls while that is more than a
 * part of the latency objective, and rises while it is less. A request beyond the rate waits in the
 * daemon's queue, or is refused, while another one is answered in time.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_SEND_RATE_H
#define CS_SEND_RATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double limit;       /* requests a second; 0: none */
	double tokens;      /* requests that may be sent now */
	double arrivals;    /* requests a second that arrive, smoothed */
	double duration_ms; /* of a request at a back end, smoothed; 0: not yet measured */
	uint32_t waits;     /* answers in succession that told of too long a wait */
	int64_t refilled_ms;
	int64_t arrived_ms;  /* the last arrival */
	int64_t answered_ms; /* the last answer */
} cs_send_rate_t;

/* Records that a request has arrived for the service. */
void cs_send_rate_arrived (cs_send_rate_t *r, int64_t now_ms);
/* True if a request may be sent now. */
bool cs_send_rate_allows (cs_send_rate_t *r, int64_t now_ms);
void cs_send_rate_sent (cs_send_rate_t *r);
/* Records an answer of a back end with slots where `waiting` requests wait; target_ms: latency
 * objective of the answered request. True if a limit has begun or ended. */
bool cs_send_rate_answered (cs_send_rate_t *r, int64_t now_ms, uint32_t waiting, uint32_t slots,
			    uint32_t target_ms);
/* Records how long a request was run. */
void cs_send_rate_ended (cs_send_rate_t *r, int64_t duration_ms);

#endif
