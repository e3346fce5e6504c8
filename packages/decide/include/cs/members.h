/* Cluster membership: the daemons that have joined, according to the JOIN, LEAVE and EXCLUDE
 * records of the control stream. A JOIN with the name of a member supersedes that member's
 * incarnation. A JOIN of an incarnation that is a member, or whose ended membership is still
 * stored, is invalid. So is a JOIN whose number of claim shards differs from that of the other
 * members: such a daemon would look up the claim of a key in another stream than the members do,
 * and a protected request could run twice. */
#ifndef CS_MEMBERS_H
#define CS_MEMBERS_H

#include <uthash.h>

#include "cs/applier.h"

enum {
	CS_MEMBERS_GONE_MAX = 256,     /* maximum ended memberships stored */
	CS_MEMBERS_MAX_FULL_MESH = 40, /* maximum members that all send heartbeats to each other */
	CS_MEMBERS_DELEGATES = 3       /* daemons per zone that exchange heartbeats with other zones
					* in larger clusters */
};

/* Kind of heartbeat that one daemon sends to another. */
typedef enum {
	CS_HEARTBEAT_NONE,
	CS_HEARTBEAT_PLAIN,
	CS_HEARTBEAT_WITH_OFFERS /* a heartbeat with offers of groups */
} cs_heartbeat_kind_t;

typedef struct {
	uint64_t incarnation;
	uint64_t joined_at; /* offset of the JOIN record */
	char *name;
	char *zone;
	char *region;
	char *peer_address; /* tcp://IP:PORT */
	char *url;          /* http://IP:PORT */
	uint32_t claim_shards;
	UT_hash_handle hh;
} cs_member_t;

typedef enum {
	CS_GONE_LEFT,
	CS_GONE_EXCLUDED,
	CS_GONE_SUPERSEDED /* another incarnation has joined under the same name */
} cs_gone_reason_t;

/* An ended membership. */
typedef struct {
	uint64_t incarnation;
	uint64_t offset; /* of the record that ended the membership */
	cs_gone_reason_t reason;
	char *name;
	char *evidence; /* of the EXCLUDE record; empty for other reasons */
} cs_gone_t;

typedef struct {
	cs_member_t *table; /* uthash by incarnation, in order of the JOINs */
	cs_gone_t *gone;    /* ended memberships, oldest first */
	size_t n_gone;
} cs_members_t;

/* State machine of the control stream; its state is a cs_members_t. */
extern const cs_state_machine_ops_t cs_members_ops;

void cs_members_init (cs_members_t *m);
void cs_members_finish (cs_members_t *m);

/* Return the member; NULL if there is none. The member stays valid until its membership ends or the
 * state is restored from a snapshot. */
cs_member_t *cs_members_get (const cs_members_t *m, uint64_t incarnation);
cs_member_t *cs_members_by_name (const cs_members_t *m, cs_str_t name);
/* Returns how the membership of an incarnation ended, valid until the next record is applied; NULL
 * if it has not ended, never began, or is not among the last CS_MEMBERS_GONE_MAX that ended. */
const cs_gone_t *cs_members_gone (const cs_members_t *m, uint64_t incarnation);
/* Number of claim shards of the members other than the one named `except`; 0 if there are none. */
uint32_t cs_members_claim_shards (const cs_members_t *m, const char *except);
/* Number of members in the zone, or in all zones if zone is NULL. */
size_t cs_members_count (const cs_members_t *m, const char *zone);
/* To iterate over the members in order of their JOINs: for (x = m->table; x; x = x->hh.next). */

/* Returns true for members to include; a NULL filter includes all. */
typedef bool (*cs_member_filter_t) (void *arg, const cs_member_t *member);
/* Stores up to max members of the zone (NULL: all zones) that pass the filter in out, highest
 * rendezvous hash of the incarnation for the key first. Returns the number of members that pass,
 * which may exceed max. */
size_t cs_members_rank (const cs_members_t *m, uint64_t key, const char *zone,
			cs_member_filter_t filter, void *arg, const cs_member_t **out, size_t max);
/* Rank of the incarnation in the order of cs_members_rank (), 0 being first, whether or not the
 * incarnation itself passes the filter. */
size_t cs_members_rank_of (const cs_members_t *m, uint64_t incarnation, uint64_t key,
			   const char *zone, cs_member_filter_t filter, void *arg);
/* Kind of heartbeat that a daemon of the given zone sends to the member `to`. rank is the daemon's
 * rank within its zone for the key cs_hash (zone), without a filter; daemons of a rank below
 * CS_MEMBERS_DELEGATES are the delegates of their zone. In clusters of more than
 * CS_MEMBERS_MAX_FULL_MESH members only delegates exchange heartbeats with other zones. There a
 * delegate sends offers only to the delegates of other zones whose rank, modulo the number of
 * delegates in the sender's zone, equals its own rank; the other delegates get the same offers from
 * the other delegates of the sender's zone. */
cs_heartbeat_kind_t cs_members_heartbeat_kind (const cs_members_t *m, const char *zone, size_t rank,
					       const cs_member_t *to);
/* True if the member's region or zone is listed in the scope; an empty or NULL scope includes all
 * members. */
bool cs_member_in_scope (const cs_member_t *member, const Cs__Scope *scope);

#endif
