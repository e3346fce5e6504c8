#include "support_memory.h"

#include <stdio.h>
#include <unistd.h>

#include "cs_test.h"

static const double sample_s = 0.002;

static size_t
resident_bytes (void)
{
	unsigned long pages = 0;
	FILE *f = fopen ("/proc/self/statm", "r");
	if (!f || fscanf (f, "%*u %lu", &pages) != 1)
		fail_msg ("cannot read /proc/self/statm");
	fclose (f);
	return pages * (size_t)sysconf (_SC_PAGESIZE);
}

static void
on_sample (struct ev_loop *loop, ev_timer *timer, int events)
{
	memory_watch_t *w = timer->data;
	size_t now = resident_bytes ();
	(void)loop;
	(void)events;
	w->most = now > w->most ? now : w->most;
}

void
memory_watch_start (memory_watch_t *w, struct ev_loop *loop)
{
	w->most = 0;
	ev_timer_init (&w->timer, on_sample, 0., sample_s);
	w->timer.data = w;
	ev_timer_start (loop, &w->timer);
}

void
memory_watch_stop (memory_watch_t *w, struct ev_loop *loop)
{
	ev_timer_stop (loop, &w->timer);
}

void
memory_watch_check (const memory_watch_t *w)
{
#ifndef __SANITIZE_ADDRESS__
	assert_in_range (w->most, 1, DAEMON_MEMORY_BYTES);
#else
	assert_true (w->most > 0);
#endif
}
