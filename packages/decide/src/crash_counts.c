#include "cs/crash_counts.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "crash_impl.h"

enum {
	MIN_LISTED_MS = 500,    /* a new back end is listed here within this time */
	ANSWER_GUARD_MS = 2000, /* what was answered so recently is not blamed for a break */
	JUDGE_MS = 20,          /* between two judgements, while breaks come in quick succession */
	CONDEMN_MS = 3000,      /* behind the suspicion: sound parts are answered meanwhile */
	TRY_MS = 2000,          /* from the claim; the request that tries is sent within it */
	TRY_AGAIN_MS = 15000,
	OVERDUE_MS = 5000,   /* of a try: then a request that tells less is taken */
	RECHECK_MS = 1000,   /* by then it is known whether back ends live */
	TAKEN_OVER_MS = 3000 /* until what was read as suspected is tried */
};

static void
drop_end (cs_ref_t *ref)
{
	cs_crash_end_t *end = (cs_crash_end_t *)ref;
	free (end->back_end);
	free (end);
}

void
cs_crash_counts_init (cs_crash_counts_t *c, const cs_crash_evidence_ops_t *evidence, void *data)
{
	*c = (cs_crash_counts_t){.evidence = evidence, .data = data};
	c->answers = cs_alloc (CS_CRASH_ANSWERS * sizeof *c->answers);
	c->ends = cs_alloc (CS_CRASH_MAX_ENDS * sizeof (cs_crash_end_t *));
}

static void
drop_break (cs_crash_cause_t *x, size_t i)
{
	cs_ref_put (&x->breaks[i].end->ref);
	x->n--;
	memmove (x->breaks + i, x->breaks + i + 1, (x->n - i) * sizeof *x->breaks);
}

static void
remove_cause (cs_crash_counts_t *c, cs_crash_cause_t *x)
{
	HASH_DEL (c->causes, x);
	while (x->n)
		drop_break (x, x->n - 1);
	free (x);
}

static void
remove_oldest_end (cs_crash_counts_t *c)
{
	cs_ref_put (&c->ends[0]->ref);
	memmove (c->ends, c->ends + 1, --c->n_ends * sizeof (cs_crash_end_t *));
}

void
cs_crash_counts_finish (cs_crash_counts_t *c)
{
	cs_crash_cause_t *x, *next;
	HASH_ITER (hh, c->causes, x, next) {
		remove_cause (c, x);
	}
	while (c->n_ends)
		remove_oldest_end (c);
	free (c->ends);
	free (c->answers);
}

static cs_crash_cause_t *
find_cause (const cs_crash_counts_t *c, cs_crash_key_t key)
{
	cs_crash_cause_t *x;
	HASH_FIND (hh, c->causes, &key, sizeof key, x);
	return x;
}

static bool
has_verdict (const cs_crash_cause_t *x, int64_t now_ms)
{
	return x->judgement || x->asked || x->told || x->owes_objection ||
	       now_ms < x->refused_until_ms;
}

/* Forgets the oldest cause without a verdict; a new verdict may displace an old one, a break may
 * not. False if there is nothing to forget. */
static bool
make_room (cs_crash_counts_t *c, int64_t now_ms, bool is_verdict)
{
	cs_crash_cause_t *x = c->causes;
	if (HASH_COUNT (c->causes) < CS_CRASH_MAX_CAUSES)
		return true;
	while (x && has_verdict (x, now_ms))
		x = x->hh.next;
	if (!x && !is_verdict)
		return false;
	remove_cause (c, x ? x : c->causes);
	return true;
}

/* NULL if there is no room. */
static cs_crash_cause_t *
find_or_add_cause (cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key, bool is_verdict)
{
	cs_crash_cause_t *x = find_cause (c, key);
	if (x || !make_room (c, now_ms, is_verdict))
		return x;
	x = cs_alloc (sizeof *x);
	x->key = key;
	HASH_ADD (hh, c->causes, key, sizeof x->key, x);
	return x;
}

static cs_crash_answer_t *
answer_slot (const cs_crash_counts_t *c, cs_crash_key_t key)
{
	return &c->answers[(key.id ^ key.is_part) % CS_CRASH_ANSWERS];
}

