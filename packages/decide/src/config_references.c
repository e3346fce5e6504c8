/* Validates the references between resources, and the zones of model groups against the
 * scope of a proposal. */
#include "config_check.h"

#include <string.h>

static bool
same (const char *a, const char *b)
{
	return !strcmp (a, b);
}

/* Returns the name of the i-th resource that r refers to and sets *kind to its kind; NULL if r has
 * no more than i references. */
static const char *
reference_at (const Cs__Resource *r, size_t i, cs_kind_t *kind)
{
	if (r && r->spec_case == CS__RESOURCE__SPEC_SERVICE) {
		*kind = CS_KIND_MODEL_GROUP;
		return !i && r->service->kind == CS__SERVICE_KIND__SERVICE_MODEL
			       ? r->service->model_group
			       : NULL;
	}
	if (r && r->spec_case == CS__RESOURCE__SPEC_TEAM) {
		*kind = CS_KIND_SERVICE;
		return i < r->team->n_services ? r->team->services[i] : NULL;
	}
	return NULL;
}

static bool
refers_to (const Cs__Resource *r, const char *kind, const char *name)
{
	cs_kind_t k = CS_KIND_COUNT;
	const char *to;
	for (size_t i = 0; (to = reference_at (r, i, &k)); i++)
		if (same (cs_kind_name (k), kind) && same (to, name))
			return true;
	return false;
}

bool
config_breaks_reference (const Cs__Change *a, const Cs__Change *b)
{
	return a->remove && !b->remove && refers_to (b->resource, a->kind, a->name);
}

/* True if the resource exists once the proposal is in force. */
static bool
will_exist (const config_check_t *k, cs_kind_t kind, const char *name)
{
	const Cs__Change *y = config_find_change (k->propose, cs_kind_name (kind), name);
	return y ? !y->remove : cs_config_get (k->c, kind, cs_str (name)) != NULL;
}

/* Checks that no resource that the proposal leaves unchanged refers to the one that x removes. */
static bool
check_not_in_use (const config_check_t *k, const Cs__Change *x)
{
	for (const cs_resource_t *r = k->c->resources; r; r = r->hh.next) {
		const char *kind = cs_kind_name (r->kind);
		if (!refers_to (r->resource, x->kind, x->name) ||
		    config_find_change (k->propose, kind, r->resource->name))
			continue;
		cs_buf_printf (k->reason, "%s/%s is in use by %s/%s", x->kind, x->name, kind,
			       r->resource->name);
		return false;
	}
	return true;
}

bool
config_check_references (const config_check_t *k, const Cs__Change *x)
{
	cs_kind_t kind = CS_KIND_COUNT;
	const char *to;
	if (k->c->disabled & CS_CONFIG_NO_REFERENCES)
		return true;
	if (x->remove)
		return check_not_in_use (k, x);
	for (size_t i = 0; (to = reference_at (x->resource, i, &kind)); i++) {
		if (will_exist (k, kind, to))
			continue;
		cs_buf_printf (k->reason, "%s/%s refers to %s/%s, which does not exist", x->kind,
			       x->name, cs_kind_name (kind), to);
		return false;
	}
	return true;
}

/* True if the scope covers the zone: the scope is unlimited, names the zone, or contains a joined
 * daemon of the zone. */
static bool
scope_covers_zone (const config_check_t *k, const char *zone)
{
	const Cs__Scope *scope = k->propose->scope;
	if (!scope || (!scope->n_regions && !scope->n_zones))
		return true;
	for (size_t i = 0; i < scope->n_zones; i++)
		if (same (scope->zones[i], zone))
			return true;
	for (const cs_member_t *m = k->c->members->table; m; m = m->hh.next)
		if (same (m->zone, zone) && cs_member_in_scope (m, scope))
			return true;
	return false;
}

/* Checks that the scope covers all zones of r if r is a model group. x is the change to report. */
static bool
check_group_zones (const config_check_t *k, const Cs__Change *x, const Cs__Resource *r)
{
	if (!r || r->spec_case != CS__RESOURCE__SPEC_MODEL_GROUP)
		return true;
	for (size_t i = 0; i < r->model_group->n_zones; i++) {
		if (scope_covers_zone (k, r->model_group->zones[i]))
			continue;
		cs_buf_printf (k->reason, "%s/%s has replicas in zone %s, outside of the scope",
			       x->kind, x->name, r->model_group->zones[i]);
		return false;
	}
	return true;
}

bool
config_check_zones (const config_check_t *k, const Cs__Change *x)
{
	const cs_resource_t *old = cs_config_get (k->c, CS_KIND_MODEL_GROUP, cs_str (x->name));
	if (k->c->disabled & CS_CONFIG_NO_SCOPE || !same (x->kind, "model_group"))
		return true;
	return check_group_zones (k, x, x->resource) &&
	       check_group_zones (k, x, old ? old->resource : NULL);
}
