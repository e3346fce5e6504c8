/* How long reads wait on the way of a change: from the store to the daemons that read it for
 * others, and from these to all. Load: at the worst moment the waits of all hops add up; their sum
 * has to stay below the time in which a change must be in force (docs/DESIGN.md has the sums).
 * All times are in milliseconds. */
#ifndef CS_READ_TIMES_H
#define CS_READ_TIMES_H

#include <stdint.h>

enum {
	CS_READ_BOUND_MS = 2000 /* of a platform that states none */
};

typedef struct {
	uint32_t store_wait;   /* the store may hold a read until there is a record */
	uint32_t late_min;     /* beyond a wait: the store's answer is asked for again */
	uint32_t late_max;     /* the same, when its answers are slow */
	uint32_t give_up;      /* beyond a wait: a call to the store has failed */
	uint32_t reader_wait;  /* a daemon that reads for others may hold a read */
	uint32_t reader_late;  /* beyond a wait: another one is asked */
	uint32_t reader_age;   /* its data are refused when the store's last answer is as old */
	uint32_t reader_check; /* between two checks of that */
} cs_read_times_t;

/* bound_ms: time in which a change has to be in force. */
cs_read_times_t cs_read_times (uint32_t bound_ms);

#endif
