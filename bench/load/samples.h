/* Duration samples in microseconds and their quantiles. */
#ifndef BENCH_SAMPLES_H
#define BENCH_SAMPLES_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t *us;
	size_t n;
	size_t cap;
} samples_t;

void samples_add (samples_t *s, int64_t us);
void samples_clear (samples_t *s);
void samples_finish (samples_t *s);
/* Returns the q-quantile, q from 0 to 1, in microseconds; 0 if there are no samples. Sorts the
 * samples in place. */
int64_t samples_quantile (samples_t *s, double q);

#endif
