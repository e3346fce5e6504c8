/* Trace context and export of spans. */
#include "cs/trace.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "cs/kernel.h"

enum {
	SPAN_KIND_INTERNAL = 1, /* of OTLP */
	HEX_ID_BYTES = 33,      /* hexadecimal trace id and a NUL */
	PERCENT = 100
};

static FILE *export_file;
static cs_span_sink_t sink;
static void *sink_arg;
static uint32_t sample_percent = PERCENT;
static char *service_name;
static char *instance_name;

/* Parses n bytes from lower-case hexadecimal digits; false if a digit is invalid or if all
 * bytes are 0. */
static bool
parse_hex (const char *p, uint8_t *out, size_t n)
{
	bool nonzero = false;
	for (size_t i = 0; i < n; i++) {
		char pair[3] = {p[2 * i], p[2 * i + 1], 0};
		if (strspn (pair, "0123456789abcdef") != 2)
			return false;
		out[i] = (uint8_t)strtoul (pair, NULL, 16);
		nonzero |= out[i] != 0;
	}
	return nonzero;
}

static void
format_hex (const uint8_t *p, size_t n, char *out)
{
	for (size_t i = 0; i < n; i++)
		snprintf (out + 2 * i, 3, "%02x", p[i]);
}

static void
fill_random (void *p, size_t n)
{
	if (getrandom (p, n, 0) != (ssize_t)n)
		memset (p, 1, n);
}

void
cs_trace_set_sample_percent (uint32_t percent)
{
	sample_percent = percent;
}

void
cs_trace_parse (cs_trace_t *t, cs_str_t header)
{
	uint8_t flags = 0;
	bool ok = header.n == CS_TRACEPARENT_BYTES && cs_str_starts (header, "00-") &&
		  header.p[35] == '-' && header.p[52] == '-' &&
		  parse_hex (header.p + 3, t->trace_id, 16) &&
		  parse_hex (header.p + 36, t->span_id, 8);
	if (!ok) {
		fill_random (t->trace_id, sizeof t->trace_id);
		fill_random (t->span_id, sizeof t->span_id);
		t->sampled = t->trace_id[0] % PERCENT < sample_percent;
		return;
	}
	parse_hex (header.p + 53, &flags, 1);
	t->sampled = flags & 1;
}

void
cs_trace_child (cs_trace_t *child, const cs_trace_t *parent)
{
	*child = *parent;
	fill_random (child->span_id, sizeof child->span_id);
}

void
cs_trace_format (const cs_trace_t *t, char *out)
{
	char trace_id[HEX_ID_BYTES], span_id[HEX_ID_BYTES];
	format_hex (t->trace_id, 16, trace_id);
	format_hex (t->span_id, 8, span_id);
	snprintf (out, CS_TRACEPARENT_BYTES + 1, "00-%.32s-%.16s-%s", trace_id, span_id,
		  t->sampled ? "01" : "00");
}

cs_status_t
cs_trace_open (const char *path, const char *service, const char *instance)
{
	export_file = *path ? fopen (path, "ae") : NULL;
	if (*path && !export_file)
		return cs_fail (CS_INVALID, "trace file \"%s\" cannot be opened", path);
	service_name = cs_str_dup (cs_str (service));
	instance_name = cs_str_dup (cs_str (instance));
	return CS_OK;
}

void
cs_trace_set_sink (cs_span_sink_t to, void *arg)
{
	sink = to;
	sink_arg = arg;
}

void
cs_trace_close (void)
{
	if (export_file)
		fclose (export_file);
	export_file = NULL;
	free (service_name);
	free (instance_name);
	service_name = NULL;
	instance_name = NULL;
}

static json_t *
attribute_json (const char *key, cs_str_t value)
{
	return json_pack ("{s:s, s:{s:s%}}", "key", key, "value", "stringValue", value.p, value.n);
}

/* Converts a time of cs_now_us to nanoseconds since the Unix epoch, as the decimal string
 * that OTLP requires. */
static json_t *
epoch_ns_json (int64_t us)
{
	struct timespec now;
	char text[32];
	clock_gettime (CLOCK_REALTIME, &now);
	int64_t wall_us = (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
	snprintf (text, sizeof text, "%lld000", (long long)(wall_us - (cs_now_us () - us)));
	return json_string (text);
}

json_t *
cs_trace_export_request (json_t *spans)
{
	json_t *resource =
		json_pack ("[o,o]", attribute_json ("service.name", cs_str (service_name)),
			   attribute_json ("service.instance.id", cs_str (instance_name)));
	return json_pack ("{s:[{s:{s:o},s:[{s:o}]}]}", "resourceSpans", "resource", "attributes",
			  resource, "scopeSpans", "spans", spans);
}

static void
write_span_line (json_t *span)
{
	json_t *root = cs_trace_export_request (json_pack ("[O]", span));
	json_dumpf (root, export_file, JSON_COMPACT);
	fputc ('\n', export_file);
	fflush (export_file);
	json_decref (root);
}

void
cs_span_export (const cs_trace_t *span, const cs_trace_t *parent, const char *name,
		int64_t start_us, int64_t end_us, const cs_attribute_t *attributes, size_t n)
{
	char trace_id[HEX_ID_BYTES], span_id[HEX_ID_BYTES], parent_id[HEX_ID_BYTES] = "";
	if ((!export_file && !sink) || !span->sampled)
		return;
	format_hex (span->trace_id, 16, trace_id);
	format_hex (span->span_id, 8, span_id);
	if (parent)
		format_hex (parent->span_id, 8, parent_id);

	json_t *list = json_array ();
	for (size_t i = 0; i < n; i++)
		json_array_append_new (list,
				       attribute_json (attributes[i].key, attributes[i].value));
	json_t *span_json =
		json_pack ("{s:s,s:s,s:s,s:s,s:i,s:o,s:o,s:o}", "traceId", trace_id, "spanId",
			   span_id, "parentSpanId", parent_id, "name", name, "kind",
			   SPAN_KIND_INTERNAL, "startTimeUnixNano", epoch_ns_json (start_us),
			   "endTimeUnixNano", epoch_ns_json (end_us), "attributes", list);
	if (sink)
		sink (sink_arg, span_json);
	if (export_file)
		write_span_line (span_json);
	json_decref (span_json);
}
