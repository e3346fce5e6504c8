/* HTTP servers for the readiness probe of the load balancer and for metrics, where it is also told
 * where a request would go. */
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

static bool
is_ready (const cs_forward_t *f)
{
	return f->serving && f->list_read && !f->stopping_ms;
}

static enum MHD_Result
on_ready (void *data, struct MHD_Connection *connection, const char *url, const char *method,
	  const char *version, const char *part, size_t *n, void **state)
{
	const cs_forward_t *f = data;
	(void)method;
	(void)version;
	(void)part;
	(void)n;
	(void)state;
	if (strcmp (url, f->host->adapter->ready_path) != 0)
		return cs_httpd_queue_response (connection, 404, cs_str (NULL));
	bool ready = is_ready (f);
	return cs_httpd_queue_response (connection, ready ? 200 : 503,
					cs_str (ready ? "ready\n" : "not ready\n"));
}

static enum MHD_Result
on_metrics (void *data, struct MHD_Connection *connection, const char *url, const char *method,
	    const char *version, const char *part, size_t *n, void **state)
{
	cs_buf_t text;
	(void)version;
	(void)part;
	(void)n;
	(void)state;
	if (!strcmp (url, "/explain"))
		return cs_explain (data, connection, method);
	cs_buf_init (&text);
	cs_counters_print (&text);
	enum MHD_Result result = cs_httpd_queue_response (connection, 200, cs_buf_str (&text));
	cs_buf_finish (&text);
	return result;
}

cs_status_t
cs_monitoring_start (cs_forward_t *f)
{
	struct MHD_OptionItem options[] = {{MHD_OPTION_END, 0, NULL}};
	struct ev_loop *loop = f->task->kernel->loop;
	f->readiness.data = f;
	f->metrics.data = f;
	f->readiness.log_component = f->metrics.log_component = "forward";
	cs_status_t status =
		cs_httpd_start (&f->readiness, loop, f->host->listen_ready, on_ready, options);
	if (status != CS_OK)
		return status;
	return cs_httpd_start (&f->metrics, loop, f->host->listen_metrics, on_metrics, options);
}

void
cs_monitoring_stop (cs_forward_t *f)
{
	cs_httpd_stop (&f->readiness);
	cs_httpd_stop (&f->metrics);
}
