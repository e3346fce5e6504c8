#include <stdint.h>

#include "cs/httpd.h"

void
cs_httpd_suspend (struct MHD_Connection *connection, bool *suspended)
{
	if (*suspended)
		return;
	*suspended = true;
	MHD_suspend_connection (connection);
}

void
cs_httpd_resume (cs_httpd_t *h, struct MHD_Connection *connection, bool *suspended)
{
	if (!*suspended)
		return;
	*suspended = false;
	MHD_resume_connection (connection);
	cs_httpd_schedule_run (h);
}

enum MHD_Result
cs_httpd_queue_response (struct MHD_Connection *connection, unsigned status, cs_str_t body)
{
	return cs_httpd_queue_response_with (connection, status, body, NULL);
}

enum MHD_Result
cs_httpd_queue_response_with (struct MHD_Connection *connection, unsigned status, cs_str_t body,
			      const cs_httpd_header_t *headers)
{
	struct MHD_Response *r = MHD_create_response_from_buffer (body.n, (void *)(uintptr_t)body.p,
								  MHD_RESPMEM_MUST_COPY);
	if (!r)
		return MHD_NO;
	for (; headers && headers->name; headers++)
		MHD_add_response_header (r, headers->name, headers->value);
	enum MHD_Result result = MHD_queue_response (connection, status, r);
	MHD_destroy_response (r);
	return result;
}
