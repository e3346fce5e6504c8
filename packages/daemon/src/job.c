/* Jobs: choice of the target, dispatch, end and refusal of a request. */
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	MS_PER_SECOND = 1000
};

static cs_counter_t refused = {.name = "cs_requests_refused_total",
			       .help = "Requests refused by this daemon."};
static cs_counter_t attempts = {.name = "cs_attempts_total", .help = "Attempts sent to back ends."};
static cs_counter_t hinted = {
	.name = "cs_attempts_hinted_total",
	.help = "Attempts sent to replicas that reported the prefix as cached."};
static cs_counter_t running = {
	.name = "cs_requests_in_progress", .help = "Requests in progress.", .kind = CS_GAUGE};

job_t *
job_find (control_t *c, uint64_t id)
{
	job_t *j = NULL;
	HASH_FIND (hh, c->jobs, &id, sizeof id, j);
	return j;
}

queue_t *
queue_of (control_t *c, const char *service)
{
	queue_t *q = NULL;
	HASH_FIND_STR (c->queues, service, q);
	if (q)
		return q;
	q = cs_alloc (sizeof *q);
	q->service = cs_str_dup (cs_str (service));
	cs_admission_init (&q->admission, &(cs_admission_options_t){0});
	HASH_ADD_KEYPTR (hh, c->queues, q->service, strlen (q->service), q);
	return q;
}

/* Exports a trace span of the time between queueing and dispatch or refusal. */
static void
export_wait (const job_t *j)
{
	cs_trace_t span;
	const char *name = j->is_protected ? "claim" : "queue";
	cs_trace_child (&span, &j->request->trace);
	cs_span_export (&span, &j->request->trace, name, j->queued_us, cs_now_us (), NULL, 0);
}

void
job_free (control_t *c, job_t *j)
{
	if (job_find (c, j->id) == j)
		HASH_DEL (c->jobs, j);
	if (j->failed_attempt)
		cs_ref_put (&j->failed_attempt->msg.ref);
	cs_ref_put (&j->request->ref);
	free (j->service);
	free (j->target);
	free (j->group);
	free (j->members);
	free (j->adapter);
	free (j);
	cs_gauge_set (&running, HASH_COUNT (c->jobs));
}

/* Ends the request and releases its limits, its place in the queue and the job. */
void
job_end (control_t *c, job_t *j)
{
	int64_t now = cs_now_ms ();
	if (!j->attempt && j->service)
		export_wait (j);
	cs_limits_settle (&c->limits, now, &j->hold, j->tokens);
	if (j->service && j->state == JOB_QUEUED)
		cs_admission_cancel (&queue_of (c, j->service)->admission, j->id);
	else if (j->service && j->attempt)
		cs_admission_record_end (&queue_of (c, j->service)->admission, now);
	if (c->draining)
		c->n_finished++;
	job_free (c, j);
}

cs_outcome_t
job_outcome (const job_t *j)
{
	bool is_unprotected = j->service && !j->is_protected;
	if (j->attempt)
		return CS_MAY_HAVE_RUN;
	return is_unprotected ? CS_NOT_RUN : cs_outcome_before_lookup (j->request->key);
}

