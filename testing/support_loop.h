/* Runs a test's event loop for a fixed time. */
#ifndef SUPPORT_LOOP_H
#define SUPPORT_LOOP_H

#include <ev.h>

/* Runs the loop for s seconds, or until a callback breaks it. */
void loop_run_for (struct ev_loop *loop, double s);

#endif
