#include "ctl.h"

cs_exit_t
run_check (const options_t *o, FILE *out, FILE *err)
{
	file_set_t s;
	file_set_init (&s);
	cs_exit_t status = file_set_read (&s, o, err);
	if (status == CS_EXIT_OK) {
		cs_resources_check_references (&s.resources, NULL, 0, &s.findings);
		cs_resources_check_scope (&s.resources, NULL, 0, o->zones, o->n_zones, &s.findings);
		/* These are only warnings: the daemon may already have the referenced resources, or
		 * have the out-of-scope ones unchanged. */
		for (size_t i = 0; i < s.findings.n; i++)
			fprintf (err, "%s:%d:%d: warning: %s\n", s.findings.items[i].file,
				 s.findings.items[i].line, s.findings.items[i].column,
				 s.findings.items[i].text);
		if (s.findings.n)
			fprintf (out, "%zu resources, %zu warnings\n", s.resources.n, s.findings.n);
		else
			fprintf (out, "%zu resources, no findings\n", s.resources.n);
	}
	file_set_finish (&s);
	return status;
}
