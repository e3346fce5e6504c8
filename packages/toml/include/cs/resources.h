/* Resources as operators declare them: parsed from TOML files into protobuf messages, and
 * converted to and from the JSON of the operators' API. Keys are the same in TOML and JSON. */
#ifndef CS_RESOURCES_H
#define CS_RESOURCES_H

#include <jansson.h>

#include "cs/findings.h"
#include "cs/resource.pb-c.h"
#include "cs/status.h"

/* One declared resource and its position in the file. */
typedef struct {
	Cs__Resource *resource;
	char *file; /* path as the user gave it; heap */
	int line;
	int column;
	int ref_line; /* of the value of zones, model_group or services; else of the table */
	int ref_column;
} cs_declaration_t;

/* The declarations of a set of files. */
typedef struct {
	cs_declaration_t *items;
	size_t n;
	size_t cap;
} cs_resources_t;

void cs_resources_init (cs_resources_t *r);
void cs_resources_finish (cs_resources_t *r);
/* Adds the declarations of one file. Every error becomes a finding: syntax, unknown keys,
 * wrong types, values out of range, missing keys, names declared twice (also in files
 * parsed before). CS_INVALID if there is any. Unless the syntax is wrong, each resource that
 * has a name not declared before is added, also if it has findings. */
cs_status_t cs_resources_parse (cs_resources_t *r, cs_str_t text, const char *file,
				cs_findings_t *findings);
/* Adds a finding for each reference to a model group or service that is neither declared in r
 * nor among the n existing resources. CS_INVALID if there is any. */
cs_status_t cs_resources_check_references (const cs_resources_t *r, Cs__Resource *const *existing,
					   size_t n, cs_findings_t *findings);

/* Adds a finding for each zone of a model group that is not in the scope of the change, which
 * is the given zones, or all zones if n_zones is 0. Resources equal to one of the n existing
 * ones are not part of the change and are skipped. CS_INVALID if there is any finding. */
cs_status_t cs_resources_check_scope (const cs_resources_t *r, Cs__Resource *const *existing,
				      size_t n, const char *const *zones, size_t n_zones,
				      cs_findings_t *findings);
/* True if two resources have the same name, kind and spec. */
bool cs_resource_equal (const Cs__Resource *a, const Cs__Resource *b);

/* Sets the default policy, which applies where the operators declare no other value. */
void cs_policy_init (Cs__Policy *policy);
/* "model_group", "service", "team" or "policy"; "" if the resource has no spec. */
const char *cs_resource_kind (const Cs__Resource *resource);
/* {"kind":..,"name":..,"spec":{..}}; the caller releases it with json_decref. */
json_t *cs_resource_to_json (const Cs__Resource *resource);
/* Reads the form that cs_resource_to_json writes. CS_INVALID, with *resource NULL, if the
 * document does not describe a resource. The caller frees *resource with
 * cs__resource__free_unpacked (*resource, NULL). */
cs_status_t cs_resource_from_json (Cs__Resource **resource, const json_t *json);

#endif
