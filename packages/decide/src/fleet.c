#include "cs/fleet.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "fleet_memory.h"

static void
free_backend (cs_ref_t *ref)
{
	cs_backend_t *b = (cs_backend_t *)ref;
	free (b->id);
	free (b->service);
	free (b->address);
	free (b->zone);
	free (b->domain);
	free (b->model);
	free (b->staged);
	free (b->group);
	free (b);
}

cs_backend_t *
cs_backend_new (void)
{
	cs_backend_t *b = cs_alloc (sizeof *b);
	cs_ref_init (&b->ref, free_backend);
	return b;
}

cs_backend_t *
cs_backend_copy (const cs_backend_t *b)
{
	cs_backend_t *copy = cs_backend_new ();
	const cs_ref_t ref = copy->ref;
	*copy = *b;
	copy->ref = ref;
	copy->id = cs_str_dup (cs_str (b->id));
	copy->service = cs_str_dup (cs_str (b->service));
	copy->address = cs_str_dup (cs_str (b->address));
	copy->zone = cs_str_dup (cs_str (b->zone));
	copy->domain = cs_str_dup (cs_str (b->domain));
	copy->model = cs_str_dup (cs_str (b->model));
	copy->staged = cs_str_dup (cs_str (b->staged));
	copy->group = cs_str_dup (cs_str (b->group));
	return copy;
}

bool
cs_backend_equal (const cs_backend_t *a, const cs_backend_t *b)
{
	return a->born == b->born && a->draining == b->draining && a->slots == b->slots &&
	       a->epoch == b->epoch && a->rank == b->rank && a->state == b->state &&
	       !strcmp (a->service, b->service) && !strcmp (a->address, b->address) &&
	       !strcmp (a->zone, b->zone) && !strcmp (a->domain, b->domain) &&
	       !strcmp (a->model, b->model) && !strcmp (a->staged, b->staged) &&
	       !strcmp (a->group, b->group);
}

const char *
cs_member_state_name (cs_membership_state_t state)
{
	static const char *const names[] = {
		[CS_MEMBERSHIP_NONE] = "none",       [CS_MEMBERSHIP_JOINING] = "joining",
		[CS_MEMBERSHIP_READY] = "ready",     [CS_MEMBERSHIP_OPEN] = "open",
		[CS_MEMBERSHIP_CLOSING] = "closing", [CS_MEMBERSHIP_BROKEN] = "broken",
	};
	return names[state];
}

void
cs_fleet_init (cs_fleet_t *f)
{
	memset (f, 0, sizeof *f);
}

static cs_fleet_epoch_t *
find_epoch (const cs_fleet_t *f, uint64_t epoch)
{
	cs_fleet_epoch_t *same_epoch;
	HASH_FIND (hh, f->epochs, &epoch, sizeof epoch, same_epoch);
	return same_epoch;
}

static void
add_to_epoch (cs_fleet_t *f, cs_fleet_entry_t *e)
{
	cs_fleet_epoch_t *same_epoch = find_epoch (f, e->backend->epoch);
	if (!same_epoch) {
		same_epoch = cs_alloc (sizeof *same_epoch);
		same_epoch->epoch = e->backend->epoch;
		HASH_ADD (hh, f->epochs, epoch, sizeof same_epoch->epoch, same_epoch);
	}
	DL_APPEND (same_epoch->members, e);
}

static void
remove_from_epoch (cs_fleet_t *f, cs_fleet_entry_t *e)
{
	cs_fleet_epoch_t *same_epoch = find_epoch (f, e->backend->epoch);
	DL_DELETE (same_epoch->members, e);
	if (same_epoch->members)
		return;
	HASH_DEL (f->epochs, same_epoch);
	free (same_epoch);
}

static void
remove_entry (cs_fleet_t *f, cs_fleet_entry_t *e)
{
	remove_from_epoch (f, e);
	HASH_DEL (f->entries, e);
	cs_ref_put (&e->backend->ref);
	free (e);
}

/* What it has said in an answer just now may be later than the description. */
static void
record_cold (cs_fleet_entry_t *e, int64_t now_ms, bool same_incarnation)
{
	int64_t until_ms = now_ms + e->backend->cold_ms;
	bool may_be_older = same_incarnation && e->answered_ms &&
			    now_ms - e->answered_ms < CS_FLEET_COLD_LAG_MS;
	if (!may_be_older || until_ms > e->cold_until_ms)
		e->cold_until_ms = until_ms;
}

