#include "cs/rng.h"

#include <math.h>
#include <stdlib.h>

void
cs_rng_init (cs_rng_t *rng, uint64_t seed)
{
	/* All 64 bits of the seed enter the 48 of the state, and seed 0 gives no zero state. */
	rng->x[0] = (unsigned short)(seed ^ seed >> 48);
	rng->x[1] = (unsigned short)(seed >> 16);
	rng->x[2] = (unsigned short)(seed >> 32 ^ 0x5eed);
	/* The first numbers of neighbouring seeds are alike. */
	for (int i = 0; i < 4; i++)
		nrand48 (rng->x);
}

uint32_t
cs_rng_below (cs_rng_t *rng, uint32_t n)
{
	return (uint32_t)(erand48 (rng->x) * n);
}

double
cs_rng_unit (cs_rng_t *rng)
{
	return erand48 (rng->x);
}

double
cs_rng_exponential (cs_rng_t *rng, double mean)
{
	return -mean * log1p (-erand48 (rng->x));
}
