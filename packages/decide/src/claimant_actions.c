#include <stdlib.h>
#include <string.h>

#include "claimant_impl.h"
#include "cs/hash.h"

cs_claim_action_t *
cs_claimant_queue_action (cs_claimant_t *c, cs_claim_action_kind_t kind, uint64_t id)
{
	cs_claim_action_t *a = cs_alloc (sizeof *a);
	a->kind = kind;
	a->id = id;
	if (c->tail)
		c->tail->next = a;
	else
		c->head = a;
	c->tail = a;
	return a;
}

cs_claim_action_t *
cs_claimant_next_action (cs_claimant_t *c)
{
	cs_claim_action_t *a = c->head;
	if (!a)
		return NULL;
	c->head = a->next;
	if (!c->head)
		c->tail = NULL;
	a->next = NULL;
	return a;
}

void
cs_claim_action_free (cs_claim_action_t *a)
{
	if (!a)
		return;
	free (a->storage);
	free (a);
}

/* Copies both strings into a->storage, each NUL-terminated. */
static char *
store_strings (cs_claim_action_t *a, cs_str_t first, cs_str_t second, char **second_at)
{
	a->storage = cs_alloc (first.n + second.n + 2);
	memcpy (a->storage, first.p, first.n);
	*second_at = a->storage + first.n + 1;
	memcpy (*second_at, second.p, second.n);
	return a->storage;
}

static cs_claim_action_t *
queue_record (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
	      const cs_shard_view_t *shard_view)
{
	bool forward = shard_view->home != 0;
	cs_claim_action_t *a = cs_claimant_queue_action (
		c, forward ? CS_CLAIM_DO_FORWARD : CS_CLAIM_DO_APPEND, s->id);
	if (!forward || !s->forwarded) { /* a repeated ClaimRequest keeps its ticket */
		s->ticket = ++c->next_ticket;
		s->forwarded_ms = now_ms;
	}
	s->forwarded = forward;
	s->next_append_ms = now_ms + (forward ? c->options.resend_ms : c->options.append_ms);
	a->shard = s->shard;
	a->home = shard_view->home;
	a->ticket = s->ticket;
	cs__record__init (&a->record);
	return a;
}

void
cs_claimant_queue_claim (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
			 const cs_shard_view_t *shard_view)
{
	if (shard_view->is_catching_up)
		return;
	cs_claim_action_t *a = queue_record (c, now_ms, s, shard_view);
	char *key;
	cs__claim__init (&a->claim);
	a->claim.request_id =
		store_strings (a, cs_str (s->request_id),
			       cs_str_n ((const char *)s->key.bytes, sizeof s->key.bytes), &key);
	a->claim.key.data = (uint8_t *)key;
	a->claim.key.len = sizeof s->key.bytes;
	a->claim.fingerprint = s->fingerprint;
	if (!shard_view->home) /* the home sets the generation of forwarded claims */
		a->claim.generation = cs_claimant_generation (c, now_ms, s->shard, shard_view);
	a->record.body_case = CS__RECORD__BODY_CLAIM;
	a->record.claim = &a->claim;
}

static void
fill_ran_outcome (cs_claimant_t *c, cs_claim_action_t *a, const cs_submission_t *s, char *rest)
{
	Cs__Outcome *o = &a->outcome;
	o->status = s->status;
	o->content_type = a->storage;
	if (s->answer.n <= CS_CLAIM_ANSWER_BYTES) {
		o->body.data = (uint8_t *)rest + sizeof s->key.bytes;
		o->body.len = s->answer.n;
		return;
	}
	uint64_t digest = cs_hash (cs_buf_str (&s->answer));
	memcpy (rest + sizeof s->key.bytes, &digest, sizeof digest);
	o->body_digest.data = (uint8_t *)rest + sizeof s->key.bytes;
	o->body_digest.len = sizeof digest;
	o->holder = c->options.incarnation;
}

