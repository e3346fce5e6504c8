/* A daemon's share of the requests that cold back ends bear.
 *
 * Load: a zone comes back with tens of back ends that bear a few requests a second each, while 330
 * daemons would send their traffic there; daemons are paused, start, are cut off, and change from
 * one reader to another.
 *
 * Each of the daemons that read the store for others lends a share of the bound, as places (see
 * cs/cold_lender.h). For each back end, as many of a reader's places as its share has requests may
 * send one of them in any CS_COLD_INTERVAL_MS; which, follows from the back end's id. A place
 * lapses CS_COLD_LEASE_MS after this daemon asked for it, so that a late answer lends nothing.
 *
 * All times are in milliseconds of the caller's clock, which runs on while the process is paused or
 * the machine is suspended. */
#ifndef CS_COLD_SHARE_H
#define CS_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "cs/str.h"

enum {
	CS_COLD_READERS = 3, /* among which the bound is divided */
	CS_COLD_LEASE_MS = 3000,
	CS_COLD_DELAY_MS = 80,      /* a request is sent within this time of its record */
	CS_COLD_INTERVAL_MS = 1100, /* of two of one place; more than a second, as they may be
				       delayed by different times */
	CS_COLD_PLACES = 4096,      /* of a reader, at most */
	CS_COLD_SENDS = 16          /* of one place in an interval, at most */
};

/* Mechanisms that tests can disable. */
typedef enum {
	CS_COLD_NO_PLACES = 1 << 0, /* each daemon sends by itself, as if it had the only place */
	CS_COLD_NO_LAPSE = 1 << 1,  /* places are used until others are told */
	CS_COLD_NO_HOLD = 1 << 2    /* the lender gives places anew, and as a new reader, at once */
} cs_cold_disabled_t;

typedef struct {
	uint64_t reader; /* who told of it */
	uint32_t index;  /* below capacity */
	uint32_t capacity;
	uint32_t basis;   /* readers among which the bound is divided */
	uint32_t salt;    /* the reader's, so that a back end is not the same for all */
	int64_t asked_ms; /* when this daemon asked for it */
} cs_cold_place_t;

typedef struct {
	char *id;
	int64_t sent_ms[CS_COLD_SENDS]; /* ring buffer */
	uint32_t n_sent;                /* ever */
	UT_hash_handle hh;
} cs_cold_sent_t;

typedef struct {
	cs_cold_place_t place;
	bool has_place;
	int64_t not_before_ms; /* an earlier run of this daemon may have sent just now */
	cs_cold_sent_t *sent;  /* uthash by id */
	uint32_t disabled;     /* cs_cold_disabled_t */
} cs_cold_share_t;

void cs_cold_share_init (cs_cold_share_t *s, int64_t now_ms);
void cs_cold_share_finish (cs_cold_share_t *s);
/* A reader has told of a place. It is taken if there is none, or it is the same reader's. Returns
 * whether it is; false also if it is no valid one. */
bool cs_cold_share_told (cs_cold_share_t *s, int64_t now_ms, const cs_cold_place_t *place);
bool cs_cold_share_has_place (const cs_cold_share_t *s, int64_t now_ms);
/* True if a request may be sent to the cold back end now. bound: requests that all daemons together
 * may send there in any second. */
bool cs_cold_share_may_send (const cs_cold_share_t *s, int64_t now_ms, const char *id,
			     double bound);
/* Records that a request is sent to the cold back end. */
void cs_cold_share_sent (cs_cold_share_t *s, int64_t now_ms, const char *id);

#endif
