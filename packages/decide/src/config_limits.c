/* Resources in doubt while the log is not current, and the limits of a team then enforced. */
#include <string.h>

#include "cs/limits.h"
#include "log_internal.h"

bool
cs_config_in_doubt (const cs_config_t *c, bool log_current, cs_kind_t kind, cs_str_t name)
{
	if (log_current || (c->disabled & CS_CONFIG_NO_IN_DOUBT))
		return false;
	return cs_config_open_proposal (c, kind, name) != NULL;
}

/* The limits that an open proposal sets for the team; NULL if it sets none or removes the
 * team. */
static const Cs__Limits *
proposed_limits (const cs_proposal_t *p, cs_str_t team)
{
	for (size_t i = 0; i < p->propose->n_changes; i++) {
		const Cs__Change *x = p->propose->changes[i];
		if (strcmp (x->kind, cs_kind_name (CS_KIND_TEAM)) != 0 ||
		    !cs_str_eq (cs_str (x->name), team))
			continue;
		return x->remove ? NULL : x->resource->team->limits;
	}
	return NULL;
}

bool
cs_config_limits (const cs_config_t *c, bool log_current, cs_str_t team, Cs__Limits *out)
{
	const cs_resource_t *r = cs_config_get (c, CS_KIND_TEAM, team);
	if (!r)
		return false;
	cs__limits__init (out);
	if (r->resource->team->limits)
		*out = *r->resource->team->limits;
	if (!cs_config_in_doubt (c, log_current, CS_KIND_TEAM, team))
		return true;
	const Cs__Limits *proposed =
		proposed_limits (cs_config_open_proposal (c, CS_KIND_TEAM, team), team);
	Cs__Limits in_force = *out;
	if (proposed)
		cs_limits_stricter (&in_force, proposed, out);
	return true;
}
