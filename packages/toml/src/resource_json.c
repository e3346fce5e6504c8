/* Converts resources to and from the JSON of the operators' API. */
#include <stdlib.h>
#include <string.h>

#include "cs/resources.h"
#include "resource_fields.h"

static json_t *
strings_to_json (char *const *items, size_t n)
{
	json_t *list = json_array ();
	for (size_t i = 0; i < n; i++)
		json_array_append_new (list, json_string (items[i]));
	return list;
}

static json_t *
field_to_json (const cs_field_t *f, const void *in)
{
	const void *source = (const char *)in + f->offset;
	switch (f->kind) {
	case CS_FIELD_STRING:
		return json_string (*(char *const *)source);
	case CS_FIELD_U32:
		return json_integer (*(const uint32_t *)source);
	case CS_FIELD_U64:
		return json_integer ((json_int_t) * (const uint64_t *)source);
	case CS_FIELD_DOUBLE:
		return json_real (*(const double *)source);
	case CS_FIELD_BOOL:
		return json_boolean (*(const protobuf_c_boolean *)source);
	case CS_FIELD_STRINGS:
		return strings_to_json (*(char **const *)source,
					*(const size_t *)((const char *)in + f->count_offset));
	case CS_FIELD_SKIP:
		break;
	}
	return NULL;
}

/* Writes all fields to an object. The name of a resource is left out (with_name false), as it
 * is a sibling of "spec"; other tables have their name among their fields. */
static json_t *
fields_to_json (const field_list_t *fields, const void *in, bool with_name)
{
	json_t *object = json_object ();
	for (size_t i = 0; i < fields->n; i++) {
		const cs_field_t *f = &fields->items[i];
		if (f->kind == CS_FIELD_SKIP || (!with_name && !strcmp (f->key, "name")))
			continue;
		json_object_set_new (object, f->key, field_to_json (f, in));
	}
	return object;
}

static json_t *
service_to_json (const Cs__Service *s)
{
	bool is_plain = s->kind == CS__SERVICE_KIND__SERVICE_PLAIN;
	char kind[] = "model";
	if (is_plain)
		memcpy (kind, "plain", sizeof kind);
	flat_service_t flat = {NULL, kind, *s};
	json_t *object = fields_to_json (&service_fields, &flat, false);
	if (!is_plain)
		return object;
	json_object_del (object, "model_group");
	json_t *backends = json_array ();
	json_t *routes = json_array ();
	for (size_t i = 0; i < s->n_backends; i++)
		json_array_append_new (backends,
				       fields_to_json (&backend_fields, s->backends[i], true));
	for (size_t i = 0; i < s->n_protected_routes; i++)
		json_array_append_new (
			routes, fields_to_json (&route_fields, s->protected_routes[i], true));
	json_object_set_new (object, "backend", backends);
	json_object_set_new (object, "protected", routes);
	return object;
}

static json_t *
team_to_json (const Cs__Team *t)
{
	flat_team_t flat = {.name = NULL, .spec = *t};
	cs__limits__init (&flat.limits);
	if (t->limits)
		flat.limits = *t->limits;
	return fields_to_json (&team_fields, &flat, false);
}

static json_t *
spec_to_json (const Cs__Resource *r)
{
	flat_model_group_t group = {.name = NULL};
	switch (r->spec_case) {
	case CS__RESOURCE__SPEC_MODEL_GROUP:
		group.spec = *r->model_group;
		return fields_to_json (&model_group_fields, &group, false);
	case CS__RESOURCE__SPEC_SERVICE:
		return service_to_json (r->service);
	case CS__RESOURCE__SPEC_TEAM:
		return team_to_json (r->team);
	case CS__RESOURCE__SPEC_POLICY:
		return fields_to_json (&policy_fields, r->policy, false);
	default:
		return json_object ();
	}
}

json_t *
cs_resource_to_json (const Cs__Resource *r)
{
	return json_pack ("{s:s, s:s, s:o}", "kind", cs_resource_kind (r), "name", r->name, "spec",
			  spec_to_json (r));
}

static bool
read_strings (const json_t *value, char ***out, size_t *n)
{
	if (!json_is_array (value))
		return false;
	*out = cs_alloc ((json_array_size (value) + 1) * sizeof (char *));
	for (size_t i = 0; i < json_array_size (value); i++) {
		const char *s = json_string_value (json_array_get (value, i));
		if (!s)
			return false;
		(*out)[(*n)++] = cs_str_dup (cs_str (s));
	}
	return true;
}

static bool
in_range (const cs_field_t *f, double number)
{
	return number >= f->min && number <= f->max;
}

