#include "cs/members.h"

#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "log_internal.h"

void
cs_members_init (cs_members_t *m)
{
	*m = (cs_members_t){0};
}

static void
free_member (cs_member_t *member)
{
	free (member->name);
	free (member->zone);
	free (member->region);
	free (member->peer_address);
	free (member->url);
	free (member);
}

static void
remove_member (cs_members_t *m, cs_member_t *member)
{
	HASH_DEL (m->table, member);
	free_member (member);
}

static void
free_gone_entry (cs_gone_t *entry)
{
	free (entry->name);
	free (entry->evidence);
}

static void
reset_members (void *state)
{
	cs_members_t *m = state;
	while (m->table)
		remove_member (m, m->table);
	for (size_t i = 0; i < m->n_gone; i++)
		free_gone_entry (&m->gone[i]);
	free (m->gone);
	m->gone = NULL;
	m->n_gone = 0;
}

void
cs_members_finish (cs_members_t *m)
{
	reset_members (m);
}

cs_member_t *
cs_members_get (const cs_members_t *m, uint64_t incarnation)
{
	cs_member_t *x;
	HASH_FIND (hh, m->table, &incarnation, sizeof incarnation, x);
	return x;
}

cs_member_t *
cs_members_by_name (const cs_members_t *m, cs_str_t name)
{
	for (cs_member_t *x = m->table; x; x = x->hh.next)
		if (cs_str_eq (cs_str (x->name), name))
			return x;
	return NULL;
}

const cs_gone_t *
cs_members_gone (const cs_members_t *m, uint64_t incarnation)
{
	for (size_t i = m->n_gone; i > 0; i--)
		if (m->gone[i - 1].incarnation == incarnation)
			return &m->gone[i - 1];
	return NULL;
}

uint32_t
cs_members_claim_shards (const cs_members_t *m, const char *except)
{
	for (const cs_member_t *x = m->table; x; x = x->hh.next)
		if (strcmp (x->name, except) != 0)
			return x->claim_shards;
	return 0;
}

size_t
cs_members_count (const cs_members_t *m, const char *zone)
{
	size_t n = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next)
		n += !zone || !strcmp (x->zone, zone);
	return n;
}

static void
insert_member (cs_members_t *m, cs_member_t *member)
{
	HASH_ADD (hh, m->table, incarnation, sizeof member->incarnation, member);
}

static void
add_member (cs_members_t *m, uint64_t incarnation, uint64_t offset, const Cs__Join *join)
{
	cs_member_t *member = cs_alloc (sizeof *member);
	member->incarnation = incarnation;
	member->joined_at = offset;
	member->name = cs_str_dup (cs_str (join->name));
	member->zone = cs_str_dup (cs_str (join->zone));
	member->region = cs_str_dup (cs_str (join->region));
	member->peer_address = cs_str_dup (cs_str (join->peer_address));
	member->url = cs_str_dup (cs_str (join->url));
	member->claim_shards = join->claim_shards;
	insert_member (m, member);
}

/* Takes ownership of the strings; drops the oldest entry beyond CS_MEMBERS_GONE_MAX. */
static void
store_gone_entry (cs_members_t *m, const cs_gone_t *gone)
{
	if (!m->gone)
		m->gone = cs_alloc (CS_MEMBERS_GONE_MAX * sizeof *m->gone);
	if (m->n_gone == CS_MEMBERS_GONE_MAX) {
		free_gone_entry (&m->gone[0]);
		memmove (m->gone, m->gone + 1, (CS_MEMBERS_GONE_MAX - 1) * sizeof *m->gone);
		m->n_gone--;
	}
	m->gone[m->n_gone++] = *gone;
}

static void
end_membership (cs_members_t *m, cs_member_t *member, uint64_t offset, cs_gone_reason_t reason,
		const char *evidence)
{
	cs_gone_t gone = {member->incarnation, offset, reason, cs_str_dup (cs_str (member->name)),
			  cs_str_dup (cs_str (evidence))};
	store_gone_entry (m, &gone);
	remove_member (m, member);
}

static cs_apply_result_t
apply_join (cs_members_t *m, uint64_t offset, const Cs__Record *record)
{
	const Cs__Join *join = record->join;
	if (!join->name[0] || !join->zone[0])
		return CS_APPLY_INVALID;
	if (cs_members_get (m, record->incarnation) || cs_members_gone (m, record->incarnation))
		return CS_APPLY_INVALID;
	uint32_t shards = cs_members_claim_shards (m, join->name);
	if (shards && shards != join->claim_shards)
		return CS_APPLY_INVALID;
	cs_member_t *older = cs_members_by_name (m, cs_str (join->name));
	if (older)
		end_membership (m, older, offset, CS_GONE_SUPERSEDED, "");
	add_member (m, record->incarnation, offset, join);
	return CS_APPLY_VALID;
}

