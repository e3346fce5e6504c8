/* The back ends of a hosted platform as each last said of itself, and the groups that
 * this makes. A back end that is unlisted is kept out at once, unless the list was away
 * just before: then many entries lapse together, and those that live are listed again
 * within LAPSE_GRACE_MS. */
#ifndef CS_FLEET_H
#define CS_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "cs/ref.h"
#include "cs/str.h"

enum {
	/* The platform's users: lapsed entries are back about 2 s after the store's return. */
	CS_FLEET_LAPSE_GRACE_MS = 2500
};

typedef enum {
	CS_MEMBER_NONE,
	CS_MEMBER_JOINING,
	CS_MEMBER_READY,
	CS_MEMBER_OPEN,
	CS_MEMBER_CLOSING,
	CS_MEMBER_BROKEN
} cs_member_state_t;

/* One back end as it described itself; never changed once made. */
typedef struct {
	cs_ref_t ref;
	char *id;
	char *service;
	char *address; /* IP:PORT */
	char *zone;
	char *domain;   /* fabric domain; "": none */
	uint64_t born;  /* tells two lives under one id apart */
	bool draining;  /* takes no new work */
	uint32_t slots; /* requests that it runs at once */
	char *model;    /* weights in memory; "": none */
	char *staged;   /* newest weights on its host; "": none */
	char *group;    /* that it is a member of; "": none */
	uint64_t epoch; /* fencing number of that membership */
	uint32_t rank;  /* 0 is the head */
	cs_member_state_t state;
} cs_backend_t;

cs_backend_t *cs_backend_new (void);
/* True if both say the same. */
bool cs_backend_same (const cs_backend_t *a, const cs_backend_t *b);
const char *cs_member_state_name (cs_member_state_t state);

typedef struct cs_fleet_entry cs_fleet_entry_t;

struct cs_fleet_entry {
	cs_backend_t *now;
	int64_t listed_ms; /* when this life of it was listed */
	int64_t said_ms;   /* when this daemon read it */
	int64_t lapsed_ms; /* its entry went while the list had just come back; 0: listed */
	cs_fleet_entry_t *prev, *next; /* others of the same epoch */
	UT_hash_handle hh;
};

/* Back ends that say to be members under one epoch, so that the wholeness of each group is
 * not looked for in the whole fleet. */
typedef struct {
	uint64_t epoch;
	cs_fleet_entry_t *members;
	UT_hash_handle hh;
} cs_fleet_epoch_t;

/* A group that was seen whole: who its members are. */
typedef struct {
	char *head;
	uint64_t epoch;
	char **members;
	uint32_t n;
	UT_hash_handle hh;
} cs_fleet_group_t;

typedef struct {
	cs_fleet_group_t *groups;  /* uthash by head: those that were seen whole */
	cs_fleet_entry_t *entries; /* uthash by id */
	cs_fleet_epoch_t *epochs;  /* uthash by epoch */
	int64_t back_ms;           /* when the list was last reached again after a failure */
	bool away;                 /* the last reading of the list failed */
} cs_fleet_t;

void cs_fleet_init (cs_fleet_t *f);
void cs_fleet_finish (cs_fleet_t *f);
/* Takes over a reference. False if nothing changed. */
bool cs_fleet_set (cs_fleet_t *f, int64_t now_ms, cs_backend_t *b);
/* False if it was not listed. */
bool cs_fleet_remove (cs_fleet_t *f, int64_t now_ms, const char *id);
/* The list can be read, or cannot. */
void cs_fleet_reached (cs_fleet_t *f, int64_t now_ms, bool reached);
/* Drops entries whose grace is over; false if there were none. */
bool cs_fleet_tick (cs_fleet_t *f, int64_t now_ms);
const cs_backend_t *cs_fleet_find (const cs_fleet_t *f, const char *id);
const cs_fleet_entry_t *cs_fleet_entry (const cs_fleet_t *f, const char *id);
/* Iteration: NULL gives the first, NULL at the end. */
const cs_fleet_entry_t *cs_fleet_next (const cs_fleet_t *f, const cs_fleet_entry_t *at);
/* True if the back end is the head of an open group of that size whose members are all
 * ready under its name and number, none of them draining. A group that was seen whole stays
 * so while a member is unlisted but none says otherwise: a member that does not reach the
 * list may well work on, and one that has ended stops the group, which its requests show
 * long before its entry lapses. */
bool cs_fleet_whole (cs_fleet_t *f, const cs_backend_t *head, uint32_t size);

#endif
