/* How long to wait for the first sign of an answer before another back end is asked.
 *
 * A dead group holds each request sent to it; waiting for a fixed long time makes its
 * answers late, a short one doubles the work when all are slow. So the bound follows what
 * answers took lately: mean and four mean deviations, as TCP's retransmission timer does.
 * When many waits end by their bound the service is slow rather than a few back ends
 * dead, and the bound is the longest one allowed. */
#ifndef CS_PATIENCE_H
#define CS_PATIENCE_H

#include <stdint.h>
#include <uthash.h>

typedef struct {
	char *key;
	double mean_ms;
	double deviation_ms;
	uint32_t answers;
	double ended;   /* waits, decaying */
	double stalled; /* of these, those that ended by their bound */
	int64_t decayed_ms;
	UT_hash_handle hh;
} cs_patience_entry_t;

typedef struct {
	cs_patience_entry_t *entries; /* uthash by key */
} cs_patience_t;

void cs_patience_init (cs_patience_t *p);
void cs_patience_finish (cs_patience_t *p);
void cs_patience_answered (cs_patience_t *p, int64_t now_ms, const char *key, int64_t ms);
void cs_patience_stalled (cs_patience_t *p, int64_t now_ms, const char *key);
/* The bound within [least_ms, most_ms]. */
int64_t cs_patience_bound (const cs_patience_t *p, const char *key, int64_t least_ms,
			   int64_t most_ms);

#endif
