/* Updates the router's targets: groups of the zone, plain back ends and other zones' offers. */
#include <string.h>

#include "control.h"

enum {
	MAX_SERVING = 4096 /* serving groups in all zones */
};

static void
set_group_target (control_t *c, const cs_group_t *g, int64_t now)
{
	const cs_resource_t *r =
		cs_config_get (&c->config, CS_KIND_MODEL_GROUP, cs_str (g->model_group));
	cs_group_verdict_t v = cs_evidence_judge (&c->evidence, g, now);
	cs_target_info_t t = {
		.name = g->group,
		.service = g->model_group,
		.zone = c->settings->zone,
		.version = g->version,
		.fence = g->fence,
		.serving = v.whole,
		.leaving = v.reason == CS_GROUP_LEAVING,
		.reachable = true,
	};
	if (r) {
		const Cs__ModelGroup *spec = r->resource->model_group;
		t.adapters = (const char *const *)spec->adapters;
		t.n_adapters = spec->n_adapters;
		t.max_concurrent = spec->max_concurrent;
	}
	cs_router_set_target (&c->router, now, &t);
	if (cs_evidence_group_lost (&c->evidence, &v, now) &&
	    cs_router_in_flight (&c->router, g->group))
		attempt_member_lost (c, g->group, g->fence);
}

/* True if the VM list marks the VM with the back end's URL as leaving. */
static bool
is_backend_leaving (const control_t *c, const char *url)
{
	for (size_t i = 0; c->vms && i < c->vms->n; i++)
		if (!strcmp (c->vms->vms[i].url, url))
			return c->vms->vms[i].leaving;
	return false;
}

static void
set_backend_targets (control_t *c, const cs_resource_t *r, int64_t now)
{
	const Cs__Service *s = r->resource->service;
	for (size_t i = 0; i < s->n_backends; i++) {
		cs_buf_t name = {0};
		cs_buf_printf (&name, "%s/%s", r->resource->name, s->backends[i]->name);
		cs_target_info_t t = {
			.name = name.p,
			.service = r->resource->name,
			.zone = s->backends[i]->zone,
			.version = "",
			.serving = !cs_evidence_list_stale (&c->evidence, now),
			.leaving = is_backend_leaving (c, s->backends[i]->url),
			.reachable = true,
		};
		cs_router_set_target (&c->router, now, &t);
		cs_buf_finish (&name);
	}
}

/* True while the target's group, offer or back end exists; the router removes other targets. */
static bool
target_exists (void *arg, const char *name)
{
	const control_t *c = arg;
	cs_str_t rest = cs_str (name);
	cs_str_t service = cs_str_split (&rest, '/');
	const cs_resource_t *r = cs_config_get (&c->config, CS_KIND_SERVICE, service);
	if (cs_groups_find (&c->groups, name) || cs_offers_find (&c->offers, name))
		return true;
	for (size_t i = 0; r && i < r->resource->service->n_backends; i++)
		if (cs_str_is (rest, r->resource->service->backends[i]->name))
			return true;
	return false;
}

void
targets_update (control_t *c, int64_t now)
{
	c->targets_current = true;
	offers_targets (c, now);
	cs_router_retain_targets (&c->router, target_exists, c);
	for (const cs_group_t *g = NULL; (g = cs_groups_next (&c->groups, g));)
		set_group_target (c, g, now);
	for (const cs_resource_t *r = NULL; (r = cs_config_next (&c->config, CS_KIND_SERVICE, r));)
		if (r->resource->service->kind == CS__SERVICE_KIND__SERVICE_PLAIN)
			set_backend_targets (c, r, now);
}

void
targets_update_serving (control_t *c, int64_t now)
{
	const char *names[MAX_SERVING];
	size_t n = 0;
	for (const cs_group_t *g = NULL; (g = cs_groups_next (&c->groups, g)) && n < MAX_SERVING;)
		if (cs_evidence_judge (&c->evidence, g, now).whole)
			names[n++] = g->group;
	for (const cs_offer_t *o = c->offers.fresh; o && n < MAX_SERVING; o = o->hh.next)
		if (cs_offer_fresh (o, now))
			names[n++] = o->group;
	cs_poison_update_serving (&c->poison, now, names, n);
}
