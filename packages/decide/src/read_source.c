#include "cs/read_source.h"

enum {
	LISTING_MIN_RECORDS = 2 /* a listing is as long as one record, and a third more in base64 */
};

bool
cs_read_is_behind (const cs_read_state_t *s)
{
	return s->next < s->end;
}

cs_read_source_t
cs_read_source (const cs_read_state_t *s)
{
	uint64_t missing = cs_read_is_behind (s) ? s->end - s->next : 0;
	if (s->is_superseding && missing >= LISTING_MIN_RECORDS)
		return CS_READ_LISTING;
	if (missing && (s->is_superseding || s->mirror_lacks))
		return CS_READ_STORE;
	return s->has_mirror ? CS_READ_MIRROR : CS_READ_STORE;
}

uint32_t
cs_read_store_wait (uint32_t wait_ms, uint32_t until_readers_ms)
{
	return until_readers_ms > wait_ms ? until_readers_ms : wait_ms;
}

int64_t
cs_read_complete_until (int64_t asked_ms, uint32_t wait_ms, uint32_t late_ms, bool has_records,
			int64_t now_ms)
{
	if (now_ms - asked_ms <= (int64_t)wait_ms + late_ms)
		return now_ms;
	return asked_ms + (has_records ? 0 : (int64_t)wait_ms);
}
