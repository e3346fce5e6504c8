/* Where a request would go now, and why: the question is put to the functions that place requests,
 * as a call that nobody sees. */
#include "explain.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cs/homes.h"
#include "cs/log.h"

enum {
	MAX_LISTED = 64,
	ANSWER_INTERVAL_MS = 1000, /* in which CS_EXPLAIN_ANSWERS are given */
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	STATUS_NOT_ALLOWED = 405,
	STATUS_TOO_MANY = 429,
	MAX_VALUE_BYTES = 80 /* of a malformed value */
};

/* What is found for a question. */
typedef struct {
	cs_forward_t *f;
	cs_question_t question;
	int64_t now_ms;
	cs_call_t call;
	cs_buf_t service; /* the router's name */
	cs_route_judged_t judged[MAX_LISTED];
	cs_route_explanation_t places;
	cs_queue_explanation_t queue;
	const char *outcome;
	const char *reason; /* NULL: it would be sent */
	uint32_t retry_after_ms;
} answer_t;

static const cs_team_t *
find_team (const cs_serving_t *serving, const char *name)
{
	for (size_t i = 0; i < serving->n_teams; i++)
		if (!strcmp (serving->teams[i].name, name))
			return &serving->teams[i];
	return NULL;
}

/* The first route that may lead to the service. */
static const cs_serving_route_t *
route_to (const cs_serving_t *serving, const char *service)
{
	static const cs_serving_route_t none = {.name = "", .attempts = 1};
	for (size_t i = 0; i < serving->n_routes; i++)
		for (size_t k = 0; k < serving->routes[i].n_splits; k++)
			if (!strcmp (serving->routes[i].splits[k].service, service))
				return &serving->routes[i];
	return &none;
}

static void
refuse (answer_t *a, const char *reason, uint32_t retry_after_ms)
{
	a->outcome = "refuse";
	a->reason = reason;
	a->retry_after_ms = retry_after_ms;
}

/* Sets the call that a request of this kind would be; false if it is refused, or the question is
 * malformed. */
static bool
set_call (answer_t *a)
{
	cs_forward_t *f = a->f;
	cs_question_t *q = &a->question;
	cs_call_t *c = &a->call;
	cs_rng_t rng = f->rng;
	c->forward = f;
	c->serving = f->serving;
	c->received_ms = a->now_ms;
	c->route = *q->service
			   ? route_to (c->serving, q->service)
			   : cs_serving_find_route (c->serving, cs_str (q->host), cs_str (q->path));
	if (*q->team && !(c->team = find_team (c->serving, q->team)))
		cs_question_reject (q, "team", "a team of the configuration", q->team);
	if (*q->service && !cs_serving_find_service (c->serving, q->service))
		cs_question_reject (q, "service", "a service of the configuration", q->service);
	if (q->thing)
		return false;
	if (!c->route) {
		if (f->config_behind)
			refuse (a, "configuration-behind", CS_NO_CONFIG_RETRY_MS);
		else
			refuse (a, "no-route", 0);
		return false;
	}
	c->service = (char *)(uintptr_t)(*q->service ? q->service
						     : cs_serving_pick_service (c->route, &rng));
	c->size = cs_request_size (q->prompt_tokens, q->answer_tokens, 0);
	cs_call_set_deadlines (c);
	cs_dispatch_service_name (c, cs_str (q->model), &a->service);
	return true;
}

/* Back ends of the zones that were tried. The caller frees the list. */
static const char **
list_tried (const answer_t *a, size_t *n)
{
	const cs_fleet_t *fleet = &a->f->fleet;
	const char **tried = cs_alloc ((HASH_COUNT (fleet->entries) + 1) * sizeof *tried);
	*n = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (fleet, e));)
		if (cs_str_in_list (a->question.tried, a->question.n_tried, e->backend->zone))
			tried[(*n)++] = e->backend->id;
	return tried;
}

static void
set_places (answer_t *a)
{
	cs_dispatch_query_t q;
	size_t n_barred;
	const char **barred = cs_cold_would_bar (a->f, a->call.service, &n_barred);
	cs_dispatch_query_init (&q, &a->call, a->service.p, barred, n_barred);
	const char **tried = list_tried (a, &q.query.n_avoid);
	q.query.avoid = tried;
	cs_router_explain (&a->f->router, a->now_ms, &q.query, a->judged, MAX_LISTED, &a->places);
	/* Those that were tried may have run it. */
	if (a->places.status == CS_EXHAUSTED && a->question.n_tried) {
		q.query.includes_full = true;
		cs_router_explain (&a->f->router, a->now_ms, &q.query, a->judged, MAX_LISTED,
				   &a->places);
	}
	free ((void *)tried);
	free ((void *)barred);
	cs_dispatch_query_finish (&q);
}

