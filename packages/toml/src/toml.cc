// C interface to toml++; see cs/toml.h.
extern "C" {
#include "cs/toml.h"
}

#include <fstream>
#include <sstream>
#include <string>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

struct cs_toml_doc {
	toml::table root;
	std::string file;
};

static const toml::node *
to_node (const cs_toml_node_t *n)
{
	return reinterpret_cast<const toml::node *> (n);
}

static const cs_toml_node_t *
to_handle (const toml::node *n)
{
	return reinterpret_cast<const cs_toml_node_t *> (n);
}

cs_status_t
cs_toml_parse (cs_toml_doc_t **doc, cs_str_t text, const char *file, cs_findings_t *findings)
{
	*doc = nullptr;
	try {
		auto d = new cs_toml_doc;
		d->file = file;
		try {
			d->root = toml::parse (std::string_view (text.p, text.n), d->file);
		} catch (...) {
			delete d;
			throw;
		}
		*doc = d;
		return CS_OK;
	} catch (const toml::parse_error &e) {
		const auto &at = e.source ().begin;
		cs_findings_add (findings, file, (int)at.line, (int)at.column, "%s",
				 std::string (e.description ()).c_str ());
		return cs_fail (CS_INVALID, "%s is not well-formed TOML", file);
	}
}

cs_status_t
cs_toml_load (cs_toml_doc_t **doc, const char *path, cs_findings_t *findings)
{
	std::ifstream in (path, std::ios::binary);
	if (!in) {
		*doc = nullptr;
		cs_findings_add (findings, path, 0, 0, "the file cannot be read");
		return cs_fail (CS_INVALID, "%s cannot be read", path);
	}
	std::ostringstream text;
	text << in.rdbuf ();
	std::string s = text.str ();
	return cs_toml_parse (doc, cs_str_n (s.data (), s.size ()), path, findings);
}

void
cs_toml_free (cs_toml_doc_t *doc)
{
	delete doc;
}

const cs_toml_node_t *
cs_toml_root (const cs_toml_doc_t *doc)
{
	return to_handle (&doc->root);
}

const char *
cs_toml_file (const cs_toml_doc_t *doc)
{
	return doc->file.c_str ();
}

cs_toml_kind_t
cs_toml_kind (const cs_toml_node_t *n)
{
	switch (to_node (n)->type ()) {
	case toml::node_type::table:
		return CS_TOML_TABLE;
	case toml::node_type::array:
		return CS_TOML_ARRAY;
	case toml::node_type::string:
		return CS_TOML_STRING;
	case toml::node_type::integer:
		return CS_TOML_INTEGER;
	case toml::node_type::floating_point:
		return CS_TOML_FLOAT;
	case toml::node_type::boolean:
		return CS_TOML_BOOLEAN;
	default:
		return CS_TOML_OTHER;
	}
}

int
cs_toml_line (const cs_toml_node_t *n)
{
	return (int)to_node (n)->source ().begin.line;
}

int
cs_toml_column (const cs_toml_node_t *n)
{
	return (int)to_node (n)->source ().begin.column;
}

const cs_toml_node_t *
cs_toml_get (const cs_toml_node_t *table, const char *key)
{
	auto t = to_node (table)->as_table ();
	return t ? to_handle (t->get (key)) : nullptr;
}

size_t
cs_toml_size (const cs_toml_node_t *n)
{
	if (auto t = to_node (n)->as_table ())
		return t->size ();
	if (auto a = to_node (n)->as_array ())
		return a->size ();
	return 0;
}

const cs_toml_node_t *
cs_toml_at (const cs_toml_node_t *array, size_t i)
{
	auto a = to_node (array)->as_array ();
	return a ? to_handle (a->get (i)) : nullptr;
}

cs_str_t
cs_toml_key_at (const cs_toml_node_t *table, size_t i, int *line, int *column)
{
	auto it = to_node (table)->as_table ()->cbegin ();
	std::advance (it, (std::ptrdiff_t)i);
	const toml::key &k = it->first;
	*line = (int)k.source ().begin.line;
	*column = (int)k.source ().begin.column;
	return cs_str_n (k.str ().data (), k.str ().size ());
}

cs_str_t
cs_toml_string (const cs_toml_node_t *n)
{
	auto s = to_node (n)->as_string ();
	return s ? cs_str_n (s->get ().data (), s->get ().size ()) : cs_str ("");
}

int64_t
cs_toml_integer (const cs_toml_node_t *n)
{
	auto v = to_node (n)->as_integer ();
	return v ? v->get () : 0;
}

double
cs_toml_float (const cs_toml_node_t *n)
{
	auto v = to_node (n)->as_floating_point ();
	return v ? v->get () : (double)cs_toml_integer (n);
}

bool
cs_toml_boolean (const cs_toml_node_t *n)
{
	auto v = to_node (n)->as_boolean ();
	return v && v->get ();
}
