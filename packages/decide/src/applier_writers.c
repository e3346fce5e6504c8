/* Highest sequence number accepted from each writer, by which duplicates are detected. */
#include <stdlib.h>

#include "log_internal.h"

enum {
	PRUNE_MIN = 64 /* the table is not pruned up to this number of writers */
};

cs_applier_writer_t *
cs_applier_find_writer (const cs_applier_t *f, uint64_t incarnation)
{
	cs_applier_writer_t *w;
	HASH_FIND (hh, f->writers, &incarnation, sizeof incarnation, w);
	return w;
}

static void
insert_writer (cs_applier_t *f, cs_applier_writer_t *w)
{
	HASH_ADD (hh, f->writers, incarnation, sizeof w->incarnation, w);
}

static cs_applier_writer_t *
add_writer (cs_applier_t *f, uint64_t incarnation)
{
	cs_applier_writer_t *w = cs_alloc (sizeof *w);
	w->incarnation = incarnation;
	insert_writer (f, w);
	return w;
}

static void
delete_writer (cs_applier_t *f, cs_applier_writer_t *w)
{
	/* A false positive: the analyzer does not follow the head of the hash table. */
	HASH_DEL (f->writers, w); // NOLINT(clang-analyzer-unix.Malloc)
	free (w);
}

void
cs_applier_set_writer (cs_applier_t *f, uint64_t incarnation, uint64_t sequence, uint64_t offset)
{
	cs_applier_writer_t *w = cs_applier_find_writer (f, incarnation);
	if (!w)
		w = add_writer (f, incarnation);
	w->sequence = sequence;
	w->offset = offset;
}

void
cs_applier_prune_writers (cs_applier_t *f)
{
	cs_applier_writer_t *next;
	for (cs_applier_writer_t *w = f->writers; w; w = next) {
		next = w->hh.next;
		if (w->offset + CS_APPLIER_WINDOW < f->next_offset)
			delete_writer (f, w);
	}
}

void
cs_applier_clear_writers (cs_applier_t *f)
{
	while (f->writers)
		delete_writer (f, f->writers);
}

bool
cs_applier_accept_sequence (cs_applier_t *f, uint64_t offset, const Cs__Record *record)
{
	if (f->options.disabled & CS_APPLIER_NO_DEDUPE)
		return true;
	if (record->seen + CS_APPLIER_WINDOW < offset) {
		f->counts.aged++;
		return false;
	}
	cs_applier_writer_t *w = cs_applier_find_writer (f, record->incarnation);
	if (w && record->sequence <= w->sequence) {
		f->counts.duplicates++;
		return false;
	}
	cs_applier_set_writer (f, record->incarnation, record->sequence, offset);
	/* Pruning visits all writers, so it runs at most once per window of records. */
	if (offset % CS_APPLIER_WINDOW == 0 && HASH_COUNT (f->writers) > PRUNE_MIN)
		cs_applier_prune_writers (f);
	return true;
}
