/* Claimant side of forwarding: replies of homes, and the fallback to the local state. */
#include <string.h>

#include "claimant_impl.h"

enum {
	GIVEN_UP_MS = 60000 /* longest time to repeat the ClaimRequest of a refused submission */
};

/* First id of submissions made for orphaned claims (own claims without a submission); above
 * all ids of other submissions. */
static const uint64_t first_orphan_id = 1ULL << 63;

cs_shard_view_t
cs_claimant_newest_view (const cs_submission_t *s, const cs_shard_view_t *shard_view,
			 cs_claim_view_t *v)
{
	cs_shard_view_t known = *shard_view;
	if (!s->has_reply ||
	    (shard_view->is_contiguous && shard_view->next_offset >= s->reply_next)) {
		cs_claims_lookup (shard_view->claims, &s->key, v);
		return known;
	}
	*v = s->reply_view;
	known.is_contiguous = true;
	known.read_sent_ms = s->reply_asked_ms;
	known.next_offset = s->reply_next;
	return known;
}

cs_claimant_shard_t *
cs_claimant_shard (cs_claimant_t *c, uint32_t shard)
{
	if (shard >= c->n_shards) {
		c->shards = cs_realloc (c->shards, (shard + 1) * sizeof *c->shards);
		memset (c->shards + c->n_shards, 0, (shard + 1 - c->n_shards) * sizeof *c->shards);
		c->n_shards = shard + 1;
	}
	return &c->shards[shard];
}

bool
cs_claimant_may_be_settled (const cs_claimant_t *c, uint32_t shard, uint64_t offset)
{
	if (c->options.disabled & CS_CLAIMANT_NO_SETTLED_CHECK)
		return false;
	return shard < c->n_shards && offset < c->shards[shard].settled_end;
}

void
cs_claimant_read_shard_if_no_reply (cs_claimant_t *c, int64_t now_ms, const cs_submission_t *s,
				    const cs_shard_view_t *shard_view)
{
	if (c->options.disabled & CS_CLAIMANT_NO_FALL_BACK)
		return;
	if (shard_view->home && s->forwarded && now_ms - s->forwarded_ms >= c->options.forward_ms)
		cs_claimant_queue_action (c, CS_CLAIM_DO_READ_SHARD, s->id)->shard = s->shard;
}

void
cs_claimant_step_given_up (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
			   const cs_shard_view_t *local_view)
{
	cs_claim_view_t v;
	const cs_shard_view_t shard_view = cs_claimant_newest_view (s, local_view, &v);
	if (shard_view.is_contiguous && cs_claimant_is_own_claim (c, s, &v) &&
	    v.state == CS_CLAIM_OPEN) {
		s->claim_offset = v.offset;
		if (c->options.disabled & CS_CLAIMANT_NO_ABANDON)
			cs_claimant_dispatch (c, s);
		else
			cs_claimant_end_submission (c, now_ms, s, CS__OUTCOME_KIND__OUTCOME_NOT_RUN,
						    &shard_view);
	} else if (!s->forwarded || local_view->is_contiguous ||
		   now_ms >= s->arrival_ms + c->options.claim_ms + GIVEN_UP_MS) {
		cs_claimant_remove_submission (c, s);
	} else if (now_ms >= s->next_append_ms) {
		cs_claimant_queue_claim (c, now_ms, s, &shard_view);
		s->next_append_ms = now_ms + c->options.append_ms;
	}
}

static cs_submission_t *
find_by_ticket (const cs_claimant_t *c, const cs_claim_reply_t *r)
{
	for (cs_submission_t *s = c->by_id; s; s = s->hh.next)
		if (s->ticket == r->ticket && !memcmp (&s->key, &r->key, sizeof s->key))
			return s;
	return NULL;
}

void
cs_claimant_abandon_orphan (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
			    const cs_claim_key_t *key, const cs_claim_view_t *v,
			    const cs_shard_view_t *shard_view)
{
	if (v->state != CS_CLAIM_OPEN || v->incarnation != c->options.incarnation ||
	    cs_claimant_find_request (c, v->request) ||
	    cs_claimant_may_be_settled (c, shard, v->offset))
		return;
	cs_submission_t *s =
		cs_claimant_add_submission (c, first_orphan_id + c->next_orphan++, cs_str (""));
	s->key = *key;
	s->fingerprint = v->fingerprint;
	s->request_hash = v->request;
	s->shard = shard;
	s->claim_offset = v->offset;
	s->without_caller = true;
	s->deadline_ms = INT64_MAX;
	if (c->options.disabled & CS_CLAIMANT_NO_ABANDON)
		cs_claimant_dispatch (c, s);
	else
		cs_claimant_end_submission (c, now_ms, s, CS__OUTCOME_KIND__OUTCOME_NOT_RUN,
					    shard_view);
}

void
cs_claimant_apply_own_claim (cs_claimant_t *c, int64_t now_ms, uint32_t shard, uint64_t offset,
			     const Cs__Claim *claim, const cs_shard_view_t *shard_view)
{
	cs_claim_key_t key;
	cs_claim_view_t v;
	if (claim->key.len != sizeof key.bytes)
		return;
	memcpy (key.bytes, claim->key.data, sizeof key.bytes);
	cs_claims_lookup (shard_view->claims, &key, &v);
	if (v.offset == offset)
		cs_claimant_abandon_orphan (c, now_ms, shard, &key, &v, shard_view);
}

void
cs_claimant_handle_reply (cs_claimant_t *c, int64_t now_ms, const cs_claim_reply_t *reply,
			  const cs_shard_view_t *shard_view)
{
	if (reply->requester != c->options.incarnation)
		return;
	cs_submission_t *s = find_by_ticket (c, reply);
	if (!s) {
		cs_claimant_abandon_orphan (c, now_ms, reply->shard, &reply->key, &reply->view,
					    shard_view);
		return;
	}
	if (s->has_reply && reply->next_offset < s->reply_next)
		return;
	uint64_t id = s->id;
	s->forwarded = false;
	s->has_reply = true;
	s->reply_next = reply->next_offset;
	s->reply_asked_ms = s->forwarded_ms;
	s->reply_view = reply->view;
	cs_claimant_step_submission (c, now_ms, s, shard_view);
	HASH_FIND (hh, c->by_id, &id, sizeof id, s);
	if (!s)
		return;
	/* The strings belong to the caller of this function and are not needed any more. */
	s->reply_view.has_answer = false;
	s->reply_view.content_type = cs_str ("");
	s->reply_view.answer = cs_str ("");
}

/* Records when the current generation of the shard was first seen. */
void
cs_claimant_observe_generation (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
				const cs_shard_view_t *shard_view)
{
	cs_claimant_shard_t *tracked = cs_claimant_shard (c, shard);
	if (tracked->generation == shard_view->claims->generation)
		return;
	tracked->generation = shard_view->claims->generation;
	tracked->generation_since_ms = now_ms;
}

/* Returns the next generation once the current one has lasted for generation_ms. */
uint64_t
cs_claimant_generation (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
			const cs_shard_view_t *shard_view)
{
	cs_claimant_observe_generation (c, now_ms, shard, shard_view);
	const cs_claimant_shard_t *tracked = cs_claimant_shard (c, shard);
	return tracked->generation +
	       (now_ms - tracked->generation_since_ms >= c->options.generation_ms ? 1 : 0);
}
