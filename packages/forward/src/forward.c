/* Messages, timers and graceful shutdown of the task. */
#include "forward.h"

#include <stdlib.h>
#include <string.h>

#include "cs/log.h"

enum {
	TICK_MS = 200,
	ZONE_PENALTY_REQUESTS = 1, /* the latency to another zone of the region is a few ms */
	MAX_REPORT_AGE_MS =
		1500,      /* requests last about 1 s, so older reports describe other requests */
	SLOW_START_MS = 1, /* effectively off: a group is ready when it opens */
	EJECT_PERCENT = 20 /* of a service's back ends that may be ejected as slow */
};

static void
exit_when_drained (cs_forward_t *f)
{
	size_t in_progress = f->callers.in_progress;
	cs_stop_phase_t phase =
		cs_stop_phase (f->stopping_ms, cs_now_ms (), f->host->grace_ms, in_progress);
	if (phase != CS_STOP_EXIT || f->stopped)
		return;
	f->stopped = true;
	/* Requests that have arrived are read first. */
	cs_server_run_last (&f->callers);
	for (cs_call_t *c = f->calls; c; c = c->next)
		cs_call_end_at_exit (c);
	cs_server_run_last (&f->callers);
	cs_log_event ("daemon", "stopped", "in_progress=%zu after_ms=%lld", in_progress,
		      (long long)(cs_now_ms () - f->stopping_ms));
	cs_kernel_stop (f->task->kernel);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_forward_t *f = w->data;
	int64_t now = cs_now_ms ();
	(void)loop;
	(void)events;
	f->cold.is_stale = true;
	if (cs_fleet_remove_expired (&f->fleet, now))
		f->targets_stale = true;
	cs_router_update_ejections (&f->router, now);
	cs_suspects_remove_stale (&f->suspects, now);
	cs_load_board_remove_old (&f->loads, now);
	cs_crashes_tick (f, now);
	cs_notes_claim_repeats (f);
	cs_queue_tick (f, now);
	if (cs_stop_phase (f->stopping_ms, now, f->host->grace_ms, 1) >= CS_STOP_REFUSING)
		cs_bodies_refuse_waiting (f);
	cs_bodies_tick (f, now);
	cs_replies_tick (f, now);
	exit_when_drained (f);
}

static cs_retry_limits_t
retry_limits (const cs_host_t *host)
{
	return (cs_retry_limits_t){host->retry_ratio, host->retry_slack, host->retry_window_ms};
}

static cs_status_t
init (cs_task_t *task)
{
	cs_forward_t *f = task->state;
	f->task = task;
	f->host = task->kernel->settings;
	f->names = f->host->adapter->headers;
	uint64_t seed = (uint64_t)cs_now_us ();
	const cs_router_options_t router = {.policy = CS_ROUTE_TWO_CHOICES,
					    .zone = f->host->zone,
					    .seed = seed,
					    .slow_start_ms = SLOW_START_MS,
					    .max_report_age_ms = MAX_REPORT_AGE_MS,
					    .zone_penalty = ZONE_PENALTY_REQUESTS,
					    .eject_percent = EJECT_PERCENT};
	const cs_retry_limits_t retry = retry_limits (f->host);
	cs_fleet_init (&f->fleet);
	cs_evacuation_init (&f->evacuation);
	cs_cold_init (f);
	cs_suspects_init (&f->suspects);
	cs_load_board_init (&f->loads);
	cs_answer_timeout_init (&f->answer_timeout);
	cs_notices_init (&f->notices);
	cs_notes_init (f);
	cs_crashes_init (f);
	cs_bodies_init (f);
	cs_router_init (&f->router, &router);
	cs_retry_budget_init (&f->retry_budget, &retry, seed, f->host->first_start, cs_now_ms ());
	cs_rng_init (&f->rng, seed);
	cs_queue_init (f);
	ev_timer_init (&f->tick, on_tick, TICK_MS / 1000., TICK_MS / 1000.);
	f->tick.data = f;
	cs_status_t status = cs_http_init (&f->client, task->kernel->loop);
	if (status == CS_OK)
		status = cs_listener_start (f);
	return status == CS_OK ? cs_monitoring_start (f) : status;
}

static void
start (cs_task_t *task)
{
	cs_forward_t *f = task->state;
	ev_timer_start (task->kernel->loop, &f->tick);
}

