/* Helpers shared by the tests of poisonous requests. */
#ifndef CS_SUPPORT_POISON_H
#define CS_SUPPORT_POISON_H

#include "cs/poison.h"

/* Mechanisms that the test run turns off; cs_poison_disabled_t bits. */
extern uint32_t poison_disabled;

/* Initialises p with the mechanisms of poison_disabled turned off. */
void poison_test_init (cs_poison_t *p);
/* Applies a Crash record: the group crashed while it ran the requests `fingerprints`, and `cleared`
 * have completed. The record only clears if group is "". */
void poison_apply_crash (cs_poison_t *p, const char *group, uint64_t fence,
			 const uint64_t *fingerprints, size_t n, const uint64_t *cleared,
			 size_t n_cleared);

#endif
