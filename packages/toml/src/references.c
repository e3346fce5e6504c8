/* Checks that the references of declared resources resolve, and that the scope of a change
 * covers the zones of its model groups. */
#include <stdlib.h>
#include <string.h>

#include "cs/resources.h"

static bool
is_known (const cs_resources_t *r, Cs__Resource *const *existing, size_t n,
	  Cs__Resource__SpecCase kind, const char *name)
{
	for (size_t i = 0; i < r->n; i++)
		if (r->items[i].resource->spec_case == kind &&
		    !strcmp (r->items[i].resource->name, name))
			return true;
	for (size_t i = 0; i < n; i++)
		if (existing[i]->spec_case == kind && !strcmp (existing[i]->name, name))
			return true;
	return false;
}

cs_status_t
cs_resources_check_references (const cs_resources_t *r, Cs__Resource *const *existing, size_t n,
			       cs_findings_t *findings)
{
	size_t n_before = findings->n;
	for (size_t i = 0; i < r->n; i++) {
		const cs_declaration_t *d = &r->items[i];
		const Cs__Service *s = d->resource->spec_case == CS__RESOURCE__SPEC_SERVICE
					       ? d->resource->service
					       : NULL;
		const Cs__Team *t = d->resource->spec_case == CS__RESOURCE__SPEC_TEAM
					    ? d->resource->team
					    : NULL;
		if (s && *s->model_group &&
		    !is_known (r, existing, n, CS__RESOURCE__SPEC_MODEL_GROUP, s->model_group))
			cs_findings_add (findings, d->file, d->ref_line, d->ref_column,
					 "service: no model group \"%s\"", s->model_group);
		for (size_t j = 0; t && j < t->n_services; j++)
			if (!is_known (r, existing, n, CS__RESOURCE__SPEC_SERVICE, t->services[j]))
				cs_findings_add (findings, d->file, d->ref_line, d->ref_column,
						 "team: no service \"%s\"", t->services[j]);
	}
	if (findings->n != n_before)
		return cs_fail (CS_INVALID, "%zu references name no declared or existing resource",
				findings->n - n_before);
	return CS_OK;
}

bool
cs_resource_equal (const Cs__Resource *a, const Cs__Resource *b)
{
	size_t n = cs__resource__get_packed_size (a);
	if (n != cs__resource__get_packed_size (b))
		return false;
	uint8_t *packed_a = cs_alloc (n);
	uint8_t *packed_b = cs_alloc (n);
	cs__resource__pack (a, packed_a);
	cs__resource__pack (b, packed_b);
	bool equal = !memcmp (packed_a, packed_b, n);
	free (packed_a);
	free (packed_b);
	return equal;
}

static bool
is_changed (const Cs__Resource *resource, Cs__Resource *const *existing, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (cs_resource_equal (resource, existing[i]))
			return false;
	return true;
}

cs_status_t
cs_resources_check_scope (const cs_resources_t *r, Cs__Resource *const *existing, size_t n,
			  const char *const *zones, size_t n_zones, cs_findings_t *findings)
{
	size_t n_before = findings->n;
	for (size_t i = 0; n_zones && i < r->n; i++) {
		const cs_declaration_t *d = &r->items[i];
		const Cs__ModelGroup *g = d->resource->spec_case == CS__RESOURCE__SPEC_MODEL_GROUP
						  ? d->resource->model_group
						  : NULL;
		if (!g || !is_changed (d->resource, existing, n))
			continue;
		for (size_t j = 0; j < g->n_zones; j++)
			if (!cs_str_in_list (zones, n_zones, g->zones[j]))
				cs_findings_add (findings, d->file, d->ref_line, d->ref_column,
						 "model_group: zone \"%s\" is not in the scope",
						 g->zones[j]);
	}
	if (findings->n != n_before)
		return cs_fail (CS_INVALID, "%zu zones of model groups are outside of the scope",
				findings->n - n_before);
	return CS_OK;
}
