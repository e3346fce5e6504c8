/* Segments of the state: where each one is in the log, and which must be appended. */
#include <stdlib.h>

#include "cs/hash.h"
#include "cs/writer.h"
#include "log_internal.h"

static cs_applier_segment_t *
find_segment (const cs_applier_t *f, uint64_t digest)
{
	cs_applier_segment_t *s;
	HASH_FIND (hh, f->segments, &digest, sizeof digest, s);
	return s;
}

static void
insert_segment (cs_applier_t *f, cs_applier_segment_t *s)
{
	HASH_ADD (hh, f->segments, digest, sizeof s->digest, s);
}

static void
delete_segment (cs_applier_t *f, cs_applier_segment_t *s)
{
	/* A false positive: the analyzer does not follow the head of the hash table. */
	HASH_DEL (f->segments, s); // NOLINT(clang-analyzer-unix.Malloc)
	cs_buf_finish (&s->bytes);
	free (s);
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
	cs_applier_segment_t *s, *next;
	HASH_ITER (hh, f->segments, s, next) {
		if (s->record_offset < f->begin)
			delete_segment (f, s);
	}
}

static cs_applier_segment_t *
find_or_add_segment (cs_applier_t *f, uint64_t digest)
{
	cs_applier_segment_t *s = find_segment (f, digest);
	if (s)
		return s;
	s = cs_alloc (sizeof *s);
	s->digest = digest;
	insert_segment (f, s);
	return s;
}

void
cs_applier_add_log_segment (cs_applier_t *f, uint64_t at, const Cs__Segment *m)
{
	cs_str_t bytes = cs_str_n ((const char *)m->state.data, m->state.len);
	if (!(f->options.disabled & CS_APPLIER_NO_DIGEST) && cs_hash (bytes) != m->digest) {
		f->counts.malformed++;
		return;
	}
	cs_applier_segment_t *s = find_or_add_segment (f, m->digest);
	s->record_offset = at;
	/* Without a gap only the segment's offset is needed, not its bytes. */
	if (f->needs_snapshot && !s->bytes.p)
		cs_buf_add (&s->bytes, bytes);
}

void
cs_applier_add_peer_segment (cs_applier_t *f, cs_str_t bytes)
{
	cs_applier_segment_t *s = find_or_add_segment (f, cs_hash (bytes));
	if (!s->bytes.p)
		cs_buf_add (&s->bytes, bytes);
}

void
cs_applier_free_segment_bytes (cs_applier_t *f)
{
	cs_applier_segment_t *s, *next;
	HASH_ITER (hh, f->segments, s, next) {
		cs_buf_finish (&s->bytes);
		/* A segment received from a peer may not be in the log. */
		if (!s->record_offset)
			delete_segment (f, s);
	}
}

bool
cs_applier_has_segment_bytes (const cs_applier_t *f, uint64_t digest)
{
	const cs_applier_segment_t *s = find_segment (f, digest);
	return s && s->bytes.p;
}

cs_buf_t
cs_applier_detach_segment_bytes (cs_applier_t *f, uint64_t digest)
{
	cs_applier_segment_t *s = find_segment (f, digest);
	cs_buf_t taken = {0};
	if (s) {
		taken = s->bytes;
		s->bytes = (cs_buf_t){0};
	}
	return taken;
}

/* True if the segment's record is retained and not in the oldest 1/share of the retained records.
 */
static bool
is_retained (const cs_applier_t *f, uint64_t digest, uint64_t share)
{
	const cs_applier_segment_t *s = find_segment (f, digest);
	if (!s || s->record_offset < f->begin)
		return false;
	if (f->begin <= 1 || (f->options.disabled & CS_APPLIER_NO_RENEWAL))
		return true;
	return s->record_offset > f->begin + (f->end - f->begin) / share;
}

/* Finds the first segment of the state that is not safely retained (is_retained ()); with
 * known_only, considers only segments that have been seen in the log. */
static bool
find_segment_to_append (const cs_applier_t *f, uint64_t share, bool known_only, size_t *machine,
			size_t *index)
{
	for (size_t p = 0; p < f->n_state_machines; p++) {
		const cs_state_machine_ops_t *ops = f->ops[p];
		size_t n = ops->segments ? ops->segments (f->states[p]) : 0;
		for (size_t i = 0; i < n; i++) {
			uint64_t digest = ops->segment (f->states[p], i, NULL);
			if (is_retained (f, digest, share) ||
			    (known_only && !find_segment (f, digest)))
				continue;
			*machine = p;
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
	Cs__Segment s = CS__SEGMENT__INIT;
	Cs__Record r = CS__RECORD__INIT;
	cs_buf_t bytes = {0};
	*status = CS_OK;
	if (is_segment_pending (f, w))
		return true;
	if (!find_segment_to_append (f, CS_APPLIER_RENEW_SHARE, false, &machine, &index))
		return false;
	s.digest = f->ops[machine]->segment (f->states[machine], index, &bytes);
	s.state.data = (uint8_t *)bytes.p;
	s.state.len = bytes.n;
	r.body_case = CS__RECORD__BODY_SEGMENT;
	r.segment = &s;
	*status = cs_writer_submit (w, &r, NULL);
	f->segment_sequence = w->sequence;
	cs_buf_finish (&bytes);
	return true;
}
