/* The router's targets: single back ends, and the heads of complete groups. */
#include <string.h>

#include "forward.h"

void
cs_targets_service_name (cs_buf_t *out, const char *service, cs_str_t model)
{
	cs_buf_clear (out);
	cs_buf_printf (out, "%s/%.*s", service, CS_STR_ARG (model));
}

static void
set_target (cs_forward_t *f, const cs_backend_t *b, const char *service, uint32_t slots,
	    uint64_t fence, bool serving)
{
	int64_t until_ms = cs_fleet_turned_away_until_ms (&f->fleet, b->id);
	bool turned_away = until_ms > cs_now_ms ();
	if (turned_away && (!f->next_return_ms || until_ms < f->next_return_ms))
		f->next_return_ms = until_ms;
	const cs_target_info_t info = {
		.name = b->id,
		.service = service,
		.zone = b->zone,
		.version = "",
		.fence = fence,
		.max_concurrent = slots,
		.serving = serving,
		.leaving = b->draining || turned_away,
		.reachable = true,
	};
	cs_router_set_target (&f->router, cs_now_ms (), &info);
}

static void
refresh_target (cs_forward_t *f, const cs_backend_t *b)
{
	const cs_serving_service_t *service = cs_serving_find_service (f->serving, b->service);
	cs_buf_t name;
	cs_buf_init (&name);
	if (service && service->n_models) {
		const cs_serving_model_t *model = cs_serving_find_model (service, b->model);
		bool is_complete =
			model && cs_fleet_is_group_complete (&f->fleet, b, model->group_size);
		cs_targets_service_name (&name, b->service, cs_str (b->model));
		set_target (f, b, name.p, service->slots, b->epoch, is_complete);
	} else {
		cs_targets_service_name (&name, b->service, cs_str (""));
		set_target (f, b, name.p, b->slots, b->born, true);
	}
	cs_buf_finish (&name);
}

static bool
is_listed (void *data, const char *name)
{
	const cs_forward_t *f = data;
	return cs_fleet_find (&f->fleet, name) != NULL;
}

void
cs_targets_refresh (cs_forward_t *f)
{
	bool returned = f->next_return_ms && cs_now_ms () >= f->next_return_ms;
	if ((!f->targets_stale && !returned) || !f->serving)
		return;
	f->targets_stale = false;
	f->next_return_ms = 0;
	cs_router_retain_targets (&f->router, is_listed, f);
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));)
		refresh_target (f, e->backend);
}
