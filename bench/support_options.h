/* Command-line options that all benchmarks share, and output of result rows. */
#ifndef SUPPORT_OPTIONS_H
#define SUPPORT_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef struct {
	FILE *tsv;        /* --tsv FILE, also gets the results; NULL: none */
	uint64_t seed;    /* --seed N; 1 without it */
	const char *only; /* --only TEXT: filters bench_groups' scenarios by name; "": all */
} bench_options_t;

/* Parses the arguments and opens the TSV file. Returns false and prints to standard error if an
 * argument is unknown or the file can't be opened. */
bool bench_options_parse (bench_options_t *o, int argc, char **argv);
void bench_options_finish (bench_options_t *o);
/* Prints one measured value, and writes it to the TSV file if there is one. */
void bench_row (const bench_options_t *o, const char *part, const char *what, const char *measure,
		double value);

#endif
