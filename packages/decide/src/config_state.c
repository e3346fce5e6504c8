/* Snapshot and restore of the configuration as a packed ConfigState. */
#include <stdlib.h>
#include <string.h>

#include "log_internal.h"

static void
pack_resources (const cs_config_t *c, Cs__ConfigState *s, Cs__ResourceState *states)
{
	size_t i = 0;
	for (const cs_resource_t *r = NULL; (r = cs_config_next (c, CS_KIND_COUNT, r)); i++) {
		cs__resource_state__init (&states[i]);
		states[i].kind = r->kind;
		states[i].version = r->version;
		states[i].change_id = r->change_id;
		states[i].resource = r->resource;
		s->resources[i] = &states[i];
	}
}

static void
pack_proposals (const cs_config_t *c, Cs__ConfigState *s, Cs__ProposalState *states)
{
	for (size_t i = 0; i < s->n_proposals; i++) {
		const cs_proposal_t *p = c->proposals[i];
		cs__proposal_state__init (&states[i]);
		states[i].offset = p->offset;
		states[i].proposer = p->proposer;
		states[i].propose = p->propose;
		states[i].n_required = p->n_required;
		states[i].required = p->required;
		states[i].state = p->state;
		states[i].decided_at = p->decided_at;
		states[i].reason = p->reason;
		s->proposals[i] = &states[i];
	}
}

void
cs_config_snapshot (const void *state, cs_buf_t *out)
{
	const cs_config_t *c = state;
	Cs__ConfigState s = CS__CONFIG_STATE__INIT;
	s.n_resources = HASH_COUNT (c->resources);
	s.n_proposals = c->n_proposals;
	s.resources = cs_alloc (s.n_resources * sizeof *s.resources);
	s.proposals = cs_alloc (s.n_proposals * sizeof *s.proposals);
	Cs__ResourceState *resources = cs_alloc (s.n_resources * sizeof *resources);
	Cs__ProposalState *proposals = cs_alloc (s.n_proposals * sizeof *proposals);
	pack_resources (c, &s, resources);
	pack_proposals (c, &s, proposals);
	cs_pack (&s.base, out);
	free (resources);
	free (proposals);
	free (s.resources);
	free (s.proposals);
}

static void
restore_proposal (cs_config_t *c, const Cs__ProposalState *s)
{
	if (!s->propose)
		return;
	cs_proposal_t *p = cs_proposal_new (s->offset, s->proposer, s->propose);
	size_t bytes = s->n_required * sizeof *p->required;
	free (p->reason);
	p->reason = cs_str_dup (cs_str (s->reason));
	p->state = (cs_proposal_state_t)s->state;
	p->decided_at = s->decided_at;
	p->n_required = s->n_required;
	p->required = cs_alloc (bytes);
	p->staged = cs_alloc (s->n_required / 8 + 1);
	if (bytes)
		memcpy (p->required, s->required, bytes);
	cs_config_add_proposal (c, p);
}

cs_status_t
cs_config_restore (void *state, uint64_t offset, cs_str_t bytes)
{
	cs_config_t *c = state;
	Cs__ConfigState *s = cs__config_state__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!s)
		return cs_fail (CS_INVALID, "state of the configuration cannot be decoded");
	for (size_t i = 0; i < s->n_resources; i++) {
		const Cs__ResourceState *r = s->resources[i];
		if (r->resource && r->kind < CS_KIND_COUNT)
			cs_config_put_resource (c, (cs_kind_t)r->kind, r->version, r->change_id,
						r->resource);
	}
	for (size_t i = 0; i < s->n_proposals; i++)
		restore_proposal (c, s->proposals[i]);
	cs_config_clear_events (c, offset);
	cs__config_state__free_unpacked (s, NULL);
	return CS_OK;
}
