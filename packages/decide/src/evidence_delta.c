/* Evidence deltas carried by heartbeats: exports the reports of this daemon's polls and
 * imports those of its peers. */
#include "evidence_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cs/groups.pb-c.h"

enum {
	/* Age bytes below AGE_REFUSED give the age of an answered poll, up to 3,056 ms; those from
	 * AGE_REFUSED on give the age of a refused poll, up to 2,976 ms, in coarser units since
	 * only 63 are left. Older polls are not passed on: CS_EVIDENCE_MAX_AGE_MS is 3,000. */
	AGE_UNIT_MS = 16,
	AGE_REFUSED = 192,
	REFUSED_UNIT_MS = 48,
	AGE_NONE = 255,           /* age byte: no new report or refusal */
	TABLE_EXPIRY_MS = 10000,  /* a VM with no answered or refused poll leaves the table */
	WHOLE_INTERVAL_MS = 1000, /* minimum interval between two whole tables */
	MAX_TABLE_ENTRIES = 65536 /* entries accepted in a peer's table */
};

/* One VM in a peer's table. */
typedef struct {
	char *vm; /* NULL: unused */
	cs_vm_report_t report;
} peer_slot_t;

struct cs_evidence_source {
	uint64_t from;
	uint64_t sequence; /* of the last delta applied */
	bool needs_table;  /* a delta was missed: ignore deltas until a whole table comes */
	peer_slot_t *slots;
	size_t n;
	size_t cap;
	UT_hash_handle hh;
};

void
cs_evidence_remove_from_table (cs_evidence_t *e, cs_evidence_vm_t *entry)
{
	if (!entry->in_table)
		return;
	e->table[entry->index] = NULL;
	entry->in_table = false;
}

static void
add_to_table (cs_evidence_t *e, cs_evidence_vm_t *entry)
{
	size_t i = 0;
	while (i < e->n_table && e->table[i])
		i++;
	if (i == e->n_table) {
		e->table = cs_grow (e->table, &e->cap_table, i + 1, sizeof (void *));
		e->n_table++;
	}
	e->table[i] = entry;
	entry->index = (uint32_t)i;
	entry->in_table = true;
	/* Peers may hold another VM in the slot, or an old load of this one. */
	entry->own_changed = true;
	entry->load_changed = true;
}

/* Adds VMs with a new report or refusal and removes those that are no longer polled. */
static void
update_table (cs_evidence_t *e, int64_t now_ms)
{
	for (size_t i = 0; i < e->n_table; i++) {
		cs_evidence_vm_t *entry = e->table[i];
		if (entry && now_ms - entry->own.at_ms > TABLE_EXPIRY_MS &&
		    now_ms - entry->own_refused_ms > TABLE_EXPIRY_MS)
			cs_evidence_remove_from_table (e, entry);
	}
	for (cs_evidence_vm_t *entry = e->vms; entry; entry = entry->hh.next)
		if (entry->own_new && !entry->in_table)
			add_to_table (e, entry);
}

/* A delta being built, with the storage of its entries. */
typedef struct {
	Cs__EvidenceDelta delta;
	Cs__EvidenceEntry *entries;
	Cs__EvidenceLoad *loads;
} delta_draft_t;

static void
add_entry (delta_draft_t *d, const cs_evidence_vm_t *entry)
{
	Cs__EvidenceEntry *out = &d->entries[d->delta.n_entries];
	cs__evidence_entry__init (out);
	out->index = entry->index;
	out->vm = entry->vm;
	out->state = entry->own.state;
	out->group = (char *)entry->own.group;
	out->fence = entry->own.fence;
	out->model = (char *)entry->own.model;
	d->delta.entries[d->delta.n_entries++] = out;
}

static void
add_load (delta_draft_t *d, const cs_evidence_vm_t *entry)
{
	Cs__EvidenceLoad *out = &d->loads[d->delta.n_loads];
	cs__evidence_load__init (out);
	out->index = entry->index;
	out->running = entry->own.running;
	out->queued = entry->own.queued;
	d->delta.loads[d->delta.n_loads++] = out;
}

/* Age of the last poll if it is new since the last delta, rounded up; AGE_NONE if it is not
 * or is too old to encode. */
