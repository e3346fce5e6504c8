/* Applies changed settings to a running daemon. */
#include <string.h>

#include "cs/host.h"

static void
update_ms (const char *name, uint32_t *current, uint32_t next, cs_buf_t *changes)
{
	if (*current == next)
		return;
	cs_buf_printf (changes, "%s=%u->%u ", name, *current, next);
	*current = next;
}

static void
update_number (const char *name, double *current, double next, cs_buf_t *changes)
{
	if (*current == next)
		return;
	cs_buf_printf (changes, "%s=%g->%g ", name, *current, next);
	*current = next;
}

static void
report_restart (const char *name, const char *current, const char *next, cs_buf_t *changes)
{
	if (strcmp (current, next) != 0)
		cs_buf_printf (changes, "%s=restart ", name);
}

bool
cs_host_apply_settings (cs_host_t *current, const cs_host_t *next, cs_buf_t *changes)
{
	size_t before = changes->n;
	update_ms ("heartbeat_ms", &current->heartbeat_ms, next->heartbeat_ms, changes);
	update_ms ("grace_ms", &current->grace_ms, next->grace_ms, changes);
	update_ms ("lease_min_ms", &current->lease_min_ms, next->lease_min_ms, changes);
	update_number ("retry_ratio", &current->retry_ratio, next->retry_ratio, changes);
	update_number ("retry_slack", &current->retry_slack, next->retry_slack, changes);
	update_ms ("retry_window_ms", &current->retry_window_ms, next->retry_window_ms, changes);
	update_ms ("evacuation_ms", &current->evacuation_ms, next->evacuation_ms, changes);
	update_number ("cold_overshoot", &current->cold_overshoot, next->cold_overshoot, changes);
	update_number ("cold_slack", &current->cold_slack, next->cold_slack, changes);
	report_restart ("name", current->name, next->name, changes);
	report_restart ("zone", current->zone, next->zone, changes);
	report_restart ("listen_callers", current->listen_callers, next->listen_callers, changes);
	report_restart ("listen_ready", current->listen_ready, next->listen_ready, changes);
	report_restart ("listen_metrics", current->listen_metrics, next->listen_metrics, changes);
	report_restart ("listen_internal", current->listen_internal, next->listen_internal,
			changes);
	report_restart ("store_address", current->store_address, next->store_address, changes);
	if (current->stall_ms != next->stall_ms)
		cs_buf_addz (changes, "stall_ms=restart ");
	if (current->load_window_ms != next->load_window_ms)
		cs_buf_addz (changes, "load_window_ms=restart ");
	if (current->load_overshoot > next->load_overshoot ||
	    current->load_overshoot < next->load_overshoot)
		cs_buf_addz (changes, "load_overshoot=restart ");
	if (current->record_bytes != next->record_bytes)
		cs_buf_addz (changes, "record_bytes=restart ");
	if (current->memory_bytes != next->memory_bytes)
		cs_buf_addz (changes, "memory_bytes=restart ");
	if (current->max_connections != next->max_connections)
		cs_buf_addz (changes, "max_connections=restart ");
	return changes->n > before;
}

const char *
cs_host_region_of (const cs_host_t *host, const char *zone)
{
	for (size_t i = 0; i < host->n_zones; i++)
		if (!strcmp (host->zones[i].name, zone))
			return host->zones[i].region;
	return "";
}
