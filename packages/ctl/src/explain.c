#include <string.h>

#include "ctl.h"

cs_exit_t
run_explain (const options_t *o, FILE *out, FILE *err)
{
	answer_t a;
	cs_buf_t path;
	size_t i;
	json_t *line;
	if (o->n_args == 2 && !strcmp (o->args[0], "place"))
		return explain_place (o, out, err);
	if (o->n_args != 2 ||
	    (strcmp (o->args[0], "group") != 0 && strcmp (o->args[0], "request") != 0 &&
	     strcmp (o->args[0], "change") != 0)) {
		fputs ("cornelspindle: explain takes group, request or change, and an ID, "
		       "or place and HOST/PATH or a service\n",
		       err);
		return CS_EXIT_USAGE;
	}
	cs_buf_init (&path);
	cs_buf_printf (&path, "/apis/explain/%s/", o->args[0]);
	client_escape (&path, o->args[1]);
	cs_exit_t status = client_get (o, path.p, &a, err);
	cs_buf_finish (&path);
	if (status != CS_EXIT_OK)
		return status;
	if (o->json)
		print_json (a.body, out);
	else
		json_array_foreach (json_object_get (a.body, "text"), i, line)
			fprintf (out, "%s\n", json_string_value (line));
	answer_finish (&a);
	return CS_EXIT_OK;
}
