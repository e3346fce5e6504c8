/* Results of the load generator and their output. */
#ifndef LOAD_H
#define LOAD_H

#include <stdint.h>
#include <stdio.h>

#include "samples.h"

/* Results of all rounds over one path: through the daemon, or directly to the engine. */
typedef struct {
	samples_t first_token; /* time to the first token */
	samples_t token_gap;   /* time between tokens */
	uint64_t tokens;
	size_t failed;
	double cpu_s;          /* CPU time of the daemon during the rounds */
	long memory_growth_kb; /* largest growth of the daemon's resident memory in a round */
} path_stats_t;

/* Prints the results for one number of concurrent streams, and writes them as one line to tsv
 * unless that is NULL. Sorts the samples. */
void print_level (size_t streams, path_stats_t *through, path_stats_t *straight, FILE *tsv);
/* Writes the column names of the TSV file. */
void print_heading (FILE *tsv);

#endif