void
cs_fleet_set_cold (cs_fleet_t *f, int64_t now_ms, const char *id, uint64_t born, uint32_t ms)
{
	cs_fleet_entry_t *e;
	HASH_FIND_STR (f->entries, id, e);
	if (!e || e->backend->born != born)
		return;
	e->answered_ms = now_ms;
	e->cold_until_ms = now_ms + ms;
}

int64_t
cs_fleet_cold_until_ms (const cs_fleet_entry_t *e, int64_t since_ms, int64_t taken_back_ms,
			uint32_t cold_start_ms)
{
	int64_t said_ms = e->answered_ms > e->described_ms ? e->answered_ms : e->described_ms;
	int64_t until_ms = e->cold_until_ms;
	bool is_new = since_ms && e->listed_ms > since_ms && said_ms == e->listed_ms;
	if (is_new && e->listed_ms + cold_start_ms > until_ms)
		until_ms = e->listed_ms + cold_start_ms;
	if (taken_back_ms && said_ms <= taken_back_ms && taken_back_ms + cold_start_ms > until_ms)
		until_ms = taken_back_ms + cold_start_ms;
	return until_ms;
}

bool
cs_fleet_set (cs_fleet_t *f, int64_t now_ms, cs_backend_t *b)
{
	cs_fleet_entry_t *e;
	b = cs_fleet_remember (f, now_ms, b);
	if (!b)
		return false;
	HASH_FIND_STR (f->entries, b->id, e);
	bool unchanged = e && !e->expired_ms && cs_backend_equal (e->backend, b);
	bool same_incarnation = e && e->backend->born == b->born;
	if (e) {
		/* The entry's hash key points into its back end. */
		remove_from_epoch (f, e);
		HASH_DEL (f->entries, e);
		cs_ref_put (&e->backend->ref);
	} else {
		e = cs_alloc (sizeof *e);
	}
	e->backend = b;
	record_cold (e, now_ms, same_incarnation);
	e->described_ms = now_ms;
	if (!same_incarnation)
		e->listed_ms = now_ms;
	e->expired_ms = 0;
	HASH_ADD_KEYPTR (hh, f->entries, b->id, strlen (b->id), e);
	add_to_epoch (f, e);
	return !unchanged;
}

bool
cs_fleet_remove (cs_fleet_t *f, int64_t now_ms, const char *id)
{
	cs_fleet_entry_t *e;
	HASH_FIND_STR (f->entries, id, e);
	if (!e) {
		cs_fleet_remember_removal (f, now_ms, id);
		return false;
	}
	bool in_grace =
		f->list_unreachable || (f->reachable_since_ms &&
					now_ms - f->reachable_since_ms < CS_FLEET_EXPIRY_GRACE_MS);
	if (!in_grace || e->backend->draining) {
		cs_fleet_remember_removal (f, now_ms, id);
		remove_entry (f, e);
		return true;
	}
	if (!e->expired_ms)
		e->expired_ms = now_ms;
	return false;
}

void
cs_fleet_set_list_reachable (cs_fleet_t *f, int64_t now_ms, bool reached)
{
	if (reached && f->list_unreachable)
		f->reachable_since_ms = now_ms;
	f->list_unreachable = !reached;
}

bool
cs_fleet_remove_expired (cs_fleet_t *f, int64_t now_ms)
{
	cs_fleet_entry_t *e, *next;
	bool changed = false;
	if (f->list_unreachable)
		return false;
	cs_fleet_forget (f, now_ms);
	for (cs_backend_t *b; (b = cs_fleet_take_undoubted (f, now_ms));)
		changed |= cs_fleet_set (f, now_ms, b);
	HASH_ITER (hh, f->entries, e, next) {
		if (!e->expired_ms || now_ms - f->reachable_since_ms < CS_FLEET_EXPIRY_GRACE_MS)
			continue;
		cs_fleet_remember_removal (f, now_ms, e->backend->id);
		remove_entry (f, e);
		changed = true;
	}
	return changed;
}

const cs_fleet_entry_t *
cs_fleet_find_entry (const cs_fleet_t *f, const char *id)
{
	cs_fleet_entry_t *e;
	HASH_FIND_STR (f->entries, id, e);
	return e;
}

const cs_backend_t *
cs_fleet_find (const cs_fleet_t *f, const char *id)
{
	const cs_fleet_entry_t *e = cs_fleet_find_entry (f, id);
	return e ? e->backend : NULL;
}

