/* State of the poison module: applies Crash records and judges requests. */
#include "cs/poison.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/hash.h"
#include "poison_impl.h"

enum {
	HINT_EXPIRY_MS = 10000 /* of a hint, after the last heartbeat that names the suspect */
};

uint64_t
cs_poison_fingerprint (cs_str_t team, cs_str_t model, cs_str_t body)
{
	uint64_t parts[3] = {cs_hash (team), cs_hash (model), cs_hash (body)};
	return cs_hash (cs_str_n ((const char *)parts, sizeof parts));
}

void
cs_poison_init (cs_poison_t *p, const cs_poison_options_t *options)
{
	memset (p, 0, sizeof *p);
	p->options = *options;
}

cs_poison_entry_t *
cs_poison_find_entry (const cs_poison_t *p, uint64_t fingerprint)
{
	cs_poison_entry_t *entry;
	HASH_FIND (hh, p->entries, &fingerprint, sizeof fingerprint, entry);
	return entry;
}

cs_poison_entry_t *
cs_poison_add_entry (cs_poison_t *p, uint64_t fingerprint, const char *group, uint64_t fence)
{
	cs_poison_entry_t *entry = cs_alloc (sizeof *entry);
	entry->fingerprint = fingerprint;
	entry->group = cs_str_dup (cs_str (group));
	entry->fence = fence;
	entry->order = p->next_order++;
	HASH_ADD (hh, p->entries, fingerprint, sizeof entry->fingerprint, entry);
	return entry;
}

void
cs_poison_remove_entry (cs_poison_t *p, cs_poison_entry_t *entry)
{
	p->n_refused -= entry->refused;
	HASH_DEL (p->entries, entry);
	free (entry->group);
	free (entry);
}

bool
cs_poison_is_from_crash (const cs_poison_entry_t *entry, const char *group, uint64_t fence)
{
	return entry->fence == fence && !strcmp (entry->group, group);
}

/* Removes the suspects of a crash; refused entries stay. */
static void
remove_suspects (cs_poison_t *p, const cs_poison_crash_t *crash)
{
	cs_poison_entry_t *entry, *next;
	HASH_ITER (hh, p->entries, entry, next) {
		if (!entry->refused && cs_poison_is_from_crash (entry, crash->group, crash->fence))
			cs_poison_remove_entry (p, entry);
	}
}

static void
remove_crash (cs_poison_t *p, cs_poison_crash_t *crash)
{
	DL_DELETE (p->crashes, crash);
	p->n_crashes--;
	free (crash->group);
	free (crash);
}

cs_poison_crash_t *
cs_poison_add_crash (cs_poison_t *p, const char *group, uint64_t fence)
{
	if (p->n_crashes >= CS_POISON_MAX_CRASHES) {
		remove_suspects (p, p->crashes);
		remove_crash (p, p->crashes);
	}
	cs_poison_crash_t *crash = cs_alloc (sizeof *crash);
	crash->group = cs_str_dup (cs_str (group));
	crash->fence = fence;
	DL_APPEND (p->crashes, crash);
	p->n_crashes++;
	return crash;
}

static cs_poison_crash_t *
find_crash (const cs_poison_t *p, const char *group, uint64_t fence)
{
	cs_poison_crash_t *crash;
	DL_FOREACH (p->crashes, crash) {
		if (crash->fence == fence && !strcmp (crash->group, group))
			return crash;
	}
	return NULL;
}

void
cs_poison_clear_applied (cs_poison_t *p)
{
	cs_poison_entry_t *entry, *next;
	HASH_ITER (hh, p->entries, entry, next) {
		cs_poison_remove_entry (p, entry);
	}
	while (p->crashes)
		remove_crash (p, p->crashes);
	p->next_order = 0;
}

void
cs_poison_finish (cs_poison_t *p)
{
	cs_poison_clear_applied (p);
	cs_poison_clear_evidence (p);
	cs_poison_clear_recent_groups (p);
}

static void
remove_oldest_refused (cs_poison_t *p)
{
	cs_poison_entry_t *oldest = NULL;
	for (cs_poison_entry_t *x = p->entries; x; x = x->hh.next)
		if (x->refused && (!oldest || x->order < oldest->order))
			oldest = x;
	if (oldest)
		cs_poison_remove_entry (p, oldest);
}

/* Refuses a request of this crash if it is a suspect of an earlier one; true if it is. */
static bool
refuse_earlier_suspect (cs_poison_t *p, const cs_poison_crash_t *crash, uint64_t fingerprint)
{
	cs_poison_entry_t *entry = cs_poison_find_entry (p, fingerprint);
	bool suspect = entry && !entry->refused && !entry->cleared && !entry->until_ms;
	if (!suspect || cs_poison_is_from_crash (entry, crash->group, crash->fence))
		return false;
	if (p->n_refused >= CS_POISON_MAX_REFUSED)
		remove_oldest_refused (p);
	entry->refused = true;
	entry->order = p->next_order++;
	p->n_refused++;
	return true;
}