static bool
is_key (const cs_crash_answer_t *a, cs_crash_key_t key)
{
	return a->key.id == key.id && a->key.is_part == key.is_part;
}

bool
cs_crash_has_answer (const cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
		     int64_t since_ms)
{
	const cs_crash_answer_t *a = answer_slot (c, key);
	return a->answered_ms && is_key (a, key) && now_ms - a->answered_ms < CS_CRASH_WINDOW_MS &&
	       a->answered_ms >= since_ms;
}

bool
cs_crash_counts_blame (const cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
		       bool is_strong, cs_crash_blame_t *out)
{
	const cs_crash_answer_t *a = answer_slot (c, key);
	*out = (cs_crash_blame_t){key, is_strong || !key.is_part};
	if (key.is_part && c->disabled & CS_CRASH_NO_PARTS)
		return false;
	if (!is_key (a, key) || c->disabled & CS_CRASH_NO_ANSWERS)
		return true;
	int64_t began_ms = a->answered_ms > a->written_ms ? a->answered_ms : a->written_ms;
	if (key.is_part)
		out->is_strong &= !cs_crash_has_answer (c, now_ms, key, 0);
	return !began_ms || now_ms - began_ms >= ANSWER_GUARD_MS;
}

static cs_crash_end_t *
find_end (const cs_crash_counts_t *c, const char *back_end, uint64_t born)
{
	for (size_t i = c->n_ends; i--;)
		if (c->ends[i]->born == born && !strcmp (c->ends[i]->back_end, back_end))
			return c->ends[i];
	return NULL;
}

int64_t
cs_crash_counts_end_ms (const cs_crash_counts_t *c, const char *back_end, uint64_t born)
{
	const cs_crash_end_t *end = find_end (c, back_end, born);
	return end ? end->at_ms : 0;
}

static cs_crash_end_t *
find_or_add_end (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_break_t *b, bool *is_new)
{
	cs_crash_end_t *end = find_end (c, b->back_end, b->born);
	*is_new = !end;
	if (end) {
		end->at_ms = b->at_ms < end->at_ms ? b->at_ms : end->at_ms;
		end->is_past &= b->is_past;
		return end;
	}
	if (c->n_ends == CS_CRASH_MAX_ENDS)
		remove_oldest_end (c);
	end = cs_alloc (sizeof *end);
	cs_ref_init (&end->ref, drop_end);
	end->back_end = cs_str_dup (cs_str (b->back_end));
	end->born = b->born;
	end->at_ms = b->at_ms;
	end->seen_ms = now_ms;
	end->is_past = b->is_past;
	c->ends[c->n_ends++] = end;
	return end;
}

/* False if the break was known. */
static bool
add_break (cs_crash_cause_t *x, cs_crash_end_t *end, uint64_t content, bool is_strong)
{
	for (size_t i = 0; i < x->n; i++)
		if (x->breaks[i].end == end) {
			x->breaks[i].is_strong |= is_strong;
			return false;
		}
	if (x->n == CS_CRASH_MAX_BREAKS)
		drop_break (x, 0);
	x->breaks[x->n++] = (cs_crash_break_record_t){end, content, is_strong};
	cs_ref_get (&end->ref);
	return true;
}

bool
cs_crash_counts_add (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_break_t *b,
		     const cs_crash_blame_t *blamed, size_t n)
{
	bool is_new;
	cs_crash_end_t *end = find_or_add_end (c, now_ms, b, &is_new);
	for (size_t i = 0; i < n; i++) {
		cs_crash_cause_t *x = find_or_add_cause (c, now_ms, blamed[i].key, false);
		if (!x)
			continue;
		/* The order of causes is that of their last break. */
		HASH_DEL (c->causes, x);
		HASH_ADD (hh, c->causes, key, sizeof x->key, x);
		is_new |= add_break (x, end, b->content, blamed[i].is_strong);
		x->is_witnessed |= b->is_own;
	}
	c->is_judged &= !is_new;
	if (!c->is_judged && now_ms - c->judged_ms >= JUDGE_MS)
		cs_crash_judge (c, now_ms);
	return is_new;
}

