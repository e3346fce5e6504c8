/* The apply and remove commands: submit one change and poll until its outcome is known. */
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "ctl.h"

enum {
	DEFAULT_TIMEOUT_S = 30, /* default limit for the whole command */
	CALL_TIMEOUT_S = 15,    /* limit for one HTTP call */
	RETRY_MS = 500,         /* delay between attempts */
	ID_BYTES = 8
};

/* Generates a random change id in hex. Every attempt sends the same id, so that the daemons
 * make the change only once. */
static void
generate_change_id (char out[2 * ID_BYTES + 1])
{
	unsigned char bytes[ID_BYTES];
	if (getrandom (bytes, sizeof bytes, 0) != sizeof bytes)
		abort ();
	for (int i = 0; i < ID_BYTES; i++)
		snprintf (out + 2 * (size_t)i, 3, "%02x", bytes[i]);
}

/* Adds the versions given with --expect. Prints an error and returns false if one is malformed. */
static bool
add_expected_versions (const options_t *o, json_t *expected, FILE *err)
{
	for (size_t i = 0; i < o->n_expected; i++) {
		uint64_t version;
		cs_str_t rest = cs_str (o->expected[i]);
		cs_str_t name = cs_str_split (&rest, '=');
		if (!cs_str_u64 (rest, &version)) {
			fprintf (err,
				 "cornelspindle: --expect takes KIND/NAME=VERSION, got \"%s\"\n",
				 o->expected[i]);
			return false;
		}
		json_object_setn_new (expected, name.p, name.n, json_integer ((json_int_t)version));
	}
	return true;
}

/* Adds the current version of a resource (0 if there is none) to the expected versions, unless
 * --expect gave one. Prints whether the resource is new, changed or unchanged. */
static void
add_current_version (json_t *expected, const json_t *items, const Cs__Resource *r, FILE *out)
{
	char name[256];
	const char *kind = cs_resource_kind (r);
	const json_t *item = item_find (items, kind, r->name);
	json_int_t version = json_integer_value (json_object_get (item, "version"));
	json_t *declared = cs_resource_to_json (r);
	bool is_same =
		json_equal (json_object_get (item, "spec"), json_object_get (declared, "spec"));
	json_decref (declared);
	snprintf (name, sizeof name, "%s/%s", kind, r->name);
	if (!json_object_get (expected, name))
		json_object_set_new (expected, name, json_integer (version));
	if (!item)
		fprintf (out, "%s: new\n", name);
	else
		fprintf (out, "%s: version %lld %s\n", name, (long long)version,
			 is_same ? "stays" : "changes");
}

static json_t *
build_change_request (const options_t *o, const file_set_t *s, json_t *expected, const char *id)
{
	json_t *zones = json_array ();
	for (size_t i = 0; i < o->n_zones; i++)
		json_array_append_new (zones, json_string (o->zones[i]));
	return json_pack ("{s:s, s:{s:o}, s:O, s:O, s:b, s:s}", "operator_note", o->note, "scope",
			  "zones", zones, "files", s->files, "expected", expected, "dry_run",
			  (int)o->dry_run, "change_id", id);
}

static void
print_outcome (const answer_t *a, const options_t *o, FILE *out)
{
	char id[32];
	char state[32];
	char version[32];
	const char *current_state = field_text (a->body, "state", state);
	if (o->json)
		print_json (a->body, out);
	else if (!strcmp (current_state, "unchanged"))
		fputs ("nothing to change\n", out);
	else if (o->dry_run)
		fputs ("accepted by the dry run; nothing has changed\n", out);
	else
		fprintf (out, "change %s is in force at version %s\n",
			 field_text (a->body, "change", id),
			 field_text (a->body, "version", version));
}

typedef enum {
	STEP_DONE,  /* the outcome is known */
	STEP_RETRY, /* not known yet: poll or send again */
	STEP_REFUSED
} step_t;

/* Derives the next step from the state and HTTP status of an answer. One of which no JSON object
 * came whole says nothing. */
static step_t
classify_answer (const answer_t *a)
{
	char buffer[32];
	const char *state = field_text (a->body, "state", buffer);
	if (!strcmp (state, "withdrawn") || !strcmp (state, "refused"))
		return STEP_REFUSED;
	if (a->status == 202 || !strcmp (state, "pending") || a->status == 429 || a->status >= 500)
		return STEP_RETRY;
	if (a->status < 200 || a->status >= 300)
		return STEP_REFUSED;
	return json_is_object (a->body) ? STEP_DONE : STEP_RETRY;
}

/* Progress of a change over all attempts. */
typedef struct {
	const options_t *o;
	const json_t *body;
	const char *id;
	bool is_pending;   /* a daemon accepted the change: poll its state, don't resend */
	bool may_have_run; /* an attempt was sent and its outcome is unknown */
} attempt_t;

/* Sends the change, or polls its state once a daemon accepted it. A 404 to a poll means that the
 * daemon does not know the change, which is then sent again. *status is that of the call. */
static step_t
attempt_once (attempt_t *t, uint64_t timeout_s, answer_t *a, cs_status_t *status)
{
	char path[64];
	snprintf (path, sizeof path, "/apis/changes/%s", t->id);
	if (t->is_pending)
		*status = client_call (t->o, "GET", path, NULL, timeout_s, a);
	else
		*status = client_call (t->o, "POST", "/apis/changes", t->body, timeout_s, a);
	bool is_unknown_there = t->is_pending && *status == CS_OK && a->status == 404;
	t->is_pending = *status == CS_OK && (a->status == 202 || t->is_pending);
	if (is_unknown_there)
		t->is_pending = false;
	step_t step = *status == CS_OK && !is_unknown_there ? classify_answer (a) : STEP_RETRY;
	if (step == STEP_RETRY && *status != CS_UNAVAILABLE)
		t->may_have_run = true;
	return step;
}

