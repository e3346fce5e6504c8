#include <string.h>

#include "ctl.h"

static void
print_items (const json_t *items, FILE *out)
{
	size_t i;
	json_t *item;
	fprintf (out, "%-12s %-32s %s\n", "KIND", "NAME", "VERSION");
	json_array_foreach (items, i, item) {
		char kind[32];
		char name[32];
		char version[32];
		fprintf (out, "%-12s %-32s %s\n", field_text (item, "kind", kind),
			 field_text (item, "name", name), field_text (item, "version", version));
	}
}

cs_exit_t
run_get (const options_t *o, FILE *out, FILE *err)
{
	answer_t a;
	cs_buf_t path;
	if (o->n_args > 1) {
		fputs ("cornelspindle: get takes one operand at most\n", err);
		return CS_EXIT_USAGE;
	}
	cs_buf_init (&path);
	cs_buf_addz (&path, "/apis/resources");
	if (o->n_args) {
		cs_buf_addz (&path, "/");
		client_escape (&path, o->args[0]);
	}
	cs_exit_t status = client_get (o, path.p, &a, err);
	cs_buf_finish (&path);
	if (status != CS_EXIT_OK)
		return status;
	const json_t *items = json_object_get (a.body, "items");
	if (o->json || json_array_size (items) == 1)
		print_json (o->json ? a.body : json_array_get (items, 0), out);
	else
		print_items (items, out);
	answer_finish (&a);
	return CS_EXIT_OK;
}
