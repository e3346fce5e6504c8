/* Handles the end of an attempt: retries, resumption of streams and detection of crashes. */
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	RESUME_WAIT_MS = 4000 /* how long an interrupted stream may wait for a complete replica */
};

static cs_counter_t retries = {.name = "cs_retries_total", .help = "Attempts that were retried."};

/* Ends an answer that the caller has part of with an error, so that the caller sees that the answer
 * is truncated. */
static void
abort_answer (control_t *c, job_t *j)
{
	cs_refuse_msg_t *m = cs_refuse_msg (j->request, 502, "replica-lost", CS_MAY_HAVE_RUN,
					    BROKEN_RETRY_MS / 1000,
					    "the back end failed before the answer was complete");
	cs_send (c->task, c->gateway, &m->msg);
	job_end (c, j);
}

/* Whether the request may have run, given the result of its last attempt. */
static cs_outcome_t
attempt_outcome (const job_t *j, cs_attempt_result_t result)
{
	if (j->tokens || j->is_answer_started)
		return CS_MAY_HAVE_RUN;
	if (j->attempt == 1 && (result == CS_END_NOT_SENT || result == CS_END_REFUSED))
		return CS_NOT_RUN;
	return CS_MAY_HAVE_RUN;
}

static void
fail_request (control_t *c, job_t *j, const cs_attempt_end_msg_t *m)
{
	if (j->is_answer_started) {
		abort_answer (c, j);
		return;
	}
	if (m->result == CS_END_TIMED_OUT)
		job_refuse (c, j, 504, "replica-silent", CS_MAY_HAVE_RUN, BROKEN_RETRY_MS,
			    "the back end sent nothing within its idle timeout");
	else if (m->result == CS_END_NOT_SENT)
		job_refuse (c, j, 503, "back-end-unreachable", attempt_outcome (j, m->result),
			    BROKEN_RETRY_MS, "cannot connect to the back end");
	else
		job_refuse (c, j, 502, "replica-lost", attempt_outcome (j, m->result),
			    BROKEN_RETRY_MS, "the back end failed while running the request");
}

/* Schedules a retry after a failed attempt, or ends the request with an error. */
static void
decide_retry (control_t *c, job_t *j, const cs_attempt_end_msg_t *m)
{
	int64_t now = cs_now_ms ();
	int64_t delay = 0;
	cs_retry_reason_t reason = CS_RETRY_ALLOWED;
	cs_retry_attempt_t a = {
		.attempt = j->attempt,
		.is_protected = j->is_protected,
		.sent = m->result != CS_END_NOT_SENT,
		.reached_caller = j->is_answer_started,
		.resumable = j->is_model_group && j->request->stream,
		.deadline_ms = j->request->deadline_ms,
	};
	if (cs_retry_decide (&c->retry, now, &a, &delay, &reason) == CS_RETRY_NO) {
		cs_log ("serve", CS_LOG_INFO, "request %llu is not retried: %s",
			(unsigned long long)j->id, cs_retry_reason_name (reason));
		fail_request (c, j, m);
		return;
	}
	cs_counter_add (&retries, 1);
	j->resume_until_ms = now + RESUME_WAIT_MS;
	j->state = JOB_DELAYED;
	j->due_ms = now + delay;
}

static void
report_to_router (control_t *c, const job_t *j, const cs_attempt_end_msg_t *m)
{
	cs_route_result_t r = {
		.ok = m->result == CS_END_OK || m->result == CS_END_CANCELLED,
		.first_byte_us = m->first_byte_us,
		.token_gap_us =
			m->tokens > 1 ? (m->duration_us - m->first_byte_us) / (m->tokens - 1) : 0,
	};
	cs_router_end_attempt (&c->router, cs_now_ms (), j->target, &r);
}

/* Polls the group's members and holds the job until they have answered, to distinguish a crash
 * from a broken connection. */
static void
hold_for_crash_check (control_t *c, job_t *j, cs_attempt_end_msg_t *m)
{
	cs_poison_connection_broken (&c->poison, cs_now_ms (), j->id);
	cs_ref_get (&m->msg.ref);
	j->failed_attempt = m;
	j->state = JOB_HELD;
	j->due_ms = cs_now_ms () + CS_POISON_HOLD_MS;
	cs_crash_check_begin (&j->crash_check, cs_now_ms (), zone_poll_group (c, j->group));
}

void
attempt_release (control_t *c, job_t *j)
{
	cs_attempt_end_msg_t *m = j->failed_attempt;
	j->failed_attempt = NULL;
	if (j->is_protected)
		protect_attempt_end (c, j, m);
	else if (j->is_caller_disconnected)
		job_end (c, j);
	else
		decide_retry (c, j, m);
	cs_ref_put (&m->msg.ref);
}

static size_t
member_index (const cs_vm_t *vm)
{
	size_t i = 0;
	while (i < vm->group->n_members && vm->group->members[i] != vm)
		i++;
	return i;
}

