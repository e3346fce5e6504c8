/* Segments of folded state: where the log keeps them, and which it lacks. */
#include <stdlib.h>

#include "cs/hash.h"
#include "cs/writer.h"
#include "log_internal.h"

static cs_fold_segment_t *
find (const cs_fold_t *f, uint64_t digest)
{
	cs_fold_segment_t *s;
	HASH_FIND (hh, f->segments, &digest, sizeof digest, s);
	return s;
}

static void
enlist (cs_fold_t *f, cs_fold_segment_t *s)
{
	HASH_ADD (hh, f->segments, digest, sizeof s->digest, s);
}

static void
drop (cs_fold_t *f, cs_fold_segment_t *s)
{
	/* The analyzer loses track of the table's head. */
	HASH_DEL (f->segments, s); // NOLINT(clang-analyzer-unix.Malloc)
	cs_buf_finish (&s->bytes);
	free (s);
}

void
cs_fold_clear_segments (cs_fold_t *f)
{
	while (f->segments)
		drop (f, f->segments);
}

void
cs_fold_expire_segments (cs_fold_t *f)
{
	cs_fold_segment_t *s, *next;
	HASH_ITER (hh, f->segments, s, next) {
		if (s->at < f->begin)
			drop (f, s);
	}
}

static cs_fold_segment_t *
ensure (cs_fold_t *f, uint64_t digest)
{
	cs_fold_segment_t *s = find (f, digest);
	if (s)
		return s;
	s = cs_alloc (sizeof *s);
	s->digest = digest;
	enlist (f, s);
	return s;
}

void
cs_fold_note_segment (cs_fold_t *f, uint64_t at, const Cs__Segment *m)
{
	cs_str_t bytes = cs_str_n ((const char *)m->state.data, m->state.len);
	if (!(f->options.disabled & CS_FOLD_NO_DIGEST) && cs_hash (bytes) != m->digest) {
		f->counts.malformed++;
		return;
	}
	cs_fold_segment_t *s = ensure (f, m->digest);
	s->at = at;
	/* A fold without a gap needs to know of the segment alone. */
	if (f->needs_snapshot && !s->bytes.p)
		cs_buf_add (&s->bytes, bytes);
}

void
cs_fold_give_segment (cs_fold_t *f, cs_str_t bytes)
{
	cs_fold_segment_t *s = ensure (f, cs_hash (bytes));
	if (!s->bytes.p)
		cs_buf_add (&s->bytes, bytes);
}

void
cs_fold_drop_segment_bytes (cs_fold_t *f)
{
	cs_fold_segment_t *s, *next;
	HASH_ITER (hh, f->segments, s, next) {
		cs_buf_finish (&s->bytes);
		/* One given by a peer may not be in the log. */
		if (!s->at)
			drop (f, s);
	}
}

bool
cs_fold_has_segment (const cs_fold_t *f, uint64_t digest)
{
	const cs_fold_segment_t *s = find (f, digest);
	return s && s->bytes.p;
}

cs_buf_t
cs_fold_take_segment (cs_fold_t *f, uint64_t digest)
{
	cs_fold_segment_t *s = find (f, digest);
	cs_buf_t taken = {0};
	if (s) {
		taken = s->bytes;
		s->bytes = (cs_buf_t){0};
	}
	return taken;
}

/* True if the log keeps the segment above the first share of its records. */
static bool
is_kept (const cs_fold_t *f, uint64_t digest, uint64_t share)
{
	const cs_fold_segment_t *s = find (f, digest);
	if (!s || s->at < f->begin)
		return false;
	if (f->begin <= 1 || (f->options.disabled & CS_FOLD_NO_RENEWAL))
		return true;
	return s->at > f->begin + (f->end - f->begin) / share;
}

/* The first segment of the state that is not kept so; known: only of those seen in the log. */
static bool
first_lacking (const cs_fold_t *f, uint64_t share, bool known, size_t *part, size_t *index)
{
	for (size_t p = 0; p < f->n_parts; p++) {
		const cs_fold_ops_t *ops = f->ops[p];
		size_t n = ops->segments ? ops->segments (f->states[p]) : 0;
		for (size_t i = 0; i < n; i++) {
			uint64_t digest = ops->segment (f->states[p], i, NULL);
			if (is_kept (f, digest, share) || (known && !find (f, digest)))
				continue;
			*part = p;
			*index = i;
			return true;
		}
	}
	return false;
}

bool
cs_fold_segments_at_risk (const cs_fold_t *f)
{
	size_t part, index;
	return first_lacking (f, CS_FOLD_RISK_SHARE, true, &part, &index);
}

static bool
is_pending (const cs_fold_t *f, const cs_writer_t *w)
{
	return w->n && w->entries[0].sequence <= f->segment_sequence;
}

bool
cs_fold_submit_segment (cs_fold_t *f, cs_writer_t *w, cs_status_t *status)
{
	size_t part, index;
	Cs__Segment s = CS__SEGMENT__INIT;
	Cs__Record r = CS__RECORD__INIT;
	cs_buf_t bytes = {0};
	*status = CS_OK;
	if (is_pending (f, w))
		return true;
	if (!first_lacking (f, CS_FOLD_RENEW_SHARE, false, &part, &index))
		return false;
	s.digest = f->ops[part]->segment (f->states[part], index, &bytes);
	s.state.data = (uint8_t *)bytes.p;
	s.state.len = bytes.n;
	r.body_case = CS__RECORD__BODY_SEGMENT;
	r.segment = &s;
	*status = cs_writer_submit (w, &r, NULL);
	f->segment_sequence = w->sequence;
	cs_buf_finish (&bytes);
	return true;
}
