/* Reads the resource files named on the command line. */
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

void
file_set_init (file_set_t *s)
{
	s->files = json_array ();
	cs_resources_init (&s->resources);
	cs_findings_init (&s->findings);
}

void
file_set_finish (file_set_t *s)
{
	json_decref (s->files);
	cs_resources_finish (&s->resources);
	cs_findings_finish (&s->findings);
}

static bool
read_file (const char *path, cs_buf_t *out)
{
	char block[4096];
	size_t n;
	FILE *f = fopen (path, "rb");
	if (!f)
		return false;
	while ((n = fread (block, 1, sizeof block, f)) > 0)
		cs_buf_add (out, cs_str_n (block, n));
	bool ok = !ferror (f);
	fclose (f);
	return ok;
}

static void
add_resource_file (file_set_t *s, const char *path)
{
	cs_buf_t text;
	cs_buf_init (&text);
	if (!read_file (path, &text))
		cs_findings_add (&s->findings, path, 0, 0, "the file cannot be read");
	else if (!cs_str_is_utf8 (cs_buf_str (&text)))
		cs_findings_add (&s->findings, path, 0, 0, "the file is not UTF-8");
	else
		cs_resources_parse (&s->resources, cs_buf_str (&text), path, &s->findings);
	json_array_append_new (s->files, json_pack ("{s:s, s:s%}", "name", path, "text",
						    text.p ? text.p : "", text.n));
	cs_buf_finish (&text);
}

cs_exit_t
file_set_read (file_set_t *s, const options_t *o, FILE *err)
{
	cs_buf_t text;
	if (!o->n_args) {
		fputs ("cornelspindle: no file was given\n", err);
		return CS_EXIT_USAGE;
	}
	for (int i = 0; i < o->n_args; i++)
		add_resource_file (s, o->args[i]);
	if (!s->findings.n)
		return CS_EXIT_OK;
	cs_buf_init (&text);
	cs_findings_print (&s->findings, &text);
	fputs (text.p, err);
	cs_buf_finish (&text);
	return CS_EXIT_REFUSED;
}

const json_t *
item_find (const json_t *items, const char *kind, const char *name)
{
	size_t i;
	json_t *item;
	json_array_foreach (items, i, item) {
		const char *k = json_string_value (json_object_get (item, "kind"));
		const char *n = json_string_value (json_object_get (item, "name"));
		if (k && n && !strcmp (k, kind) && !strcmp (n, name))
			return item;
	}
	return NULL;
}
