/* Settings of a daemon; see docs/SETTINGS.md. */
#include "cs/settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/peer_key.h"
#include "cs/toml.h"

enum {
	DIGEST_HEX_BYTES = 64
};

#define SETTING_OFFSET(member) offsetof (cs_settings_t, member)

static const cs_field_t daemon_fields[] = {
	{"name", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (name), 0},
	{"zone", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (zone), 0},
	{"region", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (region), 0},
	{"listen", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (listen), 0},
	{"peer_listen", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (peer_listen), 0},
	{"peer_address", CS_FIELD_STRING, false, 1, 0, SETTING_OFFSET (peer_address), 0},
	{"peer_key_file", CS_FIELD_STRING, false, 1, 0, SETTING_OFFSET (peer_key_file), 0},
	{"peer_accepted_keys", CS_FIELD_STRINGS, false, 0, 0, SETTING_OFFSET (peer_accepted_keys),
	 SETTING_OFFSET (n_peer_accepted_keys)},
	{"seeds", CS_FIELD_STRINGS, false, 0, 0, SETTING_OFFSET (seeds), SETTING_OFFSET (n_seeds)},
	{"log_level", CS_FIELD_STRING, false, 1, 0, SETTING_OFFSET (log_level), 0},
	{"drain_seconds", CS_FIELD_U32, false, 1, 3600, SETTING_OFFSET (drain_seconds), 0},
};
static const cs_field_t platform_fields[] = {
	{"log_url", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (log_url), 0},
	{"vm_list_url", CS_FIELD_STRING, true, 1, 0, SETTING_OFFSET (vm_list_url), 0},
	{"claim_shards", CS_FIELD_U32, false, 1, 1024, SETTING_OFFSET (claim_shards), 0},
};
static const cs_field_t trace_fields[] = {
	{"file", CS_FIELD_STRING, false, 0, 0, SETTING_OFFSET (trace_file), 0},
	{"url", CS_FIELD_STRING, false, 0, 0, SETTING_OFFSET (trace_url), 0},
	{"sample_percent", CS_FIELD_U32, false, 0, 100, SETTING_OFFSET (trace_percent), 0},
};
static const cs_field_t limit_fields[] = {
	{"max_body_bytes", CS_FIELD_U32, false, 1024, 64 << 20, SETTING_OFFSET (max_body_bytes), 0},
	{"max_header_bytes", CS_FIELD_U32, false, 1024, 1 << 20, SETTING_OFFSET (max_header_bytes),
	 0},
	{"max_connections", CS_FIELD_U32, false, 16, 65536, SETTING_OFFSET (max_connections), 0},
	{"head_timeout_ms", CS_FIELD_U32, false, 100, 600000, SETTING_OFFSET (head_timeout_ms), 0},
	{"idle_timeout_ms", CS_FIELD_U32, false, 1000, 3600000, SETTING_OFFSET (idle_timeout_ms),
	 0},
};
static const cs_field_t token_fields[] = {
	{"name", CS_FIELD_STRING, true, 1, 0, offsetof (cs_token_t, name), 0},
	{"digest", CS_FIELD_STRING, true, 1, 0, offsetof (cs_token_t, digest), 0},
};
static const cs_field_t root_fields[] = {
	{"daemon", CS_FIELD_SKIP, true, 0, 0, 0, 0},  {"platform", CS_FIELD_SKIP, true, 0, 0, 0, 0},
	{"trace", CS_FIELD_SKIP, false, 0, 0, 0, 0},  {"limits", CS_FIELD_SKIP, false, 0, 0, 0, 0},
	{"caller", CS_FIELD_SKIP, false, 0, 0, 0, 0}, {"operator", CS_FIELD_SKIP, true, 0, 0, 0, 0},
};

#define COUNT(a) (sizeof (a) / sizeof *(a))

void
cs_settings_init (cs_settings_t *s)
{
	memset (s, 0, sizeof *s);
	s->drain_seconds = 60;
	s->claim_shards = 4;
	s->trace_percent = 100;
	s->max_body_bytes = 4 << 20;
	s->max_header_bytes = 32 << 10;
	s->max_connections = 4096;
	s->head_timeout_ms = 10000;
	s->idle_timeout_ms = 60000;
}

static void
free_tokens (cs_token_t *t, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		free (t[i].name);
		free (t[i].digest);
	}
	free (t);
}

