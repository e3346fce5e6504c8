#include "cs/engine.h"

#include "cached_reports.h"
#include "task.h"

enum {
	ANSWER_MEMORY_BYTES = 8 << 20 /* of 32 MB for a daemon, which has 16 MB when idle */
};

static cs_status_t
init (cs_task_t *task)
{
	cs_engine_t *e = task->state;
	e->task = task;
	cs_answer_memory_init (&e->answer_memory, ANSWER_MEMORY_BYTES);
	return cs_http_init (&e->http, task->kernel->loop);
}

static void
start (cs_task_t *task)
{
	cs_engine_t *e = task->state;
	e->gateway = cs_task_find (task->kernel, "gateway");
	e->control = cs_task_find (task->kernel, "control");
}

static void
receive (cs_task_t *task, cs_msg_t *m)
{
	cs_engine_t *e = task->state;
	switch (m->kind) {
	case CS_MSG_DISPATCH:
		cs_attempt_start (e, (cs_dispatch_msg_t *)m);
		break;
	case CS_MSG_CANCEL:
		cs_attempt_cancel (e, ((cs_request_msg_t *)m)->request);
		break;
	case CS_MSG_FLOW:
		if (m->from == task)
			cs_attempt_delivered (e, ((cs_flow_msg_t *)m)->request);
		else
			cs_attempt_pause (e, ((cs_flow_msg_t *)m)->request,
					  ((cs_flow_msg_t *)m)->paused);
		break;
	case CS_MSG_WAITING:
		cs_answer_memory_charge (&e->answer_memory, &e->waiting_bytes,
					 ((cs_waiting_msg_t *)m)->bytes);
		break;
	case CS_MSG_POLL_VM:
		cs_poll_start (e, (cs_poll_msg_t *)m);
		break;
	case CS_MSG_ORDER:
		cs_order_start (e, (cs_order_msg_t *)m);
		break;
	default:
		break;
	}
}

static void
finish (cs_task_t *task)
{
	cs_engine_t *e = task->state;
	cs_http_finish (&e->http);
	cs_cached_reports_finish (&e->cached_reports);
}

cs_plugin_t cs_engine_plugin = {
	.name = "engine",
	.state_size = sizeof (cs_engine_t),
	.init = init,
	.start = start,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&cs_engine_plugin);
}
