/* Where a daemon reads on from in a topic that it follows. Answers the load of large configurations
 * that come in quick succession while links are narrow: mirrors do not hold them, and reading each
 * one before the next takes longer than the time in which a change has to be in force. */
#ifndef CS_READ_SOURCE_H
#define CS_READ_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	CS_READ_MIRROR,  /* another daemon's copy, which may wait until there is a record */
	CS_READ_STORE,   /* the records from the position on */
	CS_READ_LISTING, /* the newest record of each key, past those that it supersedes */
} cs_read_source_t;

typedef struct {
	uint64_t next;       /* offset of the next record to read */
	uint64_t end;        /* highest end of the topic that an answer has told */
	bool is_superseding; /* a value makes the earlier ones of its key useless, and few keys
				exist */
	bool has_mirror;
	bool mirror_lacks; /* the mirror has told of a record that it does not hold */
} cs_read_state_t;

cs_read_source_t cs_read_source (const cs_read_state_t *s);
/* How long the store may hold a read. until_readers_ms: time until a daemon that has just started
 * looks for others to read from; one read waits for that in place of several. */
uint32_t cs_read_store_wait (uint32_t wait_ms, uint32_t until_readers_ms);
/* True if there are records that have not been read. */
bool cs_read_is_behind (const cs_read_state_t *s);
/* Time up to which the answer to a read tells all records, on the clock of asked_ms. The answer may
 * have lain here while this process was paused: one that comes later than the store's answers do,
 * late_ms beyond the read's wait, is as old as it can be. wait_ms: the store held the read for so
 * long if it has no records. */
int64_t cs_read_complete_until (int64_t asked_ms, uint32_t wait_ms, uint32_t late_ms,
				bool has_records, int64_t now_ms);

#endif