/* As cs_dispatch goes on. */
static void
set_outcome (answer_t *a)
{
	cs_status_t status = a->places.status;
	uint32_t retry_after_ms = (uint32_t)a->queue.retry_after_ms;
	/* Those that were tried may have run it. */
	a->call.tries = a->call.runs = (uint32_t)a->question.n_tried;
	if (status == CS_OK && !a->call.tries && !a->queue.may_send)
		status = CS_EXHAUSTED;
	if (status == CS_OK) {
		a->outcome = "send";
		return;
	}
	const char *reason =
		cs_dispatch_refusal_reason (&a->call, status, a->service.p, &retry_after_ms);
	refuse (a, reason, a->call.runs ? 0 : retry_after_ms);
	if (status != CS_EXHAUSTED || a->call.tries || !a->queue.would_wait)
		return;
	a->outcome = "wait";
	a->retry_after_ms = 0;
}

static bool
may_place (answer_t *a)
{
	cs_forward_t *f = a->f;
	if (cs_stop_phase (f->stopping_ms, a->now_ms, f->host->grace_ms, 1) >= CS_STOP_REFUSING) {
		refuse (a, "stopping", CS_STOPPING_RETRY_MS);
		return false;
	}
	if (!f->serving || !f->list_read) {
		refuse (a, "no-configuration", CS_NO_CONFIG_RETRY_MS);
		return false;
	}
	return true;
}

static void
find_answer (answer_t *a)
{
	if (!may_place (a))
		return;
	/* What has come of the list is taken over first, as before any request. */
	cs_targets_refresh (a->f);
	if (!set_call (a))
		return;
	cs_queue_explain (&a->call, a->service.p, &a->queue);
	set_places (a);
	set_outcome (a);
}

static json_t *
config_json (const answer_t *a)
{
	const cs_forward_t *f = a->f;
	if (!f->serving)
		return json_null ();
	return json_pack ("{s:I,s:I,s:b}", "version", (json_int_t)f->serving->version, "age_ms",
			  (json_int_t)(a->now_ms - f->serving->read_ms), "behind",
			  f->config_behind);
}

static json_t *
list_json (const answer_t *a)
{
	const cs_forward_t *f = a->f;
	return json_pack (
		"{s:b,s:b,s:I}", "read", f->list_read, "reachable", !f->list_unreachable, "lost_ms",
		(json_int_t)(f->list_unreachable && f->list_lost_ms ? a->now_ms - f->list_lost_ms
								    : 0));
}

static json_t *
route_json (const cs_call_t *c)
{
	static const char *const kinds[] = {"idempotent", "non-idempotent", "stream"};
	const cs_serving_route_t *r = c->route;
	json_t *services = json_array ();
	for (size_t i = 0; i < r->n_splits; i++)
		json_array_append_new (services,
				       json_pack ("{s:s,s:I}", "name", r->splits[i].service,
						  "weight", (json_int_t)r->splits[i].weight));
	return json_pack ("{s:s,s:s,s:I,s:I,s:I,s:I,s:b,s:b,s:b,s:o}", "name",
			  r->name ? r->name : "", "kind", kinds[r->kind], "priority",
			  (json_int_t)r->priority, "target_ms", (json_int_t)r->target_ms,
			  "timeout_ms", (json_int_t)r->timeout_ms, "attempts",
			  (json_int_t)r->attempts, "repeatable", cs_serving_is_repeatable (r),
			  "needs_key", !r->is_public && c->serving->n_teams, "homes",
			  cs_homes_bind (r, c->team), "services", services);
}

static json_t *
overload_json (const cs_queue_explanation_t *q)
{
	return json_pack ("{s:b,s:b,s:f,s:f,s:f,s:f,s:I,s:I,s:I}", "may_send", q->may_send,
			  "would_wait", q->would_wait, "limit_per_s", q->limit_per_s, "spare",
			  q->spare, "reserve", q->reserve, "busy", q->busy, "priority",
			  (json_int_t)q->priority, "waiting", (json_int_t)q->waiting, "max_wait_ms",
			  (json_int_t)q->max_wait_ms);
}

static json_t *
choice_json (cs_status_t status, const cs_route_t *r)
{
	if (status != CS_OK)
		return json_null ();
	return json_pack ("{s:s,s:s,s:b,s:b,s:I}", "id", r->name, "zone", r->zone, "far",
			  r->in_other_zone, "suspect", r->is_suspect, "first_event_ms",
			  (json_int_t)r->first_event_ms);
}

static json_t *
target_json (const answer_t *a, const cs_route_judged_t *t)
{
	bool is_chosen = a->places.status == CS_OK && !strcmp (t->name, a->places.chosen.name);
	int64_t until_ms = cs_fleet_turned_away_until_ms (&a->f->fleet, t->name);
	json_t *json = json_pack ("{s:s,s:s,s:s,s:b,s:f,s:I,s:I,s:I}", "id", t->name, "verdict",
				  is_chosen ? "chosen" : cs_route_verdict_name (t->verdict), "zone",
				  t->zone, "far", t->in_other_zone, "load", t->load, "slots",
				  (json_int_t)t->slots, "load_age_ms", (json_int_t)t->load_age_ms,
				  "first_event_ms", (json_int_t)t->first_event_ms);
	if (t->verdict == CS_ROUTE_LEAVING && until_ms > a->now_ms)
		json_object_set_new (json, "returns_ms",
				     json_integer ((json_int_t)(until_ms - a->now_ms)));
	return json;
}

