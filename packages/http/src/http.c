/* Drives libcurl's multi socket interface with libev; starts, cancels and ends calls. */
#include "cs/http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "transfer.h"

enum {
	DEFAULT_IDLE_MS = 10000,
	MAX_IDLE_CONNECTIONS = 512,
	HEAD_MEMORY_BYTES = 2 << 20 /* of header lines, beyond 32 KB of each call */
};

typedef struct {
	ev_io io;
	cs_http_t *http;
} socket_watcher_t;

static void
remove_from_list (cs_http_t *http, const cs_http_transfer_t *t)
{
	cs_http_transfer_t *last = http->transfers[--http->running];
	http->transfers[t->index] = last;
	last->index = t->index;
}

static void
add_to_list (cs_http_t *http, cs_http_transfer_t *t)
{
	http->transfers = cs_grow (http->transfers, &http->cap, http->running + 1,
				   sizeof (cs_http_transfer_t *));
	t->index = http->running;
	http->transfers[http->running++] = t;
}

static cs_counter_t sent_bytes = {.name = "cs_http_sent_bytes_total",
				  .help = "Bytes of requests sent to back ends and the platform."};
static cs_counter_t received_bytes = {.name = "cs_http_received_bytes_total",
				      .help = "Bytes of answers received from them."};

static void
count_bytes (CURL *easy)
{
	long request = 0;
	long header = 0;
	curl_off_t up = 0;
	curl_off_t down = 0;
	curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo (easy, CURLINFO_HEADER_SIZE, &header);
	curl_easy_getinfo (easy, CURLINFO_SIZE_UPLOAD_T, &up);
	curl_easy_getinfo (easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
	cs_counter_add (&sent_bytes, request + up);
	cs_counter_add (&received_bytes, header + down);
}

/* Frees the transfer and calls on_end. Removing a handle from the multi handle before its response
 * is complete closes the connection. */
static void
end_transfer (cs_http_transfer_t *t, cs_http_end_t end)
{
	cs_http_call_t *call = t->call;
	cs_http_t *http = call->http;
	int status = t->status;
	call->is_delimited = t->delimited;
	if (end != CS_HTTP_DONE && end != CS_HTTP_CANCELLED && !t->sent)
		end = CS_HTTP_NOT_SENT;
	ev_timer_stop (http->loop, &t->timeout_timer);
	count_bytes (t->easy);
	if (t->sent && !status) {
		long connects = 1;
		curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &connects);
		call->is_reused = !connects;
	}
	if (t->added)
		curl_multi_remove_handle (http->multi, t->easy);
	curl_easy_cleanup (t->easy);
	free (t->headers);
	remove_from_list (http, t);
	cs_buf_finish (&t->content_type);
	cs_answer_memory_resize (&http->head_memory, &t->held_head_bytes, 0);
	free (t);
	call->transfer = NULL;
	call->on_end (call, end, status);
}

static cs_http_end_t
end_from_result (const cs_http_transfer_t *t, CURLcode result)
{
	if (t->cancelled)
		return CS_HTTP_CANCELLED;
	bool complete = t->status && (t->delimited || t->call->ends_by_close);
	return result == CURLE_OK && complete ? CS_HTTP_DONE : CS_HTTP_BROKEN;
}

/* If libcurl refuses the handle, the call ends by its timeout as CS_HTTP_NOT_SENT. */
static void
add_to_multi (cs_http_t *http, cs_http_transfer_t *t)
{
	curl_multi_add_handle (http->multi, t->easy);
	t->added = true;
}

/* Nothing was sent on the stale connection, which libcurl closes. */
static void
repeat_on_new_connection (cs_http_t *http, cs_http_transfer_t *t)
{
	t->stale = false;
	curl_multi_remove_handle (http->multi, t->easy);
	curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
	add_to_multi (http, t);
}

/* Ends the calls whose transfers libcurl reports as done. */
static void
end_finished_transfers (cs_http_t *http)
{
	CURLMsg *m;
	int remaining;
	while ((m = curl_multi_info_read (http->multi, &remaining))) {
		char *p = NULL;
		CURLcode result = m->data.result;
		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &p);
		cs_http_transfer_t *t = (cs_http_transfer_t *)(void *)p;
		if (t->stale && !t->cancelled) {
			repeat_on_new_connection (http, t);
			continue;
		}
		long error = 0;
		curl_easy_getinfo (m->easy_handle, CURLINFO_OS_ERRNO, &error);
		t->call->is_connection_refused =
			result == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
		/* Lines that libcurl refuses by itself do not reach on_header. */
		if (result == CURLE_WEIRD_SERVER_REPLY || result == CURLE_UNSUPPORTED_PROTOCOL)
			cs_http_transfer_log_bad_head (t, "libcurl",
						       cs_str (curl_easy_strerror (result)));
		end_transfer (t, end_from_result (t, result));
	}
}

