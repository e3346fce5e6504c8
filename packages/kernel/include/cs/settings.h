/* Settings of one daemon, read from its TOML file (see docs/SETTINGS.md). */
#ifndef CS_SETTINGS_H
#define CS_SETTINGS_H

#include "cs/findings.h"
#include "cs/status.h"

/* A bearer token and the team or operator that it authenticates. */
typedef struct {
	char *name;   /* team or operator */
	char *digest; /* BLAKE2b-256 of the token, in hexadecimal */
} cs_token_t;

typedef struct {
	/* [daemon] */
	char *name;
	char *zone;
	char *region;
	char *listen;              /* IP:PORT for callers and operators */
	char *peer_listen;         /* tcp://IP:PORT */
	char *peer_address;        /* tcp://IP:PORT at which other daemons reach peer_listen */
	char *peer_key_file;       /* secret key shared by the daemons; NULL: none */
	char **peer_accepted_keys; /* further public keys accepted during key rotation */
	size_t n_peer_accepted_keys;
	char *peer_secret_key; /* content of peer_key_file; NULL: none */
	char *peer_public_key;
	char **seeds; /* peer addresses to request state from while the log is down */
	size_t n_seeds;
	char *log_level;        /* error, warn, info, debug */
	uint32_t drain_seconds; /* time limit of a graceful shutdown */
	/* [platform] */
	char *log_url;     /* http://IP:PORT */
	char *vm_list_url; /* http://IP:PORT/PATH */
	uint32_t claim_shards;
	/* [trace] */
	char *trace_file; /* "": none */
	char *trace_url;  /* http://IP:PORT/PATH of a collector; "": none */
	uint32_t trace_percent;
	/* [limits] */
	uint32_t max_body_bytes;
	uint32_t max_header_bytes;
	uint32_t max_connections;
	uint32_t head_timeout_ms; /* for a request's head, from its first byte */
	uint32_t idle_timeout_ms; /* of a connection without a request */
	/* [[caller]] and [[operator]] */
	cs_token_t *callers;
	size_t n_callers;
	cs_token_t *operators;
	size_t n_operators;
} cs_settings_t;

void cs_settings_init (cs_settings_t *s);
void cs_settings_finish (cs_settings_t *s);
/* Reads and validates the whole file. Adds every error, unknown keys included, to findings
 * with file, line and column; returns CS_INVALID if there is any. */
cs_status_t cs_settings_load (cs_settings_t *s, const char *path, cs_findings_t *findings);

#endif
