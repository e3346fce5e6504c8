#include "cs/patience.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cs/str.h"

enum {
	LEARNT_ANSWERS = 8, /* fewer say too little */
	HALF_LIFE_MS = 1500 /* of the counts of ended waits */
};

static const double gain = 0.125;     /* of the mean, and of the deviation twice that: RFC 6298 */
static const double deviations = 4;   /* likewise */
static const double slow_share = 0.3; /* of waits that end by their bound: the service is slow */
static const double enough_ended = 5; /* waits, to judge that by */

void
cs_patience_init (cs_patience_t *p)
{
	p->entries = NULL;
}

void
cs_patience_finish (cs_patience_t *p)
{
	cs_patience_entry_t *e, *next;
	HASH_ITER (hh, p->entries, e, next) {
		HASH_DEL (p->entries, e);
		free (e->key);
		free (e);
	}
}

static cs_patience_entry_t *
find (const cs_patience_t *p, const char *key)
{
	cs_patience_entry_t *e;
	HASH_FIND_STR (p->entries, key, e);
	return e;
}

/* The entry with its counts brought up to date. */
static cs_patience_entry_t *
touch (cs_patience_t *p, int64_t now_ms, const char *key)
{
	cs_patience_entry_t *e = find (p, key);
	if (!e) {
		e = cs_alloc (sizeof *e);
		e->key = cs_str_dup (cs_str (key));
		e->decayed_ms = now_ms;
		HASH_ADD_KEYPTR (hh, p->entries, e->key, strlen (e->key), e);
	}
	double left = exp2 (-(double)(now_ms - e->decayed_ms) / HALF_LIFE_MS);
	e->ended *= left;
	e->stalled *= left;
	e->decayed_ms = now_ms;
	return e;
}

void
cs_patience_answered (cs_patience_t *p, int64_t now_ms, const char *key, int64_t ms)
{
	cs_patience_entry_t *e = touch (p, now_ms, key);
	double error = (double)ms - e->mean_ms;
	e->ended++;
	if (!e->answers++) {
		e->mean_ms = (double)ms;
		e->deviation_ms = (double)ms / 2;
		return;
	}
	e->deviation_ms += 2 * gain * (fabs (error) - e->deviation_ms);
	e->mean_ms += gain * error;
}

void
cs_patience_stalled (cs_patience_t *p, int64_t now_ms, const char *key)
{
	cs_patience_entry_t *e = touch (p, now_ms, key);
	e->ended++;
	e->stalled++;
}

int64_t
cs_patience_bound (const cs_patience_t *p, const char *key, int64_t least_ms, int64_t most_ms)
{
	const cs_patience_entry_t *e = find (p, key);
	if (!e || e->answers < LEARNT_ANSWERS)
		return most_ms;
	if (e->ended >= enough_ended && e->stalled > slow_share * e->ended)
		return most_ms;
	int64_t ms = (int64_t)(e->mean_ms + deviations * e->deviation_ms);
	if (ms > most_ms)
		return most_ms;
	return ms > least_ms ? ms : least_ms;
}
