/* The sockets of open connections, found by their addresses: libcurl does not tell the socket that
 * it is about to send a request on. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#include "cs/log.h"
#include "transfer.h"

enum {
	KEY_BYTES = 128 /* two numeric addresses and ports */
};

struct cs_http_connection {
	char key[KEY_BYTES];
	curl_socket_t fd;
	uint64_t number;
	uint32_t n_calls;
	uint64_t tags[CS_HTTP_TAGS]; /* of the last calls, at index n_calls % CS_HTTP_TAGS */
	UT_hash_handle hh;
};

static curl_socket_t
on_open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
	cs_http_transfer_t *t = data;
	(void)purpose;
	t->new_fd = socket (address->family, address->socktype, address->protocol);
	return t->new_fd;
}

static int
on_close_socket (void *data, curl_socket_t fd)
{
	cs_http_t *http = data;
	cs_http_connection_t *c, *next;
	HASH_ITER (hh, http->connections, c, next) {
		if (c->fd != fd)
			continue;
		HASH_DEL (http->connections, c);
		free (c);
	}
	return close (fd);
}

void
cs_http_connections_watch (cs_http_transfer_t *t)
{
	curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETDATA, t);
	curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
	curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETDATA, t->call->http);
}

static cs_http_connection_t *
add_connection (cs_http_t *http, const char *key, curl_socket_t fd)
{
	cs_http_connection_t *c = cs_alloc (sizeof *c);
	snprintf (c->key, sizeof c->key, "%s", key);
	c->fd = fd;
	c->number = ++http->last_connection;
	HASH_ADD_STR (http->connections, key, c);
	return c;
}

static bool
had_tag (const cs_http_connection_t *c, uint64_t tag)
{
	bool had = false;
	for (size_t i = 0; tag && i < CS_HTTP_TAGS; i++)
		had |= c->tags[i] == tag;
	return had;
}

static void
record_call (cs_http_connection_t *c, cs_http_call_t *call)
{
	call->sent_on = (cs_http_sent_on_t){.connection = c->number,
					    .calls_before = c->n_calls,
					    .had_tag = had_tag (c, call->tag)};
	c->tags[c->n_calls++ % CS_HTTP_TAGS] = call->tag;
}

bool
cs_http_connection_is_stale (const cs_http_transfer_t *t, const char *ip, int port,
			     const char *local_ip, int local_port)
{
	cs_http_t *http = t->call->http;
	cs_http_connection_t *c;
	char key[KEY_BYTES];
	long new_connections = 0;
	char byte;
	snprintf (key, sizeof key, "%s %d %s %d", ip, port, local_ip, local_port);
	curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &new_connections);
	if (new_connections) {
		record_call (add_connection (http, key, t->new_fd), t->call);
		return false;
	}
	HASH_FIND_STR (http->connections, key, c);
	if (!c)
		return false;
	ssize_t n = recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		cs_log ("http", CS_LOG_INFO, "connection to %.*s closed: bytes before the request",
			CS_STR_ARG (t->call->url));
	if (n >= 0 || errno != EAGAIN || had_tag (c, t->call->tag))
		return true;
	record_call (c, t->call);
	return false;
}
