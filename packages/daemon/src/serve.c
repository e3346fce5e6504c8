/* Callers' requests: admission, queueing, placement, retries and refusal. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	NOT_ADMITTING_RETRY_MS = 2000, /* Retry-After while this daemon admits no requests */
	NO_GROUP_RETRY_MS = 5000,      /* Retry-After while no target can serve the request */
	RESUME_RETRY_MS = 100          /* between attempts to place an interrupted stream again */
};

static cs_counter_t admitted = {.name = "cs_requests_admitted_total",
				.help = "Requests that were admitted."};

static void
list_models (control_t *c, cs_request_t *request)
{
	json_t *data = json_array ();
	for (const cs_resource_t *r = NULL;
	     (r = cs_config_next (&c->config, CS_KIND_MODEL_GROUP, r));)
		json_array_append_new (data, json_pack ("{s:s,s:s,s:s}", "id",
							r->resource->model_group->model, "object",
							"model", "owned_by", "cornelspindle"));
	answer_json (c, request, 200, json_pack ("{s:s,s:o}", "object", "list", "data", data));
}

static job_t *
job_new (control_t *c, cs_request_t *request)
{
	job_t *j = cs_alloc (sizeof *j);
	j->id = request->id;
	j->request = request;
	j->state = JOB_QUEUED;
	j->queued_us = cs_now_us ();
	cs_ref_get (&request->ref);
	HASH_ADD (hh, c->jobs, id, sizeof j->id, j);
	return j;
}

static const char *
limit_reached_text (cs_limit_kind_t kind)
{
	switch (kind) {
	case CS_LIMIT_REQUESTS:
		return "the team's requests per minute are used up";
	case CS_LIMIT_TOKENS:
		return "the team's tokens per minute are used up";
	default:
		return "the team has reached its limit of concurrent requests";
	}
}

/* Charges the job to its team's limits; refuses the job if a limit is reached or the team
 * is not declared. */
static bool
charge_team_limits (control_t *c, job_t *j)
{
	cs_limit_kind_t kind = CS_LIMIT_NONE;
	int64_t retry_ms = 0;
	char *team = cs_str_dup (j->request->team);
	cs_status_t status =
		cs_limits_admit (&c->limits, cs_now_ms (), team, j->request->max_tokens,
				 j->fingerprint, &j->hold, &kind, &retry_ms);
	free (team);
	if (status == CS_OK)
		return true;
	if (status == CS_EXHAUSTED)
		job_refuse (c, j, 429, "limit-reached", job_outcome (j), retry_ms,
			    limit_reached_text (kind));
	else
		job_refuse (c, j, 403, "unknown-team", job_outcome (j), 0,
			    "the caller's team is not declared");
	return false;
}

/* False if this daemon admits no requests now; the job is then refused and freed. */
static bool
may_admit (control_t *c, job_t *j)
{
	cs_admit_t may = cs_detector_may_admit (&c->detector, &c->members,
						&c->control_stream.applier, cs_now_ms ());
	if (may == CS_ADMIT && c->ready)
		return true;
	job_refuse (c, j, 503, "not-admitting", job_outcome (j), NOT_ADMITTING_RETRY_MS,
		    may == CS_ADMIT ? "this daemon is starting or stopping" : cs_admit_text (may));
	return false;
}

/* Refuses a job that the queue of its service did not accept, or that waited there too long. */
static void
refuse_overloaded (control_t *c, job_t *j, int64_t retry_ms, const char *detail)
{
	j->overload_retry_ms = retry_ms;
	if (j->claim_attempt) {
		protect_not_sent (c, j, CS_EXHAUSTED);
		protect_run (c);
	} else {
		job_refuse (c, j, 503, "overloaded", job_outcome (j), retry_ms, detail);
	}
}

void
queue_enter (control_t *c, job_t *j)
{
	int64_t retry_ms = 0;
	queue_t *q = queue_of (c, j->service);
	j->state = JOB_QUEUED;
	cs_status_t status = cs_admission_offer (&q->admission, cs_now_ms (), j->id, j->priority,
						 j->request->deadline_ms, &retry_ms);
	if (status == CS_OK) {
		queue_pump (c, q);
		return;
	}
	refuse_overloaded (c, j, retry_ms,
			   "too many requests are queued for the service to run this one in time");
}

void
serve_admit (control_t *c, cs_request_t *request)
{
	if (request->is_operator) {
		operate (c, request);
		return;
	}
	if (cs_str_is (request->path, "/v1/models")) {
		list_models (c, request);
		return;
	}
	job_t *j = job_new (c, request);
	j->fingerprint = cs_poison_fingerprint (request->team, request->model, request->body);
	if (!may_admit (c, j) || !resolve (c, j) || !charge_team_limits (c, j))
		return;
	cs_counter_add (&admitted, 1);
	cs_retry_count_first_try (&c->retry, cs_now_ms ());
	j->prefix = request->prefix.n ? cs_hash (request->prefix) : 0;
	if (j->is_protected)
		protect_submit (c, j);
	else
		queue_enter (c, j);
}

/* Dispatches, delays or refuses a job by the status of its placement; false if the job must wait
 * for capacity. */
