/* W3C trace context, and spans exported as OTLP JSON to a file and to a callback. */
#ifndef CS_TRACE_H
#define CS_TRACE_H

#include <jansson.h>

#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_TRACEPARENT_BYTES = 55 /* length of a version 00 traceparent header */
};

/* Trace context of a request or span. */
typedef struct {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	bool sampled;
} cs_trace_t;

/* Sets the share of new traces that are sampled, in percent; 100 until set. */
void cs_trace_set_sample_percent (uint32_t percent);
/* Parses a traceparent header; a malformed or empty header starts a new trace. */
void cs_trace_parse (cs_trace_t *t, cs_str_t header);
/* Derives a context of the same trace with a new span id. */
void cs_trace_child (cs_trace_t *child, const cs_trace_t *parent);
/* Writes the traceparent header and a NUL to out[CS_TRACEPARENT_BYTES + 1]. */
void cs_trace_format (const cs_trace_t *t, char *out);

/* Opens the export file for appending; path "" means no file. service and instance become
 * the OTLP attributes service.name and service.instance.id. CS_INVALID if path cannot be
 * opened. */
cs_status_t cs_trace_open (const char *path, const char *service, const char *instance);
void cs_trace_close (void);
/* Receives every exported span as an OTLP span object, besides the file; the callee takes
 * its own reference if it keeps span. */
typedef void (*cs_span_sink_t) (void *arg, json_t *span);
/* Sets the callback; NULL removes it. */
void cs_trace_set_sink (cs_span_sink_t sink, void *arg);
/* Returns a new OTLP export request; takes over the reference to the array spans. */
json_t *cs_trace_export_request (json_t *spans);

/* Attribute of a span. */
typedef struct {
	const char *key;
	cs_str_t value;
} cs_attribute_t;

/* Exports an ended span if it is sampled; times are of cs_now_us. parent may be NULL. */
void cs_span_export (const cs_trace_t *span, const cs_trace_t *parent, const char *name,
		     int64_t start_us, int64_t end_us, const cs_attribute_t *attributes, size_t n);

#endif
