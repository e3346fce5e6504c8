/* Segments of the state: the offset of each segment's newest record, and which segments must be
 * appended. */
#include <stdlib.h>

#include "cs/hash.h"
#include "cs/writer.h"
#include "log_internal.h"

static cs_applier_segment_t *
find_segment (const cs_applier_t *f, uint64_t digest)
{
	cs_applier_segment_t *segment;
	HASH_FIND (hh, f->segments, &digest, sizeof digest, segment);
	return segment;
}

static void
insert_segment (cs_applier_t *f, cs_applier_segment_t *segment)
{
	HASH_ADD (hh, f->segments, digest, sizeof segment->digest, segment);
}

static void
delete_segment (cs_applier_t *f, cs_applier_segment_t *segment)
{
	/* A false positive: the analyzer does not follow the head of the hash table. */
	HASH_DEL (f->segments, segment); // NOLINT(clang-analyzer-unix.Malloc)
	cs_buf_finish (&segment->bytes);
	free (segment);
}

void
cs_applier_clear_segments (cs_applier_t *f)
{
	while (f->segments)
		delete_segment (f, f->segments);
}

void
cs_applier_expire_segments (cs_applier_t *f)
{
	cs_applier_segment_t *segment, *next;
	HASH_ITER (hh, f->segments, segment, next) {
		if (segment->record_offset < f->begin)
			delete_segment (f, segment);
	}
}

static cs_applier_segment_t *
find_or_add_segment (cs_applier_t *f, uint64_t digest)
{
	cs_applier_segment_t *segment = find_segment (f, digest);
	if (segment)
		return segment;
	segment = cs_alloc (sizeof *segment);
	segment->digest = digest;
	insert_segment (f, segment);
	return segment;
}

void
cs_applier_add_log_segment (cs_applier_t *f, uint64_t at, const Cs__Segment *m)
{
	cs_str_t bytes = cs_str_n ((const char *)m->state.data, m->state.len);
	if (!(f->options.disabled & CS_APPLIER_NO_DIGEST) && cs_hash (bytes) != m->digest) {
		f->counts.malformed++;
		return;
	}
	cs_applier_segment_t *segment = find_or_add_segment (f, m->digest);
	segment->record_offset = at;
	/* Only an applier that searches for a snapshot needs the segment's bytes. */
	if (f->needs_snapshot && !segment->bytes.p)
		cs_buf_add (&segment->bytes, bytes);
}

void
cs_applier_add_peer_segment (cs_applier_t *f, cs_str_t bytes)
{
	cs_applier_segment_t *segment = find_or_add_segment (f, cs_hash (bytes));
	if (!segment->bytes.p)
		cs_buf_add (&segment->bytes, bytes);
}

void
cs_applier_free_segment_bytes (cs_applier_t *f)
{
	cs_applier_segment_t *segment, *next;
	HASH_ITER (hh, f->segments, segment, next) {
		cs_buf_finish (&segment->bytes);
		/* A segment received from a peer may not be in the log. */
		if (!segment->record_offset)
			delete_segment (f, segment);
	}
}

bool
cs_applier_has_segment_bytes (const cs_applier_t *f, uint64_t digest)
{
	const cs_applier_segment_t *segment = find_segment (f, digest);
	return segment && segment->bytes.p;
}

cs_buf_t
cs_applier_detach_segment_bytes (cs_applier_t *f, uint64_t digest)
{
	cs_applier_segment_t *segment = find_segment (f, digest);
	cs_buf_t bytes = {0};
	if (segment) {
		bytes = segment->bytes;
		segment->bytes = (cs_buf_t){0};
	}
	return bytes;
}

/* True if the segment's newest record is retained and not in the oldest 1/share of the retained
 * records. While the log has not expired any record, no segment counts as old. */
static bool
is_retained (const cs_applier_t *f, uint64_t digest, uint64_t share)
{
	const cs_applier_segment_t *segment = find_segment (f, digest);
	if (!segment || segment->record_offset < f->begin)
		return false;
	if (f->begin <= 1 || (f->options.disabled & CS_APPLIER_NO_RENEWAL))
		return true;
	return segment->record_offset > f->begin + (f->end - f->begin) / share;
}

/* Finds the first segment of the state for which is_retained () is false, and stores the indices of
 * its state machine and of the segment; false if there is none. only_in_log: considers only
 * segments seen in the log. */
static bool
find_segment_to_append (const cs_applier_t *f, uint64_t share, bool only_in_log, size_t *machine,
			size_t *index)
{
	for (size_t k = 0; k < f->n_state_machines; k++) {
		const cs_state_machine_ops_t *ops = f->ops[k];
		size_t n = ops->segments ? ops->segments (f->states[k]) : 0;
		for (size_t i = 0; i < n; i++) {
			uint64_t digest = ops->segment (f->states[k], i, NULL);
			if (is_retained (f, digest, share) ||
			    (only_in_log && !find_segment (f, digest)))
				continue;
			*machine = k;
			*index = i;
			return true;
		}
	}
	return false;
}

bool
cs_applier_has_expiring_segment (const cs_applier_t *f)
{
	size_t machine, index;
	return find_segment_to_append (f, CS_APPLIER_RISK_SHARE, true, &machine, &index);
}

/* True if the last segment submitted has not been applied yet. */
static bool
is_segment_pending (const cs_applier_t *f, const cs_writer_t *w)
{
	return w->n && w->entries[0].sequence <= f->segment_sequence;
}

bool
cs_applier_submit_segment (cs_applier_t *f, cs_writer_t *w, cs_status_t *status)
{
	size_t machine, index;
	Cs__Segment segment = CS__SEGMENT__INIT;
	Cs__Record record = CS__RECORD__INIT;
	cs_buf_t bytes = {0};
	*status = CS_OK;
	if (is_segment_pending (f, w))
		return true;
	if (!find_segment_to_append (f, CS_APPLIER_RENEW_SHARE, false, &machine, &index))
		return false;
	segment.digest = f->ops[machine]->segment (f->states[machine], index, &bytes);
	segment.state.data = (uint8_t *)bytes.p;
	segment.state.len = bytes.n;
	record.body_case = CS__RECORD__BODY_SEGMENT;
	record.segment = &segment;
	*status = cs_writer_submit (w, &record, NULL);
	f->segment_sequence = w->sequence;
	cs_buf_finish (&bytes);
	return true;
}
