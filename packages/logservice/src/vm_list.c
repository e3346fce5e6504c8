/* Polls the platform's VM list (Prometheus HTTP service discovery). If the platform supports
 * entity tags, it answers 304 without a body while the list is unchanged. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

enum {
	IDLE_MS = 3000
};

static const double poll_interval_s = 1.0;

static const char *
label (const json_t *labels, const char *key)
{
	const char *v = json_string_value (json_object_get (labels, key));
	return v ? v : "";
}

static char *
dup_text (const char *z)
{
	return cs_str_dup (cs_str (z));
}

static void
add_vm (cs_vms_msg_t *m, const json_t *entry, const char *zone)
{
	const json_t *labels = json_object_get (entry, "labels");
	const char *target =
		json_string_value (json_array_get (json_object_get (entry, "targets"), 0));
	if (!target || !*label (labels, "vm") || strcmp (label (labels, "zone"), zone) != 0)
		return;
	cs_buf_t url = {0};
	cs_buf_printf (&url, "http://%s", target);
	m->vms[m->n++] = (cs_vm_entry_t){
		.vm = dup_text (label (labels, "vm")),
		.zone = dup_text (zone),
		.fabric_domain = dup_text (label (labels, "fabric_domain")),
		.url = url.p,
		.accelerators = (uint32_t)strtoul (label (labels, "accelerators"), NULL, 10),
		.leaving = !strcmp (label (labels, "state"), "leaving"),
	};
}

static cs_vms_msg_t *
parse_vm_list (const vm_list_t *l)
{
	json_error_t error;
	cs_vms_msg_t *m = cs_vms_msg ();
	json_t *list = json_loadb (l->body.p ? l->body.p : "", l->body.n, 0, &error);
	if (!json_is_array (list)) {
		json_decref (list);
		m->status = CS_UNAVAILABLE;
		return m;
	}
	m->vms = cs_alloc ((json_array_size (list) + 1) * sizeof *m->vms);
	for (size_t i = 0; i < json_array_size (list); i++)
		add_vm (m, json_array_get (list, i), l->platform->settings->zone);
	json_decref (list);
	return m;
}

static void
on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	vm_list_t *l = call->data;
	cs_etag_header (&l->etag, name, value);
}

static void
on_body (cs_http_call_t *call, cs_str_t bytes)
{
	vm_list_t *l = call->data;
	cs_buf_add (&l->body, bytes);
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	vm_list_t *l = call->data;
	l->busy = false;
	l->open_new_connection = end != CS_HTTP_DONE;
	if (l->platform->finishing)
		return;
	cs_vms_msg_t *m = NULL;
	if (end == CS_HTTP_DONE && status == 200) {
		m = parse_vm_list (l);
		if (m->status == CS_OK)
			cs_etag_commit (&l->etag);
	} else {
		m = cs_vms_msg ();
		m->unchanged = end == CS_HTTP_DONE && status == 304;
		m->status = m->unchanged ? CS_OK : CS_UNAVAILABLE;
	}
	m->read_started_ms = l->sent_ms;
	cs_task_t *control = cs_task_find (l->platform->task->kernel, "control");
	cs_send (l->platform->task, control, &m->msg);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	vm_list_t *l = w->data;
	(void)loop;
	(void)events;
	if (l->busy)
		return;
	cs_buf_clear (&l->body);
	cs_etag_begin (&l->etag);
	l->headers[0] = cs_etag_request_header (&l->etag);
	l->sent_ms = cs_now_ms ();
	l->call = (cs_http_call_t){
		.method = "GET",
		.url = cs_str (l->platform->settings->vm_list_url),
		.headers = l->headers,
		.idle_timeout_ms = IDLE_MS,
		.total_timeout_ms = IDLE_MS,
		.needs_new_connection = l->open_new_connection,
		.on_header = on_header,
		.on_body = on_body,
		.on_end = on_end,
		.data = l,
	};
	l->busy = cs_http_start (&l->platform->http, &l->call) == CS_OK;
}

void
platform_vm_list_start (platform_t *p)
{
	vm_list_t *l = &p->vm_list;
	l->platform = p;
	ev_timer_init (&l->timer, on_timer, 0, poll_interval_s);
	l->timer.data = l;
	ev_timer_start (p->task->kernel->loop, &l->timer);
}

void
platform_vm_list_finish (platform_t *p)
{
	ev_timer_stop (p->task->kernel->loop, &p->vm_list.timer);
	cs_buf_finish (&p->vm_list.body);
	cs_etag_finish (&p->vm_list.etag);
}