static void
run_socket_action (cs_http_t *http, curl_socket_t fd, int events)
{
	int running;
	http->in_libcurl = true;
	curl_multi_socket_action (http->multi, fd, events, &running);
	http->in_libcurl = false;
	end_finished_transfers (http);
}

static void
on_readiness (struct ev_loop *loop, ev_io *w, int events)
{
	socket_watcher_t *s = (socket_watcher_t *)w;
	int bits = (events & EV_READ ? CURL_CSELECT_IN : 0) |
		   (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
	(void)loop;
	run_socket_action (s->http, w->fd, bits);
}

static void
on_curl_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	run_socket_action (w->data, CURL_SOCKET_TIMEOUT, 0);
}

static void
schedule_deferred (cs_http_t *http)
{
	if (ev_is_active (&http->deferred_timer))
		return;
	ev_timer_set (&http->deferred_timer, 0., 0.);
	ev_timer_start (http->loop, &http->deferred_timer);
}

void
cs_http_transfer_withhold (cs_http_transfer_t *t)
{
	t->data_withheld = true;
	schedule_deferred (t->call->http);
}

static void
resume_transfer (cs_http_t *http, cs_http_transfer_t *t)
{
	t->data_withheld = false;
	t->bytes_at_once = 0;
	http->in_libcurl = true;
	curl_easy_pause (t->easy, CURLPAUSE_CONT);
	http->in_libcurl = false;
}

static bool
has_deferred_operation (const cs_http_transfer_t *t)
{
	return t->cancelled || !t->added || (t->data_withheld && !t->paused);
}

/* A transfer with an operation that was deferred from a libcurl callback, NULL if there is none. */
static cs_http_transfer_t *
find_deferred (const cs_http_t *http)
{
	for (size_t i = 0; i < http->running; i++)
		if (has_deferred_operation (http->transfers[i]))
			return http->transfers[i];
	return NULL;
}

static void
on_deferred (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_http_t *http = w->data;
	cs_http_transfer_t *t;
	(void)loop;
	(void)events;
	while ((t = find_deferred (http))) {
		if (t->cancelled)
			end_transfer (t, CS_HTTP_CANCELLED);
		else if (!t->added)
			add_to_multi (http, t);
		else
			resume_transfer (http, t);
	}
	end_finished_transfers (http);
}

static int
on_curl_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket)
{
	cs_http_t *http = data;
	socket_watcher_t *s = socket;
	(void)easy;
	if (s)
		ev_io_stop (http->loop, &s->io);
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign (http->multi, fd, NULL);
		free (s);
		return 0;
	}
	if (!s) {
		s = cs_alloc (sizeof *s);
		s->http = http;
		ev_init (&s->io, on_readiness);
		curl_multi_assign (http->multi, fd, s);
	}
	ev_io_set (&s->io, fd,
		   (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0));
	ev_io_start (http->loop, &s->io);
	return 0;
}

static int
on_curl_timer (CURLM *multi, long timeout_ms, void *data)
{
	cs_http_t *http = data;
	(void)multi;
	ev_timer_stop (http->loop, &http->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set (&http->timer, (double)timeout_ms / 1000., 0.);
	ev_timer_start (http->loop, &http->timer);
	return 0;
}

/* Seconds until the idle or total timeout of the call, whichever is first; may be negative. The
 * idle timeout does not run while the call is paused. */
static ev_tstamp
time_left (const cs_http_transfer_t *t)
{
	const cs_http_call_t *c = t->call;
	ev_tstamp now = ev_now (c->http->loop);
	ev_tstamp idle = (c->idle_timeout_ms ? c->idle_timeout_ms : DEFAULT_IDLE_MS) / 1000.;
	ev_tstamp left = t->paused ? idle : t->last_byte + idle - now;
	ev_tstamp total = t->started + c->total_timeout_ms / 1000. - now;
	return c->total_timeout_ms && total < left ? total : left;
}

static void
on_transfer_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_http_transfer_t *t = w->data;
	ev_tstamp left = time_left (t);
	(void)events;
	if (left <= 0.) {
		end_transfer (t, CS_HTTP_TIMED_OUT);
		return;
	}
	ev_timer_set (w, left, 0.);
	ev_timer_start (loop, w);
}

