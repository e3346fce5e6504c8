#include "path.h"

#include <string.h>

static int
hex_digit (char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static bool
is_unreserved (int c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
	       (c && strchr ("-._~", c));
}

/* Appends the escape "%XX" at s.p in normalized form; false if it is malformed. */
static bool
add_escape (cs_str_t s, cs_buf_t *out)
{
	int hi = s.n > 2 ? hex_digit (s.p[1]) : -1;
	int lo = s.n > 2 ? hex_digit (s.p[2]) : -1;
	int c = hi * 16 + lo;
	char plain = (char)c;
	if (hi < 0 || lo < 0)
		return false;
	if (is_unreserved (c))
		cs_buf_add (out, cs_str_n (&plain, 1));
	else
		cs_buf_printf (out, "%%%02X", (unsigned)c);
	return true;
}

static cs_status_t
check_segments (cs_str_t path)
{
	cs_str_t rest = cs_str_n (path.p + 1, path.n - 1);
	while (rest.n) {
		cs_str_t segment = cs_str_split (&rest, '/');
		if (!segment.n)
			return cs_fail (CS_INVALID, "the path has an empty segment");
		if (cs_str_is (segment, ".") || cs_str_is (segment, ".."))
			return cs_fail (CS_INVALID, "the path has a dot segment");
	}
	return CS_OK;
}

cs_status_t
cs_path_normalize (cs_str_t target, cs_buf_t *out)
{
	size_t start = out->n;
	if (!cs_str_starts (target, "/"))
		return cs_fail (CS_INVALID, "the target does not begin with a slash");
	for (size_t i = 0; i < target.n; i++) {
		unsigned char c = (unsigned char)target.p[i];
		if (c <= ' ' || c == 0x7f)
			return cs_fail (CS_INVALID,
					"the target has a space or a control character");
		if (c != '%') {
			cs_buf_add (out, cs_str_n (target.p + i, 1));
			continue;
		}
		if (!add_escape (cs_str_n (target.p + i, target.n - i), out))
			return cs_fail (CS_INVALID, "the target has a malformed percent escape");
		i += 2;
	}
	cs_str_t rest = cs_str_n (out->p + start, out->n - start);
	return check_segments (cs_str_split (&rest, '?'));
}

static cs_route_t
route_service (cs_str_t target, cs_str_t path, cs_str_t query)
{
	static const size_t prefix = sizeof "/services/" - 1;
	cs_route_t r = {CS_ROUTE_NONE, NULL, {"", 0}, target, query};
	cs_str_t rest = cs_str_n (path.p + prefix, path.n - prefix);
	const char *slash = rest.n ? memchr (rest.p, '/', rest.n) : NULL;
	if (!slash || slash == rest.p)
		return r;
	r.kind = CS_ROUTE_SERVICE;
	r.service = cs_str_n (rest.p, (size_t)(slash - rest.p));
	r.path = cs_str_n (slash, (size_t)(target.p + target.n - slash));
	return r;
}

cs_route_t
cs_path_find_route (cs_str_t target)
{
	static const struct {
		const char *path;
		cs_route_kind_t kind;
		const char *method;
	} exact[] = {
		{"/v1/chat/completions", CS_ROUTE_CHAT, "POST"},
		{"/v1/models", CS_ROUTE_MODELS, "GET"},
		{"/healthz", CS_ROUTE_HEALTH, "GET"},
		{"/readyz", CS_ROUTE_READY, "GET"},
		{"/metrics", CS_ROUTE_METRICS, "GET"},
	};
	cs_str_t query = target;
	cs_str_t path = cs_str_split (&query, '?');
	cs_route_t r = {CS_ROUTE_NONE, NULL, {"", 0}, target, query};
	for (size_t i = 0; i < sizeof exact / sizeof *exact; i++) {
		if (!cs_str_is (path, exact[i].path))
			continue;
		r.kind = exact[i].kind;
		r.method = exact[i].method;
		return r;
	}
	if (cs_str_starts (path, "/services/"))
		return route_service (target, path, query);
	if (cs_str_starts (path, "/apis/"))
		r.kind = CS_ROUTE_OPERATOR;
	return r;
}
