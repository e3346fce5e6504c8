/* Highest sequence number accepted from each writer, by which duplicates are detected. */
#include <stdlib.h>

#include "log_internal.h"

enum {
	PRUNE_MIN_WRITERS = 64 /* a table of at most this number of writers is not pruned */
};

cs_applier_writer_t *
cs_applier_find_writer (const cs_applier_t *f, uint64_t incarnation)
{
	cs_applier_writer_t *writer;
	HASH_FIND (hh, f->writers, &incarnation, sizeof incarnation, writer);
	return writer;
}

static void
insert_writer (cs_applier_t *f, cs_applier_writer_t *writer)
{
	HASH_ADD (hh, f->writers, incarnation, sizeof writer->incarnation, writer);
}

static cs_applier_writer_t *
add_writer (cs_applier_t *f, uint64_t incarnation)
{
	cs_applier_writer_t *writer = cs_alloc (sizeof *writer);
	writer->incarnation = incarnation;
	insert_writer (f, writer);
	return writer;
}

static void
delete_writer (cs_applier_t *f, cs_applier_writer_t *writer)
{
	/* A false positive: the analyzer does not follow the head of the hash table. */
	HASH_DEL (f->writers, writer); // NOLINT(clang-analyzer-unix.Malloc)
	free (writer);
}

void
cs_applier_set_writer (cs_applier_t *f, uint64_t incarnation, uint64_t sequence, uint64_t offset)
{
	cs_applier_writer_t *writer = cs_applier_find_writer (f, incarnation);
	if (!writer)
		writer = add_writer (f, incarnation);
	writer->sequence = sequence;
	writer->offset = offset;
}

void
cs_applier_prune_writers (cs_applier_t *f)
{
	cs_applier_writer_t *next;
	for (cs_applier_writer_t *writer = f->writers; writer; writer = next) {
		next = writer->hh.next;
		if (writer->offset + CS_APPLIER_WINDOW_RECORDS < f->next_offset)
			delete_writer (f, writer);
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
	if (record->seen + CS_APPLIER_WINDOW_RECORDS < offset) {
		f->counts.aged++;
		return false;
	}
	cs_applier_writer_t *writer = cs_applier_find_writer (f, record->incarnation);
	if (writer && record->sequence <= writer->sequence) {
		f->counts.duplicates++;
		return false;
	}
	cs_applier_set_writer (f, record->incarnation, record->sequence, offset);
	/* Pruning visits all writers, so it runs at most once per window of records. */
	if (offset % CS_APPLIER_WINDOW_RECORDS == 0 && HASH_COUNT (f->writers) > PRUNE_MIN_WRITERS)
		cs_applier_prune_writers (f);
	return true;
}
