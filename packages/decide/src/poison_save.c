#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/claims.pb-c.h"
#include "poison_impl.h"

static int
by_order (const void *a, const void *b)
{
	const cs_print_t *x = *(const cs_print_t *const *)a;
	const cs_print_t *y = *(const cs_print_t *const *)b;
	return (x->order > y->order) - (x->order < y->order);
}

/* Folded prints in their order; returns the number. */
static size_t
sort_prints (const cs_poison_t *p, cs_print_t **out)
{
	size_t n = 0;
	for (cs_print_t *x = p->prints; x; x = x->hh.next)
		if (!x->until_ms)
			out[n++] = x;
	qsort ((void *)out, n, sizeof *out, by_order);
	return n;
}

static Cs__CrashEntry *
crash_entry (const cs_crash_t *crash)
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
print_entry (const cs_print_t *print)
{
	Cs__PrintEntry *e = cs_alloc (sizeof *e);
	cs__print_entry__init (e);
	e->fingerprint = print->fingerprint;
	e->refused = print->refused;
	e->cleared = print->cleared;
	e->group = print->group;
	e->fence = print->fence;
	e->rank = print->rank;
	return e;
}

static void
pack (const Cs__PoisonState *m, cs_buf_t *out)
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
	size_t most = HASH_COUNT (p->prints);
	cs_print_t **order = cs_alloc (most * sizeof (cs_print_t *));
	size_t n = sort_prints (p, order);
	Cs__PoisonState m = CS__POISON_STATE__INIT;
	m.crashes = cs_alloc (p->n_crashes * sizeof (Cs__CrashEntry *));
	m.prints = cs_alloc (n * sizeof (Cs__PrintEntry *));
	const cs_crash_t *crash;
	DL_FOREACH (p->crashes, crash) {
		m.crashes[m.n_crashes++] = crash_entry (crash);
	}
	for (size_t i = 0; i < n; i++)
		m.prints[m.n_prints++] = print_entry (order[i]);
	pack (&m, out);
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
	cs_poison_clear_fold (p);
	Cs__PoisonState *m = cs__poison_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!m)
		return cs_fail (CS_INVALID, "the snapshot of crashes is damaged");
	for (size_t i = 0; i < m->n_crashes; i++) {
		const Cs__CrashEntry *e = m->crashes[i];
		cs_crash_t *crash = cs_poison_add_crash (p, e->group, e->fence);
		crash->explained = e->explained;
		crash->suspects = e->suspects;
	}
	for (size_t i = 0; i < m->n_prints; i++) {
		const Cs__PrintEntry *e = m->prints[i];
		if (cs_poison_find (p, e->fingerprint))
			continue;
		cs_print_t *print = cs_poison_add (p, e->fingerprint, e->group, e->fence);
		print->refused = e->refused;
		print->cleared = e->cleared;
		print->rank = e->rank;
		p->n_refused += e->refused;
	}
	cs__poison_state__free_unpacked (m, NULL);
	return CS_OK;
}
