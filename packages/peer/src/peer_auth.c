#include "peer_auth.h"

#include <inttypes.h>
#include <string.h>
#include <zmq.h>

#include "cs/counters.h"
#include "cs/kernel.h"
#include "cs/log.h"
#include "cs/peer_key.h"

enum {
	WARN_INTERVAL_MS = 60000,
	FRAME_BYTES = 256 /* longer frames are truncated; a longer key or mechanism is refused */
};

#define ZAP_VERSION "1.0"
#define ZAP_DOMAIN "cornelspindle"
#define EVENTS_ADDRESS "inproc://peer-events"

/* Frames of a ZAP request, in the order of the protocol. */
typedef enum {
	FRAME_VERSION,
	FRAME_REQUEST,
	FRAME_DOMAIN,
	FRAME_ADDRESS,
	FRAME_IDENTITY,
	FRAME_MECHANISM,
	FRAME_KEY,
	FRAME_COUNT
} frame_t;

typedef struct {
	char bytes[FRAME_COUNT][FRAME_BYTES];
	size_t sizes[FRAME_COUNT];
	size_t n; /* FRAME_COUNT + 1 stands for any greater number */
} zap_request_t;

static cs_counter_t refused = {.name = "cs_peer_refused_total",
			       .help = "Handshakes at the peer port that failed: "
				       "another key, none, or no daemon."};

