/* Immutable segments of claims, answers and retired keys. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "claims_impl.h"
#include "cs/hash.h"
#include "log_internal.h"

static void
pack_segment (const Cs__ClaimsSegment *m, cs_buf_t *out)
{
	cs_pack (&m->base, out);
}

static size_t
sum_answer_bytes (const Cs__ClaimsSegment *m)
{
	size_t answer_bytes = 0;
	for (size_t i = 0; i < m->n_answers; i++)
		answer_bytes += CS_CLAIM_ANSWER_OVERHEAD + strlen (m->answers[i]->content_type) +
				m->answers[i]->answer.len;
	return answer_bytes;
}

static void
append_segment (cs_claims_t *c, Cs__ClaimsSegment *m, uint64_t digest)
{
	c->segments =
		cs_grow (c->segments, &c->cap_segments, c->n_segments + 1, sizeof *c->segments);
	cs_claims_segment_t *s = &c->segments[c->n_segments++];
	*s = (cs_claims_segment_t){m, digest, sum_answer_bytes (m)};
	c->answers_total_bytes += s->answer_bytes;
	c->n_sealed += m->n_offsets;
	c->n_retired += m->n_retired;
}

static void
drop_segment (cs_claims_t *c, size_t i)
{
	cs_claims_segment_t *s = &c->segments[i];
	c->answers_total_bytes -= s->answer_bytes;
	c->n_sealed -= s->m->n_offsets;
	c->n_retired -= s->m->n_retired;
	cs__claims_segment__free_unpacked (s->m, NULL);
	c->n_segments--;
	memmove (s, s + 1, (c->n_segments - i) * sizeof *s);
}

/* True if all columns have one entry per key and all states are settled ones. */
static bool
has_valid_columns (const Cs__ClaimsSegment *m)
{
	size_t n = m->n_offsets;
	if (m->keys.len != n * CS_CLAIM_KEY_BYTES || m->states.len != n)
		return false;
	for (size_t i = 0; i < n; i++)
		if (m->states.data[i] <= CS_CLAIM_OPEN || m->states.data[i] > CS_CLAIM_RAN)
			return false;
	return m->n_incarnations == n && m->n_fingerprints == n && m->n_requests == n &&
	       m->n_statuses == n;
}

cs_status_t
cs_claims_add_segment (cs_claims_t *c, cs_str_t bytes)
{
	Cs__ClaimsSegment *m = cs__claims_segment__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (m && has_valid_columns (m)) {
		append_segment (c, m, cs_hash (bytes));
		return CS_OK;
	}
	if (m)
		cs__claims_segment__free_unpacked (m, NULL);
	return cs_fail (CS_INVALID, "a segment of claims is damaged");
}

/* Adds a segment with a copy of m, whose buffers stay the caller's. The copy is made through the
 * packed form, so that segments sealed here and read from the log are the same. */
static void
seal_segment (cs_claims_t *c, const Cs__ClaimsSegment *m)
{
	cs_buf_t bytes = {0};
	pack_segment (m, &bytes);
	if (cs_claims_add_segment (c, cs_buf_str (&bytes)) != CS_OK)
		abort ();
	cs_buf_finish (&bytes);
}

static int
compare_key (const void *a, const void *b)
{
	return memcmp (a, b, CS_CLAIM_KEY_BYTES);
}

static int
by_key (const void *a, const void *b)
{
	const cs_claim_t *x = *(const cs_claim_t *const *)a;
	const cs_claim_t *y = *(const cs_claim_t *const *)b;
	return memcmp (x->key.bytes, y->key.bytes, sizeof x->key.bytes);
}

static int
by_claim (const void *a, const void *b)
{
	const Cs__ClaimAnswer *x = *(const Cs__ClaimAnswer *const *)a;
	const Cs__ClaimAnswer *y = *(const Cs__ClaimAnswer *const *)b;
	return (x->claim > y->claim) - (x->claim < y->claim);
}

/* The message points into the answer, except for the content type, which the caller frees. */
static void
fill_answer (const cs_answer_t *a, Cs__ClaimAnswer *m)
{
	cs__claim_answer__init (m);
	m->claim = a->claim->offset;
	m->has_answer = a->has_answer;
	m->content_type = cs_str_dup (cs_str_n (a->bytes, a->content_type_n));
	m->answer.data = (uint8_t *)a->bytes + a->content_type_n;
	m->answer.len = a->answer_n;
	m->answer_digest = a->digest;
	m->holder = a->holder;
}

