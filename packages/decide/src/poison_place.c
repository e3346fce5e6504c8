#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/hash.h"
#include "poison_impl.h"

enum {
	LOOK_MS = 2500 /* longest time between two looks at the groups */
};

/* Zone of MODEL_GROUP/ZONE/INDEX; empty if the name has another shape. */
static cs_str_t
zone_of (const char *group)
{
	const char *end = strrchr (group, '/');
	const char *begin = end;
	while (begin && begin > group && begin[-1] != '/')
		begin--;
	return begin && begin > group ? cs_str_n (begin, (size_t)(end - begin)) : cs_str ("");
}

static void
drop_seen (cs_poison_t *p, cs_seen_t *g)
{
	HASH_DEL (p->seen, g);
	free (g->name);
	free (g);
}

void
cs_poison_clear_seen (cs_poison_t *p)
{
	cs_seen_t *g = NULL;
	cs_seen_t *next = NULL;
	HASH_ITER (hh, p->seen, g, next) {
		drop_seen (p, g);
	}
}

void
cs_poison_serving (cs_poison_t *p, int64_t now_ms, const char *const *groups, size_t n)
{
	cs_seen_t *g = NULL;
	cs_seen_t *next = NULL;
	if (!p->seen_ms || now_ms - p->seen_ms > LOOK_MS)
		p->seen_since_ms = now_ms;
	p->seen_ms = now_ms;
	for (size_t i = 0; i < n; i++) {
		HASH_FIND_STR (p->seen, groups[i], g);
		if (!g) {
			g = cs_alloc (sizeof *g);
			g->name = cs_str_dup (cs_str (groups[i]));
			HASH_ADD_KEYPTR (hh, p->seen, g->name, strlen (g->name), g);
		}
		g->at_ms = now_ms;
	}
	HASH_ITER (hh, p->seen, g, next) {
		if (now_ms - g->at_ms > CS_POISON_EVIDENCE_MS)
			drop_seen (p, g);
	}
}

/* MODEL_GROUP of MODEL_GROUP/ZONE/INDEX. */
static cs_str_t
model_of (const char *group)
{
	cs_str_t zone = zone_of (group);
	return cs_str_n (group, zone.n ? (size_t)(zone.p - group) : 0);
}

/* Whether a suspect may run there: the crash's model and zone, but not the crashed group. */
static bool
is_candidate (const cs_print_t *print, const char *like, const char *group)
{
	bool known = print && *print->group;
	if (!cs_str_eq (model_of (group), model_of (known ? print->group : like)))
		return false;
	return !known || (cs_str_eq (zone_of (group), zone_of (print->group)) &&
			  strcmp (group, print->group) != 0);
}

/* The groups where the suspect may run: those that serve come first, then those that
 * served lately. Returns their number and that of the former. */
static size_t
list_candidates (const cs_poison_t *p, int64_t now_ms, const cs_print_t *print,
		 const char *const *groups, size_t n, const char **out, size_t *n_serving)
{
	size_t found = 0;
	for (size_t i = 0; i < n; i++)
		if (is_candidate (print, groups[0], groups[i]))
			out[found++] = groups[i];
	*n_serving = found;
	for (const cs_seen_t *g = p->seen; g; g = g->hh.next)
		if (n && now_ms - g->at_ms <= CS_POISON_EVIDENCE_MS &&
		    is_candidate (print, groups[0], g->name) && !cs_str_listed (groups, n, g->name))
			out[found++] = g->name;
	return found;
}

/* Takes the best group in the rendezvous order of the fingerprint out of those that are
 * left; all are left again when none is. */
static size_t
take_best (uint64_t fingerprint, const char *const *names, bool *taken, size_t n)
{
	size_t best = n;
	uint64_t best_score = 0;
	for (size_t i = 0; i < n; i++) {
		uint64_t score = cs_rendezvous (cs_hash (cs_str (names[i])), fingerprint);
		if (taken[i] || (best < n && score <= best_score))
			continue;
		best = i;
		best_score = score;
	}
	if (best == n) {
		memset (taken, 0, n * sizeof *taken);
		return take_best (fingerprint, names, taken, n);
	}
	taken[best] = true;
	return best;
}

/* Fingerprints of the earlier suspects of the same crash, by rank; 0 where there is none. */
static uint64_t *
list_earlier (const cs_poison_t *p, const cs_print_t *of)
{
	uint64_t *earlier = cs_alloc (of->rank * sizeof *earlier);
	for (const cs_print_t *x = p->prints; x; x = x->hh.next)
		if (x->rank < of->rank && x->fence == of->fence && !strcmp (x->group, of->group))
			earlier[x->rank] = x->fingerprint;
	return earlier;
}

/* Suspects of one crash choose one after the other, so that they get different groups. */
static size_t
choose (const cs_poison_t *p, const cs_print_t *print, uint64_t fingerprint,
	const char *const *names, size_t n)
{
	bool *taken = cs_alloc (n * sizeof *taken);
	uint64_t *earlier = print ? list_earlier (p, print) : NULL;
	for (uint32_t rank = 0; earlier && rank < print->rank; rank++)
		if (earlier[rank])
			take_best (earlier[rank], names, taken, n);
	size_t best = take_best (fingerprint, names, taken, n);
	free (earlier);
	free (taken);
	return best;
}

static bool
has_other_suspect (const cs_poison_t *p, int64_t now_ms, uint64_t fingerprint, const char *group)
{
	for (const cs_running_t *r = p->running; r; r = r->hh.next)
		if (r->fingerprint != fingerprint && !strcmp (r->group, group) &&
		    cs_poison_judge (p, now_ms, r->fingerprint) != CS_POISON_CLEAN)
			return true;
	return false;
}

/* Whether a break of this fingerprint beyond the first waits for evidence. */
static bool
awaits_evidence (const cs_poison_t *p, uint64_t fingerprint, const cs_print_t *print)
{
	uint32_t n = print && !print->until_ms && !print->cleared;
	const cs_broken_t *b;
	DL_FOREACH (p->broken, b) {
		if (print && print->fence == b->fence && !strcmp (print->group, b->group))
			continue;
		for (uint32_t i = 0; i < b->n_prints; i++)
			n += b->prints[i] == fingerprint;
	}
	return n >= 2;
}

cs_status_t
cs_poison_place (cs_poison_t *p, int64_t now_ms, uint64_t fingerprint, const char *const *groups,
		 size_t n, const char **out)
{
	const cs_print_t *print = cs_poison_find (p, fingerprint);
	if (awaits_evidence (p, fingerprint, print))
		return cs_fail (CS_UNAVAILABLE, "a break of the request waits for evidence");
	cs_poison_serving (p, now_ms, groups, n);
	if (now_ms - p->seen_since_ms < CS_POISON_EVIDENCE_MS)
		return cs_fail (CS_UNAVAILABLE, "the groups are not known for long enough");
	const char **names = cs_alloc ((n + HASH_COUNT (p->seen) + 1) * sizeof (char *));
	size_t n_serving;
	size_t found = list_candidates (p, now_ms, print, groups, n, names, &n_serving);
	size_t best = found ? choose (p, print, fingerprint, names, found) : 0;
	*out = best < n_serving ? names[best] : NULL;
	free ((void *)names);
	if (!*out)
		return cs_fail (CS_UNAVAILABLE, "the group for a suspect request doesn't serve");
	if (has_other_suspect (p, now_ms, fingerprint, *out))
		return cs_fail (CS_UNAVAILABLE, "another suspect request runs on %s", *out);
	return CS_OK;
}
