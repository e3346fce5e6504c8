/* Ranking of members by rendezvous hashing. */
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "cs/members.h"

static bool
is_included (const cs_member_t *member, const char *zone, cs_member_filter_t filter, void *arg)
{
	if (zone && strcmp (member->zone, zone) != 0)
		return false;
	return !filter || filter (arg, member);
}

/* True if incarnation a ranks before b for the key. Incarnations break ties, so that all daemons
 * compute the same order. */
static bool
ranks_before (uint64_t a, uint64_t b, uint64_t key)
{
	uint64_t score_a = cs_rendezvous (a, key);
	uint64_t score_b = cs_rendezvous (b, key);
	return score_a != score_b ? score_a > score_b : a > b;
}

/* Inserts the member into out, an array of n ranked members; drops the last one beyond max. */
static void
insert_ranked (const cs_member_t **out, size_t n, size_t max, const cs_member_t *member,
	       uint64_t key)
{
	size_t rank = n;
	while (rank > 0 && ranks_before (member->incarnation, out[rank - 1]->incarnation, key))
		rank--;
	if (rank >= max)
		return;
	size_t last = n < max ? n : max - 1;
	memmove (out + rank + 1, out + rank, (last - rank) * sizeof *out);
	out[rank] = member;
}

size_t
cs_members_rank (const cs_members_t *m, uint64_t key, const char *zone, cs_member_filter_t filter,
		 void *arg, const cs_member_t **out, size_t max)
{
	size_t n = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next) {
		if (!is_included (x, zone, filter, arg))
			continue;
		if (max)
			insert_ranked (out, n < max ? n : max, max, x, key);
		n++;
	}
	return n;
}

size_t
cs_members_rank_of (const cs_members_t *m, uint64_t incarnation, uint64_t key, const char *zone,
		    cs_member_filter_t filter, void *arg)
{
	size_t rank = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next)
		if (x->incarnation != incarnation && is_included (x, zone, filter, arg) &&
		    ranks_before (x->incarnation, incarnation, key))
			rank++;
	return rank;
}

cs_heartbeat_kind_t
cs_members_heartbeat_kind (const cs_members_t *m, const char *zone, size_t rank,
			   const cs_member_t *to)
{
	if (!strcmp (to->zone, zone))
		return CS_HEARTBEAT_PLAIN;
	if (cs_members_count (m, NULL) <= CS_MEMBERS_MAX_FULL_MESH)
		return CS_HEARTBEAT_WITH_OFFERS;
	if (rank >= CS_MEMBERS_DELEGATES)
		return CS_HEARTBEAT_NONE;
	uint64_t key = cs_hash (cs_str (to->zone));
	size_t to_rank = cs_members_rank_of (m, to->incarnation, key, to->zone, NULL, NULL);
	if (to_rank >= CS_MEMBERS_DELEGATES)
		return CS_HEARTBEAT_NONE;
	size_t delegates = cs_members_count (m, zone);
	if (delegates > CS_MEMBERS_DELEGATES)
		delegates = CS_MEMBERS_DELEGATES;
	return delegates && to_rank % delegates == rank ? CS_HEARTBEAT_WITH_OFFERS
							: CS_HEARTBEAT_PLAIN;
}

bool
cs_member_in_scope (const cs_member_t *member, const Cs__Scope *scope)
{
	if (!scope || (!scope->n_regions && !scope->n_zones))
		return true;
	return cs_str_in_list ((const char *const *)scope->regions, scope->n_regions,
			       member->region) ||
	       cs_str_in_list ((const char *const *)scope->zones, scope->n_zones, member->zone);
}
