/* The daemon on a hosted platform. */
#ifndef CS_HOSTED_H
#define CS_HOSTED_H

#include <stdbool.h>

/* Runs the daemon, or only checks its settings; returns the exit status. */
int cs_hosted_main (bool check);

#endif
