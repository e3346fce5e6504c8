/* Status and explanations for operators. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	HEX_ID_BYTES = 17, /* 16 digits and a NUL */
	REQUEST_ID_BASE = 16
};

static void
format_hex_id (uint64_t id, char *out)
{
	snprintf (out, HEX_ID_BYTES, "%016llx", (unsigned long long)id);
}

static json_t *
daemons_json (const control_t *c, int64_t now)
{
	json_t *list = json_array ();
	for (const cs_member_t *m = c->members.table; m; m = m->hh.next) {
		char id[HEX_ID_BYTES];
		bool self = m->incarnation == c->own_incarnation;
		format_hex_id (m->incarnation, id);
		json_array_append_new (
			list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:b,s:b}", "name", m->name, "zone",
					 m->zone, "region", m->region, "url", m->url, "incarnation",
					 id, "heard",
					 self || cs_detector_is_reachable (&c->detector,
									   m->incarnation, now),
					 "self", self));
	}
	return list;
}

static json_t *
members_json (const control_t *c, const cs_group_t *g, int64_t now)
{
	static const char *const states[] = {
		[CS_MEMBER_UNREACHABLE] = "unreachable",
		[CS_MEMBER_IDLE] = "idle",
		[CS_MEMBER_LOADING] = "loading",
		[CS_MEMBER_READY] = "ready",
	};
	json_t *list = json_array ();
	for (size_t i = 0; i < g->n_members; i++) {
		const cs_vm_report_t *r = cs_evidence_find (&c->evidence, g->members[i]->vm);
		bool fresh = r && cs_evidence_is_fresh (&c->evidence, g->members[i]->vm, now);
		json_array_append_new (list,
				       json_pack ("{s:s,s:s}", "vm", g->members[i]->vm, "state",
						  fresh ? states[r->state] : "silent"));
	}
	return list;
}

/* Lists the zone's groups and adds the accelerators of the complete ones to *serving. */
static json_t *
groups_json (const control_t *c, int64_t now, uint32_t *serving)
{
	json_t *list = json_array ();
	for (const cs_group_t *g = NULL; (g = cs_groups_next (&c->groups, g));) {
		cs_group_verdict_t v = cs_evidence_judge (&c->evidence, g, now);
		for (size_t i = 0; v.whole && i < g->n_members; i++)
			*serving += g->members[i]->accelerators;
		json_array_append_new (
			list,
			json_pack ("{s:s,s:s,s:s,s:s,s:I,s:s,s:s,s:o}", "name", g->group, "zone",
				   c->settings->zone, "model", g->model, "state",
				   v.whole ? "serving" : "not-serving", "fence",
				   (json_int_t)g->fence, "reason", cs_group_reason_name (v.reason),
				   "vm", v.vm ? v.vm : "", "members", members_json (c, g, now)));
	}
	return list;
}

static json_t *
accelerators_json (const control_t *c, uint32_t serving)
{
	uint32_t total = 0;
	uint32_t idle = 0;
	for (const cs_vm_t *v = NULL; (v = cs_groups_next_vm (&c->groups, v));) {
		total += v->accelerators;
		if (v->use != CS_VM_ASSIGNED)
			idle += v->accelerators;
	}
	return json_pack ("{s:i,s:i,s:i,s:i}", "total", total, "serving", serving, "idle", idle,
			  "stranded", total - serving);
}

static json_t *
changes_in_doubt_json (const control_t *c, int64_t now)
{
	bool current = log_current (c, now);
	json_t *out = json_array ();
	for (const cs_resource_t *r = NULL; (r = cs_config_next (&c->config, CS_KIND_COUNT, r));)
		if (cs_config_in_doubt (&c->config, current, r->kind, cs_str (r->resource->name)))
			json_array_append_new (out, json_string (r->key));
	return out;
}

/* This daemon's shares of the teams' limits; zero where there is no limit. */
static json_t *
shares_json (control_t *c, int64_t now)
{
	json_t *out = json_array ();
	for (const cs_resource_t *r = NULL; (r = cs_config_next (&c->config, CS_KIND_TEAM, r));) {
		const char *team = r->resource->name;
		uint64_t held[CS_DIMS] = {0};
		uint32_t in_progress = 0;
		cs_limits_get_share (&c->limits, now, team, held, &in_progress);
		json_array_append_new (
			out, json_pack ("{s:s,s:I,s:I,s:I,s:i}", "team", team,
					"requests_per_minute", (json_int_t)held[CS_DIM_REQUESTS],
					"tokens_per_minute", (json_int_t)held[CS_DIM_TOKENS],
					"concurrent", (json_int_t)held[CS_DIM_CONCURRENT],
					"in_progress", in_progress));
	}
	return out;
}

void
status_get (control_t *c, cs_request_t *request)
{
	int64_t now = cs_now_ms ();
	uint32_t serving = 0;
	char id[HEX_ID_BYTES];
	format_hex_id (c->own_incarnation, id);
	json_t *groups = groups_json (c, now, &serving);
	json_t *root = json_pack (
		"{s:s,s:s,s:s,s:b,s:b,s:b,s:b,s:I,s:o,s:o,s:o,s:o,s:o}", "daemon",
		c->settings->name, "zone", c->settings->zone, "incarnation", id, "ready", c->ready,
		"draining", c->draining, "log_current", log_current (c, now), "peers_authenticated",
		c->settings->peer_secret_key != NULL, "offset",
		(json_int_t)c->control_stream.applier.next_offset, "daemons", daemons_json (c, now),
		"groups", groups, "accelerators", accelerators_json (c, serving),
		"changes_in_doubt", changes_in_doubt_json (c, now), "shares", shares_json (c, now));
	answer_json (c, request, 200, root);
}

