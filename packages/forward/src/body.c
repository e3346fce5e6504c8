/* Bodies of requests: the memory for them, and those that wait for it or are refused. */
#include <stdlib.h>
#include <strings.h>

#include "cs/log.h"
#include "forward.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_TIMEOUT = 408,
	STATUS_TOO_LARGE = 413,
	STATUS_UNAVAILABLE = 503,
	DEFAULT_MEMORY_BYTES = 160 << 20, /* when the settings have none */
	DEFAULT_MAX_BODY_BYTES = 16 << 20 /* until a configuration sets a limit */
};

void
cs_bodies_init (cs_forward_t *f)
{
	size_t memory_bytes = f->host->memory_bytes ? f->host->memory_bytes : DEFAULT_MEMORY_BYTES;
	cs_memory_shares_t shares = cs_memory_shares (memory_bytes, f->host->max_connections);
	cs_answer_memory_init (&f->answer_memory, shares.answers);
	cs_body_memory_init (&f->body_memory, shares.bodies);
	cs_log_event ("forward", "memory", "machine=%zu answers=%zu bodies=%zu connections=%u",
		      memory_bytes, shares.answers, shares.bodies, f->host->max_connections);
}

static void
log_body (const cs_call_t *c, const char *event, size_t size)
{
	const cs_body_memory_t *m = &c->forward->body_memory;
	cs_log_event ("forward", event,
		      "id=%.*s bytes=%zu received=%zu held=%zu of=%zu waiting=%zu after_ms=%lld",
		      CS_STR_ARG (cs_call_id (c)), size, c->body.n, m->memory.held, m->memory.max,
		      m->n_waiting, (long long)(cs_now_ms () - c->received_ms));
}

static uint64_t
max_body_bytes (const cs_forward_t *f)
{
	return f->serving ? f->serving->max_body_bytes : DEFAULT_MAX_BODY_BYTES;
}

/* What of the body is still to come is read and dropped. */
static void
drop (cs_call_t *c, int status, const char *reason, uint32_t retry_after_ms)
{
	c->body_status = status;
	c->body_reason = reason;
	c->body_retry_ms = retry_after_ms;
	cs_buf_finish (&c->body);
	cs_body_release (c);
}

static bool
has_twice (const cs_call_t *c, const char *name)
{
	size_t n = 0;
	for (size_t i = 0; i < c->headers.n; i++)
		n += !strcasecmp (c->headers.items[i].name, name);
	return n > 1;
}

/* Answers before the body has been read; the server closes the connection behind it. */
static void
answer_now (cs_call_t *c)
{
	cs_call_count (c);
	cs_reply_own (c, c->body_status, c->body_reason, c->body_retry_ms);
	cs_reply_serve (c);
}

void
cs_body_refuse (cs_call_t *c, int status, const char *reason)
{
	if (!c->body_status)
		drop (c, status, reason, 0);
	answer_now (c);
}

static void
refuse_for_memory (cs_call_t *c, size_t size)
{
	cs_body_memory_t *m = &c->forward->body_memory;
	log_body (c, "request_body_refused", size);
	drop (c, STATUS_UNAVAILABLE, "body-memory", cs_body_memory_retry_ms (m, size));
}

/* Asks for the memory of a body of `size` bytes; if it has to wait, nothing more is read of it. */
static void
ask (cs_call_t *c, size_t size)
{
	cs_forward_t *f = c->forward;
	switch (cs_body_memory_ask (&f->body_memory, &c->body_share, size, cs_now_ms (),
				    cs_call_deadline_ms (c))) {
	case CS_BODY_ADMITTED:
		break;
	case CS_BODY_WAITS:
		log_body (c, "request_body_waits", size);
		cs_server_pause (c->connection, true);
		break;
	case CS_BODY_REFUSED:
		refuse_for_memory (c, size);
		break;
	case CS_BODY_TOO_LARGE:
		log_body (c, "request_body_refused", size);
		drop (c, STATUS_TOO_LARGE, "body-too-large", 0);
		break;
	}
}

void
cs_body_begin (cs_call_t *c, const cs_http_head_t *head)
{
	c->head_bytes = cs_body_memory_head_bytes (head->target.n + head->lines.n, head->n_lines);
	if (head->length > max_body_bytes (c->forward))
		drop (c, STATUS_TOO_LARGE, "body-too-large", 0);
	else if (has_twice (c, c->forward->names->request_id) ||
		 has_twice (c, c->forward->names->key) ||
		 has_twice (c, c->forward->names->deadline))
		drop (c, STATUS_BAD_REQUEST, "header-twice", 0);
	else if (head->length || c->head_bytes)
		ask (c, head->length + c->head_bytes);
	if (c->body_status)
		answer_now (c);
}

void
cs_body_add (cs_call_t *c, cs_str_t part)
{
	size_t max = max_body_bytes (c->forward), size = c->body.n + part.n;
	c->heard_ms = cs_now_ms ();
	if (size > max) {
		drop (c, STATUS_TOO_LARGE, "body-too-large", 0);
	} else {
		cs_buf_add (&c->body, part);
		if (size + c->head_bytes > c->body_share.held_bytes)
			ask (c, c->head_bytes + (size <= CS_BODY_SMALL_BYTES ? size : max));
	}
	if (c->body_status)
		answer_now (c);
}

void
cs_body_end (cs_call_t *c)
{
	cs_body_memory_shrink (&c->forward->body_memory, &c->body_share, c->body.n + c->head_bytes,
			       cs_now_ms ());
	cs_bodies_serve (c->forward);
}

static cs_call_t *
call_of (cs_body_t *b)
{
	return (cs_call_t *)((char *)b - offsetof (cs_call_t, body_share));
}

void
cs_bodies_serve (cs_forward_t *f)
{
	cs_body_verdict_t verdict;
	cs_body_t *b;
	while ((b = cs_body_memory_next (&f->body_memory, cs_now_ms (), &verdict))) {
		cs_call_t *c = call_of (b);
		c->heard_ms = cs_now_ms ();
		if (verdict == CS_BODY_ADMITTED)
			log_body (c, "request_body_admitted", b->held_bytes);
		else
			refuse_for_memory (c, c->body.n);
		cs_server_pause (c->connection, false);
		if (c->body_status)
			answer_now (c);
	}
}

void
cs_body_release (cs_call_t *c)
{
	cs_body_memory_shrink (&c->forward->body_memory, &c->body_share, 0, cs_now_ms ());
}

void
cs_bodies_refuse_waiting (cs_forward_t *f)
{
	while (f->body_memory.waiting) {
		cs_call_t *c = call_of (f->body_memory.waiting);
		drop (c, STATUS_UNAVAILABLE, "stopping", CS_STOPPING_RETRY_MS);
		answer_now (c);
	}
}

void
cs_bodies_tick (cs_forward_t *f, int64_t now_ms)
{
	for (cs_call_t *c = f->calls; c; c = c->next) {
		if (c->phase != CS_CALL_READING ||
		    !cs_body_memory_may_drop (&f->body_memory, &c->body_share, c->heard_ms,
					      cs_call_deadline_ms (c), now_ms))
			continue;
		log_body (c, "request_body_dropped", c->body_share.held_bytes);
		drop (c, STATUS_TIMEOUT, "body-timeout", 0);
		answer_now (c);
	}
	cs_bodies_serve (f);
}
