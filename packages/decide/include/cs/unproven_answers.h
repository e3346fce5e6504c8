/* Answers that ended with their connection, without a length or chunks: the back end may have ended
 * them, or may have crashed. A later answer of the same incarnation proves that they were whole; a
 * broken connection before it, or an incarnation that is listed no more, that they broke. If the
 * incarnation is known to have ended later, neither is proven.
 *
 * Expected load: services all of whose answers end so, some ten a second at each daemon. */
#ifndef CS_UNPROVEN_ANSWERS_H
#define CS_UNPROVEN_ANSWERS_H

#include "cs/crash_counts.h"

enum {
	CS_UNPROVEN_MAX = 256,     /* the oldest ones are forgotten */
	CS_UNPROVEN_MAX_MS = 10000 /* until an answer is forgotten */
};

typedef struct {
	char *back_end;
	uint64_t born;
	int64_t began_ms;
	int64_t ended_ms;
	bool is_early; /* as for cs_crash_counts_blame */
	cs_crash_key_t *keys;
	size_t n;
} cs_unproven_answer_t;

typedef struct {
	cs_unproven_answer_t items[CS_UNPROVEN_MAX]; /* oldest first */
	size_t n;
} cs_unproven_answers_t;

typedef enum {
	CS_UNPROVEN_UNKNOWN,
	CS_UNPROVEN_WHOLE,
	CS_UNPROVEN_BROKEN
} cs_unproven_t;

/* What is known of the back end now. */
typedef struct {
	int64_t answered_ms; /* last answer */
	int64_t broken_ms;   /* when a connection last broke, or could not be made */
	int64_t end_ms;      /* cs_crash_counts_end_ms */
	bool is_listed;
} cs_unproven_evidence_t;

cs_unproven_t cs_unproven_decide (int64_t now_ms, int64_t ended_ms,
				  const cs_unproven_evidence_t *e);
/* Copies a. */
void cs_unproven_answers_add (cs_unproven_answers_t *u, const cs_unproven_answer_t *a);
void cs_unproven_answers_remove (cs_unproven_answers_t *u, size_t i);
void cs_unproven_answers_finish (cs_unproven_answers_t *u);

#endif
