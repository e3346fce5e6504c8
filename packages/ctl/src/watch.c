#include <time.h>
#include <unistd.h>

#include "ctl.h"

enum {
	REOPEN_MS = 500 /* delay before a stream is reopened */
};

static bool
print_event (void *data, cs_str_t event)
{
	FILE *out = data;
	fprintf (out, "%.*s\n", CS_STR_ARG (event));
	return !fflush (out);
}

cs_exit_t
run_watch (const options_t *o, FILE *out, FILE *err)
{
	stream_t s = {print_event, out, o->since};
	options_t remaining = *o;
	time_t start = time (NULL);
	if (!o->n_servers)
		return print_unreachable (o, err);
	for (;;) {
		char path[64];
		snprintf (path, sizeof path, "/apis/watch?since=%llu", (unsigned long long)s.next);
		cs_status_t status = client_stream (&remaining, path, &s);
		if (status == CS_INVALID) {
			fprintf (err, "cornelspindle: %s\n", cs_last_error_message ());
			return CS_EXIT_REFUSED;
		}
		if (ferror (out))
			return CS_EXIT_OK;
		uint64_t elapsed_s = (uint64_t)(time (NULL) - start);
		if (o->timeout_s && elapsed_s >= o->timeout_s)
			return CS_EXIT_OK;
		if (o->timeout_s)
			remaining.timeout_s = o->timeout_s - elapsed_s;
		usleep (REOPEN_MS * 1000);
	}
}
