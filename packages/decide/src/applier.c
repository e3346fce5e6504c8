#include "cs/applier.h"

#include <stdlib.h>

#include "cs/hash.h"
#include "cs/writer.h"
#include "log_internal.h"

void
cs_applier_init (cs_applier_t *f, const char *stream, const cs_applier_options_t *options)
{
	*f = (cs_applier_t){0};
	f->stream = cs_str_dup (cs_str (stream));
	if (options)
		f->options = *options;
	if (!f->options.snapshot_ms)
		f->options.snapshot_ms = CS_APPLIER_SNAPSHOT_MS;
	if (!f->options.snapshot_records)
		f->options.snapshot_records = CS_APPLIER_SNAPSHOT_RECORDS;
	f->next_offset = 1;
	f->scan_offset = 1;
	f->begin = 1;
	f->end = 1;
	f->current_read_sent_ms = -1;
	f->snapshot_offset = 1;
	f->snapshot_applied_ms = -1;
	f->no_snapshot_since_ms = -1;
	f->due_since_ms = -1;
	f->snapshot_submitted_ms = -1;
}

void
cs_applier_finish (cs_applier_t *f)
{
	cs_applier_clear_assemblies (f);
	cs_applier_clear_segments (f);
	cs_applier_clear_writers (f);
	free (f->stream);
}

void
cs_applier_add_state_machine (cs_applier_t *f, const cs_state_machine_ops_t *ops, void *state)
{
	if (f->n_state_machines == CS_APPLIER_MAX_STATE_MACHINES)
		abort ();
	f->ops[f->n_state_machines] = ops;
	f->states[f->n_state_machines++] = state;
}

static bool
is_gap_check_enabled (const cs_applier_t *f)
{
	return !(f->options.disabled & CS_APPLIER_NO_GAP_CHECK);
}

/* Records that the state is current as of the last read, if the log has been applied to its end. */
static void
update_current (cs_applier_t *f)
{
	if (f->needs_snapshot || f->next_offset < f->end)
		return;
	f->caught_up = true;
	f->current_read_sent_ms = f->read_sent_ms;
}

bool
cs_applier_record_read (cs_applier_t *f, uint64_t begin, uint64_t end, int64_t read_sent_ms)
{
	bool has_expired = begin > f->begin;
	f->begin = begin;
	f->end = end;
	if (has_expired)
		cs_applier_expire_segments (f);
	f->read_sent_ms = read_sent_ms;
	if (!f->needs_snapshot && begin > f->next_offset && is_gap_check_enabled (f)) {
		f->needs_snapshot = true;
		f->counts.gaps++;
		f->scan_offset = f->next_offset;
		cs_applier_clear_assemblies (f);
		cs_applier_clear_segments (f);
	}
	if (f->needs_snapshot && f->scan_offset < begin) {
		f->scan_offset = begin;
		return true;
	}
	/* A reply whose end is below next_offset is older than the state. */
	if (end >= f->next_offset)
		update_current (f);
	return false;
}

/* Returns the unpacked record, to be freed by the caller; NULL if it is malformed. */
static Cs__Record *
unpack_record (cs_applier_t *f, uint64_t offset, cs_str_t bytes)
{
	Cs__Record *record = cs__record__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (record && record->incarnation && record->sequence &&
	    record->body_case != CS__RECORD__BODY__NOT_SET && record->seen <= offset)
		return record;
	if (record)
		cs__record__free_unpacked (record, NULL);
	f->counts.malformed++;
	return NULL;
}

/* Applies the record to all state machines. Returns CS_APPLY_INVALID if any of them
 * returns it, else CS_APPLY_VALID if any of them returns it, else CS_APPLY_IGNORED. */
static cs_apply_result_t
apply_to_state_machines (cs_applier_t *f, uint64_t offset, const Cs__Record *record)
{
	cs_apply_result_t highest = CS_APPLY_IGNORED;
	for (size_t i = 0; i < f->n_state_machines; i++) {
		cs_apply_result_t result = f->ops[i]->apply (f->states[i], offset, record);
		if (result > highest)
			highest = result;
	}
	f->counts.applied++;
	return highest;
}

static void
notify_writer (cs_applier_t *f, uint64_t offset, const Cs__Record *record, cs_apply_result_t result)
{
	if (f->writer && f->writer->incarnation == record->incarnation)
		cs_writer_record_applied (f->writer, record->sequence, offset, result);
}

static void
update_last_snapshot (cs_applier_t *f, const cs_applier_assembly_t *assembly)
{
	if (assembly->offset < f->snapshot_offset)
		return;
	f->snapshot_offset = assembly->offset;
	f->snapshot_record_offset = assembly->first_record_offset;
	f->snapshot_applied_ms = f->read_sent_ms;
}

