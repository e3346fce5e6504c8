#include "cs/evacuation.h"

#include <stdlib.h>
#include <string.h>

void
cs_evacuation_init (cs_evacuation_t *e)
{
	memset (e, 0, sizeof *e);
}

void
cs_evacuation_finish (cs_evacuation_t *e)
{
	cs_evacuated_zone_t *z, *next;
	HASH_ITER (hh, e->zones, z, next) {
		HASH_DEL (e->zones, z);
		free (z->zone);
		free (z);
	}
	e->n_evacuated = 0;
}

static cs_evacuated_zone_t *
find (const cs_evacuation_t *e, cs_str_t zone)
{
	cs_evacuated_zone_t *z;
	HASH_FIND (hh, e->zones, zone.p, zone.n, z);
	return z;
}

static cs_evacuated_zone_t *
add (cs_evacuation_t *e, cs_str_t zone)
{
	cs_evacuated_zone_t *z = cs_alloc (sizeof *z);
	z->zone = cs_str_dup (zone);
	HASH_ADD_KEYPTR (hh, e->zones, z->zone, zone.n, z);
	return z;
}

static void
change (cs_evacuation_t *e, cs_evacuated_zone_t *z, int64_t now_ms, bool is_evacuated)
{
	z->is_evacuated = is_evacuated;
	if (is_evacuated) {
		z->since_ms = now_ms;
		e->n_evacuated++;
	} else {
		z->ended_ms = now_ms;
		e->n_evacuated--;
	}
}

bool
cs_evacuation_set (cs_evacuation_t *e, int64_t now_ms, cs_str_t zone, bool is_evacuated)
{
	cs_evacuated_zone_t *z = find (e, zone);
	if (z)
		z->doubted_until_ms = 0;
	if (is_evacuated == (z && z->is_evacuated))
		return false;
	change (e, z ? z : add (e, zone), now_ms, is_evacuated);
	return true;
}

void
cs_evacuation_doubt (cs_evacuation_t *e, cs_str_t zone, int64_t until_ms)
{
	cs_evacuated_zone_t *z = find (e, zone);
	if (z && z->is_evacuated && !z->doubted_until_ms)
		z->doubted_until_ms = until_ms;
}

const cs_evacuated_zone_t *
cs_evacuation_end_doubt (cs_evacuation_t *e, int64_t now_ms)
{
	for (cs_evacuated_zone_t *z = e->zones; z; z = z->hh.next) {
		if (!z->doubted_until_ms || now_ms < z->doubted_until_ms)
			continue;
		z->doubted_until_ms = 0;
		change (e, z, now_ms, false);
		return z;
	}
	return NULL;
}

int64_t
cs_evacuation_next_ms (const cs_evacuation_t *e)
{
	int64_t next_ms = 0;
	for (const cs_evacuated_zone_t *z = e->zones; z; z = z->hh.next)
		if (z->doubted_until_ms && (!next_ms || z->doubted_until_ms < next_ms))
			next_ms = z->doubted_until_ms;
	return next_ms;
}

bool
cs_evacuation_has (const cs_evacuation_t *e, const char *zone)
{
	const cs_evacuated_zone_t *z = e->n_evacuated ? find (e, cs_str (zone)) : NULL;
	return z && z->is_evacuated;
}

int64_t
cs_evacuation_ended_ms (const cs_evacuation_t *e, const char *zone)
{
	const cs_evacuated_zone_t *z = find (e, cs_str (zone));
	return z && !z->is_evacuated ? z->ended_ms : 0;
}
