/* Event loop, tasks and the message queue. */
#include "cs/kernel.h"

#include <stdlib.h>
#include <string.h>

#include "cs/str.h"

enum {
	MAX_DELIVERIES_PER_TURN = 1000 /* messages; sockets are served after each turn */
};

static cs_plugin_t *plugins;

void
cs_plugin_register (cs_plugin_t *plugin)
{
	cs_plugin_t **at = &plugins;
	while (*at && strcmp ((*at)->name, plugin->name) < 0)
		at = &(*at)->next;
	plugin->next = *at;
	*at = plugin;
}

static void
deliver_messages (cs_kernel_t *k)
{
	for (int i = 0; k->head && i < MAX_DELIVERIES_PER_TURN; i++) {
		cs_msg_t *m = k->head;
		k->head = m->next;
		if (!k->head)
			k->tail = NULL;
		m->to->plugin->receive (m->to, m);
		cs_ref_put (&m->ref);
	}
	if (k->head)
		ev_idle_start (k->loop, &k->no_wait);
	else
		ev_idle_stop (k->loop, &k->no_wait);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
	(void)loop;
	(void)events;
	deliver_messages (w->data);
}

/* The idle watcher only keeps the loop from waiting; see cs_kernel_t.no_wait. */
static void
on_idle (struct ev_loop *loop, ev_idle *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

void
cs_kernel_init (cs_kernel_t *k, const void *settings)
{
	cs_alloc_init ();
	memset (k, 0, sizeof *k);
	k->settings = settings;
	k->loop = ev_loop_new (EVFLAG_AUTO);
	ev_prepare_init (&k->deliver, on_prepare);
	k->deliver.data = k;
	ev_prepare_start (k->loop, &k->deliver);
	ev_idle_init (&k->no_wait, on_idle);
}

cs_status_t
cs_kernel_start (cs_kernel_t *k)
{
	cs_task_t **end = &k->tasks;
	for (cs_plugin_t *p = plugins; p; p = p->next) {
		if (p->profile != k->profile)
			continue;
		cs_task_t *t = cs_alloc (sizeof *t);
		t->kernel = k;
		t->plugin = p;
		t->state = cs_alloc (p->state_size);
		cs_status_t status = p->init (t);
		if (status != CS_OK) {
			free (t->state);
			free (t);
			return status;
		}
		*end = t;
		end = &t->next;
	}
	for (cs_task_t *t = k->tasks; t; t = t->next)
		if (t->plugin->start)
			t->plugin->start (t);
	return CS_OK;
}

void
cs_kernel_run (cs_kernel_t *k)
{
	ev_run (k->loop, 0);
}

void
cs_kernel_stop (cs_kernel_t *k)
{
	ev_break (k->loop, EVBREAK_ALL);
}

void
cs_kernel_finish (cs_kernel_t *k)
{
	for (cs_task_t *t = k->tasks; t; t = t->next)
		t->plugin->finish (t);
	while (k->head) {
		cs_msg_t *m = k->head;
		k->head = m->next;
		cs_ref_put (&m->ref);
	}
	while (k->tasks) {
		cs_task_t *t = k->tasks;
		k->tasks = t->next;
		free (t->state);
		free (t);
	}
	ev_prepare_stop (k->loop, &k->deliver);
	ev_idle_stop (k->loop, &k->no_wait);
	ev_loop_destroy (k->loop);
}

cs_task_t *
cs_task_find (cs_kernel_t *k, const char *name)
{
	for (cs_task_t *t = k->tasks; t; t = t->next)
		if (!strcmp (t->plugin->name, name))
			return t;
	return NULL;
}

void
cs_send (cs_task_t *from, cs_task_t *to, cs_msg_t *msg)
{
	if (!to) {
		cs_ref_put (&msg->ref);
		return;
	}
	cs_kernel_t *k = to->kernel;
	msg->from = from;
	msg->to = to;
	msg->next = NULL;
	if (k->tail)
		k->tail->next = msg;
	else
		k->head = msg;
	k->tail = msg;
}

void *
cs_msg_new (size_t size, int kind, void (*drop) (cs_ref_t *ref))
{
	cs_msg_t *m = cs_alloc (size);
	cs_ref_init (&m->ref, drop);
	m->kind = kind;
	return m;
}

void
cs_msg_free (cs_ref_t *ref)
{
	free (ref);
}

void
cs_timer_start_after (struct ev_loop *loop, ev_timer *w, int64_t ms)
{
	ev_timer_stop (loop, w);
	ev_timer_set (w, ms > 0 ? (double)ms / 1000. : 0., 0.);
	ev_timer_start (loop, w);
}