/* A break may be known before its back end is listed here. */
static bool
has_ended (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_end_t *end)
{
	return now_ms - end->seen_ms >= MIN_LISTED_MS &&
	       !c->evidence->is_listed (c->data, end->back_end, end->born);
}

bool
cs_crash_end_counts (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_end_t *end)
{
	if (now_ms - end->seen_ms > CS_CRASH_WINDOW_MS)
		return false;
	if (end->confirmed || has_ended (c, now_ms, end))
		return true;
	return !end->is_past && c->evidence->answered_ms (c->data, end->back_end) <= end->seen_ms;
}

/* Breaks that a part explains are no fault of a content beside it. */
size_t
cs_crash_count (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
		bool confirmed)
{
	size_t n = 0;
	for (size_t i = 0; i < x->n; i++) {
		const cs_crash_end_t *end = x->breaks[i].end;
		n += !end->judgement && cs_crash_end_counts (c, now_ms, end) &&
		     (end->confirmed || !confirmed);
	}
	return n;
}

static void
condemn (cs_crash_cause_t *x, int64_t now_ms)
{
	x->refused_until_ms = now_ms + CS_CRASH_REFUSED_MS;
	x->is_condemned = true;
}

static bool
is_guilty (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	if (!x->key.is_part)
		return cs_crash_count (c, now_ms, x, true) >= CS_CRASH_LIMIT;
	return x->judgement && now_ms - x->suspected_ms >= CONDEMN_MS &&
	       cs_crash_weigh (c, now_ms, x, true).moments >= CS_CRASH_LIMIT &&
	       !cs_crash_is_tied (c, now_ms, x);
}

static void
review_cause (cs_crash_counts_t *c, int64_t now_ms, cs_crash_cause_t *x)
{
	for (size_t i = x->n; i--;)
		if (now_ms - x->breaks[i].end->seen_ms > CS_CRASH_WINDOW_MS)
			drop_break (x, i);
	if (!x->is_condemned && is_guilty (c, now_ms, x)) {
		condemn (x, now_ms);
		x->told = false; /* that it was suspected is all that the store may have kept */
	}
	bool is_claimed = x->key.is_part || x->try_until_ms;
	if (is_claimed && now_ms >= x->try_until_ms)
		x->may_try = false;
	if (x->keep_from_ms && now_ms >= x->keep_from_ms) {
		x->kept = false;
		x->keep_from_ms = 0;
	}
	if (!x->n && now_ms >= x->refused_until_ms && now_ms >= x->try_from_ms &&
	    !x->owes_objection)
		remove_cause (c, x);
}

void
cs_crash_counts_review (cs_crash_counts_t *c, int64_t now_ms)
{
	cs_crash_cause_t *x, *next;
	for (size_t i = 0; i < c->n_ends; i++)
		c->ends[i]->confirmed |= has_ended (c, now_ms, c->ends[i]);
	cs_crash_judge (c, now_ms);
	HASH_ITER (hh, c->causes, x, next) {
		review_cause (c, now_ms, x);
	}
	while (c->n_ends && now_ms - c->ends[0]->seen_ms > CS_CRASH_WINDOW_MS)
		remove_oldest_end (c);
}

/* Drops the breaks that an answer refutes. True if no verdict is left, or there was none. */
static bool
refute (cs_crash_counts_t *c, cs_crash_cause_t *x, int64_t began_ms)
{
	for (size_t i = x->n; i--;)
		if (x->breaks[i].end->at_ms <= began_ms)
			drop_break (x, i);
	if (x->n >= CS_CRASH_LIMIT || began_ms < x->since_ms)
		return false;
	x->judgement = 0;
	x->suspected_ms = 0;
	c->is_judged = false;
	x->refused_until_ms = x->since_ms = x->keep_from_ms = 0;
	x->is_condemned = x->wants_try = x->may_try = x->is_tried = false;
	x->tries = 0;
	return true;
}