bool
serve_member_polled (control_t *c, const cs_vm_t *vm, int64_t poll_sent_ms, member_answer_t answer)
{
	int64_t now = cs_now_ms ();
	size_t member = member_index (vm);
	bool any_released = false;
	bool repoll = false;
	for (job_t *j = c->jobs; j; j = j->hh.next) {
		if (j->state != JOB_HELD || strcmp (j->group, vm->group->group) != 0)
			continue;
		switch (answer == MEMBER_NO_ANSWER
				? cs_crash_check_no_answer (&j->crash_check, member)
				: cs_crash_check_answer (&j->crash_check, member, poll_sent_ms,
							 answer == MEMBER_DEAD)) {
		case CS_CRASH_CHECK_ALL_ALIVE:
			j->due_ms = now;
			any_released = true;
			break;
		case CS_CRASH_CHECK_REPOLL:
			repoll = true;
			break;
		case CS_CRASH_CHECK_DEAD: /* held until the crash record is applied */
		case CS_CRASH_CHECK_PENDING:
			break;
		}
	}
	if (any_released)
		serve_due (c, now);
	return repoll;
}

/* Whether the job's attempt may be cancelled and resumed on another replica. */
static bool
is_resumable (const job_t *j)
{
	return j->state == JOB_RUNNING && j->is_model_group && !j->is_protected &&
	       !j->is_replica_lost;
}

static void
cancel_to_resume (control_t *c, job_t *j)
{
	j->is_replica_lost = true;
	cs_request_msg_t *m = cs_request_msg (CS_MSG_CANCEL, j->request);
	cs_send (c->task, c->engine, &m->msg);
}

void
attempt_member_lost (control_t *c, const char *group, uint64_t fence)
{
	for (job_t *j = c->jobs; j; j = j->hh.next)
		if (is_resumable (j) && j->fence == fence && !strcmp (j->group, group))
			cancel_to_resume (c, j);
}

/* True if a member of the job's group is unknown, gone, ended or silent. The evidence may arrive
 * after the record that forms the group again without that member. */
static bool
has_lost_member (control_t *c, const job_t *j, int64_t now)
{
	for (const char *name = j->members; name && *name; name += strlen (name) + 1) {
		const cs_vm_t *vm = cs_groups_find_vm (&c->groups, name);
		if (cs_evidence_has_ended (&c->evidence, name, now))
			cs_poison_member_dead (&c->poison, now, j->group, j->fence);
		else if (vm && !vm->gone && !cs_evidence_vm_lost (&c->evidence, name, now))
			continue;
		return true;
	}
	return false;
}

void
attempt_superseded (control_t *c, int64_t now)
{
	for (job_t *j = c->jobs; j; j = j->hh.next) {
		if (!is_resumable (j))
			continue;
		const cs_group_t *g = cs_groups_find (&c->groups, j->group);
		if ((!g || g->fence != j->fence) && has_lost_member (c, j, now))
			cancel_to_resume (c, j);
	}
}

void
serve_attempt_end (control_t *c, cs_attempt_end_msg_t *m)
{
	job_t *j = job_find (c, m->request->id);
	if (!j || j->state != JOB_RUNNING || m->attempt != j->attempt)
		return;
	report_to_router (c, j, m);
	j->tokens += m->tokens;
	j->is_answer_started |= m->reached_caller;
	bool is_broken =
		m->result == CS_END_BROKEN || (j->is_replica_lost && m->result == CS_END_CANCELLED);
	j->is_replica_lost = false;
	/* A protected request continues after its caller has disconnected. */
	if (j->is_model_group && is_broken && (!j->is_caller_disconnected || j->is_protected)) {
		hold_for_crash_check (c, j, m);
		return;
	}
	if (j->is_model_group)
		cs_poison_end_request (&c->poison, j->id, m->result == CS_END_OK);
	if (j->is_protected) {
		protect_attempt_end (c, j, m);
		return;
	}
	if (m->result == CS_END_OK || j->is_caller_disconnected) {
		queue_t *q = queue_of (c, j->service);
		job_end (c, j);
		queue_pump (c, q);
		return;
	}
	decide_retry (c, j, m);
}

void
attempt_crashes (control_t *c)
{
	cs_poison_tick (&c->poison, cs_now_ms ());
	for (size_t i = 0; i < c->poison.n_reports; i++) {
		const cs_poison_report_t *p = &c->poison.reports[i];
		Cs__Record r = CS__RECORD__INIT;
		Cs__Crash body = CS__CRASH__INIT;
		body.group = p->group;
		body.fence = p->fence;
		body.fingerprints = p->fingerprints;
		body.n_fingerprints = p->n_fingerprints;
		body.cleared = p->cleared;
		body.n_cleared = p->n_cleared;
		r.body_case = CS__RECORD__BODY_CRASH;
		r.crash = &body;
		if (p->n_fingerprints)
			cs_log ("serve", CS_LOG_WARN, "group %s crashed while running %zu requests",
				p->group, p->n_fingerprints);
		cs_writer_submit (&c->control_stream.writer, &r, NULL);
	}
	cs_poison_clear_reports (&c->poison);
}

bool
attempt_hold_over (const control_t *c, const job_t *j, int64_t now)
{
	if (now >= j->due_ms)
		return true;
	return j->crash_check.dead &&
	       cs_poison_judge (&c->poison, now, j->fingerprint) != CS_POISON_CLEAN;
}
