#include "cs/suspects.h"

#include <stdlib.h>
#include <string.h>

#include "cs/str.h"

enum {
	MAX_DOUBLINGS = 4
};

void
cs_suspects_init (cs_suspects_t *s)
{
	s->entries = NULL;
}

static void
remove_entry (cs_suspects_t *s, cs_suspect_t *e)
{
	HASH_DEL (s->entries, e);
	free (e->id);
	free (e);
}

void
cs_suspects_finish (cs_suspects_t *s)
{
	cs_suspect_t *e, *next;
	HASH_ITER (hh, s->entries, e, next) {
		remove_entry (s, e);
	}
}

static cs_suspect_t *
find_entry (const cs_suspects_t *s, const char *id)
{
	cs_suspect_t *e;
	HASH_FIND_STR (s->entries, id, e);
	return e;
}

static cs_suspect_t *
find_or_add_entry (cs_suspects_t *s, const char *id)
{
	cs_suspect_t *e = find_entry (s, id);
	if (e)
		return e;
	e = cs_alloc (sizeof *e);
	e->id = cs_str_dup (cs_str (id));
	HASH_ADD_KEYPTR (hh, s->entries, e->id, strlen (e->id), e);
	return e;
}

/* Failures during a suspicion are not counted: concurrent attempts fail together and count once. */
bool
cs_suspects_record_failure (cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t incarnation)
{
	cs_suspect_t *e = find_or_add_entry (s, id);
	if (e->incarnation != incarnation)
		e->failures = 0;
	e->incarnation = incarnation;
	if (e->failures && now_ms < e->until_ms)
		return false;
	uint32_t doublings = e->failures < MAX_DOUBLINGS ? e->failures : MAX_DOUBLINGS;
	e->failures++;
	e->until_ms = now_ms + ((int64_t)CS_SUSPECT_BASE_MS << doublings);
	if (e->until_ms > now_ms + CS_SUSPECT_MAX_MS)
		e->until_ms = now_ms + CS_SUSPECT_MAX_MS;
	return true;
}

void
cs_suspects_record_answer (cs_suspects_t *s, int64_t now_ms, const char *id)
{
	cs_suspect_t *e = find_or_add_entry (s, id);
	e->answered_ms = now_ms;
	e->failures = 0;
	e->until_ms = 0;
}

int64_t
cs_suspects_answered_ms (const cs_suspects_t *s, const char *id)
{
	const cs_suspect_t *e = find_entry (s, id);
	return e ? e->answered_ms : 0;
}

void
cs_suspects_record_break (cs_suspects_t *s, int64_t now_ms, const char *id)
{
	find_or_add_entry (s, id)->broken_ms = now_ms;
}

int64_t
cs_suspects_broken_ms (const cs_suspects_t *s, const char *id)
{
	const cs_suspect_t *e = find_entry (s, id);
	return e ? e->broken_ms : 0;
}

void
cs_suspects_record_told (cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t incarnation)
{
	cs_suspect_t *e = find_or_add_entry (s, id);
	e->told_ms = now_ms;
	e->told_incarnation = incarnation;
}

bool
cs_suspects_is_told (const cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t incarnation)
{
	const cs_suspect_t *e = find_entry (s, id);
	return e && e->told_ms && e->told_incarnation == incarnation &&
	       now_ms - e->told_ms < CS_SUSPECT_TOLD_MS;
}

bool
cs_suspects_has (const cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t incarnation)
{
	const cs_suspect_t *e = find_entry (s, id);
	return e && e->incarnation == incarnation && now_ms < e->until_ms;
}

size_t
cs_suspects_list (const cs_suspects_t *s, int64_t now_ms, const char **out, size_t max)
{
	size_t n = 0;
	for (const cs_suspect_t *e = s->entries; e && n < max; e = e->hh.next)
		if (now_ms < e->until_ms)
			out[n++] = e->id;
	return n;
}

void
cs_suspects_remove_stale (cs_suspects_t *s, int64_t now_ms)
{
	cs_suspect_t *e, *next;
	HASH_ITER (hh, s->entries, e, next) {
		if (now_ms - e->until_ms > CS_SUSPECT_FORGET_MS &&
		    now_ms - e->answered_ms > CS_SUSPECT_FORGET_MS &&
		    now_ms - e->broken_ms > CS_SUSPECT_FORGET_MS &&
		    now_ms - e->told_ms > CS_SUSPECT_FORGET_MS)
			remove_entry (s, e);
	}
}
