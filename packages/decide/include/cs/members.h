/* Cluster membership: the daemons that have joined, according to the JOIN, LEAVE and EXCLUDE
 * records of the control stream. A JOIN with the name of a member supersedes that member's
 * incarnation. A JOIN whose number of claim shards differs from that of the members is invalid:
 * such a daemon would look up the claim of a key in another stream, and a protected request
 * could run twice. */
#ifndef CS_MEMBERS_H
#define CS_MEMBERS_H

#include <uthash.h>

#include "cs/applier.h"

enum {
	CS_MEMBERS_GONE_MAX = 256, /* ended memberships stored */
	CS_MEMBERS_FULL_MESH = 40, /* most members that all send heartbeats to each other */
	CS_MEMBERS_DELEGATES = 3   /* per zone, which send to other zones in larger clusters */
};

/* Heartbeats that one daemon sends to another. */
typedef enum {
	CS_HEARTBEAT_NONE,
	CS_HEARTBEAT_PLAIN,
	CS_HEARTBEAT_WITH_OFFERS /* a heartbeat with offers of groups */
} cs_heartbeat_kind_t;

typedef struct {
	uint64_t incarnation;
	uint64_t joined_at; /* offset of the JOIN */
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
	CS_GONE_SUPERSEDED
} cs_gone_reason_t;

typedef struct {
	uint64_t incarnation;
	uint64_t offset; /* of the record that ended the membership */
	cs_gone_reason_t reason;
	char *name;
	char *evidence; /* of the EXCLUDE record; empty for other reasons */
} cs_gone_t;

typedef struct {
	cs_member_t *table; /* uthash by incarnation, in order of the JOINs */
	cs_gone_t *gone;    /* oldest first */
	size_t n_gone;
} cs_members_t;

/* State machine of the control stream; its state is a cs_members_t. */
extern const cs_state_machine_ops_t cs_members_ops;

void cs_members_init (cs_members_t *m);
void cs_members_finish (cs_members_t *m);

cs_member_t *cs_members_get (const cs_members_t *m, uint64_t incarnation);
cs_member_t *cs_members_by_name (const cs_members_t *m, cs_str_t name);
/* How the membership of an incarnation ended; NULL if there is no such entry, or it is older than
 * the last CS_MEMBERS_GONE_MAX. */
const cs_gone_t *cs_members_gone (const cs_members_t *m, uint64_t incarnation);
/* Number of claim shards of the members other than the one named `but`; 0 if there are none. */
uint32_t cs_members_claim_shards (const cs_members_t *m, const char *but);
/* Number of members in the zone, or in all zones if zone is NULL. */
size_t cs_members_count (const cs_members_t *m, const char *zone);
/* To iterate over the members: for (x = m->table; x; x = x->hh.next). */

/* Returns true for members to include; a NULL filter includes all. */
typedef bool (*cs_member_filter_t) (void *arg, const cs_member_t *member);
/* Writes up to max members of the zone (NULL: all zones) that pass the filter to out, highest
 * rendezvous hash for the key first. Returns how many pass, which may exceed max. */
size_t cs_members_rank (const cs_members_t *m, uint64_t key, const char *zone,
			cs_member_filter_t filter, void *arg, const cs_member_t **out, size_t max);
/* Rank of incarnation `me` in that order, 0 being first, whether or not it passes the filter. */
size_t cs_members_rank_of (const cs_members_t *m, uint64_t me, uint64_t key, const char *zone,
			   cs_member_filter_t filter, void *arg);
/* What a daemon with the given zone and rank within that zone sends to the member `to`. In
 * clusters larger than CS_MEMBERS_FULL_MESH, a delegate sends offers only to the delegates of
 * other zones whose rank, modulo the number of delegates of its own zone, equals its own: the
 * other delegates get the same offers from the other delegates of its zone. */
cs_heartbeat_kind_t cs_members_heartbeat_kind (const cs_members_t *m, const char *zone, size_t rank,
					       const cs_member_t *to);
/* True if the member is in the scope; an empty or NULL scope includes all members. */
bool cs_member_in_scope (const cs_member_t *member, const Cs__Scope *scope);

#endif
