/* Which parts of prompts are to blame for ends of back ends. A judgement has a number: the parts
 * that it suspects and the ends that they explain bear it. */
#include <stdlib.h>

#include "crash_impl.h"

enum {
	MOMENT_MS = 100,    /* ends of one power loss come to be seen within this time */
	STRONG_POINTS = 2,  /* of a moment with a strong break; others count 1 */
	FIRST_TRY_MS = 1000 /* behind the suspicion */
};

/* True if another part explains the end. */
static bool
is_hidden (const cs_crash_cause_t *x, const cs_crash_end_t *end)
{
	return end->judgement && end->judgement != x->judgement;
}

/* True if the break counts for x. confirmed: only if the list shows the end. */
static bool
break_counts (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x, size_t i,
	      bool confirmed)
{
	const cs_crash_end_t *end = x->breaks[i].end;
	return cs_crash_end_counts (c, now_ms, end) && (end->confirmed || !confirmed) &&
	       !is_hidden (x, end);
}

typedef struct {
	int64_t at_ms;
	uint64_t content;
	bool is_strong;
} moment_t;

static bool
is_same_moment (const cs_crash_counts_t *c, int64_t a_ms, int64_t b_ms)
{
	int64_t apart_ms = a_ms > b_ms ? a_ms - b_ms : b_ms - a_ms;
	return apart_ms < MOMENT_MS && !(c->disabled & CS_CRASH_NO_MOMENTS);
}

/* True if the content itself may be to blame for both: it was not answered since the first of them,
 * with another prompt perhaps. */
static bool
is_same_content (const cs_crash_counts_t *c, int64_t now_ms, const moment_t *a, const moment_t *b)
{
	const cs_crash_key_t content = {a->content, false};
	int64_t first_ms = a->at_ms < b->at_ms ? a->at_ms : b->at_ms;
	return a->content == b->content && !cs_crash_has_answer (c, now_ms, content, first_ms);
}

/* Adds a moment to n others, which are in the order of their times, unless one of them has its time
 * or its content. Returns their number. */
static size_t
add_moment (const cs_crash_counts_t *c, int64_t now_ms, moment_t *moments, size_t n,
	    const moment_t *m)
{
	size_t i = n;
	for (size_t k = 0; k < n; k++)
		if (is_same_content (c, now_ms, &moments[k], m) ||
		    is_same_moment (c, moments[k].at_ms, m->at_ms)) {
			moments[k].is_strong |= m->is_strong;
			return n;
		}
	for (; i && moments[i - 1].at_ms > m->at_ms; i--)
		moments[i] = moments[i - 1];
	moments[i] = *m;
	return n + 1;
}

cs_crash_weight_t
cs_crash_weigh (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
		bool confirmed)
{
	moment_t moments[CS_CRASH_MAX_BREAKS];
	size_t n = 0;
	cs_crash_weight_t w = {0};
	for (size_t i = 0; i < x->n; i++) {
		const cs_crash_break_record_t *b = &x->breaks[i];
		const moment_t m = {b->end->at_ms, b->content, b->is_strong};
		if (break_counts (c, now_ms, x, i, confirmed))
			n = add_moment (c, now_ms, moments, n, &m);
	}
	for (size_t i = 0; i < n; i++)
		w.strong += moments[i].is_strong;
	w.moments = (uint32_t)n;
	w.first_ms = n ? moments[0].at_ms : 0;
	w.since_ms = n ? moments[n > CS_CRASH_LIMIT ? n - CS_CRASH_LIMIT : 0].at_ms : 0;
	return w;
}

static bool
has_end (const cs_crash_cause_t *x, const cs_crash_end_t *end)
{
	for (size_t i = 0; i < x->n; i++)
		if (x->breaks[i].end == end)
			return true;
	return false;
}