static void
record_answer (cs_crash_counts_t *c, cs_crash_key_t key, int64_t began_ms)
{
	cs_crash_answer_t *a = answer_slot (c, key);
	if (!is_key (a, key))
		*a = (cs_crash_answer_t){.key = key};
	if (began_ms > a->answered_ms)
		a->answered_ms = began_ms;
}

void
cs_crash_counts_written (cs_crash_counts_t *c, cs_crash_key_t key, int64_t began_ms)
{
	cs_crash_answer_t *a = answer_slot (c, key);
	if (!is_key (a, key))
		*a = (cs_crash_answer_t){.key = key};
	if (began_ms > a->written_ms)
		a->written_ms = began_ms;
}

bool
cs_crash_counts_answered (cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
			  int64_t began_ms)
{
	cs_crash_cause_t *x = find_cause (c, key);
	record_answer (c, key, began_ms);
	if (!x || c->disabled & CS_CRASH_NO_ANSWERS)
		return false;
	bool had_verdict = x->judgement || now_ms < x->refused_until_ms;
	if (!refute (c, x, began_ms))
		return false;
	x->owes_objection = x->asked || x->told;
	if (!x->owes_objection && !x->n)
		remove_cause (c, x);
	return had_verdict;
}

/* All daemons read the verdicts in one order: that of the first one may try the content. */
static void
choose_trier (cs_crash_cause_t *x, int64_t now_ms, bool own)
{
	if (x->has_first)
		return;
	x->has_first = true;
	if (x->key.is_part)
		return;
	x->may_try |= own;
	x->tries++;
	x->try_from_ms = now_ms + TRY_AGAIN_MS;
}

static void
hear_works (cs_crash_counts_t *c, cs_crash_cause_t *x, const cs_crash_news_t *news)
{
	record_answer (c, news->key, news->since_ms);
	if (!x || !refute (c, x, news->since_ms))
		return;
	x->asked = x->told = x->kept = x->owes_objection = x->has_first = false;
	if (!x->n)
		remove_cause (c, x);
}

static void
hear_claim (cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key, bool own)
{
	cs_crash_cause_t *x = find_or_add_cause (c, now_ms, key, true);
	x->wants_try = false;
	if (now_ms < x->try_until_ms)
		return; /* another daemon's was read first */
	x->tries++;
	x->may_try = own;
	x->try_until_ms = now_ms + TRY_MS;
	x->try_from_ms = now_ms + TRY_AGAIN_MS;
}

static void
hear_verdict (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_news_t *news, bool own)
{
	cs_crash_cause_t *x = find_or_add_cause (c, now_ms, news->key, true);
	x->asked = true;
	if (cs_crash_has_answer (c, now_ms, news->key, news->since_ms)) {
		x->owes_objection = true;
		return;
	}
	if (news->verdict != CS_CRASH_CONDEMNED)
		return;
	choose_trier (x, now_ms, own);
	if (own)
		return;
	if (!x->since_ms)
		x->since_ms = news->since_ms;
	condemn (x, now_ms);
	x->told = x->kept = true; /* by the one that tells it */
}

void
cs_crash_counts_hear (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_news_t *news, bool own)
{
	cs_crash_cause_t *x = find_cause (c, news->key);
	if (news->verdict == CS_CRASH_CLAIM) {
		hear_claim (c, now_ms, news->key, own);
		return;
	}
	if (own && (!x || !x->is_condemned || !x->told))
		return; /* of an earlier process */
	if (news->verdict == CS_CRASH_WORKS)
		hear_works (c, x, news);
	else if (news->verdict == CS_CRASH_SUSPECTED || news->verdict == CS_CRASH_CONDEMNED)
		hear_verdict (c, now_ms, news, own);
}

bool
cs_crash_counts_sent (cs_crash_counts_t *c, const cs_crash_key_t *keys, size_t n)
{
	bool tries = false;
	for (size_t i = 0; i < n; i++) {
		cs_crash_cause_t *x = find_cause (c, keys[i]);
		if (!x || !x->may_try)
			continue;
		x->may_try = false;
		x->is_tried = true;
		tries = true;
	}
	return tries;
}

