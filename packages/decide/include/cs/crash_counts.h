/* Requests that crash the back ends that run them, recognized by their content: a hash of team,
 * path and body, as the same request comes again under other ids and through other daemons.
 *
 * Evidence: the connection to a back end broke while it ran the content. The break counts until the
 * same incarnation has answered something later; it is confirmed, and counts for good, once the
 * list shows that the incarnation has ended. A content whose breaks of CS_CRASH_LIMIT incarnations
 * count is suspected: this daemon refuses it and asks the others. One that has had an answer to the
 * content says so, and all forget the breaks: what crashes back ends is never answered. With as
 * many breaks confirmed the content is condemned: all daemons refuse it for CS_CRASH_REFUSED_MS,
 * also those that start later.
 *
 * A harmless content that met as many crashes is told from one that causes them by one more
 * request: the daemon whose verdict is read first may send it, once. If it is answered, so that
 * daemon says.
 *
 * Unlike cs_poison, which needs a record in an ordered log for each crash, this works with hints
 * that may be lost or late. */
#ifndef CS_CRASH_COUNTS_H
#define CS_CRASH_COUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_CRASH_LIMIT = 3,
	CS_CRASH_WINDOW_MS = 60000,
	CS_CRASH_REFUSED_MS = 600000,
	CS_CRASH_SUSPECTED_MS =
		20000, /* the list shows well within this time whether a back end ended */
	CS_CRASH_MAX_CONTENTS = 4096, /* the oldest ones are forgotten */
	CS_CRASH_ANSWERS = 4096       /* contents whose last answer is remembered, at most */
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
	uint64_t content;
	int64_t at_ms;
} cs_crash_answer_t;

typedef struct {
	cs_crash_content_t *contents; /* uthash by content, in the order of their first break */
	cs_crash_answer_t *answers;   /* direct-mapped by content */
	const cs_crash_evidence_ops_t *evidence;
	void *data;
} cs_crash_counts_t;

/* What a daemon tells the others of a content. */
typedef enum {
	CS_CRASH_NOTHING,
	CS_CRASH_SUSPECTED, /* it refuses the content for now */
	CS_CRASH_CONDEMNED,
	CS_CRASH_WORKS, /* it has had an answer to it */
	CS_CRASH_KEEP   /* condemned, but no longer kept */
} cs_crash_verdict_t;

void cs_crash_counts_init (cs_crash_counts_t *c, const cs_crash_evidence_ops_t *evidence,
			   void *data);
void cs_crash_counts_finish (cs_crash_counts_t *c);
/* Records that the connection to this incarnation of the back end broke under the content, as this
 * daemon or another one saw. False if that was known. */
bool cs_crash_counts_add (cs_crash_counts_t *c, int64_t now_ms, uint64_t content,
			  const char *back_end, uint64_t born);
/* Records an answer to the content, which clears it, here and at the daemons that were told. */
void cs_crash_counts_answered (cs_crash_counts_t *c, int64_t now_ms, uint64_t content);
/* Applies what a daemon tells; own: this one, in the order in which all read it. */
void cs_crash_counts_hear (cs_crash_counts_t *c, int64_t now_ms, uint64_t content,
			   cs_crash_verdict_t verdict, bool own);
/* Records that a request of the content is sent. True if it is the one that tries it. */
bool cs_crash_counts_sent (cs_crash_counts_t *c, uint64_t content);
/* Refuses the content until until_ms, as it was kept. */
void cs_crash_counts_refuse (cs_crash_counts_t *c, int64_t now_ms, uint64_t content,
			     int64_t until_ms);
/* Until when the content is refused; 0: it is not, or this request is the one that tries it. */
int64_t cs_crash_counts_refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms,
					  uint64_t content);
/* Confirms the breaks whose incarnations are listed no more, and forgets what is too old. To be
 * called a few times a second. */
void cs_crash_counts_review (cs_crash_counts_t *c, int64_t now_ms);
/* The next thing to tell the others and to keep; CS_CRASH_NOTHING if there is none. */
cs_crash_verdict_t cs_crash_counts_next (cs_crash_counts_t *c, int64_t now_ms, uint64_t *content);
/* True if cs_crash_counts_next has something to tell. */
bool cs_crash_counts_has_next (const cs_crash_counts_t *c, int64_t now_ms);
/* What was kept may be lost: what is condemned and not refused anew has to be kept again. */
void cs_crash_counts_forget_kept (cs_crash_counts_t *c);

#endif
