/* The diff command: compares declared resources with the daemon's current ones. */
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static void
print_value (char sign, const char *key, const json_t *v, FILE *out)
{
	char *text = json_dumps (v, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
	fprintf (out, "  %c %s = %s\n", sign, key, text ? text : "");
	free (text);
}

/* Prints each key of new whose value differs; old may be NULL. Returns whether any did. */
static bool
print_spec (const json_t *old, json_t *new, FILE *out)
{
	const char *key;
	json_t *v;
	bool differs = false;
	json_object_foreach (new, key, v) {
		const json_t *was = json_object_get (old, key);
		if (json_equal (was, v))
			continue;
		differs = true;
		if (was)
			print_value ('-', key, was, out);
		print_value ('+', key, v, out);
	}
	return differs;
}

static bool
print_resource_diff (const json_t *items, const Cs__Resource *r, FILE *out)
{
	const char *kind = cs_resource_kind (r);
	const json_t *item = item_find (items, kind, r->name);
	json_t *new = cs_resource_to_json (r);
	json_t *spec = json_object_get (new, "spec");
	const json_t *old = json_object_get (item, "spec");
	char version[32];
	bool differs = !old || !json_equal (old, spec);
	if (differs && !old)
		fprintf (out, "%s/%s: new\n", kind, r->name);
	else if (differs)
		fprintf (out, "%s/%s: version %s changes\n", kind, r->name,
			 field_text (item, "version", version));
	if (differs)
		print_spec (old, spec, out);
	json_decref (new);
	return differs;
}

cs_exit_t
run_diff (const options_t *o, FILE *out, FILE *err)
{
	file_set_t s;
	answer_t a = {0, NULL};
	size_t changed = 0;
	file_set_init (&s);
	cs_exit_t status = file_set_read (&s, o, err);
	if (status == CS_EXIT_OK)
		status = client_get (o, "/apis/resources", &a, err);
	if (status == CS_EXIT_OK) {
		const json_t *items = json_object_get (a.body, "items");
		for (size_t i = 0; i < s.resources.n; i++)
			changed += print_resource_diff (items, s.resources.items[i].resource, out);
		if (changed)
			status = CS_EXIT_REFUSED;
	}
	answer_finish (&a);
	file_set_finish (&s);
	return status;
}