void
cs_crash_counts_not_run (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_key_t *keys, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		cs_crash_cause_t *x = find_cause (c, keys[i]);
		if (!x || !x->is_tried)
			continue;
		x->is_tried = false;
		x->may_try = !x->key.is_part || now_ms < x->try_until_ms;
	}
}

/* Begin of the evidence of a kept cause. If it is not stated: its end, at which the cause was
 * suspected or condemned. */
static int64_t
kept_since_ms (int64_t now_ms, int64_t until_ms, int64_t stated_ms)
{
	int64_t end_ms =
		until_ms - (until_ms > now_ms + CS_CRASH_SUSPECTED_MS ? CS_CRASH_REFUSED_MS
								      : CS_CRASH_SUSPECTED_MS);
	bool is_within = stated_ms > end_ms - CS_CRASH_WINDOW_MS && stated_ms < end_ms;
	return is_within && stated_ms ? stated_ms : end_ms;
}

/* Those who suspected it may all have been restarted, and their evidence lost: a suspicion is kept
 * on for as long as a verdict, and one try is left. Returns until when the part is refused. */
static int64_t
take_over_part (int64_t now_ms, cs_crash_cause_t *x, int64_t until_ms)
{
	x->tries = CS_CRASH_MAX_TRIES; /* it may have been tried */
	if (until_ms > now_ms + CS_CRASH_SUSPECTED_MS)
		return until_ms;
	x->tries = CS_CRASH_MAX_TRIES - 1;
	x->try_from_ms = now_ms + TAKEN_OVER_MS;
	x->keep_from_ms = until_ms;
	return now_ms + CS_CRASH_REFUSED_MS;
}

void
cs_crash_counts_refuse (cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key, int64_t until_ms,
			int64_t since_ms)
{
	cs_crash_cause_t *x = find_or_add_cause (c, now_ms, key, true);
	bool is_suspicion = until_ms <= now_ms + CS_CRASH_SUSPECTED_MS;
	if (until_ms > now_ms + CS_CRASH_REFUSED_MS)
		until_ms = now_ms + CS_CRASH_REFUSED_MS;
	since_ms = kept_since_ms (now_ms, until_ms, since_ms);
	if (cs_crash_has_answer (c, now_ms, key, since_ms)) {
		/* The judging daemon had not read of the answer, or the store went back. */
		x->owes_objection = true;
		return;
	}
	if (!x->since_ms)
		x->since_ms = since_ms;
	if (key.is_part && !x->judgement && now_ms >= x->refused_until_ms)
		until_ms = take_over_part (now_ms, x, until_ms);
	if (until_ms > x->refused_until_ms)
		x->refused_until_ms = until_ms;
	x->asked = true;
	if (x->is_condemned && !x->told && is_suspicion)
		return; /* its own verdict is still to be told */
	x->told = x->kept = true;
}

/* Until when the cause by itself is refused; 0: it is not. */
static int64_t
refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	if (now_ms < x->refused_until_ms)
		return x->refused_until_ms;
	bool is_suspected = x->key.is_part ? x->judgement != 0
					   : cs_crash_count (c, now_ms, x, false) >= CS_CRASH_LIMIT;
	return is_suspected ? now_ms + RECHECK_MS : 0;
}

int64_t
cs_crash_counts_refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms,
				  const cs_crash_key_t *keys, size_t n, bool has_claimed,
				  cs_crash_key_t *refused)
{
	const cs_crash_cause_t *only = NULL;
	int64_t latest_ms = 0;
	size_t n_refused = 0;
	for (size_t i = 0; i < n; i++) {
		const cs_crash_cause_t *x = find_cause (c, keys[i]);
		bool may_try = x && x->may_try && (has_claimed || !x->key.is_part);
		int64_t until_ms = x && !may_try ? refused_until_ms (c, now_ms, x) : 0;
		n_refused += until_ms > 0;
		if (until_ms <= latest_ms)
			continue;
		latest_ms = until_ms;
		only = x;
	}
	if (only && refused)
		*refused = only->key;
	if (n_refused == 1 && cs_crash_is_tied (c, now_ms, only))
		return 0;
	return latest_ms;
}

