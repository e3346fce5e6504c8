#include <getopt.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	MAX_TOKEN_BYTES = 4096
};

static bool
append_value (const char **list, size_t *n, size_t max, const char *value)
{
	if (*n == max)
		return false;
	list[(*n)++] = value;
	return true;
}

/* Returns the first line of a file, to be freed; NULL if it cannot be read. */
static char *
read_token (const char *path)
{
	char line[MAX_TOKEN_BYTES];
	FILE *f = fopen (path, "r");
	if (!f)
		return NULL;
	bool ok = fgets (line, sizeof line, f) != NULL;
	fclose (f);
	if (!ok)
		return NULL;
	line[strcspn (line, "\r\n")] = 0;
	return cs_str_dup (cs_str (line));
}

static bool
set_number (uint64_t *out, const char *text)
{
	return cs_str_u64 (cs_str (text), out);
}

static bool
set_token (options_t *o, const char *path)
{
	free (o->token);
	o->token = read_token (path);
	return o->token != NULL;
}

/* Stores the value of option c; false if the value is invalid or the list is full. */
static bool
set_option (options_t *o, int c, const char *value)
{
	switch (c) {
	case 's':
		return append_value (o->servers, &o->n_servers, MAX_SERVERS, value);
	case 'k':
		return set_token (o, value);
	case 'j':
		return o->json = true;
	case 'z':
		return append_value (o->zones, &o->n_zones, MAX_REPEATS, value);
	case 'e':
		return strchr (value, '=') &&
		       append_value (o->expected, &o->n_expected, MAX_REPEATS, value);
	case 'D':
		return append_value (o->daemons, &o->n_daemons, MAX_REPEATS, value);
	case 'r':
		return append_value (o->tried, &o->n_tried, MAX_REPEATS, value);
	case 'm':
		o->model = value;
		return true;
	case 'T':
		o->team = value;
		return true;
	case 'p':
		o->prompt = value;
		return true;
	case 'a':
		o->answer = value;
		return true;
	case 'n':
		o->note = value;
		return true;
	case 'd':
		return o->dry_run = true;
	case 'i':
		return set_number (&o->since, value);
	case 't':
		return set_number (&o->timeout_s, value) && o->timeout_s;
	default:
		return false;
	}
}

/* Takes token and server from the environment if the command line gave none. */
static void
set_defaults (options_t *o)
{
	const char *token = getenv ("CORNELSPINDLE_TOKEN");
	const char *server = getenv ("CORNELSPINDLE_SERVER");
	if (!o->token)
		o->token = cs_str_dup (cs_str (token));
	if (!o->n_servers && server && *server)
		o->servers[o->n_servers++] = server;
}

cs_exit_t
options_read (options_t *o, int argc, char **argv, FILE *err)
{
	static const struct option longs[] = {
		{"server", required_argument, NULL, 's'},
		{"token-file", required_argument, NULL, 'k'},
		{"json", no_argument, NULL, 'j'},
		{"scope-zone", required_argument, NULL, 'z'},
		{"expect", required_argument, NULL, 'e'},
		{"daemon", required_argument, NULL, 'D'},
		{"tried", required_argument, NULL, 'r'},
		{"model", required_argument, NULL, 'm'},
		{"team", required_argument, NULL, 'T'},
		{"prompt", required_argument, NULL, 'p'},
		{"answer", required_argument, NULL, 'a'},
		{"note", required_argument, NULL, 'n'},
		{"dry-run", no_argument, NULL, 'd'},
		{"since", required_argument, NULL, 'i'},
		{"timeout", required_argument, NULL, 't'},
		{NULL, 0, NULL, 0},
	};
	int c;
	int index = 0;
	memset (o, 0, sizeof *o);
	o->note = "";
	optind = 0;
	opterr = 0;
	while ((c = getopt_long (argc, argv, "", longs, &index)) != -1) {
		if (c == '?') {
			fprintf (err, "cornelspindle: no option \"%s\", or its value is missing\n",
				 argv[optind - 1]);
			return CS_EXIT_USAGE;
		}
		if (!set_option (o, c, optarg)) {
			fprintf (err, "cornelspindle: --%s cannot be \"%s\"\n", longs[index].name,
				 optarg ? optarg : "");
			return CS_EXIT_USAGE;
		}
	}
	o->args = argv + optind;
	o->n_args = argc - optind;
	set_defaults (o);
	return CS_EXIT_OK;
}

void
options_finish (options_t *o)
{
	free (o->token);
}
