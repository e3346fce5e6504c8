/* Validates a proposal: each change, and all changes together. */
#include <string.h>

#include "config_check.h"

static const Cs__Resource__SpecCase spec_cases[CS_KIND_COUNT] = {
	[CS_KIND_MODEL_GROUP] = CS__RESOURCE__SPEC_MODEL_GROUP,
	[CS_KIND_SERVICE] = CS__RESOURCE__SPEC_SERVICE,
	[CS_KIND_TEAM] = CS__RESOURCE__SPEC_TEAM,
	[CS_KIND_POLICY] = CS__RESOURCE__SPEC_POLICY,
};

static bool
same (const char *a, const char *b)
{
	return !strcmp (a, b);
}

const Cs__Change *
config_find_change (const Cs__Propose *propose, const char *kind, const char *name)
{
	for (size_t i = 0; i < propose->n_changes; i++)
		if (same (propose->changes[i]->kind, kind) &&
		    same (propose->changes[i]->name, name))
			return propose->changes[i];
	return NULL;
}

/* The name of the model group that a service refers to; NULL if the resource is not a service of
 * kind SERVICE_MODEL. */
static const char *
model_group_of (const Cs__Resource *r)
{
	if (!r || r->spec_case != CS__RESOURCE__SPEC_SERVICE)
		return NULL;
	return r->service->kind == CS__SERVICE_KIND__SERVICE_MODEL ? r->service->model_group : NULL;
}

/* Appends the fault of change x to the reason; always false. */
static bool
refuse (config_check_t *k, const Cs__Change *x, const char *fault)
{
	cs_buf_printf (k->reason, "%s/%s %s", x->kind, x->name, fault);
	return false;
}

/* Checks the form of change x without regard to the resources in force. */
static bool
check_form (config_check_t *k, const Cs__Change *x)
{
	cs_kind_t kind;
	const Cs__Resource *r = x->resource;
	if (!cs_kind_parse (cs_str (x->kind), &kind))
		return refuse (k, x, "is of an unknown kind");
	if (!x->name[0])
		return refuse (k, x, "has no name");
	if (config_find_change (k->propose, x->kind, x->name) != x)
		return refuse (k, x, "is changed twice by the proposal");
	if (x->remove)
		return true;
	if (!r || r->spec_case != spec_cases[kind] || !same (r->name, x->name))
		return refuse (k, x, "does not carry a resource of its kind and name");
	if (kind == CS_KIND_MODEL_GROUP && (!r->model_group->members || !r->model_group->n_zones))
		return refuse (k, x, "needs at least one member and one zone");
	if (model_group_of (r) && !model_group_of (r)[0])
		return refuse (k, x, "names no model group");
	return true;
}

static bool
check_version (config_check_t *k, const Cs__Change *x)
{
	cs_kind_t kind;
	cs_kind_parse (cs_str (x->kind), &kind);
	const cs_resource_t *old = cs_config_get (k->c, kind, cs_str (x->name));
	uint64_t version = old ? old->version : 0;
	if (x->remove && !old)
		return refuse (k, x, "does not exist");
	if (x->expected_version == version || (k->c->disabled & CS_CONFIG_NO_EXPECTED_VERSION))
		return true;
	if (!old)
		return refuse (k, x, "does not exist, but a version was expected");
	cs_buf_printf (k->reason, "%s/%s is at version %llu of change %s, not at the expected %llu",
		       x->kind, x->name, (unsigned long long)version, old->change_id,
		       (unsigned long long)x->expected_version);
	return false;
}

/* Checks that change x does not conflict with the open proposal p. */
static bool
check_open_proposal (config_check_t *k, const Cs__Change *x, const cs_proposal_t *p)
{
	for (size_t i = 0; i < p->propose->n_changes; i++) {
		const Cs__Change *y = p->propose->changes[i];
		bool same_resource = same (x->kind, y->kind) && same (x->name, y->name);
		if (!same_resource && !config_breaks_reference (x, y) &&
		    !config_breaks_reference (y, x))
			continue;
		cs_buf_printf (
			k->reason, "%s/%s is being changed by change %s, proposed at offset %llu",
			x->kind, x->name, p->propose->change_id, (unsigned long long)p->offset);
		return false;
	}
	return true;
}

static bool
check_open_proposals (config_check_t *k, const Cs__Change *x)
{
	if (k->c->disabled & CS_CONFIG_NO_FIRST_PROPOSAL)
		return true;
	for (size_t i = 0; i < k->c->n_proposals; i++) {
		const cs_proposal_t *p = k->c->proposals[i];
		if (p->state == CS_PROPOSAL_OPEN && !check_open_proposal (k, x, p))
			return false;
	}
	return true;
}

/* Checks that at least one daemon would be required. */
static bool
check_scope (config_check_t *k)
{
	for (const cs_member_t *m = k->c->members->table; m; m = m->hh.next)
		if (cs_member_in_scope (m, k->propose->scope))
			return true;
	cs_buf_addz (k->reason, "no joined daemon is in the scope of the proposal");
	return false;
}

static bool
check_proposal (config_check_t *k)
{
	const Cs__Propose *propose = k->propose;
	for (size_t i = 0; i < propose->n_changes; i++)
		if (!check_form (k, propose->changes[i]))
			return false;
	for (size_t i = 0; i < propose->n_changes; i++)
		if (!check_open_proposals (k, propose->changes[i]) ||
		    !check_version (k, propose->changes[i]))
			return false;
	for (size_t i = 0; i < propose->n_changes; i++)
		if (!config_check_references (k, propose->changes[i]) ||
		    !config_check_zones (k, propose->changes[i]))
			return false;
	return check_scope (k);
}

cs_status_t
cs_config_validate (const cs_config_t *c, const Cs__Propose *propose, cs_buf_t *reason)
{
	config_check_t k = {c, propose, reason};
	if (!propose->change_id[0] || !propose->n_changes) {
		cs_buf_addz (reason, "a change needs an id and at least one resource");
		return CS_INVALID;
	}
	return check_proposal (&k) ? CS_OK : CS_CONFLICT;
}
