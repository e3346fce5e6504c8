#include "problem.h"

#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
cs_problem_init (cs_problem_t *p)
{
	memset (p, 0, sizeof *p);
	cs_buf_init (&p->detail);
}

void
cs_problem_finish (cs_problem_t *p)
{
	cs_buf_finish (&p->detail);
}

void
cs_problem_set (cs_problem_t *p, int status, const char *type, const char *format, ...)
{
	char *detail = NULL;
	va_list ap;
	va_start (ap, format);
	int n = vasprintf (&detail, format, ap);
	va_end (ap);
	p->status = status;
	p->type = type;
	p->outcome = CS_NOT_RUN;
	cs_buf_clear (&p->detail);
	if (n < 0)
		return;
	cs_buf_add (&p->detail, cs_str_n (detail, (size_t)n));
	free (detail);
}

const char *
cs_outcome_name (cs_outcome_t outcome)
{
	static const char *const names[] = {
		[CS_NOT_RUN] = "not-run",
		[CS_RAN] = "ran",
		[CS_MAY_HAVE_RUN] = "unknown",
	};
	return names[outcome];
}

void
cs_problem_write (const cs_problem_t *p, uint64_t request_id, cs_buf_t *out)
{
	char id[20], type[96];
	cs_str_t detail = cs_buf_str (&p->detail);
	snprintf (id, sizeof id, "%016" PRIx64, request_id);
	snprintf (type, sizeof type, "urn:cornelspindle:problem:%s", p->type);
	if (!cs_str_is_utf8 (detail))
		detail = cs_str ("");
	json_t *root = json_pack ("{s:s, s:s, s:i, s:s%, s:s, s:s}", "type", type, "title",
				  MHD_get_reason_phrase_for ((unsigned)p->status), "status",
				  p->status, "detail", detail.p, detail.n, "outcome",
				  cs_outcome_name (p->outcome), "request_id", id);
	char *text = json_dumps (root, JSON_COMPACT);
	cs_buf_addz (out, text ? text : "{}");
	free (text);
	json_decref (root);
}
