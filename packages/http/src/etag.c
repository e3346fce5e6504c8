#include "cs/etag.h"

#include <strings.h>

void
cs_etag_begin (cs_etag_t *t)
{
	cs_buf_clear (&t->received);
}

void
cs_etag_header (cs_etag_t *t, cs_str_t name, cs_str_t value)
{
	if (name.n != 4 || strncasecmp (name.p, "ETag", 4) != 0)
		return;
	cs_buf_clear (&t->received);
	if (value.n <= CS_ETAG_BYTES)
		cs_buf_add (&t->received, value);
}

void
cs_etag_commit (cs_etag_t *t)
{
	cs_buf_clear (&t->request_line);
	if (t->received.n)
		cs_buf_printf (&t->request_line, "If-None-Match: %.*s",
			       CS_STR_ARG (cs_buf_str (&t->received)));
}

const char *
cs_etag_request_header (const cs_etag_t *t)
{
	return t->request_line.n ? t->request_line.p : NULL;
}

void
cs_etag_finish (cs_etag_t *t)
{
	cs_buf_finish (&t->received);
	cs_buf_finish (&t->request_line);
}