void
cs_claimant_queue_outcome (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
			   const cs_shard_view_t *shard_view)
{
	if (shard_view->is_catching_up)
		return;
	cs_claim_action_t *a = queue_record (c, now_ms, s, shard_view);
	cs_buf_t rest;
	char *at;
	cs_buf_init (&rest);
	cs_buf_add (&rest, cs_str_n ((const char *)s->key.bytes, sizeof s->key.bytes));
	cs_buf_reserve (&rest, sizeof (uint64_t));
	if (s->answer.n <= CS_CLAIM_ANSWER_BYTES)
		cs_buf_add (&rest, cs_buf_str (&s->answer));
	else
		rest.n += sizeof (uint64_t);
	store_strings (a, cs_str (s->content_type), cs_buf_str (&rest), &at);
	cs_buf_finish (&rest);
	cs__outcome__init (&a->outcome);
	a->outcome.key.data = (uint8_t *)at;
	a->outcome.key.len = sizeof s->key.bytes;
	a->outcome.claim = s->claim_offset;
	a->outcome.kind = s->kind;
	if (s->kind == CS__OUTCOME_KIND__OUTCOME_RAN)
		fill_ran_outcome (c, a, s, at);
	a->record.body_case = CS__RECORD__BODY_OUTCOME;
	a->record.outcome = &a->outcome;
}

void
cs_claimant_queue_answer (cs_claimant_t *c, const cs_submission_t *s, uint32_t status,
			  cs_str_t content_type, cs_str_t answer, bool kept)
{
	char *at;
	if (s->without_caller)
		return;
	cs_claim_action_t *a = cs_claimant_queue_action (c, CS_CLAIM_DO_ANSWER, s->id);
	store_strings (a, content_type, answer, &at);
	a->status = status;
	a->content_type = cs_str_n (a->storage, content_type.n);
	a->answer = cs_str_n (at, answer.n);
	a->is_kept = kept;
}

void
cs_claimant_queue_refusal (cs_claimant_t *c, const cs_submission_t *s, cs_claim_refusal_t refusal,
			   cs_claim_reported_t reported, int64_t retry_after_ms, uint64_t holder)
{
	if (s->without_caller)
		return;
	cs_claim_action_t *a = cs_claimant_queue_action (c, CS_CLAIM_DO_REFUSE, s->id);
	a->refusal = refusal;
	a->reported_outcome = reported;
	a->retry_after_ms = retry_after_ms;
	a->holder = holder;
}

int
cs_claim_refusal_status (cs_claim_refusal_t r)
{
	static const int status[] = {
		[CS_CLAIM_CONFLICT] = 409,         [CS_CLAIM_KEY_EXPIRED] = 409,
		[CS_CLAIM_IN_PROGRESS] = 409,      [CS_CLAIM_NO_OUTCOME] = 504,
		[CS_CLAIM_NO_LOG] = 503,           [CS_CLAIM_NO_BACKEND] = 503,
		[CS_CLAIM_NO_ANSWER] = 409,        [CS_CLAIM_BUSY] = 503,
		[CS_CLAIM_CRASHES_REPLICAS] = 422, [CS_CLAIM_OVERLOADED] = 503,
	};
	return status[r];
}

const char *
cs_claim_refusal_type (cs_claim_refusal_t r)
{
	static const char *const types[] = {
		[CS_CLAIM_CONFLICT] = "key-conflict",
		[CS_CLAIM_KEY_EXPIRED] = "key-expired",
		[CS_CLAIM_IN_PROGRESS] = "key-in-progress",
		[CS_CLAIM_NO_OUTCOME] = "outcome-unknown",
		[CS_CLAIM_NO_LOG] = "log-unavailable",
		[CS_CLAIM_NO_BACKEND] = "no-back-end",
		[CS_CLAIM_NO_ANSWER] = "answer-not-kept",
		[CS_CLAIM_BUSY] = "too-many-protected-requests",
		[CS_CLAIM_CRASHES_REPLICAS] = "request-refused",
		[CS_CLAIM_OVERLOADED] = "overloaded",
	};
	return types[r];
}
