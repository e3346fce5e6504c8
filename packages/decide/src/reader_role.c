#include "cs/reader_role.h"

void
cs_reader_role_told (cs_reader_role_t *r, int64_t now_ms, bool has_role)
{
	if (r->has_role && !has_role)
		r->until_ms = now_ms + CS_READER_LINGER_MS;
	r->has_role = has_role;
}

bool
cs_reader_role_reads (const cs_reader_role_t *r, int64_t now_ms)
{
	return r->has_role || now_ms < r->until_ms;
}

bool
cs_reader_role_is_leaving (const cs_reader_role_t *r, int64_t now_ms)
{
	return !r->has_role && now_ms < r->until_ms;
}
