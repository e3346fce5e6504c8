#include "cs/bucket.h"

double
cs_bucket_refill (double tokens, double per_s, int64_t ms, double most)
{
	tokens += per_s * (double)ms / 1000;
	return tokens > most ? most : tokens;
}
