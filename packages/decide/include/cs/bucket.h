/* Token bucket rate limiting: a sustained rate per second plus a burst. */
#ifndef CS_BUCKET_H
#define CS_BUCKET_H

#include <stdint.h>

/* Returns the tokens of a bucket of the given capacity after elapsed_ms of refilling. */
double cs_bucket_refill (double tokens, double per_s, int64_t elapsed_ms, double capacity);

#endif
