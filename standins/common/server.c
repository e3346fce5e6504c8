#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "cs/hash.h"

enum {
	POLL_MS = 10,               /* interval at which server_sleep checks the connection */
	MAX_BODY_BYTES = 64 << 20,  /* upper limit of a request body */
	MAX_CONNECTIONS = 4096,     /* concurrent connections */
	CONNECTION_BYTES = 64 << 10 /* memory for headers and buffers per connection */
};

static server_handler_t request_handler;
static atomic_uint_fast64_t last_serial;
/* Connections with serials up to this one are silent. */
static atomic_uint_fast64_t silent_through_serial;

int64_t
server_now_ms (void)
{
	struct timespec t;
	clock_gettime (CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

const char *
server_header (server_request_t *r, const char *name)
{
	const char *v = MHD_lookup_connection_value (r->connection, MHD_HEADER_KIND, name);
	return v ? v : "";
}

const char *
server_query (server_request_t *r, const char *name)
{
	const char *v = MHD_lookup_connection_value (r->connection, MHD_GET_ARGUMENT_KIND, name);
	return v ? v : "";
}

uint64_t
server_query_u64 (server_request_t *r, const char *name, uint64_t fallback)
{
	uint64_t v;
	return cs_str_u64 (cs_str (server_query (r, name)), &v) ? v : fallback;
}

struct MHD_Response *
server_json_response (json_t *body)
{
	char *text = json_dumps (body, JSON_COMPACT);
	json_decref (body);
	if (!text)
		abort ();
	struct MHD_Response *response =
		MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header (response, "Content-Type", "application/json");
	return response;
}

enum MHD_Result
server_queue_response (server_request_t *r, unsigned status, struct MHD_Response *response)
{
	enum MHD_Result result = MHD_queue_response (r->connection, status, response);
	MHD_destroy_response (response);
	return result;
}

enum MHD_Result
server_reply (server_request_t *r, unsigned status, json_t *body)
{
	return server_queue_response (r, status, server_json_response (body));
}

enum MHD_Result
server_reply_etag (server_request_t *r, json_t *body)
{
	char tag[24];
	char *text = json_dumps (body, JSON_COMPACT);
	snprintf (tag, sizeof tag, "\"%016llx\"", (unsigned long long)cs_hash (cs_str (text)));
	free (text);
	bool known = !strcmp (server_header (r, "If-None-Match"), tag);
	struct MHD_Response *response =
		known ? MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT)
		      : server_json_response (json_incref (body));
	json_decref (body);
	MHD_add_response_header (response, "ETag", tag);
	return server_queue_response (r, known ? 304 : 200, response);
}

enum MHD_Result
server_reply_error (server_request_t *r, unsigned status, const char *text)
{
	struct MHD_Response *response = server_json_response (
		json_pack ("{s:i, s:s}", "error_code", (int)status, "message", text));
	const char *id = server_header (r, "X-Cs-Request");
	if (*id)
		MHD_add_response_header (response, "X-Cs-Request", id);
	return server_queue_response (r, status, response);
}

bool
server_is_closed (server_request_t *r)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (r->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t n = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool
server_sleep (server_request_t *r, int64_t ms)
{
	int64_t end = server_now_ms () + ms;
	for (int64_t left = ms; left > 0; left = end - server_now_ms ()) {
		usleep ((useconds_t)(left < POLL_MS ? left : POLL_MS) * 1000);
		if (server_is_closed (r))
			return false;
	}
	return true;
}

void
server_silence_open_connections (void)
{
	atomic_store (&silent_through_serial, atomic_load (&last_serial));
}

bool
server_is_silent (const server_request_t *r)
{
	return r->connection_serial <= atomic_load (&silent_through_serial);
}

enum MHD_Result
server_block_until_closed (server_request_t *r)
{
	while (server_sleep (r, POLL_MS))
		;
	return MHD_NO;
}

static void
on_connection (void *data, struct MHD_Connection *connection, void **context,
	       enum MHD_ConnectionNotificationCode code)
{
	(void)data;
	(void)connection;
	if (code != MHD_CONNECTION_NOTIFY_STARTED)
		return;
	uint64_t *connection_serial = cs_alloc (sizeof *connection_serial);
	*connection_serial = atomic_fetch_add (&last_serial, 1) + 1;
	*context = connection_serial; /* not freed before exit: 8 bytes per connection */
}

static server_request_t *
request_new (struct MHD_Connection *connection, const char *method, const char *path)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	server_request_t *r = cs_alloc (sizeof *r);
	r->connection = connection;
	r->method = method;
	r->path = path;
	r->arrived_ms = server_now_ms ();
	r->connection_serial = *(uint64_t *)info->socket_context;
	cs_buf_init (&r->body);
	return r;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *path, const char *method,
	    const char *version, const char *bytes, size_t *n, void **context)
{
	(void)data;
	(void)version;
	server_request_t *r = *context;
	if (!r) {
		*context = request_new (connection, method, path);
		return MHD_YES;
	}
	if (*n) {
		if (r->body.n + *n > MAX_BODY_BYTES)
			return MHD_NO;
		cs_buf_add (&r->body, cs_str_n (bytes, *n));
		*n = 0;
		return MHD_YES;
	}
	if (r->handler_called)
		return MHD_YES;
	r->handler_called = true;
	return request_handler (r);
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
	      enum MHD_RequestTerminationCode code)
{
	(void)data;
	(void)connection;
	(void)code;
	server_request_t *r = *context;
	if (!r)
		return;
	cs_buf_finish (&r->body);
	free (r);
	*context = NULL;
}

/* Parses IP:PORT with an IPv4 address; false if it is malformed. */
static bool
parse_listen (const char *listen, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr (listen, ':');
	uint64_t port;
	if (!colon || (size_t)(colon - listen) >= sizeof ip ||
	    !cs_str_u64 (cs_str (colon + 1), &port) || port > UINT16_MAX)
		return false;
	memcpy (ip, listen, (size_t)(colon - listen));
	ip[colon - listen] = 0;
	memset (out, 0, sizeof *out);
	out->sin_family = AF_INET;
	out->sin_port = htons ((uint16_t)port);
	return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

int
server_run (const char *listen, server_handler_t handler)
{
	struct sockaddr_in address;
	sigset_t stop_signals;
	int signal_number;
	if (!parse_listen (listen, &address)) {
		fprintf (stderr, "standin: --listen: expected IPv4:PORT, got \"%s\"\n", listen);
		return 2;
	}
	signal (SIGPIPE, SIG_IGN);
	sigemptyset (&stop_signals);
	sigaddset (&stop_signals, SIGTERM);
	sigaddset (&stop_signals, SIGINT);
	pthread_sigmask (SIG_BLOCK, &stop_signals, NULL);
	request_handler = handler;
	struct MHD_Daemon *daemon = MHD_start_daemon (
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		ntohs (address.sin_port), NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)MAX_CONNECTIONS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_BYTES, MHD_OPTION_END);
	if (!daemon) {
		fprintf (stderr, "standin: cannot listen on %s\n", listen);
		return 1;
	}
	sigwait (&stop_signals, &signal_number);
	/* Handlers may block on silent connections, so exit without joining their threads. */
	_exit (0);
}
