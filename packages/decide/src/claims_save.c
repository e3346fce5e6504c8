#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "claims_impl.h"
#include "log_internal.h"

static int
by_offset (const void *a, const void *b)
{
	const cs_claim_t *x = *(const cs_claim_t *const *)a;
	const cs_claim_t *y = *(const cs_claim_t *const *)b;
	return (x->offset > y->offset) - (x->offset < y->offset);
}

/* Returns the n claims in snapshot order: those with answers, oldest answer first, then the others
 * by offset. The caller frees the array. */
static cs_claim_t **
sort_claims (const cs_claims_t *c, size_t n)
{
	cs_claim_t **order = cs_alloc (n * sizeof (cs_claim_t *));
	size_t at = 0;
	const cs_answer_t *a;
	DL_FOREACH (c->answers, a) {
		order[at++] = a->claim;
	}
	size_t answers = at;
	for (cs_claim_t *p = c->by_key; p; p = p->hh.next)
		if (!p->answer)
			order[at++] = p;
	qsort ((void *)(order + answers), n - answers, sizeof *order, by_offset);
	return order;
}

static void
fill_entry (Cs__ClaimEntry *e, cs_claim_t *claim)
{
	cs__claim_entry__init (e);
	e->key.data = claim->key.bytes;
	e->key.len = sizeof claim->key.bytes;
	e->offset = claim->offset;
	e->incarnation = claim->incarnation;
	e->fingerprint = claim->fingerprint;
	e->request = claim->request;
	e->generation = claim->generation;
	e->state = claim->state;
	e->status = claim->status;
	const cs_answer_t *a = claim->answer;
	if (!a)
		return;
	e->unsealed = true;
	e->has_answer = a->has_answer;
	e->content_type = cs_str_dup (cs_str_n (a->bytes, a->content_type_n));
	e->answer.data = (uint8_t *)a->bytes + a->content_type_n;
	e->answer.len = a->answer_n;
	e->answer_digest = a->digest;
	e->holder = a->holder;
}

void
cs_claims_save (const cs_claims_t *c, cs_buf_t *out)
{
	size_t n = HASH_COUNT (c->by_key);
	cs_claim_t **order = sort_claims (c, n);
	Cs__ClaimEntry *entries = cs_alloc (n * sizeof *entries);
	Cs__ClaimsState m = CS__CLAIMS_STATE__INIT;
	m.generation = c->generation;
	m.n_claims = n;
	m.claims = cs_alloc (n * sizeof (Cs__ClaimEntry *));
	for (size_t i = 0; i < n; i++) {
		fill_entry (&entries[i], order[i]);
		m.claims[i] = &entries[i];
	}
	cs_pack (&m.base, out);
	for (size_t i = 0; i < n; i++)
		if (entries[i].unsealed)
			free (entries[i].content_type);
	free ((void *)order);
	free (entries);
	free ((void *)m.claims);
}

static cs_status_t
restore_claim (cs_claims_t *c, const Cs__ClaimEntry *e)
{
	cs_claim_key_t key;
	if (e->key.len != sizeof key.bytes || e->state < CS_CLAIM_OPEN || e->state > CS_CLAIM_RAN)
		return cs_fail (CS_INVALID, "the snapshot has a claim with a wrong key or state");
	memcpy (key.bytes, e->key.data, sizeof key.bytes);
	if (cs_claims_find (c, &key))
		return cs_fail (CS_INVALID, "the snapshot has a key twice");
	cs_claim_t *claim = cs_claims_add (c, &key);
	claim->offset = e->offset;
	claim->incarnation = e->incarnation;
	claim->fingerprint = e->fingerprint;
	claim->request = e->request;
	claim->generation = (uint32_t)e->generation;
	claim->status = e->status;
	cs_claims_set_state (c, claim, (cs_claim_state_t)e->state);
	if (claim->state != CS_CLAIM_RAN || !e->unsealed)
		return CS_OK;
	cs_claim_view_t answer = {
		.has_answer = e->has_answer,
		.content_type = cs_str (e->content_type),
		.answer = cs_str_n ((const char *)e->answer.data, e->answer.len),
		.holder = e->holder,
		.answer_digest = e->answer_digest,
	};
	cs_claims_set_answer (c, claim, &answer);
	return CS_OK;
}

cs_status_t
cs_claims_restore (cs_claims_t *c, cs_str_t bytes)
{
	cs_claims_clear (c);
	Cs__ClaimsState *m = cs__claims_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!m)
		return cs_fail (CS_INVALID, "the snapshot of claims is damaged");
	cs_status_t status = CS_OK;
	for (size_t i = 0; i < m->n_claims && status == CS_OK; i++)
		status = restore_claim (c, m->claims[i]);
	c->generation = m->generation;
	cs__claims_state__free_unpacked (m, NULL);
	if (status != CS_OK)
		cs_claims_clear (c);
	return status;
}
