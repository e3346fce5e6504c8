/* Which of the failures that a daemon sees it tells the others, through the store. Load: a
 * zone that is cut off, or a domain that goes dark, makes dozens of groups silent for each of
 * a hundred daemons at once, and each notice is a priced call that all others read. */
#ifndef CS_NOTICES_H
#define CS_NOTICES_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_NOTICES_BURST = 3, /* groups of a domain that goes dark; other daemons tell more */
	CS_NOTICES_PER_S = 1  /* a member is lost every few seconds */
};

typedef struct {
	int64_t refilled_ms;
	double tokens;
} cs_notices_t;

void cs_notices_init (cs_notices_t *n);
/* True if a notice is to be given now; takes one of those allowed. store_away: the store does
 * not answer this daemon, so that the notice would not arrive, and the failure may be its
 * own. */
bool cs_notices_take (cs_notices_t *n, int64_t now_ms, bool store_away);

#endif
