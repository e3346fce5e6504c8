/* The list of proposals, ordered by offset, and the daemons required for each. */
#include <stdlib.h>
#include <string.h>

#include "log_internal.h"

cs_proposal_t *
cs_proposal_new (uint64_t offset, uint64_t proposer, const Cs__Propose *propose)
{
	cs_proposal_t *p = cs_alloc (sizeof *p);
	p->offset = offset;
	p->proposer = proposer;
	p->propose = cs_clone (&propose->base);
	p->reason = cs_str_dup (cs_str (""));
	p->opened_ms = -1;
	p->all_staged_ms = -1;
	p->last_attempt_ms = -1;
	return p;
}

void
cs_proposal_free (cs_proposal_t *p)
{
	cs__propose__free_unpacked (p->propose, NULL);
	free (p->reason);
	free (p->required);
	free (p->staged);
	free (p);
}

void
cs_config_add_proposal (cs_config_t *c, cs_proposal_t *p)
{
	c->proposals =
		cs_grow (c->proposals, &c->cap_proposals, c->n_proposals + 1, sizeof *c->proposals);
	c->proposals[c->n_proposals++] = p;
}

static int
compare_offset (const void *key, const void *item)
{
	uint64_t offset = *(const uint64_t *)key;
	const cs_proposal_t *p = *(cs_proposal_t *const *)item;
	return (offset > p->offset) - (offset < p->offset);
}

const cs_proposal_t *
cs_config_proposal (const cs_config_t *c, uint64_t offset)
{
	if (!c->n_proposals)
		return NULL;
	cs_proposal_t **p = bsearch (&offset, c->proposals, c->n_proposals,
				     sizeof (cs_proposal_t *), compare_offset);
	return p ? *p : NULL;
}

const cs_proposal_t *
cs_config_proposal_by_id (const cs_config_t *c, cs_str_t change_id)
{
	for (size_t i = 0; i < c->n_proposals; i++)
		if (cs_str_eq (cs_str (c->proposals[i]->propose->change_id), change_id))
			return c->proposals[i];
	return NULL;
}

static bool
changes_resource (const cs_proposal_t *p, cs_kind_t kind, cs_str_t name)
{
	for (size_t i = 0; i < p->propose->n_changes; i++) {
		const Cs__Change *x = p->propose->changes[i];
		if (cs_str_is (cs_str (x->kind), cs_kind_name (kind)) &&
		    cs_str_eq (cs_str (x->name), name))
			return true;
	}
	return false;
}

const cs_proposal_t *
cs_config_open_proposal (const cs_config_t *c, cs_kind_t kind, cs_str_t name)
{
	for (size_t i = c->n_proposals; i > 0; i--) {
		const cs_proposal_t *p = c->proposals[i - 1];
		if (p->state == CS_PROPOSAL_OPEN && changes_resource (p, kind, name))
			return p;
	}
	return NULL;
}

bool
cs_proposal_is_required (const cs_config_t *c, const cs_proposal_t *p, size_t i)
{
	return cs_members_get (c->members, p->required[i]) != NULL;
}

bool
cs_proposal_has_staged (const cs_proposal_t *p, size_t i)
{
	return p->staged[i / 8] & 1U << i % 8;
}

void
cs_config_list_missing (const cs_config_t *c, const cs_proposal_t *p, cs_buf_t *out)
{
	const char *separator = "";
	for (size_t i = 0; i < p->n_required; i++) {
		const cs_member_t *m = cs_members_get (c->members, p->required[i]);
		if (!m || cs_proposal_has_staged (p, i))
			continue;
		cs_buf_printf (out, "%s%s", separator, m->name);
		separator = ", ";
	}
}
