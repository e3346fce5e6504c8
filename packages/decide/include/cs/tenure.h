/* Whether the planner of groups goes on with what it knows. Its turn is a lease that it
 * renews; a renewal that is answered late ends the turn for a while. Load: a daemon has a
 * twelfth of a processor, and while a hundred start at once answers take a second. */
#ifndef CS_TENURE_H
#define CS_TENURE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_TENURE_MARGIN_PERCENT = 20 /* of the lease, which the holder stops early */
};

typedef struct {
	bool held;
	uint64_t generation; /* of the group of planners, at the last answer */
	int64_t until_ms;    /* when the turn ends unless it is renewed */
} cs_tenure_t;

typedef enum {
	CS_TENURE_NONE, /* another daemon plans */
	CS_TENURE_NEW,  /* another one may have planned: all has to be read anew */
	CS_TENURE_ON    /* nobody else has had the turn since */
} cs_tenure_step_t;

/* A renewal that was sent at asked_ms has been answered: whether the turn is this daemon's,
 * and the generation, which rises whenever a turn goes to another one. */
cs_tenure_step_t cs_tenure_renewed (cs_tenure_t *t, int64_t now_ms, int64_t asked_ms,
				    uint32_t lease_ms, bool held, uint64_t generation);

#endif
