/* Runs a test's loop for a time. */
#ifndef SUPPORT_LOOP_H
#define SUPPORT_LOOP_H

#include <ev.h>

void loop_run_for (struct ev_loop *loop, double s);

#endif
