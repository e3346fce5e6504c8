/* Log of the requests that this backend ran. Tests compare it with the responses that callers
 * received. */
#include <pthread.h>
#include <string.h>

#include "backend.h"

enum {
	RETAINED_REQUESTS = 10000, /* requests */
	TEXT_BYTES = 128
};

typedef struct {
	char id[TEXT_BYTES];
	char key[TEXT_BYTES];
	char path[TEXT_BYTES];
	uint64_t fence;
	uint64_t tokens;
	bool complete;
} request_record_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static request_record_t entries[RETAINED_REQUESTS];
static uint64_t n_begun;

static void
copy_text (char out[TEXT_BYTES], const char *text)
{
	size_t n = strnlen (text, TEXT_BYTES - 1);
	memcpy (out, text, n);
	out[n] = 0;
}

request_log_id_t
request_log_begin (const char *id, const char *key, const char *path, uint64_t fence)
{
	pthread_mutex_lock (&lock);
	request_record_t *e = &entries[n_begun % RETAINED_REQUESTS];
	copy_text (e->id, id);
	copy_text (e->key, key);
	copy_text (e->path, path);
	e->fence = fence;
	e->tokens = 0;
	e->complete = false;
	request_log_id_t log_id = ++n_begun;
	pthread_mutex_unlock (&lock);
	return log_id;
}

void
request_log_update (request_log_id_t id, uint64_t tokens, bool complete)
{
	pthread_mutex_lock (&lock);
	if (n_begun - id < RETAINED_REQUESTS) {
		request_record_t *e = &entries[(id - 1) % RETAINED_REQUESTS];
		e->tokens = tokens;
		e->complete = complete;
	}
	pthread_mutex_unlock (&lock);
}

request_log_id_t
request_log_last_id (void)
{
	pthread_mutex_lock (&lock);
	request_log_id_t log_id = n_begun;
	pthread_mutex_unlock (&lock);
	return log_id;
}

static json_t *
entry_json (const request_record_t *e)
{
	return json_pack ("{s:s, s:s, s:s, s:I, s:I, s:b}", "id", e->id, "key", e->key, "path",
			  e->path, "fence", (json_int_t)e->fence, "tokens", (json_int_t)e->tokens,
			  "complete", (int)e->complete);
}

json_t *
request_log_json (void)
{
	json_t *list = json_array ();
	pthread_mutex_lock (&lock);
	for (uint64_t i = n_begun > RETAINED_REQUESTS ? n_begun - RETAINED_REQUESTS : 0;
	     i < n_begun; i++) {
		/* json_pack fails if a header of the caller is not valid UTF-8. */
		json_t *j = entry_json (&entries[i % RETAINED_REQUESTS]);
		json_array_append_new (list, j ? j : json_object ());
	}
	pthread_mutex_unlock (&lock);
	return list;
}
