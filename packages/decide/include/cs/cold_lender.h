/* Lends the daemons that read from this one their share of the requests that cold back ends bear:
 * a place for each, with an index below a capacity (see cs/cold_share.h for what a place allows).
 *
 * Load: 4 to 200 daemons read from one reader, come and go, and move to another one when it dies;
 * readers are paused, and two may take themselves for the owner of one share.
 *
 * A place is lent by name, and given to another daemon only once its last word has lapsed, and what
 * was sent by it is over. Before the capacity changes, no place is told of for as long. The reader
 * lends while the store's word that it reads for others is fresh; where it has just become one, it
 * first waits until what another one in its place may have told has lapsed.
 *
 * All times are in milliseconds of the caller's clock, which runs on while the process is paused or
 * the machine is suspended. */
#ifndef CS_COLD_LENDER_H
#define CS_COLD_LENDER_H

#include "cs/cold_share.h"

enum {
	CS_COLD_READER_MS = 2000, /* for which the store's word counts; it is renewed each 1.5 s */
	CS_COLD_HOLD_MS = CS_COLD_LEASE_MS + CS_COLD_INTERVAL_MS + 100, /* of a place that was told
									   of; clocks differ */
	CS_COLD_TAKE_OVER_MS = CS_COLD_READER_MS + CS_COLD_HOLD_MS,     /* without places */
	CS_COLD_SHRINK_MS = 10000, /* after it a capacity that is too large is reduced */
	CS_COLD_NAME_BYTES = 512
};

typedef struct {
	char *name;
	bool has_place;
	uint32_t index;
	int64_t heard_ms; /* when it asked last */
	int64_t asked_ms; /* the same on its own clock */
	int64_t told_ms;  /* when it was last told of the place */
	UT_hash_handle hh;
} cs_cold_member_t;

typedef struct {
	cs_cold_member_t *members; /* uthash by name */
	uint32_t capacity;         /* 0: none is lent until quiet_until_ms */
	int64_t quiet_until_ms;
	int64_t reader_until_ms; /* the store's word is fresh; 0: it is no reader */
	int64_t swept_ms;
	int64_t large_since_ms; /* since when the capacity is too large; 0: it is not */
	uint32_t disabled;      /* cs_cold_disabled_t */
} cs_cold_lender_t;

void cs_cold_lender_init (cs_cold_lender_t *l);
void cs_cold_lender_finish (cs_cold_lender_t *l);
/* The store has said, to a question of from_ms, that this daemon is a reader. */
void cs_cold_lender_renew (cs_cold_lender_t *l, int64_t now_ms, int64_t from_ms);
/* It is no reader any more. */
void cs_cold_lender_end (cs_cold_lender_t *l);
/* A daemon has asked for a place, at its own time asked_ms. */
void cs_cold_lender_asked (cs_cold_lender_t *l, int64_t now_ms, cs_str_t name, int64_t asked_ms);
/* A daemon is to be told of its place: sets all of it but the reader and the salt. False if it gets
 * none now, or never asked. */
bool cs_cold_lender_tell (cs_cold_lender_t *l, int64_t now_ms, cs_str_t name,
			  cs_cold_place_t *place);

#endif
