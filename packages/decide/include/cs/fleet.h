/* Registry of a hosted platform's back ends, as each last described itself in the platform's list,
 * and of the serving groups that they form. A back end that disappears from the list is removed at
 * once, unless the list is unreachable or was so just before: many entries expire together then,
 * and those of live back ends are listed again within CS_FLEET_EXPIRY_GRACE_MS. A draining back end
 * is always removed at once.
 *
 * What a back end has said of itself counts for as long as it runs, also if the list says less: the
 * platform's store may be restored from an older copy. A back end that leaves never counts as ready
 * again, a description older than the known one is ignored, and an entry that had been removed and
 * is listed again as it was, after the list was unreachable, counts only after CS_FLEET_DOUBT_MS:
 * by then the store has removed it again if the back end is gone. */
#ifndef CS_FLEET_H
#define CS_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "cs/ref.h"
#include "cs/str.h"

enum {
	/* The platform's users report that expired entries are listed again about 2 s after the
	 * store is reachable again. */
	CS_FLEET_EXPIRY_GRACE_MS = 2500,
	/* An entry expires after three heartbeat intervals of at most 1.2 s. */
	CS_FLEET_DOUBT_MS = 5000,
	CS_FLEET_COLD_LAG_MS = 3000, /* a description may be as much older than an answer */
	CS_FLEET_MEMORY_MS = 60000   /* for which an unlisted back end is remembered */
};

typedef enum {
	CS_MEMBERSHIP_NONE, /* in no group, or in a state that the platform adapter does not know */
	CS_MEMBERSHIP_JOINING,
	CS_MEMBERSHIP_READY,
	CS_MEMBERSHIP_OPEN,    /* head of a group that accepts requests */
	CS_MEMBERSHIP_CLOSING, /* head of a group that only finishes its requests */
	CS_MEMBERSHIP_BROKEN
} cs_membership_state_t;

/* One back end as it described itself. Immutable once filled in. */
typedef struct {
	cs_ref_t ref;
	char *id;
	char *service;
	char *address; /* IP:PORT */
	char *zone;
	char *domain;        /* fabric domain; "": none */
	uint64_t born;       /* distinguishes incarnations of the same id; 0: unknown */
	uint64_t heartbeats; /* of this incarnation when it described itself; 0: unknown */
	bool draining;       /* takes no new work */
	uint32_t cold_ms;    /* for which it stayed cold when it described itself */
	uint32_t slots;      /* requests run concurrently */
	char *model;         /* model whose weights are in memory; "": none */
	char *staged;        /* newest weights on its host; "": none */
	char *group;         /* group of which it is a member; "": none */
	uint64_t epoch;      /* fencing number of that membership */
	uint32_t rank;       /* rank in the group; 0 is the head */
	cs_membership_state_t state;
} cs_backend_t;

/* Returns a back end with one reference and all fields zero. Its strings must be allocated on the
 * heap and all be set before use; they are freed with the back end. */
cs_backend_t *cs_backend_new (void);
/* Returns a copy with one reference. */
cs_backend_t *cs_backend_copy (const cs_backend_t *b);
/* Compares all fields but the id and the heartbeats. */
bool cs_backend_equal (const cs_backend_t *a, const cs_backend_t *b);
const char *cs_member_state_name (cs_membership_state_t state);

typedef struct cs_fleet_find_entry cs_fleet_entry_t;

struct cs_fleet_find_entry {
	cs_backend_t *backend;
	int64_t listed_ms;     /* when this incarnation was first listed */
	int64_t described_ms;  /* when this daemon read the description */
	int64_t answered_ms;   /* when it last said in an answer how long it stays cold; 0: never */
	int64_t cold_until_ms; /* by its last word */
	int64_t expired_ms; /* when the entry, kept for the grace period, was unlisted; 0: listed */
	cs_fleet_entry_t *prev, *next; /* entries of the same epoch */
	UT_hash_handle hh;
};

/* Index of the back ends by the epoch of their membership, so that checking a group for
 * completeness does not scan the whole fleet. */
typedef struct {
	uint64_t epoch;
	cs_fleet_entry_t *members;
	UT_hash_handle hh;
} cs_fleet_epoch_t;

/* Members of a group that was seen complete. */
typedef struct {
	char *head; /* id of the head */
	uint64_t epoch;
	char **members; /* ids */
	uint32_t n_members;
	UT_hash_handle hh;
} cs_fleet_group_t;

typedef struct cs_fleet_memory cs_fleet_memory_t;

