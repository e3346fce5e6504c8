#include "resource_fields.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

enum {
	MAX_REPLICAS = 100000, /* of a model group in one zone */
	MAX_MEMBERS = 64,      /* VMs of one replica */
	MAX_CONCURRENT = 1000000,
	MAX_TIMEOUT_MS = 3600000,
	MAX_PRIORITY = 100,
	MAX_PERCENT = 100,
	DEFAULT_MAX_CONCURRENT = 8,
	DEFAULT_TIMEOUT_MS = 30000,
	DEFAULT_PRIORITY = 1,
	DEFAULT_RETRY_PERCENT = 10,
	DEFAULT_EJECT_PERCENT = 10
};

#define MAX_PER_MINUTE 1e9 /* requests or tokens */
#define MAX_WEIGHT_BYTES 1e15
#define MAX_COST 1e6 /* of one second of downtime or of one idle accelerator */
#define DEFAULT_DOWNTIME_WEIGHT 1.0
#define DEFAULT_STRANDED_WEIGHT 1.0

#define GROUP_OFFSET(member) offsetof (flat_model_group_t, member)
#define SERVICE_OFFSET(member) offsetof (flat_service_t, member)
#define TEAM_OFFSET(member) offsetof (flat_team_t, member)
#define COUNT(a) (sizeof (a) / sizeof *(a))

static const cs_field_t model_group_items[] = {
	{"name", CS_FIELD_STRING, true, 1, 0, GROUP_OFFSET (name), 0},
	{"model", CS_FIELD_STRING, true, 1, 0, GROUP_OFFSET (spec.model), 0},
	{"version", CS_FIELD_STRING, true, 1, 0, GROUP_OFFSET (spec.version), 0},
	{"zones", CS_FIELD_STRINGS, true, 0, 0, GROUP_OFFSET (spec.zones),
	 GROUP_OFFSET (spec.n_zones)},
	{"replicas", CS_FIELD_U32, true, 0, MAX_REPLICAS, GROUP_OFFSET (spec.replicas), 0},
	{"members", CS_FIELD_U32, true, 1, MAX_MEMBERS, GROUP_OFFSET (spec.members), 0},
	{"adapters", CS_FIELD_STRINGS, false, 0, 0, GROUP_OFFSET (spec.adapters),
	 GROUP_OFFSET (spec.n_adapters)},
	{"max_concurrent", CS_FIELD_U32, false, 1, MAX_CONCURRENT,
	 GROUP_OFFSET (spec.max_concurrent), 0},
	{"fences_orders", CS_FIELD_BOOL, false, 0, 0, GROUP_OFFSET (spec.fences_orders), 0},
	{"weight_bytes", CS_FIELD_U64, false, 0, MAX_WEIGHT_BYTES, GROUP_OFFSET (spec.weight_bytes),
	 0},
};
static const cs_field_t service_items[] = {
	{"name", CS_FIELD_STRING, true, 1, 0, SERVICE_OFFSET (name), 0},
	{"kind", CS_FIELD_STRING, true, 1, 0, SERVICE_OFFSET (kind), 0},
	{"model_group", CS_FIELD_STRING, false, 1, 0, SERVICE_OFFSET (spec.model_group), 0},
	{"timeout_ms", CS_FIELD_U32, false, 1, MAX_TIMEOUT_MS, SERVICE_OFFSET (spec.timeout_ms), 0},
	{"backend", CS_FIELD_SKIP, false, 0, 0, 0, 0},
	{"protected", CS_FIELD_SKIP, false, 0, 0, 0, 0},
};
static const cs_field_t backend_items[] = {
	{"name", CS_FIELD_STRING, true, 1, 0, offsetof (Cs__Backend, name), 0},
	{"zone", CS_FIELD_STRING, true, 1, 0, offsetof (Cs__Backend, zone), 0},
	{"url", CS_FIELD_STRING, true, 1, 0, offsetof (Cs__Backend, url), 0},
};
static const cs_field_t route_items[] = {
	{"method", CS_FIELD_STRING, true, 1, 0, offsetof (Cs__ProtectedRoute, method), 0},
	{"path_prefix", CS_FIELD_STRING, true, 1, 0, offsetof (Cs__ProtectedRoute, path_prefix), 0},
};
static const cs_field_t team_items[] = {
	{"name", CS_FIELD_STRING, true, 1, 0, TEAM_OFFSET (name), 0},
	{"requests_per_minute", CS_FIELD_U64, false, 0, MAX_PER_MINUTE,
	 TEAM_OFFSET (limits.requests_per_minute), 0},
	{"tokens_per_minute", CS_FIELD_U64, false, 0, MAX_PER_MINUTE,
	 TEAM_OFFSET (limits.tokens_per_minute), 0},
	{"concurrent", CS_FIELD_U32, false, 0, MAX_CONCURRENT, TEAM_OFFSET (limits.concurrent), 0},
	{"priority", CS_FIELD_U32, false, 0, MAX_PRIORITY, TEAM_OFFSET (spec.priority), 0},
	{"services", CS_FIELD_STRINGS, false, 0, 0, TEAM_OFFSET (spec.services),
	 TEAM_OFFSET (spec.n_services)},
};
static const cs_field_t policy_items[] = {
	{"downtime_weight", CS_FIELD_DOUBLE, false, 0, MAX_COST,
	 offsetof (Cs__Policy, downtime_weight), 0},
	{"stranded_weight", CS_FIELD_DOUBLE, false, 0, MAX_COST,
	 offsetof (Cs__Policy, stranded_weight), 0},
	{"retry_percent", CS_FIELD_U32, false, 0, MAX_PERCENT, offsetof (Cs__Policy, retry_percent),
	 0},
	{"eject_percent", CS_FIELD_U32, false, 0, MAX_PERCENT, offsetof (Cs__Policy, eject_percent),
	 0},
};