void
job_refuse (control_t *c, job_t *j, int status, const char *type, cs_outcome_t outcome,
	    int64_t retry_after_ms, const char *detail)
{
	int retry_after_s = (int)((retry_after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND);
	cs_refuse_msg_t *m =
		cs_refuse_msg (j->request, status, type, outcome, retry_after_s, "%s", detail);
	cs_counter_add (&refused, 1);
	if (j->is_caller_disconnected)
		cs_ref_put (&m->msg.ref);
	else
		cs_send (c->task, c->gateway, &m->msg);
	job_end (c, j);
}

/* Picks a target from the router's targets, then checks it against the current evidence. */
static cs_status_t
pick_target (control_t *c, const job_t *j, const char *only, cs_route_t *route)
{
	int64_t now = cs_now_ms ();
	const char *avoid[1] = {j->target};
	cs_route_query_t q = {
		.service = j->service,
		.version = "",
		.adapter = j->adapter,
		.prefix = j->prefix,
		.avoid = avoid,
		.n_avoid = j->target ? 1 : 0,
		.only = only,
	};
	cs_status_t status = cs_router_pick (&c->router, now, &q, route);
	if (status != CS_OK && q.n_avoid) {
		q.n_avoid = 0;
		status = cs_router_pick (&c->router, now, &q, route);
	}
	if (status == CS_OK && j->is_model_group &&
	    !zone_is_group_complete (c, route->name, route->fence, now)) {
		c->targets_current = false;
		return CS_UNAVAILABLE;
	}
	return status;
}

/* The router's targets may be one tick old. They are updated before the job is refused, so that a
 * group which the evidence already shows as serving is not missed. */
cs_status_t
job_pick (control_t *c, job_t *j, const char *only, cs_route_t *route)
{
	cs_status_t status = pick_target (c, j, only, route);
	if (status != CS_UNAVAILABLE || c->targets_current)
		return status;
	targets_update (c, cs_now_ms ());
	return pick_target (c, j, only, route);
}

/* URL of the head member, or of the plain back end. */
static char *
target_url (const control_t *c, const job_t *j, const cs_route_t *route)
{
	cs_str_t rest = cs_str (route->name);
	if (j->is_model_group) {
		const cs_group_t *g = cs_groups_find (&c->groups, route->name);
		const cs_offer_t *o = cs_offers_find (&c->offers, route->name);
		if (o)
			return cs_str_dup (cs_str (o->url));
		return g ? cs_str_dup (cs_str (g->members[0]->url)) : NULL;
	}
	cs_str_t service = cs_str_split (&rest, '/');
	const cs_resource_t *r = cs_config_get (&c->config, CS_KIND_SERVICE, service);
	for (size_t i = 0; r && i < r->resource->service->n_backends; i++) {
		const Cs__Backend *b = r->resource->service->backends[i];
		if (cs_str_is (rest, b->name))
			return cs_str_dup (cs_str (b->url));
	}
	return NULL;
}

/* The members' names in the format of job_t.members; the caller frees the result. */
static char *
pack_member_names (const control_t *c, const char *group)
{
	const cs_group_t *g = cs_groups_find (&c->groups, group);
	cs_buf_t names = {0};
	if (!g || cs_offers_find (&c->offers, group))
		return NULL;
	for (size_t i = 0; i < g->n_members; i++)
		cs_buf_add (&names, cs_str_n (g->members[i]->vm, strlen (g->members[i]->vm) + 1));
	cs_buf_add (&names, cs_str_n ("", 1));
	return names.p;
}

void
job_dispatch (control_t *c, job_t *j, const cs_route_t *route, uint32_t attempt, bool buffer)
{
	cs_dispatch_msg_t *m = cs_dispatch_msg (j->request);
	if (!j->attempt)
		export_wait (j);
	free (j->target);
	free (j->group);
	free (j->members);
	j->members = j->is_model_group ? pack_member_names (c, route->name) : NULL;
	j->target = cs_str_dup (cs_str (route->name));
	j->group = cs_str_dup (cs_str (j->is_model_group ? route->name : ""));
	j->fence = route->fence;
	j->state = JOB_RUNNING;
	j->attempt = attempt;
	m->url = target_url (c, j, route);
	if (!m->url)
		m->url = cs_str_dup (cs_str ("http://127.0.0.1:1"));
	m->group = cs_str_dup (cs_str (j->group));
	m->fence = j->fence;
	m->is_model_group = j->is_model_group;
	m->buffer = buffer;
	m->attempt = attempt;
	m->idle_timeout_ms = j->idle_timeout_ms;
	m->resume_from = j->tokens;
	m->prefix = j->prefix;
	m->urgency = j->priority < CS_URGENCY_LEAST ? j->priority : CS_URGENCY_LEAST;
	cs_counter_add (&attempts, 1);
	cs_counter_add (&hinted, route->cached);
	cs_router_begin_attempt (&c->router, cs_now_ms (), j->target);
	if (j->is_model_group)
		cs_poison_begin_request (&c->poison, j->id, j->fingerprint, j->group, j->fence);
	cs_send (c->task, c->engine, &m->msg);
}