static const char *
proposal_state (cs_proposal_state_t state)
{
	static const char *const names[] = {
		[CS_PROPOSAL_OPEN] = "pending",
		[CS_PROPOSAL_ACTIVE] = "activated",
		[CS_PROPOSAL_WITHDRAWN] = "withdrawn",
		[CS_PROPOSAL_REFUSED] = "refused",
	};
	return names[state];
}

/* A comma-separated list as a JSON array. */
static json_t *
names_json (cs_str_t text)
{
	json_t *list = json_array ();
	while (text.n) {
		cs_str_t name = cs_str_split (&text, ',');
		while (name.n && name.p[0] == ' ')
			name = cs_str_n (name.p + 1, name.n - 1);
		json_array_append_new (list, json_stringn (name.p, name.n));
	}
	return list;
}

static void
explain_change (control_t *c, cs_request_t *request, cs_str_t id)
{
	const cs_proposal_t *p = cs_config_proposal_by_id (&c->config, id);
	cs_buf_t missing = {0};
	if (!p) {
		cs_refuse_msg_t *m =
			cs_refuse_msg (request, 404, "unknown-change", CS_NOT_RUN, 0,
				       "no change with this ID is known to this daemon");
		cs_send (c->task, c->gateway, &m->msg);
		return;
	}
	cs_config_list_missing (&c->config, p, &missing);
	json_t *text = json_array ();
	cs_buf_t line = {0};
	cs_buf_printf (&line, "The change was proposed at offset %llu and is %s.",
		       (unsigned long long)p->offset, proposal_state (p->state));
	json_array_append_new (text, json_string (line.p));
	if (p->reason && *p->reason)
		json_array_append_new (text, json_string (p->reason));
	if (p->state == CS_PROPOSAL_OPEN && missing.n) {
		cs_buf_clear (&line);
		cs_buf_printf (&line, "It waits for %s.", missing.p);
		json_array_append_new (text, json_string (line.p));
	}
	int status =
		p->state == CS_PROPOSAL_WITHDRAWN || p->state == CS_PROPOSAL_REFUSED ? 409 : 200;
	json_t *root = json_pack (
		"{s:s%,s:s,s:I,s:I,s:s,s:o,s:o}", "change", id.p, id.n, "state",
		proposal_state (p->state), "proposal", (json_int_t)p->offset, "version",
		(json_int_t)p->decided_at, "reason", p->reason ? p->reason : "", "missing",
		p->state == CS_PROPOSAL_ACTIVE ? json_array () : names_json (cs_buf_str (&missing)),
		"text", text);
	bool is_get = cs_str_is (request->method, "GET");
	answer_json (c, request, is_get ? 200 : status, root);
	cs_buf_finish (&missing);
	cs_buf_finish (&line);
}

static void
explain_group (control_t *c, cs_request_t *request, cs_str_t id)
{
	cs_buf_t out = {0};
	char *name = cs_str_dup (id);
	json_t *text = json_array ();
	cs_groups_explain (&c->groups, &c->evidence, name, cs_now_ms (), &out);
	cs_str_t rest = cs_buf_str (&out);
	while (rest.n) {
		cs_str_t line = cs_str_split (&rest, '\n');
		if (line.n)
			json_array_append_new (text, json_stringn (line.p, line.n));
	}
	answer_json (c, request, 200, json_pack ("{s:s,s:o}", "group", name, "text", text));
	free (name);
	cs_buf_finish (&out);
}

static void
explain_request (control_t *c, cs_request_t *request, cs_str_t id)
{
	static const char *const states[] = {
		[JOB_QUEUED] = "waits for a replica with free capacity",
		[JOB_CLAIMING] = "waits for its claim in the log",
		[JOB_RUNNING] = "runs",
		[JOB_HELD] = "waits for evidence of a crash",
		[JOB_DELAYED] = "waits for its retry",
	};
	char *text_id = cs_str_dup (id);
	const job_t *j = job_find (c, strtoull (text_id, NULL, REQUEST_ID_BASE));
	free (text_id);
	json_t *text = json_array ();
	cs_buf_t line = {0};
	if (j)
		cs_buf_printf (&line, "The request %s; attempt %u, target %s.", states[j->state],
			       j->attempt, j->target ? j->target : "none yet");
	else
		cs_buf_addz (&line, "This daemon has no such request in progress; its trace and "
				    "the answer's problem document say how it ended.");
	json_array_append_new (text, json_string (line.p));
	answer_json (c, request, 200, json_pack ("{s:o}", "text", text));
	cs_buf_finish (&line);
}

void
explain_get (control_t *c, cs_request_t *request, cs_str_t what, cs_str_t id)
{
	if (cs_str_is (what, "change")) {
		explain_change (c, request, id);
	} else if (cs_str_is (what, "group")) {
		explain_group (c, request, id);
	} else if (cs_str_is (what, "request")) {
		explain_request (c, request, id);
	} else {
		cs_refuse_msg_t *m = cs_refuse_msg (request, 404, "unknown-path", CS_NOT_RUN, 0,
						    "explain takes group, request or change");
		cs_send (c->task, c->gateway, &m->msg);
	}
}
