#include "cs/log_position.h"

cs_log_relation_t
cs_log_position_compare (const cs_log_position_t *p, uint64_t era, uint64_t end, bool from_mirror)
{
	if (era > p->era)
		return CS_LOG_RESTORED;
	if (era < p->era)
		return CS_LOG_OUTDATED;
	if (end < p->next)
		return from_mirror ? CS_LOG_OUTDATED : CS_LOG_RESTORED;
	return CS_LOG_CURRENT;
}
