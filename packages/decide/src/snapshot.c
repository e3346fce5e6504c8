/* Snapshots of an applier's state: writing, reassembling from parts, restoring. */
#include <stdlib.h>

#include "cs/hash.h"
#include "cs/writer.h"
#include "log_internal.h"

static int
by_incarnation (cs_applier_writer_t *a, cs_applier_writer_t *b)
{
	return (a->incarnation > b->incarnation) - (a->incarnation < b->incarnation);
}

/* Returns the states of the writers and sets *list to pointers to them; the caller frees both. */
static Cs__WriterState *
pack_writers (cs_applier_t *f, Cs__WriterState ***list)
{
	size_t n = HASH_COUNT (f->writers);
	size_t i = 0;
	Cs__WriterState *states = cs_alloc (n * sizeof *states);
	*list = cs_alloc (n * sizeof **list);
	HASH_SORT (f->writers, by_incarnation);
	for (const cs_applier_writer_t *w = f->writers; w; w = w->hh.next, i++) {
		cs__writer_state__init (&states[i]);
		states[i].incarnation = w->incarnation;
		states[i].sequence = w->sequence;
		states[i].offset = w->offset;
		(*list)[i] = &states[i];
	}
	return states;
}

/* Lists the digests of a state machine's segments. */
static void
list_segments (const cs_applier_t *f, size_t machine, Cs__PartState *out)
{
	const cs_state_machine_ops_t *ops = f->ops[machine];
	if (!ops->segments)
		return;
	out->n_segments = ops->segments (f->states[machine]);
	out->segments = cs_alloc (out->n_segments * sizeof *out->segments);
	for (size_t i = 0; i < out->n_segments; i++)
		out->segments[i] = ops->segment (f->states[machine], i, NULL);
}

/* Appends the contents of a state machine's n segments. */
static void
add_segments (const cs_applier_t *f, size_t machine, size_t n, Cs__FoldState *out)
{
	out->segments = cs_realloc (out->segments, (out->n_segments + n) * sizeof *out->segments);
	for (size_t i = 0; i < n; i++) {
		cs_buf_t bytes = {0};
		f->ops[machine]->segment (f->states[machine], i, &bytes);
		out->segments[out->n_segments++] =
			(ProtobufCBinaryData){bytes.n, (uint8_t *)bytes.p};
	}
}

/* Appends the state, with the contents of the segments if with_segments, and returns the digest of
 * the appended bytes. */
static uint64_t
export_state (cs_applier_t *f, bool with_segments, cs_buf_t *out)
{
	Cs__FoldState state = CS__FOLD_STATE__INIT;
	Cs__PartState machine_states[CS_APPLIER_MAX_STATE_MACHINES];
	Cs__PartState *list[CS_APPLIER_MAX_STATE_MACHINES];
	cs_buf_t bytes[CS_APPLIER_MAX_STATE_MACHINES];
	size_t start = out->n;
	cs_applier_prune_writers (f);
	Cs__WriterState *writers = pack_writers (f, &state.writers);
	state.n_writers = HASH_COUNT (f->writers);
	for (size_t i = 0; i < f->n_state_machines; i++) {
		cs_buf_init (&bytes[i]);
		f->ops[i]->snapshot (f->states[i], &bytes[i]);
		cs__part_state__init (&machine_states[i]);
		machine_states[i].name = (char *)f->ops[i]->name;
		machine_states[i].state.len = bytes[i].n;
		machine_states[i].state.data = (uint8_t *)bytes[i].p;
		list_segments (f, i, &machine_states[i]);
		if (with_segments && machine_states[i].n_segments)
			add_segments (f, i, machine_states[i].n_segments, &state);
		list[i] = &machine_states[i];
	}
	state.n_parts = f->n_state_machines;
	state.parts = list;
	cs_pack (&state.base, out);
	for (size_t i = 0; i < f->n_state_machines; i++) {
		cs_buf_finish (&bytes[i]);
		free (machine_states[i].segments);
	}
	for (size_t i = 0; i < state.n_segments; i++)
		free (state.segments[i].data);
	free (state.segments);
	free ((void *)state.writers);
	free (writers);
	return cs_hash (cs_str_n (out->p + start, out->n - start));
}

uint64_t
cs_applier_export_state (cs_applier_t *f, cs_buf_t *out)
{
	return export_state (f, true, out);
}

static const Cs__PartState *
find_machine_state (const Cs__FoldState *state, const char *name)
{
	for (size_t i = 0; i < state->n_parts; i++)
		if (cs_str_is (cs_str (state->parts[i]->name), name))
			return state->parts[i];
	return NULL;
}

/* True if the bytes of all segments that the state lists are stored. */
static bool
has_all_segments (const cs_applier_t *f, const Cs__FoldState *state)
{
	for (size_t i = 0; i < state->n_parts; i++)
		for (size_t k = 0; k < state->parts[i]->n_segments; k++)
			if (!cs_applier_has_segment_bytes (f, state->parts[i]->segments[k]))
				return false;
	return true;
}

