/* When a daemon appends its notes. Load: as a back end ends or turns silent, each of a hundred
 * daemons has a note about its group, about the requests that ended there, and about repeats,
 * within tens of ms of one another; each call to the store is paid for. Notes that come within a
 * short time are appended by one call.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_NOTE_GATHER_H
#define CS_NOTE_GATHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_NOTE_GATHER_MS = 50, /* a note waits no longer */
	CS_NOTE_GATHER_MAX = 16 /* notes of one call */
};

typedef struct {
	size_t n;         /* notes that wait */
	int64_t since_ms; /* the first of them */
	bool is_stopping; /* set by the user: the daemon may end at any time, no note waits */
} cs_note_gather_t;

/* Adds a note. Returns the time until those that wait are appended; 0: now. */
uint32_t cs_note_gather_add (cs_note_gather_t *g, int64_t now_ms);
/* Records that they were appended. */
void cs_note_gather_sent (cs_note_gather_t *g);

#endif
