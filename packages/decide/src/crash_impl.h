/* Causes, ends and breaks of cs_crash_counts; crash_counts.c tells of them, crash_parts.c judges
 * parts. */
#ifndef CS_CRASH_IMPL_H
#define CS_CRASH_IMPL_H

#include <uthash.h>

#include "cs/crash_counts.h"
#include "cs/ref.h"

enum {
	CS_CRASH_MAX_BREAKS = 16 /* of one cause; the limits are reached with fewer */
};

/* An incarnation of a back end to which connections broke. */
struct cs_crash_end {
	cs_ref_t ref; /* of the list and of each break */
	char *back_end;
	uint64_t born;
	int64_t at_ms;   /* earliest break, as estimated */
	int64_t seen_ms; /* when this daemon came to know it */
	bool confirmed;
	bool is_past;       /* as far as this daemon knows, it counts only if the list shows it */
	uint64_t judgement; /* that explains it; 0: none */
};

typedef struct {
	cs_crash_end_t *end;
	uint64_t content; /* of the first request with the cause whose connection broke */
	bool is_strong;
} cs_crash_break_record_t;

struct cs_crash_cause {
	cs_crash_key_t key;
	cs_crash_break_record_t breaks[CS_CRASH_MAX_BREAKS]; /* oldest first */
	size_t n;
	int64_t refused_until_ms; /* 0: only while enough breaks count */
	int64_t since_ms;         /* begin of the evidence of the verdict; 0: none */
	bool is_condemned;
	bool asked; /* the others know that it is suspected */
	bool told;  /* the others know that it is condemned */
	bool kept;
	bool owes_objection; /* another daemon suspects it, and this one has had an answer */
	bool has_first;      /* a verdict was read; the first one chooses who tries once more */
	bool may_try;        /* one more request of it may be sent */
	bool is_tried;       /* that request was sent */
	/* Of parts. */
	bool is_witnessed;    /* this daemon saw a break of it */
	uint64_t judgement;   /* by which it is suspected; 0: it is not */
	int64_t suspected_ms; /* since when judgements suspect it; 0: the last one does not */
	uint32_t tries;       /* claims that were read */
	int64_t try_from_ms;  /* the next one */
	int64_t try_until_ms; /* end of the last one; it ends may_try */
	bool wants_try;       /* a claim is to be told */
	int64_t keep_from_ms; /* a suspicion that was kept is kept as a verdict; 0: never */
	UT_hash_handle hh;
};

/* Breaks of a part that count, those of one content or one moment once. */
typedef struct {
	uint32_t moments;
	uint32_t strong;  /* moments with a strong break */
	int64_t first_ms; /* the first of the moments */
	int64_t since_ms; /* the last CS_CRASH_LIMIT moments begin */
} cs_crash_weight_t;

/* True if a run that began then or later was answered. */
bool cs_crash_has_answer (const cs_crash_counts_t *c, int64_t now_ms, cs_crash_key_t key,
			  int64_t since_ms);
/* True if the back end may have ended under its requests. */
bool cs_crash_end_counts (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_end_t *end);
/* Breaks of a content that count. */
size_t cs_crash_count (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x,
		       bool confirmed);
cs_crash_weight_t cs_crash_weigh (const cs_crash_counts_t *c, int64_t now_ms,
				  const cs_crash_cause_t *x, bool confirmed);
/* Suspects the parts that explain the ends best, one after the other, as long as what is left to
 * explain suffices; ends the suspicion of the others. */
void cs_crash_judge (cs_crash_counts_t *c, int64_t now_ms);
/* True if it has met ends at more than one moment, whatever explains them. */
bool cs_crash_is_rival (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *y);
/* True if it is suspected together with others that explain its ends as well. */
bool cs_crash_is_tied (const cs_crash_counts_t *c, int64_t now_ms, const cs_crash_cause_t *x);

#endif
