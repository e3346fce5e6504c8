/* Parses declared resources from TOML. */
#include "cs/resources.h"

#include <stdlib.h>
#include <string.h>

#include "resource_check.h"
#include "resource_fields.h"

/* Reads one table. Errors become findings; never returns NULL. The caller owns the resource. */
typedef Cs__Resource *(*table_reader_t) (const table_context_t *ctx);

void
cs_resources_init (cs_resources_t *r)
{
	memset (r, 0, sizeof *r);
}

void
cs_resources_finish (cs_resources_t *r)
{
	for (size_t i = 0; i < r->n; i++) {
		cs__resource__free_unpacked (r->items[i].resource, NULL);
		free (r->items[i].file);
	}
	free (r->items);
	cs_resources_init (r);
}

const char *
cs_resource_kind (const Cs__Resource *resource)
{
	switch (resource->spec_case) {
	case CS__RESOURCE__SPEC_MODEL_GROUP:
		return "model_group";
	case CS__RESOURCE__SPEC_SERVICE:
		return "service";
	case CS__RESOURCE__SPEC_TEAM:
		return "team";
	case CS__RESOURCE__SPEC_POLICY:
		return "policy";
	default:
		return "";
	}
}

static void
read_table (const table_context_t *ctx, const field_list_t *fields, void *out)
{
	cs_toml_read_fields (ctx->doc, ctx->table, ctx->where, fields->items, fields->n, out,
			     ctx->findings);
}

static Cs__Resource *
read_model_group (const table_context_t *ctx)
{
	flat_model_group_t f;
	model_group_init (&f);
	read_table (ctx, &model_group_fields, &f);
	check_model_group (ctx, &f);
	return model_group_resource (&f);
}

/* The array under a key; NULL if the key is absent or, with a finding, of another type. */
static const cs_toml_node_t *
get_array (const table_context_t *ctx, const char *key)
{
	const cs_toml_node_t *n = cs_toml_get (ctx->table, key);
	if (!n || cs_toml_kind (n) == CS_TOML_ARRAY)
		return n;
	report_finding (ctx, key, "\"%s\" must be an array of tables", key);
	return NULL;
}

/* Sets *out to the context of the i-th table of an array; where names the table in findings.
 * False, with a finding, if the entry is not a table. */
static bool
get_table_entry (const table_context_t *ctx, const cs_toml_node_t *array, size_t i,
		 const char *where, table_context_t *out)
{
	*out = *ctx;
	out->table = cs_toml_at (array, i);
	out->where = where;
	if (cs_toml_kind (out->table) == CS_TOML_TABLE)
		return true;
	report_finding (out, NULL, "must be a table");
	return false;
}

static void
read_backends (const table_context_t *ctx, Cs__Service *s)
{
	table_context_t entry;
	const cs_toml_node_t *list = get_array (ctx, "backend");
	size_t n = list ? cs_toml_size (list) : 0;
	s->backends = cs_alloc ((n + 1) * sizeof (Cs__Backend *));
	for (size_t i = 0; i < n; i++) {
		if (!get_table_entry (ctx, list, i, "service.backend", &entry))
			continue;
		Cs__Backend *b = cs_alloc (sizeof *b);
		cs__backend__init (b);
		read_table (&entry, &backend_fields, b);
		check_backend (&entry, b, s);
		s->backends[s->n_backends++] = b;
	}
}

static void
read_routes (const table_context_t *ctx, Cs__Service *s)
{
	table_context_t entry;
	const cs_toml_node_t *list = get_array (ctx, "protected");
	size_t n = list ? cs_toml_size (list) : 0;
	s->protected_routes = cs_alloc ((n + 1) * sizeof (Cs__ProtectedRoute *));
	for (size_t i = 0; i < n; i++) {
		if (!get_table_entry (ctx, list, i, "service.protected", &entry))
			continue;
		Cs__ProtectedRoute *p = cs_alloc (sizeof *p);
		cs__protected_route__init (p);
		read_table (&entry, &route_fields, p);
		check_route (&entry, p);
		s->protected_routes[s->n_protected_routes++] = p;
	}
}

static Cs__Resource *
read_service (const table_context_t *ctx)
{
	flat_service_t f;
	service_init (&f);
	read_table (ctx, &service_fields, &f);
	read_backends (ctx, &f.spec);
	read_routes (ctx, &f.spec);
	check_service (ctx, &f);
	return service_resource (&f);
}

