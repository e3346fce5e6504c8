/* Which of the daemons that read the store for others this daemon reads from.
 *
 * Load: a reader may freeze, die, be cut off or have silent connections, and a hundred daemons
 * read from it. They must not wait until it is back, and must not all turn to the store at once
 * while other readers work. So all that were listed are kept: one that is late or refuses is
 * avoided for a moment, one that is gone or fails again and again for longer, and only a daemon
 * that knows no other one reads from the store. What is read from the first and the second
 * choice at the same time is not held up by either.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_READER_CHOICE_H
#define CS_READER_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_READERS_MAX = 3
};

typedef enum {
	CS_READER_LATE,    /* no answer in time */
	CS_READER_REFUSED, /* its own data is stale */
	CS_READER_GONE     /* no connection */
} cs_reader_failure_t;

typedef struct {
	uint64_t id;
	uint64_t preference; /* higher is better */
	int64_t avoid_until_ms;
	int64_t failed_ms; /* last failure */
	uint32_t failures; /* without a long gap */
} cs_reader_t;

typedef struct {
	cs_reader_t readers[CS_READERS_MAX]; /* the most preferred first */
	size_t n;
	int64_t leaving_from_ms; /* from when on a reader that leaves counts again */
} cs_reader_choice_t;

/* Replaces the readers by those that the store listed; what is known of the ones that stay is kept.
 */
void cs_reader_choice_set (cs_reader_choice_t *c, const cs_reader_t *listed, size_t n);
/* The reader of that rank, 0 or 1, among those that are not avoided, or the last one if there are
 * fewer; NULL: none, the store is read. */
const cs_reader_t *cs_reader_choice_get (const cs_reader_choice_t *c, int64_t now_ms, size_t rank);
/* Records a failed read. True if the readers should be looked up anew. */
bool cs_reader_choice_failed (cs_reader_choice_t *c, uint64_t id, int64_t now_ms,
			      cs_reader_failure_t failure);
/* Records that a reader says that it leaves. Returns the time after which the readers are looked up
 * anew; 0: that is under way. spread: a number of this daemon's own. */
uint32_t cs_reader_choice_leaving (cs_reader_choice_t *c, uint64_t id, int64_t now_ms,
				   uint32_t spread);

#endif