/* Requests with the part that have reached back ends for long after it was to be refused. */
static size_t
count_late_ends (const cs_crash_cause_t *x)
{
	enum {
		MAX_ENDS = 5,
		LATE_MS = 3000 /* behind the last of them */
	};
	size_t n = 0;
	if (x->n < MAX_ENDS)
		return 0;
	for (size_t i = MAX_ENDS; i < x->n; i++)
		n += x->breaks[i].end->at_ms > x->breaks[MAX_ENDS - 1].end->at_ms + LATE_MS;
	return n;
}

/* On strong evidence a part is tried once, and late. A content of which no verdict was heard may
 * have been tried already. */
static bool
may_be_tried (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	if (x->wants_try || now_ms < x->try_from_ms ||
	    x->tries + count_late_ends (x) >= CS_CRASH_MAX_TRIES)
		return false;
	if (!x->key.is_part)
		return x->has_first;
	if (cs_crash_weigh (c, now_ms, x, false).moments < CS_CRASH_MAX_MOMENTS)
		return true;
	return !x->tries && now_ms >= x->suspected_ms + TRY_AGAIN_MS;
}

/* True if another part of the request may be to blame for what the refused ones are. */
static bool
has_rival (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_key_t *keys, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const cs_crash_cause_t *y = find_cause (c, keys[i]);
		if (y && y->key.is_part && !refused_until_ms (c, now_ms, y) &&
		    cs_crash_is_rival (c, now_ms, y))
			return true;
	}
	return false;
}

bool
cs_crash_counts_claim (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_key_t *keys, size_t n)
{
	cs_crash_cause_t *refused[CS_CRASH_MAX_BREAKS];
	size_t n_refused = 0;
	bool is_overdue = true; /* no request that tells more has come for long */
	for (size_t i = 0; i < n; i++) {
		cs_crash_cause_t *x = find_cause (c, keys[i]);
		if (!x || !refused_until_ms (c, now_ms, x))
			continue;
		if (n_refused == CS_CRASH_MAX_BREAKS || !may_be_tried (c, now_ms, x))
			return false;
		refused[n_refused++] = x;
		is_overdue &= now_ms >= x->try_from_ms + OVERDUE_MS;
	}
	/* A try with several parts tells less: each keeps one for itself. */
	for (size_t i = 0; i < n_refused; i++)
		if (n_refused > 1 && refused[i]->tries && !is_overdue)
			return false;
	if (!n_refused || (!is_overdue && has_rival (c, now_ms, keys, n)))
		return false;
	for (size_t i = 0; i < n_refused; i++)
		refused[i]->wants_try = true;
	return true;
}

bool
cs_crash_counts_is_doubtful (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_key_t *keys,
			     size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const cs_crash_cause_t *x = find_cause (c, keys[i]);
		if (x && cs_crash_weigh (c, now_ms, x, false).strong > 1)
			return true;
	}
	return false;
}

int64_t
cs_crash_repeat_delay_ms (uint32_t n_broken, int64_t left_ms)
{
	enum {
		NOTES_MS = 400 /* most notes of other daemons are read within this time */
	};
	return n_broken > 1 && left_ms > INT64_C (2) * NOTES_MS ? NOTES_MS : 0;
}

bool
cs_crash_counts_has_refused (const cs_crash_counts_t *c, int64_t now_ms)
{
	for (const cs_crash_cause_t *x = c->causes; x; x = x->hh.next)
		if (refused_until_ms (c, now_ms, x))
			return true;
	return false;
}

/* What is to be told of the cause. */
static cs_crash_verdict_t
verdict_of (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x)
{
	if (x->owes_objection)
		return CS_CRASH_WORKS;
	if (x->is_condemned && !x->told)
		return CS_CRASH_CONDEMNED;
	if (x->told && !x->kept && now_ms < x->refused_until_ms)
		return CS_CRASH_KEEP;
	if (x->asked)
		return CS_CRASH_NOTHING;
	bool is_suspected = x->key.is_part ? x->judgement && !cs_crash_is_tied (c, now_ms, x)
					   : cs_crash_count (c, now_ms, x, false) >= CS_CRASH_LIMIT;
	return is_suspected ? CS_CRASH_SUSPECTED : CS_CRASH_NOTHING;
}

