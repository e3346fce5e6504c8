/* The question where a request would go, and its answer: GET /explain of the address for metrics.
 */
#ifndef CS_FORWARD_EXPLAIN_H
#define CS_FORWARD_EXPLAIN_H

#include "forward.h"

enum {
	CS_EXPLAIN_MAX_TRIED = 8
};

/* Texts are "" where the question says nothing, and are owned by the connection. */
typedef struct {
	const char *host, *path; /* of a route */
	const char *service;     /* in place of a route */
	const char *model;
	const char *team;
	const char *tried[CS_EXPLAIN_MAX_TRIED]; /* zones */
	size_t n_tried;
	uint32_t prompt_tokens, answer_tokens; /* 0: unknown */
	/* What is malformed first, and what it may be; NULL: nothing is. */
	const char *thing, *bound, *value;
} cs_question_t;

void cs_question_read (cs_question_t *q, struct MHD_Connection *connection);
/* Records that the question asks for what the configuration does not have. */
void cs_question_reject (cs_question_t *q, const char *thing, const char *bound, const char *value);

#endif
