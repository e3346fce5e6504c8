/* Faults that send bytes without end, written to the socket past libmicrohttpd. */
#include <errno.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "backend.h"

enum {
	BLOCK_BYTES = 64 << 10, /* repetitions that are sent at once */
	POLL_MS = 100
};

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK "8\r\nbytesxyz\r\n"
#define JSON "Content-Type: application/json\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n\r\n"
#define TOKEN "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"echo-0000000000000000\"}}]}\n\n"

typedef struct {
	fault_mode_t mode;
	const char *status_line;
	const char *start; /* behind the headers that name the request */
	const char *endless;
} endless_answer_t;

static const endless_answer_t answers[] = {
	{FAULT_ENDLESS_HEAD, OK, "", "X-A: b\r\n"},
	{FAULT_ENDLESS_JSON, OK, JSON CHUNKED, CHUNK},
	{FAULT_ENDLESS_409, "HTTP/1.1 409 Conflict\r\n", JSON CHUNKED, CHUNK},
	{FAULT_ENDLESS_503, "HTTP/1.1 503 Service Unavailable\r\n", JSON CHUNKED, CHUNK},
	{FAULT_ENDLESS_EVENT, OK, EVENTS "id: 1\ndata: ", "bytesxyz"},
	{FAULT_ENDLESS_LATER_EVENT, OK, EVENTS TOKEN "id: 2\ndata: ", "bytesxyz"},
	{FAULT_ENDLESS_COMMENTS, OK, EVENTS, ": ping\n\n"},
	{FAULT_ENDLESS_TAIL, OK, EVENTS TOKEN "data: [DONE]\n\n", "bytesxyz"},
	{FAULT_ENDLESS_TRAILERS, OK, JSON CHUNKED "2\r\n{}\r\n0\r\n", "X-A: b\r\n"},
	{FAULT_ENDLESS_BODY, OK, "Content-Type: application/octet-stream\r\n" CHUNKED, CHUNK},
	{FAULT_ENDLESS_REPORT, OK, JSON CHUNKED, CHUNK},
};

static atomic_uint_fast64_t n_open;
static atomic_uint_fast64_t n_answers;
static atomic_uint_fast64_t n_bytes;

static const endless_answer_t *
find_answer (const server_request_t *r)
{
	fault_mode_t mode = fault_mode ();
	bool is_report = !strcmp (r->path, "/v1/report");
	bool is_order = !strcmp (r->path, "/v1/orders");
	if (is_order || is_report != (mode == FAULT_ENDLESS_REPORT))
		return NULL;
	for (size_t i = 0; i < sizeof answers / sizeof *answers; i++)
		if (answers[i].mode == mode)
			return &answers[i];
	return NULL;
}

/* Sends all bytes; false if the client has closed the connection. */
static bool
send_bytes (int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t sent = send (fd, p, n, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent > 0) {
			p += sent;
			n -= (size_t)sent;
			atomic_fetch_add (&n_bytes, (uint64_t)sent);
			continue;
		}
		if (errno != EAGAIN && errno != EINTR)
			return false;
		struct pollfd w = {.fd = fd, .events = POLLOUT};
		if (poll (&w, 1, POLL_MS) > 0 && w.revents & (POLLERR | POLLHUP))
			return false;
	}
	return true;
}

static void
add_head (cs_buf_t *out, server_request_t *r, const char *status_line)
{
	static const char *const echoed[] = {"X-Cs-Group", "X-Cs-Fence", "X-Cs-Request"};
	cs_buf_addz (out, status_line);
	for (size_t i = 0; i < sizeof echoed / sizeof *echoed; i++)
		if (*server_header (r, echoed[i]))
			cs_buf_printf (out, "%s: %s\r\n", echoed[i], server_header (r, echoed[i]));
}

bool
endless_applies (const server_request_t *r)
{
	return find_answer (r) != NULL;
}

enum MHD_Result
endless_handle (server_request_t *r)
{
	const endless_answer_t *a = find_answer (r);
	int fd = MHD_get_connection_info (r->connection, MHD_CONNECTION_INFO_CONNECTION_FD)
			 ->connect_fd;
	cs_buf_t start;
	cs_buf_t block;
	if (!a)
		return MHD_NO;
	cs_buf_init (&start);
	cs_buf_init (&block);
	add_head (&start, r, a->status_line);
	cs_buf_addz (&start, a->start);
	while (block.n < BLOCK_BYTES)
		cs_buf_addz (&block, a->endless);
	/* A refusal says that nothing ran. */
	if (a->mode != FAULT_ENDLESS_409 && a->mode != FAULT_ENDLESS_503 &&
	    a->mode != FAULT_ENDLESS_REPORT)
		request_log_begin (server_header (r, "X-Cs-Request"),
				   server_header (r, "Idempotency-Key"), r->path, 0);
	atomic_fetch_add (&n_answers, 1);
	atomic_fetch_add (&n_open, 1);
	bool is_open = send_bytes (fd, start.p, start.n);
	while (is_open)
		is_open = send_bytes (fd, block.p, block.n);
	atomic_fetch_sub (&n_open, 1);
	cs_buf_finish (&start);
	cs_buf_finish (&block);
	return MHD_NO;
}

json_t *
endless_json (void)
{
	return json_pack ("{s:I, s:I, s:I}", "answers", (json_int_t)atomic_load (&n_answers),
			  "open", (json_int_t)atomic_load (&n_open), "bytes",
			  (json_int_t)atomic_load (&n_bytes));
}
