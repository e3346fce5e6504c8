#include "cs/claimant.h"

#include <stdlib.h>
#include <string.h>

#include "claimant_impl.h"
#include "cs/hash.h"

/* Defaults of cs_claimant_options_t, and the Retry-After of refusals. */
enum {
	CLAIM_MS = 3000,
	WAIT_MS = 2000,
	RETRY_MS = 200,
	APPEND_MS = 1000,
	RESEND_MS = 200,
	FORWARD_MS = 1000,
	GENERATION_MS = 3600 * 1000,
	MAX_ATTEMPTS = 3,
	MAX_SUBMISSIONS = 4096,
	RETRY_AFTER_MS = 1000
};

static uint32_t
value_or_default (uint32_t value, uint32_t otherwise)
{
	return value ? value : otherwise;
}

void
cs_claimant_init (cs_claimant_t *c, const cs_claimant_options_t *options)
{
	memset (c, 0, sizeof *c);
	cs_claimant_options_t *o = &c->options;
	*o = *options;
	o->claim_ms = value_or_default (o->claim_ms, CLAIM_MS);
	o->wait_ms = value_or_default (o->wait_ms, WAIT_MS);
	o->retry_ms = value_or_default (o->retry_ms, RETRY_MS);
	o->append_ms = value_or_default (o->append_ms, APPEND_MS);
	o->resend_ms = value_or_default (o->resend_ms, RESEND_MS);
	o->forward_ms = value_or_default (o->forward_ms, FORWARD_MS);
	o->generation_ms = value_or_default (o->generation_ms, GENERATION_MS);
	o->max_attempts = value_or_default (o->max_attempts, MAX_ATTEMPTS);
	o->max_submissions = value_or_default (o->max_submissions, MAX_SUBMISSIONS);
}

void
cs_claimant_remove_submission (cs_claimant_t *c, cs_submission_t *s)
{
	HASH_DEL (c->by_id, s);
	c->n_submissions--;
	free (s->request_id);
	free (s->content_type);
	cs_buf_finish (&s->answer);
	free (s);
}

void
cs_claimant_finish (cs_claimant_t *c)
{
	cs_submission_t *s, *next;
	HASH_ITER (hh, c->by_id, s, next) {
		cs_claimant_remove_submission (c, s);
	}
	for (cs_claim_action_t *a = cs_claimant_next_action (c); a; a = cs_claimant_next_action (c))
		cs_claim_action_free (a);
	free (c->shards);
}

static bool
is_disabled (const cs_claimant_t *c, cs_claimant_disabled_t what)
{
	return c->options.disabled & what;
}

static bool
is_joined (const cs_claimant_t *c, uint64_t incarnation)
{
	return !c->options.joined || c->options.joined (c->options.joined_arg, incarnation);
}

/* Drops a submission that was never dispatched, unless a home may still append its claim. */
static void
give_up_submission (cs_claimant_t *c, cs_submission_t *s)
{
	if (!s->forwarded || is_disabled (c, CS_CLAIMANT_NO_GIVEN_UP)) {
		cs_claimant_remove_submission (c, s);
		return;
	}
	s->without_caller = true;
	s->state = CS_SUB_GIVEN_UP;
}

/* Refuses a submission that was never dispatched and drops it. If its claim is applied later,
 * cs_claimant_apply_own_claim finds no submission and writes `not-run`. */
static void
refuse_submission (cs_claimant_t *c, cs_submission_t *s, cs_claim_refusal_t refusal,
		   cs_claim_reported_t reported, int64_t retry_after_ms, uint64_t holder)
{
	cs_claimant_queue_refusal (c, s, refusal, reported, retry_after_ms, holder);
	give_up_submission (c, s);
}

void
cs_claimant_end_submission (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
			    Cs__OutcomeKind kind, const cs_shard_view_t *shard_view)
{
	s->state = CS_SUB_ENDED;
	s->kind = kind;
	s->forwarded = false;
	cs_claimant_queue_outcome (c, now_ms, s, shard_view);
}

static bool
is_past_deadline (const cs_claimant_t *c, const cs_submission_t *s, int64_t now_ms)
{
	return now_ms >= s->arrival_ms + c->options.claim_ms || now_ms >= s->deadline_ms;
}

