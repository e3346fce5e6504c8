/* Output functions shared by the commands. */
#include <string.h>

#include "ctl.h"

void
print_json (const json_t *j, FILE *out)
{
	json_dumpf (j, out, JSON_INDENT (2) | JSON_ENCODE_ANY);
	fputc ('\n', out);
}

const char *
field_text (const json_t *object, const char *key, char buffer[32])
{
	const json_t *v = json_object_get (object, key);
	if (json_is_string (v))
		return json_string_value (v);
	if (json_is_integer (v))
		snprintf (buffer, 32, "%lld", (long long)json_integer_value (v));
	else if (json_is_real (v))
		snprintf (buffer, 32, "%.15g", json_real_value (v));
	else if (json_is_boolean (v))
		snprintf (buffer, 32, "%s", json_is_true (v) ? "true" : "false");
	else
		return "";
	return buffer;
}

static void
print_findings (const json_t *findings, FILE *err)
{
	size_t i;
	json_t *f;
	json_array_foreach (findings, i, f) {
		char line[32];
		char column[32];
		char rest[32];
		fprintf (err, "%s:%s:%s: ", field_text (f, "file", rest),
			 field_text (f, "line", line), field_text (f, "column", column));
		fprintf (err, "%s\n", field_text (f, "text", rest));
	}
}

/* Prints the daemons that had not acknowledged a withdrawn change. */
static void
print_missing (const json_t *missing, FILE *err)
{
	size_t i;
	json_t *name;
	json_array_foreach (missing, i, name)
		fprintf (err, "  not acknowledged by %s\n", json_string_value (name));
}

cs_exit_t
print_refusal (const answer_t *a, FILE *err)
{
	char buffer[32];
	const json_t *findings = json_object_get (a->body, "findings");
	const char *detail = field_text (a->body, "detail", buffer);
	if (!*detail)
		detail = field_text (a->body, "reason", buffer);
	if (!*detail)
		detail = field_text (a->body, "title", buffer);
	const char *state = field_text (a->body, "state", buffer);
	print_findings (findings, err);
	if (*state)
		fprintf (err, "cornelspindle: %s%s%s\n", state, *detail ? ": " : "", detail);
	else if (!findings)
		fprintf (err, "cornelspindle: refused with status %d%s%s\n", a->status,
			 *detail ? ": " : "", detail);
	const char *outcome = field_text (a->body, "outcome", buffer);
	if (*outcome)
		fprintf (err, "  outcome: %s\n", outcome);
	print_missing (json_object_get (a->body, "missing"), err);
	return a->status >= 500 ? CS_EXIT_UNKNOWN : CS_EXIT_REFUSED;
}

cs_exit_t
print_unreachable (const options_t *o, FILE *err)
{
	if (!o->n_servers) {
		fputs ("cornelspindle: no --server was given\n", err);
		return CS_EXIT_USAGE;
	}
	fprintf (err, "cornelspindle: no answer: %s\n", cs_last_error_message ());
	return CS_EXIT_UNKNOWN;
}
