/* Handles an operator's apply request: parses and validates the declared resources and submits
 * the change to the log as a PROPOSE record. The request is answered once the proposal is
 * decided. */
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "cs/resources.h"

enum {
	CHANGE_ID_BYTES = 16,
	DECISION_WAIT_MS =
		15000 /* if the proposal is undecided after this time, the answer is "pending" */
};

/* A change that is being built from a request. */
typedef struct {
	control_t *c;
	json_t *root;
	cs_findings_t findings;
	cs_resources_t resources;
	Cs__Propose propose;
	Cs__Scope scope;
	char *change_id;
	cs_buf_t source;
} change_t;

static void
change_finish (change_t *x)
{
	for (size_t i = 0; i < x->propose.n_changes; i++)
		free (x->propose.changes[i]);
	free (x->propose.changes);
	free (x->scope.zones);
	free (x->change_id);
	cs_buf_finish (&x->source);
	cs_resources_finish (&x->resources);
	cs_findings_finish (&x->findings);
	json_decref (x->root);
}

static void
parse_files (change_t *x)
{
	json_t *files = json_object_get (x->root, "files");
	for (size_t i = 0; i < json_array_size (files); i++) {
		json_t *f = json_array_get (files, i);
		const char *name = json_string_value (json_object_get (f, "name"));
		json_t *text = json_object_get (f, "text");
		if (!name || !json_is_string (text)) {
			cs_findings_add (&x->findings, "request", 0, 0,
					 "files[%zu] must have the strings \"name\" and \"text\"",
					 i);
			continue;
		}
		cs_resources_parse (&x->resources,
				    cs_str_n (json_string_value (text), json_string_length (text)),
				    name, &x->findings);
		cs_buf_printf (&x->source, "%s%s", x->source.n ? " " : "", name);
	}
	if (!json_array_size (files) && !json_array_size (json_object_get (x->root, "remove")))
		cs_findings_add (&x->findings, "request", 0, 0,
				 "both \"files\" and \"remove\" are missing or empty");
}

/* Stores the operator's note or, without a note, the file names with the change. */
static void
set_change_source (change_t *x)
{
	const char *note = json_string_value (json_object_get (x->root, "operator_note"));
	if (note && *note) {
		cs_buf_clear (&x->source);
		cs_buf_addz (&x->source, note);
	}
	x->propose.source = x->source.p ? x->source.p : "";
}

static void
check_references (change_t *x)
{
	const cs_config_t *config = &x->c->config;
	Cs__Resource **existing = cs_alloc ((cs_config_count (config) + 1) * sizeof *existing);
	size_t n = 0;
	for (const cs_resource_t *r = NULL; (r = cs_config_next (config, CS_KIND_COUNT, r));)
		existing[n++] = r->resource;
	cs_resources_check_references (&x->resources, existing, n, &x->findings);
	cs_resources_check_scope (&x->resources, existing, n, (const char *const *)x->scope.zones,
				  x->scope.n_zones, &x->findings);
	free (existing);
}

/* Version that the operator expects: the request's, or `present` (the one in force on this daemon)
 * if the request has none. */
static uint64_t
expected_version (const change_t *x, const char *kind, const char *name, uint64_t present)
{
	cs_buf_t key = {0};
	cs_buf_printf (&key, "%s/%s", kind, name);
	json_t *v = json_object_get (json_object_get (x->root, "expected"), key.p);
	cs_buf_finish (&key);
	return json_is_integer (v) ? (uint64_t)json_integer_value (v) : present;
}

static void
add_changes (change_t *x)
{
	Cs__Propose *p = &x->propose;
	size_t removals = json_array_size (json_object_get (x->root, "remove"));
	p->changes = cs_alloc ((x->resources.n + removals + 1) * sizeof *p->changes);
	for (size_t i = 0; i < x->resources.n; i++) {
		Cs__Resource *r = x->resources.items[i].resource;
		const char *kind = cs_resource_kind (r);
		cs_kind_t k = CS_KIND_COUNT;
		cs_kind_parse (cs_str (kind), &k);
		const cs_resource_t *in_force = cs_config_get (&x->c->config, k, cs_str (r->name));
		if (in_force && cs_resource_equal (in_force->resource, r))
			continue;
		Cs__Change *ch = cs_alloc (sizeof *ch);
		cs__change__init (ch);
		ch->kind = (char *)kind;
		ch->name = r->name;
		ch->expected_version =
			expected_version (x, kind, r->name, in_force ? in_force->version : 0);
		ch->resource = r;
		p->changes[p->n_changes++] = ch;
	}
}

/* Adds the removal of each "KIND/NAME" of the request. */
static void
add_removals (change_t *x)
{
	Cs__Propose *p = &x->propose;
	json_t *list = json_object_get (x->root, "remove");
	for (size_t i = 0; i < json_array_size (list); i++) {
		const char *key = json_string_value (json_array_get (list, i));
		cs_str_t name = cs_str (key);
		cs_kind_t kind = CS_KIND_COUNT;
		bool is_kind = cs_kind_parse (cs_str_split (&name, '/'), &kind);
		const cs_resource_t *in_force =
			is_kind ? cs_config_get (&x->c->config, kind, name) : NULL;
		if (!in_force) {
			cs_findings_add (&x->findings, "request", 0, 0,
					 "\"remove\" has no existing resource: \"%s\"",
					 key ? key : "");
			continue;
		}
		Cs__Change *ch = cs_alloc (sizeof *ch);
		cs__change__init (ch);
		ch->kind = (char *)cs_kind_name (kind);
		ch->name = in_force->resource->name;
		ch->remove = true;
		ch->expected_version = expected_version (x, ch->kind, ch->name, in_force->version);
		p->changes[p->n_changes++] = ch;
	}
}

