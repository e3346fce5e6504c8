/* Which zones are evacuated: their back ends get no requests.
 *
 * Load: an operator empties a zone while the fleet is near its limit, two zones in turn, and takes
 * each back, while the store is away, restored from an older copy, or read late.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_EVACUATION_H
#define CS_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "cs/str.h"

typedef struct {
	char *zone;
	bool is_evacuated;
	int64_t since_ms;         /* when it was last evacuated */
	int64_t ended_ms;         /* when it was last taken back; 0: never */
	int64_t doubted_until_ms; /* the store lacks the record, maybe only as it was restored from
				     an older copy: taken back then; 0: not in doubt */
	UT_hash_handle hh;
} cs_evacuated_zone_t;

typedef struct {
	cs_evacuated_zone_t *zones; /* uthash by zone; also those that were taken back */
	uint32_t n_evacuated;
} cs_evacuation_t;

void cs_evacuation_init (cs_evacuation_t *e);
void cs_evacuation_finish (cs_evacuation_t *e);
/* Records what the store says of the zone. False if that was known. */
bool cs_evacuation_set (cs_evacuation_t *e, int64_t now_ms, cs_str_t zone, bool is_evacuated);
/* Records that a store that was restored from an older copy lacks the zone's record: unless it is
 * set again until then, the zone is taken back at until_ms. A doubt that is older stays. */
void cs_evacuation_doubt (cs_evacuation_t *e, cs_str_t zone, int64_t until_ms);
/* Takes back a zone whose doubt is over, and returns it; NULL: there is none. */
const cs_evacuated_zone_t *cs_evacuation_end_doubt (cs_evacuation_t *e, int64_t now_ms);
/* When the next doubt is over; 0: there is none. */
int64_t cs_evacuation_next_ms (const cs_evacuation_t *e);
bool cs_evacuation_has (const cs_evacuation_t *e, const char *zone);
/* When the zone was last taken back; 0: never, or it is evacuated. */
int64_t cs_evacuation_ended_ms (const cs_evacuation_t *e, const char *zone);

#endif