static void
seal_answers (cs_claims_t *c)
{
	const cs_answer_t *a;
	size_t n;
	Cs__ClaimsSegment m = CS__CLAIMS_SEGMENT__INIT;
	DL_COUNT (c->answers, a, n);
	if (!n)
		return;
	Cs__ClaimAnswer *answers = cs_alloc (n * sizeof *answers);
	m.generation = c->generation;
	m.answers = cs_alloc (n * sizeof *m.answers);
	DL_FOREACH (c->answers, a) {
		fill_answer (a, &answers[m.n_answers]);
		m.answers[m.n_answers] = &answers[m.n_answers];
		m.n_answers++;
	}
	qsort ((void *)m.answers, n, sizeof *m.answers, by_claim);
	seal_segment (c, &m);
	for (size_t i = 0; i < n; i++)
		free (answers[i].content_type);
	while (c->answers)
		cs_claims_drop_answer (c, c->answers->claim);
	free (answers);
	free ((void *)m.answers);
}

/* Returns the settled claims of the table, sorted by key. The caller frees the array. */
static cs_claim_t **
list_settled (const cs_claims_t *c)
{
	size_t n = 0;
	cs_claim_t **list = cs_alloc (c->n_settled * sizeof *list);
	for (cs_claim_t *p = c->by_key; p; p = p->hh.next)
		if (p->state != CS_CLAIM_OPEN)
			list[n++] = p;
	qsort ((void *)list, n, sizeof *list, by_key);
	return list;
}

static void
seal_claims (cs_claims_t *c)
{
	size_t n = c->n_settled;
	cs_claim_t **list = list_settled (c);
	uint64_t *column = cs_alloc (4 * n * sizeof *column);
	Cs__ClaimsSegment m = {
		.base = PROTOBUF_C_MESSAGE_INIT (&cs__claims_segment__descriptor),
		.generation = c->generation,
		.keys = {n * CS_CLAIM_KEY_BYTES, cs_alloc (n * CS_CLAIM_KEY_BYTES)},
		.n_offsets = n,
		.offsets = column,
		.n_incarnations = n,
		.incarnations = column + n,
		.n_fingerprints = n,
		.fingerprints = column + 2 * n,
		.n_requests = n,
		.requests = column + 3 * n,
		.states = {n, cs_alloc (n)},
		.n_statuses = n,
		.statuses = cs_alloc (n * sizeof *m.statuses),
	};
	for (size_t i = 0; i < n; i++) {
		memcpy (m.keys.data + i * CS_CLAIM_KEY_BYTES, list[i]->key.bytes,
			CS_CLAIM_KEY_BYTES);
		m.offsets[i] = list[i]->offset;
		m.incarnations[i] = list[i]->incarnation;
		m.fingerprints[i] = list[i]->fingerprint;
		m.requests[i] = list[i]->request;
		m.states.data[i] = (uint8_t)list[i]->state;
		m.statuses[i] = list[i]->status;
	}
	seal_segment (c, &m);
	for (size_t i = 0; i < n; i++)
		cs_claims_drop (c, list[i]);
	free (m.keys.data);
	free (m.states.data);
	free (m.statuses);
	free (column);
	free ((void *)list);
}

void
cs_claims_seal (cs_claims_t *c, bool generation_ends)
{
	bool has_enough_claims = c->n_settled >= (generation_ends ? 1 : c->options.seal_claims);
	if (has_enough_claims || c->answers_unsealed_bytes >= CS_CLAIMS_SEAL_BYTES)
		seal_answers (c);
	if (has_enough_claims)
		seal_claims (c);
}

static bool
find_key (const Cs__ClaimsSegment *m, const cs_claim_key_t *key, size_t *at)
{
	if (!m->n_offsets)
		return false;
	const uint8_t *found =
		bsearch (key->bytes, m->keys.data, m->n_offsets, CS_CLAIM_KEY_BYTES, compare_key);
	if (found)
		*at = (size_t)(found - m->keys.data) / CS_CLAIM_KEY_BYTES;
	return found;
}

bool
cs_claims_find_sealed (const cs_claims_t *c, const cs_claim_key_t *key, cs_claim_t *out)
{
	size_t at;
	for (size_t i = c->n_segments; i-- > 0;) {
		const Cs__ClaimsSegment *m = c->segments[i].m;
		if (!find_key (m, key, &at))
			continue;
		*out = (cs_claim_t){
			.key = *key,
			.offset = m->offsets[at],
			.incarnation = m->incarnations[at],
			.fingerprint = m->fingerprints[at],
			.request = m->requests[at],
			.generation = (uint32_t)m->generation,
			.status = m->statuses[at],
			.state = (cs_claim_state_t)m->states.data[at],
		};
		return true;
	}
	return false;
}

