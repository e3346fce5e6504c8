#include "resource_check.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/resources.h"

enum {
	MAX_NAME_BYTES = 63
};

void
report_finding (const table_context_t *ctx, const char *key, const char *format, ...)
{
	va_list args;
	char *message;
	const cs_toml_node_t *node = key ? cs_toml_get (ctx->table, key) : NULL;
	va_start (args, format);
	if (vasprintf (&message, format, args) < 0)
		abort ();
	va_end (args);
	if (!node)
		node = ctx->table;
	cs_findings_add (ctx->findings, cs_toml_file (ctx->doc), cs_toml_line (node),
			 cs_toml_column (node), "%s: %s", ctx->where, message);
	free (message);
}

/* Names become parts of paths and of group names, so they must not contain separators. */
static bool
is_name (const char *s)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789._-";
	size_t n = strlen (s);
	return n && n <= MAX_NAME_BYTES && isalnum ((unsigned char)*s) && strspn (s, allowed) == n;
}

/* False for an absent or empty string. cs_toml_read_fields has reported it if the key is required
 * or must not be empty. */
static bool
is_set (const char *s)
{
	return s && *s;
}

static void
check_name (const table_context_t *ctx, const char *key, const char *value)
{
	if (is_set (value) && !is_name (value))
		report_finding (
			ctx, key,
			"\"%s\" must be up to %d lower-case letters, digits, '.', '_' or '-', "
			"beginning with a letter or digit",
			key, MAX_NAME_BYTES);
}

/* Model names and versions become parts of paths in the weight store. */
static void
check_path_segment (const table_context_t *ctx, const char *key, const char *value)
{
	if (!is_set (value))
		return;
	for (const char *c = value; *c; c++) {
		if (isgraph ((unsigned char)*c) && !strchr ("/?#%", *c))
			continue;
		report_finding (ctx, key, "\"%s\" must not contain spaces, '/', '?', '#' or '%%'",
				key);
		return;
	}
}

static void
check_names (const table_context_t *ctx, const char *key, char *const *names, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		check_name (ctx, key, names[i]);
		if (!*names[i])
			report_finding (ctx, key, "\"%s\" contains an empty name", key);
		for (size_t j = 0; j < i; j++)
			if (!strcmp (names[i], names[j]))
				report_finding (ctx, key, "\"%s\" contains \"%s\" twice", key,
						names[i]);
	}
}

void
check_model_group (const table_context_t *ctx, const flat_model_group_t *f)
{
	const cs_toml_node_t *zones = cs_toml_get (ctx->table, "zones");
	check_name (ctx, "name", f->name);
	check_path_segment (ctx, "model", f->spec.model);
	check_path_segment (ctx, "version", f->spec.version);
	check_names (ctx, "zones", f->spec.zones, f->spec.n_zones);
	check_names (ctx, "adapters", f->spec.adapters, f->spec.n_adapters);
	if (zones && cs_toml_kind (zones) == CS_TOML_ARRAY && !cs_toml_size (zones))
		report_finding (ctx, "zones", "\"zones\" must not be empty");
}

static void
check_model_service (const table_context_t *ctx)
{
	static const char *const plain_only[] = {"backend", "protected"};
	if (!cs_toml_get (ctx->table, "model_group"))
		report_finding (ctx, NULL, "\"model_group\" is missing");
	for (size_t i = 0; i < 2; i++)
		if (cs_toml_get (ctx->table, plain_only[i]))
			report_finding (ctx, plain_only[i], "\"%s\" is for plain services",
					plain_only[i]);
}

static void
check_plain_service (const table_context_t *ctx, const flat_service_t *f)
{
	if (cs_toml_get (ctx->table, "model_group"))
		report_finding (ctx, "model_group",
				"\"model_group\" is valid only for model services");
	if (!f->spec.n_backends && !cs_toml_get (ctx->table, "backend"))
		report_finding (ctx, NULL, "\"backend\" is missing");
}

void
check_service (const table_context_t *ctx, const flat_service_t *f)
{
	check_name (ctx, "name", f->name);
	check_name (ctx, "model_group", f->spec.model_group);
	if (!is_set (f->kind))
		return;
	if (!strcmp (f->kind, "model"))
		check_model_service (ctx);
	else if (!strcmp (f->kind, "plain"))
		check_plain_service (ctx, f);
	else
		report_finding (ctx, "kind", "\"kind\" must be model or plain");
}

/* True for http://IP:PORT with an IPv4 address and a port from 1 to 65535. */
static bool
is_backend_url (const char *url)
{
	char ip[INET_ADDRSTRLEN];
	struct in_addr address;
	uint64_t port;
	cs_str_t rest = cs_str (url);
	if (!cs_str_starts (rest, "http://"))
		return false;
	rest = cs_str (url + strlen ("http://"));
	cs_str_t host = cs_str_split (&rest, ':');
	if (host.n >= sizeof ip || !cs_str_u64 (rest, &port) || !port || port > UINT16_MAX)
		return false;
	snprintf (ip, sizeof ip, "%.*s", CS_STR_ARG (host));
	return inet_pton (AF_INET, ip, &address) == 1;
}

void
check_backend (const table_context_t *ctx, const Cs__Backend *b, const Cs__Service *s)
{
	check_name (ctx, "name", b->name);
	check_name (ctx, "zone", b->zone);
	if (is_set (b->url) && !is_backend_url (b->url))
		report_finding (ctx, "url", "\"url\" must be http://IP:PORT");
	for (size_t i = 0; i < s->n_backends; i++)
		if (*b->name && !strcmp (b->name, s->backends[i]->name))
			report_finding (ctx, "name", "back end \"%s\" is declared twice", b->name);
}

void
check_route (const table_context_t *ctx, const Cs__ProtectedRoute *p)
{
	static const char *const methods[] = {"POST", "PUT", "PATCH", "DELETE", "GET"};
	bool is_known = !is_set (p->method);
	for (size_t i = 0; i < sizeof methods / sizeof *methods; i++)
		is_known = is_known || !strcmp (p->method, methods[i]);
	if (!is_known)
		report_finding (ctx, "method",
				"\"method\" must be POST, PUT, PATCH, DELETE or GET");
	if (is_set (p->path_prefix) && *p->path_prefix != '/')
		report_finding (ctx, "path_prefix", "\"path_prefix\" must begin with '/'");
}

void
check_team (const table_context_t *ctx, const flat_team_t *f)
{
	check_name (ctx, "name", f->name);
	check_names (ctx, "services", f->spec.services, f->spec.n_services);
}
