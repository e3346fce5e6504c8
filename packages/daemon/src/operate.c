/* Operators' requests under /apis: resources, watches, drains and pending changes. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "cs/resources.h"

enum {
	MAX_EVENTS_PER_MESSAGE = 256 /* most events sent to a watch in one message */
};

void
answer_complete (control_t *c, cs_request_t *request, int status, const char *content_type,
		 cs_buf_t *body)
{
	cs_answer_msg_t *head = cs_answer_msg (CS_MSG_HEAD, request);
	head->status = status;
	head->content_type = cs_str_dup (cs_str (content_type));
	cs_send (c->task, c->gateway, &head->msg);
	if (body->n) {
		cs_answer_msg_t *m = cs_answer_msg (CS_MSG_BODY, request);
		m->bytes = *body;
		cs_buf_init (body);
		cs_send (c->task, c->gateway, &m->msg);
	}
	cs_buf_finish (body);
	cs_answer_msg_t *end = cs_answer_msg (CS_MSG_END, request);
	end->complete = true;
	cs_send (c->task, c->gateway, &end->msg);
}

void
answer_json (control_t *c, cs_request_t *request, int status, void *json)
{
	cs_buf_t body = {0};
	char *text = json_dumps (json, JSON_COMPACT);
	cs_buf_addz (&body, text);
	cs_buf_addz (&body, "\n");
	free (text);
	json_decref (json);
	answer_complete (c, request, status, "application/json", &body);
}

static void
refuse (control_t *c, cs_request_t *request, int status, const char *type, const char *detail)
{
	cs_refuse_msg_t *m = cs_refuse_msg (request, status, type, CS_NOT_RUN, 0, "%s", detail);
	cs_send (c->task, c->gateway, &m->msg);
}

void
pending_add (control_t *c, cs_request_t *request, const char *change_id, uint64_t since,
	     int64_t deadline_ms)
{
	pending_t *p = cs_alloc (sizeof *p);
	p->request = request;
	p->change_id = change_id ? cs_str_dup (cs_str (change_id)) : NULL;
	p->since = since;
	p->deadline_ms = deadline_ms;
	p->next = c->pending;
	c->pending = p;
	cs_ref_get (&request->ref);
}

static void
pending_remove (pending_t **at)
{
	pending_t *p = *at;
	*at = p->next;
	cs_ref_put (&p->request->ref);
	free (p->change_id);
	free (p);
}

static json_t *
resource_json (const cs_resource_t *r)
{
	json_t *o = cs_resource_to_json (r->resource);
	json_object_set_new (o, "version", json_integer ((json_int_t)r->version));
	json_object_set_new (o, "change", json_string (r->change_id));
	return o;
}

static void
get_resources (control_t *c, cs_request_t *request, cs_str_t rest)
{
	cs_str_t kind_name = cs_str_split (&rest, '/');
	cs_kind_t kind = CS_KIND_COUNT;
	json_t *items = json_array ();
	if (kind_name.n && !cs_kind_parse (kind_name, &kind)) {
		refuse (c, request, 404, "unknown-kind",
			"no kind of resource has the requested name");
		json_decref (items);
		return;
	}
	for (const cs_resource_t *r = NULL; (r = cs_config_next (&c->config, kind, r));)
		if (!rest.n || cs_str_is (rest, r->resource->name))
			json_array_append_new (items, resource_json (r));
	if (rest.n && !json_array_size (items)) {
		json_decref (items);
		refuse (c, request, 404, "unknown-resource",
			"no resource of this kind has the requested name");
		return;
	}
	answer_json (c, request, 200,
		     json_pack ("{s:o,s:I}", "items", items, "offset",
				(json_int_t)c->control_stream.applier.next_offset));
}

static void
handle_drain (control_t *c, cs_request_t *request)
{
	json_error_t error;
	json_t *root = json_loadb (request->body.p, request->body.n, 0, &error);
	const char *name = json_string_value (json_object_get (root, "daemon"));
	if (!name || strcmp (name, c->settings->name) != 0) {
		json_decref (root);
		refuse (c, request, 409, "other-daemon",
			"a daemon can drain only itself: send the request to the daemon that is to "
			"drain");
		return;
	}
	json_decref (root);
	answer_json (c, request, 202, json_pack ("{s:s}", "state", "draining"));
	if (!c->draining)
		drain_begin (c);
}

static uint64_t
query_number (cs_str_t query, const char *key)
{
	while (query.n) {
		cs_str_t pair = cs_str_split (&query, '&');
		cs_str_t name = cs_str_split (&pair, '=');
		uint64_t v = 0;
		if (cs_str_is (name, key) && cs_str_u64 (pair, &v))
			return v;
	}
	return 0;
}

