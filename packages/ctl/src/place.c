/* explain place: asks daemons of a hosted platform where a request would go. */
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	ANSWER_S = 1, /* within which a daemon answers */
	LINE_BYTES = 32
};

static void
add_value (cs_buf_t *out, const char *name, const char *value)
{
	if (!value)
		return;
	cs_buf_printf (out, "%s%s=", out->p[out->n - 1] == '?' ? "" : "&", name);
	client_escape (out, value);
}

/* HOST/PATH, or the name of a service. */
static void
add_target (cs_buf_t *out, const char *target)
{
	const char *slash = strchr (target, '/');
	if (!slash) {
		add_value (out, "service", target);
		return;
	}
	char *host = cs_str_dup (cs_str_n (target, (size_t)(slash - target)));
	add_value (out, "host", host);
	add_value (out, "path", slash);
	free (host);
}

static void
make_path (const options_t *o, cs_buf_t *out)
{
	cs_buf_addz (out, "/explain?");
	add_target (out, o->args[1]);
	add_value (out, "model", o->model);
	add_value (out, "team", o->team);
	add_value (out, "prompt", o->prompt);
	add_value (out, "answer", o->answer);
	for (size_t i = 0; i < o->n_tried; i++)
		add_value (out, "tried", o->tried[i]);
}

static const char *
text_of (const json_t *j, const char *key)
{
	const char *text = json_string_value (json_object_get (j, key));
	return text ? text : "";
}

static long long
number_of (const json_t *j, const char *key)
{
	return (long long)json_integer_value (json_object_get (j, key));
}

static bool
is_set (const json_t *j, const char *key)
{
	return json_is_true (json_object_get (j, key));
}

static void
print_choice (const char *lead, const json_t *choice, FILE *out)
{
	fprintf (out, "%s%s in zone %s", lead, text_of (choice, "id"), text_of (choice, "zone"));
	if (is_set (choice, "far"))
		fputs (", which is not this daemon's", out);
	if (is_set (choice, "suspect"))
		fputs (", a suspect", out);
	if (number_of (choice, "first_event_ms") >= 0)
		fprintf (out, ", first event in %lld ms", number_of (choice, "first_event_ms"));
	fputc ('\n', out);
}

static void
print_outcome (const json_t *a, FILE *out)
{
	const char *outcome = text_of (a, "outcome");
	const char *reason = text_of (a, "reason");
	if (!strcmp (outcome, "send"))
		print_choice ("  goes to ", json_object_get (a, "chosen"), out);
	else if (!strcmp (outcome, "wait"))
		fprintf (out, "  waits, up to %lld ms: %s\n",
			 number_of (json_object_get (a, "overload"), "max_wait_ms"), reason);
	else if (number_of (a, "retry_after_ms"))
		fprintf (out, "  is refused: %s, to be repeated after %lld ms\n", reason,
			 number_of (a, "retry_after_ms"));
	else
		fprintf (out, "  is refused: %s\n", reason);
}

static void
print_state (const json_t *a, FILE *out)
{
	const json_t *config = json_object_get (a, "config");
	const json_t *list = json_object_get (a, "list");
	const json_t *era = json_object_get (a, "era");
	if (json_is_object (config))
		fprintf (out, "  configuration %lld, read %lld ms ago%s",
			 number_of (config, "version"), number_of (config, "age_ms"),
			 is_set (config, "behind") ? ", a newer one is not read yet" : "");
	else
		fputs ("  no configuration", out);
	if (json_is_integer (era))
		fprintf (out, "; era %lld", (long long)json_integer_value (era));
	if (!is_set (list, "read"))
		fputs ("; the list of back ends was never read\n", out);
	else if (!is_set (list, "reachable"))
		fprintf (out, "; the list of back ends can't be read, and is %lld ms old\n",
			 number_of (list, "lost_ms"));
	else
		fputs ("; the list of back ends is up to date\n", out);
}

static void
print_route (const json_t *a, FILE *out)
{
	const json_t *r = json_object_get (a, "route");
	const json_t *q = json_object_get (a, "overload");
	fprintf (out,
		 "  route %s: %s, priority %lld, objective %lld ms, %lld attempts%s; service %s\n",
		 text_of (r, "name"), text_of (r, "kind"), number_of (q, "priority"),
		 number_of (r, "target_ms"), number_of (r, "attempts"),
		 is_set (r, "homes") ? ", in its homes only" : "", text_of (a, "service"));
	double limit = json_real_value (json_object_get (q, "limit_per_s"));
	if (limit > 0)
		fprintf (out, "  overload control: %.2f requests/s", limit);
	else
		fputs ("  overload control: no limit", out);
	fprintf (out, ", %lld wait%s\n", number_of (q, "waiting"),
		 is_set (q, "may_send")     ? ""
		 : is_set (q, "would_wait") ? "; this one would wait"
					    : "; this one would be refused");
}

