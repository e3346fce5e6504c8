/* Plug-in "platform": HTTP clients of the log service and the platform's VM list. */
#include "internal.h"

static cs_status_t
init (cs_task_t *task)
{
	platform_t *p = task->state;
	p->task = task;
	p->settings = task->kernel->settings;
	return cs_http_init (&p->http, task->kernel->loop);
}

static void
start (cs_task_t *task)
{
	platform_vm_list_start (task->state);
}

static void
receive (cs_task_t *task, cs_msg_t *msg)
{
	platform_t *p = task->state;
	if (msg->kind == CS_MSG_FOLLOW) {
		cs_follow_msg_t *m = (cs_follow_msg_t *)msg;
		platform_follow (p, m->stream, m->offset);
	} else if (msg->kind == CS_MSG_APPEND) {
		platform_append (p, (cs_append_msg_t *)msg);
	}
}

static void
finish (cs_task_t *task)
{
	platform_t *p = task->state;
	p->finishing = true;
	cs_http_finish (&p->http);
	platform_vm_list_finish (p);
	platform_readers_finish (p);
	platform_appenders_finish (p);
}

static cs_plugin_t plugin = {
	.name = "platform",
	.state_size = sizeof (platform_t),
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