const field_list_t model_group_fields = {model_group_items, COUNT (model_group_items)};
const field_list_t service_fields = {service_items, COUNT (service_items)};
const field_list_t backend_fields = {backend_items, COUNT (backend_items)};
const field_list_t route_fields = {route_items, COUNT (route_items)};
const field_list_t team_fields = {team_items, COUNT (team_items)};
const field_list_t policy_fields = {policy_items, COUNT (policy_items)};

void
model_group_init (flat_model_group_t *f)
{
	f->name = NULL;
	cs__model_group__init (&f->spec);
	f->spec.max_concurrent = DEFAULT_MAX_CONCURRENT;
}

void
service_init (flat_service_t *f)
{
	f->name = NULL;
	f->kind = NULL;
	cs__service__init (&f->spec);
	f->spec.timeout_ms = DEFAULT_TIMEOUT_MS;
}

void
team_init (flat_team_t *f)
{
	f->name = NULL;
	cs__limits__init (&f->limits);
	cs__team__init (&f->spec);
	f->spec.priority = DEFAULT_PRIORITY;
}

void
cs_policy_init (Cs__Policy *p)
{
	cs__policy__init (p);
	p->downtime_weight = DEFAULT_DOWNTIME_WEIGHT;
	p->stranded_weight = DEFAULT_STRANDED_WEIGHT;
	p->retry_percent = DEFAULT_RETRY_PERCENT;
	p->eject_percent = DEFAULT_EJECT_PERCENT;
}

static Cs__Resource *
new_resource (char *name, Cs__Resource__SpecCase kind)
{
	Cs__Resource *r = cs_alloc (sizeof *r);
	cs__resource__init (r);
	if (name)
		r->name = name;
	r->spec_case = kind;
	return r;
}

Cs__Resource *
model_group_resource (flat_model_group_t *f)
{
	Cs__Resource *r = new_resource (f->name, CS__RESOURCE__SPEC_MODEL_GROUP);
	r->model_group = cs_alloc (sizeof *r->model_group);
	*r->model_group = f->spec;
	return r;
}

Cs__Resource *
service_resource (flat_service_t *f)
{
	Cs__Resource *r = new_resource (f->name, CS__RESOURCE__SPEC_SERVICE);
	bool is_plain = f->kind && !strcmp (f->kind, "plain");
	f->spec.kind = is_plain ? CS__SERVICE_KIND__SERVICE_PLAIN : CS__SERVICE_KIND__SERVICE_MODEL;
	free (f->kind);
	f->kind = NULL;
	r->service = cs_alloc (sizeof *r->service);
	*r->service = f->spec;
	return r;
}

Cs__Resource *
team_resource (flat_team_t *f)
{
	Cs__Resource *r = new_resource (f->name, CS__RESOURCE__SPEC_TEAM);
	r->team = cs_alloc (sizeof *r->team);
	*r->team = f->spec;
	r->team->limits = cs_alloc (sizeof *r->team->limits);
	*r->team->limits = f->limits;
	return r;
}

Cs__Resource *
policy_resource (const Cs__Policy *p)
{
	Cs__Resource *r = new_resource (cs_str_dup (cs_str ("default")), CS__RESOURCE__SPEC_POLICY);
	r->policy = cs_alloc (sizeof *r->policy);
	*r->policy = *p;
	return r;
}
