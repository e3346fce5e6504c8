/* Plug-in "peer": messages between daemons over ZeroMQ.
 *
 * Each daemon receives on one ROUTER socket and sends to each other daemon over a
 * DEALER socket of its own, so that a slow peer delays nobody else. ZeroMQ's own
 * heartbeats close connections that no longer answer and open new ones. A message that
 * finds the queue of its peer full is dropped: the next heartbeat replaces it.
 *
 * The key of a peer is unknown until the handshake. While several keys are accepted (during a key
 * rotation), there is one socket for each of them, and messages go over the one whose handshake
 * succeeds. */
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "cs/messages.h"
#include "cs/settings.h"
#include "peer_auth.h"

enum {
	QUEUED_MESSAGES = 256, /* limit of each socket's queue */
	HEARTBEAT_MS = 1000,
	HEARTBEAT_TIMEOUT_MS = 3000,
	RECONNECT_MS = 200,
	RECONNECT_MAX_MS = 2000,
	MAX_MESSAGE_BYTES = 4 << 20,
	OTHER_KEY_RECONNECT_MS = 2000, /* of sockets for keys other than this daemon's own */
	REOPEN_AFTER_MS = 5000, /* ZeroMQ does not reconnect to a peer that refused its key: sockets
				   are opened again */
	LINK_IDLE_MS = 60000,   /* links without a message for so long are closed */
};

/* Connection to one peer. */
typedef struct link {
	char *address;
	void **sockets; /* one for each key that the peer may have; the first: this daemon's own */
	size_t n_sockets;
	int64_t last_used_ms;
	int64_t failing_since_ms; /* since when messages cannot be sent; 0: the last one was sent */
	struct link *next;
} link_t;

typedef struct {
	cs_task_t *task;
	void *context;
	void *router;
	watch_t router_watch;
	peer_auth_t auth;
	ev_timer idle_timer;
	link_t *links;
} peer_t;

static cs_counter_t sent = {.name = "cs_peer_sent_bytes_total", .help = "Bytes sent to daemons."};
static cs_counter_t received = {.name = "cs_peer_received_bytes_total",
				.help = "Bytes received from daemons."};
static cs_counter_t dropped = {.name = "cs_peer_dropped_total",
			       .help = "Messages dropped because a peer's queue was full."};

