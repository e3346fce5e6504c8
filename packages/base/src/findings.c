#include "cs/findings.h"

#include <stdio.h>
#include <stdlib.h>

void
cs_findings_init (cs_findings_t *f)
{
	f->items = NULL;
	f->n = 0;
	f->cap = 0;
}

void
cs_findings_finish (cs_findings_t *f)
{
	for (size_t i = 0; i < f->n; i++) {
		free (f->items[i].file);
		free (f->items[i].text);
	}
	free (f->items);
	cs_findings_init (f);
}

void
cs_findings_add (cs_findings_t *f, const char *file, int line, int column, const char *format, ...)
{
	cs_buf_t text;
	va_list ap;
	cs_buf_init (&text);
	va_start (ap, format);
	int n = vsnprintf (NULL, 0, format, ap);
	va_end (ap);
	cs_buf_reserve (&text, n > 0 ? (size_t)n : 0);
	va_start (ap, format);
	vsnprintf (text.p, text.cap, format, ap);
	va_end (ap);

	f->items = cs_grow (f->items, &f->cap, f->n + 1, sizeof *f->items);
	f->items[f->n++] = (cs_finding_t){cs_str_dup (cs_str (file)), line, column, text.p};
}

void
cs_findings_print (const cs_findings_t *f, cs_buf_t *out)
{
	for (size_t i = 0; i < f->n; i++) {
		const cs_finding_t *x = &f->items[i];
		cs_buf_printf (out, "%s:%d:%d: %s\n", x->file, x->line, x->column, x->text);
	}
}
