/* Findings: errors of an input file, collected with their positions and reported together. */
#ifndef CS_FINDINGS_H
#define CS_FINDINGS_H

#include "cs/str.h"

typedef struct {
	char *file; /* path as given by the user */
	int line;   /* from 1; 0 when unknown */
	int column; /* from 1; 0 when unknown */
	char *text;
} cs_finding_t;

typedef struct {
	cs_finding_t *items;
	size_t n;
	size_t cap;
} cs_findings_t;

void cs_findings_init (cs_findings_t *f);
void cs_findings_finish (cs_findings_t *f);
void cs_findings_add (cs_findings_t *f, const char *file, int line, int column, const char *format,
		      ...) __attribute__ ((format (printf, 5, 6)));
/* Appends "file:line:column: text\n" for each finding. */
void cs_findings_print (const cs_findings_t *f, cs_buf_t *out);

#endif
