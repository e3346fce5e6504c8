/* Whether this daemon reads the store for others, once the store has given that to another one.
 *
 * Load: the store hands the roles out anew all at once, unasked too, and the new readers learn of
 * theirs one or two seconds later. If the old ones stopped at once, a hundred daemons without a
 * reader would read the store themselves meanwhile, three topics twice a second each. So a reader
 * goes on for a while, and says in its answers that it leaves; those that read from it look up the
 * readers anew, at times that differ.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_READER_ROLE_H
#define CS_READER_ROLE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_READER_LINGER_MS = 5000 /* by then those that read from it have looked up the new ones */
};

typedef struct {
	bool has_role;
	int64_t until_ms; /* without the role */
} cs_reader_role_t;

/* Records what the store says. */
void cs_reader_role_told (cs_reader_role_t *r, int64_t now_ms, bool has_role);
bool cs_reader_role_reads (const cs_reader_role_t *r, int64_t now_ms);
/* True while it reads and has lost the role. */
bool cs_reader_role_is_leaving (const cs_reader_role_t *r, int64_t now_ms);

#endif
