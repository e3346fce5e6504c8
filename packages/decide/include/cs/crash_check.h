/* After the connection of an attempt broke, decides from the poll answers of the group's members
 * whether a member crashed or only the connection failed. All members are polled at once and answer
 * within a few ms. A periodic poll may have been sent before the connection broke and be answered
 * afterwards: such an answer does not show that the member is still alive. A process that is ending
 * may take the connection of a poll and reset it: only the next poll finds that nobody listens. */
#ifndef CS_CRASH_CHECK_H
#define CS_CRASH_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_CRASH_CHECK_MAX_MEMBERS = 64, /* members of one group; the largest group has 16 VMs */
	CS_CRASH_CHECK_MAX_REPOLLS = 8   /* without an answer, of all members of one check */
};

typedef struct cs_crash_check {
	int64_t broken_ms;   /* when the connection broke */
	uint64_t unanswered; /* bit mask of the members that have not answered */
	uint32_t repolls;    /* that followed polls without an answer */
	bool dead;           /* some member ended or left the group; sticky */
} cs_crash_check_t;

typedef enum cs_crash_check_state {
	CS_CRASH_CHECK_PENDING, /* answers of other members are outstanding */
	/* The poll is older than the failure, or got no answer: poll the member again. */
	CS_CRASH_CHECK_REPOLL,
	/* All members are alive and in the group: only the connection failed. */
	CS_CRASH_CHECK_ALL_ALIVE,
	CS_CRASH_CHECK_DEAD /* a member ended or left the group */
} cs_crash_check_state_t;

/* Begins a check of members 0 to n_members - 1. With n_members 0 (members unknown) only an answer
 * with `dead` set ends the check. */
void cs_crash_check_begin (cs_crash_check_t *c, int64_t now_ms, size_t n_members);

/* Records the answer of the member with that index to a poll sent at poll_sent_ms. dead: the member
 * ended or left the group. */
cs_crash_check_state_t cs_crash_check_answer (cs_crash_check_t *c, size_t member,
					      int64_t poll_sent_ms, bool dead);
/* Records that a poll of the member ended without an answer, and without being refused. */
cs_crash_check_state_t cs_crash_check_no_answer (cs_crash_check_t *c, size_t member);

#endif
