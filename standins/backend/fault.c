#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "backend.h"

enum {
	CRASH_DELAY_MS = 50, /* time for the response to POST /fault to be sent before the exit */
	POISON_BYTES = 256
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static fault_mode_t mode;
static json_int_t after_tokens; /* FAULT_CRASH: tokens until the exit */
static double factor = 1;
static char poison[POISON_BYTES];          /* a request that contains it causes an exit; "": none */
static request_log_id_t silent_through_id; /* completions with ids up to this one are silent */

static void *
crash_thread (void *data)
{
	(void)data;
	usleep (CRASH_DELAY_MS * 1000);
	_exit (1);
}

static int
find_mode (const char *name)
{
	static const char *const names[N_FAULT_MODES] = {
		[FAULT_OK] = "ok",
		[FAULT_CRASH] = "crash",
		[FAULT_SILENT] = "silent",
		[FAULT_STRAGGLE] = "straggle",
		[FAULT_REFUSE] = "refuse",
		[FAULT_STALE_REPORT] = "stale-report",
		[FAULT_LOSE_RESPONSE] = "lose-answer",
		[FAULT_ENDLESS_HEAD] = "endless-head",
		[FAULT_ENDLESS_JSON] = "endless-json",
		[FAULT_ENDLESS_409] = "endless-409",
		[FAULT_ENDLESS_503] = "endless-503",
		[FAULT_ENDLESS_EVENT] = "endless-event",
		[FAULT_ENDLESS_LATER_EVENT] = "endless-later-event",
		[FAULT_ENDLESS_COMMENTS] = "endless-comments",
		[FAULT_ENDLESS_TAIL] = "endless-tail",
		[FAULT_ENDLESS_TRAILERS] = "endless-trailers",
		[FAULT_ENDLESS_BODY] = "endless-body",
		[FAULT_ENDLESS_REPORT] = "endless-report",
	};
	for (int i = 0; i < N_FAULT_MODES; i++)
		if (!strcmp (name, names[i]))
			return i;
	return -1;
}

/* Sets the mode; true if the process must exit without waiting for tokens. */
static bool
set_mode (fault_mode_t new_mode, json_int_t tokens, double new_factor)
{
	pthread_mutex_lock (&lock);
	mode = new_mode;
	after_tokens = tokens;
	factor = new_factor;
	pthread_mutex_unlock (&lock);
	engine_freeze_report (new_mode == FAULT_STALE_REPORT);
	return new_mode == FAULT_CRASH && !tokens;
}

enum MHD_Result
fault_handle (server_request_t *r)
{
	const char *name = NULL;
	const char *text = NULL;
	json_int_t tokens = 0;
	double new_factor = 10;
	int silence_open = 0;
	int silence_streams = 0;
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	bool ok = !strcmp (r->method, "POST") && body &&
		  !json_unpack (body, "{s?s, s?I, s?F, s?s, s?b, s?b !}", "mode", &name,
				"after_tokens", &tokens, "factor", &new_factor, "poison", &text,
				"silence_open", &silence_open, "silence_streams", &silence_streams);
	int new_mode = ok && name ? find_mode (name) : -1;
	ok = ok && (!name || new_mode >= 0) && (!text || strlen (text) < POISON_BYTES);
	if (ok && text) {
		pthread_mutex_lock (&lock);
		snprintf (poison, sizeof poison, "%s", text);
		pthread_mutex_unlock (&lock);
	}
	if (ok && silence_streams) {
		pthread_mutex_lock (&lock);
		silent_through_id = request_log_last_id ();
		pthread_mutex_unlock (&lock);
	}
	if (ok && silence_open)
		server_silence_open_connections ();
	if (new_mode >= 0 && set_mode ((fault_mode_t)new_mode, tokens, new_factor)) {
		pthread_t thread;
		pthread_create (&thread, NULL, crash_thread, NULL);
	}
	json_decref (body);
	if (!ok)
		return server_reply_error (
			r, 400,
			"malformed fault: expected a POST of JSON with known modes and fields");
	return server_reply (r, 200, json_object ());
}

fault_mode_t
fault_mode (void)
{
	pthread_mutex_lock (&lock);
	fault_mode_t current_mode = mode;
	pthread_mutex_unlock (&lock);
	return current_mode;
}

int64_t
fault_scale_ms (int64_t ms)
{
	pthread_mutex_lock (&lock);
	int64_t stretched = mode == FAULT_STRAGGLE ? (int64_t)((double)ms * factor) : ms;
	pthread_mutex_unlock (&lock);
	return stretched;
}

void
fault_before_token (cs_str_t body)
{
	pthread_mutex_lock (&lock);
	if (*poison && memmem (body.p, body.n, poison, strlen (poison)))
		_exit (1);
	if (mode == FAULT_CRASH && --after_tokens <= 0)
		_exit (1);
	pthread_mutex_unlock (&lock);
}

bool
fault_silences_completion (request_log_id_t id)
{
	pthread_mutex_lock (&lock);
	bool silent = id <= silent_through_id;
	pthread_mutex_unlock (&lock);
	return silent;
}

bool
fault_silences_request (const server_request_t *r)
{
	return fault_mode () == FAULT_SILENT || server_is_silent (r);
}