static bool
read_zap_request (void *socket, zap_request_t *r)
{
	int more = 1;
	size_t size = sizeof more;
	r->n = 0;
	while (more) {
		char excess[FRAME_BYTES];
		size_t frame = r->n < FRAME_COUNT ? r->n : FRAME_COUNT;
		char *buffer = frame < FRAME_COUNT ? r->bytes[frame] : excess;
		int n = zmq_recv (socket, buffer, FRAME_BYTES, ZMQ_DONTWAIT);
		if (n < 0)
			return false;
		if (frame < FRAME_COUNT)
			r->sizes[frame] = (size_t)n;
		r->n = frame + 1;
		zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

static bool
key_matches (const char *text, const char *key)
{
	uint8_t bytes[CS_PEER_KEY_BYTES];
	return zmq_z85_decode (bytes, text) && !memcmp (bytes, key, sizeof bytes);
}

static bool
is_accepted (const cs_settings_t *s, const zap_request_t *r)
{
	static const char mechanism[] = "CURVE";
	if (r->n != FRAME_COUNT || r->sizes[FRAME_KEY] != CS_PEER_KEY_BYTES ||
	    r->sizes[FRAME_MECHANISM] != strlen (mechanism) ||
	    memcmp (r->bytes[FRAME_MECHANISM], mechanism, strlen (mechanism)) != 0)
		return false;
	if (key_matches (s->peer_public_key, r->bytes[FRAME_KEY]))
		return true;
	for (size_t i = 0; i < s->n_peer_accepted_keys; i++)
		if (key_matches (s->peer_accepted_keys[i], r->bytes[FRAME_KEY]))
			return true;
	return false;
}

static bool
answer_zap_request (void *data)
{
	peer_auth_t *a = data;
	void *socket = a->zap_requests.socket;
	zap_request_t r;
	if (!read_zap_request (socket, &r))
		return false;
	bool is_admitted = is_accepted (a->settings, &r);
	size_t id_bytes = r.n > FRAME_REQUEST && r.sizes[FRAME_REQUEST] <= FRAME_BYTES
				  ? r.sizes[FRAME_REQUEST]
				  : 0;
	zmq_send (socket, ZAP_VERSION, strlen (ZAP_VERSION), ZMQ_SNDMORE);
	zmq_send (socket, r.bytes[FRAME_REQUEST], id_bytes, ZMQ_SNDMORE);
	zmq_send (socket, is_admitted ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send (socket, "", 0, ZMQ_SNDMORE);
	zmq_send (socket, "", 0, ZMQ_SNDMORE);
	zmq_send (socket, "", 0, 0);
	return true;
}

/* An event has two frames: its number and value, and the address. A sender that detects first that
 * its mechanism does not match closes the connection without an error, so that failures without
 * detail have to be counted, too. */
static bool
count_failed_handshake (void *data)
{
	peer_auth_t *a = data;
	char frame[FRAME_BYTES];
	if (zmq_recv (a->handshake_failures.socket, frame, sizeof frame, ZMQ_DONTWAIT) < 0)
		return false;
	zmq_recv (a->handshake_failures.socket, frame, sizeof frame, ZMQ_DONTWAIT);
	cs_counter_add (&refused, 1);
	int64_t now = cs_now_ms ();
	if (!a->last_warning_ms || now - a->last_warning_ms >= WARN_INTERVAL_MS) {
		a->last_warning_ms = now;
		cs_log ("peer", CS_LOG_WARN,
			"peer handshake refused: unaccepted key, no key, or not a daemon; %" PRId64
			" refused since the start",
			refused.value);
	}
	return true;
}

static cs_status_t
enable_curve (peer_auth_t *a, struct ev_loop *loop, void *context, void *router)
{
	int on = 1;
	a->zap_requests = (watch_t){.loop = loop,
				    .socket = zmq_socket (context, ZMQ_REP),
				    .receive = answer_zap_request,
				    .data = a};
	bool is_enabled =
		!zmq_bind (a->zap_requests.socket, "inproc://zeromq.zap.01") &&
		!zmq_setsockopt (router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen (ZAP_DOMAIN)) &&
		!zmq_setsockopt (router, ZMQ_CURVE_SERVER, &on, sizeof on) &&
		!zmq_setsockopt (router, ZMQ_CURVE_SECRETKEY, a->settings->peer_secret_key,
				 CS_PEER_KEY_TEXT);
	watch_start (&a->zap_requests);
	if (is_enabled)
		return CS_OK;
	return cs_fail (CS_INTERNAL,
			"peer authentication with the key in peer_key_file cannot be enabled: %s",
			zmq_strerror (zmq_errno ()));
}

cs_status_t
peer_auth_start (peer_auth_t *a, const cs_settings_t *s, struct ev_loop *loop, void *context,
		 void *router)
{
	a->settings = s;
	zmq_socket_monitor (router, EVENTS_ADDRESS,
			    ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
				    ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
				    ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
	a->handshake_failures = (watch_t){
		.loop = loop,
		.socket = zmq_socket (context, ZMQ_PAIR),
		.receive = count_failed_handshake,
		.data = a,
	};
	zmq_connect (a->handshake_failures.socket, EVENTS_ADDRESS);
	watch_start (&a->handshake_failures);
	if (s->peer_secret_key)
		return enable_curve (a, loop, context, router);
	cs_log ("peer", CS_LOG_WARN,
		"daemons are not authenticated: any host that reaches %s can send as a daemon; "
		"set peer_key_file",
		s->peer_listen);
	return CS_OK;
}

void
peer_auth_finish (peer_auth_t *a, void *router)
{
	zmq_socket_monitor (router, NULL, 0);
	watch_close (&a->handshake_failures);
	watch_close (&a->zap_requests);
}

void
peer_auth_set_client_keys (const cs_settings_t *s, void *dealer, const char *peer_public_key)
{
	if (!s->peer_secret_key)
		return;
	zmq_setsockopt (dealer, ZMQ_CURVE_SERVERKEY, peer_public_key, CS_PEER_KEY_TEXT);
	zmq_setsockopt (dealer, ZMQ_CURVE_PUBLICKEY, s->peer_public_key, CS_PEER_KEY_TEXT);
	zmq_setsockopt (dealer, ZMQ_CURVE_SECRETKEY, s->peer_secret_key, CS_PEER_KEY_TEXT);
}