void
cs_claimant_dispatch (cs_claimant_t *c, cs_submission_t *s)
{
	s->state = CS_SUB_RUNNING;
	s->attempt++;
	cs_claim_action_t *a = cs_claimant_queue_action (c, CS_CLAIM_DO_DISPATCH, s->id);
	a->attempt = s->attempt;
	a->shard = s->shard;
}

/* The own claim stands: dispatches the request, or abandons the claim if it is late. */
static void
step_own_claim (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
		const cs_shard_view_t *shard_view, const cs_claim_view_t *v)
{
	s->claim_offset = v->offset;
	if (v->state == CS_CLAIM_OPEN && !is_past_deadline (c, s, now_ms)) {
		cs_claimant_dispatch (c, s);
		return;
	}
	cs_claimant_queue_refusal (c, s, CS_CLAIM_NO_LOG,
				   cs_claimant_reportable_outcome (c, s, shard_view, v),
				   RETRY_AFTER_MS, 0);
	s->without_caller = true;
	cs_claimant_end_submission (c, now_ms, s, CS__OUTCOME_KIND__OUTCOME_NOT_RUN, shard_view);
}

/* Another claim stands: reports its outcome, or waits for one. */
static void
step_other_claim (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
		  const cs_shard_view_t *shard_view, const cs_claim_view_t *v)
{
	bool claimant_left = v->state == CS_CLAIM_OPEN && !is_joined (c, v->incarnation);
	if (v->state == CS_CLAIM_RAN && v->has_answer) {
		cs_claimant_queue_answer (c, s, v->status, v->content_type, v->answer, true);
		cs_claimant_remove_submission (c, s);
		return;
	}
	if (v->state == CS_CLAIM_RAN) {
		refuse_submission (c, s, CS_CLAIM_NO_ANSWER, CS_CLAIM_REPORTED_RAN, 0, v->holder);
		return;
	}
	if (v->state == CS_CLAIM_UNKNOWN || claimant_left) {
		refuse_submission (c, s, CS_CLAIM_NO_OUTCOME, CS_CLAIM_REPORTED_UNKNOWN,
				   c->options.wait_ms, 0);
		return;
	}
	if (s->state != CS_SUB_WAITING) {
		s->state = CS_SUB_WAITING;
		s->wait_until_ms = now_ms + c->options.wait_ms;
	}
	if (now_ms >= s->wait_until_ms || now_ms >= s->deadline_ms)
		refuse_submission (c, s, CS_CLAIM_IN_PROGRESS,
				   cs_claimant_reportable_outcome (c, s, shard_view, v),
				   RETRY_AFTER_MS, 0);
}

static void
step_claim (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s, const cs_shard_view_t *shard_view,
	    const cs_claim_view_t *v)
{
	if (s->state == CS_SUB_WAITING)
		s->next_append_ms = now_ms;
	s->state = CS_SUB_CLAIMING;
	if (is_past_deadline (c, s, now_ms)) {
		refuse_submission (c, s, CS_CLAIM_NO_LOG,
				   cs_claimant_reportable_outcome (c, s, shard_view, v),
				   RETRY_AFTER_MS, 0);
		return;
	}
	if (now_ms >= s->next_append_ms)
		cs_claimant_queue_claim (c, now_ms, s, shard_view);
	cs_claimant_read_shard_if_no_reply (c, now_ms, s, shard_view);
	if (is_disabled (c, CS_CLAIMANT_NO_CLAIM_BEFORE_DISPATCH))
		cs_claimant_dispatch (c, s);
}

/* Handles a submission that is not dispatched yet, by the state of its key. */
static void
step_undispatched (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
		   const cs_shard_view_t *local_view)
{
	cs_claim_view_t v;
	const cs_shard_view_t known = cs_claimant_newest_view (s, local_view, &v);
	const cs_shard_view_t *shard_view = &known;
	if (!shard_view->is_contiguous) {
		if (is_past_deadline (c, s, now_ms))
			refuse_submission (c, s, CS_CLAIM_NO_LOG, CS_CLAIM_REPORTED_UNKNOWN,
					   RETRY_AFTER_MS, 0);
		else if (shard_view->home)
			step_claim (c, now_ms, s, shard_view, &v);
		return;
	}
	bool other_body = v.fingerprint != s->fingerprint &&
			  !(shard_view->claims->options.disabled & CS_CLAIMS_NO_FINGERPRINT_CHECK);
	if (v.state == CS_CLAIM_EXPIRED)
		refuse_submission (c, s, CS_CLAIM_KEY_EXPIRED, CS_CLAIM_REPORTED_UNKNOWN, 0, 0);
	else if (v.state != CS_CLAIM_NONE && other_body)
		refuse_submission (c, s, CS_CLAIM_CONFLICT,
				   cs_claimant_reportable_outcome (c, s, shard_view, &v), 0, 0);
	else if (cs_claimant_is_claimable (v.state))
		step_claim (c, now_ms, s, shard_view, &v);
	else if (cs_claimant_is_own_claim (c, s, &v))
		step_own_claim (c, now_ms, s, shard_view, &v);
	else
		step_other_claim (c, now_ms, s, shard_view, &v);
}