/* Reports that the time limit passed before the outcome was known; returns the exit status. */
static cs_exit_t
report_timeout (const attempt_t *t, cs_status_t status, const answer_t *a, FILE *err)
{
	cs_exit_t exit = CS_EXIT_UNKNOWN;
	if (status != CS_OK)
		exit = print_unreachable (t->o, err);
	else if (a->status >= 400)
		exit = print_refusal (a, err);
	if (t->may_have_run)
		fprintf (err, "outcome unknown; run: cornelspindle explain change %s\n", t->id);
	return t->may_have_run ? CS_EXIT_UNKNOWN : exit;
}

/* Repeats attempts until the outcome is known or the time limit passes. */
static cs_exit_t
submit_until_known (const options_t *o, const json_t *body, const char *id, FILE *out, FILE *err)
{
	attempt_t t = {o, body, id, false, false};
	time_t end = time (NULL) + (time_t)(o->timeout_s ? o->timeout_s : DEFAULT_TIMEOUT_S);
	for (;;) {
		answer_t a;
		cs_status_t status;
		cs_exit_t exit = CS_EXIT_OK;
		time_t left_s = end - time (NULL);
		bool is_last = left_s <= 0;
		uint64_t wait_s =
			left_s > 0 && left_s < CALL_TIMEOUT_S ? (uint64_t)left_s : CALL_TIMEOUT_S;
		step_t step = attempt_once (&t, is_last ? 1 : wait_s, &a, &status);
		if (step == STEP_DONE)
			print_outcome (&a, o, out);
		else if (step == STEP_REFUSED)
			exit = print_refusal (&a, err);
		else if (is_last)
			exit = report_timeout (&t, status, &a, err);
		answer_finish (&a);
		if (step != STEP_RETRY || is_last)
			return exit;
		usleep (RETRY_MS * 1000);
	}
}

static cs_exit_t
apply_files (const options_t *o, const file_set_t *s, FILE *out, FILE *err)
{
	answer_t a = {0, NULL};
	char id[2 * ID_BYTES + 1];
	json_t *expected = json_object ();
	cs_exit_t status = CS_EXIT_USAGE;
	if (add_expected_versions (o, expected, err))
		status = client_get (o, "/apis/resources", &a, err);
	if (status == CS_EXIT_OK) {
		const json_t *items = json_object_get (a.body, "items");
		for (size_t i = 0; i < s->resources.n; i++)
			add_current_version (expected, items, s->resources.items[i].resource,
					     o->json ? err : out);
		generate_change_id (id);
		json_t *body = build_change_request (o, s, expected, id);
		status = submit_until_known (o, body, id, out, err);
		json_decref (body);
	}
	answer_finish (&a);
	json_decref (expected);
	return status;
}

/* Adds the resource KIND/NAME to the list of removals, and its current version to the expected
 * versions unless --expect gave one. Fails if there is no such resource. */
static cs_exit_t
add_removal (json_t *list, json_t *expected, const json_t *items, const char *operand, FILE *err)
{
	cs_str_t name = cs_str (operand);
	char *kind = cs_str_dup (cs_str_split (&name, '/'));
	const json_t *item = item_find (items, kind, name.p);
	free (kind);
	if (!item) {
		fprintf (err, "cornelspindle: there is no resource %s\n", operand);
		return CS_EXIT_REFUSED;
	}
	json_array_append_new (list, json_string (operand));
	if (!json_object_get (expected, operand))
		json_object_set (expected, operand, json_object_get (item, "version"));
	return CS_EXIT_OK;
}

cs_exit_t
run_remove (const options_t *o, FILE *out, FILE *err)
{
	file_set_t s;
	answer_t a = {0, NULL};
	char id[2 * ID_BYTES + 1];
	json_t *expected = json_object ();
	json_t *list = json_array ();
	cs_exit_t status = CS_EXIT_USAGE;
	file_set_init (&s);
	if (!o->n_args)
		fputs ("cornelspindle: remove takes the names of resources (KIND/NAME)\n", err);
	else if (add_expected_versions (o, expected, err))
		status = client_get (o, "/apis/resources", &a, err);
	for (int i = 0; i < o->n_args && status == CS_EXIT_OK; i++)
		status = add_removal (list, expected, json_object_get (a.body, "items"), o->args[i],
				      err);
	if (status == CS_EXIT_OK) {
		generate_change_id (id);
		json_t *body = build_change_request (o, &s, expected, id);
		json_object_set (body, "remove", list);
		status = submit_until_known (o, body, id, out, err);
		json_decref (body);
	}
	answer_finish (&a);
	json_decref (list);
	json_decref (expected);
	file_set_finish (&s);
	return status;
}

cs_exit_t
run_apply (const options_t *o, FILE *out, FILE *err)
{
	file_set_t s;
	file_set_init (&s);
	cs_exit_t status = file_set_read (&s, o, err);
	if (status == CS_EXIT_OK)
		status = apply_files (o, &s, out, err);
	file_set_finish (&s);
	return status;
}
