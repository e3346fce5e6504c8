/* Hints about which target has which prompt prefix in its cache. A wrong hint costs one
 * computation of the prefix, after which the target does hold it; so hints need not be
 * verified, only bounded in age. Clearing all hints at each lost event would cost more than
 * the wrong ones do, so they are cleared HINT_RETENTION_MS after the loss. */
#include <string.h>

#include "cs/hash.h"
#include "router_impl.h"

enum {
	POLLS_PER_ROUND = 4,       /* engines polled for events in a round, on average */
	MAX_ENGINES = 12,          /* with more engines, events would arrive some 10 s late */
	HINT_RETENTION_MS = 300000 /* time from a lost event until the hints are cleared */
};

bool
cs_target_is_hinted (const cs_target_t *t, uint64_t prefix)
{
	return prefix && t->hints[prefix % CS_ROUTER_HINT_SLOTS] == prefix;
}

static void
set_hint (cs_target_t *t, uint64_t prefix, bool held)
{
	uint64_t *slot = &t->hints[prefix % CS_ROUTER_HINT_SLOTS];
	if (held)
		*slot = prefix;
	else if (*slot == prefix)
		*slot = 0;
}

void
cs_target_reset_cache (cs_target_t *t)
{
	memset (t->hints, 0, sizeof t->hints);
	t->cache_epoch = 0;
	t->cache_after = 0;
	t->event_lost_ms = 0;
}

/* Records a gap in the events: the lost event may have invalidated any hint. */
static void
record_event_loss (cs_target_t *t, int64_t now_ms)
{
	if (!t->event_lost_ms)
		t->event_lost_ms = now_ms;
}

/* Clears the hints if an event was lost HINT_RETENTION_MS ago or earlier. */
static void
expire_hints (cs_target_t *t, int64_t now_ms)
{
	if (!t->event_lost_ms || now_ms - t->event_lost_ms < HINT_RETENTION_MS)
		return;
	memset (t->hints, 0, sizeof t->hints);
	t->event_lost_ms = 0;
}

void
cs_router_set_hint (cs_router_t *r, const char *name, uint64_t prefix, bool held)
{
	cs_target_t *t = cs_target_find (r, name);
	if (t && prefix)
		set_hint (t, prefix, held);
}

void
cs_router_apply_cache_events (cs_router_t *r, int64_t now_ms, const char *name, uint64_t epoch,
			      const cs_cache_event_t *events, size_t n)
{
	cs_target_t *t = cs_target_find (r, name);
	bool ignores_epoch = r->options.disabled & CS_ROUTER_NO_CACHE_EPOCH;
	bool ignores_gap = r->options.disabled & CS_ROUTER_NO_CACHE_GAP;
	if (!t)
		return;
	if (epoch && t->cache_epoch && t->cache_epoch != epoch && !ignores_epoch)
		cs_target_reset_cache (t);
	if (epoch)
		t->cache_epoch = epoch;
	expire_hints (t, now_ms);
	for (size_t i = 0; i < n; i++) {
		const cs_cache_event_t *e = &events[i];
		if (e->number <= t->cache_after)
			continue;
		if (e->number > t->cache_after + 1 && !ignores_gap)
			record_event_loss (t, now_ms);
		t->cache_after = e->number;
		if (e->prefix)
			set_hint (t, e->prefix, e->is_stored);
	}
}

void
cs_router_cache_position (const cs_router_t *r, const char *name, uint64_t *epoch, uint64_t *after)
{
	const cs_target_t *t = cs_target_find (r, name);
	*epoch = t ? t->cache_epoch : 0;
	*after = t ? t->cache_after : 0;
}

bool
cs_router_is_cache_poll_due (const char *name, uint64_t round, size_t n)
{
	if (n > MAX_ENGINES)
		return false;
	return n <= POLLS_PER_ROUND ||
	       cs_rendezvous (cs_hash (cs_str (name)), round) % n < POLLS_PER_ROUND;
}
