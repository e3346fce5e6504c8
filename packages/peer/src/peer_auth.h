/* Authentication of the daemons that send to this one. If a key is set, connections use CURVE and
 * a ZAP handler (ZeroMQ RFC 27) admits only accepted public keys. Failed handshakes are counted. */
#ifndef PEER_AUTH_H
#define PEER_AUTH_H

#include "cs/settings.h"
#include "socket_watch.h"

typedef struct {
	const cs_settings_t *settings;
	watch_t zap_requests;
	watch_t handshake_failures; /* monitor events of the receiving socket */
	int64_t last_warning_ms;    /* 0: none yet */
} peer_auth_t;

/* Call before the receiving socket `router` is bound. Warns if no key is set. CS_INTERNAL if the
 * key cannot be used. */
cs_status_t peer_auth_start (peer_auth_t *a, const cs_settings_t *s, struct ev_loop *loop,
			     void *context, void *router);
/* Call before the receiving socket is closed. */
void peer_auth_finish (peer_auth_t *a, void *router);

/* Sets the keys of a sending socket: its own, and the public key (Z85) that the peer must have.
 * Does nothing if no key is set. Call before the socket is connected. */
void peer_auth_set_client_keys (const cs_settings_t *s, void *dealer, const char *peer_public_key);

#endif
