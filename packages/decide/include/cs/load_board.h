/* The loads of back ends as any daemon last saw them.
 *
 * Load: hundreds of daemons before a few dozen heads. Each sends to a head once in seconds, so that
 * its own answers tell it nothing of the heads' loads, and all choose at random.
 *
 * A daemon records what its answers tell (cs_load_board_record) and passes its fresh entries on to
 * the daemon that reads the store for it, which merges them and answers with its own board. Entries
 * travel with their age, so that clocks do not matter. Of two entries of a back end the newer
 * counts; one that comes again, a little newer by its way, stays the one it was.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_LOAD_BOARD_H
#define CS_LOAD_BOARD_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "cs/str.h"

enum {
	CS_LOAD_MAX_AGE_MS = 1500 /* requests last about 1 s: older loads are those of others */
};

typedef struct {
	uint64_t target;   /* cs_load_target () of the back end */
	uint16_t running;  /* requests */
	uint16_t waiting;  /* requests */
	uint16_t delay_ms; /* of a first event, beyond the reading of its own prompt */
	bool is_own;       /* seen by this daemon, and not yet passed on */
	bool is_new;       /* see cs_load_board_take_new */
	int64_t seen_ms;
	UT_hash_handle hh;
} cs_load_t;

typedef struct {
	cs_load_t *entries; /* uthash by target */
} cs_load_board_t;

/* Names a back end in its present group: an entry of an earlier group counts for nothing. */
uint64_t cs_load_target (const char *id, uint64_t fence);
void cs_load_board_init (cs_load_board_t *b);
void cs_load_board_finish (cs_load_board_t *b);
/* Records an observation of this daemon, or one that was passed on. False if this one or a
 * newer one is known. */
bool cs_load_board_record (cs_load_board_t *b, const cs_load_t *seen);
/* NULL if nothing is known that is younger than CS_LOAD_MAX_AGE_MS. */
const cs_load_t *cs_load_board_find (const cs_load_board_t *b, int64_t now_ms, uint64_t target);
/* The same for an entry that was not taken before. */
const cs_load_t *cs_load_board_take_new (cs_load_board_t *b, int64_t now_ms, uint64_t target);
/* Appends the entries seen at or behind since_ms; with only_own, those alone, which it marks as
 * passed on. At most max_bytes, the newest first. Numbers of requests are told up to 255, and
 * delays up to 1,020 ms; ages are rounded up, so that no entry becomes newer on its way. */
void cs_load_board_encode (cs_load_board_t *b, int64_t now_ms, int64_t since_ms, bool only_own,
			   size_t max_bytes, cs_buf_t *out);
/* Merges what another board encoded. False, without effect, if it is malformed. */
bool cs_load_board_merge (cs_load_board_t *b, int64_t now_ms, cs_str_t bytes);
/* Removes entries older than CS_LOAD_MAX_AGE_MS. */
void cs_load_board_remove_old (cs_load_board_t *b, int64_t now_ms);

#endif
