/* Token buckets: what may be done so often a second, and a burst of it at once. */
#ifndef CS_BUCKET_H
#define CS_BUCKET_H

#include <stdint.h>

/* The tokens of a bucket that holds `most` after that time. */
double cs_bucket_refill (double tokens, double per_s, int64_t ms, double most);

#endif