static uint8_t
age_byte (const cs_evidence_vm_t *entry, int64_t now_ms)
{
	bool refused = entry->own_refused_ms > entry->own.at_ms;
	int64_t past = now_ms - (refused ? entry->own_refused_ms : entry->own.at_ms);
	int64_t unit = refused ? REFUSED_UNIT_MS : AGE_UNIT_MS;
	int64_t units = past < 0 ? 0 : (past + unit - 1) / unit;
	if (!entry->own_new || units >= (refused ? AGE_NONE - AGE_REFUSED : AGE_REFUSED))
		return AGE_NONE;
	return (uint8_t)(refused ? AGE_REFUSED + units : units);
}

static void
fill_table (cs_evidence_t *e, delta_draft_t *d, int64_t now_ms)
{
	for (size_t i = 0; i < e->n_table; i++) {
		cs_evidence_vm_t *entry = e->table[i];
		d->delta.ages.data[i] = AGE_NONE;
		if (!entry)
			continue;
		d->delta.ages.data[i] = age_byte (entry, now_ms);
		if (entry->own_changed || d->delta.whole)
			add_entry (d, entry);
		if (entry->load_changed || d->delta.whole)
			add_load (d, entry);
		entry->own_new = false;
		entry->own_changed = false;
		entry->load_changed = false;
	}
}

static void
fill_wanted (const cs_evidence_t *e, delta_draft_t *d)
{
	for (const cs_evidence_source_t *s = e->sources; s; s = s->hh.next)
		if (s->needs_table)
			d->delta.wanted[d->delta.n_wanted++] = s->from;
}

void
cs_evidence_export (cs_evidence_t *e, int64_t now_ms, cs_buf_t *out)
{
	delta_draft_t d = {.delta = CS__EVIDENCE_DELTA__INIT};
	update_table (e, now_ms);
	d.delta.sequence = ++e->sequence;
	d.delta.whole = e->whole_wanted && now_ms - e->whole_sent_ms >= WHOLE_INTERVAL_MS;
	if (d.delta.whole) {
		e->whole_wanted = false;
		e->whole_sent_ms = now_ms;
	}
	d.entries = cs_alloc (e->n_table * sizeof *d.entries);
	d.loads = cs_alloc (e->n_table * sizeof *d.loads);
	d.delta.entries = cs_alloc (e->n_table * sizeof (void *));
	d.delta.loads = cs_alloc (e->n_table * sizeof (void *));
	d.delta.ages.data = cs_alloc (e->n_table);
	d.delta.ages.len = e->n_table;
	d.delta.wanted = cs_alloc (HASH_COUNT (e->sources) * sizeof (uint64_t));
	fill_table (e, &d, now_ms);
	fill_wanted (e, &d);

	cs_buf_reserve (out, cs__evidence_delta__get_packed_size (&d.delta));
	out->n += cs__evidence_delta__pack (&d.delta, (uint8_t *)out->p + out->n);
	out->p[out->n] = 0;
	free (d.delta.wanted);
	free (d.delta.ages.data);
	free (d.delta.loads);
	free (d.delta.entries);
	free (d.loads);
	free (d.entries);
}

static void
clear_slot (peer_slot_t *slot)
{
	free (slot->vm);
	slot->vm = NULL;
	cs_evidence_clear_report (&slot->report);
}

static void
clear_slots (cs_evidence_source_t *s)
{
	for (size_t i = 0; i < s->n; i++)
		clear_slot (&s->slots[i]);
	s->n = 0;
}

static cs_evidence_source_t *
get_or_add_source (cs_evidence_t *e, uint64_t from) /* NOLINT: uthash's statements */
{
	cs_evidence_source_t *s;
	HASH_FIND (hh, e->sources, &from, sizeof from, s);
	if (s)
		return s;
	s = cs_alloc (sizeof *s);
	s->from = from;
	HASH_ADD (hh, e->sources, from, sizeof s->from, s);
	return s;
}

static void
drop_source (cs_evidence_t *e, cs_evidence_source_t *s)
{
	HASH_DEL (e->sources, s);
	clear_slots (s);
	free (s->slots);
	free (s);
}