typedef struct {
	cs_fleet_memory_t *memory;  /* uthash by id: what back ends said, listed or not */
	cs_fleet_group_t *groups;   /* uthash by head: groups seen complete */
	cs_fleet_entry_t *entries;  /* uthash by id */
	cs_fleet_epoch_t *epochs;   /* uthash by epoch */
	int64_t reachable_since_ms; /* when the list was last regained; 0: never lost */
	bool list_unreachable;      /* the last read of the list failed */
} cs_fleet_t;

void cs_fleet_init (cs_fleet_t *f);
void cs_fleet_finish (cs_fleet_t *f);
/* Adds or replaces a back end; takes over the caller's reference. False if nothing changed. */
bool cs_fleet_set (cs_fleet_t *f, int64_t now_ms, cs_backend_t *b);
/* To be called when a back end has been unlisted. True if its entry was removed; false if there was
 * none or if the entry is kept for the grace period. */
bool cs_fleet_remove (cs_fleet_t *f, int64_t now_ms, const char *id);
/* Records whether the list can be read. */
void cs_fleet_set_list_reachable (cs_fleet_t *f, int64_t now_ms, bool reached);
/* Records that this incarnation of a back end said by itself that it leaves: from now on it is a
 * draining one. False if that was known. */
bool cs_fleet_set_leaving (cs_fleet_t *f, int64_t now_ms, const char *id, uint64_t born);
/* Records that this incarnation of a back end has turned this daemon away: it wants no requests of
 * it before until_ms. False if that was known, or if it is not the incarnation that is listed. */
bool cs_fleet_turn_away (cs_fleet_t *f, const char *id, uint64_t born, int64_t until_ms);
/* Records that this incarnation of a back end said in an answer for how long it stays cold. */
void cs_fleet_set_cold (cs_fleet_t *f, int64_t now_ms, const char *id, uint64_t born, uint32_t ms);
/* Until when the back end counts as cold. Its last word counts; where it has said nothing since its
 * zone was taken back (taken_back_ms; 0: never), or nothing again since it started behind since_ms
 * (0: no time), it counts as cold for cold_start_ms. */
int64_t cs_fleet_cold_until_ms (const cs_fleet_entry_t *e, int64_t since_ms, int64_t taken_back_ms,
				uint32_t cold_start_ms);
/* Until when the back end wants no requests; 0, or a time that has passed: it takes them. */
int64_t cs_fleet_turned_away_until_ms (const cs_fleet_t *f, const char *id);
/* When the first back end of the service that wants no requests takes them again; 0: there is none.
 */
int64_t cs_fleet_soonest_return_ms (const cs_fleet_t *f, int64_t now_ms, const char *service);
/* Removes expired entries once the grace period is over, and adds those that are in doubt no more;
 * false if none was removed or added. */
bool cs_fleet_remove_expired (cs_fleet_t *f, int64_t now_ms);
/* These two return NULL if there is no entry for the id. The back end is valid until its entry
 * changes, the entry until it is removed. */
const cs_backend_t *cs_fleet_find (const cs_fleet_t *f, const char *id);
const cs_fleet_entry_t *cs_fleet_find_entry (const cs_fleet_t *f, const char *id);
/* What the back end last said of itself, also when it is unlisted since, for CS_FLEET_MEMORY_MS;
 * NULL: nothing is known of it. Valid until it says something else or is forgotten. */
const cs_backend_t *cs_fleet_last (const cs_fleet_t *f, const char *id);
/* Iterates over what back ends last said, listed or not: returns the one after `at`, the first one
 * if `at` is NULL; NULL at the end. */
const cs_backend_t *cs_fleet_next_last (const cs_fleet_t *f, const cs_backend_t *at);
/* What the head of the group with this epoch last said, listed or not; NULL: nothing is known. */
const cs_backend_t *cs_fleet_last_head (const cs_fleet_t *f, uint64_t epoch);
/* Iterates over the entries: returns the one after `at`, the first one if `at` is NULL; NULL at the
 * end. */
const cs_fleet_entry_t *cs_fleet_next (const cs_fleet_t *f, const cs_fleet_entry_t *at);
/* True if the back end is in the zone, or the head of a group, seen complete, with a member there.
 */
bool cs_fleet_is_in_zone (const cs_fleet_t *f, const cs_backend_t *b, const char *zone);
/* True if the back end is the head of an open group of `size` members that are all ready under the
 * head's group name and epoch, none of them draining. A group that was seen complete counts as
 * complete while members are unlisted, unless the last entry of a member contradicts it: a member
 * that cannot reach the list may still work, and one that has ended makes the group's requests
 * fail, which is noticed long before the member's entry expires. */
bool cs_fleet_is_group_complete (cs_fleet_t *f, const cs_backend_t *head, uint32_t size);

#endif
