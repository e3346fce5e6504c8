#include "cs/reader_answer.h"

cs_reader_answer_t
cs_reader_answer (const cs_reader_read_t *r)
{
	if (!r->is_fresh)
		return CS_ANSWER_STALE;
	if (r->is_restarted || r->from < r->first)
		return CS_ANSWER_DROPPED;
	if (r->waits_for_link && !r->is_due)
		return CS_ANSWER_LATER;
	return r->from < r->end || r->is_due ? CS_ANSWER_RECORDS : CS_ANSWER_LATER;
}
