#include "cs/poison.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/hash.h"
#include "poison_impl.h"

enum {
	HINT_MS = 10000 /* a suspicion that only heartbeats know of */
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

cs_print_t *
cs_poison_find (const cs_poison_t *p, uint64_t fingerprint)
{
	cs_print_t *print;
	HASH_FIND (hh, p->prints, &fingerprint, sizeof fingerprint, print);
	return print;
}

cs_print_t *
cs_poison_add (cs_poison_t *p, uint64_t fingerprint, const char *group, uint64_t fence)
{
	cs_print_t *print = cs_alloc (sizeof *print);
	print->fingerprint = fingerprint;
	print->group = cs_str_dup (cs_str (group));
	print->fence = fence;
	print->order = p->next_order++;
	HASH_ADD (hh, p->prints, fingerprint, sizeof print->fingerprint, print);
	return print;
}

void
cs_poison_drop (cs_poison_t *p, cs_print_t *print)
{
	p->n_refused -= print->refused;
	HASH_DEL (p->prints, print);
	free (print->group);
	free (print);
}

static bool
is_of (const cs_print_t *print, const char *group, uint64_t fence)
{
	return print->fence == fence && !strcmp (print->group, group);
}

/* Forgets the suspects of a crash; refused ones stay. */
static void
drop_suspects (cs_poison_t *p, const cs_crash_t *crash)
{
	cs_print_t *print, *next;
	HASH_ITER (hh, p->prints, print, next) {
		if (!print->refused && is_of (print, crash->group, crash->fence))
			cs_poison_drop (p, print);
	}
}

static void
drop_crash (cs_poison_t *p, cs_crash_t *crash)
{
	DL_DELETE (p->crashes, crash);
	p->n_crashes--;
	free (crash->group);
	free (crash);
}

cs_crash_t *
cs_poison_add_crash (cs_poison_t *p, const char *group, uint64_t fence)
{
	if (p->n_crashes >= CS_POISON_MAX_CRASHES) {
		drop_suspects (p, p->crashes);
		drop_crash (p, p->crashes);
	}
	cs_crash_t *crash = cs_alloc (sizeof *crash);
	crash->group = cs_str_dup (cs_str (group));
	crash->fence = fence;
	DL_APPEND (p->crashes, crash);
	p->n_crashes++;
	return crash;
}

static cs_crash_t *
find_crash (const cs_poison_t *p, const char *group, uint64_t fence)
{
	cs_crash_t *crash;
	DL_FOREACH (p->crashes, crash) {
		if (crash->fence == fence && !strcmp (crash->group, group))
			return crash;
	}
	return NULL;
}

void
cs_poison_clear_fold (cs_poison_t *p)
{
	cs_print_t *print, *next;
	HASH_ITER (hh, p->prints, print, next) {
		cs_poison_drop (p, print);
	}
	while (p->crashes)
		drop_crash (p, p->crashes);
	p->next_order = 0;
}

void
cs_poison_finish (cs_poison_t *p)
{
	cs_poison_clear_fold (p);
	cs_poison_clear_evidence (p);
	cs_poison_clear_seen (p);
}

static void
drop_oldest_refused (cs_poison_t *p)
{
	cs_print_t *oldest = NULL;
	for (cs_print_t *x = p->prints; x; x = x->hh.next)
		if (x->refused && (!oldest || x->order < oldest->order))
			oldest = x;
	if (oldest)
		cs_poison_drop (p, oldest);
}

/* A suspect of an earlier crash was running at this one. */
static bool
blame (cs_poison_t *p, const cs_crash_t *crash, uint64_t fingerprint)
{
	cs_print_t *print = cs_poison_find (p, fingerprint);
	bool suspect = print && !print->refused && !print->cleared && !print->until_ms;
	if (!suspect || is_of (print, crash->group, crash->fence))
		return false;
	if (p->n_refused >= CS_POISON_MAX_REFUSED)
		drop_oldest_refused (p);
	print->refused = true;
	print->order = p->next_order++;
	p->n_refused++;
	return true;
}

static void
suspect (cs_poison_t *p, cs_crash_t *crash, uint64_t fingerprint)
{
	cs_print_t *print = cs_poison_find (p, fingerprint);
	bool known = print && !print->until_ms && !print->cleared;
	if (known)
		return;
	if (print)
		cs_poison_drop (p, print);
	cs_poison_add (p, fingerprint, crash->group, crash->fence)->rank = crash->suspects++;
}

static void
apply_crash (cs_poison_t *p, const Cs__Crash *m)
{
	cs_crash_t *crash = find_crash (p, m->group, m->fence);
	size_t n =
		m->n_fingerprints < CS_POISON_MAX_PRINTS ? m->n_fingerprints : CS_POISON_MAX_PRINTS;
	if (!crash)
		crash = cs_poison_add_crash (p, m->group, m->fence);
	bool was_explained = crash->explained;
	for (size_t i = 0; i < n; i++)
		crash->explained |= blame (p, crash, m->fingerprints[i]);
	if (crash->explained && !was_explained)
		drop_suspects (p, crash);
	for (size_t i = 0; i < n && !crash->explained; i++)
		suspect (p, crash, m->fingerprints[i]);
}

void
cs_poison_apply (cs_poison_t *p, const Cs__Record *record)
{
	if (record->body_case != CS__RECORD__BODY_CRASH || p->options.disabled & CS_POISON_NO_FOLD)
		return;
	const Cs__Crash *m = record->crash;
	for (size_t i = 0; i < m->n_cleared; i++) {
		cs_print_t *print = cs_poison_find (p, m->cleared[i]);
		if (print && !print->refused && !print->until_ms)
			print->cleared = true;
	}
	if (*m->group)
		apply_crash (p, m);
}

void
cs_poison_hint (cs_poison_t *p, int64_t now_ms, const uint64_t *fingerprints, size_t n)
{
	for (size_t i = 0; i < n && i < CS_POISON_MAX_PRINTS; i++) {
		cs_print_t *print = cs_poison_find (p, fingerprints[i]);
		if (!print)
			print = cs_poison_add (p, fingerprints[i], "", 0);
		else if (!print->until_ms)
			continue;
		print->until_ms = now_ms + HINT_MS;
	}
}

/* How many times this daemon saw its connection break, apart from the crash that made it
 * suspect; confirmed: only with evidence. */
static uint32_t
count_breaks (const cs_poison_t *p, uint64_t fingerprint, const cs_print_t *print, bool confirmed)
{
	uint32_t n = 0;
	const cs_broken_t *b;
	DL_FOREACH (p->broken, b) {
		if ((confirmed && !b->dead_ms) || (print && is_of (print, b->group, b->fence)))
			continue;
		for (uint32_t i = 0; i < b->n_prints; i++)
			if (b->prints[i] == fingerprint) {
				n++;
				break;
			}
	}
	return n;
}

static bool
is_folded_suspect (const cs_print_t *print)
{
	return print && !print->until_ms && !print->cleared;
}

cs_poison_verdict_t
cs_poison_judge (const cs_poison_t *p, int64_t now_ms, uint64_t fingerprint)
{
	const cs_print_t *print = cs_poison_find (p, fingerprint);
	if (print && print->refused)
		return CS_POISON_REFUSED;
	uint32_t folded = is_folded_suspect (print);
	if (folded + count_breaks (p, fingerprint, print, true) >= 2)
		return CS_POISON_REFUSED;
	bool hinted = print && now_ms < print->until_ms;
	bool suspect = folded || hinted || count_breaks (p, fingerprint, print, false);
	return suspect && !(p->options.disabled & CS_POISON_NO_ISOLATION) ? CS_POISON_SUSPECT
									  : CS_POISON_CLEAN;
}
