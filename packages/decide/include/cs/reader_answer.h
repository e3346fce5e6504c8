/* What a daemon that keeps a topic's records answers to another one that follows the topic. Answers
 * the load of followers that are ahead of their reader, as they have read elsewhere meanwhile:
 * hundreds of them would list the topic in the store again and again until the reader catches up.
 */
#ifndef CS_READER_ANSWER_H
#define CS_READER_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	CS_ANSWER_LATER,
	CS_ANSWER_RECORDS, /* with the records from the offset on, which may be none */
	CS_ANSWER_DROPPED, /* the records from the offset on are no longer kept */
	CS_ANSWER_STALE    /* the reader does not know whether there are newer records */
} cs_reader_answer_t;

typedef struct {
	uint64_t from;       /* offset that the follower reads from */
	uint64_t first;      /* of the oldest record kept */
	uint64_t end;        /* of the record after the newest */
	bool is_fresh;       /* the records are known to be all */
	bool is_restarted;   /* the store went back since the read arrived */
	bool is_due;         /* the wait is over, or a configuration has come */
	bool waits_for_link; /* the record is large, and others are being sent */
} cs_reader_read_t;

cs_reader_answer_t cs_reader_answer (const cs_reader_read_t *r);

#endif
