#include "cs/reader_choice.h"

enum {
	AVOID_MS = 1000,
	AVOID_LOST_MS = 6000, /* two leases: by then the store has chosen another reader */
	MAX_FAILURES = 6,     /* two for each topic that is read from a reader */
	MAX_GAP_MS = 2000,
	LEAVING_MS = 3100, /* by then members have joined twice: the new ones know it */
	LEAVING_SPREAD_MS = 900,
	LEAVING_GAP_MS = 4500
};

static cs_reader_t *
find (cs_reader_choice_t *c, uint64_t id)
{
	for (size_t i = 0; i < c->n; i++)
		if (c->readers[i].id == id)
			return &c->readers[i];
	return NULL;
}

static void
insert (cs_reader_choice_t *c, cs_reader_t r)
{
	size_t at = c->n < CS_READERS_MAX ? c->n++ : CS_READERS_MAX - 1;
	for (; at && c->readers[at - 1].preference < r.preference; at--)
		c->readers[at] = c->readers[at - 1];
	c->readers[at] = r;
}

void
cs_reader_choice_set (cs_reader_choice_t *c, const cs_reader_t *listed, size_t n)
{
	cs_reader_choice_t before = *c;
	c->n = 0;
	for (size_t i = 0; i < n; i++) {
		const cs_reader_t *known = find (&before, listed[i].id);
		if (!find (c, listed[i].id) && c->n < CS_READERS_MAX)
			insert (c, known ? *known : listed[i]);
	}
}

const cs_reader_t *
cs_reader_choice_get (const cs_reader_choice_t *c, int64_t now_ms, size_t rank)
{
	const cs_reader_t *chosen = NULL;
	for (size_t i = 0, usable = 0; i < c->n && usable <= rank; i++) {
		if (now_ms < c->readers[i].avoid_until_ms)
			continue;
		chosen = &c->readers[i];
		usable++;
	}
	return chosen;
}

bool
cs_reader_choice_failed (cs_reader_choice_t *c, uint64_t id, int64_t now_ms,
			 cs_reader_failure_t failure)
{
	cs_reader_t *r = find (c, id);
	if (!r)
		return false;
	if (now_ms - r->failed_ms > MAX_GAP_MS)
		r->failures = 0;
	r->failed_ms = now_ms;
	bool is_lost = ++r->failures >= MAX_FAILURES || failure == CS_READER_GONE;
	if (is_lost)
		r->failures = 0;
	/* One that refuses runs, and may have been chosen by the store before it knows. */
	bool is_away = is_lost && failure != CS_READER_REFUSED;
	int64_t until_ms = now_ms + (is_away ? AVOID_LOST_MS : AVOID_MS);
	if (until_ms > r->avoid_until_ms)
		r->avoid_until_ms = until_ms;
	return is_lost;
}

uint32_t
cs_reader_choice_leaving (cs_reader_choice_t *c, uint64_t id, int64_t now_ms, uint32_t spread)
{
	if (!find (c, id) || now_ms < c->leaving_from_ms)
		return 0;
	c->leaving_from_ms = now_ms + LEAVING_GAP_MS;
	return LEAVING_MS + spread % LEAVING_SPREAD_MS;
}
