/* Service mode: runs each call and responds with the sequence number of the call. */
#include <pthread.h>
#include <string.h>

#include "backend.h"
#include "cs/hash.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_int_t n_calls;
static json_int_t n_running;

static json_int_t
begin_call (void)
{
	pthread_mutex_lock (&lock);
	json_int_t number = ++n_calls;
	n_running++;
	pthread_mutex_unlock (&lock);
	return number;
}

static void
end_call (void)
{
	pthread_mutex_lock (&lock);
	n_running--;
	pthread_mutex_unlock (&lock);
}

static enum MHD_Result
handle_report (server_request_t *r)
{
	pthread_mutex_lock (&lock);
	json_t *j = json_pack ("{s:s, s:I, s:i}", "name", options.name, "running", n_running,
			       "queued", 0);
	pthread_mutex_unlock (&lock);
	return server_reply (r, 200, j);
}

enum MHD_Result
service_handle (server_request_t *r)
{
	char text[20];
	const char *key = server_header (r, "Idempotency-Key");
	if (!strcmp (r->path, "/v1/report"))
		return handle_report (r);
	json_int_t number = begin_call ();
	request_log_id_t id =
		request_log_begin (server_header (r, "X-Cs-Request"), key, r->path, 0);
	fault_before_token (cs_buf_str (&r->body));
	server_sleep (r, fault_scale_ms ((int64_t)options.work_ms));
	request_log_update (id, 0, true);
	end_call ();
	if (fault_silences_request (r))
		return server_block_until_closed (r);
	if (fault_mode () == FAULT_LOSE_RESPONSE)
		return MHD_NO;
	snprintf (text, sizeof text, "%016llx",
		  (unsigned long long)cs_hash (cs_buf_str (&r->body)));
	struct MHD_Response *response = server_json_response (
		json_pack ("{s:s, s:I, s:s, s:s, s:s}", "backend", options.name, "reservation",
			   number, "method", r->method, "path", r->path, "body_hash", text));
	MHD_add_response_header (response, "X-Cs-Request", server_header (r, "X-Cs-Request"));
	return server_queue_response (r, 201, response);
}
