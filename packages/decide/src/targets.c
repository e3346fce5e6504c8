#include "cs/targets.h"

void
cs_targets_service_name (cs_buf_t *out, const char *service, cs_str_t model)
{
	cs_buf_clear (out);
	cs_buf_printf (out, "%s/%.*s", service, CS_STR_ARG (model));
}

/* Sets name to the router's name of what the back end serves, and the fields of info that depend on
 * whether it serves alone or as the head of a group. */
static void
set_service (cs_target_info_t *info, cs_buf_t *name, cs_fleet_t *fleet, const cs_serving_t *serving,
	     const cs_backend_t *b)
{
	const cs_serving_service_t *service = cs_serving_find_service (serving, b->service);
	bool in_groups = service && service->n_models;
	cs_targets_service_name (name, b->service, cs_str (in_groups ? b->model : ""));
	info->service = name->p;
	if (in_groups) {
		const cs_serving_model_t *model = cs_serving_find_model (service, b->model);
		info->max_concurrent = service->slots;
		info->fence = b->epoch;
		info->serving = model && cs_fleet_is_group_complete (fleet, b, model->group_size);
		/* Without its engine's times, a service's requests are placed by count. */
		if (cs_serving_has_large_groups (service) && service->engine.step_ms > 0)
			info->engine = &service->engine;
		info->pace = model ? model->pace : 0;
	} else {
		info->max_concurrent = b->slots;
		info->fence = b->born;
		info->serving = true;
	}
}

static bool
is_listed (void *data, const char *name)
{
	return cs_fleet_find (data, name) != NULL;
}

bool
cs_targets_is_evacuated (const cs_fleet_t *fleet, const cs_evacuation_t *evacuation,
			 const cs_backend_t *b)
{
	if (!evacuation->n_evacuated)
		return false;
	for (const cs_evacuated_zone_t *z = evacuation->zones; z; z = z->hh.next)
		if (z->is_evacuated && cs_fleet_is_in_zone (fleet, b, z->zone))
			return true;
	return false;
}

int64_t
cs_targets_update (cs_router_t *r, int64_t now_ms, cs_fleet_t *fleet, const cs_serving_t *serving,
		   const cs_evacuation_t *evacuation)
{
	int64_t next_return_ms = 0;
	cs_buf_t name;
	cs_buf_init (&name);
	cs_router_retain_targets (r, is_listed, fleet);
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (fleet, e));) {
		const cs_backend_t *b = e->backend;
		int64_t until_ms = cs_fleet_turned_away_until_ms (fleet, b->id);
		bool turned_away = until_ms > now_ms;
		cs_target_info_t info = {
			.name = b->id,
			.zone = b->zone,
			.version = "",
			.leaving = b->draining || turned_away,
			.reachable = true,
		};
		set_service (&info, &name, fleet, serving, b);
		info.evacuated = cs_targets_is_evacuated (fleet, evacuation, b);
		if (turned_away && (!next_return_ms || until_ms < next_return_ms))
			next_return_ms = until_ms;
		cs_router_set_target (r, now_ms, &info);
	}
	cs_buf_finish (&name);
	return next_return_ms;
}
