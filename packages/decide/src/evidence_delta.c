/* Deltas of evidence for the heartbeats: export of own polls, import of the peers'. */
#include "evidence_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cs/groups.pb-c.h"

enum {
	AGE_UNIT_MS = 16,      /* of an age byte */
	AGE_REFUSED = 192,     /* age bytes from here on are of refused polls */
	REFUSED_UNIT_MS = 48,  /* of such an age byte, counted from AGE_REFUSED */
	AGE_NONE = 255,        /* age byte: no new report */
	TABLE_KEEP_MS = 10000, /* a VM without an answered poll leaves the table after this */
	WHOLE_EVERY_MS = 1000, /* shortest time between two whole tables */
	TABLE_MAX = 65536      /* entries accepted in a peer's table */
};

/* What a peer's table says of one VM. */
typedef struct {
	char *vm; /* NULL: unused */
	cs_vm_report_t report;
} slot_t;

struct cs_evidence_source {
	uint64_t from;
	uint64_t sequence; /* of the last delta taken */
	bool wanted;       /* its table is not known: nothing is taken until a whole one */
	slot_t *slots;
	size_t n;
	size_t cap;
	UT_hash_handle hh;
};

void
cs_evidence_untable (cs_evidence_t *e, cs_evidence_vm_t *x)
{
	if (!x->in_table)
		return;
	e->table[x->index] = NULL;
	x->in_table = false;
}

static void
enter_table (cs_evidence_t *e, cs_evidence_vm_t *x)
{
	size_t i = 0;
	while (i < e->n_table && e->table[i])
		i++;
	if (i == e->n_table) {
		e->table = cs_grow (e->table, &e->cap_table, i + 1, sizeof (void *));
		e->n_table++;
	}
	e->table[i] = x;
	x->index = (uint32_t)i;
	x->in_table = true;
	x->own_changed = true;
}

/* Enters VMs with a new report and drops those that are no longer polled. */
static void
tend_table (cs_evidence_t *e, int64_t now_ms)
{
	for (size_t i = 0; i < e->n_table; i++) {
		cs_evidence_vm_t *x = e->table[i];
		if (x && now_ms - x->own.at_ms > TABLE_KEEP_MS &&
		    now_ms - x->own_refused_ms > TABLE_KEEP_MS)
			cs_evidence_untable (e, x);
	}
	for (cs_evidence_vm_t *x = e->vms; x; x = x->hh.next)
		if (x->own_new && !x->in_table)
			enter_table (e, x);
}

typedef struct {
	Cs__EvidenceDelta delta;
	Cs__EvidenceEntry *entries;
	Cs__EvidenceLoad *loads;
} draft_t;

static void
add_entry (draft_t *d, const cs_evidence_vm_t *x)
{
	Cs__EvidenceEntry *out = &d->entries[d->delta.n_entries];
	cs__evidence_entry__init (out);
	out->index = x->index;
	out->vm = x->vm;
	out->state = x->own.state;
	out->group = (char *)x->own.group;
	out->fence = x->own.fence;
	out->model = (char *)x->own.model;
	d->delta.entries[d->delta.n_entries++] = out;
}

static void
add_load (draft_t *d, const cs_evidence_vm_t *x)
{
	Cs__EvidenceLoad *out = &d->loads[d->delta.n_loads];
	cs__evidence_load__init (out);
	out->index = x->index;
	out->running = x->own.running;
	out->queued = x->own.queued;
	d->delta.loads[d->delta.n_loads++] = out;
}

static uint8_t
age_byte (const cs_evidence_vm_t *x, int64_t now_ms)
{
	bool refused = x->own_refused_ms > x->own.at_ms;
	int64_t past = now_ms - (refused ? x->own_refused_ms : x->own.at_ms);
	int64_t unit = refused ? REFUSED_UNIT_MS : AGE_UNIT_MS;
	int64_t units = past < 0 ? 0 : (past + unit - 1) / unit;
	if (!x->own_new || units >= (refused ? AGE_NONE - AGE_REFUSED : AGE_REFUSED))
		return AGE_NONE;
	return (uint8_t)(refused ? AGE_REFUSED + units : units);
}

static void
draft_table (cs_evidence_t *e, draft_t *d, int64_t now_ms)
{
	for (size_t i = 0; i < e->n_table; i++) {
		cs_evidence_vm_t *x = e->table[i];
		d->delta.ages.data[i] = AGE_NONE;
		if (!x)
			continue;
		d->delta.ages.data[i] = age_byte (x, now_ms);
		if (x->own_changed || d->delta.whole)
			add_entry (d, x);
		if (x->load_changed || d->delta.whole)
			add_load (d, x);
		x->own_new = false;
		x->own_changed = false;
		x->load_changed = false;
	}
}

