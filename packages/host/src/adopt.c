/* What a running daemon takes over from newer settings. */
#include <string.h>

#include "cs/host.h"

static void
adopt_ms (const char *name, uint32_t *now, uint32_t next, cs_buf_t *changes)
{
	if (*now == next)
		return;
	cs_buf_printf (changes, "%s=%u->%u ", name, *now, next);
	*now = next;
}

static void
compare (const char *name, const char *now, const char *next, cs_buf_t *changes)
{
	if (strcmp (now, next) != 0)
		cs_buf_printf (changes, "%s=restart ", name);
}

bool
cs_host_adopt (cs_host_t *now, const cs_host_t *next, cs_buf_t *changes)
{
	size_t before = changes->n;
	adopt_ms ("heartbeat_ms", &now->heartbeat_ms, next->heartbeat_ms, changes);
	adopt_ms ("grace_ms", &now->grace_ms, next->grace_ms, changes);
	adopt_ms ("lease_min_ms", &now->lease_min_ms, next->lease_min_ms, changes);
	if (now->retry_ratio != next->retry_ratio) {
		cs_buf_printf (changes, "retry_ratio=%g->%g ", now->retry_ratio, next->retry_ratio);
		now->retry_ratio = next->retry_ratio;
	}
	compare ("name", now->name, next->name, changes);
	compare ("zone", now->zone, next->zone, changes);
	compare ("listen_callers", now->listen_callers, next->listen_callers, changes);
	compare ("listen_ready", now->listen_ready, next->listen_ready, changes);
	compare ("listen_metrics", now->listen_metrics, next->listen_metrics, changes);
	compare ("listen_internal", now->listen_internal, next->listen_internal, changes);
	compare ("store_address", now->store_address, next->store_address, changes);
	if (now->max_connections != next->max_connections)
		cs_buf_addz (changes, "max_connections=restart ");
	return changes->n > before;
}
