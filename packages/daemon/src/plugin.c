/* Plug-in "control": dispatches the messages of the control task and runs its timers. */
#include <signal.h>

#include <sodium.h>

#include "control.h"

static const double fast_interval_s = 0.1;
static const double slow_interval_s = CS_TICK_MS / 1000.0;

/* Runs before each message or timer, which may change the evidence on the groups: marks the
 * router's targets as out of date. */
static void
begin_iteration (control_t *c, int64_t now)
{
	c->targets_current = false;
	cs_evidence_tick (&c->evidence, now);
}

static void
on_fast (struct ev_loop *loop, ev_timer *w, int events)
{
	control_t *c = w->data;
	int64_t now = cs_now_ms ();
	(void)loop;
	(void)events;
	begin_iteration (c, now);
	if (now - c->polled_ms >= CS_EVIDENCE_POLL_MS) {
		c->polled_ms = now;
		zone_poll (c, now);
	}
	membership_decide (c, now);
	targets_update (c, now);
	protect_tick (c, now);
	serve_tick (c, now);
	operate_tick (c, now);
	streams_flush (c);
	drain_tick (c, now);
}

static void
on_slow (struct ev_loop *loop, ev_timer *w, int events)
{
	control_t *c = w->data;
	int64_t now = cs_now_ms ();
	(void)loop;
	(void)events;
	begin_iteration (c, now);
	membership_tick (c, now);
	homes_tick (c, now);
	catch_up_tick (c, now);
	configure (c, now);
	membership_heartbeats (c, now);
	targets_update_serving (c, now);
	zone_plan (c, now);
	streams_snapshots (c, now);
	streams_flush (c);
}

static void
on_signal (struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	drain_begin (w->data);
}

static cs_status_t
init (cs_task_t *task)
{
	control_t *c = task->state;
	c->task = task;
	c->settings = task->kernel->settings;
	randombytes_buf (&c->own_incarnation, sizeof c->own_incarnation);
	membership_init (c);
	streams_init (c);
	return CS_OK;
}

static void
start_timer (control_t *c, ev_timer *t, void (*callback) (struct ev_loop *, ev_timer *, int),
	     double interval_s)
{
	ev_timer_init (t, callback, interval_s, interval_s);
	t->data = c;
	ev_timer_start (c->task->kernel->loop, t);
}

static void
start_signal (control_t *c, ev_signal *w, int signal_number)
{
	ev_signal_init (w, on_signal, signal_number);
	w->data = c;
	ev_signal_start (c->task->kernel->loop, w);
}

static void
start (cs_task_t *task)
{
	control_t *c = task->state;
	c->platform = cs_task_find (task->kernel, "platform");
	c->engine = cs_task_find (task->kernel, "engine");
	c->gateway = cs_task_find (task->kernel, "gateway");
	c->peer = cs_task_find (task->kernel, "peer");
	start_timer (c, &c->fast_timer, on_fast, fast_interval_s);
	start_timer (c, &c->slow_timer, on_slow, slow_interval_s);
	start_signal (c, &c->terminate, SIGTERM);
	start_signal (c, &c->interrupt, SIGINT);
	streams_start (c);
}

static void
receive (cs_task_t *task, cs_msg_t *msg)
{
	control_t *c = task->state;
	begin_iteration (c, cs_now_ms ());
	switch (msg->kind) {
	case CS_MSG_ADMIT:
		serve_admit (c, ((cs_request_msg_t *)msg)->request);
		break;
	case CS_MSG_CALLER_DISCONNECTED:
		serve_caller_disconnected (c, ((cs_request_msg_t *)msg)->request);
		break;
	case CS_MSG_DRAINED:
		c->drained = true;
		break;
	case CS_MSG_ATTEMPT_END:
		serve_attempt_end (c, (cs_attempt_end_msg_t *)msg);
		break;
	case CS_MSG_VM_REPORT:
		zone_report (c, (cs_report_msg_t *)msg);
		break;
	case CS_MSG_ORDER_RESULT:
		zone_order_result (c, (cs_order_result_msg_t *)msg);
		break;
	case CS_MSG_RECORDS:
		streams_records (c, (cs_records_msg_t *)msg);
		break;
	case CS_MSG_APPENDED:
		streams_appended (c, (cs_appended_msg_t *)msg);
		break;
	case CS_MSG_VMS:
		zone_vms (c, (cs_vms_msg_t *)msg);
		break;
	case CS_MSG_PEER_RECEIVED:
		membership_received (c, (cs_peer_received_msg_t *)msg);
		break;
	default:
		break;
	}
	streams_flush (c);
}

static void
finish (cs_task_t *task)
{
	control_t *c = task->state;
	struct ev_loop *loop = task->kernel->loop;
	ev_timer_stop (loop, &c->fast_timer);
	ev_timer_stop (loop, &c->slow_timer);
	ev_signal_stop (loop, &c->terminate);
	ev_signal_stop (loop, &c->interrupt);
	operate_finish (c);
	serve_finish (c);
	cs_offers_finish (&c->offers);
	streams_finish (c);
	if (c->vms)
		cs_ref_put (&c->vms->msg.ref);
	cs_planner_finish (&c->planner);
	cs_evidence_finish (&c->evidence);
	cs_groups_finish (&c->groups);
	cs_poison_finish (&c->poison);
	cs_config_finish (&c->config);
	cs_detector_finish (&c->detector);
	cs_members_finish (&c->members);
	cs_router_finish (&c->router);
	cs_limits_finish (&c->limits);
	cs_claimant_finish (&c->claimant);
	cs_claim_home_finish (&c->claim_home);
}

static cs_plugin_t plugin = {
	.name = "control",
	.state_size = sizeof (control_t),
	.init = init,
	.start = start,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&plugin);
}
