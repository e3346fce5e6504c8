/* Requests that crash the back ends that run them, recognized by their content: a hash of team,
 * path and body, as the same request comes again under other ids and through other daemons.
 *
 * Evidence: the connection to a back end broke while it ran the content. The break counts until the
 * same incarnation has answered something later; it is confirmed, and counts for good, once the
 * list shows that the incarnation has ended. A content whose breaks of CS_CRASH_LIMIT incarnations
 * count is refused, by all daemons that know of them; with as many confirmed it stays refused for
 * CS_CRASH_REFUSED_MS, also by daemons that start later. An answer to the content itself clears it.
 *
 * Unlike cs_poison, which needs a record in an ordered log for each crash, this works with hints
 * that may be lost or late. A harmless content is refused for as long as it takes three back ends
 * that it broke at to answer anything, or if it met three crashes within CS_CRASH_WINDOW_MS without
 * an answer in between. */
#ifndef CS_CRASH_COUNTS_H
#define CS_CRASH_COUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_CRASH_LIMIT = 3,
	CS_CRASH_WINDOW_MS = 60000,
	CS_CRASH_REFUSED_MS = 600000,
	CS_CRASH_MAX_CONTENTS = 4096 /* the oldest ones are forgotten */
};

typedef struct cs_crash_content cs_crash_content_t;

/* What this daemon knows of back ends. */
typedef struct {
	/* When it last had an answer of the back end; 0: never. */
	int64_t (*answered_ms) (void *data, const char *back_end);
	/* True if the list has this incarnation of the back end. */
	bool (*is_listed) (void *data, const char *back_end, uint64_t born);
} cs_crash_evidence_ops_t;

typedef struct {
	cs_crash_content_t *contents; /* uthash by content, in the order of their first break */
	const cs_crash_evidence_ops_t *evidence;
	void *data;
} cs_crash_counts_t;

void cs_crash_counts_init (cs_crash_counts_t *c, const cs_crash_evidence_ops_t *evidence,
			   void *data);
void cs_crash_counts_finish (cs_crash_counts_t *c);
/* Records that the connection to this incarnation of the back end broke under the content, as this
 * daemon or another one saw. False if that was known. */
bool cs_crash_counts_add (cs_crash_counts_t *c, int64_t now_ms, uint64_t content,
			  const char *back_end, uint64_t born);
/* Confirms the breaks whose incarnations are listed no more, and forgets what is too old. To be
 * called a few times a second. */
void cs_crash_counts_review (cs_crash_counts_t *c, int64_t now_ms);
/* Records an answer to the content. True if that clears a content that other daemons may be about
 * to refuse. */
bool cs_crash_counts_answered (cs_crash_counts_t *c, uint64_t content);
/* Refuses the content until until_ms, as another daemon found, or this one before a restart. */
void cs_crash_counts_refuse (cs_crash_counts_t *c, int64_t now_ms, uint64_t content,
			     int64_t until_ms);
/* Until when the content is refused; 0: it is not. */
int64_t cs_crash_counts_refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms,
					  uint64_t content);
/* A content that is refused for good and whose refusal other daemons have not been told. False if
 * there is none. Each is returned once, or again after cs_crash_counts_unpublish. */
bool cs_crash_counts_next_unpublished (cs_crash_counts_t *c, int64_t now_ms, uint64_t *content);
/* Marks all contents as not published: what was published may be lost. */
void cs_crash_counts_unpublish (cs_crash_counts_t *c);
#endif
