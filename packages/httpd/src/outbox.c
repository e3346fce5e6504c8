#include <string.h>

#include "cs/httpd.h"

enum {
	MOVED_BYTES = 32 << 10, /* so few are moved up whenever some before them are sent */
	SENT_PART = 4           /* more only once this part of all is sent */
};

size_t
cs_httpd_outbox_size (const cs_httpd_outbox_t *o)
{
	return o->queue.n - o->consumed;
}

void
cs_httpd_outbox_add (cs_httpd_outbox_t *o, cs_str_t bytes)
{
	bool is_worth_it = o->queue.n <= MOVED_BYTES || o->consumed >= o->queue.n / SENT_PART;
	if (o->consumed && is_worth_it) {
		cs_buf_consume (&o->queue, o->consumed);
		o->consumed = 0;
	}
	if (bytes.n)
		cs_buf_add (&o->queue, bytes);
}

void
cs_httpd_outbox_move (cs_httpd_outbox_t *o, cs_buf_t *bytes)
{
	if (cs_httpd_outbox_size (o)) {
		cs_httpd_outbox_add (o, cs_buf_str (bytes));
		cs_buf_finish (bytes);
		return;
	}
	cs_buf_finish (&o->queue);
	o->queue = *bytes;
	o->consumed = 0;
	cs_buf_init (bytes);
}

size_t
cs_httpd_outbox_take (cs_httpd_outbox_t *o, char *out, size_t max)
{
	size_t available = cs_httpd_outbox_size (o);
	size_t n = available < max ? available : max;
	if (!n)
		return 0;
	memcpy (out, o->queue.p + o->consumed, n);
	o->consumed += n;
	if (n == available) {
		cs_buf_consume (&o->queue, o->queue.n);
		o->consumed = 0;
	}
	return n;
}

void
cs_httpd_outbox_finish (cs_httpd_outbox_t *o)
{
	cs_buf_finish (&o->queue);
	o->consumed = 0;
}
