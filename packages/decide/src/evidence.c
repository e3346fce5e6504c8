/* Evidence store: keeps the newest report of each VM and judges whether a group may serve. */
#include "evidence_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"

void
cs_evidence_init (cs_evidence_t *e, uint64_t incarnation)
{
	memset (e, 0, sizeof *e);
	e->self = incarnation;
	e->bound_ms = CS_EVIDENCE_MAX_AGE_MS;
}

void
cs_evidence_clear_report (cs_vm_report_t *at)
{
	free ((char *)at->group);
	free ((char *)at->model);
	memset (at, 0, sizeof *at);
	at->at_ms = -1;
}

static void
remove_vm (cs_evidence_t *e, cs_evidence_vm_t *entry)
{
	cs_evidence_remove_from_table (e, entry);
	HASH_DEL (e->vms, entry);
	cs_evidence_clear_report (&entry->newest);
	cs_evidence_clear_report (&entry->own);
	free (entry->vm);
	free (entry);
}

void
cs_evidence_finish (cs_evidence_t *e)
{
	cs_evidence_vm_t *entry, *next;
	HASH_ITER (hh, e->vms, entry, next) {
		remove_vm (e, entry);
	}
	cs_evidence_clear_sources (e);
	free (e->table);
	memset (e, 0, sizeof *e);
}

void
cs_evidence_restart (cs_evidence_t *e, uint64_t incarnation)
{
	cs_evidence_t old = *e;
	cs_evidence_finish (e);
	cs_evidence_init (e, incarnation);
	e->tick_ms = old.tick_ms;
	e->paused_ms = old.paused_ms;
	e->disabled = old.disabled;
}

cs_evidence_vm_t *
cs_evidence_entry (const cs_evidence_t *e, const char *vm)
{
	cs_evidence_vm_t *entry;
	HASH_FIND (hh, e->vms, vm, strlen (vm), entry);
	return entry;
}

cs_evidence_vm_t *
cs_evidence_get_or_add (cs_evidence_t *e, const char *vm) /* NOLINT: uthash's statements */
{
	cs_evidence_vm_t *entry = cs_evidence_entry (e, vm);
	if (entry)
		return entry;
	entry = cs_alloc (sizeof *entry);
	entry->vm = cs_str_dup (cs_str (vm));
	entry->newest.at_ms = -1;
	entry->own.at_ms = -1;
	entry->refused_ms = -1;
	entry->refusing_ms = -1;
	entry->own_refused_ms = -1;
	HASH_ADD_KEYPTR (hh, e->vms, entry->vm, strlen (entry->vm), entry);
	return entry;
}

static bool
replace_string (const char **at, const char *z)
{
	if (*at && !strcmp (*at, z))
		return false;
	free ((char *)*at);
	*at = cs_str_dup (cs_str (z));
	return true;
}

bool
cs_evidence_copy_report (cs_vm_report_t *at, const cs_vm_report_t *report)
{
	bool changed = at->state != report->state || at->fence != report->fence;
	changed |= replace_string (&at->group, report->group);
	changed |= replace_string (&at->model, report->model);
	at->state = report->state;
	at->fence = report->fence;
	at->running = report->running;
	at->queued = report->queued;
	at->at_ms = report->at_ms;
	return changed;
}

void
cs_evidence_report (cs_evidence_t *e, const cs_vm_report_t *report)
{
	if (report->state == CS_MEMBER_UNREACHABLE)
		return;
	cs_evidence_vm_t *entry = cs_evidence_get_or_add (e, report->vm);
	if (report->at_ms <= entry->own.at_ms || report->at_ms <= entry->own_refused_ms)
		return;
	entry->load_changed |=
		entry->own.running != report->running || entry->own.queued != report->queued;
	entry->own_changed |= cs_evidence_copy_report (&entry->own, report);
	entry->own_new = true;
	entry->own.vm = entry->vm;
	cs_evidence_update_newest (e, entry, report);
}

void
cs_evidence_record_refusal (cs_evidence_vm_t *entry, int64_t at_ms)
{
	if (at_ms <= entry->newest.at_ms || at_ms <= entry->refused_ms)
		return;
	if (entry->refusing_ms <= entry->newest.at_ms)
		entry->refusing_ms = at_ms;
	entry->refused_ms = at_ms;
}

void
cs_evidence_report_refusal (cs_evidence_t *e, const char *vm, int64_t at_ms)
{
	cs_evidence_vm_t *entry = cs_evidence_get_or_add (e, vm);
	if (at_ms <= entry->own.at_ms)
		return;
	entry->own_refused_ms = at_ms;
	entry->own_new = true;
	cs_evidence_record_refusal (entry, at_ms);
}

static bool
has_ended (const cs_evidence_t *e, const cs_evidence_vm_t *entry, int64_t now_ms)
{
	if (!entry || entry->refused_ms <= entry->newest.at_ms ||
	    entry->refusing_ms <= entry->newest.at_ms)
		return false;
	return entry->refused_ms - entry->refusing_ms >= CS_EVIDENCE_REFUSED_SPAN_MS &&
	       now_ms - entry->refused_ms <= e->bound_ms;
}

bool
cs_evidence_has_ended (const cs_evidence_t *e, const char *vm, int64_t now_ms)
{
	return has_ended (e, cs_evidence_entry (e, vm), now_ms);
}

void
cs_evidence_update_newest (const cs_evidence_t *e, cs_evidence_vm_t *entry,
			   const cs_vm_report_t *report)
{
	int64_t gap = report->at_ms - entry->newest.at_ms;
	if (gap <= 0)
		return;
	entry->unlisted |= e->listed_ms && !entry->listed && gap > e->bound_ms;
	cs_evidence_copy_report (&entry->newest, report);
	entry->newest.vm = entry->vm;
}