static void
apply_backend (cs_forward_t *f, const cs_backend_msg_t *m)
{
	f->cold.is_stale = true;
	if (!cs_backend_msg_apply (m, &f->fleet))
		return;
	f->targets_stale = true;
	const cs_backend_t *b = m->backend;
	cs_log_event (
		"list", b ? "back_end" : "back_end_gone",
		"id=%s state=%s group=%s epoch=%llu rank=%u membership=%s domain=%s staged=%s",
		m->id, b && b->draining ? "draining" : "ready", b ? b->group : "",
		b ? (unsigned long long)b->epoch : 0, b ? b->rank : 0,
		b ? cs_member_state_name (b->state) : "-", b ? b->domain : "", b ? b->staged : "");
}

static void
receive (cs_task_t *task, cs_msg_t *m)
{
	cs_forward_t *f = task->state;
	const cs_state_msg_t *state = (const cs_state_msg_t *)m;
	const cs_backend_said_msg_t *said = (const cs_backend_said_msg_t *)m;
	const cs_ledger_msg_t *note = (const cs_ledger_msg_t *)m;
	cs_retry_limits_t retry;
	switch (m->kind) {
	case CS_HOST_SERVING:
		cs_serving_msg_apply ((cs_serving_msg_t *)m, &f->serving);
		cs_listener_set_limits (f);
		f->targets_stale = true;
		break;
	case CS_HOST_BACKEND:
		apply_backend (f, (cs_backend_msg_t *)m);
		break;
	case CS_HOST_LIST_STATE:
		if (state->is_true && !f->list_read)
			f->cold.list_read_ms = cs_now_ms ();
		f->list_read |= state->is_true;
		if (!state->is_true && !f->list_unreachable)
			f->list_lost_ms = cs_now_ms ();
		f->list_unreachable = !state->is_true;
		cs_fleet_set_list_reachable (&f->fleet, cs_now_ms (), state->is_true);
		cs_log_event ("list", state->is_true ? "regained" : "lost", "back_ends=%u",
			      (unsigned)HASH_COUNT (f->fleet.entries));
		break;
	case CS_HOST_CONFIG_BEHIND:
		f->config_behind = state->is_true;
		break;
	case CS_HOST_NOTE:
		cs_notes_receive (f, note);
		break;
	case CS_HOST_EVACUATION:
		cs_zones_receive (f, (const cs_zone_msg_t *)m);
		break;
	case CS_HOST_COLD_SHARE:
		cs_cold_receive (f, (const cs_cold_share_msg_t *)m);
		break;
	case CS_HOST_LOADS:
		cs_loads_receive (f, note);
		break;
	case CS_HOST_LEAVING:
		cs_said_leaving (f, said->id, said->born);
		break;
	case CS_HOST_TURNED_AWAY:
		cs_said_turned_away (f, said->id, said->born, said->until_ms);
		break;
	case CS_HOST_REFUSED_CAUSE:
		cs_crashes_receive_kept (f, (cs_crash_msg_t *)m);
		break;
	case CS_HOST_SETTINGS_CHANGED:
		retry = retry_limits (f->host);
		cs_retry_budget_set_limits (&f->retry_budget, &retry, cs_now_ms ());
		break;
	case CS_HOST_STOP:
		if (!f->stopping_ms)
			f->stopping_ms = cs_now_ms ();
		break;
	default:
		break;
	}
}

static void
finish (cs_task_t *task)
{
	cs_forward_t *f = task->state;
	ev_timer_stop (task->kernel->loop, &f->tick);
	cs_http_finish (&f->client);
	cs_listener_stop (f);
	cs_monitoring_stop (f);
	cs_queue_finish (f);
	cs_router_finish (&f->router);
	cs_suspects_finish (&f->suspects);
	cs_load_board_finish (&f->loads);
	cs_notes_finish (f);
	cs_crashes_finish (f);
	cs_answer_timeout_finish (&f->answer_timeout);
	cs_retry_budget_finish (&f->retry_budget);
	cs_fleet_finish (&f->fleet);
	cs_evacuation_finish (&f->evacuation);
	cs_cold_finish (f);
	if (f->serving)
		cs_ref_put (&f->serving->ref);
}

cs_plugin_t cs_forward_plugin = {
	.name = "forward",
	.profile = CS_PROFILE_HOSTED,
	.state_size = sizeof (cs_forward_t),
	.init = init,
	.start = start,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&cs_forward_plugin);
}
