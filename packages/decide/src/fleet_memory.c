#include "fleet_memory.h"

#include <stdlib.h>
#include <string.h>

cs_fleet_memory_t *
cs_fleet_recall (const cs_fleet_t *f, const char *id)
{
	cs_fleet_memory_t *m;
	HASH_FIND_STR (f->memory, id, m);
	return m;
}

static void
clear_doubt (cs_fleet_memory_t *m)
{
	if (m->doubted)
		cs_ref_put (&m->doubted->ref);
	m->doubted = NULL;
}

static cs_fleet_memory_t *
recall_or_add (cs_fleet_t *f, const char *id)
{
	cs_fleet_memory_t *m = cs_fleet_recall (f, id);
	if (m)
		return m;
	m = cs_alloc (sizeof *m);
	m->id = cs_str_dup (cs_str (id));
	HASH_ADD_KEYPTR (hh, f->memory, m->id, strlen (m->id), m);
	return m;
}

/* Without a time of birth an entry that was removed and is listed again is another incarnation. */
static bool
is_same_incarnation (const cs_fleet_memory_t *m, const cs_backend_t *b)
{
	return m->born == b->born && (b->born || m->is_listed);
}

/* Begins the memory of an incarnation. */
static void
begin (cs_fleet_memory_t *m, uint64_t born)
{
	clear_doubt (m);
	m->born = born;
	m->heartbeats = 0;
	m->is_leaving = false;
	m->turned_away_until_ms = 0;
}

/* True if the list was unreachable lately: the store may have been restored from an older copy. */
static bool
may_be_restored (const cs_fleet_t *f, int64_t now_ms)
{
	return f->list_unreachable ||
	       (f->reachable_since_ms && now_ms - f->reachable_since_ms < CS_FLEET_DOUBT_MS);
}

static void
doubt (cs_fleet_memory_t *m, int64_t now_ms, cs_backend_t *b)
{
	clear_doubt (m);
	m->doubted = b;
	m->doubted_until_ms = now_ms + CS_FLEET_DOUBT_MS;
}

static cs_backend_t *
as_leaving (cs_backend_t *b)
{
	cs_backend_t *copy = cs_backend_copy (b);
	cs_ref_put (&b->ref);
	copy->draining = true;
	return copy;
}

static void
set_last (cs_fleet_memory_t *m, cs_backend_t *b)
{
	if (m->last)
		cs_ref_put (&m->last->ref);
	m->last = b;
	if (b)
		cs_ref_get (&b->ref);
}

cs_backend_t *
cs_fleet_remember (cs_fleet_t *f, int64_t now_ms, cs_backend_t *b)
{
	cs_fleet_memory_t *m = recall_or_add (f, b->id);
	bool is_known = m->is_listed || m->unlisted_ms;
	bool is_same = is_same_incarnation (m, b);
	bool is_older = is_same ? b->heartbeats <= m->heartbeats : b->born < m->born;
	if (is_known && is_older && may_be_restored (f, now_ms)) {
		if (!m->is_listed) {
			doubt (m, now_ms, b);
			return NULL;
		}
		if (!is_same || b->heartbeats < m->heartbeats) {
			cs_ref_put (&b->ref);
			return NULL;
		}
	}
	if (!is_same)
		begin (m, b->born);
	clear_doubt (m);
	m->is_listed = true;
	m->is_leaving |= b->draining;
	m->heartbeats = b->heartbeats > m->heartbeats ? b->heartbeats : m->heartbeats;
	if (m->is_leaving && !b->draining)
		b = as_leaving (b);
	set_last (m, b);
	return b;
}

void
cs_fleet_remember_removal (cs_fleet_t *f, int64_t now_ms, const char *id)
{
	cs_fleet_memory_t *m = cs_fleet_recall (f, id);
	if (!m)
		return;
	clear_doubt (m);
	m->is_listed = false;
	m->unlisted_ms = now_ms;
}

