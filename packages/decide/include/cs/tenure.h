/* Lease of the daemon that plans groups: whether the planner may keep its state after a renewal.
 * A renewal that is answered late leaves the lease expired for a while. This is expected: a daemon
 * has a twelfth of a processor, and answers take a second while a hundred daemons start at once. */
#ifndef CS_TENURE_H
#define CS_TENURE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_TENURE_MARGIN_PERCENT = 20 /* of the lease; the holder stops this much early */
};

typedef struct {
	bool held;
	uint64_t generation; /* of the group of planners, as of the last answer */
	int64_t until_ms;    /* when the lease ends unless renewed, margin deducted */
} cs_tenure_t;

typedef enum {
	CS_TENURE_NONE, /* another daemon holds the lease */
	CS_TENURE_NEW,  /* another daemon may have planned meanwhile: reread all state */
	CS_TENURE_ON    /* no other daemon has held the lease since: keep the state */
} cs_tenure_step_t;

/* Records the answer to a renewal sent at asked_ms. held: this daemon holds the lease. generation
 * rises whenever the lease passes to another daemon. */
cs_tenure_step_t cs_tenure_renewed (cs_tenure_t *t, int64_t now_ms, int64_t asked_ms,
				    uint32_t lease_ms, bool held, uint64_t generation);

#endif
