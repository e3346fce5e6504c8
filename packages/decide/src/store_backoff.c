#include "cs/store_backoff.h"

#include <stddef.h>

#include "cs/read_times.h"

enum {
	MIN_PAUSE_MS = 150,
	YOUNG_MS = 4000,       /* two strikes of 2 s in a row */
	YOUNG_PAUSE_MS = 600,  /* a short failure costs a configuration no more */
	MAX_PAUSE_MS = 1500,   /* the store's return is known within 2 s */
	REFUSED_MS = 200,      /* a refusal comes within this time */
	SILENT_PROBE_MS = 400, /* behind refusals silence is news: another kind asks */
	READER_PAUSE_MS = 1000,
	MAX_READER_PAUSE_MS = 6000,
	MAX_DOUBLINGS = 8,
	MAX_REPEATS = 2,      /* unanswered: not a connection but the store is silent */
	PROBING_FAILURES = 2, /* a single one says little of other kinds */
	SPREAD_STEPS = 256,
	SPREAD_DIVISOR = 16 /* pauses are shorter by up to this part */
};

static int64_t
smaller (int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
larger (int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Doubles with each call in vain. */
static int64_t
pause_of (uint32_t n_calls, int64_t first_ms, int64_t most_ms, uint32_t spread)
{
	int64_t ms = smaller (first_ms << smaller (n_calls - 1, MAX_DOUBLINGS), most_ms);
	return ms - ms * (spread % SPREAD_STEPS) / SPREAD_STEPS / SPREAD_DIVISOR;
}

/* A change may wait for it. */
static bool
is_followed (cs_store_kind_t kind)
{
	return kind != CS_STORE_OTHER && kind < CS_STORE_JOIN;
}

static int64_t
next_probe_ms (const cs_store_failures_t *f, cs_store_kind_t kind, uint32_t spread)
{
	bool is_young = is_followed (kind) && f->began_ms - f->since_ms < YOUNG_MS;
	int64_t most_ms = is_young ? YOUNG_PAUSE_MS : MAX_PAUSE_MS;
	return f->began_ms + pause_of (f->made, MIN_PAUSE_MS, most_ms, spread);
}

static int64_t
next_ms (const cs_store_failures_t *f, cs_store_kind_t kind, bool has_reader, uint32_t spread)
{
	if (has_reader)
		return larger (f->began_ms, f->ended_ms) +
		       pause_of (f->made, READER_PAUSE_MS, MAX_READER_PAUSE_MS, spread);
	/* A call that was waited for in vain has been a pause itself. */
	return larger (next_probe_ms (f, kind, spread),
		       f->ended_ms + pause_of (1, MIN_PAUSE_MS, MIN_PAUSE_MS, spread));
}

/* Kinds that have failed since the last answer. */
static int
n_failing (const cs_store_backoff_t *b)
{
	int n = 0;
	for (size_t i = 0; b->all.failures && i < CS_STORE_KINDS; i++)
		n += b->kinds[i].failures && b->kinds[i].ended_ms >= b->all.ended_ms;
	return n;
}

bool
cs_store_backoff_is_probing (const cs_store_backoff_t *b)
{
	return b->all.failures >= PROBING_FAILURES || n_failing (b) >= PROBING_FAILURES;
}

bool
cs_store_backoff_may_repeat (const cs_store_backoff_t *b, cs_store_kind_t kind, int n_calls,
			     int64_t now_ms)
{
	if (!cs_store_backoff_is_probing (b) && !b->kinds[kind].failures)
		return (kind == CS_STORE_CONFIG && b->repeats < MAX_REPEATS + 1) ||
		       (n_calls < 2 && b->repeats < MAX_REPEATS) ||
		       now_ms >= b->all.began_ms + YOUNG_PAUSE_MS;
	return is_followed (kind) && now_ms >= next_probe_ms (&b->all, kind, b->spread);
}

/* True if a call is under way that lasts longer than the refusals before it, at the long pauses. */
static bool
is_news (const cs_store_failures_t *f)
{
	return f->failures && f->took_ms < REFUSED_MS && f->began_ms > f->ended_ms &&
	       f->began_ms - f->since_ms >= YOUNG_MS;
}

static void
count_call (cs_store_failures_t *f, int64_t now_ms)
{
	f->began_ms = now_ms;
	f->made += f->failures > 0;
}

void
cs_store_backoff_repeated (cs_store_backoff_t *b, int64_t now_ms)
{
	b->repeats++;
	count_call (&b->all, now_ms);
}

uint32_t
cs_store_backoff_wait (const cs_store_backoff_t *b, cs_store_kind_t kind, int64_t now_ms,
		       bool has_reader)
{
	int64_t at = now_ms;
	if (kind == CS_STORE_OTHER)
		return 0;
	if (b->kinds[kind].failures)
		at = larger (at, next_ms (&b->kinds[kind], kind, has_reader, b->spread));
	if (cs_store_backoff_is_probing (b)) {
		int64_t next = next_ms (&b->all, kind, has_reader, b->spread);
		if (is_news (&b->all) && is_followed (kind))
			next = smaller (next, b->all.began_ms + SILENT_PROBE_MS);
		at = larger (at, next);
	}
	return (uint32_t)(at - now_ms);
}

void
cs_store_backoff_began (cs_store_backoff_t *b, cs_store_kind_t kind, int64_t now_ms)
{
	if (kind == CS_STORE_OTHER)
		return;
	count_call (&b->kinds[kind], now_ms);
	count_call (&b->all, now_ms);
}

static void
count_failure (cs_store_failures_t *f, int64_t began_ms, int64_t now_ms)
{
	if (f->failures && began_ms < f->ended_ms)
		return; /* was under way at the last failure */
	if (!f->failures++) {
		f->since_ms = began_ms;
		f->made++;
	}
	f->ended_ms = now_ms;
	f->took_ms = now_ms - began_ms;
}

void
cs_store_backoff_failed (cs_store_backoff_t *b, cs_store_kind_t kind, int64_t began_ms,
			 int64_t now_ms)
{
	if (kind == CS_STORE_OTHER)
		return;
	count_failure (&b->kinds[kind], began_ms, now_ms);
	if (!b->all.failures)
		b->all.made = b->repeats; /* pauses themselves */
	count_failure (&b->all, began_ms, now_ms);
}

void
cs_store_backoff_answered (cs_store_backoff_t *b, cs_store_kind_t kind, int64_t now_ms)
{
	bool is_back = b->kinds[kind].failures && cs_store_backoff_is_probing (b);
	b->kinds[kind] = (cs_store_failures_t){0};
	b->all = (cs_store_failures_t){0};
	b->repeats = 0;
	for (size_t i = 0; is_back && i < CS_STORE_KINDS; i++)
		if (b->kinds[i].failures)
			b->kinds[i] = (cs_store_failures_t){1, 1, now_ms, now_ms, now_ms, 0};
}
