/* What crashes the back ends that run it: contents of requests and parts of prompts. A content is a
 * hash of team, path and body, as the same request comes again under other ids and through other
 * daemons. A part is one of the pieces of a prompt that requests share, whatever else they hold.
 *
 * Evidence: the connection to a back end broke while it ran requests with the cause. The break
 * counts until the same incarnation has answered something later; it is confirmed, and counts for
 * good, once the list shows that the incarnation has ended. All daemons are told of each break.
 *
 * A content is suspected when the breaks of CS_CRASH_LIMIT incarnations count.
 *
 * A part runs beside many others. Breaks count by moments, as a power loss ends several back ends
 * at once, and by contents, as one request is repeated. Parts that the daemon has just had an
 * answer to, or an answer begun, are not blamed for a break, nor are such contents; those that were
 * answered a while ago or had been written on for long count half. The more moments there were
 * without the part since its first one, the more of its own are needed, from CS_CRASH_LIMIT to
 * CS_CRASH_MAX_MOMENTS. Breaks that a suspected part explains do not count for others. A request
 * with one of several parts that always came together is let through until more is known; one with
 * all of them is not.
 *
 * This daemon refuses requests with a suspected cause and asks the others. One that has had an
 * answer, begun after the evidence, says so, and all forget the breaks before: what crashes back
 * ends is never answered. With as many breaks confirmed the cause is condemned: all daemons refuse
 * it for CS_CRASH_REFUSED_MS, also those that start later.
 *
 * A harmless cause is told from one that crashes back ends by one more request, CS_CRASH_MAX_TRIES
 * times in all, some seconds apart: one may meet an end that it has not caused, and the daemon that
 * may send it may end. The daemon whose claim is read first may send it; of a content, the first
 * time, the one whose verdict is read first.
 *
 * Expected load: routes of 1,000 requests a second and more, 26 running requests with 2 to 8 parts
 * each on each back end that ends, a few dozen common parts among thousands, several ends at once.
 * Unlike cs_poison, which needs a record in an ordered log for each crash, this works with hints
 * that may be lost or late. */
#ifndef CS_CRASH_COUNTS_H
#define CS_CRASH_COUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cs/str.h"

enum {
	CS_CRASH_LIMIT = 3,
	CS_CRASH_MAX_MOMENTS = 5, /* with so many a part is suspected whatever else ended */
	CS_CRASH_MAX_TRIES = 2,
	CS_CRASH_WINDOW_MS = 60000,
	CS_CRASH_REFUSED_MS = 600000,
	CS_CRASH_SUSPECTED_MS =
		20000, /* the list shows well within this time whether a back end ended */
	CS_CRASH_MAX_CAUSES = 4096, /* the oldest ones without a verdict are forgotten */
	CS_CRASH_MAX_ENDS = 1024,   /* back ends whose connections broke, the newest ones */
	CS_CRASH_ANSWERS = 4096     /* causes whose last answer is remembered, at most */
};

typedef struct {
	uint64_t id;
	uint64_t is_part; /* 0: a content */
} cs_crash_key_t;

typedef struct cs_crash_cause cs_crash_cause_t;
typedef struct cs_crash_end cs_crash_end_t;

/* What this daemon knows of back ends. */
typedef struct {
	/* When it last had an answer of the back end; 0: never. */
	int64_t (*answered_ms) (void *data, const char *back_end);
	/* True if the list has this incarnation of the back end. */
	bool (*is_listed) (void *data, const char *back_end, uint64_t born);
} cs_crash_evidence_ops_t;

/* The connection of a request to an incarnation broke. */
typedef struct {
	const char *back_end;
	uint64_t born;
	int64_t at_ms; /* as estimated, if another daemon saw it */
	uint64_t content;
	bool is_own;  /* this daemon saw it */
	bool is_past; /* it was told before this daemon started: it counts once the list shows it */
} cs_crash_break_t;

/* What may have caused it. */
typedef struct {
	cs_crash_key_t key;
	bool is_strong; /* false: counts half */
} cs_crash_blame_t;

typedef struct {
	cs_crash_key_t key;
	int64_t answered_ms; /* when the run that was last answered whole began; 0: none */
	int64_t written_ms;  /* the same of one that is being written on */
} cs_crash_answer_t;

typedef struct {
	cs_crash_cause_t *causes; /* uthash by key, in the order of their last break */
	cs_crash_end_t **ends;    /* in the order in which they came to be known */
	size_t n_ends;
	cs_crash_answer_t *answers; /* direct-mapped by key */
	const cs_crash_evidence_ops_t *evidence;
	void *data;
	uint64_t last_judgement;
	int64_t judged_ms; /* when the ends were last judged */
	bool is_judged;    /* nothing has come to be known since */
	uint32_t disabled; /* cs_crash_disabled_t */
} cs_crash_counts_t;

/* Mechanisms that tests turn off. */
typedef enum {
	CS_CRASH_NO_PARTS = 1 << 0,
	CS_CRASH_NO_ANSWERS = 1 << 1, /* parts that are answered are blamed all the same */
	CS_CRASH_NO_MOMENTS = 1 << 2  /* each end is a moment of its own */
} cs_crash_disabled_t;