static void
start_watch (control_t *c, cs_request_t *request)
{
	cs_answer_msg_t *head = cs_answer_msg (CS_MSG_HEAD, request);
	head->status = 200;
	head->content_type = cs_str_dup (cs_str ("text/event-stream"));
	cs_send (c->task, c->gateway, &head->msg);
	pending_add (c, request, NULL, query_number (request->query, "since"), 0);
}

void
operate (control_t *c, cs_request_t *request)
{
	cs_str_t rest = request->path;
	if (request->query.n && rest.n > request->query.n)
		rest.n -= request->query.n + 1;
	cs_str_split (&rest, '/');
	cs_str_split (&rest, '/');
	cs_str_t what = cs_str_split (&rest, '/');
	bool get = cs_str_is (request->method, "GET");
	bool post = cs_str_is (request->method, "POST");
	if (cs_str_is (what, "resources") && get) {
		get_resources (c, request, rest);
	} else if (cs_str_is (what, "changes") && post) {
		apply_change (c, request);
	} else if (cs_str_is (what, "changes") && get) {
		explain_get (c, request, cs_str ("change"), rest);
	} else if (cs_str_is (what, "status") && get) {
		status_get (c, request);
	} else if (cs_str_is (what, "watch") && get) {
		start_watch (c, request);
	} else if (cs_str_is (what, "explain") && get) {
		cs_str_t kind = cs_str_split (&rest, '/');
		explain_get (c, request, kind, rest);
	} else if (cs_str_is (what, "drain") && post) {
		handle_drain (c, request);
	} else {
		refuse (c, request, 404, "unknown-path", "no operation has this path and method");
	}
}

static const char *
event_name (cs_event_kind_t kind)
{
	static const char *const names[] = {
		[CS_EVENT_PROPOSED] = "proposed",
		[CS_EVENT_ACTIVATED] = "activated",
		[CS_EVENT_WITHDRAWN] = "withdrawn",
		[CS_EVENT_REFUSED] = "refused",
	};
	return names[kind];
}

/* Sends a watch the events from its offset on. */
static void
send_events (control_t *c, pending_t *p)
{
	const cs_event_t *e = NULL;
	size_t n = 0;
	bool is_contiguous = cs_config_events (&c->config, p->since, &e, &n);
	if (!n && is_contiguous)
		return;
	cs_answer_msg_t *m = cs_answer_msg (CS_MSG_BODY, p->request);
	if (!is_contiguous && p->since)
		cs_buf_addz (&m->bytes, "event: gap\ndata: {\"reason\":\"older events are "
					"no longer stored\"}\n\n");
	for (size_t i = 0; i < n && i < MAX_EVENTS_PER_MESSAGE; i++) {
		json_t *o = json_pack ("{s:I,s:s,s:s,s:s}", "offset", (json_int_t)e[i].offset,
				       "event", event_name (e[i].kind), "change", e[i].change_id,
				       "text", e[i].text);
		char *text = json_dumps (o, JSON_COMPACT);
		cs_buf_printf (&m->bytes, "id: %llu\ndata: %s\n\n", (unsigned long long)e[i].offset,
			       text);
		free (text);
		json_decref (o);
		p->since = e[i].offset + 1;
	}
	if (!p->since)
		p->since = 1;
	cs_send (c->task, c->gateway, &m->msg);
}

/* Answers an apply if its change is decided or its deadline has passed; true if answered. */
static bool
answer_if_decided (control_t *c, pending_t *p, int64_t now)
{
	const cs_proposal_t *x = cs_config_proposal_by_id (&c->config, cs_str (p->change_id));
	if (x && x->state != CS_PROPOSAL_OPEN) {
		explain_get (c, p->request, cs_str ("change"), cs_str (p->change_id));
		return true;
	}
	if (now < p->deadline_ms)
		return false;
	answer_json (c, p->request, 202,
		     json_pack ("{s:s,s:s}", "change", p->change_id, "state", "pending"));
	return true;
}

void
operate_tick (control_t *c, int64_t now)
{
	for (pending_t **at = &c->pending; *at;) {
		pending_t *p = *at;
		if (!p->change_id && !c->draining) {
			send_events (c, p);
			at = &p->next;
			continue;
		}
		if (!p->change_id) {
			cs_answer_msg_t *end = cs_answer_msg (CS_MSG_END, p->request);
			end->complete = true;
			cs_send (c->task, c->gateway, &end->msg);
			pending_remove (at);
			continue;
		}
		if (answer_if_decided (c, p, now))
			pending_remove (at);
		else
			at = &p->next;
	}
}

void
operate_caller_disconnected (control_t *c, const cs_request_t *request)
{
	for (pending_t **at = &c->pending; *at; at = &(*at)->next) {
		if ((*at)->request != request)
			continue;
		pending_remove (at);
		return;
	}
}

void
operate_finish (control_t *c)
{
	while (c->pending)
		pending_remove (&c->pending);
}