cs_status_t
cs_http_init (cs_http_t *http, struct ev_loop *loop)
{
	memset (http, 0, sizeof *http);
	if (curl_global_init (CURL_GLOBAL_DEFAULT) || !(http->multi = curl_multi_init ()))
		return cs_fail (CS_INTERNAL, "cannot initialize libcurl");
	http->loop = loop;
	cs_answer_memory_init (&http->head_memory, HEAD_MEMORY_BYTES);
	ev_init (&http->timer, on_curl_timeout);
	http->timer.data = http;
	ev_init (&http->deferred_timer, on_deferred);
	http->deferred_timer.data = http;
	curl_multi_setopt (http->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt (http->multi, CURLMOPT_SOCKETDATA, http);
	curl_multi_setopt (http->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt (http->multi, CURLMOPT_TIMERDATA, http);
	curl_multi_setopt (http->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt (http->multi, CURLMOPT_MAXCONNECTS, (long)MAX_IDLE_CONNECTIONS);
	return CS_OK;
}

void
cs_http_finish (cs_http_t *http)
{
	if (!http->multi)
		return;
	while (http->running)
		end_transfer (http->transfers[http->running - 1], CS_HTTP_CANCELLED);
	free (http->transfers);
	curl_multi_cleanup (http->multi);
	ev_timer_stop (http->loop, &http->timer);
	ev_timer_stop (http->loop, &http->deferred_timer);
	http->multi = NULL;
	curl_global_cleanup ();
}

cs_status_t
cs_http_start (cs_http_t *http, cs_http_call_t *call)
{
	cs_http_transfer_t *t = cs_alloc (sizeof *t);
	t->call = call;
	call->http = http;
	if (!cs_http_transfer_setup (t)) {
		free (t->headers);
		free (t);
		return cs_fail (CS_INVALID, "libcurl cannot set up HTTP request to %.*s",
				CS_STR_ARG (call->url));
	}
	add_to_list (http, t);
	call->transfer = t;
	t->started = t->last_byte = ev_now (http->loop);
	ev_timer_init (&t->timeout_timer, on_transfer_timeout, time_left (t), 0.);
	/* Bytes that arrived while this process was paused are read first. */
	ev_set_priority (&t->timeout_timer, EV_MINPRI);
	t->timeout_timer.data = t;
	ev_timer_start (http->loop, &t->timeout_timer);
	if (http->in_libcurl)
		schedule_deferred (http);
	else
		add_to_multi (http, t);
	return CS_OK;
}

void
cs_http_cancel (cs_http_call_t *call)
{
	cs_http_transfer_t *t = call->transfer;
	if (!t)
		return;
	if (!call->http->in_libcurl) {
		end_transfer (t, CS_HTTP_CANCELLED);
		return;
	}
	t->cancelled = true;
	schedule_deferred (call->http);
}

bool
cs_http_is_sent (const cs_http_call_t *call)
{
	return call->transfer && call->transfer->sent;
}

void
cs_http_end_within (cs_http_call_t *call, uint32_t ms)
{
	cs_http_transfer_t *t = call->transfer;
	struct ev_loop *loop = call->http->loop;
	if (!t)
		return;
	ev_tstamp elapsed_ms = (ev_now (loop) - t->started) * 1000;
	call->total_timeout_ms = (uint32_t)elapsed_ms + ms;
	ev_timer_stop (loop, &t->timeout_timer);
	ev_timer_set (&t->timeout_timer, time_left (t), 0.);
	ev_timer_start (loop, &t->timeout_timer);
}

void
cs_http_pause (cs_http_call_t *call, bool paused)
{
	cs_http_transfer_t *t = call->transfer;
	if (!t || t->paused == paused)
		return;
	t->paused = paused;
	t->last_byte = ev_now (call->http->loop);
	if (!paused && t->data_withheld)
		schedule_deferred (call->http);
}

bool
cs_http_received_in_turn (const cs_http_call_t *call)
{
	const cs_http_transfer_t *t = call->transfer;
	return t && t->status && t->last_byte == ev_now (call->http->loop);
}