void
cs_evidence_remove_vm (cs_evidence_t *e, const char *vm)
{
	cs_evidence_vm_t *entry = cs_evidence_entry (e, vm);
	if (entry)
		remove_vm (e, entry);
}

static const cs_vm_report_t *
newest_of (const cs_evidence_vm_t *entry)
{
	return entry && entry->newest.at_ms >= 0 ? &entry->newest : NULL;
}

const cs_vm_report_t *
cs_evidence_find (const cs_evidence_t *e, const char *vm)
{
	return newest_of (cs_evidence_entry (e, vm));
}

static bool
is_fresh (const cs_evidence_t *e, const cs_vm_report_t *r, int64_t now_ms)
{
	if (!r)
		return false;
	return e->disabled & CS_EVIDENCE_AGE || now_ms - r->at_ms <= e->bound_ms;
}

bool
cs_evidence_is_fresh (const cs_evidence_t *e, const char *vm, int64_t now_ms)
{
	return is_fresh (e, cs_evidence_find (e, vm), now_ms);
}

static cs_group_reason_t
judge_member (const cs_evidence_t *e, const cs_group_t *group, const cs_vm_t *vm,
	      const cs_evidence_vm_t *entry, int64_t now_ms)
{
	const cs_vm_report_t *r = newest_of (entry);
	if (vm->gone)
		return CS_GROUP_MEMBER_GONE;
	if (!(e->disabled & CS_EVIDENCE_LEAVING) && (vm->leaving || (entry && entry->leaving)))
		return CS_GROUP_LEAVING;
	if (has_ended (e, entry, now_ms))
		return CS_GROUP_ENDED;
	if (!is_fresh (e, r, now_ms))
		return CS_GROUP_SILENT;
	if (r->state == CS_MEMBER_IDLE)
		return CS_GROUP_NOT_READY;
	if (!(e->disabled & CS_EVIDENCE_FENCE) &&
	    (r->fence != group->fence || strcmp (r->group, group->group) != 0))
		return CS_GROUP_OTHER_FENCE;
	if (strcmp (r->model, group->model) != 0)
		return CS_GROUP_OTHER_MODEL;
	if (r->state != CS_MEMBER_READY)
		return CS_GROUP_NOT_READY;
	return !(e->disabled & CS_EVIDENCE_LISTED) && entry->unlisted ? CS_GROUP_UNLISTED
								      : CS_GROUP_COMPLETE;
}

cs_group_verdict_t
cs_evidence_judge (const cs_evidence_t *e, const cs_group_t *group, int64_t now_ms)
{
	cs_group_verdict_t v = {.reason = CS_GROUP_UNKNOWN, .vm = "", .age_ms = -1};
	if (!group)
		return v;
	v.fence = group->fence;
	for (size_t i = 0; i < group->n_members; i++) {
		const cs_vm_t *vm = group->members[i];
		const cs_evidence_vm_t *entry = cs_evidence_entry (e, vm->vm);
		const cs_vm_report_t *r = newest_of (entry);
		int64_t age = r ? now_ms - r->at_ms : -1;
		v.reason = judge_member (e, group, vm, entry, now_ms);
		if (v.reason != CS_GROUP_COMPLETE) {
			v.vm = vm->vm;
			v.age_ms = age;
			return v;
		}
		v.age_ms = age > v.age_ms ? age : v.age_ms;
	}
	v.whole = !cs_evidence_list_stale (e, now_ms);
	v.reason = v.whole ? CS_GROUP_COMPLETE : CS_GROUP_OLD_LIST;
	return v;
}

cs_group_verdict_t
cs_evidence_judge_by_name (const cs_evidence_t *e, const cs_groups_t *g, const char *group,
			   int64_t now_ms)
{
	return cs_evidence_judge (e, cs_groups_find (g, group), now_ms);
}

/* Whether missing reports may be due to a pause of this daemon, which ended within the
 * bound. */
static bool
was_paused (const cs_evidence_t *e, int64_t now_ms)
{
	return e->paused_ms && now_ms - e->paused_ms <= e->bound_ms;
}

bool
cs_evidence_vm_lost (const cs_evidence_t *e, const char *vm, int64_t now_ms)
{
	if (cs_evidence_has_ended (e, vm, now_ms))
		return true;
	return !cs_evidence_is_fresh (e, vm, now_ms) && !was_paused (e, now_ms);
}

bool
cs_evidence_group_lost (const cs_evidence_t *e, const cs_group_verdict_t *verdict, int64_t now_ms)
{
	switch (verdict->reason) {
	case CS_GROUP_MEMBER_GONE:
	case CS_GROUP_ENDED:
	case CS_GROUP_OTHER_FENCE:
	case CS_GROUP_OTHER_MODEL:
	case CS_GROUP_NOT_READY:
		return true;
	case CS_GROUP_SILENT:
		return !was_paused (e, now_ms);
	default:
		return false;
	}
}

bool
cs_evidence_is_gatherer (const char *vm, uint64_t self, const uint64_t *members, size_t n)
{
	uint64_t key = cs_hash (cs_str (vm));
	uint64_t mine = cs_rendezvous (self, key);
	size_t above = 0;
	for (size_t i = 0; i < n; i++) {
		uint64_t score = cs_rendezvous (members[i], key);
		above += score > mine || (score == mine && members[i] > self);
	}
	return above < CS_EVIDENCE_GATHERERS;
}

bool
cs_evidence_poll_due (const char *vm, uint64_t round, size_t n_polled)
{
	return n_polled <= CS_EVIDENCE_MAX_POLLS_PER_ROUND ||
	       (cs_hash (cs_str (vm)) + round) % 2 == 0;
}
