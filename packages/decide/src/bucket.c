#include "cs/bucket.h"

double
cs_bucket_refill (double tokens, double per_s, int64_t elapsed_ms, double capacity)
{
	tokens += per_s * (double)elapsed_ms / 1000;
	return tokens > capacity ? capacity : tokens;
}
