/* Field lists of each kind of resource, shared by the TOML reader and the JSON conversion. */
#ifndef CS_RESOURCE_FIELDS_H
#define CS_RESOURCE_FIELDS_H

#include "cs/resource.pb-c.h"
#include "cs/toml.h"

/* One structure for each TOML table, so that a field list can address all keys of the table by
 * offset. In the resource's message, the same values are spread over nested messages. */
typedef struct {
	char *name;
	Cs__ModelGroup spec;
} flat_model_group_t;

typedef struct {
	char *name;
	char *kind; /* "model" or "plain" */
	Cs__Service spec;
} flat_service_t;

typedef struct {
	char *name;
	Cs__Limits limits;
	Cs__Team spec;
} flat_team_t;

typedef struct {
	const cs_field_t *items;
	size_t n;
} field_list_t;

extern const field_list_t model_group_fields; /* of flat_model_group_t */
extern const field_list_t service_fields;     /* of flat_service_t */
extern const field_list_t backend_fields;     /* of Cs__Backend */
extern const field_list_t route_fields;       /* of Cs__ProtectedRoute */
extern const field_list_t team_fields;        /* of flat_team_t */
extern const field_list_t policy_fields;      /* of Cs__Policy */

/* Set the defaults of optional keys. cs_policy_init does so for the policy. */
void model_group_init (flat_model_group_t *f);
void service_init (flat_service_t *f);
void team_init (flat_team_t *f);

/* Allocate a resource that takes ownership of what the flat structure owns; name may be NULL.
 * The caller frees it with cs__resource__free_unpacked. */
Cs__Resource *model_group_resource (flat_model_group_t *f);
Cs__Resource *service_resource (flat_service_t *f);
Cs__Resource *team_resource (flat_team_t *f);
Cs__Resource *policy_resource (const Cs__Policy *p);

#endif
