/* What the back ends of a fleet have said of themselves; internal to the fleet. */
#ifndef CS_FLEET_MEMORY_H
#define CS_FLEET_MEMORY_H

#include "cs/fleet.h"

struct cs_fleet_memory {
	char *id;
	uint64_t born;       /* the newest incarnation that is known */
	uint64_t heartbeats; /* the most that it has described itself with */
	bool is_leaving;
	int64_t turned_away_until_ms; /* it wants no requests of this daemon until then */
	bool is_listed;
	int64_t unlisted_ms;
	cs_backend_t *last;    /* its last description; NULL: none counted yet */
	cs_backend_t *doubted; /* listed again as it was; NULL: none */
	int64_t doubted_until_ms;
	UT_hash_handle hh;
};

cs_fleet_memory_t *cs_fleet_recall (const cs_fleet_t *f, const char *id);
/* Records a description, and returns what it amounts to: the description itself, a copy that drains
 * if the back end has said that it leaves, or NULL if it is outdated or in doubt. Takes over the
 * caller's reference, and returns one. */
cs_backend_t *cs_fleet_remember (cs_fleet_t *f, int64_t now_ms, cs_backend_t *b);
/* Records that the entry was removed from the list. */
void cs_fleet_remember_removal (cs_fleet_t *f, int64_t now_ms, const char *id);
/* Returns a description that is in doubt no more, with a reference; NULL if there is none. */
cs_backend_t *cs_fleet_take_undoubted (cs_fleet_t *f, int64_t now_ms);
/* Forgets back ends that have been unlisted for CS_FLEET_MEMORY_MS. */
void cs_fleet_forget (cs_fleet_t *f, int64_t now_ms);
void cs_fleet_memory_finish (cs_fleet_t *f);

#endif
