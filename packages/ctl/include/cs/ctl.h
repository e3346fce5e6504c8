/* Command-line client of the operators' API. */
#ifndef CS_CTL_H
#define CS_CTL_H

#include <stdio.h>

/* Exit statuses of every command. */
typedef enum {
	CS_EXIT_OK = 0,
	CS_EXIT_REFUSED = 1, /* refused or withdrawn; or files have findings or differ */
	CS_EXIT_USAGE = 2,
	CS_EXIT_UNKNOWN = 3 /* no daemon answered, or the outcome is unknown */
} cs_exit_t;

/* Parses and runs one command line. Writes results to out and diagnostics to err. */
cs_exit_t cs_ctl_run (int argc, char **argv, FILE *out, FILE *err);

#endif