static bool
handle_placement (control_t *c, job_t *j, cs_status_t placed, const cs_route_t *route)
{
	if (j->claim_attempt && placed != CS_OK && placed != CS_EXHAUSTED) {
		protect_not_sent (c, j, placed);
		protect_run (c);
		return true;
	}
	switch (placed) {
	case CS_OK:
		job_dispatch (c, j, route, j->claim_attempt ? j->claim_attempt : j->attempt + 1,
			      j->is_protected);
		return true;
	case CS_EXHAUSTED:
		return false;
	case CS_CONFLICT:
		job_refuse (c, j, 422, "request-refused", job_outcome (j), 0,
			    "this request has crashed the replicas that ran it");
		return true;
	default:
		if (j->is_answer_started && cs_now_ms () < j->resume_until_ms) {
			j->state = JOB_DELAYED;
			j->due_ms = cs_now_ms () + RESUME_RETRY_MS;
			return true;
		}
		job_refuse (c, j, 503, "no-replica", job_outcome (j), NO_GROUP_RETRY_MS,
			    "no complete replica or back end can serve the request now");
		return true;
	}
}

bool
job_run (control_t *c, job_t *j)
{
	cs_route_t route;
	cs_status_t placed = job_place (c, j, &route);
	return handle_placement (c, j, placed, &route);
}

void
queue_pump (control_t *c, queue_t *q)
{
	uint64_t id = 0;
	while (cs_admission_peek (&q->admission, &id) == CS_OK) {
		job_t *j = job_find (c, id);
		if (!j) {
			cs_admission_cancel (&q->admission, id);
			continue;
		}
		cs_route_t route;
		cs_status_t status = job_place (c, j, &route);
		if (status == CS_EXHAUSTED)
			return;
		cs_admission_remove (&q->admission, id);
		j->state = JOB_DELAYED;
		handle_placement (c, j, status, &route);
	}
}

void
serve_caller_disconnected (control_t *c, const cs_request_t *request)
{
	job_t *j = job_find (c, request->id);
	if (request->is_operator)
		operate_caller_disconnected (c, request);
	if (!j)
		return;
	j->is_caller_disconnected = true;
	if (j->is_protected) {
		protect_caller_disconnected (c, j);
		return;
	}
	if (j->state == JOB_RUNNING) {
		cs_request_msg_t *m = cs_request_msg (CS_MSG_CANCEL, j->request);
		cs_send (c->task, c->engine, &m->msg);
		return;
	}
	job_end (c, j);
}

static void
refuse_expired (control_t *c, queue_t *q)
{
	cs_admission_tick (&q->admission, cs_now_ms ());
	while (q->admission.n_refusals) {
		cs_admission_refusal_t r = q->admission.refusals[--q->admission.n_refusals];
		job_t *j = job_find (c, r.id);
		if (!j)
			continue;
		j->state = JOB_DELAYED;
		refuse_overloaded (c, j, r.retry_after_ms,
				   "the request waited too long for a replica");
	}
	cs_admission_clear_refusals (&q->admission);
}

/* Ids of the held and delayed jobs whose wait is over, in an array that the caller frees. Running
 * one job may end others, so each id is looked up again before its job is used. */
static uint64_t *
due_jobs (control_t *c, int64_t now, size_t *n)
{
	uint64_t *ids = cs_alloc ((HASH_COUNT (c->jobs) + 1) * sizeof *ids);
	*n = 0;
	for (const job_t *j = c->jobs; j; j = j->hh.next) {
		bool held = j->state == JOB_HELD && attempt_hold_over (c, j, now);
		bool delayed = j->state == JOB_DELAYED && now >= j->due_ms;
		if (held || delayed)
			ids[(*n)++] = j->id;
	}
	return ids;
}

void
serve_due (control_t *c, int64_t now)
{
	size_t n = 0;
	uint64_t *ids = due_jobs (c, now, &n);
	for (size_t i = 0; i < n; i++) {
		job_t *j = job_find (c, ids[i]);
		if (j && j->state == JOB_HELD)
			attempt_release (c, j);
		else if (j && j->state == JOB_DELAYED && !job_run (c, j))
			queue_enter (c, j);
	}
	free (ids);
}

void
serve_tick (control_t *c, int64_t now)
{
	queue_t *q = NULL;
	queue_t *next = NULL;
	attempt_superseded (c, cs_now_ms ());
	attempt_crashes (c);
	serve_due (c, now);
	HASH_ITER (hh, c->queues, q, next) {
		refuse_expired (c, q);
		queue_pump (c, q);
	}
}

void
serve_abandon_protected (control_t *c)
{
	job_t *j = NULL;
	job_t *next = NULL;
	HASH_ITER (hh, c->jobs, j, next) {
		if (j->is_protected)
			job_refuse (
				c, j, 503, "outcome-unknown", CS_MAY_HAVE_RUN, BROKEN_RETRY_MS,
				"this daemon's membership ended while the request was in progress");
	}
}

void
serve_finish (control_t *c)
{
	job_t *j = NULL;
	job_t *next = NULL;
	queue_t *q = NULL;
	queue_t *next_q = NULL;
	HASH_ITER (hh, c->jobs, j, next) {
		job_free (c, j);
	}
	HASH_ITER (hh, c->queues, q, next_q) {
		HASH_DEL (c->queues, q);
		cs_admission_finish (&q->admission);
		free (q->service);
		free (q);
	}
}
