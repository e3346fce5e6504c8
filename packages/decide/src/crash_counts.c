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
	bool published;
	UT_hash_handle hh;
};

void
cs_crash_counts_init (cs_crash_counts_t *c, const cs_crash_evidence_ops_t *evidence, void *data)
{
	*c = (cs_crash_counts_t){.evidence = evidence, .data = data};
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
review_content (cs_crash_counts_t *c, int64_t now_ms, cs_crash_content_t *x)
{
	for (size_t i = x->n; i--;) {
		x->breaks[i].confirmed |= has_ended (c, now_ms, &x->breaks[i]);
		if (now_ms - x->breaks[i].at_ms > CS_CRASH_WINDOW_MS)
			drop_break (x, i);
	}
	if (!x->refused_until_ms && count (c, now_ms, x, true) >= CS_CRASH_LIMIT)
		x->refused_until_ms = now_ms + CS_CRASH_REFUSED_MS;
	if (!x->n && now_ms >= x->refused_until_ms)
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

bool
cs_crash_counts_answered (cs_crash_counts_t *c, uint64_t content)
{
	cs_crash_content_t *x = find_content (c, content);
	if (!x)
		return false;
	bool was_close = x->n + 1 >= CS_CRASH_LIMIT || x->refused_until_ms;
	remove_content (c, x);
	return was_close;
}

void
cs_crash_counts_refuse (cs_crash_counts_t *c, int64_t now_ms, uint64_t content, int64_t until_ms)
{
	cs_crash_content_t *x = find_or_add_content (c, content);
	if (until_ms > now_ms + CS_CRASH_REFUSED_MS)
		until_ms = now_ms + CS_CRASH_REFUSED_MS;
	if (until_ms > x->refused_until_ms)
		x->refused_until_ms = until_ms;
	x->published = true;
}

int64_t
cs_crash_counts_refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms, uint64_t content)
{
	enum {
		RECHECK_MS = 1000 /* by then other requests have shown whether the back ends live */
	};
	const cs_crash_content_t *x = find_content (c, content);
	if (!x)
		return 0;
	if (now_ms < x->refused_until_ms)
		return x->refused_until_ms;
	return count (c, now_ms, x, false) >= CS_CRASH_LIMIT ? now_ms + RECHECK_MS : 0;
}

bool
cs_crash_counts_next_unpublished (cs_crash_counts_t *c, int64_t now_ms, uint64_t *content)
{
	for (cs_crash_content_t *x = c->contents; x; x = x->hh.next) {
		if (x->published || now_ms >= x->refused_until_ms)
			continue;
		x->published = true;
		*content = x->content;
		return true;
	}
	return false;
}

void
cs_crash_counts_unpublish (cs_crash_counts_t *c)
{
	for (cs_crash_content_t *x = c->contents; x; x = x->hh.next)
		x->published = false;
}