static void
add_places (const answer_t *a, json_t *json)
{
	size_t others[CS_ROUTE_VERDICTS];
	json_t *targets = json_array ();
	json_t *unlisted = json_object ();
	memcpy (others, a->places.n, sizeof others);
	for (size_t i = 0; i < a->places.n_judged; i++) {
		others[a->judged[i].verdict]--;
		json_array_append_new (targets, target_json (a, &a->judged[i]));
	}
	for (unsigned v = 0; v < CS_ROUTE_VERDICTS; v++)
		if (others[v])
			json_object_set_new (unlisted, cs_route_verdict_name (v),
					     json_integer ((json_int_t)others[v]));
	json_object_set_new (json, "route", route_json (&a->call));
	json_object_set_new (json, "service", json_string (a->service.p));
	json_object_set_new (json, "overload", overload_json (&a->queue));
	json_object_set_new (json, "chosen", choice_json (a->places.status, &a->places.chosen));
	json_object_set_new (json, "next", choice_json (a->places.next_status, &a->places.next));
	json_object_set_new (json, "targets", targets);
	json_object_set_new (json, "unlisted", unlisted);
}

static json_t *
answer_json (const answer_t *a)
{
	const cs_retry_budget_t *budget = &a->f->retry_budget;
	json_t *json = json_pack ("{s:s,s:s,s:o,s:o,s:s}", "daemon", a->f->host->name, "zone",
				  a->f->host->zone, "config", config_json (a), "list",
				  list_json (a), "outcome", a->outcome);
	json_object_set_new (json, "era",
			     budget->follows ? json_integer ((json_int_t)budget->era)
					     : json_null ());
	if (a->reason) {
		json_object_set_new (json, "reason", json_string (a->reason));
		json_object_set_new (json, "retry_after_ms",
				     json_integer ((json_int_t)a->retry_after_ms));
	}
	if (a->service.p)
		add_places (a, json);
	return json;
}

static json_t *
malformed_json (const cs_question_t *q)
{
	char value[MAX_VALUE_BYTES + 1];
	snprintf (value, sizeof value, "%s", q->value);
	for (char *p = value; *p; p++)
		if (*p < ' ' || *p > '~')
			*p = '?';
	return json_pack ("{s:s,s:s,s:s}", "thing", q->thing, "bound", q->bound, "value", value);
}

static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned status, json_t *json)
{
	static const cs_httpd_header_t headers[] = {{"Content-Type", "application/json"},
						    {NULL, NULL}};
	char *text = json_dumps (json, JSON_COMPACT);
	enum MHD_Result result =
		cs_httpd_queue_response_with (connection, status, cs_str (text), headers);
	free (text);
	json_decref (json);
	return result;
}

static bool
may_answer (cs_forward_t *f, int64_t now_ms)
{
	int64_t *oldest = &f->explained_ms[f->n_explained % CS_EXPLAIN_ANSWERS];
	if (*oldest && now_ms - *oldest < ANSWER_INTERVAL_MS)
		return false;
	*oldest = now_ms;
	f->n_explained++;
	return true;
}

static enum MHD_Result
refuse_too_many (struct MHD_Connection *connection)
{
	static const cs_httpd_header_t headers[] = {{"Retry-After", "1"}, {NULL, NULL}};
	return cs_httpd_queue_response_with (connection, STATUS_TOO_MANY, cs_str (""), headers);
}

enum MHD_Result
cs_explain (cs_forward_t *f, struct MHD_Connection *connection, const char *method)
{
	if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
		return cs_httpd_queue_response (connection, STATUS_NOT_ALLOWED, cs_str (""));
	if (!may_answer (f, cs_now_ms ()))
		return refuse_too_many (connection);
	answer_t *a = cs_alloc (sizeof *a);
	a->f = f;
	a->now_ms = cs_now_ms ();
	cs_question_read (&a->question, connection);
	if (!a->question.thing)
		find_answer (a);
	const cs_question_t *q = &a->question;
	const char *chosen = a->outcome && a->places.status == CS_OK && a->places.n_judged
				     ? a->places.chosen.name
				     : "-";
	cs_log_event ("forward", "explained",
		      "path=%.80s service=%.80s outcome=%s reason=%s back_end=%s",
		      *q->path ? q->path : "-", *q->service ? q->service : "-",
		      q->thing ? "malformed" : a->outcome,
		      q->thing    ? q->thing
		      : a->reason ? a->reason
				  : "-",
		      chosen);
	enum MHD_Result result =
		q->thing ? respond (connection, STATUS_BAD_REQUEST, malformed_json (q))
			 : respond (connection, STATUS_OK, answer_json (a));
	cs_buf_finish (&a->service);
	free (a);
	return result;
}
