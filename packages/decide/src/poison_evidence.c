/* Evidence of crashes: broken connections and dead members, and the records reported from them. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "poison_impl.h"

enum {
	CLEAR_INTERVAL_MS = 1000 /* minimum time between two records that clear suspects */
};

static void
free_reports (cs_poison_t *p)
{
	for (size_t i = 0; i < p->n_reports; i++) {
		free (p->reports[i].group);
		free (p->reports[i].fingerprints);
		free (p->reports[i].cleared);
	}
	p->n_reports = 0;
}

void
cs_poison_clear_reports (cs_poison_t *p)
{
	free_reports (p);
}

static void
remove_running (cs_poison_t *p, cs_poison_running_t *r)
{
	HASH_DEL (p->running, r);
	free (r->group);
	free (r);
}

static void
remove_broken (cs_poison_t *p, cs_poison_broken_group_t *b)
{
	DL_DELETE (p->broken, b);
	p->n_broken--;
	free (b->group);
	free (b);
}

void
cs_poison_clear_evidence (cs_poison_t *p)
{
	cs_poison_running_t *r, *next;
	HASH_ITER (hh, p->running, r, next) {
		remove_running (p, r);
	}
	while (p->broken)
		remove_broken (p, p->broken);
	free_reports (p);
	free (p->reports);
	free (p->cleared);
}

static cs_poison_running_t *
find_running (const cs_poison_t *p, uint64_t id)
{
	cs_poison_running_t *r;
	HASH_FIND (hh, p->running, &id, sizeof id, r);
	return r;
}

void
cs_poison_begin_request (cs_poison_t *p, uint64_t id, uint64_t fingerprint, const char *group,
			 uint64_t fence)
{
	cs_poison_running_t *r = find_running (p, id);
	if (r)
		remove_running (p, r);
	r = cs_alloc (sizeof *r);
	r->id = id;
	r->fingerprint = fingerprint;
	r->group = cs_str_dup (cs_str (group));
	r->fence = fence;
	HASH_ADD (hh, p->running, id, sizeof r->id, r);
}

static void
queue_clearing (cs_poison_t *p, uint64_t fingerprint)
{
	const cs_poison_entry_t *entry = cs_poison_find_entry (p, fingerprint);
	bool suspect = entry && !entry->refused && !entry->cleared && !entry->until_ms;
	if (!suspect || p->options.disabled & CS_POISON_NO_CLEARING)
		return;
	for (size_t i = 0; i < p->n_cleared; i++)
		if (p->cleared[i] == fingerprint)
			return;
	p->cleared = cs_grow (p->cleared, &p->cap_cleared, p->n_cleared + 1, sizeof *p->cleared);
	p->cleared[p->n_cleared++] = fingerprint;
}

void
cs_poison_end_request (cs_poison_t *p, uint64_t id, bool completed)
{
	cs_poison_running_t *r = find_running (p, id);
	if (!r)
		return;
	if (completed)
		queue_clearing (p, r->fingerprint);
	remove_running (p, r);
}

static cs_poison_broken_group_t *
get_or_add_broken (cs_poison_t *p, int64_t now_ms, const char *group, uint64_t fence)
{
	cs_poison_broken_group_t *b;
	DL_FOREACH (p->broken, b) {
		if (b->fence == fence && !strcmp (b->group, group))
			return b;
	}
	if (p->n_broken >= CS_POISON_MAX_BROKEN)
		remove_broken (p, p->broken);
	b = cs_alloc (sizeof *b);
	b->group = cs_str_dup (cs_str (group));
	b->fence = fence;
	b->first_ms = now_ms;
	DL_APPEND (p->broken, b);
	p->n_broken++;
	return b;
}

static void
add_fingerprint (cs_poison_broken_group_t *b, uint64_t fingerprint)
{
	for (uint32_t i = 0; i < b->n_fingerprints; i++)
		if (b->fingerprints[i] == fingerprint)
			return;
	if (b->n_fingerprints < CS_POISON_MAX_FINGERPRINTS)
		b->fingerprints[b->n_fingerprints++] = fingerprint;
}

void
cs_poison_connection_broken (cs_poison_t *p, int64_t now_ms, uint64_t id)
{
	cs_poison_running_t *r = find_running (p, id);
	if (!r)
		return;
	add_fingerprint (get_or_add_broken (p, now_ms, r->group, r->fence), r->fingerprint);
	remove_running (p, r);
}

