/* Weight store: serves zero bytes at a rate that all downloads share. */
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "platform.h"

enum {
	BLOCK_BYTES = 64 << 10,
	RETRY_AFTER_S = 1
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool is_down;
static uint64_t n_running;
static int64_t
	next_send_us; /* when the bytes scheduled so far will have been sent at the shared rate */
static struct {
	json_int_t downloads, refused, bytes;
} stats;

void
weights_set_down (bool new_is_down)
{
	pthread_mutex_lock (&lock);
	is_down = new_is_down;
	pthread_mutex_unlock (&lock);
}

json_t *
weights_stats (void)
{
	pthread_mutex_lock (&lock);
	json_t *j =
		json_pack ("{s:I, s:I, s:I, s:I}", "downloads", stats.downloads, "refused",
			   stats.refused, "bytes", stats.bytes, "running", (json_int_t)n_running);
	pthread_mutex_unlock (&lock);
	return j;
}

/* Schedules n bytes at the shared rate and sleeps until they are due; false if the store is
 * down. */
static bool
wait_for_rate (size_t n)
{
	int64_t now_us = server_now_ms () * 1000;
	int64_t cost_us = 0;
	pthread_mutex_lock (&lock);
	if (options.weights_bytes_per_second)
		cost_us = (int64_t)(n * 1000000 / options.weights_bytes_per_second);
	next_send_us = (next_send_us > now_us ? next_send_us : now_us) + cost_us;
	int64_t wait_us = next_send_us - now_us;
	stats.bytes += (json_int_t)n;
	bool ok = !is_down;
	pthread_mutex_unlock (&lock);
	usleep ((useconds_t)wait_us);
	return ok;
}

static ssize_t
on_download_read (void *data, uint64_t position, char *out, size_t max)
{
	(void)data;
	(void)position;
	size_t n = max < BLOCK_BYTES ? max : BLOCK_BYTES;
	if (!wait_for_rate (n))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	memset (out, 0, n);
	return (ssize_t)n;
}

static void
on_download_end (void *data)
{
	(void)data;
	pthread_mutex_lock (&lock);
	n_running--;
	pthread_mutex_unlock (&lock);
}

enum MHD_Result
weights_handle (server_request_t *r)
{
	uint64_t bytes = server_query_u64 (r, "bytes", 0);
	pthread_mutex_lock (&lock);
	bool refuse =
		is_down || (options.weights_concurrent && n_running >= options.weights_concurrent);
	n_running += !refuse;
	stats.refused += refuse;
	stats.downloads += !refuse;
	pthread_mutex_unlock (&lock);
	if (!refuse)
		return server_queue_response (
			r, 200,
			MHD_create_response_from_callback (bytes, BLOCK_BYTES, on_download_read,
							   NULL, on_download_end));
	struct MHD_Response *response = server_json_response (
		json_pack ("{s:s}", "message",
			   "the store is down or has reached its limit of concurrent downloads"));
	char text[8];
	snprintf (text, sizeof text, "%d", RETRY_AFTER_S);
	MHD_add_response_header (response, "Retry-After", text);
	return server_queue_response (r, 503, response);
}