static Cs__Resource *
read_team (const table_context_t *ctx)
{
	flat_team_t f;
	team_init (&f);
	read_table (ctx, &team_fields, &f);
	check_team (ctx, &f);
	return team_resource (&f);
}

static Cs__Resource *
read_policy (const table_context_t *ctx)
{
	Cs__Policy p;
	cs_policy_init (&p);
	read_table (ctx, &policy_fields, &p);
	return policy_resource (&p);
}

static const cs_declaration_t *
find_declaration (const cs_resources_t *r, const Cs__Resource *resource)
{
	for (size_t i = 0; i < r->n; i++)
		if (r->items[i].resource->spec_case == resource->spec_case &&
		    !strcmp (r->items[i].resource->name, resource->name))
			return &r->items[i];
	return NULL;
}

/* The key by which a resource names other resources or zones. */
static const char *
reference_key (const Cs__Resource *resource)
{
	switch (resource->spec_case) {
	case CS__RESOURCE__SPEC_MODEL_GROUP:
		return "zones";
	case CS__RESOURCE__SPEC_SERVICE:
		return "model_group";
	default:
		return "services";
	}
}

/* Adds a resource, which r then owns. Frees it instead if it has no name, which was reported
 * already, or if its name is declared already, which is reported here. */
static void
add_declaration (cs_resources_t *r, const table_context_t *ctx, Cs__Resource *resource)
{
	const cs_declaration_t *first = *resource->name ? find_declaration (r, resource) : NULL;
	if (first)
		report_finding (ctx, "name", "\"%s\" is declared already at %s:%d", resource->name,
				first->file, first->line);
	if (first || !*resource->name) {
		cs__resource__free_unpacked (resource, NULL);
		return;
	}
	const cs_toml_node_t *ref = cs_toml_get (ctx->table, reference_key (resource));
	if (!ref)
		ref = ctx->table;
	r->items = cs_grow (r->items, &r->cap, r->n + 1, sizeof *r->items);
	r->items[r->n++] = (cs_declaration_t){
		resource,
		cs_str_dup (cs_str (cs_toml_file (ctx->doc))),
		cs_toml_line (ctx->table),
		cs_toml_column (ctx->table),
		cs_toml_line (ref),
		cs_toml_column (ref),
	};
}

static void
read_tables (cs_resources_t *r, const table_context_t *root, const char *key, table_reader_t reader)
{
	table_context_t ctx;
	const cs_toml_node_t *list = get_array (root, key);
	for (size_t i = 0; list && i < cs_toml_size (list); i++)
		if (get_table_entry (root, list, i, key, &ctx))
			add_declaration (r, &ctx, reader (&ctx));
}

cs_status_t
cs_resources_parse (cs_resources_t *r, cs_str_t text, const char *file, cs_findings_t *findings)
{
	static const cs_field_t root_items[] = {
		{"model_group", CS_FIELD_SKIP, false, 0, 0, 0, 0},
		{"service", CS_FIELD_SKIP, false, 0, 0, 0, 0},
		{"team", CS_FIELD_SKIP, false, 0, 0, 0, 0},
		{"policy", CS_FIELD_SKIP, false, 0, 0, 0, 0},
	};
	static const field_list_t root_fields = {root_items, 4};
	cs_toml_doc_t *doc;
	size_t n_before = findings->n;
	cs_status_t status = cs_toml_parse (&doc, text, file, findings);
	if (status != CS_OK)
		return status;
	table_context_t root = {doc, cs_toml_root (doc), "resources", findings};
	read_table (&root, &root_fields, NULL);
	read_tables (r, &root, "model_group", read_model_group);
	read_tables (r, &root, "service", read_service);
	read_tables (r, &root, "team", read_team);
	const cs_toml_node_t *policy = cs_toml_get (root.table, "policy");
	table_context_t ctx = {doc, policy, "policy", findings};
	if (policy && cs_toml_kind (policy) != CS_TOML_TABLE)
		report_finding (&ctx, NULL, "must be a table");
	else if (policy)
		add_declaration (r, &ctx, read_policy (&ctx));
	cs_toml_free (doc);
	if (findings->n != n_before)
		return cs_fail (CS_INVALID, "%s has %zu errors", file, findings->n - n_before);
	return CS_OK;
}