/* Restores one state machine; machine_state NULL: the snapshot contains none for it. */
static cs_status_t
restore_machine (cs_applier_t *f, size_t i, uint64_t offset, const Cs__PartState *machine_state)
{
	const cs_state_machine_ops_t *ops = f->ops[i];
	cs_str_t bytes = cs_str ("");
	if (machine_state)
		bytes = cs_str_n ((char *)machine_state->state.data, machine_state->state.len);
	ops->reset (f->states[i]);
	cs_status_t s = ops->restore (f->states[i], offset, bytes);
	size_t n = machine_state && ops->add_segment ? machine_state->n_segments : 0;
	for (size_t k = 0; k < n && s == CS_OK; k++) {
		cs_buf_t segment = cs_applier_detach_segment_bytes (f, machine_state->segments[k]);
		s = ops->add_segment (f->states[i], cs_buf_str (&segment));
		cs_buf_finish (&segment);
	}
	return s;
}

static cs_status_t
restore_machines (cs_applier_t *f, uint64_t offset, const Cs__FoldState *state)
{
	for (size_t i = 0; i < f->n_state_machines; i++) {
		cs_status_t s =
			restore_machine (f, i, offset, find_machine_state (state, f->ops[i]->name));
		if (s != CS_OK)
			return s;
	}
	return CS_OK;
}

static void
restore_writers (cs_applier_t *f, const Cs__FoldState *state)
{
	cs_applier_clear_writers (f);
	for (size_t i = 0; i < state->n_writers; i++) {
		const Cs__WriterState *w = state->writers[i];
		cs_applier_set_writer (f, w->incarnation, w->sequence, w->offset);
	}
	if (!f->writer)
		return;
	const cs_applier_writer_t *own = cs_applier_find_writer (f, f->writer->incarnation);
	cs_writer_snapshot_restored (f->writer, own ? own->sequence : 0);
}

cs_status_t
cs_applier_restore (cs_applier_t *f, uint64_t offset, cs_str_t bytes)
{
	Cs__FoldState *state = cs__fold_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!state)
		return cs_fail (CS_INVALID, "snapshot of stream %s cannot be decoded", f->stream);
	for (size_t i = 0; i < state->n_segments; i++)
		cs_applier_add_peer_segment (f, cs_str_n ((const char *)state->segments[i].data,
							  state->segments[i].len));
	if (!has_all_segments (f, state)) {
		cs__fold_state__free_unpacked (state, NULL);
		return cs_fail (CS_CONFLICT,
				"snapshot of stream %s lists a segment that is not stored",
				f->stream);
	}
	cs_status_t s = restore_machines (f, offset, state);
	if (s == CS_OK) {
		cs_applier_free_segment_bytes (f);
		f->next_offset = offset;
		restore_writers (f, state);
	}
	/* A partly restored state is unusable until another snapshot is restored. */
	f->needs_snapshot = s != CS_OK;
	cs_applier_clear_assemblies (f);
	cs__fold_state__free_unpacked (state, NULL);
	return s;
}

cs_status_t
cs_applier_restore_from_peer (cs_applier_t *f, uint64_t offset, cs_str_t bytes, uint64_t digest)
{
	if (offset <= f->next_offset)
		return cs_fail (CS_CONFLICT,
				"a peer's state of stream %s is not ahead of this daemon's",
				f->stream);
	if (cs_hash (bytes) != digest)
		return cs_fail (CS_INVALID, "a peer's state of stream %s does not match its digest",
				f->stream);
	return cs_applier_restore (f, offset, bytes);
}

void
cs_applier_assembly_finish (cs_applier_assembly_t *a)
{
	for (uint32_t i = 0; i < a->parts; i++)
		cs_buf_finish (&a->part_bytes[i]);
	free (a->part_bytes);
}

void
cs_applier_clear_assemblies (cs_applier_t *f)
{
	while (f->n_assemblies)
		cs_applier_assembly_finish (&f->assemblies[--f->n_assemblies]);
}

static void
remove_assembly (cs_applier_t *f, size_t i)
{
	f->n_assemblies--;
	for (; i < f->n_assemblies; i++)
		f->assemblies[i] = f->assemblies[i + 1];
}

static size_t
find_or_add_assembly (cs_applier_t *f, uint64_t at, const Cs__Record *r)
{
	const Cs__Snapshot *s = r->snapshot;
	for (size_t i = 0; i < f->n_assemblies; i++) {
		const cs_applier_assembly_t *a = &f->assemblies[i];
		if (a->incarnation == r->incarnation && a->offset == s->offset &&
		    a->digest == s->digest && a->parts == s->parts)
			return i;
	}
	if (f->n_assemblies == CS_APPLIER_MAX_ASSEMBLIES) {
		cs_applier_assembly_finish (&f->assemblies[0]);
		remove_assembly (f, 0);
	}
	f->assemblies[f->n_assemblies] = (cs_applier_assembly_t){
		r->incarnation, s->offset, s->digest, at, s->parts, 0, NULL};
	f->assemblies[f->n_assemblies].part_bytes = cs_alloc (s->parts * sizeof (cs_buf_t));
	return f->n_assemblies++;
}

