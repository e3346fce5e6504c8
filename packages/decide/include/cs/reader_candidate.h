/* Which daemons offer to read the store for all others and to plan the groups.
 *
 * Load: a reader passes each change of each back end on to its share of the daemons, some 100 KB/s
 * a daemon at 900 back ends. A daemon with a narrow link that reads for 60 others fills it: it is
 * late for all of them, and they turn to the store, all at once; so it is with 0.084 of a core, or
 * with memory that its own connections need. So daemons with wide links, enough of a core and
 * enough memory offer themselves at once, and the others only when nobody else does. They look at
 * times that differ, so that a few of them offer themselves.
 *
 * Who reads is decided by the store among those that offer themselves. None, or too many, do no
 * harm: a daemon without a reader reads the store itself.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_READER_CANDIDATE_H
#define CS_READER_CANDIDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Of a daemon's machine; 0: unknown, which is enough. */
typedef struct {
	double link_mbps;
	double cores; /* a part of one, mostly */
	size_t memory_bytes;
} cs_reader_machine_t;

typedef struct {
	bool is_candidate;
	int64_t none_since_ms; /* since when no reader has been seen; 0: one has, or never looked */
	uint32_t spread;
} cs_reader_candidate_t;

/* spread: a hash of the daemon's name. */
void cs_reader_candidate_init (cs_reader_candidate_t *c, const cs_reader_machine_t *machine,
			       uint64_t spread);
/* Records that the store listed n_readers. Returns the time after which to look again, as long as
 * this daemon has no reader; 0: as usual. */
int64_t cs_reader_candidate_looked (cs_reader_candidate_t *c, int64_t now_ms, uint32_t n_readers);

#endif