/* Handles an ended submission: appends the outcome again until the shard view shows one. */
static void
step_ended (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s, const cs_shard_view_t *local_view)
{
	cs_claim_view_t v;
	const cs_shard_view_t shard_view = cs_claimant_newest_view (s, local_view, &v);
	if (!shard_view.is_contiguous && !shard_view.home)
		return;
	bool is_settled =
		shard_view.is_contiguous &&
		(!cs_claimant_is_own_claim (c, s, &v) || v.state == CS_CLAIM_RAN ||
		 v.state == CS_CLAIM_NOT_RUN ||
		 (v.state == CS_CLAIM_UNKNOWN && s->kind == CS__OUTCOME_KIND__OUTCOME_UNKNOWN));
	if (is_settled) {
		cs_claimant_shard_t *shard = cs_claimant_shard (c, s->shard);
		if (shard_view.next_offset > shard->settled_end)
			shard->settled_end = shard_view.next_offset;
		cs_claimant_remove_submission (c, s);
		return;
	}
	if (now_ms >= s->next_append_ms)
		cs_claimant_queue_outcome (c, now_ms, s, &shard_view);
	cs_claimant_read_shard_if_no_reply (c, now_ms, s, &shard_view);
}

void
cs_claimant_step_submission (cs_claimant_t *c, int64_t now_ms, cs_submission_t *s,
			     const cs_shard_view_t *shard_view)
{
	if (s->state == CS_SUB_ENDED)
		step_ended (c, now_ms, s, shard_view);
	else if (s->state == CS_SUB_GIVEN_UP)
		cs_claimant_step_given_up (c, now_ms, s, shard_view);
	else if (s->state != CS_SUB_RUNNING)
		step_undispatched (c, now_ms, s, shard_view);
}

cs_submission_t *
cs_claimant_add_submission (cs_claimant_t *c, uint64_t id, cs_str_t request_id)
{
	cs_submission_t *s = cs_alloc (sizeof *s);
	s->id = id;
	s->request_id = cs_str_dup (request_id);
	s->request_hash = cs_hash (request_id);
	cs_buf_init (&s->answer);
	HASH_ADD (hh, c->by_id, id, sizeof s->id, s);
	c->n_submissions++;
	return s;
}

void
cs_claimant_submit (cs_claimant_t *c, int64_t now_ms, const cs_claim_submit_t *submit,
		    const cs_shard_view_t *shard_view)
{
	cs_claimant_observe_generation (c, now_ms, submit->shard, shard_view);
	cs_submission_t *s = cs_claimant_add_submission (c, submit->id, submit->request_id);
	s->key = submit->key;
	s->fingerprint = submit->fingerprint;
	s->shard = submit->shard;
	s->arrival_ms = now_ms;
	s->deadline_ms = submit->deadline_ms ? submit->deadline_ms : INT64_MAX;
	if (c->n_submissions > c->options.max_submissions) {
		cs_claim_view_t v;
		cs_shard_view_t known = cs_claimant_newest_view (s, shard_view, &v);
		refuse_submission (c, s, CS_CLAIM_BUSY,
				   cs_claimant_reportable_outcome (c, s, &known, &v),
				   RETRY_AFTER_MS, 0);
		return;
	}
	cs_claimant_step_submission (c, now_ms, s, shard_view);
}

void
cs_claimant_appended (cs_claimant_t *c, int64_t now_ms, uint64_t ticket, cs_status_t status)
{
	if (status == CS_OK || status == CS_UNKNOWN)
		return;
	for (cs_submission_t *s = c->by_id; s; s = s->hh.next)
		if (s->ticket == ticket)
			s->next_append_ms = now_ms + c->options.retry_ms;
}

