/* Non-cryptographic hashes (XXH3) and scores for rendezvous hashing. */
#ifndef CS_HASH_H
#define CS_HASH_H

#include "cs/str.h"

typedef struct {
	uint64_t hi;
	uint64_t lo;
} cs_hash128_t;

uint64_t cs_hash (cs_str_t s);
cs_hash128_t cs_hash128 (cs_str_t s);
/* Rendezvous score of a node for a key; the node with the highest score owns the key. */
uint64_t cs_rendezvous (uint64_t node, uint64_t key);

#endif
