/* Protected requests: submits them to the claimant and executes the claimant's actions. */
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	MAX_SHARDS = 1024 /* upper bound of claim_shards in the settings */
};

cs_shard_view_t
protect_shard_view (const stream_t *s)
{
	bool whole = s->is_followed && s->applier.caught_up && !s->applier.needs_snapshot;
	cs_shard_view_t shard_view = {
		.claims = &s->claims,
		.is_contiguous = whole,
		.read_sent_ms = s->applier.current_read_sent_ms,
		.is_catching_up = s->is_followed && !whole,
		.next_offset = s->applier.next_offset,
		.home = s->is_followed ? 0 : s->home,
	};
	return shard_view;
}

void
protect_submit (control_t *c, job_t *j)
{
	const cs_request_t *r = j->request;
	cs_buf_t id = {0};
	cs_claim_submit_t s = {
		.id = j->id,
		.key = cs_claim_key (r->team, cs_str (j->service), r->key),
		.fingerprint = cs_claim_fingerprint (r->method, r->path, r->content_type, r->body),
		.deadline_ms = r->deadline_ms,
	};
	cs_buf_printf (&id, "%016llx-%016llx", (unsigned long long)c->own_incarnation,
		       (unsigned long long)j->id);
	s.shard = cs_claim_shard (&s.key, (uint32_t)c->n_shards);
	s.request_id = cs_buf_str (&id);
	j->shard = s.shard;
	j->state = JOB_CLAIMING;
	homes_prepare_shard (c, &c->shards[s.shard]);
	cs_shard_view_t shard_view = protect_shard_view (&c->shards[s.shard]);
	cs_claimant_submit (&c->claimant, cs_now_ms (), &s, &shard_view);
	cs_buf_finish (&id);
	protect_run (c);
}

void
protect_caller_disconnected (control_t *c, job_t *j)
{
	cs_claimant_caller_left (&c->claimant, j->id);
	if (j->state == JOB_QUEUED)
		protect_not_sent (c, j, CS_UNAVAILABLE);
	if (j->state == JOB_CLAIMING)
		job_end (c, j);
	protect_run (c);
}

/* Result to report to the claimant for an attempt that could not be placed. */
static cs_claim_result_t
unplaced_result (cs_status_t placed)
{
	if (placed == CS_CONFLICT)
		return CS_CLAIM_RESULT_BLOCKED;
	return placed == CS_EXHAUSTED ? CS_CLAIM_RESULT_BUSY : CS_CLAIM_RESULT_NOT_SENT;
}

void
protect_not_sent (control_t *c, job_t *j, cs_status_t placed)
{
	cs_shard_view_t shard_view = protect_shard_view (&c->shards[j->shard]);
	j->state = JOB_CLAIMING;
	cs_claimant_attempt_end (&c->claimant, cs_now_ms (), j->id, j->claim_attempt,
				 unplaced_result (placed), 0, cs_str (""), cs_str (""),
				 &shard_view);
}

static void
do_append (control_t *c, cs_claim_action_t *a)
{
	stream_t *s = &c->shards[a->shard];
	uint64_t ticket = 0;
	if (cs_writer_submit (&s->writer, &a->record, &ticket) != CS_OK) {
		cs_claimant_appended (&c->claimant, cs_now_ms (), a->ticket, CS_UNAVAILABLE);
		return;
	}
	s->tickets = cs_grow (s->tickets, &s->cap_tickets, s->n_tickets + 1, sizeof *s->tickets);
	s->tickets[s->n_tickets++] = (ticket_t){ticket, a->ticket, 0};
}

static void
do_dispatch (control_t *c, const cs_claim_action_t *a)
{
	job_t *j = job_find (c, a->id);
	if (!j) {
		cs_shard_view_t shard_view = protect_shard_view (&c->shards[a->shard]);
		cs_claimant_attempt_end (&c->claimant, cs_now_ms (), a->id, a->attempt,
					 CS_CLAIM_RESULT_NOT_SENT, 0, cs_str (""), cs_str (""),
					 &shard_view);
		return;
	}
	j->claim_attempt = a->attempt;
	if (!job_run (c, j))
		queue_enter (c, j);
}

