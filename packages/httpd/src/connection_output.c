/* Answers: their heads, chunks and the socket. */
#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>

#include "cs/kernel.h"
#include "server_impl.h"

enum {
	BLOCK_BYTES = 4 << 10,        /* of an answer that are held here at a time */
	MAX_BYTES_AT_ONCE = 64 << 10, /* then other connections have their turn */
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	MS_PER_S = 1000
};

void
cs_server_answer (cs_server_connection_t *c, int status, uint64_t length)
{
	c->is_answered = true;
	c->has_date = false;
	c->status = status;
	c->answer_left = length;
	cs_buf_printf (&c->out, "HTTP/1.1 %d %s\r\n", status,
		       MHD_get_reason_phrase_for ((unsigned)status));
}

void
cs_server_answer_header (cs_server_connection_t *c, const char *name, cs_str_t value)
{
	c->has_date |= !strcasecmp (name, "Date");
	cs_buf_addz (&c->out, name);
	cs_buf_addz (&c->out, ": ");
	cs_buf_add (&c->out, value);
	cs_buf_addz (&c->out, "\r\n");
}

static void
add_date (cs_server_connection_t *c)
{
	static time_t last;
	static char text[40];
	time_t now = (time_t)(cs_time_of_day_ms () / MS_PER_S);
	struct tm tm;
	if (now != last && gmtime_r (&now, &tm)) {
		strftime (text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &tm);
		last = now;
	}
	cs_server_answer_header (c, "Date", cs_str (text));
}

static void
add_connection (cs_server_connection_t *c)
{
	uint32_t idle_s = c->server->limits.idle_timeout_ms / MS_PER_S;
	if (c->closes)
		cs_buf_addz (&c->out, "Connection: close\r\n");
	else if (idle_s)
		cs_buf_printf (&c->out, "Keep-Alive: timeout=%u\r\n", idle_s);
}

void
cs_server_answer_end_head (cs_server_connection_t *c, bool closes)
{
	bool is_empty = c->status == STATUS_NO_CONTENT || c->status == STATUS_NOT_MODIFIED;
	bool has_length = c->answer_left != CS_SERVER_UNKNOWN_LENGTH;
	c->closes |= closes || !c->is_received || (!has_length && c->is_http_1_0);
	if (!c->has_date)
		add_date (c);
	add_connection (c);
	c->has_chunks = !has_length && !is_empty && !c->is_http_1_0;
	if (c->has_chunks)
		cs_buf_addz (&c->out, "Transfer-Encoding: chunked\r\n");
	else if (has_length && !is_empty && !c->is_head)
		cs_buf_printf (&c->out, "Content-Length: %llu\r\n",
			       (unsigned long long)c->answer_left);
	cs_buf_addz (&c->out, "\r\n");
	c->is_read = is_empty || c->is_head || !c->answer_left;
	cs_connection_set_phase (c, CS_CONNECTION_BUSY);
	cs_server_wake (c);
}

/* Reads a block from the owner. False if there is none at present. */
static bool
read_block (cs_server_connection_t *c)
{
	char block[BLOCK_BYTES];
	size_t room = sizeof block - c->out.n;
	size_t max = c->answer_left < room ? (size_t)c->answer_left : room;
	ssize_t n = c->server->owner->read_answer (c->request, block, max);
	if (!n)
		return false;
	if (n < 0) {
		c->is_read = true;
		/* An answer that is shorter than its stated length is cut as well. */
		c->is_cut = n != CS_SERVER_END || c->answer_left != CS_SERVER_UNKNOWN_LENGTH;
		if (c->has_chunks && !c->is_cut)
			cs_buf_addz (&c->out, "0\r\n\r\n");
		return true;
	}
	if (c->has_chunks)
		cs_buf_printf (&c->out, "%zx\r\n", (size_t)n);
	cs_buf_add (&c->out, cs_str_n (block, (size_t)n));
	if (c->has_chunks)
		cs_buf_addz (&c->out, "\r\n");
	if (c->answer_left != CS_SERVER_UNKNOWN_LENGTH)
		c->is_read = !(c->answer_left -= (uint64_t)n);
	return true;
}

/* Sends what is in out. False if the connection is broken. */
static bool
flush (cs_server_connection_t *c)
{
	while (c->sent < c->out.n) {
		ssize_t n = send (c->output.fd, c->out.p + c->sent, c->out.n - c->sent,
				  MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN;
		c->sent += (size_t)n;
		c->server->activity += (size_t)n;
		c->since_ms = cs_now_ms ();
	}
	cs_buf_clear (&c->out);
	c->sent = 0;
	return true;
}

static void
wait_for_socket (cs_server_connection_t *c)
{
	ev_io_start (c->server->loop, &c->output);
	cs_server_sweep_by (c->server, cs_connection_due_ms (c));
}

cs_output_t
cs_connection_send (cs_server_connection_t *c)
{
	size_t end = c->server->activity + MAX_BYTES_AT_ONCE;
	ev_io_stop (c->server->loop, &c->output);
	for (bool has_more = true;;) {
		while (!c->is_read && has_more && c->out.n < BLOCK_BYTES)
			has_more = read_block (c);
		if (!flush (c))
			return CS_OUTPUT_BROKEN;
		if (c->out.n || c->server->activity >= end) {
			wait_for_socket (c);
			return CS_OUTPUT_WAITS;
		}
		if (c->is_read)
			return c->is_cut ? CS_OUTPUT_BROKEN : CS_OUTPUT_DONE;
		if (!has_more)
			return CS_OUTPUT_WAITS;
	}
}

/* A caller whose socket takes not even this sends its body after a moment by itself. */
void
cs_connection_send_continue (cs_server_connection_t *c)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	c->owes_continue = false;
	if (send (c->output.fd, interim, sizeof interim - 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		cs_server_log_end (c, "continue-unsent", 0, errno);
}
