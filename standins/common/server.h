/* HTTP server of the stand-ins: one thread per connection, buffered request bodies, JSON
 * responses. Handlers may block. */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <jansson.h>
#include <microhttpd.h>

#include "cs/str.h"

/* A request; valid until its response is complete. */
typedef struct {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	cs_buf_t body;
	uint64_t connection_serial; /* number of its connection, from 1 */
	int64_t arrived_ms;         /* when the headers arrived, by server_now_ms */
	bool handler_called;        /* the handler was called */
} server_request_t;

/* Handles a request: queues a response, or returns MHD_NO to close the connection without a
 * response. */
typedef enum MHD_Result (*server_handler_t) (server_request_t *r);

/* Monotonic clock in ms. */
int64_t server_now_ms (void);
/* Serves IP:PORT until SIGTERM or SIGINT, which exit the process with status 0. Returns an exit
 * status if the server cannot start: 1 if it cannot listen, 2 for a malformed address. */
int server_run (const char *listen, server_handler_t handler);

/* Header or query argument; "" if absent. */
const char *server_header (server_request_t *r, const char *name);
const char *server_query (server_request_t *r, const char *name);
uint64_t server_query_u64 (server_request_t *r, const char *name, uint64_t fallback);

/* Responds with a JSON document; takes ownership of body. */
enum MHD_Result server_reply (server_request_t *r, unsigned status, json_t *body);
/* Like server_reply with status 200 and an ETag; 304 if If-None-Match has that ETag. */
enum MHD_Result server_reply_etag (server_request_t *r, json_t *body);
/* Responds with {"error_code":status,"message":text}. */
enum MHD_Result server_reply_error (server_request_t *r, unsigned status, const char *text);
/* Queues a response and takes ownership of it. */
enum MHD_Result server_queue_response (server_request_t *r, unsigned status,
				       struct MHD_Response *response);
/* Creates a JSON response; takes ownership of body. */
struct MHD_Response *server_json_response (json_t *body);

/* True if the client has closed the connection. */
bool server_is_closed (server_request_t *r);
/* Sleeps for ms milliseconds; returns false early if the client closes the connection. */
bool server_sleep (server_request_t *r, int64_t ms);
/* Permanently silences all connections that are open now; later connections are not affected. */
void server_silence_open_connections (void);
bool server_is_silent (const server_request_t *r);
/* Blocks without a response until the client closes the connection; returns MHD_NO. */
enum MHD_Result server_block_until_closed (server_request_t *r);

#endif
