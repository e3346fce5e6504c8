#include "cs/answer_timeout.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cs/str.h"

enum {
	MIN_ANSWERS = 8,     /* samples needed before the estimate is used */
	HALF_LIFE_MS = 1500, /* of the counts of waits and timeouts */
	MIN_PAUSE_MS = 100,  /* a timer that is late by less is so by work of this process */
	EXTENSION_MS = 250   /* reads as much as the buffers of a connection hold */
};

static const double gain = 0.125;         /* of the mean; twice that for the deviation (RFC 6298) */
static const double deviation_factor = 4; /* mean deviations above the mean (RFC 6298) */
static const double max_timeout_share = 0.3; /* share of timeouts above which the service is slow */
static const double min_waits = 5;           /* waits needed to apply max_timeout_share */

void
cs_answer_timeout_init (cs_answer_timeout_t *t)
{
	t->entries = NULL;
}

void
cs_answer_timeout_finish (cs_answer_timeout_t *t)
{
	cs_answer_timeout_entry_t *e, *next;
	HASH_ITER (hh, t->entries, e, next) {
		HASH_DEL (t->entries, e);
		free (e->key);
		free (e);
	}
}

static cs_answer_timeout_entry_t *
find_entry (const cs_answer_timeout_t *t, const char *key)
{
	cs_answer_timeout_entry_t *e;
	HASH_FIND_STR (t->entries, key, e);
	return e;
}

/* Returns the entry of the key, added if missing, with its counts decayed to now_ms. */
static cs_answer_timeout_entry_t *
find_or_add_decayed_entry (cs_answer_timeout_t *t, int64_t now_ms, const char *key)
{
	cs_answer_timeout_entry_t *e = find_entry (t, key);
	if (!e) {
		e = cs_alloc (sizeof *e);
		e->key = cs_str_dup (cs_str (key));
		e->decayed_ms = now_ms;
		HASH_ADD_KEYPTR (hh, t->entries, e->key, strlen (e->key), e);
	}
	double factor = exp2 (-(double)(now_ms - e->decayed_ms) / HALF_LIFE_MS);
	e->waits *= factor;
	e->timeouts *= factor;
	e->decayed_ms = now_ms;
	return e;
}

void
cs_answer_timeout_record_answer (cs_answer_timeout_t *t, int64_t now_ms, const char *key,
				 int64_t response_ms)
{
	cs_answer_timeout_entry_t *e = find_or_add_decayed_entry (t, now_ms, key);
	double error = (double)response_ms - e->mean_ms;
	e->waits++;
	if (!e->answers++) {
		e->mean_ms = (double)response_ms;
		e->deviation_ms = (double)response_ms / 2;
		return;
	}
	e->deviation_ms += 2 * gain * (fabs (error) - e->deviation_ms);
	e->mean_ms += gain * error;
}

void
cs_answer_timeout_record_timeout (cs_answer_timeout_t *t, int64_t now_ms, const char *key)
{
	cs_answer_timeout_entry_t *e = find_or_add_decayed_entry (t, now_ms, key);
	e->waits++;
	e->timeouts++;
}

int64_t
cs_answer_timeout_ms (const cs_answer_timeout_t *t, const char *key, int64_t min_ms, int64_t max_ms)
{
	const cs_answer_timeout_entry_t *e = find_entry (t, key);
	if (!e || e->answers < MIN_ANSWERS)
		return max_ms;
	if (e->waits >= min_waits && e->timeouts > max_timeout_share * e->waits)
		return max_ms;
	int64_t timeout_ms = (int64_t)(e->mean_ms + deviation_factor * e->deviation_ms);
	if (timeout_ms > max_ms)
		return max_ms;
	return timeout_ms > min_ms ? timeout_ms : min_ms;
}

int64_t
cs_answer_timeout_extension_ms (int64_t due_ms, int64_t now_ms, bool is_arriving)
{
	return is_arriving && now_ms - due_ms >= MIN_PAUSE_MS ? EXTENSION_MS : 0;
}
