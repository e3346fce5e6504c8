/* Reports of a group's members that are awaited behind a broken attempt, to tell a crash
 * from a broken connection. Load: each member is polled at once and answers within some ms;
 * polls of the regular round, asked before the attempt broke, may be answered after it. */
#ifndef CS_AWAITED_H
#define CS_AWAITED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_AWAITED_MAX = 64 /* members of one group; the largest has 16 VMs */
};

typedef struct cs_awaited {
	int64_t since_ms; /* when the attempt broke */
	uint64_t missing; /* a bit for each member that has not answered */
	bool dead;        /* a member has ended or left the group */
} cs_awaited_t;

typedef enum cs_awaited_state {
	CS_AWAITED_MORE, /* others have not answered */
	CS_AWAITED_ASK,  /* this answer says nothing: ask the member again */
	CS_AWAITED_ALL,  /* all live and hold the group: only the connection broke */
	CS_AWAITED_DEAD
} cs_awaited_state_t;

/* With no members known nothing ends the wait but a dead one. */
void cs_awaited_begin (cs_awaited_t *a, int64_t now_ms, size_t n_members);

/* Member number `member` answered a poll that was sent at `asked_ms`. */
cs_awaited_state_t cs_awaited_answer (cs_awaited_t *a, size_t member, int64_t asked_ms, bool dead);

#endif