static bool
is_urgent (const cs_crash_cause_t *x, cs_crash_verdict_t verdict)
{
	return verdict == CS_CRASH_SUSPECTED && x->key.is_part && x->is_witnessed;
}

uint32_t
cs_crash_counts_next_within_ms (const cs_crash_counts_t *c, int64_t now_ms)
{
	enum {
		URGENT_MS = 300,
		USUAL_MS = 1500 /* several times what a note takes to all daemons */
	};
	uint32_t within_ms = 0;
	for (const cs_crash_cause_t *x = c->causes; x; x = x->hh.next) {
		cs_crash_verdict_t verdict = verdict_of (c, now_ms, x);
		if (is_urgent (x, verdict))
			return URGENT_MS;
		if (verdict != CS_CRASH_NOTHING)
			within_ms = USUAL_MS;
	}
	return within_ms;
}

static void
mark_told (cs_crash_counts_t *c, cs_crash_cause_t *x, cs_crash_verdict_t verdict)
{
	if (verdict == CS_CRASH_WORKS) {
		x->asked = x->told = x->kept = x->owes_objection = x->has_first = false;
		if (!x->n && !x->refused_until_ms)
			remove_cause (c, x);
		return;
	}
	x->asked = true;
	x->told |= verdict == CS_CRASH_CONDEMNED;
	x->kept |= verdict == CS_CRASH_CONDEMNED || verdict == CS_CRASH_KEEP;
}

/* Begin of the evidence, or of the run that refutes it. */
static int64_t
since_ms (const cs_crash_counts_t *c, const cs_crash_cause_t *x, cs_crash_verdict_t verdict)
{
	if (verdict == CS_CRASH_WORKS)
		return answer_slot (c, x->key)->answered_ms;
	if (x->since_ms || x->n < CS_CRASH_LIMIT)
		return x->since_ms;
	return x->breaks[x->n - CS_CRASH_LIMIT].end->at_ms;
}

cs_crash_news_t
cs_crash_counts_next (cs_crash_counts_t *c, int64_t now_ms)
{
	cs_crash_cause_t *first = NULL;
	for (cs_crash_cause_t *x = c->causes; x; x = x->hh.next) {
		cs_crash_verdict_t verdict = verdict_of (c, now_ms, x);
		if (is_urgent (x, verdict)) {
			first = x;
			break;
		}
		if (!first && verdict != CS_CRASH_NOTHING)
			first = x;
	}
	cs_crash_news_t news = {.verdict = CS_CRASH_NOTHING};
	if (!first)
		return news;
	news.key = first->key;
	news.verdict = verdict_of (c, now_ms, first);
	news.since_ms = since_ms (c, first, news.verdict);
	mark_told (c, first, news.verdict);
	return news;
}

cs_crash_news_t
cs_crash_counts_next_claim (cs_crash_counts_t *c, int64_t now_ms)
{
	cs_crash_cause_t *x = c->causes;
	while (x && !x->wants_try)
		x = x->hh.next;
	if (!x)
		return (cs_crash_news_t){.verdict = CS_CRASH_NOTHING};
	x->wants_try = false;
	x->try_from_ms = now_ms + TRY_MS;
	return (cs_crash_news_t){.key = x->key, .verdict = CS_CRASH_CLAIM};
}

void
cs_crash_counts_describe (const cs_crash_counts_t *c, cs_crash_key_t key, cs_buf_t *out)
{
	const cs_crash_cause_t *x = find_cause (c, key);
	for (size_t i = 0; x && i < x->n; i++)
		cs_buf_printf (out, "%s%s/%" PRIu64, i ? "," : "", x->breaks[i].end->back_end,
			       x->breaks[i].end->born);
}

void
cs_crash_counts_forget_kept (cs_crash_counts_t *c)
{
	for (cs_crash_cause_t *x = c->causes; x; x = x->hh.next)
		x->kept = false;
}
