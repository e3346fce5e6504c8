/* Resolves a request to the declared service or model group that serves it, or refuses it. */
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	DEFAULT_IDLE_TIMEOUT_MS = 10000
};

/* Finds the model group whose model or one of whose adapters has the name. Sets *adapter to the
 * adapter, or to "" if the name is that of the model. */
static const cs_resource_t *
find_model_group (const control_t *c, cs_str_t model, const char **adapter)
{
	*adapter = "";
	for (const cs_resource_t *r = NULL;
	     (r = cs_config_next (&c->config, CS_KIND_MODEL_GROUP, r));) {
		const Cs__ModelGroup *g = r->resource->model_group;
		if (cs_str_is (model, g->model))
			return r;
		for (size_t k = 0; k < g->n_adapters; k++) {
			if (!cs_str_is (model, g->adapters[k]))
				continue;
			*adapter = g->adapters[k];
			return r;
		}
	}
	return NULL;
}

static bool
resolve_model (control_t *c, job_t *j)
{
	const cs_request_t *r = j->request;
	const char *adapter = "";
	const cs_resource_t *s = cs_config_get (&c->config, CS_KIND_SERVICE, r->model);
	const char *group = NULL;
	j->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	if (s && s->resource->service->kind == CS__SERVICE_KIND__SERVICE_MODEL) {
		group = s->resource->service->model_group;
		if (s->resource->service->timeout_ms)
			j->idle_timeout_ms = s->resource->service->timeout_ms;
	} else {
		const cs_resource_t *g = find_model_group (c, r->model, &adapter);
		group = g ? g->resource->name : NULL;
	}
	if (!group) {
		job_refuse (c, j, 404, "unknown-model", job_outcome (j), 0,
			    "no model, adapter or model service has the requested name");
		return false;
	}
	j->service = cs_str_dup (cs_str (group));
	j->adapter = cs_str_dup (cs_str (adapter));
	j->is_model_group = true;
	j->is_protected = r->non_idempotent;
	return true;
}

/* True if the service declares the method and a prefix of the path as protected: such a request
 * must not run twice. */
static bool
is_protected_route (const Cs__Service *s, const cs_request_t *r)
{
	for (size_t i = 0; i < s->n_protected_routes; i++) {
		const Cs__ProtectedRoute *p = s->protected_routes[i];
		if (cs_str_is (r->method, p->method) && cs_str_starts (r->path, p->path_prefix))
			return true;
	}
	return false;
}

static bool
resolve_plain (control_t *c, job_t *j)
{
	const cs_request_t *r = j->request;
	const cs_resource_t *s = cs_config_get (&c->config, CS_KIND_SERVICE, r->service);
	if (!s || s->resource->service->kind != CS__SERVICE_KIND__SERVICE_PLAIN) {
		job_refuse (c, j, 404, "unknown-service", job_outcome (j), 0,
			    "no plain service with the requested name is declared");
		return false;
	}
	const Cs__Service *spec = s->resource->service;
	j->service = cs_str_dup (cs_str (s->resource->name));
	j->adapter = cs_str_dup (cs_str (""));
	j->idle_timeout_ms = spec->timeout_ms ? spec->timeout_ms : DEFAULT_IDLE_TIMEOUT_MS;
	j->is_protected = r->non_idempotent || is_protected_route (spec, r);
	return true;
}

/* True if the team lists no services, or lists the resolved service or model group or the model
 * name in the request. */
static bool
team_may_use_service (const Cs__Team *t, const cs_request_t *r, const char *service)
{
	if (!t->n_services)
		return true;
	for (size_t i = 0; i < t->n_services; i++)
		if (!strcmp (t->services[i], service) || cs_str_is (r->model, t->services[i]))
			return true;
	return false;
}

bool
resolve (control_t *c, job_t *j)
{
	const cs_request_t *r = j->request;
	const cs_resource_t *team = cs_config_get (&c->config, CS_KIND_TEAM, r->team);
	if (!team) {
		job_refuse (c, j, 403, "unknown-team", job_outcome (j), 0,
			    "the caller's team is not declared");
		return false;
	}
	if (!(r->service.n ? resolve_plain (c, j) : resolve_model (c, j)))
		return false;
	j->priority = team->resource->team->priority;
	if (!team_may_use_service (team->resource->team, r, j->service)) {
		job_refuse (c, j, 403, "service-not-allowed", job_outcome (j), 0,
			    "the caller's team may not use this service");
		return false;
	}
	if (j->is_protected && !r->key.n) {
		job_refuse (c, j, 400, "idempotency-key-required", job_outcome (j), 0,
			    "this request may run only once and needs an Idempotency-Key");
		return false;
	}
	return true;
}
