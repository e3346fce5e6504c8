/* Command-line options of a test program: mechanism to disable, first seed and number of runs. */
#ifndef CS_OPTIONS_H
#define CS_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	const char *without; /* name of the disabled mechanism; "": none */
	uint64_t seed;       /* first seed of the property tests */
	uint32_t runs;       /* number of consecutive seeds to run */
} cs_options_t;

/* Parses --without NAME, --seed N (default 1), --runs N, or --seeds N, and --only PATTERN, which
 * runs only the tests whose names match it (with * and ?). Exits with status 2 on an unknown
 * option. The result points into argv. */
cs_options_t cs_options_parse (int argc, char **argv, uint32_t default_runs);
/* Returns whether the mechanism is disabled by --without. */
bool cs_options_is_disabled (const cs_options_t *o, const char *mechanism);

#endif
