/* Snapshot of the applied crashes, suspects and refused requests. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/claims.pb-c.h"
#include "poison_impl.h"

static int
compare_order (const void *a, const void *b)
{
	const cs_poison_entry_t *x = *(const cs_poison_entry_t *const *)a;
	const cs_poison_entry_t *y = *(const cs_poison_entry_t *const *)b;
	return (x->order > y->order) - (x->order < y->order);
}

/* Writes the applied entries to out, sorted by order; returns their number. */
static size_t
sort_entries (const cs_poison_t *p, cs_poison_entry_t **out)
{
	size_t n = 0;
	for (cs_poison_entry_t *x = p->entries; x; x = x->hh.next)
		if (!x->until_ms)
			out[n++] = x;
	qsort ((void *)out, n, sizeof *out, compare_order);
	return n;
}

static Cs__CrashEntry *
crash_entry (const cs_poison_crash_t *crash)
{
	Cs__CrashEntry *e = cs_alloc (sizeof *e);
	cs__crash_entry__init (e);
	e->group = crash->group;
	e->fence = crash->fence;
	e->explained = crash->explained;
	e->suspects = crash->suspects;
	return e;
}

static Cs__PrintEntry *
print_entry (const cs_poison_entry_t *entry)
{
	Cs__PrintEntry *e = cs_alloc (sizeof *e);
	cs__print_entry__init (e);
	e->fingerprint = entry->fingerprint;
	e->refused = entry->refused;
	e->cleared = entry->cleared;
	e->group = entry->group;
	e->fence = entry->fence;
	e->rank = entry->rank;
	return e;
}

static void
pack_state (const Cs__PoisonState *m, cs_buf_t *out)
{
	size_t n = cs__poison_state__get_packed_size (m);
	cs_buf_reserve (out, n);
	cs__poison_state__pack (m, (uint8_t *)out->p + out->n);
	out->n += n;
	out->p[out->n] = 0;
}

void
cs_poison_save (const cs_poison_t *p, cs_buf_t *out)
{
	size_t n_entries = HASH_COUNT (p->entries);
	cs_poison_entry_t **order = cs_alloc (n_entries * sizeof (cs_poison_entry_t *));
	size_t n = sort_entries (p, order);
	Cs__PoisonState m = CS__POISON_STATE__INIT;
	m.crashes = cs_alloc (p->n_crashes * sizeof (Cs__CrashEntry *));
	m.prints = cs_alloc (n * sizeof (Cs__PrintEntry *));
	const cs_poison_crash_t *crash;
	DL_FOREACH (p->crashes, crash) {
		m.crashes[m.n_crashes++] = crash_entry (crash);
	}
	for (size_t i = 0; i < n; i++)
		m.prints[m.n_prints++] = print_entry (order[i]);
	pack_state (&m, out);
	for (size_t i = 0; i < m.n_crashes; i++)
		free (m.crashes[i]);
	for (size_t i = 0; i < m.n_prints; i++)
		free (m.prints[i]);
	free ((void *)m.crashes);
	free ((void *)m.prints);
	free ((void *)order);
}

cs_status_t
cs_poison_restore (cs_poison_t *p, cs_str_t bytes)
{
	cs_poison_clear_applied (p);
	Cs__PoisonState *m = cs__poison_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!m)
		return cs_fail (CS_INVALID, "snapshot of the crashes cannot be decoded");
	for (size_t i = 0; i < m->n_crashes; i++) {
		const Cs__CrashEntry *e = m->crashes[i];
		cs_poison_crash_t *crash = cs_poison_add_crash (p, e->group, e->fence);
		crash->explained = e->explained;
		crash->suspects = e->suspects;
	}
	for (size_t i = 0; i < m->n_prints; i++) {
		const Cs__PrintEntry *e = m->prints[i];
		if (cs_poison_find_entry (p, e->fingerprint))
			continue;
		cs_poison_entry_t *entry =
			cs_poison_add_entry (p, e->fingerprint, e->group, e->fence);
		entry->refused = e->refused;
		entry->cleared = e->cleared;
		entry->rank = e->rank;
		p->n_refused += e->refused;
	}
	cs__poison_state__free_unpacked (m, NULL);
	return CS_OK;
}
