/* Loads of the heads of large groups: what answers tell of them goes to the other daemons, and
 * comes back from these. */
#include "cs/targets.h"
#include "forward.h"

enum {
	MAX_LOAD = UINT16_MAX,
	STATUS_OK = 200
};

static uint16_t
at_most (uint32_t n)
{
	return n < MAX_LOAD ? (uint16_t)n : MAX_LOAD;
}

static void
pass_on (cs_forward_t *f)
{
	cs_task_t *store = cs_task_find (f->task->kernel, "store");
	cs_buf_t loads;
	cs_buf_init (&loads);
	cs_load_board_encode (&f->loads, cs_now_ms (), 0, true, SIZE_MAX, &loads);
	if (loads.n && store)
		cs_send (f->task, store,
			 &cs_ledger_msg (CS_HOST_LOADS, 0, cs_buf_str (&loads), CS_OK)->msg);
	cs_buf_finish (&loads);
}

/* Overload control goes by the loads of all heads. */
static void
tell_queue (cs_forward_t *f, int64_t now_ms, const cs_backend_t *b)
{
	if (b->state != CS_MEMBERSHIP_OPEN)
		return;
	const cs_load_t *seen =
		cs_load_board_take_new (&f->loads, now_ms, cs_load_target (b->id, b->epoch));
	if (!seen)
		return;
	cs_buf_t service;
	cs_buf_init (&service);
	cs_targets_service_name (&service, b->service, cs_str (b->model));
	cs_queue_record_board (f, service.p, seen->seen_ms, seen->running, seen->waiting,
			       cs_router_max_concurrent (&f->router, b->id), seen->delay_ms);
	cs_buf_finish (&service);
}

void
cs_loads_record_first_event (const cs_backend_request_t *s)
{
	cs_forward_t *f = s->call->forward;
	if (!cs_router_has_engine (&f->router, s->backend_id))
		return;
	cs_router_record_first_event (&f->router, s->backend_id, s->sent_ms);
	/* A refusal comes at once, whatever the load. */
	if (!s->has_load || s->status != STATUS_OK)
		return;
	const cs_load_t seen = {.target = cs_load_target (s->backend_id, s->incarnation),
				.running = at_most (s->running),
				.waiting = at_most (s->waiting),
				.delay_ms = cs_router_delay_ms (&f->router, s->backend_id,
								&s->call->size,
								(s->first_us - s->sent_us) / 1000),
				.is_own = true,
				.seen_ms = s->load_ms};
	cs_router_record_seen (&f->router, s->backend_id, &seen);
	if (!cs_load_board_record (&f->loads, &seen))
		return;
	const cs_backend_t *b = cs_fleet_find (&f->fleet, s->backend_id);
	if (b)
		tell_queue (f, cs_now_ms (), b);
	pass_on (f);
}

void
cs_loads_receive (cs_forward_t *f, const cs_ledger_msg_t *m)
{
	int64_t now = cs_now_ms ();
	if (!cs_load_board_merge (&f->loads, now, cs_buf_str (&m->bytes)))
		return;
	cs_router_record_board (&f->router, now, &f->loads);
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));)
		tell_queue (f, now, e->backend);
}
