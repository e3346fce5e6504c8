/* Lease of the daemon that plans groups: whether the planner may keep its state after a renewal.
 * A renewal that is answered late leaves the lease expired for a while. This is expected: a daemon
 * has a twelfth of a processor, and answers take a second while a hundred daemons start at once. */
#ifndef CS_PLANNER_LEASE_H
#define CS_PLANNER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_PLANNER_LEASE_MARGIN_PERCENT = 20 /* of the lease; the holder stops this much early */
};

typedef struct {
	bool held;
	uint64_t generation;      /* of the group of planners, as of the last answer */
	int64_t lease_expires_ms; /* when the lease ends unless renewed, margin deducted */
} cs_planner_lease_t;

typedef enum {
	CS_PLANNER_LEASE_NOT_HELD, /* another daemon holds the lease */
	CS_PLANNER_LEASE_ACQUIRED, /* another daemon may have planned meanwhile: reread all state */
	CS_PLANNER_LEASE_CONTINUED /* no other daemon has held the lease since: keep the state */
} cs_planner_lease_step_t;

/* Records the answer to a renewal sent at sent_ms. held: this daemon holds the lease. generation
 * rises whenever the lease passes to another daemon. */
cs_planner_lease_step_t cs_planner_lease_renewed (cs_planner_lease_t *t, int64_t now_ms,
						  int64_t sent_ms, uint32_t lease_ms, bool held,
						  uint64_t generation);

#endif
