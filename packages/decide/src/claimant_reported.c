#include "claimant_impl.h"

bool
cs_claimant_is_own_claim (const cs_claimant_t *c, const cs_submission_t *s,
			  const cs_claim_view_t *v)
{
	return v->state != CS_CLAIM_NONE && v->state != CS_CLAIM_EXPIRED &&
	       v->incarnation == c->options.incarnation && v->request == s->request_hash;
}

bool
cs_claimant_is_claimable (cs_claim_state_t state)
{
	return state == CS_CLAIM_NONE || state == CS_CLAIM_NOT_RUN;
}

cs_submission_t *
cs_claimant_find_request (const cs_claimant_t *c, uint64_t request)
{
	for (cs_submission_t *s = c->by_id; s; s = s->hh.next)
		if (s->request_hash == request)
			return s;
	return NULL;
}

/* Whether v is an open claim of this incarnation that will never be dispatched. */
static bool
is_abandoned (const cs_claimant_t *c, uint32_t shard, const cs_claim_view_t *v)
{
	if (v->state != CS_CLAIM_OPEN || v->incarnation != c->options.incarnation)
		return false;
	const cs_submission_t *s = cs_claimant_find_request (c, v->request);
	if (!s)
		return !cs_claimant_may_be_settled (c, shard, v->offset);
	return s->state == CS_SUB_GIVEN_UP ||
	       (s->state == CS_SUB_ENDED && s->kind == CS__OUTCOME_KIND__OUTCOME_NOT_RUN);
}

cs_claim_reported_t
cs_claimant_reportable_outcome (const cs_claimant_t *c, const cs_submission_t *s,
				const cs_shard_view_t *shard_view, const cs_claim_view_t *v)
{
	if (v->state == CS_CLAIM_RAN)
		return CS_CLAIM_REPORTED_RAN;
	if (shard_view->is_contiguous && cs_claimant_is_own_claim (c, s, v))
		return CS_CLAIM_REPORTED_NOT_RUN;
	bool is_current = shard_view->is_contiguous && shard_view->read_sent_ms >= s->arrival_ms;
	if (!is_current && !(c->options.disabled & CS_CLAIMANT_NO_CURRENT_STATE))
		return CS_CLAIM_REPORTED_UNKNOWN;
	if (cs_claimant_is_claimable (v->state) || is_abandoned (c, s->shard, v))
		return CS_CLAIM_REPORTED_NOT_RUN;
	return CS_CLAIM_REPORTED_UNKNOWN;
}
