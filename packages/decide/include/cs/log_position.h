/* Position of a reader in a log that may be restored from an older copy of itself: the newest
 * records are lost then, and their offsets are given to other records. Each restoration raises the
 * log's era, so an offset means something only together with the era in which it was read. Answers
 * come from the log itself, or from a mirror, which may be behind. */
#ifndef CS_LOG_POSITION_H
#define CS_LOG_POSITION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	uint64_t era;  /* 0: the log does not say */
	uint64_t next; /* offset of the next record to read */
} cs_log_position_t;

typedef enum {
	CS_LOG_CURRENT,  /* the answer continues at the position */
	CS_LOG_OUTDATED, /* the answer is from before the position: a mirror that is behind */
	CS_LOG_RESTORED  /* the position has lost its meaning: the log has to be read anew */
} cs_log_relation_t;

/* Relation of an answer with this era and end offset to the position from which was read. */
cs_log_relation_t cs_log_position_compare (const cs_log_position_t *p, uint64_t era, uint64_t end,
					   bool from_mirror);

#endif