static cs_apply_result_t
apply_leave (cs_members_t *m, uint64_t offset, const Cs__Record *record)
{
	cs_member_t *member = cs_members_get (m, record->incarnation);
	if (!member)
		return CS_APPLY_INVALID;
	end_membership (m, member, offset, CS_GONE_LEFT, "");
	return CS_APPLY_VALID;
}

/* Only a member may exclude another: the reachability data of an excluded daemon is stale. */
static cs_apply_result_t
apply_exclude (cs_members_t *m, uint64_t offset, const Cs__Record *record)
{
	cs_member_t *member = cs_members_get (m, record->exclude->target);
	if (!member || member->incarnation == record->incarnation ||
	    !cs_members_get (m, record->incarnation))
		return CS_APPLY_INVALID;
	end_membership (m, member, offset, CS_GONE_EXCLUDED, record->exclude->evidence);
	return CS_APPLY_VALID;
}

static cs_apply_result_t
apply_record (void *state, uint64_t offset, const Cs__Record *record)
{
	switch (record->body_case) {
	case CS__RECORD__BODY_JOIN:
		return apply_join (state, offset, record);
	case CS__RECORD__BODY_LEAVE:
		return apply_leave (state, offset, record);
	case CS__RECORD__BODY_EXCLUDE:
		return apply_exclude (state, offset, record);
	default:
		return CS_APPLY_IGNORED;
	}
}

/* Returns the states of the members, using joins, and points list to them; joins and list have an
 * item per member. The states share the strings of m; the caller frees the returned array. */
static Cs__MemberState *
make_member_states (const cs_members_t *m, Cs__Join *joins, Cs__MemberState **list)
{
	Cs__MemberState *states = cs_alloc (HASH_COUNT (m->table) * sizeof *states);
	size_t i = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next, i++) {
		cs__join__init (&joins[i]);
		joins[i].name = x->name;
		joins[i].zone = x->zone;
		joins[i].region = x->region;
		joins[i].peer_address = x->peer_address;
		joins[i].url = x->url;
		joins[i].claim_shards = x->claim_shards;
		cs__member_state__init (&states[i]);
		states[i].incarnation = x->incarnation;
		states[i].joined_at = x->joined_at;
		states[i].join = &joins[i];
		list[i] = &states[i];
	}
	return states;
}

/* Returns the states of the ended memberships and points list to them, as make_member_states ()
 * does. */
static Cs__GoneState *
make_gone_states (const cs_members_t *m, Cs__GoneState **list)
{
	Cs__GoneState *states = cs_alloc (m->n_gone * sizeof *states);
	for (size_t i = 0; i < m->n_gone; i++) {
		cs__gone_state__init (&states[i]);
		states[i].incarnation = m->gone[i].incarnation;
		states[i].name = m->gone[i].name;
		states[i].offset = m->gone[i].offset;
		states[i].reason = m->gone[i].reason;
		states[i].evidence = m->gone[i].evidence;
		list[i] = &states[i];
	}
	return states;
}

static void
snapshot_members (const void *state, cs_buf_t *out)
{
	const cs_members_t *m = state;
	Cs__MembersState message = CS__MEMBERS_STATE__INIT;
	message.n_members = HASH_COUNT (m->table);
	message.n_gone = m->n_gone;
	message.members = cs_alloc (message.n_members * sizeof *message.members);
	message.gone = cs_alloc (message.n_gone * sizeof *message.gone);
	Cs__Join *joins = cs_alloc (message.n_members * sizeof *joins);
	Cs__MemberState *members = make_member_states (m, joins, message.members);
	Cs__GoneState *gone = make_gone_states (m, message.gone);
	cs_pack (&message.base, out);
	free (members);
	free (gone);
	free (joins);
	free (message.members);
	free (message.gone);
}

static cs_status_t
restore_members (void *state, uint64_t offset, cs_str_t bytes)
{
	cs_members_t *m = state;
	Cs__MembersState *message =
		cs__members_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	(void)offset;
	if (!message)
		return cs_fail (CS_INVALID, "state of the members cannot be decoded");
	for (size_t i = 0; i < message->n_members; i++)
		if (message->members[i]->join)
			add_member (m, message->members[i]->incarnation,
				    message->members[i]->joined_at, message->members[i]->join);
	for (size_t i = 0; i < message->n_gone; i++) {
		const Cs__GoneState *entry = message->gone[i];
		cs_gone_t gone = {
			entry->incarnation, entry->offset, (cs_gone_reason_t)entry->reason,
			cs_str_dup (cs_str (entry->name)), cs_str_dup (cs_str (entry->evidence))};
		store_gone_entry (m, &gone);
	}
	cs__members_state__free_unpacked (message, NULL);
	return CS_OK;
}

const cs_state_machine_ops_t cs_members_ops = {
	.name = "members",
	.apply = apply_record,
	.reset = reset_members,
	.snapshot = snapshot_members,
	.restore = restore_members,
};
