/* Problem documents (RFC 9457). */
#ifndef CS_GATEWAY_PROBLEM_H
#define CS_GATEWAY_PROBLEM_H

#include "cs/messages.h"

typedef struct {
	int status;       /* HTTP */
	const char *type; /* static: last part of the problem's URI */
	cs_buf_t detail;
	cs_outcome_t outcome;
	int retry_after_s; /* 0: no Retry-After header */
} cs_problem_t;

void cs_problem_init (cs_problem_t *p);
void cs_problem_finish (cs_problem_t *p);
/* Sets all fields except retry_after_s; the outcome becomes CS_NOT_RUN. */
void cs_problem_set (cs_problem_t *p, int status, const char *type, const char *format, ...)
	__attribute__ ((format (printf, 4, 5)));
/* Appends the document as one line of JSON, without a line feed. */
void cs_problem_write (const cs_problem_t *p, uint64_t request_id, cs_buf_t *out);
/* Returns "not-run", "ran" or "unknown". */
const char *cs_outcome_name (cs_outcome_t outcome);

#endif