/* A segment by another daemon shows that the other daemon is writing the snapshot. The delay by
 * rank of this daemon then starts again, so that the two do not write the same snapshot. */
static void
apply_segment_record (cs_applier_t *f, uint64_t offset, const Cs__Record *record)
{
	bool is_own = f->writer && f->writer->incarnation == record->incarnation;
	cs_applier_add_log_segment (f, offset, record->segment);
	bool must_restart_delay = !is_own && !(f->options.disabled & CS_APPLIER_NO_DELAY_RESTART);
	if (must_restart_delay && f->due_since_ms >= 0 && f->due_since_ms < f->read_sent_ms)
		f->due_since_ms = f->read_sent_ms;
	notify_writer (f, offset, record, CS_APPLY_VALID);
}

static void
apply_record (cs_applier_t *f, uint64_t offset, const Cs__Record *record)
{
	cs_applier_assembly_t snapshot;
	uint64_t n_aged = f->counts.aged;
	if (!cs_applier_accept_sequence (f, offset, record)) {
		if (f->counts.aged > n_aged)
			notify_writer (f, offset, record, CS_APPLY_INVALID);
		return;
	}
	if (record->body_case == CS__RECORD__BODY_SEGMENT) {
		apply_segment_record (f, offset, record);
		return;
	}
	if (record->body_case != CS__RECORD__BODY_SNAPSHOT) {
		notify_writer (f, offset, record, apply_to_state_machines (f, offset, record));
		return;
	}
	if (cs_applier_assemble_snapshot (f, offset, record, &snapshot)) {
		update_last_snapshot (f, &snapshot);
		cs_applier_assembly_finish (&snapshot);
	}
	notify_writer (f, offset, record, CS_APPLY_VALID);
}

/* Processes a record while searching for a snapshot; true if one has been restored. */
static bool
scan_record (cs_applier_t *f, uint64_t offset, const Cs__Record *record)
{
	cs_applier_assembly_t snapshot;
	cs_buf_t state;
	if (record->body_case == CS__RECORD__BODY_SEGMENT)
		cs_applier_add_log_segment (f, offset, record->segment);
	if (record->body_case != CS__RECORD__BODY_SNAPSHOT ||
	    !cs_applier_assemble_snapshot (f, offset, record, &snapshot))
		return false;
	cs_buf_init (&state);
	for (uint32_t i = 0; i < snapshot.parts; i++)
		cs_buf_add (&state, cs_buf_str (&snapshot.part_bytes[i]));
	bool is_intact = (f->options.disabled & CS_APPLIER_NO_DIGEST) ||
			 cs_hash (cs_buf_str (&state)) == snapshot.digest;
	bool is_usable = snapshot.offset > f->next_offset && snapshot.offset >= f->begin;
	bool is_restored = is_intact && is_usable &&
			   !cs_applier_restore (f, snapshot.offset, cs_buf_str (&state));
	if (is_restored)
		update_last_snapshot (f, &snapshot);
	cs_buf_finish (&state);
	cs_applier_assembly_finish (&snapshot);
	return is_restored;
}

bool
cs_applier_process_record (cs_applier_t *f, uint64_t offset, cs_str_t bytes)
{
	if (offset < cs_applier_next_read_offset (f))
		return false;
	if (offset > cs_applier_next_read_offset (f) && is_gap_check_enabled (f))
		return true;
	bool is_restored = false;
	bool is_scanning = f->needs_snapshot;
	Cs__Record *record = unpack_record (f, offset, bytes);
	if (is_scanning)
		f->scan_offset = offset + 1;
	else
		f->next_offset = offset + 1;
	if (record && is_scanning)
		is_restored = scan_record (f, offset, record);
	else if (record)
		apply_record (f, offset, record);
	if (record)
		cs__record__free_unpacked (record, NULL);
	update_current (f);
	return is_restored;
}

uint64_t
cs_applier_next_read_offset (const cs_applier_t *f)
{
	return f->needs_snapshot ? f->scan_offset : f->next_offset;
}

bool
cs_applier_needs_peer_state (const cs_applier_t *f)
{
	return f->needs_snapshot && f->scan_offset >= f->end && is_gap_check_enabled (f);
}

bool
cs_applier_is_current (const cs_applier_t *f, int64_t since_ms)
{
	return !f->needs_snapshot && f->current_read_sent_ms >= 0 &&
	       f->current_read_sent_ms >= since_ms;
}