const cs_fleet_entry_t *
cs_fleet_next (const cs_fleet_t *f, const cs_fleet_entry_t *at)
{
	return at ? at->hh.next : f->entries;
}

/* True if b is a member of the head's group, ready or open, and not draining. */
static bool
is_ready_member (const cs_backend_t *b, const cs_backend_t *head)
{
	return b->epoch == head->epoch &&
	       (b->state == CS_MEMBERSHIP_READY || b->state == CS_MEMBERSHIP_OPEN) &&
	       !b->draining && !strcmp (b->group, head->group) &&
	       !strcmp (b->service, head->service);
}

/* First entry of the head's epoch, linked by `next`; NULL if there is none. */
static const cs_fleet_entry_t *
first_entry_of_epoch (const cs_fleet_t *f, const cs_backend_t *head)
{
	const cs_fleet_epoch_t *same_epoch = find_epoch (f, head->epoch);
	return same_epoch ? same_epoch->members : NULL;
}

static cs_fleet_group_t *
find_group (const cs_fleet_t *f, const cs_backend_t *head)
{
	cs_fleet_group_t *g;
	HASH_FIND_STR (f->groups, head->id, g);
	return g;
}

static void
remove_group (cs_fleet_t *f, cs_fleet_group_t *g)
{
	HASH_DEL (f->groups, g);
	for (uint32_t i = 0; i < g->n_members; i++)
		free (g->members[i]);
	free (g->members);
	free (g->head);
	free (g);
}

/* Stores the members of a complete group, all of which must be listed, unless they are stored for
 * this epoch already. */
static void
store_group (cs_fleet_t *f, const cs_backend_t *head, uint32_t size)
{
	cs_fleet_group_t *g = find_group (f, head);
	if (g && g->epoch == head->epoch)
		return;
	if (g)
		remove_group (f, g);
	g = cs_alloc (sizeof *g);
	g->head = cs_str_dup (cs_str (head->id));
	g->epoch = head->epoch;
	g->members = cs_alloc (size * sizeof *g->members);
	for (const cs_fleet_entry_t *e = first_entry_of_epoch (f, head); e && g->n_members < size;
	     e = e->next)
		if (is_ready_member (e->backend, head))
			g->members[g->n_members++] = cs_str_dup (cs_str (e->backend->id));
	HASH_ADD_KEYPTR (hh, f->groups, g->head, strlen (g->head), g);
}

/* True if the group was seen complete under the same epoch, and each of its members was still a
 * ready one when it was last listed. */
static bool
is_presumed_complete (const cs_fleet_t *f, const cs_backend_t *head)
{
	const cs_fleet_group_t *g = find_group (f, head);
	if (!g || g->epoch != head->epoch)
		return false;
	for (uint32_t i = 0; i < g->n_members; i++) {
		const cs_backend_t *m = cs_fleet_last (f, g->members[i]);
		if (m && !is_ready_member (m, head))
			return false;
	}
	return true;
}

static uint32_t
count_ready_members (const cs_fleet_t *f, const cs_backend_t *head)
{
	uint32_t n = 0;
	for (const cs_fleet_entry_t *e = first_entry_of_epoch (f, head); e; e = e->next)
		n += is_ready_member (e->backend, head);
	return n;
}

bool
cs_fleet_is_group_complete (cs_fleet_t *f, const cs_backend_t *head, uint32_t size)
{
	if (head->rank || head->state != CS_MEMBERSHIP_OPEN || head->draining)
		return false;
	if (count_ready_members (f, head) != size)
		return is_presumed_complete (f, head);
	store_group (f, head, size);
	return true;
}

bool
cs_fleet_is_in_zone (const cs_fleet_t *f, const cs_backend_t *b, const char *zone)
{
	if (!strcmp (b->zone, zone))
		return true;
	const cs_fleet_group_t *g = find_group (f, b);
	if (!g || g->epoch != b->epoch)
		return false;
	for (uint32_t i = 0; i < g->n_members; i++) {
		const cs_backend_t *m = cs_fleet_last (f, g->members[i]);
		if (m && !strcmp (m->zone, zone))
			return true;
	}
	return false;
}

void
cs_fleet_finish (cs_fleet_t *f)
{
	cs_fleet_entry_t *e, *next;
	cs_fleet_group_t *g, *next_g;
	HASH_ITER (hh, f->entries, e, next) {
		remove_entry (f, e);
	}
	HASH_ITER (hh, f->groups, g, next_g) {
		remove_group (f, g);
	}
	cs_fleet_memory_finish (f);
}