void
cs_poison_member_dead (cs_poison_t *p, int64_t now_ms, const char *group, uint64_t fence)
{
	cs_poison_broken_group_t *b = get_or_add_broken (p, now_ms, group, fence);
	if (!b->dead_ms)
		b->dead_ms = now_ms;
}

static cs_poison_report_t *
add_report (cs_poison_t *p, const char *group, uint64_t fence)
{
	p->reports = cs_grow (p->reports, &p->cap_reports, p->n_reports + 1, sizeof *p->reports);
	cs_poison_report_t *r = &p->reports[p->n_reports++];
	memset (r, 0, sizeof *r);
	r->group = cs_str_dup (cs_str (group));
	r->fence = fence;
	return r;
}

static uint64_t *
copy_fingerprints (const uint64_t *from, size_t n)
{
	uint64_t *to = cs_alloc (n * sizeof *to);
	memcpy (to, from, n * sizeof *to);
	return to;
}

static bool
is_crash (const cs_poison_t *p, const cs_poison_broken_group_t *b)
{
	return b->n_fingerprints && (b->dead_ms || p->options.disabled & CS_POISON_NO_EVIDENCE);
}

/* Adds the requests still running on the group: the crash hits them, too, although their
 * connections have not been seen to break yet. */
static void
add_running_fingerprints (const cs_poison_t *p, cs_poison_broken_group_t *b)
{
	for (const cs_poison_running_t *r = p->running; r; r = r->hh.next)
		if (r->fence == b->fence && !strcmp (r->group, b->group))
			add_fingerprint (b, r->fingerprint);
}

static void
report_crash (cs_poison_t *p, cs_poison_broken_group_t *b)
{
	add_running_fingerprints (p, b);
	if (b->n_fingerprints == b->n_reported)
		return;
	cs_poison_report_t *r = add_report (p, b->group, b->fence);
	r->n_fingerprints = b->n_fingerprints;
	r->fingerprints = copy_fingerprints (b->fingerprints, b->n_fingerprints);
	b->n_reported = b->n_fingerprints;
}

static void
report_cleared (cs_poison_t *p, int64_t now_ms)
{
	if (!p->n_cleared || now_ms - p->cleared_ms < CLEAR_INTERVAL_MS)
		return;
	cs_poison_report_t *r = add_report (p, "", 0);
	r->n_cleared = p->n_cleared;
	r->cleared = copy_fingerprints (p->cleared, p->n_cleared);
	p->n_cleared = 0;
	p->cleared_ms = now_ms;
}

static void
remove_expired_hints (cs_poison_t *p, int64_t now_ms)
{
	cs_poison_entry_t *entry, *next;
	HASH_ITER (hh, p->entries, entry, next) {
		if (entry->until_ms && now_ms >= entry->until_ms)
			cs_poison_remove_entry (p, entry);
	}
}

void
cs_poison_tick (cs_poison_t *p, int64_t now_ms)
{
	cs_poison_broken_group_t *b, *next;
	DL_FOREACH_SAFE (p->broken, b, next)
	{
		if (is_crash (p, b))
			report_crash (p, b);
		if (now_ms - b->first_ms > CS_POISON_EVIDENCE_MS)
			remove_broken (p, b);
	}
	report_cleared (p, now_ms);
	remove_expired_hints (p, now_ms);
}

/* Whether all daemons isolate or refuse the request, or have cleared it, by applied records. One
 * that was cleared is a suspect again by evidence of another crash. */
static bool
is_settled (const cs_poison_entry_t *entry, const cs_poison_broken_group_t *b)
{
	if (!entry || entry->until_ms)
		return false;
	return !entry->cleared || cs_poison_is_from_crash (entry, b->group, b->fence);
}

size_t
cs_poison_suspects (const cs_poison_t *p, uint64_t *out, size_t max)
{
	size_t n = 0;
	const cs_poison_broken_group_t *b;
	DL_FOREACH (p->broken, b) {
		for (uint32_t i = 0; i < b->n_fingerprints && b->dead_ms && n < max; i++) {
			const cs_poison_entry_t *entry =
				cs_poison_find_entry (p, b->fingerprints[i]);
			if (!is_settled (entry, b))
				out[n++] = b->fingerprints[i];
		}
	}
	return n;
}
