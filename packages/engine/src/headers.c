/* Header lines that an attempt sends to the back end. */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "attempt.h"

static void __attribute__ ((format (printf, 2, 3)))
add_header (cs_attempt_t *a, const char *format, ...)
{
	va_list ap;
	if (a->n_header_lines == CS_ATTEMPT_MAX_HEADERS)
		return;
	va_start (ap, format);
	if (vasprintf (&a->header_lines[a->n_header_lines], format, ap) >= 0)
		a->n_header_lines++;
	va_end (ap);
}

/* Tells the back end how long the caller still waits, so that it can stop working then. */
static void
add_deadline (cs_attempt_t *a, const cs_request_t *r)
{
	int64_t remaining_ms = r->deadline_ms - cs_now_ms ();
	if (r->deadline_ms)
		add_header (a, "X-Request-Timeout-Ms: %" PRId64,
			    remaining_ms > 0 ? remaining_ms : 0);
}

void
cs_attempt_add_headers (cs_attempt_t *a)
{
	const cs_dispatch_msg_t *d = a->dispatch;
	const cs_request_t *r = d->request;
	char traceparent[CS_TRACEPARENT_BYTES + 1];
	cs_trace_format (&a->span, traceparent);
	add_header (a, "traceparent: %s", traceparent);
	add_header (a, "X-Cs-Request: %016" PRIx64, r->id);
	add_deadline (a, r);
	if (d->is_model_group) {
		add_header (a, "Content-Type: application/json");
		add_header (a, "Priority: u=%" PRIu32 "%s", d->urgency, r->stream ? ", i" : "");
		add_header (a, "X-Cs-Group: %s", d->group);
		add_header (a, "X-Cs-Fence: %" PRIu64, d->fence);
		if (d->prefix)
			add_header (a, "X-Cs-Prefix: %016" PRIx64, d->prefix);
		if (d->resume_from)
			add_header (a, "X-Cs-Resume-From: %" PRIu32, d->resume_from);
		return;
	}
	if (r->content_type.n)
		add_header (a, "Content-Type: %.*s", CS_STR_ARG (r->content_type));
	if (r->key.n)
		add_header (a, "Idempotency-Key: %.*s", CS_STR_ARG (r->key));
}