static const char *
reason_of (const char *verdict)
{
	static const char *const reasons[][2] = {
		{"cold", ", its share of requests is used"},
		{"suspect", ", as it failed lately"},
		{"ejected", ", as it is slow or fails"},
		{"tried", " before"},
		{"no-home", ", its zone is no home of route and team"},
		{"other-zone", ", the own zone has room"},
	};
	for (size_t i = 0; i < sizeof reasons / sizeof *reasons; i++)
		if (!strcmp (verdict, reasons[i][0]))
			return reasons[i][1];
	return "";
}

static void
print_target (const json_t *t, FILE *out)
{
	const char *verdict = text_of (t, "verdict");
	fprintf (out, "    %s: %s%s; zone %s, load %.1f", text_of (t, "id"), verdict,
		 reason_of (verdict), text_of (t, "zone"),
		 json_real_value (json_object_get (t, "load")));
	if (number_of (t, "slots"))
		fprintf (out, " of %lld", number_of (t, "slots"));
	if (number_of (t, "load_age_ms") >= 0)
		fprintf (out, ", told %lld ms ago", number_of (t, "load_age_ms"));
	if (number_of (t, "first_event_ms") >= 0)
		fprintf (out, ", first event in %lld ms", number_of (t, "first_event_ms"));
	if (number_of (t, "returns_ms"))
		fprintf (out, ", takes requests again in %lld ms", number_of (t, "returns_ms"));
	fputc ('\n', out);
}

static void
print_place (const char *address, json_t *a, FILE *out)
{
	size_t i;
	json_t *t;
	const char *verdict;
	fprintf (out, "%s, daemon %s in zone %s:\n", address, text_of (a, "daemon"),
		 text_of (a, "zone"));
	print_outcome (a, out);
	print_state (a, out);
	if (!json_object_get (a, "targets"))
		return;
	print_route (a, out);
	if (!strcmp (text_of (a, "outcome"), "send")) {
		if (json_is_object (json_object_get (a, "next")))
			print_choice ("  if that failed: ", json_object_get (a, "next"), out);
		else
			fputs ("  if that failed: nowhere\n", out);
	}
	json_array_foreach (json_object_get (a, "targets"), i, t)
		print_target (t, out);
	json_object_foreach (json_object_get (a, "unlisted"), verdict, t)
		fprintf (out, "    %lld more: %s\n", (long long)json_integer_value (t), verdict);
}

/* The body of the daemon's answer in *body; NULL where there is none of use. */
static cs_exit_t
ask (const options_t *o, const char *address, const char *path, json_t **body, FILE *err)
{
	answer_t a;
	cs_buf_t url = {0};
	char line[2][LINE_BYTES];
	options_t one = *o;
	cs_exit_t status = CS_EXIT_OK;
	*body = NULL;
	cs_buf_printf (&url, "http://%s", address);
	one.servers[0] = url.p;
	one.n_servers = 1;
	one.token = (char *)(uintptr_t) "";
	if (client_call (&one, "GET", path, NULL, ANSWER_S, &a) != CS_OK) {
		fprintf (err, "cornelspindle: %s does not answer: %s\n", address,
			 cs_last_error_message ());
		status = CS_EXIT_UNKNOWN;
	} else if (a.status == 200 && json_object_get (a.body, "outcome")) {
		*body = json_incref (a.body);
	} else if (json_object_get (a.body, "thing")) {
		fprintf (err, "cornelspindle: %s: %s is to be %s, not \"%s\"\n", address,
			 text_of (a.body, "thing"), field_text (a.body, "bound", line[0]),
			 field_text (a.body, "value", line[1]));
		status = CS_EXIT_REFUSED;
	} else {
		fprintf (err, "cornelspindle: %s answers with status %d%s\n", address, a.status,
			 a.status == 429 ? ", it was asked too often" : "");
		status = CS_EXIT_REFUSED;
	}
	answer_finish (&a);
	cs_buf_finish (&url);
	return status;
}

cs_exit_t
explain_place (const options_t *o, FILE *out, FILE *err)
{
	cs_exit_t worst = CS_EXIT_OK;
	cs_buf_t path = {0};
	json_t *all = json_object ();
	if (!o->n_daemons) {
		fputs ("cornelspindle: explain place takes --daemon ADDRESS\n", err);
		json_decref (all);
		return CS_EXIT_USAGE;
	}
	make_path (o, &path);
	for (size_t i = 0; i < o->n_daemons; i++) {
		json_t *body;
		cs_exit_t status = ask (o, o->daemons[i], path.p, &body, err);
		worst = status > worst ? status : worst;
		if (body && !o->json)
			print_place (o->daemons[i], body, out);
		json_object_set_new (all, o->daemons[i], body ? body : json_null ());
	}
	if (o->json)
		print_json (all, out);
	json_decref (all);
	cs_buf_finish (&path);
	return worst;
}
