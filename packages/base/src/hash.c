#include "cs/hash.h"

#include <xxhash.h>

uint64_t
cs_hash (cs_str_t s)
{
	return XXH3_64bits (s.p, s.n);
}

uint64_t
cs_rendezvous (uint64_t node, uint64_t key)
{
	uint64_t pair[2] = {node, key};
	return XXH3_64bits (pair, sizeof pair);
}
