#include "cs/crash_counts.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "cs/str.h"

enum {
	MAX_BREAKS = 8,     /* of one content; the limit is reached with fewer */
	MIN_LISTED_MS = 500 /* a new back end is listed here within this time */
};

typedef struct {
	char *back_end;
	uint64_t born;
	int64_t at_ms;
	bool confirmed;
} break_t;

struct cs_crash_content {
	uint64_t content;
	break_t breaks[MAX_BREAKS];
	size_t n;
	int64_t refused_until_ms; /* 0: only while enough breaks count */
	bool is_condemned;
	bool asked; /* the others know that it is suspected */
	bool told;  /* the others know that it is condemned */
	bool kept;
	bool owes_objection; /* another daemon suspects it, and this one has had an answer */
	bool has_first;      /* a verdict was read; the first one chooses who tries once more */
	bool may_try;        /* one more request of it may be sent */
	UT_hash_handle hh;
};

void
cs_crash_counts_init (cs_crash_counts_t *c, const cs_crash_evidence_ops_t *evidence, void *data)
{
	*c = (cs_crash_counts_t){.evidence = evidence, .data = data};
	c->answers = cs_alloc (CS_CRASH_ANSWERS * sizeof *c->answers);
}

static void
drop_break (cs_crash_content_t *x, size_t i)
{
	free (x->breaks[i].back_end);
	x->breaks[i] = x->breaks[--x->n];
}

static void
remove_content (cs_crash_counts_t *c, cs_crash_content_t *x)
{
	HASH_DEL (c->contents, x);
	while (x->n)
		drop_break (x, 0);
	free (x);
}

void
cs_crash_counts_finish (cs_crash_counts_t *c)
{
	cs_crash_content_t *x, *next;
	HASH_ITER (hh, c->contents, x, next) {
		remove_content (c, x);
	}
	free (c->answers);
}

static cs_crash_content_t *
find_content (const cs_crash_counts_t *c, uint64_t content)
{
	cs_crash_content_t *x;
	HASH_FIND (hh, c->contents, &content, sizeof content, x);
	return x;
}

static cs_crash_content_t *
find_or_add_content (cs_crash_counts_t *c, uint64_t content)
{
	cs_crash_content_t *x = find_content (c, content);
	if (x)
		return x;
	if (HASH_COUNT (c->contents) >= CS_CRASH_MAX_CONTENTS)
		remove_content (c, c->contents);
	x = cs_alloc (sizeof *x);
	x->content = content;
	HASH_ADD (hh, c->contents, content, sizeof x->content, x);
	return x;
}

bool
cs_crash_counts_add (cs_crash_counts_t *c, int64_t now_ms, uint64_t content, const char *back_end,
		     uint64_t born)
{
	cs_crash_content_t *x = find_or_add_content (c, content);
	for (size_t i = 0; i < x->n; i++)
		if (x->breaks[i].born == born && !strcmp (x->breaks[i].back_end, back_end))
			return false;
	if (x->n == MAX_BREAKS)
		return false;
	x->breaks[x->n++] = (break_t){cs_str_dup (cs_str (back_end)), born, now_ms, false};
	return true;
}

/* True if the back end may have ended under the content. */
static bool
counts (const cs_crash_counts_t *c, int64_t now_ms, const break_t *b)
{
	if (now_ms - b->at_ms > CS_CRASH_WINDOW_MS)
		return false;
	return b->confirmed || c->evidence->answered_ms (c->data, b->back_end) <= b->at_ms;
}

static size_t
count (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_content_t *x, bool confirmed)
{
	size_t n = 0;
	for (size_t i = 0; i < x->n; i++)
		n += counts (c, now_ms, &x->breaks[i]) && (x->breaks[i].confirmed || !confirmed);
	return n;
}

/* A break may be known before its back end is listed here. */
static bool
has_ended (const cs_crash_counts_t *c, int64_t now_ms, const break_t *b)
{
	return now_ms - b->at_ms >= MIN_LISTED_MS &&
	       !c->evidence->is_listed (c->data, b->back_end, b->born);
}

static void
condemn (cs_crash_content_t *x, int64_t now_ms)
{
	x->refused_until_ms = now_ms + CS_CRASH_REFUSED_MS;
	x->is_condemned = true;
}

static void
review_content (cs_crash_counts_t *c, int64_t now_ms, cs_crash_content_t *x)
{
	for (size_t i = x->n; i--;) {
		x->breaks[i].confirmed |= has_ended (c, now_ms, &x->breaks[i]);
		if (now_ms - x->breaks[i].at_ms > CS_CRASH_WINDOW_MS)
			drop_break (x, i);
	}
	if (!x->is_condemned && count (c, now_ms, x, true) >= CS_CRASH_LIMIT) {
		condemn (x, now_ms);
		x->told = false; /* that it was suspected is all that the store may have kept */
	}
	if (!x->n && now_ms >= x->refused_until_ms && !x->owes_objection)
		remove_content (c, x);
}

void
cs_crash_counts_review (cs_crash_counts_t *c, int64_t now_ms)
{
	cs_crash_content_t *x, *next;
	HASH_ITER (hh, c->contents, x, next) {
		review_content (c, now_ms, x);
	}
}

static cs_crash_answer_t *
answer_slot (const cs_crash_counts_t *c, uint64_t content)
{
	return &c->answers[content % CS_CRASH_ANSWERS];
}

