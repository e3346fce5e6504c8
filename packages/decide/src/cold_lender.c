#include "cs/cold_lender.h"

#include <stdlib.h>
#include <string.h>

enum {
	MIN_CAPACITY = 4,
	STEPS = 4, /* of the capacity, from one power of two to the next */
	SWEEP_MS = 1000,
	PERCENT = 100,
	LARGE_PERCENT = 130 /* of the capacity that its daemons need */
};

void
cs_cold_lender_init (cs_cold_lender_t *l)
{
	memset (l, 0, sizeof *l);
}

static void
remove_member (cs_cold_lender_t *l, cs_cold_member_t *m)
{
	HASH_DEL (l->members, m);
	free (m->name);
	free (m);
}

static void
remove_members (cs_cold_lender_t *l)
{
	cs_cold_member_t *m, *next;
	HASH_ITER (hh, l->members, m, next) {
		remove_member (l, m);
	}
}

void
cs_cold_lender_finish (cs_cold_lender_t *l)
{
	remove_members (l);
}

/* The least capacity of a step for n daemons. */
static uint32_t
capacity_for (uint32_t n)
{
	uint32_t power = MIN_CAPACITY;
	while (2 * power < n)
		power *= 2;
	uint32_t step = power / STEPS;
	uint32_t capacity = power;
	while (capacity < n)
		capacity += step;
	return capacity < CS_COLD_PLACES ? capacity : CS_COLD_PLACES;
}

static void
sweep (cs_cold_lender_t *l, int64_t now_ms)
{
	cs_cold_member_t *m, *next;
	HASH_ITER (hh, l->members, m, next) {
		bool is_held = m->has_place && now_ms < m->told_ms + CS_COLD_HOLD_MS;
		if (!is_held && now_ms >= m->heard_ms + CS_COLD_HOLD_MS)
			remove_member (l, m);
	}
	l->swept_ms = now_ms;
}

/* No place is told of until those that were have lapsed. */
static void
begin_change (cs_cold_lender_t *l, int64_t now_ms, int64_t quiet_ms)
{
	l->capacity = 0;
	l->large_since_ms = 0;
	l->quiet_until_ms = now_ms + (l->disabled & CS_COLD_NO_HOLD ? 0 : quiet_ms);
}

static void
end_change (cs_cold_lender_t *l, int64_t now_ms)
{
	for (cs_cold_member_t *m = l->members; m; m = m->hh.next)
		m->has_place = false;
	sweep (l, now_ms);
	l->capacity = capacity_for (HASH_COUNT (l->members));
}

/* What was told before a gap in the store's word may be lent by another reader by now. */
void
cs_cold_lender_renew (cs_cold_lender_t *l, int64_t now_ms, int64_t from_ms)
{
	if (!l->reader_until_ms || now_ms >= l->reader_until_ms) {
		remove_members (l);
		begin_change (l, now_ms, CS_COLD_TAKE_OVER_MS);
	}
	l->reader_until_ms = from_ms + CS_COLD_READER_MS;
}

void
cs_cold_lender_end (cs_cold_lender_t *l)
{
	l->reader_until_ms = 0;
}

static cs_cold_member_t *
find_or_add (cs_cold_lender_t *l, cs_str_t name)
{
	cs_cold_member_t *m;
	HASH_FIND (hh, l->members, name.p, name.n, m);
	if (m || !name.n || name.n > CS_COLD_NAME_BYTES ||
	    HASH_COUNT (l->members) == CS_COLD_PLACES)
		return m;
	m = cs_alloc (sizeof *m);
	m->name = cs_str_dup (name);
	HASH_ADD_KEYPTR (hh, l->members, m->name, name.n, m);
	return m;
}

/* Gives the lowest free place. False if there is none. */
static bool
give_place (cs_cold_lender_t *l, int64_t now_ms, cs_cold_member_t *to)
{
	bool taken[CS_COLD_PLACES] = {false};
	uint32_t index = 0;
	int64_t hold_ms = l->disabled & CS_COLD_NO_HOLD ? SWEEP_MS : CS_COLD_HOLD_MS;
	for (cs_cold_member_t *m = l->members; m; m = m->hh.next) {
		if (now_ms >= m->told_ms + hold_ms)
			m->has_place = false;
		if (m->has_place)
			taken[m->index] = true;
	}
	while (index < l->capacity && taken[index])
		index++;
	if (index == l->capacity)
		return false;
	to->has_place = true;
	to->index = index;
	return true;
}

/* Reduces the capacity once it has been too large for a while. */
static void
check_size (cs_cold_lender_t *l, int64_t now_ms)
{
	sweep (l, now_ms);
	bool is_large =
		LARGE_PERCENT * capacity_for (HASH_COUNT (l->members)) <= PERCENT * l->capacity;
	if (!is_large)
		l->large_since_ms = 0;
	else if (!l->large_since_ms)
		l->large_since_ms = now_ms;
	else if (now_ms - l->large_since_ms >= CS_COLD_SHRINK_MS)
		begin_change (l, now_ms, CS_COLD_HOLD_MS);
}

void
cs_cold_lender_asked (cs_cold_lender_t *l, int64_t now_ms, cs_str_t name, int64_t asked_ms)
{
	cs_cold_member_t *m = now_ms < l->reader_until_ms ? find_or_add (l, name) : NULL;
	if (!m)
		return;
	m->heard_ms = now_ms;
	m->asked_ms = asked_ms;
}

bool
cs_cold_lender_tell (cs_cold_lender_t *l, int64_t now_ms, cs_str_t name, cs_cold_place_t *place)
{
	cs_cold_member_t *m;
	if (now_ms >= l->reader_until_ms)
		return false;
	if (!l->capacity && now_ms >= l->quiet_until_ms)
		end_change (l, now_ms);
	if (l->capacity && now_ms - l->swept_ms >= SWEEP_MS)
		check_size (l, now_ms);
	HASH_FIND (hh, l->members, name.p, name.n, m);
	if (!l->capacity || !m)
		return false;
	if (!m->has_place && !give_place (l, now_ms, m)) {
		if (l->capacity < CS_COLD_PLACES)
			begin_change (l, now_ms, CS_COLD_HOLD_MS);
		return false;
	}
	m->told_ms = now_ms;
	place->index = m->index;
	place->capacity = l->capacity;
	place->basis = CS_COLD_READERS;
	place->asked_ms = m->asked_ms;
	return true;
}
