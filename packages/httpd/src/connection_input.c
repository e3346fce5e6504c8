/* Requests: their heads and bodies, from the bytes that callers send. */
#include <string.h>

#include "cs/kernel.h"
#include "server_impl.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_HEAD_TOO_LARGE = 431
};

void
cs_connection_refuse (cs_server_connection_t *c, int status, const char *cause, int64_t bound,
		      int64_t value)
{
	cs_server_log_end (c, cause, bound, value);
	c->is_head = false;
	c->is_received = false; /* the rest of what was sent is not read */
	cs_server_answer (c, status, strlen (cause));
	cs_server_answer_header (c, "Content-Type", cs_str ("text/plain"));
	cs_server_answer_end_head (c, true);
	cs_buf_addz (&c->out, cause);
	c->is_read = true;
}

static void
skip (cs_str_t *rest, size_t n)
{
	*rest = cs_str_n (rest->p + n, rest->n - n);
}

/* Empty lines ahead of a request are ignored. */
static void
skip_empty_lines (cs_str_t *rest)
{
	for (;;) {
		size_t cr = rest->n && rest->p[0] == '\r';
		if (rest->n <= cr || rest->p[cr] != '\n')
			return;
		skip (rest, cr + 1);
	}
}

static void
begin_request (cs_server_connection_t *c, const cs_http_head_t *head)
{
	c->is_http_1_0 = head->is_http_1_0;
	c->is_head = cs_str_is (head->method, "HEAD");
	c->closes = c->caller_closes = head->closes;
	c->is_chunked = head->is_chunked;
	c->chunks = (cs_http_chunks_t){0};
	c->body_left = head->length;
	c->is_received = !head->is_chunked && !head->length;
	c->owes_continue =
		head->expects_continue && !head->is_http_1_0 && (head->is_chunked || head->length);
	c->request = c->server->owner->begin (c->server->data, c, head, c->since_ms);
	if (!c->is_answered)
		cs_connection_set_phase (c, CS_CONNECTION_BODY);
}

/* False if more bytes are needed. */
static bool
read_head (cs_server_connection_t *c, cs_str_t *rest)
{
	cs_http_head_t head;
	size_t max = c->server->limits.max_head_bytes;
	if (c->phase == CS_CONNECTION_IDLE) {
		skip_empty_lines (rest);
		if (!rest->n || (rest->n == 1 && rest->p[0] == '\r'))
			return false;
		c->phase = CS_CONNECTION_HEAD;
		c->since_ms = cs_now_ms ();
		c->searched = 0;
	}
	size_t n = cs_http_head_length (*rest, c->searched);
	if (n > max || (!n && rest->n > max)) {
		cs_connection_refuse (c, STATUS_HEAD_TOO_LARGE, "head-too-large", (int64_t)max,
				      (int64_t)(n ? n : rest->n));
		return false;
	}
	if (!n) {
		c->searched = rest->n;
		cs_server_sweep_by (c->server, cs_connection_due_ms (c));
		return false;
	}
	cs_http_fault_t fault = cs_http_head_parse (cs_str_n (rest->p, n), &head);
	if (fault != CS_HTTP_SOUND) {
		cs_connection_refuse (c, cs_http_fault_status (fault), cs_http_fault_name (fault),
				      0, (int64_t)n);
		return false;
	}
	begin_request (c, &head);
	skip (rest, n);
	return true;
}

static void
refuse_body (cs_server_connection_t *c)
{
	cs_server_log_end (c, "body-malformed", 0, (int64_t)c->chunks.overhead);
	cs_connection_set_phase (c, CS_CONNECTION_BUSY);
	c->server->owner->refuse_body (c->request, STATUS_BAD_REQUEST, "body-malformed");
}

/* Takes the next piece of the body out of rest. False if there is none, or if it has ended. */
static bool
next_piece (cs_server_connection_t *c, cs_str_t *rest, cs_str_t *piece)
{
	if (c->is_chunked) {
		cs_http_chunks_result_t result = cs_http_chunks_next (&c->chunks, rest, piece);
		c->is_received = result == CS_HTTP_CHUNKS_END;
		if (result == CS_HTTP_CHUNKS_BAD)
			refuse_body (c);
		return result == CS_HTTP_CHUNKS_DATA;
	}
	*piece = cs_str_n (rest->p, c->body_left < rest->n ? (size_t)c->body_left : rest->n);
	skip (rest, piece->n);
	c->body_left -= piece->n;
	c->is_received = !c->body_left && !piece->n;
	return piece->n > 0;
}

/* False if nothing more can be read of the connection now. */
static bool
read_body (cs_server_connection_t *c, cs_str_t *rest)
{
	cs_str_t piece;
	if (c->is_paused)
		return false;
	if (next_piece (c, rest, &piece)) {
		c->since_ms = cs_now_ms ();
		c->owes_continue = false;
		c->server->owner->receive_body (c->request, piece);
		return !c->is_answered;
	}
	if (c->is_received) {
		cs_connection_set_phase (c, CS_CONNECTION_BUSY);
		c->server->owner->receive_end (c->request);
	} else if (c->owes_continue && c->phase == CS_CONNECTION_BODY) {
		cs_connection_send_continue (c);
	}
	return false;
}

static void
use (cs_server_connection_t *c, cs_str_t *rest)
{
	bool has_more = true;
	while (has_more && c->phase < CS_CONNECTION_BUSY && !c->is_answered && !c->is_aborted)
		has_more =
			c->phase == CS_CONNECTION_BODY ? read_body (c, rest) : read_head (c, rest);
}

/* Requests mostly come in one piece, which is not copied. */
void
cs_connection_receive (cs_server_connection_t *c, cs_str_t bytes)
{
	bool is_buffered = c->in.n > 0;
	if (is_buffered && bytes.n)
		cs_buf_add (&c->in, bytes);
	cs_str_t all = is_buffered ? cs_buf_str (&c->in) : bytes;
	cs_str_t rest = all;
	use (c, &rest);
	if (is_buffered)
		cs_buf_consume (&c->in, all.n - rest.n);
	else if (rest.n)
		cs_buf_add (&c->in, rest);
}
