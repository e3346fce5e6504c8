/* Adaptive timeout for the start of an answer, after which another back end is tried. Response
 * times are recorded by key, such as the name of the service.
 *
 * A failed group holds every request sent to it. A long fixed timeout makes those answers late, and
 * a short one doubles the work when all back ends are slow. The timeout therefore follows recent
 * response times: mean plus four mean deviations, as in TCP's retransmission timer (RFC 6298).
 * When many waits time out, the service is slow rather than a few back ends failed, and the
 * largest allowed timeout applies. */
#ifndef CS_ANSWER_TIMEOUT_H
#define CS_ANSWER_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

typedef struct {
	char *key;
	double mean_ms;
	double deviation_ms;
	uint32_t answers;   /* response times sampled */
	double waits;       /* waits, answered or timed out; decays exponentially */
	double timeouts;    /* waits that timed out; decays likewise */
	int64_t decayed_ms; /* when waits and timeouts were last decayed */
	UT_hash_handle hh;
} cs_answer_timeout_entry_t;

typedef struct {
	cs_answer_timeout_entry_t *entries; /* uthash by key */
} cs_answer_timeout_t;

void cs_answer_timeout_init (cs_answer_timeout_t *t);
void cs_answer_timeout_finish (cs_answer_timeout_t *t);
/* Records a request whose answer started after response_ms. */
void cs_answer_timeout_record_answer (cs_answer_timeout_t *t, int64_t now_ms, const char *key,
				      int64_t response_ms);
/* Records a request whose answer did not start within the timeout. */
void cs_answer_timeout_record_timeout (cs_answer_timeout_t *t, int64_t now_ms, const char *key);
/* Returns the timeout in ms, in [min_ms, max_ms]; max_ms while there are too few samples. */
int64_t cs_answer_timeout_ms (const cs_answer_timeout_t *t, const char *key, int64_t min_ms,
			      int64_t max_ms);
/* Returns for how many ms more to wait at now_ms for an answer that was due at due_ms and
 * is_arriving: 0 if this process has been running in between. If it was paused, the rest may have
 * arrived as well and takes several turns of the event loop to read. */
int64_t cs_answer_timeout_extension_ms (int64_t due_ms, int64_t now_ms, bool is_arriving);

#endif
