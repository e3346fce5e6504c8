/* Updates the router's targets from the groups that other zones offer. */
#include "control.h"

void
offers_targets (control_t *c, int64_t now)
{
	cs_offers_expire (&c->offers, now);
	for (const cs_offer_t *o = c->offers.fresh; o; o = o->hh.next) {
		const cs_resource_t *r =
			cs_config_get (&c->config, CS_KIND_MODEL_GROUP, cs_str (o->model_group));
		cs_target_info_t t = {
			.name = o->group,
			.service = o->model_group,
			.zone = o->zone,
			.version = o->version,
			.fence = o->fence,
			.serving = true,
			.reachable = true,
		};
		if (r) {
			t.adapters = (const char *const *)r->resource->model_group->adapters;
			t.n_adapters = r->resource->model_group->n_adapters;
			t.max_concurrent = r->resource->model_group->max_concurrent;
		}
		cs_router_set_target (&c->router, now, &t);
	}
}
