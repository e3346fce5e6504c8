/* Request targets: normalization and routes. */
#ifndef CS_GATEWAY_PATH_H
#define CS_GATEWAY_PATH_H

#include "cs/status.h"
#include "cs/str.h"

typedef enum {
	CS_ROUTE_NONE,
	CS_ROUTE_CHAT,     /* POST /v1/chat/completions */
	CS_ROUTE_MODELS,   /* GET /v1/models */
	CS_ROUTE_SERVICE,  /* any method /services/NAME/... */
	CS_ROUTE_OPERATOR, /* any method /apis/... */
	CS_ROUTE_HEALTH,   /* GET /healthz */
	CS_ROUTE_READY,    /* GET /readyz */
	CS_ROUTE_METRICS   /* GET /metrics */
} cs_route_kind_t;

typedef struct {
	cs_route_kind_t kind;
	const char *method; /* the only one allowed; NULL: any */
	cs_str_t service;   /* NAME of /services/NAME/ */
	cs_str_t path;      /* with the query, as forwarded */
	cs_str_t query;
} cs_route_t;

/* Appends the normalized origin-form target, equal for equivalent targets (RFC 3986, section
 * 6.2.2): unreserved characters unescaped, escapes in upper case. Targets that back
 * ends might read as another path are CS_INVALID: dot segments, empty segments
 * before the last one, spaces and control characters, malformed escapes. */
cs_status_t cs_path_normalize (cs_str_t target, cs_buf_t *out);
/* Returns the route of a normalized target; its views point into the target. */
cs_route_t cs_path_find_route (cs_str_t target);

#endif