bool
cs_applier_assemble_snapshot (cs_applier_t *f, uint64_t at, const Cs__Record *record,
			      cs_applier_assembly_t *done)
{
	const Cs__Snapshot *s = record->snapshot;
	if (s->parts > CS_APPLIER_MAX_SNAPSHOT_PARTS || s->part >= s->parts || s->offset > at)
		return false;
	size_t i = find_or_add_assembly (f, at, record);
	cs_applier_assembly_t *a = &f->assemblies[i];
	if (a->part_bytes[s->part].p)
		return false;
	cs_buf_reserve (&a->part_bytes[s->part], 0);
	/* An applier that needs no snapshot only counts the parts and does not keep their bytes. */
	if (f->needs_snapshot)
		cs_buf_add (&a->part_bytes[s->part],
			    cs_str_n ((char *)s->state.data, s->state.len));
	if (++a->parts_read < a->parts)
		return false;
	*done = *a;
	remove_assembly (f, i);
	return true;
}

cs_status_t
cs_applier_submit_snapshot (cs_applier_t *f, cs_writer_t *w, int64_t now_ms)
{
	cs_buf_t state;
	cs_status_t status = CS_OK;
	Cs__Snapshot s = CS__SNAPSHOT__INIT;
	Cs__Record r = CS__RECORD__INIT;
	cs_buf_init (&state);
	if (cs_applier_submit_segment (f, w, &status))
		return status;
	s.offset = f->next_offset;
	s.digest = export_state (f, false, &state);
	s.parts = (uint32_t)(state.n / CS_APPLIER_SNAPSHOT_PART_BYTES + 1);
	r.body_case = CS__RECORD__BODY_SNAPSHOT;
	r.snapshot = &s;
	for (s.part = 0; s.part < s.parts && status == CS_OK; s.part++) {
		size_t from = (size_t)s.part * CS_APPLIER_SNAPSHOT_PART_BYTES;
		size_t left = state.n - from;
		s.state.data = (uint8_t *)state.p + from;
		s.state.len = left < CS_APPLIER_SNAPSHOT_PART_BYTES
				      ? left
				      : CS_APPLIER_SNAPSHOT_PART_BYTES;
		status = cs_writer_submit (w, &r, NULL);
	}
	f->snapshot_submitted_ms = now_ms;
	cs_buf_finish (&state);
	return status;
}

/* True if a new snapshot is due, without regard to the rank of this daemon. */
static bool
is_due (cs_applier_t *f, int64_t now_ms)
{
	if (f->needs_snapshot || !f->caught_up || f->next_offset == 1)
		return false;
	if (f->snapshot_submitted_ms >= 0 &&
	    now_ms - f->snapshot_submitted_ms < CS_APPLIER_SNAPSHOT_REPEAT_MS)
		return false;
	if (f->snapshot_applied_ms < 0 && f->no_snapshot_since_ms < 0)
		f->no_snapshot_since_ms = now_ms;
	int64_t overdue_ms =
		f->snapshot_applied_ms < 0
			? now_ms - f->no_snapshot_since_ms - CS_APPLIER_SNAPSHOT_FIRST_MS
			: now_ms - f->snapshot_applied_ms - f->options.snapshot_ms;
	if (overdue_ms >= 0)
		return true;
	if (f->next_offset - f->snapshot_offset >= f->options.snapshot_records)
		return true;
	if (f->begin <= 1)
		return false;
	/* The log has begun to expire records: a new snapshot is due once records that follow the
	 * last snapshot have expired, or its first record is in the oldest 1 /
	 * CS_APPLIER_RISK_SHARE of the retained records. While the log retains fewer records than
	 * CS_APPLIER_RISK_SHARE, that record must be the oldest one. */
	return f->snapshot_offset < f->begin ||
	       f->snapshot_record_offset <=
		       f->begin + (f->end - f->begin) / CS_APPLIER_RISK_SHARE ||
	       cs_applier_has_expiring_segment (f);
}

bool
cs_applier_is_snapshot_due (cs_applier_t *f, int64_t now_ms, size_t rank)
{
	if (!is_due (f, now_ms)) {
		f->due_since_ms = -1;
		return false;
	}
	if (f->due_since_ms < 0)
		f->due_since_ms = now_ms;
	return now_ms - f->due_since_ms >= (int64_t)rank * CS_APPLIER_SNAPSHOT_STAGGER_MS;
}