static void
set_option (void *socket, int option, int value)
{
	zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_options (void *socket)
{
	set_option (socket, ZMQ_LINGER, 0);
	set_option (socket, ZMQ_SNDHWM, QUEUED_MESSAGES);
	set_option (socket, ZMQ_RCVHWM, QUEUED_MESSAGES);
	set_option (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	set_option (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
}

/* Sends the payload of one received message to the task "control"; false if there was none. */
static bool
receive_one (void *data)
{
	peer_t *p = data;
	zmq_msg_t part;
	bool last = false;
	cs_peer_received_msg_t *m = NULL;
	while (!last) {
		zmq_msg_init (&part);
		if (zmq_msg_recv (&part, p->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close (&part);
			break;
		}
		last = !zmq_msg_more (&part);
		if (last) {
			m = cs_peer_received_msg ();
			cs_buf_add (&m->bytes,
				    cs_str_n (zmq_msg_data (&part), zmq_msg_size (&part)));
			cs_counter_add (&received, (int64_t)m->bytes.n);
		}
		zmq_msg_close (&part);
	}
	if (!m)
		return false;
	cs_send (p->task, cs_task_find (p->task->kernel, "control"), &m->msg);
	return true;
}

static void
close_sockets (link_t *l)
{
	for (size_t i = 0; i < l->n_sockets; i++)
		zmq_close (l->sockets[i]);
	l->n_sockets = 0;
}

static void
close_link (link_t *l)
{
	close_sockets (l);
	free (l->sockets);
	free (l->address);
	free (l);
}

static void
on_idle_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	peer_t *p = w->data;
	int64_t now = cs_now_ms ();
	(void)loop;
	(void)events;
	for (link_t **at = &p->links; *at;) {
		link_t *l = *at;
		if (now - l->last_used_ms < LINK_IDLE_MS) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		close_link (l);
	}
}

static cs_status_t
init (cs_task_t *task)
{
	peer_t *p = task->state;
	const cs_settings_t *s = task->kernel->settings;
	p->task = task;
	p->context = zmq_ctx_new ();
	p->router = zmq_socket (p->context, ZMQ_ROUTER);
	set_options (p->router);
	int64_t max = MAX_MESSAGE_BYTES;
	zmq_setsockopt (p->router, ZMQ_MAXMSGSIZE, &max, sizeof max);
	cs_status_t status =
		peer_auth_start (&p->auth, s, task->kernel->loop, p->context, p->router);
	if (status != CS_OK)
		return status;
	if (zmq_bind (p->router, s->peer_listen))
		return cs_fail (CS_INVALID, "peer address %s cannot be bound: %s", s->peer_listen,
				zmq_strerror (zmq_errno ()));

	p->router_watch = (watch_t){
		.loop = task->kernel->loop, .socket = p->router, .receive = receive_one, .data = p};
	watch_start (&p->router_watch);
	ev_timer_init (&p->idle_timer, on_idle_timer, LINK_IDLE_MS / 1000.0, LINK_IDLE_MS / 1000.0);
	p->idle_timer.data = p;
	ev_timer_start (task->kernel->loop, &p->idle_timer);
	return CS_OK;
}

/* Connects from the address at which this daemon receives, also on a VM with several addresses.
 * False if the peer's address is not valid. */
static bool
connect_from (void *socket, const char *own_address, const char *address)
{
	static const char scheme[] = "tcp://";
	const char *port = strrchr (own_address, ':');
	cs_buf_t endpoint = {0};
	if (!cs_str_starts (cs_str (address), scheme))
		return false;
	cs_buf_printf (&endpoint, "%.*s:0;%s", (int)(port - own_address), own_address,
		       address + strlen (scheme));
	bool is_connected = !zmq_connect (socket, endpoint.p);
	cs_buf_finish (&endpoint);
	return is_connected;
}

/* Adds a socket to the link, for a peer with that public key (NULL: no authentication). */
static bool
open_socket (peer_t *p, link_t *l, const char *key)
{
	const cs_settings_t *s = p->task->kernel->settings;
	void *socket = zmq_socket (p->context, ZMQ_DEALER);
	set_options (socket);
	if (key)
		peer_auth_set_client_keys (s, socket, key);
	if (s->n_peer_accepted_keys) /* queue nothing on a socket whose key the peer may not have */
		set_option (socket, ZMQ_IMMEDIATE, 1);
	if (key && key != s->peer_public_key)
		set_option (socket, ZMQ_RECONNECT_IVL, OTHER_KEY_RECONNECT_MS);
	l->sockets[l->n_sockets++] = socket;
	return connect_from (socket, s->peer_listen, l->address);
}

static bool
open_sockets (peer_t *p, link_t *l)
{
	const cs_settings_t *s = p->task->kernel->settings;
	l->failing_since_ms = 0;
	bool is_open = open_socket (p, l, s->peer_public_key);
	for (size_t i = 0; is_open && i < s->n_peer_accepted_keys; i++)
		if (strcmp (s->peer_accepted_keys[i], s->peer_public_key) != 0)
			is_open = open_socket (p, l, s->peer_accepted_keys[i]);
	return is_open;
}

/* NULL if the address is not valid. */
static link_t *
get_or_open_link (peer_t *p, const char *address)
{
	for (link_t *l = p->links; l; l = l->next)
		if (!strcmp (l->address, address))
			return l;
	const cs_settings_t *s = p->task->kernel->settings;
	link_t *l = cs_alloc (sizeof *l);
	l->address = cs_str_dup (cs_str (address));
	l->sockets = cs_alloc ((1 + s->n_peer_accepted_keys) * sizeof *l->sockets);
	if (!open_sockets (p, l)) {
		cs_log ("peer", CS_LOG_WARN,
			"cannot connect to peer address %s: expected tcp://HOST:PORT", address);
		close_link (l);
		return NULL;
	}
	l->next = p->links;
	p->links = l;
	return l;
}

static bool
send_message (link_t *l, const cs_buf_t *bytes)
{
	for (size_t i = 0; i < l->n_sockets; i++)
		if (zmq_send (l->sockets[i], bytes->p, bytes->n, ZMQ_DONTWAIT) >= 0)
			return true;
	return false;
}

static void
reopen_failing_link (peer_t *p, link_t *l, int64_t now)
{
	if (!l->failing_since_ms)
		l->failing_since_ms = now;
	if (now - l->failing_since_ms < REOPEN_AFTER_MS)
		return;
	close_sockets (l);
	open_sockets (p, l);
}

static void
receive (cs_task_t *task, cs_msg_t *msg)
{
	peer_t *p = task->state;
	cs_peer_send_msg_t *m = (cs_peer_send_msg_t *)msg;
	if (msg->kind != CS_MSG_PEER_SEND)
		return;
	link_t *l = get_or_open_link (p, m->address);
	if (!l)
		return;
	l->last_used_ms = cs_now_ms ();
	if (send_message (l, &m->bytes)) {
		l->failing_since_ms = 0;
		cs_counter_add (&sent, (int64_t)m->bytes.n);
		return;
	}
	cs_counter_add (&dropped, 1);
	reopen_failing_link (p, l, l->last_used_ms);
}

static void
finish (cs_task_t *task)
{
	peer_t *p = task->state;
	ev_timer_stop (task->kernel->loop, &p->idle_timer);
	while (p->links) {
		link_t *l = p->links;
		p->links = l->next;
		close_link (l);
	}
	peer_auth_finish (&p->auth, p->router);
	watch_close (&p->router_watch);
	zmq_ctx_term (p->context);
}

static cs_plugin_t plugin = {
	.name = "peer",
	.state_size = sizeof (peer_t),
	.init = init,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&plugin);
}
