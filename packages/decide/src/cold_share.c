#include "cs/cold_share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"

enum {
	SWEEP_AT = 64 /* records of back ends, from which on old ones are looked for */
};

void
cs_cold_share_init (cs_cold_share_t *s, int64_t now_ms)
{
	memset (s, 0, sizeof *s);
	s->not_before_ms = now_ms + CS_COLD_INTERVAL_MS;
}

static void
remove_sent (cs_cold_share_t *s, cs_cold_sent_t *sent)
{
	HASH_DEL (s->sent, sent);
	free (sent->id);
	free (sent);
}

void
cs_cold_share_finish (cs_cold_share_t *s)
{
	cs_cold_sent_t *sent, *next;
	HASH_ITER (hh, s->sent, sent, next) {
		remove_sent (s, sent);
	}
}

bool
cs_cold_share_has_place (const cs_cold_share_t *s, int64_t now_ms)
{
	if (s->disabled & CS_COLD_NO_PLACES)
		return true;
	return s->has_place && now_ms >= s->not_before_ms &&
	       (now_ms < s->place.asked_ms + CS_COLD_LEASE_MS || (s->disabled & CS_COLD_NO_LAPSE));
}

/* More than the basis is taken to be is no harm: the share is smaller. */
static bool
is_valid (int64_t now_ms, const cs_cold_place_t *p)
{
	return p->capacity && p->capacity <= CS_COLD_PLACES && p->index < p->capacity &&
	       p->basis >= CS_COLD_READERS && p->asked_ms <= now_ms &&
	       now_ms < p->asked_ms + CS_COLD_LEASE_MS;
}

bool
cs_cold_share_told (cs_cold_share_t *s, int64_t now_ms, const cs_cold_place_t *place)
{
	bool is_other = s->has_place && s->place.reader != place->reader;
	if (!is_valid (now_ms, place))
		return false;
	if (is_other && now_ms < s->place.asked_ms + CS_COLD_LEASE_MS)
		return false;
	if (s->has_place && !is_other && place->asked_ms < s->place.asked_ms)
		return false; /* overtaken by a later one */
	s->place = *place;
	s->has_place = true;
	return true;
}

static uint32_t
greatest_common_divisor (uint32_t a, uint32_t b)
{
	while (b) {
		uint32_t rest = a % b;
		a = b;
		b = rest;
	}
	return a;
}

/* Multiplied by it, consecutive indexes are spread evenly: any part of the positions has its part
 * of the indexes in use, which are the lowest ones. */
static uint32_t
stride (uint32_t capacity)
{
	static const double golden_ratio = 0.6180339887;
	uint32_t n = (uint32_t)(capacity * golden_ratio);
	while (greatest_common_divisor (n ? n : 1, capacity) != 1)
		n++;
	return n ? n : 1;
}

/* Requests that the place may send to the back end in an interval. Those of all places of the
 * capacity are the quota. */
static uint32_t
allowed (const cs_cold_place_t *p, const char *id, uint32_t quota)
{
	uint64_t offset = cs_rendezvous (p->salt, cs_hash (cs_str (id)));
	uint64_t position = (uint64_t)p->index * stride (p->capacity) + offset % p->capacity;
	uint32_t n = quota / p->capacity + (position % p->capacity < quota % p->capacity);
	return n < CS_COLD_SENDS ? n : CS_COLD_SENDS;
}

static uint32_t
quota_of (double bound, uint32_t basis)
{
	double quota = floor (bound / basis);
	return quota < 0 || isnan (quota) ? 0
	       : quota < CS_COLD_PLACES   ? (uint32_t)quota
					  : CS_COLD_PLACES;
}

bool
cs_cold_share_may_send (const cs_cold_share_t *s, int64_t now_ms, const char *id, double bound)
{
	static const cs_cold_place_t only = {.capacity = 1, .basis = CS_COLD_READERS};
	cs_cold_sent_t *sent;
	if (!cs_cold_share_has_place (s, now_ms))
		return false;
	const cs_cold_place_t *p = s->disabled & CS_COLD_NO_PLACES ? &only : &s->place;
	uint32_t n = allowed (p, id, quota_of (bound, p->basis));
	HASH_FIND_STR (s->sent, id, sent);
	if (!n || !sent || sent->n_sent < n)
		return n > 0;
	return now_ms >= sent->sent_ms[(sent->n_sent - n) % CS_COLD_SENDS] + CS_COLD_INTERVAL_MS;
}

static void
sweep (cs_cold_share_t *s, int64_t now_ms)
{
	cs_cold_sent_t *sent, *next;
	HASH_ITER (hh, s->sent, sent, next) {
		if (now_ms >=
		    sent->sent_ms[(sent->n_sent - 1) % CS_COLD_SENDS] + CS_COLD_INTERVAL_MS)
			remove_sent (s, sent);
	}
}

void
cs_cold_share_sent (cs_cold_share_t *s, int64_t now_ms, const char *id)
{
	cs_cold_sent_t *sent;
	HASH_FIND_STR (s->sent, id, sent);
	if (!sent) {
		if (HASH_COUNT (s->sent) >= SWEEP_AT)
			sweep (s, now_ms);
		sent = cs_alloc (sizeof *sent);
		sent->id = cs_str_dup (cs_str (id));
		HASH_ADD_KEYPTR (hh, s->sent, sent->id, strlen (sent->id), sent);
	}
	sent->sent_ms[sent->n_sent++ % CS_COLD_SENDS] = now_ms;
}