static void
free_strings (char **list, size_t n)
{
	for (size_t i = 0; i < n; i++)
		free (list[i]);
	free (list);
}

void
cs_settings_finish (cs_settings_t *s)
{
	free (s->name);
	free (s->zone);
	free (s->region);
	free (s->listen);
	free (s->peer_listen);
	free (s->peer_address);
	free (s->log_level);
	free (s->peer_key_file);
	free (s->peer_secret_key);
	free (s->peer_public_key);
	free_strings (s->peer_accepted_keys, s->n_peer_accepted_keys);
	free_strings (s->seeds, s->n_seeds);
	free (s->log_url);
	free (s->vm_list_url);
	free (s->trace_file);
	free (s->trace_url);
	free_tokens (s->callers, s->n_callers);
	free_tokens (s->operators, s->n_operators);
	memset (s, 0, sizeof *s);
}

static const cs_toml_node_t *
find_section (const cs_toml_doc_t *doc, const char *name, cs_toml_kind_t kind,
	      cs_findings_t *findings)
{
	const cs_toml_node_t *n = cs_toml_get (cs_toml_root (doc), name);
	if (!n || cs_toml_kind (n) == kind)
		return n;
	cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (n), cs_toml_column (n),
			 "\"%s\" must be %s", name,
			 kind == CS_TOML_TABLE ? "a table" : "an array of tables");
	return NULL;
}

static void
read_section (const cs_toml_doc_t *doc, const char *name, const cs_field_t *fields, size_t n,
	      cs_settings_t *s, cs_findings_t *findings)
{
	const cs_toml_node_t *t = find_section (doc, name, CS_TOML_TABLE, findings);
	if (t)
		cs_toml_read_fields (doc, t, name, fields, n, s, findings);
}

static void
read_tokens (const cs_toml_doc_t *doc, const char *name, cs_token_t **out, size_t *n,
	     cs_findings_t *findings)
{
	const cs_toml_node_t *list = find_section (doc, name, CS_TOML_ARRAY, findings);
	if (!list)
		return;
	size_t count = cs_toml_size (list);
	*out = cs_alloc ((count + 1) * sizeof **out);
	for (size_t i = 0; i < count; i++) {
		const cs_toml_node_t *t = cs_toml_at (list, i);
		cs_token_t *token = &(*out)[(*n)++];
		cs_toml_read_fields (doc, t, name, token_fields, COUNT (token_fields), token,
				     findings);
		if (token->digest &&
		    (strlen (token->digest) != DIGEST_HEX_BYTES ||
		     strspn (token->digest, "0123456789abcdef") != DIGEST_HEX_BYTES))
			cs_findings_add (
				findings, cs_toml_file (doc), cs_toml_line (t), cs_toml_column (t),
				"%s: \"digest\" must be 64 hexadecimal digits in lower case", name);
	}
}

/* True for IP:PORT with an IPv4 address and a port from 1 to 65535. */
static bool
is_address (const char *text)
{
	char ip[INET6_ADDRSTRLEN + 1];
	unsigned char address[16];
	uint64_t port = 0;
	const char *colon = strrchr (text, ':');
	if (!colon || (size_t)(colon - text) >= sizeof ip)
		return false;
	memcpy (ip, text, (size_t)(colon - text));
	ip[colon - text] = 0;
	return cs_str_u64 (cs_str (colon + 1), &port) && port > 0 && port <= UINT16_MAX &&
	       inet_pton (AF_INET, ip, address) == 1;
}

/* Reports a value that is not the prefix followed by IP:PORT and, if allowed, a path. NULL is
 * no error. */
static void
check_address (const cs_toml_doc_t *doc, const char *table, const char *key, const char *prefix,
	       const char *value, bool allows_path, cs_findings_t *findings)
{
	char host_port[64];
	if (!value)
		return;
	const cs_toml_node_t *n = cs_toml_get (cs_toml_get (cs_toml_root (doc), table), key);
	size_t prefix_len = strlen (prefix);
	bool ok = cs_str_starts (cs_str (value), prefix);
	if (ok) {
		size_t len = allows_path ? strcspn (value + prefix_len, "/")
					 : strlen (value + prefix_len);
		ok = len < sizeof host_port;
		if (ok) {
			memcpy (host_port, value + prefix_len, len);
			host_port[len] = 0;
			ok = is_address (host_port);
		}
	}
	if (!ok)
		cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (n), cs_toml_column (n),
				 "%s: \"%s\" must be %sIP:PORT%s", table, key, prefix,
				 allows_path ? "[/PATH]" : "");
}

