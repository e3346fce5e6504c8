/* Non-cryptographic hashes (XXH3) and scores for rendezvous hashing. */
#ifndef CS_HASH_H
#define CS_HASH_H

#include "cs/str.h"

uint64_t cs_hash (cs_str_t s);
/* Rendezvous score of a node for a key; the node with the highest score owns the key. */
uint64_t cs_rendezvous (uint64_t node, uint64_t key);

#endif
