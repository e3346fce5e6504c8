/* TOML documents (parsed by toml++) and the reading of their tables into C structures.
 * Every error becomes a finding with file, line and column. */
#ifndef CS_TOML_H
#define CS_TOML_H

#include "cs/findings.h"
#include "cs/status.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
	CS_TOML_TABLE,
	CS_TOML_ARRAY,
	CS_TOML_STRING,
	CS_TOML_INTEGER,
	CS_TOML_FLOAT,
	CS_TOML_BOOLEAN,
	CS_TOML_OTHER /* dates and times */
} cs_toml_kind_t;

typedef struct cs_toml_doc cs_toml_doc_t;
/* A node of a document, owned by the document and valid until cs_toml_free. */
typedef struct cs_toml_node cs_toml_node_t;

/* Parses text; file names its source in findings. A syntax error adds one finding and returns
 * CS_INVALID with *doc NULL. The caller frees *doc with cs_toml_free. */
cs_status_t cs_toml_parse (cs_toml_doc_t **doc, cs_str_t text, const char *file,
			   cs_findings_t *findings);
/* Reads and parses a file; CS_INVALID and a finding also if the file cannot be read. */
cs_status_t cs_toml_load (cs_toml_doc_t **doc, const char *path, cs_findings_t *findings);
void cs_toml_free (cs_toml_doc_t *doc);

const cs_toml_node_t *cs_toml_root (const cs_toml_doc_t *doc);
const char *cs_toml_file (const cs_toml_doc_t *doc);
cs_toml_kind_t cs_toml_kind (const cs_toml_node_t *node);
int cs_toml_line (const cs_toml_node_t *node);
int cs_toml_column (const cs_toml_node_t *node);
/* The value of a key; NULL if it is absent or the node is not a table. */
const cs_toml_node_t *cs_toml_get (const cs_toml_node_t *table, const char *key);
/* Number of entries of a table or array; 0 for other nodes. */
size_t cs_toml_size (const cs_toml_node_t *node);
const cs_toml_node_t *cs_toml_at (const cs_toml_node_t *array, size_t i);
/* Key of the i-th entry of a table, with its line and column from 1. Points into the document. */
cs_str_t cs_toml_key_at (const cs_toml_node_t *table, size_t i, int *line, int *column);
cs_str_t cs_toml_string (const cs_toml_node_t *node);
int64_t cs_toml_integer (const cs_toml_node_t *node);
double cs_toml_float (const cs_toml_node_t *node);
bool cs_toml_boolean (const cs_toml_node_t *node);

/* Type of a key's value, and the C type in which it is stored. */
typedef enum {
	CS_FIELD_STRING,  /* char *, heap */
	CS_FIELD_U32,     /* uint32_t */
	CS_FIELD_U64,     /* uint64_t */
	CS_FIELD_DOUBLE,  /* double; integers are accepted too */
	CS_FIELD_BOOL,    /* protobuf_c_boolean or int: 4 bytes */
	CS_FIELD_STRINGS, /* char **, heap as are its strings; size_t count at count_offset */
	CS_FIELD_SKIP     /* accepted, but read by the caller */
} cs_field_kind_t;

typedef struct {
	const char *key;
	cs_field_kind_t kind;
	bool required;
	double min;          /* least number, or least length of a string in bytes */
	double max;          /* greatest number; 0 with min 0: no upper bound */
	size_t offset;       /* of the value in the structure, in bytes */
	size_t count_offset; /* of the count, for CS_FIELD_STRINGS only */
} cs_field_t;

/* Reads a table into the structure at out, to which the n fields' offsets refer. Keys not in
 * the list, wrong types, values out of range and missing required keys become findings, in
 * which where names the table. Absent and invalid values leave their member as it was; an
 * array of strings is stored without its elements of other types. */
void cs_toml_read_fields (const cs_toml_doc_t *doc, const cs_toml_node_t *table, const char *where,
			  const cs_field_t *fields, size_t n, void *out, cs_findings_t *findings);

#ifdef __cplusplus
}
#endif

#endif
