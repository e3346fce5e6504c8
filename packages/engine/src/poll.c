/* Polls engine members for their reports. */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cached_reports.h"
#include "task.h"

enum {
	POLL_TIMEOUT_MS = 2000,
	MAX_REPORT_BYTES = 64 << 10 /* longest report */
};

struct cs_poll {
	cs_http_call_t call;
	cs_engine_t *engine;
	char *vm;
	cs_buf_t url;
	cs_buf_t body;
	cs_cached_report_t *cached; /* in_use until the poll ends */
	const char *headers[2];
	int64_t sent_ms;
	bool is_retry; /* second try, on a new connection */
	UT_hash_handle hh;
};

static void send_poll (cs_poll_t *p);

static cs_vm_state_t
parse_state (const char *name)
{
	static const char *const names[] = {
		[CS_VM_IDLE] = "idle",
		[CS_VM_LOADING] = "loading",
		[CS_VM_READY] = "ready",
	};
	for (int i = CS_VM_IDLE; i <= CS_VM_READY; i++)
		if (!strcmp (name, names[i]))
			return (cs_vm_state_t)i;
	return CS_VM_UNREACHABLE;
}

/* Fills in the message from the JSON report. Leaves the state at CS_VM_UNREACHABLE if the report
 * is malformed or names another VM. */
static void
parse_report (cs_report_msg_t *m, const cs_buf_t *body)
{
	const char *vm, *state, *group = "", *model = "";
	json_int_t fence = 0;
	int running = 0, queued = 0;
	json_t *root = json_loadb (body->n ? body->p : "", body->n, 0, NULL);
	if (root &&
	    !json_unpack (root, "{s:s, s:s, s?s, s?I, s?s, s?i, s?i}", "vm", &vm, "state", &state,
			  "group", &group, "fence", &fence, "model", &model, "running", &running,
			  "queued", &queued) &&
	    !strcmp (vm, m->vm)) {
		m->state = parse_state (state);
		m->group = cs_str_dup (cs_str (group));
		m->model = cs_str_dup (cs_str (model));
		m->fence = fence > 0 ? (uint64_t)fence : 0;
		m->running = running > 0 ? (uint32_t)running : 0;
		m->queued = queued > 0 ? (uint32_t)queued : 0;
		cs_poll_parse_cache_events (m, json_object_get (root, "cache"));
	}
	json_decref (root);
}

static void
on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	cs_poll_t *p = call->data;
	cs_etag_header (&p->cached->etag, name, value);
}

static void
on_body (cs_http_call_t *call, cs_str_t bytes)
{
	cs_poll_t *p = call->data;
	if (p->body.n + bytes.n > MAX_REPORT_BYTES)
		cs_http_cancel (call);
	else
		cs_buf_add (&p->body, bytes);
}

/* Returns the report: the body of a 200, which is cached, or the cached one after a 304. NULL if
 * the answer is neither. The cache owns the buffer. */
static const cs_buf_t *
report_body (cs_poll_t *p, cs_http_end_t end, int status)
{
	cs_cached_report_t *r = p->cached;
	if (end != CS_HTTP_DONE)
		return NULL;
	if (status == 304 && cs_etag_request_header (&r->etag))
		return &r->body;
	if (status != 200)
		return NULL;
	cs_etag_commit (&r->etag);
	cs_buf_clear (&r->body);
	cs_buf_add (&r->body, cs_buf_str (&p->body));
	return &r->body;
}

static void
send_report (cs_poll_t *p, const cs_buf_t *body, bool refused)
{
	cs_engine_t *e = p->engine;
	cs_report_msg_t *m = cs_report_msg (p->vm);
	m->state = CS_VM_UNREACHABLE;
	m->poll_sent_ms = p->sent_ms;
	m->is_connection_refused = refused;
	if (body)
		parse_report (m, body);
	if (m->state == CS_VM_UNREACHABLE)
		cs_cached_report_invalidate (p->cached);
	if (!m->group)
		m->group = cs_str_dup (cs_str (""));
	if (!m->model)
		m->model = cs_str_dup (cs_str (""));
	cs_send (e->task, e->control, &m->msg);
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	cs_poll_t *p = call->data;
	bool may_be_stale_connection = end == CS_HTTP_TIMED_OUT || end == CS_HTTP_BROKEN;
	if (may_be_stale_connection && !p->is_retry) {
		p->is_retry = true;
		cs_cached_report_invalidate (p->cached);
		send_poll (p);
		return;
	}
	send_report (p, report_body (p, end, status), call->is_connection_refused);
	p->cached->in_use = false;
	HASH_DEL (p->engine->polls, p);
	cs_buf_finish (&p->url);
	cs_buf_finish (&p->body);
	free (p->vm);
	free (p);
}

static bool
is_poll_running (const cs_engine_t *e, const char *vm)
{
	cs_poll_t *p = NULL;
	HASH_FIND_STR (e->polls, vm, p);
	return p != NULL;
}

static void
add_poll (cs_engine_t *e, cs_poll_t *p)
{
	HASH_ADD_KEYPTR (hh, e->polls, p->vm, strlen (p->vm), p);
}

static cs_poll_t *
new_poll (cs_engine_t *e, const cs_poll_msg_t *m)
{
	cs_poll_t *p = cs_alloc (sizeof *p);
	p->engine = e;
	p->vm = cs_str_dup (cs_str (m->vm));
	cs_buf_printf (&p->url, "%s/v1/report", m->url);
	if (m->wants_cache)
		cs_buf_printf (&p->url, "?cache_after=%" PRIu64 "&cache_epoch=%" PRIu64,
			       m->cache_after, m->cache_epoch);
	p->cached = cs_cached_report_get (&e->cached_reports, p->vm, cs_buf_str (&p->url),
					  cs_now_ms ());
	p->cached->in_use = true;
	return p;
}

/* A pooled connection may be dead without having been closed, so the second try opens a new one. */
static void
send_poll (cs_poll_t *p)
{
	p->sent_ms = cs_now_ms ();
	cs_buf_clear (&p->body);
	cs_etag_begin (&p->cached->etag);
	p->headers[0] = cs_etag_request_header (&p->cached->etag);
	p->call = (cs_http_call_t){
		.method = "GET",
		.url = cs_buf_str (&p->url),
		.headers = p->headers,
		.connect_timeout_ms = POLL_TIMEOUT_MS,
		.idle_timeout_ms = POLL_TIMEOUT_MS,
		.total_timeout_ms = POLL_TIMEOUT_MS,
		.needs_new_connection = p->is_retry,
		.on_header = on_header,
		.on_body = on_body,
		.on_end = on_end,
		.data = p,
	};
	if (cs_http_start (&p->engine->http, &p->call) != CS_OK)
		on_end (&p->call, CS_HTTP_NOT_SENT, 0);
}

void
cs_poll_start (cs_engine_t *e, const cs_poll_msg_t *m)
{
	if (is_poll_running (e, m->vm))
		return;
	cs_poll_t *p = new_poll (e, m);
	add_poll (e, p);
	send_poll (p);
}
