/* Applies the VM list to the evidence: marks VMs that are leaving or report again without
 * being listed, and determines whether the list was read before a pause of this daemon. */
#include "evidence_internal.h"

bool
cs_evidence_tick (cs_evidence_t *e, int64_t now_ms)
{
	bool paused = e->tick_ms && now_ms - e->tick_ms > CS_EVIDENCE_PAUSE_MS;
	if (paused)
		e->paused_ms = now_ms;
	e->tick_ms = now_ms;
	return paused;
}

void
cs_evidence_set_list (cs_evidence_t *e, const cs_evidence_listed_t *vms, size_t n,
		      int64_t requested_ms)
{
	if (!n)
		return;
	e->listed_ms = requested_ms;
	for (cs_evidence_vm_t *entry = e->vms; entry; entry = entry->hh.next)
		entry->listed = false;
	for (size_t i = 0; i < n; i++) {
		cs_evidence_vm_t *entry = cs_evidence_get_or_add (e, vms[i].vm);
		entry->listed = true;
		entry->unlisted = false;
		entry->leaving = vms[i].leaving;
	}
}

void
cs_evidence_list_unchanged (cs_evidence_t *e, int64_t requested_ms)
{
	if (e->listed_ms)
		e->listed_ms = requested_ms;
}

bool
cs_evidence_list_stale (const cs_evidence_t *e, int64_t now_ms)
{
	return !(e->disabled & CS_EVIDENCE_PAUSE) && e->listed_ms < e->paused_ms &&
	       now_ms - e->paused_ms < CS_EVIDENCE_LIST_TIMEOUT_MS;
}

bool
cs_evidence_is_unlisted (const cs_evidence_t *e, const char *vm)
{
	const cs_evidence_vm_t *entry = cs_evidence_entry (e, vm);
	return entry && entry->unlisted && !(e->disabled & CS_EVIDENCE_LISTED);
}
