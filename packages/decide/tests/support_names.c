#include "support_names.h"

#include <stdlib.h>
#include <string.h>

static cs_apply_result_t
apply_name (void *state, uint64_t offset, const Cs__Record *r)
{
	support_names_t *s = state;
	(void)offset;
	if (r->body_case != CS__RECORD__BODY_VM_SEEN)
		return CS_APPLY_IGNORED;
	if (!r->vm_seen->vm[0])
		return CS_APPLY_INVALID;
	cs_buf_printf (&s->names, "%s;", r->vm_seen->vm);
	s->n++;
	return CS_APPLY_VALID;
}

static void
reset_names (void *state)
{
	support_names_t *s = state;
	cs_buf_finish (&s->names);
	s->n = 0;
}

static void
snapshot_names (const void *state, cs_buf_t *out)
{
	cs_buf_add (out, cs_buf_str (&((const support_names_t *)state)->names));
}

static cs_status_t
restore_names (void *state, uint64_t offset, cs_str_t bytes)
{
	support_names_t *s = state;
	(void)offset;
	cs_buf_add (&s->names, bytes);
	for (size_t i = 0; i < bytes.n; i++)
		s->n += bytes.p[i] == ';';
	return CS_OK;
}

static const cs_state_machine_ops_t names_ops = {
	.name = "names",
	.apply = apply_name,
	.reset = reset_names,
	.snapshot = snapshot_names,
	.restore = restore_names,
};

void
support_node_init (support_node_t *d, uint64_t incarnation, unsigned disabled)
{
	cs_applier_options_t o = {.disabled = disabled};
	memset (d, 0, sizeof *d);
	cs_applier_init (&d->applier, "zone-a", &o);
	cs_applier_add_state_machine (&d->applier, &names_ops, &d->names);
	cs_writer_init (&d->writer, &d->applier, incarnation);
}

void
support_node_finish (support_node_t *d)
{
	cs_writer_finish (&d->writer);
	cs_applier_finish (&d->applier);
	reset_names (&d->names);
}

uint64_t
support_node_submit (support_node_t *d, const char *vm)
{
	uint64_t ticket = 0;
	Cs__VmSeen seen = CS__VM_SEEN__INIT;
	Cs__Record r = CS__RECORD__INIT;
	seen.vm = (char *)vm;
	r.body_case = CS__RECORD__BODY_VM_SEEN;
	r.vm_seen = &seen;
	if (cs_writer_submit (&d->writer, &r, &ticket) != CS_OK)
		abort ();
	return ticket;
}

const char *
support_node_names (const support_node_t *d)
{
	return d->names.names.p ? d->names.names.p : "";
}

void
support_names_put (support_log_t *log, uint64_t incarnation, uint64_t sequence, uint64_t seen_at,
		   const char *vm)
{
	Cs__VmSeen seen = CS__VM_SEEN__INIT;
	Cs__Record r = CS__RECORD__INIT;
	seen.vm = (char *)vm;
	r.incarnation = incarnation;
	r.sequence = sequence;
	r.seen = seen_at;
	r.body_case = CS__RECORD__BODY_VM_SEEN;
	r.vm_seen = &seen;
	support_log_put_record (log, "zone-a", &r);
}