static bool
read_field (const cs_field_t *f, const json_t *value, void *out)
{
	char *target = (char *)out + f->offset;
	double number = 0;
	switch (f->kind) {
	case CS_FIELD_STRING:
		if (!json_is_string (value))
			return false;
		*(char **)target = cs_str_dup (cs_str (json_string_value (value)));
		return true;
	case CS_FIELD_U32:
		if (!json_is_integer (value) || !in_range (f, json_number_value (value)))
			return false;
		*(uint32_t *)target = (uint32_t)json_integer_value (value);
		return true;
	case CS_FIELD_U64:
		if (!json_is_integer (value) || !in_range (f, json_number_value (value)))
			return false;
		*(uint64_t *)target = (uint64_t)json_integer_value (value);
		return true;
	case CS_FIELD_DOUBLE:
		if (!json_is_number (value) || !in_range (f, json_number_value (value)))
			return false;
		number = json_number_value (value);
		memcpy (target, &number, sizeof number);
		return true;
	case CS_FIELD_BOOL:
		if (!json_is_boolean (value))
			return false;
		*(protobuf_c_boolean *)target = json_is_true (value);
		return true;
	case CS_FIELD_STRINGS:
		return read_strings (value, (char ***)target,
				     (size_t *)((char *)out + f->count_offset));
	case CS_FIELD_SKIP:
		break;
	}
	return true;
}

/* Reads the fields of an object; false on a wrong type, a value out of range or a missing
 * required key. with_name is false for a resource, whose name is a sibling of "spec". */
static bool
read_fields (const field_list_t *fields, const json_t *json, void *out, bool with_name)
{
	bool ok = json_is_object (json);
	for (size_t i = 0; i < fields->n; i++) {
		const cs_field_t *f = &fields->items[i];
		const json_t *value = json_object_get (json, f->key);
		if (!with_name && !strcmp (f->key, "name"))
			continue;
		ok = ok && (value ? read_field (f, value, out) : !f->required);
	}
	return ok;
}

static bool
read_backends (const json_t *list, Cs__Service *s)
{
	bool ok = true;
	s->backends = cs_alloc ((json_array_size (list) + 1) * sizeof (Cs__Backend *));
	for (size_t i = 0; i < json_array_size (list); i++) {
		Cs__Backend *b = cs_alloc (sizeof *b);
		cs__backend__init (b);
		s->backends[s->n_backends++] = b;
		ok = read_fields (&backend_fields, json_array_get (list, i), b, true) && ok;
	}
	return ok;
}

static bool
read_routes (const json_t *list, Cs__Service *s)
{
	bool ok = true;
	s->protected_routes = cs_alloc ((json_array_size (list) + 1) * sizeof (Cs__Backend *));
	for (size_t i = 0; i < json_array_size (list); i++) {
		Cs__ProtectedRoute *p = cs_alloc (sizeof *p);
		cs__protected_route__init (p);
		s->protected_routes[s->n_protected_routes++] = p;
		ok = read_fields (&route_fields, json_array_get (list, i), p, true) && ok;
	}
	return ok;
}

static bool
read_model_group (const json_t *spec, Cs__Resource **out)
{
	flat_model_group_t f;
	model_group_init (&f);
	bool ok = read_fields (&model_group_fields, spec, &f, false);
	*out = model_group_resource (&f);
	return ok;
}

static bool
read_service (const json_t *spec, Cs__Resource **out)
{
	flat_service_t f;
	service_init (&f);
	bool ok = read_fields (&service_fields, spec, &f, false);
	ok = read_backends (json_object_get (spec, "backend"), &f.spec) && ok;
	ok = read_routes (json_object_get (spec, "protected"), &f.spec) && ok;
	ok = ok && f.kind && (!strcmp (f.kind, "plain") || !strcmp (f.kind, "model"));
	*out = service_resource (&f);
	return ok;
}

static bool
read_team (const json_t *spec, Cs__Resource **out)
{
	flat_team_t f;
	team_init (&f);
	bool ok = read_fields (&team_fields, spec, &f, false);
	*out = team_resource (&f);
	return ok;
}

static bool
read_policy (const json_t *spec, Cs__Resource **out)
{
	Cs__Policy p;
	cs_policy_init (&p);
	bool ok = read_fields (&policy_fields, spec, &p, false);
	*out = policy_resource (&p);
	return ok;
}

cs_status_t
cs_resource_from_json (Cs__Resource **out, const json_t *json)
{
	static const struct {
		const char *kind;
		bool (*read) (const json_t *spec, Cs__Resource **out);
	} kinds[] = {
		{"model_group", read_model_group},
		{"service", read_service},
		{"team", read_team},
		{"policy", read_policy},
	};
	const char *kind = json_string_value (json_object_get (json, "kind"));
	const char *name = json_string_value (json_object_get (json, "name"));
	const json_t *spec = json_object_get (json, "spec");
	*out = NULL;
	if (!kind || !name || !*name)
		return cs_fail (CS_INVALID,
				"a resource must have a \"kind\" and a non-empty \"name\"");
	for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++) {
		if (strcmp (kind, kinds[i].kind) != 0)
			continue;
		bool ok = kinds[i].read (spec, out);
		if ((*out)->name != protobuf_c_empty_string)
			free ((*out)->name);
		(*out)->name = cs_str_dup (cs_str (name));
		if (ok)
			return CS_OK;
		cs__resource__free_unpacked (*out, NULL);
		*out = NULL;
		return cs_fail (
			CS_INVALID,
			"the \"spec\" of %s \"%s\" lacks a required key or holds an invalid value",
			kind, name);
	}
	return cs_fail (
		CS_INVALID,
		"unknown resource kind \"%s\": must be model_group, service, team or policy", kind);
}