static void
check_log_level (const cs_toml_doc_t *doc, const char *level, cs_findings_t *findings)
{
	static const char *const levels[] = {"error", "warn", "info", "debug"};
	if (!level)
		return;
	for (size_t i = 0; i < COUNT (levels); i++)
		if (!strcmp (level, levels[i]))
			return;
	const cs_toml_node_t *n =
		cs_toml_get (cs_toml_get (cs_toml_root (doc), "daemon"), "log_level");
	cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (n), cs_toml_column (n),
			 "daemon: \"log_level\" must be error, warn, info or debug");
}

static void
read_peer_key (const cs_toml_doc_t *doc, cs_settings_t *s, cs_findings_t *findings)
{
	const cs_toml_node_t *t = cs_toml_get (cs_toml_root (doc), "daemon");
	const cs_toml_node_t *file = cs_toml_get (t, "peer_key_file");
	const cs_toml_node_t *accepted = cs_toml_get (t, "peer_accepted_keys");
	cs_peer_key_t key;
	if (s->peer_key_file && cs_peer_key_read (s->peer_key_file, &key) == CS_OK) {
		s->peer_secret_key = cs_str_dup (cs_str (key.secret));
		s->peer_public_key = cs_str_dup (cs_str (key.public));
	} else if (s->peer_key_file) {
		cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (file),
				 cs_toml_column (file), "daemon: \"peer_key_file\": %s",
				 cs_last_error_message ());
	}
	if (s->n_peer_accepted_keys && !file)
		cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (accepted),
				 cs_toml_column (accepted),
				 "daemon: \"peer_accepted_keys\" needs \"peer_key_file\"");
	for (size_t i = 0; i < s->n_peer_accepted_keys; i++) {
		const cs_toml_node_t *n = cs_toml_at (accepted, i);
		if (!cs_peer_key_is_valid (s->peer_accepted_keys[i]))
			cs_findings_add (findings, cs_toml_file (doc), cs_toml_line (n),
					 cs_toml_column (n),
					 "daemon: \"peer_accepted_keys\" must be public keys of "
					 "40 characters of Z85");
	}
}

static void
set_default (char **value, const char *text)
{
	if (!*value)
		*value = cs_str_dup (cs_str (text));
}

cs_status_t
cs_settings_load (cs_settings_t *s, const char *path, cs_findings_t *findings)
{
	cs_toml_doc_t *doc;
	size_t n_before = findings->n;
	cs_status_t status = cs_toml_load (&doc, path, findings);
	if (status != CS_OK)
		return status;

	cs_toml_read_fields (doc, cs_toml_root (doc), "settings", root_fields, COUNT (root_fields),
			     s, findings);
	read_section (doc, "daemon", daemon_fields, COUNT (daemon_fields), s, findings);
	read_section (doc, "platform", platform_fields, COUNT (platform_fields), s, findings);
	read_section (doc, "trace", trace_fields, COUNT (trace_fields), s, findings);
	read_section (doc, "limits", limit_fields, COUNT (limit_fields), s, findings);
	read_tokens (doc, "caller", &s->callers, &s->n_callers, findings);
	read_tokens (doc, "operator", &s->operators, &s->n_operators, findings);
	check_address (doc, "daemon", "listen", "", s->listen, false, findings);
	check_address (doc, "daemon", "peer_listen", "tcp://", s->peer_listen, false, findings);
	check_address (doc, "daemon", "peer_address", "tcp://", s->peer_address, false, findings);
	check_address (doc, "platform", "log_url", "http://", s->log_url, false, findings);
	check_address (doc, "platform", "vm_list_url", "http://", s->vm_list_url, true, findings);
	if (s->trace_url && *s->trace_url)
		check_address (doc, "trace", "url", "http://", s->trace_url, true, findings);
	read_peer_key (doc, s, findings);
	check_log_level (doc, s->log_level, findings);
	set_default (&s->log_level, "info");
	set_default (&s->trace_file, "");
	set_default (&s->trace_url, "");
	if (!s->peer_address && s->peer_listen)
		s->peer_address = cs_str_dup (cs_str (s->peer_listen));
	cs_toml_free (doc);
	if (findings->n != n_before)
		return cs_fail (CS_INVALID, "%s has %zu errors", path, findings->n - n_before);
	return CS_OK;
}
