/* Placement of suspect requests: chooses the only group that each may run on. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/hash.h"
#include "poison_impl.h"

enum {
	MAX_UPDATE_GAP_MS = 2500 /* longest gap between updates of the serving groups */
};

/* Returns ZONE of MODEL_GROUP/ZONE/INDEX; empty if the name has another form. */
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
remove_recent_group (cs_poison_t *p, cs_poison_recent_group_t *g)
{
	HASH_DEL (p->recent_groups, g);
	free (g->name);
	free (g);
}

void
cs_poison_clear_recent_groups (cs_poison_t *p)
{
	cs_poison_recent_group_t *g = NULL;
	cs_poison_recent_group_t *next = NULL;
	HASH_ITER (hh, p->recent_groups, g, next) {
		remove_recent_group (p, g);
	}
}

void
cs_poison_update_serving (cs_poison_t *p, int64_t now_ms, const char *const *groups, size_t n)
{
	cs_poison_recent_group_t *g = NULL;
	cs_poison_recent_group_t *next = NULL;
	if (!p->last_update_ms || now_ms - p->last_update_ms > MAX_UPDATE_GAP_MS)
		p->updates_since_ms = now_ms;
	p->last_update_ms = now_ms;
	for (size_t i = 0; i < n; i++) {
		HASH_FIND_STR (p->recent_groups, groups[i], g);
		if (!g) {
			g = cs_alloc (sizeof *g);
			g->name = cs_str_dup (cs_str (groups[i]));
			HASH_ADD_KEYPTR (hh, p->recent_groups, g->name, strlen (g->name), g);
		}
		g->at_ms = now_ms;
	}
	HASH_ITER (hh, p->recent_groups, g, next) {
		if (now_ms - g->at_ms > CS_POISON_EVIDENCE_MS)
			remove_recent_group (p, g);
	}
}

/* Returns MODEL_GROUP of MODEL_GROUP/ZONE/INDEX. */
static cs_str_t
model_group_of (const char *group)
{
	cs_str_t zone = zone_of (group);
	return cs_str_n (group, zone.n ? (size_t)(zone.p - group) : 0);
}

/* Whether a suspect may run on the group: same model group and zone as the crash, but not the
 * crashed group. Without an applied crash, any group of the model group of `like`. */
static bool
is_candidate (const cs_poison_entry_t *entry, const char *like, const char *group)
{
	bool known = entry && *entry->group;
	if (!cs_str_eq (model_group_of (group), model_group_of (known ? entry->group : like)))
		return false;
	return !known || (cs_str_eq (zone_of (group), zone_of (entry->group)) &&
			  strcmp (group, entry->group) != 0);
}

/* Lists the groups where the suspect may run: first the *n_serving ones that serve now, then
 * those that served within CS_POISON_EVIDENCE_MS. Returns the number of both. */
static size_t
list_candidates (const cs_poison_t *p, int64_t now_ms, const cs_poison_entry_t *entry,
		 const char *const *groups, size_t n, const char **out, size_t *n_serving)
{
	size_t found = 0;
	for (size_t i = 0; i < n; i++)
		if (is_candidate (entry, groups[0], groups[i]))
			out[found++] = groups[i];
	*n_serving = found;
	for (const cs_poison_recent_group_t *g = p->recent_groups; g; g = g->hh.next)
		if (n && now_ms - g->at_ms <= CS_POISON_EVIDENCE_MS &&
		    is_candidate (entry, groups[0], g->name) &&
		    !cs_str_in_list (groups, n, g->name))
			out[found++] = g->name;
	return found;
}

/* Marks as taken, and returns, the group with the highest rendezvous score for the
 * fingerprint among those not taken. If all are taken, starts again with none taken. */
static size_t
take_best_group (uint64_t fingerprint, const char *const *names, bool *taken, size_t n)
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
		return take_best_group (fingerprint, names, taken, n);
	}
	taken[best] = true;
	return best;
}

/* Returns the fingerprints of suspects of the same crash with lower rank, by rank, 0 for none.
 * The caller frees the array. */
static uint64_t *
list_earlier_suspects (const cs_poison_t *p, const cs_poison_entry_t *of)
{
	uint64_t *earlier = cs_alloc (of->rank * sizeof *earlier);
	for (const cs_poison_entry_t *x = p->entries; x; x = x->hh.next)
		if (x->rank < of->rank && x->fence == of->fence && !strcmp (x->group, of->group))
			earlier[x->rank] = x->fingerprint;
	return earlier;
}

/* Chooses the suspect's group. Replays the choices of the crash's suspects with lower rank
 * first, so that they get different groups. */
static size_t
choose_group (const cs_poison_t *p, const cs_poison_entry_t *entry, uint64_t fingerprint,
	      const char *const *names, size_t n)
{
	bool *taken = cs_alloc (n * sizeof *taken);
	uint64_t *earlier = entry ? list_earlier_suspects (p, entry) : NULL;
	for (uint32_t rank = 0; earlier && rank < entry->rank; rank++)
		if (earlier[rank])
			take_best_group (earlier[rank], names, taken, n);
	size_t best = take_best_group (fingerprint, names, taken, n);
	free (earlier);
	free (taken);
	return best;
}

static bool
has_other_suspect (const cs_poison_t *p, int64_t now_ms, uint64_t fingerprint, const char *group)
{
	for (const cs_poison_running_t *r = p->running; r; r = r->hh.next)
		if (r->fingerprint != fingerprint && !strcmp (r->group, group) &&
		    cs_poison_judge (p, now_ms, r->fingerprint) != CS_POISON_CLEAN)
			return true;
	return false;
}

/* Whether the request has a second crash or broken connection for which evidence may come. */
static bool
awaits_evidence (const cs_poison_t *p, uint64_t fingerprint, const cs_poison_entry_t *entry)
{
	uint32_t n = entry && !entry->until_ms && !entry->cleared;
	const cs_poison_broken_group_t *b;
	DL_FOREACH (p->broken, b) {
		if (entry && entry->fence == b->fence && !strcmp (entry->group, b->group))
			continue;
		for (uint32_t i = 0; i < b->n_fingerprints; i++)
			n += b->fingerprints[i] == fingerprint;
	}
	return n >= 2;
}

cs_status_t
cs_poison_place (cs_poison_t *p, int64_t now_ms, uint64_t fingerprint, const char *const *groups,
		 size_t n, const char **out)
{
	const cs_poison_entry_t *entry = cs_poison_find_entry (p, fingerprint);
	if (awaits_evidence (p, fingerprint, entry))
		return cs_fail (CS_UNAVAILABLE,
				"a broken connection of the request waits for evidence of a crash");
	cs_poison_update_serving (p, now_ms, groups, n);
	if (now_ms - p->updates_since_ms < CS_POISON_EVIDENCE_MS)
		return cs_fail (CS_UNAVAILABLE,
				"serving groups have not been watched for long enough");
	const char **names = cs_alloc ((n + HASH_COUNT (p->recent_groups) + 1) * sizeof (char *));
	size_t n_serving;
	size_t found = list_candidates (p, now_ms, entry, groups, n, names, &n_serving);
	size_t best = found ? choose_group (p, entry, fingerprint, names, found) : 0;
	*out = best < n_serving ? names[best] : NULL;
	free ((void *)names);
	if (!*out)
		return cs_fail (CS_UNAVAILABLE,
				"the group chosen for the suspect request does not serve");
	if (has_other_suspect (p, now_ms, fingerprint, *out))
		return cs_fail (CS_UNAVAILABLE, "another suspect request runs on %s", *out);
	return CS_OK;
}
