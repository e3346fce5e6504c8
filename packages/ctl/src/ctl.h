/* Declarations shared by the commands: options, API client, output and resource files. */
#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "cs/ctl.h"
#include "cs/resources.h"

enum {
	MAX_SERVERS = 16,
	MAX_REPEATS = 64 /* values of one repeatable option */
};

typedef struct {
	const char *servers[MAX_SERVERS]; /* each a comma-separated list of URLs, tried in order */
	size_t n_servers;
	const char *zones[MAX_REPEATS];
	size_t n_zones;
	const char *expected[MAX_REPEATS]; /* KIND/NAME=VERSION */
	size_t n_expected;
	const char *daemons[MAX_REPEATS]; /* IP:PORT of their metrics */
	size_t n_daemons;
	const char *tried[MAX_REPEATS]; /* zones */
	size_t n_tried;
	const char *model, *team, *prompt, *answer; /* of a request; NULL: not stated */
	const char *note;
	uint64_t since;     /* watch: offset of the first event */
	uint64_t timeout_s; /* 0: the command's default */
	bool json;
	bool dry_run;
	char *token; /* owned; "" for none */
	char **args; /* operands */
	int n_args;
} options_t;

typedef struct command {
	const char *name;
	const char *operands;
	const char *summary;
	const char *details;
	cs_exit_t (*run) (const options_t *o, FILE *out, FILE *err);
} command_t;

extern const command_t commands[];
extern const size_t n_commands;

/* Parses the options of a command (argv[0]); CS_EXIT_USAGE, with a message on err, if one is
 * invalid. o keeps pointers into argv and the environment; call options_finish in either case. */
cs_exit_t options_read (options_t *o, int argc, char **argv, FILE *err);
void options_finish (options_t *o);

/* Response of the API; release with answer_finish. */
typedef struct {
	int status;   /* HTTP status code */
	json_t *body; /* owned; NULL if not JSON */
} answer_t;

void answer_finish (answer_t *a);
/* Calls the servers in order until one answers. body may be NULL; timeout_s is per server, 0 for
 * the default. CS_UNAVAILABLE: no server could be reached and nothing was sent; CS_UNKNOWN: the
 * request may have been sent to a server, but none answered. */
cs_status_t client_call (const options_t *o, const char *method, const char *path,
			 const json_t *body, uint64_t timeout_s, answer_t *a);
/* Sends a GET and prints any failure. On CS_EXIT_OK, a has a JSON body that the caller releases. */
cs_exit_t client_get (const options_t *o, const char *path, answer_t *a, FILE *err);
/* Consumer of a server-sent event stream. on_event gets each event's data and returns false to
 * stop. The id of an event is its offset in the stream. */
typedef struct {
	bool (*on_event) (void *data, cs_str_t event);
	void *data;
	uint64_t next; /* offset to resume from: last event id + 1 */
} stream_t;
/* Reads events from the first server until the stream ends, stalls or is stopped. CS_INVALID: the
 * server refused with an HTTP status of 4xx; CS_UNAVAILABLE: any other failure. */
cs_status_t client_stream (const options_t *o, const char *path, stream_t *s);
/* Appends text with all but unreserved bytes and '/' percent-encoded. */
void client_escape (cs_buf_t *out, const char *text);

/* Prints the findings and the reason of a refusal; returns the matching exit status. */
cs_exit_t print_refusal (const answer_t *a, FILE *err);
/* Prints why no server answered; returns the matching exit status. */
cs_exit_t print_unreachable (const options_t *o, FILE *err);
void print_json (const json_t *j, FILE *out);
/* Formats a scalar member of a JSON object; "" if it is absent. The result points into the object
 * or into buffer, never to static storage that a later call overwrites. */
const char *field_text (const json_t *object, const char *key, char buffer[32]);

/* Resource files named on the command line. */
typedef struct {
	json_t *files; /* [{"name","text"}] */
	cs_resources_t resources;
	cs_findings_t findings;
} file_set_t;

void file_set_init (file_set_t *s);
void file_set_finish (file_set_t *s);
/* Reads and parses the files of all operands; prints findings and returns CS_EXIT_REFUSED if there
 * are any. */
cs_exit_t file_set_read (file_set_t *s, const options_t *o, FILE *err);

/* Finds one of the server's resources by kind and name; NULL if there is none. */
const json_t *item_find (const json_t *items, const char *kind, const char *name);

cs_exit_t run_check (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_apply (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_remove (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_diff (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_get (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_status (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_watch (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_explain (const options_t *o, FILE *out, FILE *err);
/* Where a request would go; args[1] is its host and path, or a service. */
cs_exit_t explain_place (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_key (const options_t *o, FILE *out, FILE *err);
cs_exit_t run_drain (const options_t *o, FILE *out, FILE *err);

#endif
