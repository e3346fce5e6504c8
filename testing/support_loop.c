#include "support_loop.h"

static void
on_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break (loop, EVBREAK_ONE);
}

void
loop_run_for (struct ev_loop *loop, double s)
{
	ev_timer t;
	ev_timer_init (&t, on_timeout, s, 0.);
	ev_timer_start (loop, &t);
	ev_run (loop, 0);
	ev_timer_stop (loop, &t);
}