/* Moments since first_ms at which back ends ended without the part, and nothing explains them. */
static uint32_t
count_others (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
	      int64_t first_ms)
{
	int64_t last_ms = INT64_MIN / 2;
	bool has_part = true;
	uint32_t n = 0;
	for (size_t i = 0; i < c->n_ends; i++) {
		const cs_crash_end_t *end = c->ends[i];
		if (end->at_ms < first_ms || !cs_crash_end_counts (c, now_ms, end) ||
		    is_hidden (x, end))
			continue;
		if (!is_same_moment (c, last_ms, end->at_ms)) {
			n += !has_part;
			has_part = false;
			last_ms = end->at_ms;
		}
		has_part |= has_end (x, end);
	}
	return n + !has_part;
}

/* Points that a part needs: a part with few of the ends is more likely to have been beside them. */
static uint32_t
needed_points (uint32_t moments, uint32_t others)
{
	uint32_t needed = CS_CRASH_LIMIT;
	for (uint32_t r = 1 + others / moments; r > 1 && needed < CS_CRASH_MAX_MOMENTS; r /= 2)
		needed++;
	return needed * STRONG_POINTS;
}

/* A content that is repeated has crashed all of them, whatever else it holds. */
static bool
is_within_content (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	for (const cs_crash_cause_t *k = c->causes; k; k = k->hh.next) {
		bool has_all =
			!k->key.is_part && cs_crash_count (c, now_ms, k, false) >= CS_CRASH_LIMIT;
		for (size_t i = 0; i < x->n && has_all; i++)
			has_all = !break_counts (c, now_ms, x, i, false) ||
				  has_end (k, x->breaks[i].end);
		if (has_all)
			return true;
	}
	return false;
}

static uint32_t
points_of (const cs_crash_weight_t *w)
{
	return w->strong * STRONG_POINTS + (w->moments - w->strong);
}

/* True if the breaks of a part suffice to suspect it, or to go on doing so. */
static bool
suffices (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
	  const cs_crash_weight_t *w)
{
	if (w->moments < CS_CRASH_LIMIT)
		return false;
	if (!x->suspected_ms && w->moments < CS_CRASH_MAX_MOMENTS &&
	    points_of (w) < needed_points (w->moments, count_others (c, now_ms, x, w->first_ms)))
		return false;
	return !is_within_content (c, now_ms, x);
}

/* True if all breaks of a that count are breaks of b. */
static bool
is_subset (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *a,
	   const cs_crash_cause_t *b)
{
	for (size_t i = 0; i < a->n; i++)
		if (break_counts (c, now_ms, a, i, false) && !has_end (b, a->breaks[i].end))
			return false;
	return true;
}

static void
explain_ends (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	for (size_t i = 0; i < x->n; i++)
		if (break_counts (c, now_ms, x, i, false))
			x->breaks[i].end->judgement = x->judgement;
}

/* A part with more strong breaks explains the ends better than one that was answered before, or is
 * being answered elsewhere, and has met more of them. */
static bool
is_better (const cs_crash_weight_t *a, const cs_crash_weight_t *b)
{
	if (a->strong != b->strong)
		return a->strong > b->strong;
	return a->moments > b->moments;
}

/* Suspects the best explanation among the candidates that are left, and those whose ends are among
 * its own, which may be the better one. False if none suffices. */
static bool
suspect_best (cs_crash_counts_t *c, int64_t now_ms, cs_crash_cause_t **candidates, size_t n)
{
	cs_crash_cause_t *best = NULL;
	cs_crash_weight_t w, most = {0};
	for (size_t i = 0; i < n; i++) {
		w = cs_crash_weigh (c, now_ms, candidates[i], false);
		if (candidates[i]->judgement || (best && !is_better (&w, &most)) ||
		    !suffices (c, now_ms, candidates[i], &w))
			continue;
		best = candidates[i];
		most = w;
	}
	if (!best)
		return false;
	uint64_t judgement = ++c->last_judgement;
	for (size_t i = 0; i < n; i++) {
		w = cs_crash_weigh (c, now_ms, candidates[i], false);
		if (candidates[i] == best ||
		    (!candidates[i]->judgement && is_subset (c, now_ms, candidates[i], best) &&
		     w.strong == w.moments && suffices (c, now_ms, candidates[i], &w)))
			candidates[i]->judgement = judgement;
	}
	for (size_t i = 0; i < n; i++)
		if (candidates[i]->judgement == judgement)
			explain_ends (c, now_ms, candidates[i]);
	return true;
}

