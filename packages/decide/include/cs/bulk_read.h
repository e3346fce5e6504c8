/* How long a read is waited for whose answer is large and that all daemons make at the same time:
 * the listings and past records that a daemon reads when it starts, or after the store was
 * restored.
 *
 * Load: hundreds of daemons that start together read a megabyte each, which keeps the store busy
 * for several seconds. It carries out what was given up, too: if each daemon gives up after a
 * second and asks again, the store works only on reads that nobody waits for any more, and no
 * daemon ever has its list. So a read under way is waited for. It is made once more if its
 * connection seems silent: if a read that was made later was answered before it, or after a time in
 * which the store answers all of a fleet.
 *
 * All times are in milliseconds. */
#ifndef CS_BULK_READ_H
#define CS_BULK_READ_H

#include "cs/late_answer.h"

enum {
	CS_BULK_OVERTAKEN_MS = 2500, /* until a read that was overtaken is made again */
	CS_BULK_LATE_MS = 7000,      /* the same for one that was not */
	CS_BULK_GIVE_UP_MS = 16000,
	CS_BULK_SPREAD_MS = 1000 /* of the daemons' times */
};

/* What is next for a bulk read that was first made since_ms ago, last made last_ms ago, and n_calls
 * times in all, if nothing is answered. is_overtaken: a younger call to the same server was
 * answered. spread: a number of this daemon's own. */
cs_late_answer_step_t cs_bulk_read_next (uint32_t since_ms, uint32_t last_ms, int n_calls,
					 bool is_overtaken, uint32_t spread);

#endif
