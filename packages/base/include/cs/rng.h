/* Seeded pseudo-random numbers (the C library's 48-bit generator, erand48) with state owned
 * by the caller. Equal seeds give equal sequences. */
#ifndef CS_RNG_H
#define CS_RNG_H

#include <stdint.h>

typedef struct {
	unsigned short x[3];
} cs_rng_t;

void cs_rng_init (cs_rng_t *rng, uint64_t seed);
/* Uniform in [0, n); n must be from 1 to 2^31. */
uint32_t cs_rng_below (cs_rng_t *rng, uint32_t n);
/* Uniform in [0, 1). */
double cs_rng_unit (cs_rng_t *rng);
/* Exponentially distributed with the given mean. */
double cs_rng_exponential (cs_rng_t *rng, double mean);

#endif
