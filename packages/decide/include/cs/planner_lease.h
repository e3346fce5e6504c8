/* Lease of the daemon that plans groups: whether the planner may keep its state after a renewal.
 * If the reply to a renewal arrives late, the lease is expired until then. This is expected: with
 * a twelfth of a processor per daemon, replies take a second while a hundred daemons start at
 * once. All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_PLANNER_LEASE_H
#define CS_PLANNER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_PLANNER_LEASE_MARGIN_PERCENT = 20 /* of the lease duration; deducted by the holder */
};

typedef struct {
	bool held;                /* this daemon holds the lease, as of the last reply */
	uint64_t generation;      /* of the group of planners, as of the last reply */
	uint64_t era;             /* of the store that gave the last reply */
	int64_t lease_expires_ms; /* when the lease ends unless renewed, margin deducted */
} cs_planner_lease_t;

typedef enum {
	CS_PLANNER_LEASE_NOT_HELD, /* another daemon holds the lease */
	CS_PLANNER_LEASE_ACQUIRED, /* another daemon may have planned meanwhile: reread all state */
	CS_PLANNER_LEASE_CONTINUED /* no other daemon has held the lease since: keep the state */
} cs_planner_lease_result_t;

/* Records the reply to a renewal sent at sent_ms. held: this daemon holds the lease. lease_ms: its
 * duration, counted from sent_ms. generation rises whenever the lease passes to another daemon,
 * until the store is restored from an older copy, which begins another era: all state is then
 * reread. */
cs_planner_lease_result_t cs_planner_lease_renewed (cs_planner_lease_t *t, int64_t now_ms,
						    int64_t sent_ms, uint32_t lease_ms, bool held,
						    uint64_t generation, uint64_t era);

#endif