void
cs_claimant_applied (cs_claimant_t *c, int64_t now_ms, uint32_t shard,
		     const cs_shard_view_t *shard_view)
{
	cs_submission_t *s, *next;
	cs_claimant_observe_generation (c, now_ms, shard, shard_view);
	HASH_ITER (hh, c->by_id, s, next) {
		if (s->shard == shard)
			cs_claimant_step_submission (c, now_ms, s, shard_view);
	}
}

/* A retry is safe only if the result proves that no byte was sent. */
static bool
may_retry (const cs_claimant_t *c, const cs_submission_t *s, int64_t now_ms,
	   cs_claim_result_t result)
{
	bool is_proved_unsent =
		result == CS_CLAIM_RESULT_NOT_SENT || is_disabled (c, CS_CLAIMANT_NO_SENT_CHECK);
	return is_proved_unsent && result != CS_CLAIM_RESULT_COMPLETE && !s->without_caller &&
	       s->attempt < c->options.max_attempts && now_ms < s->deadline_ms;
}

static void
store_answer (cs_submission_t *s, uint32_t status, cs_str_t content_type, cs_str_t answer)
{
	s->status = status;
	s->content_type = cs_str_dup (content_type);
	cs_buf_add (&s->answer, answer);
}

/* The refusal for a request that did not run. */
static cs_claim_refusal_t
refusal_for_result (cs_claim_result_t result)
{
	if (result == CS_CLAIM_RESULT_BLOCKED)
		return CS_CLAIM_CRASHES_REPLICAS;
	return result == CS_CLAIM_RESULT_BUSY ? CS_CLAIM_OVERLOADED : CS_CLAIM_NO_BACKEND;
}

void
cs_claimant_attempt_end (cs_claimant_t *c, int64_t now_ms, uint64_t id, uint32_t attempt,
			 cs_claim_result_t result, uint32_t status, cs_str_t content_type,
			 cs_str_t answer, const cs_shard_view_t *shard_view)
{
	cs_submission_t *s;
	HASH_FIND (hh, c->by_id, &id, sizeof id, s);
	if (!s || s->state != CS_SUB_RUNNING)
		return;
	if (s->attempt != attempt && !is_disabled (c, CS_CLAIMANT_NO_ATTEMPT_CHECK))
		return;
	if (may_retry (c, s, now_ms, result)) {
		cs_claimant_dispatch (c, s);
		return;
	}
	if (result == CS_CLAIM_RESULT_COMPLETE) {
		store_answer (s, status, content_type, answer);
		cs_claimant_end_submission (c, now_ms, s, CS__OUTCOME_KIND__OUTCOME_RAN,
					    shard_view);
		cs_claimant_queue_answer (c, s, status, content_type, answer, false);
		return;
	}
	if (result == CS_CLAIM_RESULT_LOST) {
		cs_claimant_end_submission (c, now_ms, s, CS__OUTCOME_KIND__OUTCOME_UNKNOWN,
					    shard_view);
		cs_claimant_queue_refusal (c, s, CS_CLAIM_NO_OUTCOME, CS_CLAIM_REPORTED_UNKNOWN,
					   c->options.wait_ms, 0);
		return;
	}
	cs_claimant_end_submission (c, now_ms, s, CS__OUTCOME_KIND__OUTCOME_NOT_RUN, shard_view);
	bool is_blocked = result == CS_CLAIM_RESULT_BLOCKED;
	cs_claimant_queue_refusal (c, s, refusal_for_result (result), CS_CLAIM_REPORTED_NOT_RUN,
				   is_blocked ? 0 : RETRY_AFTER_MS, 0);
}

void
cs_claimant_caller_left (cs_claimant_t *c, uint64_t id)
{
	cs_submission_t *s;
	HASH_FIND (hh, c->by_id, &id, sizeof id, s);
	if (!s)
		return;
	s->without_caller = true;
	if (s->state == CS_SUB_CLAIMING || s->state == CS_SUB_WAITING)
		give_up_submission (c, s);
}

void
cs_claimant_tick (cs_claimant_t *c, int64_t now_ms, const cs_shard_view_t *shard_views,
		  size_t n_shard_views)
{
	cs_submission_t *s, *next;
	HASH_ITER (hh, c->by_id, s, next) {
		if (s->shard < n_shard_views)
			cs_claimant_step_submission (c, now_ms, s, &shard_views[s->shard]);
	}
}
