/* Back ends that lately failed to answer: others are tried first. Health checks are not
 * asked: what requests got is newer and can't lie. A back end that stands still holds every
 * request sent to it until its time is over, so one failure is enough to keep away for
 * FIRST_MS; the time doubles while failures go on, and an answer ends it. */
#ifndef CS_SUSPECTS_H
#define CS_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

enum {
	CS_SUSPECT_FIRST_MS = 500, /* some attempts' length */
	CS_SUSPECT_MAX_MS = 8000,  /* a back end that crashed is back after some seconds */
	CS_SUSPECT_FORGET_MS = 30000
};

typedef struct {
	char *id;
	uint64_t life; /* another life of the back end begins clean */
	uint32_t strikes;
	int64_t until_ms;
	int64_t answered_ms; /* when it answered last; 0: not known */
	UT_hash_handle hh;
} cs_suspect_t;

typedef struct {
	cs_suspect_t *entries; /* uthash by id */
} cs_suspects_t;

void cs_suspects_init (cs_suspects_t *s);
void cs_suspects_finish (cs_suspects_t *s);
/* True if it was none already. */
bool cs_suspects_failed (cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t life);
/* It answered some request, or sent a part of an answer. */
void cs_suspects_answered (cs_suspects_t *s, int64_t now_ms, const char *id);
/* When it answered last; 0: not lately. */
int64_t cs_suspects_answered_ms (const cs_suspects_t *s, const char *id);
bool cs_suspects_has (const cs_suspects_t *s, int64_t now_ms, const char *id, uint64_t life);
/* Ids of all suspects into out; returns how many, max at most. */
size_t cs_suspects_list (const cs_suspects_t *s, int64_t now_ms, const char **out, size_t max);
/* Forgets those whose time is long over. */
void cs_suspects_tick (cs_suspects_t *s, int64_t now_ms);

#endif
