/* Outlier ejection: back ends that recently failed to answer are tried last. Health checks are not
 * consulted, since results of requests are more recent and cannot be wrong. A hung back end holds
 * every request sent to it until the timeout, so one failure suffices to eject it for
 * CS_SUSPECT_BASE_MS. The period doubles with each further failure; an answer ends it. */
#ifndef CS_SUSPECTS_H
#define CS_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

enum {
	CS_SUSPECT_BASE_MS = 500,    /* duration of a few attempts */
	CS_SUSPECT_TOLD_MS = 1000,   /* the others are told of it once in this time */
	CS_SUSPECT_MAX_MS = 8000,    /* a crashed back end returns after some seconds */
	CS_SUSPECT_FORGET_MS = 30000 /* lifetime of an entry without suspicion or answer */
};

typedef struct {
	char *id;
	uint64_t incarnation; /* or epoch of its group membership; a new one has no failures */
	uint32_t failures;    /* consecutive failures */
	int64_t until_ms;     /* end of the suspicion; 0: none */
	int64_t answered_ms;  /* last answer; 0: unknown */
	int64_t broken_ms;    /* when a connection last broke, or could not be made; 0: none did */
	int64_t told_ms;      /* when a daemon last told the others of it; 0: none did */
	uint64_t told_incarnation;
	UT_hash_handle hh;
} cs_suspect_t;

typedef struct {
	cs_suspect_t *entries; /* uthash by id */
} cs_suspects_t;

void cs_suspects_init (cs_suspects_t *s);
void cs_suspects_finish (cs_suspects_t *s);
/* Records a failure of this incarnation. False, without effect, if it is a suspect already. */
bool cs_suspects_record_failure (cs_suspects_t *s, int64_t now_ms, const char *id,
				 uint64_t incarnation);
/* Records that the back end answered a request or sent part of an answer; ends its suspicion. */
void cs_suspects_record_answer (cs_suspects_t *s, int64_t now_ms, const char *id);
/* Records that a connection to the back end broke, or could not be made. */
void cs_suspects_record_break (cs_suspects_t *s, int64_t now_ms, const char *id);
/* Records that this daemon or another one has told the others that this incarnation does not
 * answer.
 */
void cs_suspects_record_told (cs_suspects_t *s, int64_t now_ms, const char *id,
			      uint64_t incarnation);
/* True if the others were told in the last CS_SUSPECT_TOLD_MS: they need no second note. */
bool cs_suspects_is_told (const cs_suspects_t *s, int64_t now_ms, const char *id,
			  uint64_t incarnation);
/* Return the time of the last answer, and of the last break; 0: none is known. */
int64_t cs_suspects_answered_ms (const cs_suspects_t *s, const char *id);
int64_t cs_suspects_broken_ms (const cs_suspects_t *s, const char *id);
/* True if this incarnation of the back end is a suspect. */
bool cs_suspects_has (const cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t incarnation);
/* Stores the ids of up to max suspects in out and returns their number. The ids stay owned by s. */
size_t cs_suspects_list (const cs_suspects_t *s, int64_t now_ms, const char **out, size_t max);
/* Removes the entries without a suspicion or an answer in the last CS_SUSPECT_FORGET_MS. */
void cs_suspects_remove_stale (cs_suspects_t *s, int64_t now_ms);

#endif
