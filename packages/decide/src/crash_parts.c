/* Which parts of prompts are to blame for ends of back ends. */
#include "crash_impl.h"

enum {
	MOMENT_MS = 100,    /* ends of one power loss come to be seen within this time */
	STRONG_POINTS = 2,  /* of a moment with a strong break; others count 1 */
	FIRST_TRY_MS = 1000 /* behind the suspicion */
};

static bool
is_hidden (const cs_crash_counts_t *c, const cs_crash_cause_t *x, const cs_crash_end_t *end)
{
	return end->judgement && end->judgement != x->judgement &&
	       !(c->disabled & CS_CRASH_NO_EXPLAINED);
}

static bool
break_counts (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x, size_t i,
	      bool confirmed)
{
	const cs_crash_end_t *end = x->breaks[i].end;
	return cs_crash_end_counts (c, now_ms, end) && (end->confirmed || !confirmed) &&
	       !is_hidden (c, x, end);
}

typedef struct {
	int64_t at_ms;
	bool is_strong;
} moment_t;

static bool
is_same_moment (const cs_crash_counts_t *c, int64_t a_ms, int64_t b_ms)
{
	int64_t apart_ms = a_ms > b_ms ? a_ms - b_ms : b_ms - a_ms;
	return apart_ms < MOMENT_MS && !(c->disabled & CS_CRASH_NO_MOMENTS);
}

/* Adds a break to the moments, which are in the order of their times. */
static size_t
add_moment (const cs_crash_counts_t *c, moment_t *moments, size_t n, int64_t at_ms, bool is_strong)
{
	size_t i = n;
	for (size_t k = 0; k < n; k++)
		if (is_same_moment (c, moments[k].at_ms, at_ms)) {
			moments[k].is_strong |= is_strong;
			return n;
		}
	for (; i && moments[i - 1].at_ms > at_ms; i--)
		moments[i] = moments[i - 1];
	moments[i] = (moment_t){at_ms, is_strong};
	return n + 1;
}

cs_crash_weight_t
cs_crash_weigh (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
		bool confirmed)
{
	moment_t moments[CS_CRASH_MAX_BREAKS];
	size_t n = 0;
	cs_crash_weight_t w = {0};
	for (size_t i = 0; i < x->n; i++)
		if (break_counts (c, now_ms, x, i, confirmed))
			n = add_moment (c, moments, n, x->breaks[i].end->at_ms,
					x->breaks[i].is_strong);
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

/* Moments since first_ms at which back ends ended without the part. */
static uint32_t
count_others (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
	      int64_t first_ms)
{
	int64_t last_ms = INT64_MIN / 2;
	bool has_part = true;
	uint32_t n = 0;
	for (size_t i = 0; i < c->n_ends; i++) {
		const cs_crash_end_t *end = c->ends[i];
		if (end->at_ms < first_ms || !cs_crash_end_counts (c, now_ms, end))
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

/* Points of a part whose breaks suffice; 0: they do not. */
static uint32_t
sufficient_points (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	if (!x->key.is_part || x->judgement || x->n < CS_CRASH_LIMIT)
		return 0;
	const cs_crash_weight_t w = cs_crash_weigh (c, now_ms, x, false);
	uint32_t points = points_of (&w);
	if (w.moments < CS_CRASH_LIMIT ||
	    (w.moments < CS_CRASH_MAX_MOMENTS &&
	     points < needed_points (w.moments, count_others (c, now_ms, x, w.first_ms))))
		return 0;
	return is_within_content (c, now_ms, x) ? 0 : points;
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

static bool
is_same (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *a,
	 const cs_crash_cause_t *b)
{
	return is_subset (c, now_ms, a, b) && is_subset (c, now_ms, b, a);
}

static void
suspect (cs_crash_counts_t *c, int64_t now_ms, cs_crash_cause_t *x, uint64_t judgement)
{
	x->judgement = judgement;
	x->since_ms = cs_crash_weigh (c, now_ms, x, false).since_ms;
	x->try_from_ms = now_ms + FIRST_TRY_MS;
	for (size_t i = 0; i < x->n; i++)
		if (break_counts (c, now_ms, x, i, false))
			x->breaks[i].end->judgement = judgement;
}

void
cs_crash_judge (cs_crash_counts_t *c, int64_t now_ms, cs_crash_cause_t *const *causes, size_t n)
{
	for (;;) {
		cs_crash_cause_t *best = NULL;
		uint32_t most = 0;
		for (size_t i = 0; i < n; i++) {
			uint32_t points = sufficient_points (c, now_ms, causes[i]);
			if (points > most) {
				best = causes[i];
				most = points;
			}
		}
		if (!best)
			return;
		uint64_t judgement = ++c->last_judgement;
		bool *same = cs_alloc (n * sizeof *same);
		for (size_t i = 0; i < n; i++)
			same[i] = sufficient_points (c, now_ms, causes[i]) == most &&
				  is_same (c, now_ms, best, causes[i]);
		for (size_t i = 0; i < n; i++)
			if (same[i])
				suspect (c, now_ms, causes[i], judgement);
		free (same);
	}
}

void
cs_crash_acquit (cs_crash_counts_t *c, cs_crash_cause_t *x)
{
	bool is_last = x->judgement != 0;
	for (const cs_crash_cause_t *y = c->causes; y && is_last; y = y->hh.next)
		is_last = y == x || y->judgement != x->judgement;
	for (size_t i = 0; i < c->n_ends && is_last; i++)
		if (c->ends[i]->judgement == x->judgement)
			c->ends[i]->judgement = 0;
	x->judgement = 0;
}

bool
cs_crash_is_tied (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	if (!x->judgement || x->is_condemned)
		return false;
	for (const cs_crash_cause_t *y = c->causes; y; y = y->hh.next) {
		if (y == x || y->judgement != x->judgement || !is_subset (c, now_ms, x, y))
			continue;
		if (!is_subset (c, now_ms, y, x) ||
		    cs_crash_weigh (c, now_ms, x, false).moments < CS_CRASH_MAX_MOMENTS)
			return true;
	}
	return false;
}