static void
add_suspect (cs_poison_t *p, cs_poison_crash_t *crash, uint64_t fingerprint)
{
	cs_poison_entry_t *entry = cs_poison_find_entry (p, fingerprint);
	bool known = entry && !entry->until_ms && !entry->cleared;
	if (known)
		return;
	if (entry)
		cs_poison_remove_entry (p, entry);
	cs_poison_add_entry (p, fingerprint, crash->group, crash->fence)->rank = crash->suspects++;
}

static void
apply_crash (cs_poison_t *p, const Cs__Crash *m)
{
	cs_poison_crash_t *crash = find_crash (p, m->group, m->fence);
	size_t n = m->n_fingerprints < CS_POISON_MAX_FINGERPRINTS ? m->n_fingerprints
								  : CS_POISON_MAX_FINGERPRINTS;
	if (!crash)
		crash = cs_poison_add_crash (p, m->group, m->fence);
	bool was_explained = crash->explained;
	for (size_t i = 0; i < n; i++)
		crash->explained |= refuse_earlier_suspect (p, crash, m->fingerprints[i]);
	if (crash->explained && !was_explained)
		remove_suspects (p, crash);
	for (size_t i = 0; i < n && !crash->explained; i++)
		add_suspect (p, crash, m->fingerprints[i]);
}

void
cs_poison_apply (cs_poison_t *p, const Cs__Record *record)
{
	if (record->body_case != CS__RECORD__BODY_CRASH || p->options.disabled & CS_POISON_NO_APPLY)
		return;
	const Cs__Crash *m = record->crash;
	for (size_t i = 0; i < m->n_cleared; i++) {
		cs_poison_entry_t *entry = cs_poison_find_entry (p, m->cleared[i]);
		if (entry && !entry->refused && !entry->until_ms)
			entry->cleared = true;
	}
	if (*m->group)
		apply_crash (p, m);
}

void
cs_poison_add_hints (cs_poison_t *p, int64_t now_ms, const uint64_t *fingerprints, size_t n)
{
	for (size_t i = 0; i < n && i < CS_POISON_MAX_FINGERPRINTS; i++) {
		cs_poison_entry_t *entry = cs_poison_find_entry (p, fingerprints[i]);
		bool is_applied = entry && !entry->until_ms;
		if (!entry)
			entry = cs_poison_add_entry (p, fingerprints[i], "", 0);
		if (!is_applied)
			entry->until_ms = now_ms + HINT_EXPIRY_MS;
		else if (entry->cleared)
			entry->hinted_until_ms = now_ms + HINT_EXPIRY_MS;
	}
}

/* Returns on how many groups this daemon saw the request's connection break, apart from the
 * crash that made it suspect. confirmed: count only groups with a member found dead. */
static uint32_t
count_breaks (const cs_poison_t *p, uint64_t fingerprint, const cs_poison_entry_t *entry,
	      bool confirmed)
{
	uint32_t n = 0;
	const cs_poison_broken_group_t *b;
	DL_FOREACH (p->broken, b) {
		if ((confirmed && !b->dead_ms) ||
		    (entry && cs_poison_is_from_crash (entry, b->group, b->fence)))
			continue;
		for (uint32_t i = 0; i < b->n_fingerprints; i++)
			if (b->fingerprints[i] == fingerprint) {
				n++;
				break;
			}
	}
	return n;
}

static bool
is_applied_suspect (const cs_poison_entry_t *entry)
{
	return entry && !entry->until_ms && !entry->cleared;
}

cs_poison_verdict_t
cs_poison_judge (const cs_poison_t *p, int64_t now_ms, uint64_t fingerprint)
{
	const cs_poison_entry_t *entry = cs_poison_find_entry (p, fingerprint);
	if (entry && entry->refused)
		return CS_POISON_REFUSED;
	uint32_t applied = is_applied_suspect (entry);
	if (applied + count_breaks (p, fingerprint, entry, true) >= 2)
		return CS_POISON_REFUSED;
	bool hinted = entry && (now_ms < entry->until_ms || now_ms < entry->hinted_until_ms);
	bool suspect = applied || hinted || count_breaks (p, fingerprint, entry, false);
	return suspect && !(p->options.disabled & CS_POISON_NO_ISOLATION) ? CS_POISON_SUSPECT
									  : CS_POISON_CLEAN;
}