const Cs__ClaimAnswer *
cs_claims_find_answer (const cs_claims_t *c, uint64_t claim)
{
	Cs__ClaimAnswer key = {.claim = claim};
	const Cs__ClaimAnswer *wanted = &key;
	for (size_t i = c->n_segments; i-- > 0;) {
		const Cs__ClaimsSegment *m = c->segments[i].m;
		Cs__ClaimAnswer **found = m->n_answers ? bsearch (&wanted, m->answers, m->n_answers,
								  sizeof *m->answers, by_claim)
						       : NULL;
		if (found)
			return *found;
	}
	return NULL;
}

bool
cs_claims_is_retired (const cs_claims_t *c, const cs_claim_key_t *key)
{
	uint64_t v = cs_claims_short_key (key);
	if (c->options.disabled & CS_CLAIMS_NO_RETIRED)
		return false;
	for (size_t i = 0; i < c->n_segments; i++) {
		const Cs__ClaimsSegment *m = c->segments[i].m;
		if (m->n_retired && bsearch (&v, m->retired, m->n_retired, sizeof v, cs_u64_cmp))
			return true;
	}
	return false;
}

bool
cs_claims_evict_answers (cs_claims_t *c)
{
	for (size_t i = 0; i < c->n_segments; i++) {
		if (!c->segments[i].m->n_answers)
			continue;
		drop_segment (c, i);
		return true;
	}
	return false;
}

/* Short keys of claims that are leaving the window. */
typedef struct {
	uint64_t *keys;
	size_t n, cap;
} retiring_keys_t;

static void
add_retiring_key (retiring_keys_t *l, const uint8_t *key, cs_claim_state_t state)
{
	/* A `not-run` key needs no retired entry, since it may be claimed again in any case. */
	if (state == CS_CLAIM_NOT_RUN)
		return;
	l->keys = cs_grow (l->keys, &l->cap, l->n + 1, sizeof *l->keys);
	memcpy (&l->keys[l->n++], key, sizeof *l->keys);
}

static void
collect_sealed (cs_claims_t *c, retiring_keys_t *l)
{
	for (size_t i = 0; i < c->n_segments;) {
		const Cs__ClaimsSegment *m = c->segments[i].m;
		uint64_t retired_generations = m->n_retired ? c->options.retire_generations : 0;
		if (!cs_claims_is_outside_window (c, m->generation + retired_generations)) {
			i++;
			continue;
		}
		for (size_t k = 0; k < m->n_offsets; k++)
			add_retiring_key (l, m->keys.data + k * CS_CLAIM_KEY_BYTES,
					  (cs_claim_state_t)m->states.data[k]);
		drop_segment (c, i);
	}
}

static void
collect_unsealed (cs_claims_t *c, retiring_keys_t *l)
{
	cs_claim_t *claim, *next;
	HASH_ITER (hh, c->by_key, claim, next) {
		if (!cs_claims_is_outside_window (c, claim->generation))
			continue;
		add_retiring_key (l, claim->key.bytes, claim->state);
		cs_claims_drop (c, claim);
	}
}

void
cs_claims_retire (cs_claims_t *c)
{
	retiring_keys_t l = {0};
	collect_sealed (c, &l);
	collect_unsealed (c, &l);
	if (l.n)
		qsort (l.keys, l.n, sizeof *l.keys, cs_u64_cmp);
	for (size_t from = 0; from < l.n; from += CS_CLAIMS_MAX_RETIRED) {
		Cs__ClaimsSegment m = CS__CLAIMS_SEGMENT__INIT;
		m.generation = c->generation - c->options.keep_generations - 1;
		m.retired = l.keys + from;
		m.n_retired =
			l.n - from < CS_CLAIMS_MAX_RETIRED ? l.n - from : CS_CLAIMS_MAX_RETIRED;
		seal_segment (c, &m);
	}
	free (l.keys);
}

size_t
cs_claims_segment_count (const cs_claims_t *c)
{
	return c->n_segments;
}

uint64_t
cs_claims_save_segment (const cs_claims_t *c, size_t i, cs_buf_t *out)
{
	if (out)
		pack_segment (c->segments[i].m, out);
	return c->segments[i].digest;
}

void
cs_claims_clear_segments (cs_claims_t *c)
{
	while (c->n_segments)
		drop_segment (c, c->n_segments - 1);
	free (c->segments);
	c->segments = NULL;
	c->cap_segments = 0;
}