static void
draft_wanted (const cs_evidence_t *e, draft_t *d)
{
	for (const cs_evidence_source_t *s = e->sources; s; s = s->hh.next)
		if (s->wanted)
			d->delta.wanted[d->delta.n_wanted++] = s->from;
}

void
cs_evidence_export (cs_evidence_t *e, int64_t now_ms, cs_buf_t *out)
{
	draft_t d = {.delta = CS__EVIDENCE_DELTA__INIT};
	tend_table (e, now_ms);
	d.delta.sequence = ++e->sequence;
	d.delta.whole = e->whole_wanted && now_ms - e->whole_sent_ms >= WHOLE_EVERY_MS;
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
	draft_table (e, &d, now_ms);
	draft_wanted (e, &d);

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
clear_slot (slot_t *slot)
{
	free (slot->vm);
	slot->vm = NULL;
	cs_evidence_clear (&slot->report);
}

static void
clear_slots (cs_evidence_source_t *s)
{
	for (size_t i = 0; i < s->n; i++)
		clear_slot (&s->slots[i]);
	s->n = 0;
}

static cs_evidence_source_t *
take_source (cs_evidence_t *e, uint64_t from) /* NOLINT: uthash's statements */
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
cs_evidence_forget_source (cs_evidence_t *e, uint64_t from)
{
	cs_evidence_source_t *s;
	HASH_FIND (hh, e->sources, &from, sizeof from, s);
	if (s)
		drop_source (e, s);
}

void
cs_evidence_forget_sources (cs_evidence_t *e)
{
	cs_evidence_source_t *s, *next;
	HASH_ITER (hh, e->sources, s, next) {
		drop_source (e, s);
	}
}

static void
take_entry (cs_evidence_source_t *s, const Cs__EvidenceEntry *in)
{
	if (in->index >= TABLE_MAX || in->state > CS_MEMBER_READY)
		return;
	s->slots = cs_grow (s->slots, &s->cap, (size_t)in->index + 1, sizeof *s->slots);
	for (; s->n <= in->index; s->n++)
		memset (&s->slots[s->n], 0, sizeof *s->slots);
	slot_t *slot = &s->slots[in->index];
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
	cs_evidence_set (&slot->report, &report);
}

static void
take_load (cs_evidence_source_t *s, const Cs__EvidenceLoad *in)
{
	if (in->index >= s->n || !s->slots[in->index].vm)
		return;
	s->slots[in->index].report.running = in->running;
	s->slots[in->index].report.queued = in->queued;
}

/* Dates the report of each VM that the peer's polls have reached anew. */
static void
take_ages (cs_evidence_t *e, cs_evidence_source_t *s, const Cs__EvidenceDelta *in, int64_t sent_ms)
{
	for (size_t i = 0; i < in->ages.len && i < s->n; i++) {
		slot_t *slot = &s->slots[i];
		int64_t age = in->ages.data[i];
		if (age == AGE_NONE || !slot->vm)
			continue;
		cs_evidence_vm_t *x = cs_evidence_take (e, slot->vm);
		if (age >= AGE_REFUSED) {
			cs_evidence_take_refusal (x,
						  sent_ms - (age - AGE_REFUSED) * REFUSED_UNIT_MS);
			continue;
		}
		slot->report.at_ms = sent_ms - age * AGE_UNIT_MS;
		cs_evidence_renew (e, x, &slot->report);
	}
}

static void
take_delta (cs_evidence_t *e, cs_evidence_source_t *s, const Cs__EvidenceDelta *in, int64_t sent_ms)
{
	for (size_t i = 0; i < in->n_wanted; i++)
		e->whole_wanted |= in->wanted[i] == e->self;
	if (in->sequence <= s->sequence)
		return;
	if (in->whole || in->sequence != s->sequence + 1) {
		clear_slots (s);
		s->wanted = !in->whole;
	}
	s->sequence = in->sequence;
	if (s->wanted)
		return;
	for (size_t i = 0; i < in->n_entries; i++)
		take_entry (s, in->entries[i]);
	for (size_t i = 0; i < in->n_loads; i++)
		take_load (s, in->loads[i]);
	take_ages (e, s, in, sent_ms);
}

cs_status_t
cs_evidence_import (cs_evidence_t *e, uint64_t from, cs_str_t bytes, int64_t sent_ms)
{
	if (!bytes.n || from == e->self)
		return CS_OK;
	Cs__EvidenceDelta *in =
		cs__evidence_delta__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!in)
		return cs_fail (CS_INVALID, "evidence of a peer cannot be read");
	take_delta (e, take_source (e, from), in, sent_ms);
	cs__evidence_delta__free_unpacked (in, NULL);
	return CS_OK;
}