static void
set_scope (change_t *x)
{
	json_t *zones = json_object_get (json_object_get (x->root, "scope"), "zones");
	cs__scope__init (&x->scope);
	x->scope.zones = cs_alloc ((json_array_size (zones) + 1) * sizeof *x->scope.zones);
	for (size_t i = 0; i < json_array_size (zones); i++) {
		const char *z = json_string_value (json_array_get (zones, i));
		if (z)
			x->scope.zones[x->scope.n_zones++] = (char *)z;
	}
	x->propose.scope = &x->scope;
}

static void
set_change_id (change_t *x)
{
	const char *given = json_string_value (json_object_get (x->root, "change_id"));
	uint8_t random[CHANGE_ID_BYTES];
	if (given && *given) {
		x->change_id = cs_str_dup (cs_str (given));
		return;
	}
	randombytes_buf (random, sizeof random);
	x->change_id = cs_alloc (2 * CHANGE_ID_BYTES + 1);
	sodium_bin2hex (x->change_id, 2 * CHANGE_ID_BYTES + 1, random, sizeof random);
}

static json_t *
findings_json (const cs_findings_t *f)
{
	json_t *list = json_array ();
	for (size_t i = 0; i < f->n; i++)
		json_array_append_new (list,
				       json_pack ("{s:s,s:i,s:i,s:s}", "file", f->items[i].file,
						  "line", f->items[i].line, "column",
						  f->items[i].column, "text", f->items[i].text));
	return json_pack ("{s:o}", "findings", list);
}

static json_t *
changes_json (const change_t *x)
{
	json_t *list = json_array ();
	for (size_t i = 0; i < x->propose.n_changes; i++) {
		const Cs__Change *ch = x->propose.changes[i];
		json_array_append_new (list, json_pack ("{s:s,s:s,s:I}", "kind", ch->kind, "name",
							ch->name, "version",
							(json_int_t)ch->expected_version));
	}
	return list;
}

static void
submit_proposal (change_t *x, cs_request_t *request)
{
	control_t *c = x->c;
	Cs__Record r = CS__RECORD__INIT;
	r.body_case = CS__RECORD__BODY_PROPOSE;
	r.propose = &x->propose;
	if (cs_writer_submit (&c->control_stream.writer, &r, NULL) != CS_OK) {
		cs_refuse_msg_t *m =
			cs_refuse_msg (request, 503, "log-unavailable", CS_NOT_RUN, 5,
				       "the queue of records to append to the log is full");
		cs_send (c->task, c->gateway, &m->msg);
		return;
	}
	cs_log ("config", CS_LOG_INFO, "proposed change %s of %zu resources", x->change_id,
		x->propose.n_changes);
	pending_add (c, request, x->change_id, 0, cs_now_ms () + DECISION_WAIT_MS);
}

static void
refuse_conflict (change_t *x, cs_request_t *request, const cs_buf_t *reason)
{
	cs_refuse_msg_t *m = cs_refuse_msg (request, 409, "conflict", CS_NOT_RUN, 0, "%.*s",
					    CS_STR_ARG (cs_buf_str (reason)));
	cs_send (x->c->task, x->c->gateway, &m->msg);
}

static void
propose_change (change_t *x, cs_request_t *request)
{
	control_t *c = x->c;
	cs_buf_t reason = {0};
	bool dry_run = json_is_true (json_object_get (x->root, "dry_run"));
	if (!x->propose.n_changes)
		answer_json (c, request, 200,
			     json_pack ("{s:s,s:s,s:[]}", "change", x->change_id, "state",
					"unchanged", "changes"));
	else if (cs_config_validate (&c->config, &x->propose, &reason) != CS_OK)
		refuse_conflict (x, request, &reason);
	else if (dry_run)
		answer_json (c, request, 200,
			     json_pack ("{s:s,s:s,s:o}", "change", x->change_id, "state", "checked",
					"changes", changes_json (x)));
	else
		submit_proposal (x, request);
	cs_buf_finish (&reason);
}

void
apply_change (control_t *c, cs_request_t *request)
{
	json_error_t error;
	change_t x = {.c = c};
	char *operator_name = cs_str_dup (request->operator_name);
	x.root = json_loadb (request->body.p, request->body.n, 0, &error);
	cs_findings_init (&x.findings);
	cs_resources_init (&x.resources);
	cs__propose__init (&x.propose);
	set_change_id (&x);
	const cs_proposal_t *known = cs_config_proposal_by_id (&c->config, cs_str (x.change_id));
	if (known) {
		pending_add (c, request, x.change_id, 0, cs_now_ms () + DECISION_WAIT_MS);
	} else {
		parse_files (&x);
		set_scope (&x);
		check_references (&x);
		add_changes (&x);
		add_removals (&x);
		x.propose.change_id = x.change_id;
		x.propose.operator_ = operator_name;
		set_change_source (&x);
		if (x.findings.n)
			answer_json (c, request, 422, findings_json (&x.findings));
		else
			propose_change (&x, request);
	}
	free (operator_name);
	change_finish (&x);
}
