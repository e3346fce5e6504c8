/* Reads the values of a TOML table into a C structure and reports invalid keys and values. */
#include <stdlib.h>
#include <string.h>

#include "cs/toml.h"

typedef struct {
	const cs_toml_doc_t *doc;
	const char *where;
	cs_findings_t *findings;
} field_reader_t;

static const char *const kind_descriptions[] = {
	[CS_FIELD_STRING] = "a string",
	[CS_FIELD_U32] = "a whole number",
	[CS_FIELD_U64] = "a whole number",
	[CS_FIELD_DOUBLE] = "a number",
	[CS_FIELD_BOOL] = "true or false",
	[CS_FIELD_STRINGS] = "an array of strings",
	[CS_FIELD_SKIP] = "",
};

static const cs_field_t *
find_field (const cs_field_t *fields, size_t n, cs_str_t key)
{
	for (size_t i = 0; i < n; i++)
		if (cs_str_is (key, fields[i].key))
			return &fields[i];
	return NULL;
}

static void
add_kind_finding (const field_reader_t *r, const cs_toml_node_t *value, const cs_field_t *field)
{
	cs_findings_add (r->findings, cs_toml_file (r->doc), cs_toml_line (value),
			 cs_toml_column (value), "%s: \"%s\" must be %s", r->where, field->key,
			 kind_descriptions[field->kind]);
}

static bool
check_range (const field_reader_t *r, const cs_toml_node_t *value, const cs_field_t *field,
	     double number)
{
	if ((field->min == 0 && field->max == 0 && number >= 0) ||
	    (number >= field->min && number <= field->max))
		return true;
	if (field->max == 0)
		cs_findings_add (r->findings, cs_toml_file (r->doc), cs_toml_line (value),
				 cs_toml_column (value), "%s: \"%s\" must not be below %.15g",
				 r->where, field->key, field->min);
	else
		cs_findings_add (r->findings, cs_toml_file (r->doc), cs_toml_line (value),
				 cs_toml_column (value), "%s: \"%s\" must be from %.15g to %.15g",
				 r->where, field->key, field->min, field->max);
	return false;
}

static void
read_string (const field_reader_t *r, const cs_toml_node_t *value, const cs_field_t *field,
	     char *out)
{
	cs_str_t s = cs_toml_string (value);
	if ((double)s.n < field->min || memchr (s.p, 0, s.n)) {
		cs_findings_add (r->findings, cs_toml_file (r->doc), cs_toml_line (value),
				 cs_toml_column (value), "%s: \"%s\" must not be empty", r->where,
				 field->key);
		return;
	}
	char *copy = cs_str_dup (s);
	memcpy (out, &copy, sizeof copy);
}

static void
read_strings (const field_reader_t *r, const cs_toml_node_t *value, const cs_field_t *field,
	      char *out)
{
	size_t n = cs_toml_size (value);
	char **list = cs_alloc ((n + 1) * sizeof *list);
	size_t n_read = 0;
	for (size_t i = 0; i < n; i++) {
		const cs_toml_node_t *element = cs_toml_at (value, i);
		if (cs_toml_kind (element) != CS_TOML_STRING)
			add_kind_finding (r, element, field);
		else
			list[n_read++] = cs_str_dup (cs_toml_string (element));
	}
	memcpy (out + field->offset, &list, sizeof list);
	memcpy (out + field->count_offset, &n_read, sizeof n_read);
}

static void
store_u32 (char *out, uint32_t value)
{
	memcpy (out, &value, sizeof value);
}

static void
store_u64 (char *out, uint64_t value)
{
	memcpy (out, &value, sizeof value);
}

static bool
kind_matches (cs_field_kind_t expected, cs_toml_kind_t actual)
{
	switch (expected) {
	case CS_FIELD_STRING:
		return actual == CS_TOML_STRING;
	case CS_FIELD_U32:
	case CS_FIELD_U64:
		return actual == CS_TOML_INTEGER;
	case CS_FIELD_DOUBLE:
		return actual == CS_TOML_INTEGER || actual == CS_TOML_FLOAT;
	case CS_FIELD_BOOL:
		return actual == CS_TOML_BOOLEAN;
	case CS_FIELD_STRINGS:
		return actual == CS_TOML_ARRAY;
	case CS_FIELD_SKIP:
		return true;
	}
	return false;
}

static void
read_field (const field_reader_t *r, const cs_toml_node_t *value, const cs_field_t *field,
	    char *out)
{
	if (!kind_matches (field->kind, cs_toml_kind (value))) {
		add_kind_finding (r, value, field);
		return;
	}
	double number = cs_toml_float (value);
	switch (field->kind) {
	case CS_FIELD_STRING:
		read_string (r, value, field, out + field->offset);
		break;
	case CS_FIELD_U32:
		if (check_range (r, value, field, number) &&
		    check_range (r, value, &(cs_field_t){.key = field->key, .max = UINT32_MAX},
				 number))
			store_u32 (out + field->offset, (uint32_t)cs_toml_integer (value));
		break;
	case CS_FIELD_U64:
		if (check_range (r, value, field, number))
			store_u64 (out + field->offset, (uint64_t)cs_toml_integer (value));
		break;
	case CS_FIELD_DOUBLE:
		if (check_range (r, value, field, number))
			memcpy (out + field->offset, &number, sizeof number);
		break;
	case CS_FIELD_BOOL:
		store_u32 (out + field->offset, cs_toml_boolean (value));
		break;
	case CS_FIELD_STRINGS:
		read_strings (r, value, field, out);
		break;
	case CS_FIELD_SKIP:
		break;
	}
}

void
cs_toml_read_fields (const cs_toml_doc_t *doc, const cs_toml_node_t *table, const char *where,
		     const cs_field_t *fields, size_t n, void *out, cs_findings_t *findings)
{
	field_reader_t r = {doc, where, findings};
	for (size_t i = 0; i < cs_toml_size (table); i++) {
		int line = 0;
		int column = 0;
		cs_str_t key = cs_toml_key_at (table, i, &line, &column);
		const cs_field_t *field = find_field (fields, n, key);
		if (!field) {
			cs_findings_add (findings, cs_toml_file (doc), line, column,
					 "%s: unknown key \"%.*s\"", where, CS_STR_ARG (key));
			continue;
		}
		read_field (&r, cs_toml_get (table, field->key), field, out);
	}
	for (size_t i = 0; i < n; i++)
		if (fields[i].required && !cs_toml_get (table, fields[i].key))
			cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (table),
					 cs_toml_column (table), "%s: \"%s\" is missing", where,
					 fields[i].key);
}
