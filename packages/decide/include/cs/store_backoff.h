/* When a daemon calls a store again that turned it away. Load: a store that turns away a third or
 * all of 112 or 330 daemons for seconds, with resets, 429 or 503 at once or by silence. Each daemon
 * follows several topics: if each is asked for on its own at a fixed pace, 112 daemons make some
 * 600 calls a second that only keep the store busy.
 *
 * Failures are counted for each kind of call, and for all: while none is answered, one call after
 * the other finds out whether the store is back, whichever kind is first. The pause between two
 * calls doubles up to 0.6 s, so that a short failure delays no configuration beyond its bound,
 * then up to 1.5 s, or to 6 s for what a daemon has from another one that reads the store for it.
 * Joins, owners and causes, for which no configuration waits, go up to 1.5 s at once. Repeats
 * beside unanswered calls are counted for all kinds together; two are made at once, one more for a
 * configuration, the others at the pace of probes. The first answer lets all kinds go on.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_STORE_BACKOFF_H
#define CS_STORE_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	CS_STORE_OTHER, /* appends: made once, when there is something to append */
	CS_STORE_LIST,
	CS_STORE_CONFIG,
	CS_STORE_NOTES,
	CS_STORE_LEDGER,
	CS_STORE_JOIN,
	CS_STORE_OWNERS,
	CS_STORE_CAUSES,
	CS_STORE_KINDS
} cs_store_kind_t;

typedef struct {
	uint32_t failures; /* in a row; calls that ran side by side count once */
	uint32_t made;     /* calls from the first failed one on, those made again included */
	int64_t since_ms;  /* the first of them was made */
	int64_t began_ms;  /* the last call was made */
	int64_t ended_ms;  /* the last failure was known */
	int64_t took_ms;   /* until it was */
} cs_store_failures_t;

typedef struct {
	cs_store_failures_t kinds[CS_STORE_KINDS];
	cs_store_failures_t all;
	uint32_t repeats; /* calls made again since the last answer */
	uint32_t spread;  /* set by the user: differs between daemons */
} cs_store_backoff_t;

/* Time until a call of this kind may be made; 0: now. has_reader: a daemon that reads for others
 * answers in place of the store. */
uint32_t cs_store_backoff_wait (const cs_store_backoff_t *b, cs_store_kind_t kind, int64_t now_ms,
				bool has_reader);
/* True while one call at a time finds out whether the store is back. */
bool cs_store_backoff_is_probing (const cs_store_backoff_t *b);
/* False: the call that was made n_calls times, and is late, is not made once more beside, at least
 * not yet. */
bool cs_store_backoff_may_repeat (const cs_store_backoff_t *b, cs_store_kind_t kind, int n_calls,
				  int64_t now_ms);
void cs_store_backoff_repeated (cs_store_backoff_t *b, int64_t now_ms);
void cs_store_backoff_began (cs_store_backoff_t *b, cs_store_kind_t kind, int64_t now_ms);
/* Records that a call made at began_ms had no answer, or a refusal of the store as a whole. */
void cs_store_backoff_failed (cs_store_backoff_t *b, cs_store_kind_t kind, int64_t began_ms,
			      int64_t now_ms);
void cs_store_backoff_answered (cs_store_backoff_t *b, cs_store_kind_t kind, int64_t now_ms);

#endif