static bool
has_answer (const cs_crash_counts_t *c, int64_t now_ms, uint64_t content)
{
	const cs_crash_answer_t *a = answer_slot (c, content);
	return a->at_ms && a->content == content && now_ms - a->at_ms < CS_CRASH_WINDOW_MS;
}

void
cs_crash_counts_answered (cs_crash_counts_t *c, int64_t now_ms, uint64_t content)
{
	cs_crash_content_t *x = find_content (c, content);
	*answer_slot (c, content) = (cs_crash_answer_t){content, now_ms};
	if (!x)
		return;
	if (!x->asked && !x->told) {
		remove_content (c, x);
		return;
	}
	while (x->n)
		drop_break (x, 0);
	x->refused_until_ms = 0;
	x->owes_objection = true;
}

/* All daemons read the verdicts in one order. */
static void
choose_trier (cs_crash_content_t *x, bool own)
{
	x->may_try |= own && !x->has_first;
	x->has_first = true;
}

void
cs_crash_counts_hear (cs_crash_counts_t *c, int64_t now_ms, uint64_t content,
		      cs_crash_verdict_t verdict, bool own)
{
	cs_crash_content_t *x = find_content (c, content);
	if (own && (!x || !x->is_condemned || !x->told))
		return; /* of an earlier process */
	if (verdict == CS_CRASH_WORKS) {
		*answer_slot (c, content) = (cs_crash_answer_t){content, now_ms};
		if (x)
			remove_content (c, x);
		return;
	}
	if (verdict != CS_CRASH_SUSPECTED && verdict != CS_CRASH_CONDEMNED)
		return;
	x = find_or_add_content (c, content);
	x->asked = true;
	if (has_answer (c, now_ms, content)) {
		x->owes_objection = true;
	} else if (verdict == CS_CRASH_CONDEMNED) {
		choose_trier (x, own);
		if (own)
			return;
		condemn (x, now_ms);
		x->told = x->kept = true; /* by the one that tells it */
	}
}

bool
cs_crash_counts_sent (cs_crash_counts_t *c, uint64_t content)
{
	cs_crash_content_t *x = find_content (c, content);
	if (!x || !x->may_try)
		return false;
	x->may_try = false;
	return true;
}

void
cs_crash_counts_refuse (cs_crash_counts_t *c, int64_t now_ms, uint64_t content, int64_t until_ms)
{
	cs_crash_content_t *x = find_or_add_content (c, content);
	if (has_answer (c, now_ms, content)) {
		x->owes_objection = true; /* a store that went back keeps it again */
		return;
	}
	if (until_ms > now_ms + CS_CRASH_REFUSED_MS)
		until_ms = now_ms + CS_CRASH_REFUSED_MS;
	if (until_ms > x->refused_until_ms)
		x->refused_until_ms = until_ms;
	x->asked = x->told = x->kept = true;
}

int64_t
cs_crash_counts_refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms, uint64_t content)
{
	enum {
		RECHECK_MS = 1000 /* by then it is known whether the back ends live */
	};
	const cs_crash_content_t *x = find_content (c, content);
	if (!x)
		return 0;
	if (x->may_try)
		return 0;
	if (now_ms < x->refused_until_ms)
		return x->refused_until_ms;
	return count (c, now_ms, x, false) >= CS_CRASH_LIMIT ? now_ms + RECHECK_MS : 0;
}

/* What is to be told of the content. */
static cs_crash_verdict_t
verdict_of (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_content_t *x)
{
	if (x->owes_objection)
		return CS_CRASH_WORKS;
	if (x->is_condemned && !x->told)
		return CS_CRASH_CONDEMNED;
	if (x->told && !x->kept && now_ms < x->refused_until_ms)
		return CS_CRASH_KEEP;
	if (x->asked || count (c, now_ms, x, false) < CS_CRASH_LIMIT)
		return CS_CRASH_NOTHING;
	return CS_CRASH_SUSPECTED;
}

bool
cs_crash_counts_has_next (const cs_crash_counts_t *c, int64_t now_ms)
{
	for (const cs_crash_content_t *x = c->contents; x; x = x->hh.next)
		if (verdict_of (c, now_ms, x) != CS_CRASH_NOTHING)
			return true;
	return false;
}

static void
mark_told (cs_crash_counts_t *c, cs_crash_content_t *x, cs_crash_verdict_t verdict)
{
	if (verdict == CS_CRASH_WORKS) {
		remove_content (c, x);
		return;
	}
	x->asked = true;
	x->told |= verdict == CS_CRASH_CONDEMNED;
	x->kept |= verdict == CS_CRASH_CONDEMNED || verdict == CS_CRASH_KEEP;
}

cs_crash_verdict_t
cs_crash_counts_next (cs_crash_counts_t *c, int64_t now_ms, uint64_t *content)
{
	cs_crash_content_t *x, *next;
	HASH_ITER (hh, c->contents, x, next) {
		cs_crash_verdict_t verdict = verdict_of (c, now_ms, x);
		if (verdict == CS_CRASH_NOTHING)
			continue;
		*content = x->content;
		mark_told (c, x, verdict);
		return verdict;
	}
	return CS_CRASH_NOTHING;
}

void
cs_crash_counts_forget_kept (cs_crash_counts_t *c)
{
	for (cs_crash_content_t *x = c->contents; x; x = x->hh.next)
		x->kept = false;
}
