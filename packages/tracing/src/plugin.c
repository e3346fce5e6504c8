/* Plug-in "tracing": exports ended spans to a collector, as OTLP over HTTP in JSON. Exporting never
 * delays a request: if the collector is slow, overloaded or unreachable, spans are dropped and
 * counted. */
#include "cs/tracing.h"

#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/http.h"
#include "cs/settings.h"
#include "cs/trace.h"

enum {
	MAX_QUEUED_SPANS = 2048, /* queue limit while a batch is in flight */
	BATCH_TIMEOUT_MS = 5000  /* time limit for sending one batch */
};

static const double send_interval_s = 0.2;

static cs_counter_t sent = {.name = "cs_spans_sent_total",
			    .help = "Spans that the collector has taken."};
static cs_counter_t dropped = {.name = "cs_spans_dropped_total",
			       .help = "Spans lost because the collector did not take them."};

typedef struct {
	cs_http_t http;
	cs_http_call_t call;
	ev_timer timer;
	struct ev_loop *loop;
	const char *url;
	json_t *spans;  /* queued, not yet sent */
	char *batch;    /* JSON in flight; NULL: none */
	size_t n_batch; /* spans in the batch */
} tracing_t;

static void
queue_span (void *arg, json_t *span)
{
	tracing_t *t = arg;
	if (json_array_size (t->spans) >= MAX_QUEUED_SPANS)
		cs_counter_add (&dropped, 1);
	else
		json_array_append (t->spans, span);
}

static void
on_batch_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	tracing_t *t = call->data;
	bool is_accepted = end == CS_HTTP_DONE && status >= 200 && status < 300;
	cs_counter_add (is_accepted ? &sent : &dropped, (int64_t)t->n_batch);
	free (t->batch);
	t->batch = NULL;
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	tracing_t *t = w->data;
	(void)loop;
	(void)events;
	if (t->batch || !json_array_size (t->spans))
		return;
	t->n_batch = json_array_size (t->spans);
	json_t *request = cs_trace_export_request (t->spans);
	t->spans = json_array ();
	t->batch = json_dumps (request, JSON_COMPACT);
	json_decref (request);
	t->call = (cs_http_call_t){.method = "POST",
				   .url = cs_str (t->url),
				   .body = cs_str (t->batch),
				   .headers = headers,
				   .total_timeout_ms = BATCH_TIMEOUT_MS,
				   .on_end = on_batch_end,
				   .data = t};
	if (cs_http_start (&t->http, &t->call) != CS_OK)
		on_batch_end (&t->call, CS_HTTP_NOT_SENT, 0);
}

static cs_status_t
init (cs_task_t *task)
{
	tracing_t *t = task->state;
	const cs_settings_t *s = task->kernel->settings;
	t->loop = task->kernel->loop;
	t->url = s->trace_url;
	t->spans = json_array ();
	return cs_http_init (&t->http, t->loop);
}

static void
start (cs_task_t *task)
{
	tracing_t *t = task->state;
	if (!*t->url)
		return;
	ev_timer_init (&t->timer, on_timer, send_interval_s, send_interval_s);
	t->timer.data = t;
	ev_timer_start (t->loop, &t->timer);
	cs_trace_set_sink (queue_span, t);
}

static void
receive (cs_task_t *task, cs_msg_t *msg)
{
	(void)task;
	(void)msg;
}

static void
finish (cs_task_t *task)
{
	tracing_t *t = task->state;
	cs_trace_set_sink (NULL, NULL);
	ev_timer_stop (t->loop, &t->timer);
	cs_http_finish (&t->http);
	cs_counter_add (&dropped, (int64_t)json_array_size (t->spans));
	json_decref (t->spans);
}

cs_plugin_t cs_tracing_plugin = {
	.name = "tracing",
	.state_size = sizeof (tracing_t),
	.init = init,
	.start = start,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&cs_tracing_plugin);
}