static void
record_suspicion (cs_crash_counts_t *c, int64_t now_ms, cs_crash_cause_t *x)
{
	bool is_refused = now_ms < x->refused_until_ms;
	if (x->judgement && !is_refused)
		x->since_ms = cs_crash_weigh (c, now_ms, x, false).since_ms;
	if (x->judgement && !x->suspected_ms) {
		x->suspected_ms = now_ms;
		if (!is_refused && !x->tries)
			x->try_from_ms = now_ms + FIRST_TRY_MS;
	}
	if (x->judgement)
		return;
	if (x->suspected_ms && !is_refused)
		x->asked = x->wants_try = x->may_try = false;
	x->suspected_ms = 0;
}

void
cs_crash_judge (cs_crash_counts_t *c, int64_t now_ms)
{
	cs_crash_cause_t **candidates =
		cs_alloc ((HASH_COUNT (c->causes) + 1) * sizeof (cs_crash_cause_t *));
	size_t n = 0;
	for (size_t i = 0; i < c->n_ends; i++)
		c->ends[i]->judgement = 0;
	for (cs_crash_cause_t *x = c->causes; x; x = x->hh.next) {
		if (!x->key.is_part || (x->n < CS_CRASH_LIMIT && !x->judgement))
			continue;
		x->judgement = 0;
		candidates[n++] = x;
	}
	while (suspect_best (c, now_ms, candidates, n))
		;
	for (size_t i = 0; i < n; i++)
		record_suspicion (c, now_ms, candidates[i]);
	free (candidates);
	c->judged_ms = now_ms;
	c->is_judged = true;
}

bool
cs_crash_is_rival (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *y)
{
	moment_t moments[CS_CRASH_MAX_BREAKS];
	size_t n = 0;
	for (size_t i = 0; i < y->n; i++) {
		const cs_crash_break_record_t *b = &y->breaks[i];
		const moment_t m = {b->end->at_ms, b->content, b->is_strong};
		if (cs_crash_end_counts (c, now_ms, b->end))
			n = add_moment (c, now_ms, moments, n, &m);
	}
	return n > 1;
}

/* True if whatever broke with a that counts was a request with b, too. */
static bool
is_always_with (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *a,
		const cs_crash_cause_t *b)
{
	for (size_t i = 0; i < a->n; i++) {
		bool is_with = !break_counts (c, now_ms, a, i, false);
		for (size_t k = 0; k < b->n && !is_with; k++)
			is_with = b->breaks[k].end == a->breaks[i].end &&
				  b->breaks[k].content == a->breaks[i].content;
		if (!is_with)
			return false;
	}
	return true;
}

/* True if others of its judgement have met all ends of the part. */
static bool
is_covered (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	for (size_t i = 0; i < x->n; i++) {
		bool is_left = break_counts (c, now_ms, x, i, false);
		for (const cs_crash_cause_t *y = c->causes; y && is_left; y = y->hh.next)
			is_left = y == x || y->judgement != x->judgement ||
				  !has_end (y, x->breaks[i].end);
		if (is_left)
			return false;
	}
	return true;
}

/* x may only have been beside y if it was always in the same requests; or beside parts that have
 * met some of its ends each, and all together. Parts that have met the same ends are both refused
 * once these are CS_CRASH_MAX_MOMENTS. */
bool
cs_crash_is_tied (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	bool has_other = false;
	if (!x->judgement || x->is_condemned)
		return false;
	bool is_final = cs_crash_weigh (c, now_ms, x, false).moments >= CS_CRASH_MAX_MOMENTS;
	for (const cs_crash_cause_t *y = c->causes; y; y = y->hh.next) {
		if (y == x || y->judgement != x->judgement)
			continue;
		bool is_around = is_subset (c, now_ms, y, x);
		if (is_always_with (c, now_ms, x, y) && !(is_around && is_final))
			return true;
		has_other |= is_around && !(is_subset (c, now_ms, x, y) && is_final);
	}
	return has_other && is_covered (c, now_ms, x);
}
