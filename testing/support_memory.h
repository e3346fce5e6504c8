/* Samples the resident memory of this process while a test's loop runs. */
#ifndef SUPPORT_MEMORY_H
#define SUPPORT_MEMORY_H

#include <ev.h>
#include <stddef.h>

enum {
	DAEMON_MEMORY_BYTES = 32 << 20 /* what a daemon may use */
};

typedef struct {
	ev_timer timer;
	size_t most; /* bytes, largest sample */
} memory_watch_t;

void memory_watch_start (memory_watch_t *w, struct ev_loop *loop);
void memory_watch_stop (memory_watch_t *w, struct ev_loop *loop);
/* Fails the test if more than a daemon's memory was used. Not in builds with AddressSanitizer,
 * whose own use is a multiple of it. */
void memory_watch_check (const memory_watch_t *w);

#endif