static void
do_answer (control_t *c, const cs_claim_action_t *a)
{
	job_t *j = job_find (c, a->id);
	cs_buf_t body = {0};
	if (!j)
		return;
	char *type = cs_str_dup (a->content_type);
	cs_buf_add (&body, a->answer);
	if (j->is_caller_disconnected)
		cs_buf_finish (&body);
	else
		answer_complete (c, j->request, (int)a->status, type, &body);
	free (type);
	job_end (c, j);
}

static cs_outcome_t
outcome_from_report (cs_claim_reported_t reported)
{
	if (reported == CS_CLAIM_REPORTED_NOT_RUN)
		return CS_NOT_RUN;
	return reported == CS_CLAIM_REPORTED_RAN ? CS_RAN : CS_MAY_HAVE_RUN;
}

static void
do_refuse (control_t *c, const cs_claim_action_t *a)
{
	static const char *const details[] = {
		[CS_CLAIM_CONFLICT] =
			"the idempotency key was already used with a different request",
		[CS_CLAIM_KEY_EXPIRED] =
			"the idempotency key is older than the window in which keys are stored",
		[CS_CLAIM_IN_PROGRESS] = "another request with this idempotency key is in progress",
		[CS_CLAIM_NO_OUTCOME] = "the request may have run, but its answer was lost",
		[CS_CLAIM_NO_LOG] = "the platform's log did not accept the claim in time",
		[CS_CLAIM_NO_BACKEND] = "no back end accepted the request",
		[CS_CLAIM_NO_ANSWER] = "the request ran, but its answer is no longer stored",
		[CS_CLAIM_BUSY] = "too many protected requests are in progress",
		[CS_CLAIM_CRASHES_REPLICAS] = "this request has crashed the replicas that ran it",
		[CS_CLAIM_OVERLOADED] = "no replica has capacity for the request in time",
	};
	job_t *j = job_find (c, a->id);
	if (!j)
		return;
	int64_t retry_ms =
		a->refusal == CS_CLAIM_OVERLOADED ? j->overload_retry_ms : a->retry_after_ms;
	job_refuse (c, j, cs_claim_refusal_status (a->refusal), cs_claim_refusal_type (a->refusal),
		    outcome_from_report (a->reported_outcome), retry_ms, details[a->refusal]);
}

static void
execute_action (control_t *c, cs_claim_action_t *a)
{
	switch (a->kind) {
	case CS_CLAIM_DO_APPEND:
		do_append (c, a);
		break;
	case CS_CLAIM_DO_FORWARD:
		homes_forward (c, a);
		break;
	case CS_CLAIM_DO_READ_SHARD:
		homes_fall_back (c, a->shard);
		break;
	case CS_CLAIM_DO_DISPATCH:
		do_dispatch (c, a);
		break;
	case CS_CLAIM_DO_ANSWER:
		do_answer (c, a);
		break;
	case CS_CLAIM_DO_REFUSE:
		do_refuse (c, a);
		break;
	}
}

void
protect_run (control_t *c)
{
	cs_claim_action_t *a;
	while ((a = cs_claimant_next_action (&c->claimant))) {
		execute_action (c, a);
		cs_claim_action_free (a);
	}
}

void
protect_attempt_end (control_t *c, job_t *j, cs_attempt_end_msg_t *m)
{
	cs_claim_result_t result = CS_CLAIM_RESULT_LOST;
	if (m->result == CS_END_OK)
		result = CS_CLAIM_RESULT_COMPLETE;
	else if (m->result == CS_END_NOT_SENT)
		result = CS_CLAIM_RESULT_NOT_SENT;
	else if (m->result == CS_END_REFUSED && j->is_model_group)
		result = CS_CLAIM_RESULT_REFUSED;
	uint64_t id = j->id;
	cs_shard_view_t shard_view = protect_shard_view (&c->shards[j->shard]);
	if (j->is_caller_disconnected)
		job_end (c, j);
	else
		j->state = JOB_CLAIMING;
	cs_claimant_attempt_end (&c->claimant, cs_now_ms (), id, m->attempt, result,
				 (uint32_t)m->status,
				 cs_str (m->content_type ? m->content_type : ""),
				 cs_buf_str (&m->body), &shard_view);
	protect_run (c);
}

void
protect_tick (control_t *c, int64_t now)
{
	cs_shard_view_t shard_views[MAX_SHARDS];
	for (size_t i = 0; i < c->n_shards; i++)
		shard_views[i] = protect_shard_view (&c->shards[i]);
	cs_claimant_tick (&c->claimant, now, shard_views, c->n_shards);
	protect_run (c);
}
