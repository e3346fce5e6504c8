/* Limits the rate of failure notices that a daemon publishes to the other daemons through the
 * store. When a zone is cut off or a fabric domain fails, dozens of groups stop answering each of a
 * hundred daemons at once, and each notice is a billed call that all other daemons read. */
#ifndef CS_NOTICES_H
#define CS_NOTICES_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_NOTICES_BURST = 3, /* groups of a failed domain; other daemons report others of them */
	CS_NOTICES_PER_S = 1  /* enough for single failures: a member fails every few seconds */
};

/* Breaks of connections: a part of prompts may end a back end each quarter of a second. */
enum {
	CS_NOTICES_BREAK_BURST = 6,
	CS_NOTICES_BREAKS_PER_S = 3
};

typedef struct {
	uint32_t burst;
	uint32_t per_s;
	int64_t refilled_ms; /* when tokens was last updated */
	double tokens;       /* notices that may be published at once */
} cs_notices_t;

void cs_notices_init (cs_notices_t *n);
/* The same with the rate for breaks. */
void cs_notices_init_breaks (cs_notices_t *n);
/* Returns true, and takes a token, if a notice may be published now. Always false with
 * store_unreachable: the store does not answer this daemon, so the notice would not arrive, and the
 * failure may be the daemon's own. */
bool cs_notices_try_acquire (cs_notices_t *n, int64_t now_ms, bool store_unreachable);

#endif
