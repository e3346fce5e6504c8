/* Entry point of the daemon on a platform that places the settings file itself (--hosted). */
#ifndef CS_HOSTED_H
#define CS_HOSTED_H

#include <stdbool.h>

/* Runs the daemon with the settings file that the platform names; with `check`, only validates that
 * file. Returns the exit status: 0 after a graceful shutdown or for a valid file, 1 on a fault. */
int cs_hosted_main (bool check);

#endif