/* What a daemon tells the others of a cause. */
typedef enum {
	CS_CRASH_NOTHING,
	CS_CRASH_SUSPECTED, /* it refuses the cause for now */
	CS_CRASH_CONDEMNED,
	CS_CRASH_WORKS, /* it has had an answer to it */
	CS_CRASH_KEEP,  /* condemned, but no longer kept */
	CS_CRASH_CLAIM  /* it wants to try the part */
} cs_crash_verdict_t;

typedef struct {
	cs_crash_key_t key;
	cs_crash_verdict_t verdict;
	/* Begin of the evidence; CS_CRASH_WORKS: of the run that was answered. */
	int64_t since_ms;
} cs_crash_news_t;

void cs_crash_counts_init (cs_crash_counts_t *c, const cs_crash_evidence_ops_t *evidence,
			   void *data);
void cs_crash_counts_finish (cs_crash_counts_t *c);
/* Whether a cause of a request is to be blamed for a break of its connection now, and how much.
 * is_strong: the back end had not written on the answer for long, and no other one writes on an
 * answer with the cause. */
bool cs_crash_counts_blame (const cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
			    bool is_strong, cs_crash_blame_t *out);
/* Records a break, as this daemon or another one saw. False if nothing of it was new. */
bool cs_crash_counts_add (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_break_t *b,
			  const cs_crash_blame_t *blamed, size_t n);
/* When this incarnation of a back end ended, by the breaks recorded; 0: none is. */
int64_t cs_crash_counts_end_ms (const cs_crash_counts_t *c, const char *back_end, uint64_t born);
/* Records a whole answer of a run that began at began_ms. It refutes the breaks before, here and at
 * the daemons that were told. True if that ends a verdict. */
bool cs_crash_counts_answered (cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
			       int64_t began_ms);
/* Records that an answer begun at began_ms has been written on for a while. */
void cs_crash_counts_written (cs_crash_counts_t *c, cs_crash_key_t key, int64_t began_ms);
/* Applies what a daemon tells; own: this one, in the order in which all read it. */
void cs_crash_counts_hear (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_news_t *news,
			   bool own);
/* Records that a request with these causes is sent. True if it is the one that tries one. */
bool cs_crash_counts_sent (cs_crash_counts_t *c, const cs_crash_key_t *keys, size_t n);
/* Records that a request that tried them was not run: it proved nothing, and another one may try.
 */
void cs_crash_counts_not_run (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_key_t *keys,
			      size_t n);
/* Refuses the cause until until_ms, as it was kept. since_ms: begin of its evidence; 0: unknown. */
void cs_crash_counts_refuse (cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
			     int64_t until_ms, int64_t since_ms);
/* Until when a request with these causes is refused; 0: it is not, or it is the one that tries.
 * has_claimed: cs_crash_counts_claim was true for it. *refused, if not NULL, is set to the cause.
 */
int64_t cs_crash_counts_refused_until_ms (const cs_crash_counts_t *c, int64_t now_ms,
					  const cs_crash_key_t *keys, size_t n, bool has_claimed,
					  cs_crash_key_t *refused);
/* True if a request that is refused may wait for a moment, as this daemon claims to try its parts.
 */
bool cs_crash_counts_claim (cs_crash_counts_t *c, int64_t now_ms, const cs_crash_key_t *keys,
			    size_t n);
/* True if a request whose connection broke is not to be sent to another back end: back ends have
 * ended under one of its causes at more than one moment, and nothing else explains them. */
bool cs_crash_counts_is_doubtful (const cs_crash_counts_t *c, int64_t now_ms,
				  const cs_crash_key_t *keys, size_t n);
/* How long a request waits before it is repeated, n_broken of its connections having broken: behind
 * the second one for what the others have seen. left_ms: time that is left to the request. */
int64_t cs_crash_repeat_delay_ms (uint32_t n_broken, int64_t left_ms);
/* True if any cause is refused. */
bool cs_crash_counts_has_refused (const cs_crash_counts_t *c, int64_t now_ms);
/* Confirms the breaks whose incarnations are listed no more, and forgets what is too old. To be
 * called a few times a second. */
void cs_crash_counts_review (cs_crash_counts_t *c, int64_t now_ms);
/* The next thing to tell the others and to keep; its verdict is CS_CRASH_NOTHING if there is none.
 */
cs_crash_news_t cs_crash_counts_next (cs_crash_counts_t *c, int64_t now_ms);
/* The next claim to tell the others. */
cs_crash_news_t cs_crash_counts_next_claim (cs_crash_counts_t *c, int64_t now_ms);
/* Within which time cs_crash_counts_next has something to tell; 0: it has nothing. A time is to be
 * drawn below that, as what another daemon tells meanwhile need not be told again. Those that saw
 * breaks of a suspected part, which are few, are quicker. */
uint32_t cs_crash_counts_next_within_ms (const cs_crash_counts_t *c, int64_t now_ms);
/* Appends the incarnations that ended under the cause: "BACK_END/BORN", joined by commas. */
void cs_crash_counts_describe (const cs_crash_counts_t *c, cs_crash_key_t key, cs_buf_t *out);
/* What was kept may be lost: what is condemned and not refused anew has to be kept again. */
void cs_crash_counts_forget_kept (cs_crash_counts_t *c);

#endif