bool
cs_fleet_set_leaving (cs_fleet_t *f, int64_t now_ms, const char *id, uint64_t born)
{
	cs_fleet_memory_t *m = cs_fleet_recall (f, id);
	const cs_fleet_entry_t *e = cs_fleet_find_entry (f, id);
	if (!m || m->born != born || m->is_leaving)
		return false;
	m->is_leaving = true;
	if (!e || e->backend->draining)
		return true;
	bool is_expired = e->expired_ms > 0;
	cs_fleet_set (f, now_ms, cs_backend_copy (e->backend));
	if (is_expired) /* a leaving one has no grace period */
		cs_fleet_remove (f, now_ms, id);
	return true;
}

bool
cs_fleet_turn_away (cs_fleet_t *f, const char *id, uint64_t born, int64_t until_ms)
{
	cs_fleet_memory_t *m = cs_fleet_recall (f, id);
	if (!m || m->born != born || until_ms <= m->turned_away_until_ms)
		return false;
	m->turned_away_until_ms = until_ms;
	return true;
}

int64_t
cs_fleet_turned_away_until_ms (const cs_fleet_t *f, const char *id)
{
	const cs_fleet_memory_t *m = cs_fleet_recall (f, id);
	return m ? m->turned_away_until_ms : 0;
}

int64_t
cs_fleet_soonest_return_ms (const cs_fleet_t *f, int64_t now_ms, const char *service)
{
	int64_t soonest = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (f, e));) {
		int64_t at = cs_fleet_turned_away_until_ms (f, e->backend->id);
		if (at > now_ms && !e->backend->draining && (!soonest || at < soonest) &&
		    !strcmp (e->backend->service, service))
			soonest = at;
	}
	return soonest;
}

const cs_backend_t *
cs_fleet_last (const cs_fleet_t *f, const char *id)
{
	const cs_fleet_memory_t *m = cs_fleet_recall (f, id);
	return m ? m->last : NULL;
}

const cs_backend_t *
cs_fleet_next_last (const cs_fleet_t *f, const cs_backend_t *at)
{
	const cs_fleet_memory_t *m = at ? cs_fleet_recall (f, at->id)->hh.next : f->memory;
	while (m && !m->last)
		m = m->hh.next;
	return m ? m->last : NULL;
}

const cs_backend_t *
cs_fleet_last_head (const cs_fleet_t *f, uint64_t epoch)
{
	const cs_backend_t *b = NULL;
	while ((b = cs_fleet_next_last (f, b)))
		if (epoch && b->epoch == epoch && !b->rank && b->state != CS_MEMBERSHIP_NONE)
			return b;
	return NULL;
}

cs_backend_t *
cs_fleet_take_undoubted (cs_fleet_t *f, int64_t now_ms)
{
	cs_fleet_memory_t *m, *next;
	HASH_ITER (hh, f->memory, m, next) {
		if (!m->doubted || now_ms < m->doubted_until_ms)
			continue;
		cs_backend_t *b = m->doubted;
		m->doubted = NULL;
		m->is_listed = true;
		return b;
	}
	return NULL;
}

static void
remove_memory (cs_fleet_t *f, cs_fleet_memory_t *m)
{
	HASH_DEL (f->memory, m);
	clear_doubt (m);
	set_last (m, NULL);
	free (m->id);
	free (m);
}

void
cs_fleet_forget (cs_fleet_t *f, int64_t now_ms)
{
	cs_fleet_memory_t *m, *next;
	HASH_ITER (hh, f->memory, m, next) {
		if (!m->is_listed && !m->doubted && now_ms - m->unlisted_ms > CS_FLEET_MEMORY_MS)
			remove_memory (f, m);
	}
}

void
cs_fleet_memory_finish (cs_fleet_t *f)
{
	cs_fleet_memory_t *m, *next;
	HASH_ITER (hh, f->memory, m, next) {
		remove_memory (f, m);
	}
}
