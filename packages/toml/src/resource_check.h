/* Checks of declared resources beyond the type and range of one field. Each check adds its
 * findings to those of the context. */
#ifndef CS_RESOURCE_CHECK_H
#define CS_RESOURCE_CHECK_H

#include "resource_fields.h"

/* The table being read and the list that takes its findings. */
typedef struct {
	const cs_toml_doc_t *doc;
	const cs_toml_node_t *table;
	const char *where; /* names the table in findings */
	cs_findings_t *findings;
} table_context_t;

/* Adds a finding at the position of the key's value, or of the table if key is NULL or absent. */
void report_finding (const table_context_t *ctx, const char *key, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

void check_model_group (const table_context_t *ctx, const flat_model_group_t *f);
void check_service (const table_context_t *ctx, const flat_service_t *f);
/* Also checks that no back end already added to s has the name of b. b itself is not yet among
 * the back ends of s. */
void check_backend (const table_context_t *ctx, const Cs__Backend *b, const Cs__Service *s);
void check_route (const table_context_t *ctx, const Cs__ProtectedRoute *p);
void check_team (const table_context_t *ctx, const flat_team_t *f);

#endif