void
cs_evidence_remove_nonmembers (cs_evidence_t *e, const cs_members_t *m)
{
	cs_evidence_source_t *s, *next;
	HASH_ITER (hh, e->sources, s, next) {
		if (!cs_members_get (m, s->from))
			drop_source (e, s);
	}
}

void
cs_evidence_clear_sources (cs_evidence_t *e)
{
	cs_evidence_source_t *s, *next;
	HASH_ITER (hh, e->sources, s, next) {
		drop_source (e, s);
	}
}

static void
apply_entry (cs_evidence_source_t *s, const Cs__EvidenceEntry *in)
{
	if (in->index >= MAX_TABLE_ENTRIES || in->state > CS_MEMBER_READY)
		return;
	s->slots = cs_grow (s->slots, &s->cap, (size_t)in->index + 1, sizeof *s->slots);
	for (; s->n <= in->index; s->n++)
		memset (&s->slots[s->n], 0, sizeof *s->slots);
	peer_slot_t *slot = &s->slots[in->index];
	if (!slot->vm || strcmp (slot->vm, in->vm) != 0) {
		clear_slot (slot);
		slot->vm = cs_str_dup (cs_str (in->vm));
	}
	cs_vm_report_t report = {.vm = slot->vm,
				 .state = (cs_member_state_t)in->state,
				 .group = in->group,
				 .fence = in->fence,
				 .model = in->model,
				 .running = slot->report.running,
				 .queued = slot->report.queued};
	cs_evidence_copy_report (&slot->report, &report);
}

static void
apply_load (cs_evidence_source_t *s, const Cs__EvidenceLoad *in)
{
	if (in->index >= s->n || !s->slots[in->index].vm)
		return;
	s->slots[in->index].report.running = in->running;
	s->slots[in->index].report.queued = in->queued;
}

/* Dates each VM that the peer has polled since its last delta; sent_ms as in
 * cs_evidence_import. */
static void
apply_ages (cs_evidence_t *e, cs_evidence_source_t *s, const Cs__EvidenceDelta *in, int64_t sent_ms)
{
	for (size_t i = 0; i < in->ages.len && i < s->n; i++) {
		peer_slot_t *slot = &s->slots[i];
		int64_t age = in->ages.data[i];
		if (age == AGE_NONE || !slot->vm)
			continue;
		cs_evidence_vm_t *entry = cs_evidence_get_or_add (e, slot->vm);
		if (age >= AGE_REFUSED) {
			cs_evidence_record_refusal (entry, sent_ms - (age - AGE_REFUSED) *
									     REFUSED_UNIT_MS);
			continue;
		}
		slot->report.at_ms = sent_ms - age * AGE_UNIT_MS;
		cs_evidence_update_newest (e, entry, &slot->report);
	}
}

static void
apply_delta (cs_evidence_t *e, cs_evidence_source_t *s, const Cs__EvidenceDelta *in,
	     int64_t sent_ms)
{
	for (size_t i = 0; i < in->n_wanted; i++)
		e->whole_wanted |= in->wanted[i] == e->self;
	if (in->sequence <= s->sequence)
		return;
	if (in->whole || in->sequence != s->sequence + 1) {
		clear_slots (s);
		s->needs_table = !in->whole;
	}
	s->sequence = in->sequence;
	if (s->needs_table)
		return;
	for (size_t i = 0; i < in->n_entries; i++)
		apply_entry (s, in->entries[i]);
	for (size_t i = 0; i < in->n_loads; i++)
		apply_load (s, in->loads[i]);
	apply_ages (e, s, in, sent_ms);
}

cs_status_t
cs_evidence_import (cs_evidence_t *e, uint64_t from, cs_str_t bytes, int64_t sent_ms)
{
	if (!bytes.n || from == e->self)
		return CS_OK;
	Cs__EvidenceDelta *in =
		cs__evidence_delta__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!in)
		return cs_fail (CS_INVALID, "evidence delta of a peer cannot be decoded");
	apply_delta (e, get_or_add_source (e, from), in, sent_ms);
	cs__evidence_delta__free_unpacked (in, NULL);
	return CS_OK;
}
