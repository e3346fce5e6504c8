/* cornelspindled: the daemon that runs on every entry VM. */
#include <curl/curl.h>
#include <getopt.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cs/kernel.h"
#include "cs/log.h"
#include "cs/settings.h"
#include "cs/trace.h"
#include "hosted.h"

enum {
	EXIT_USAGE = 2
};

static const char usage[] =
	"usage: cornelspindled [--check] FILE\n"
	"       cornelspindled --hosted [--check]\n"
	"\n"
	"Serves callers and operators with the settings in FILE (TOML), or on a platform that\n"
	"places the settings itself.\n"
	"\n"
	"  -c, --check    only check the settings; print every fault with its place\n"
	"  -H, --hosted   run behind the platform adapter, with the settings that it finds\n"
	"  -h, --help     print this text\n"
	"  -V, --version  print the version\n"
	"\n"
	"SIGTERM or SIGINT begins a graceful shutdown, a second one ends it at once.\n"
	"Exit status: 0 after a graceful shutdown or a sound file, 1 on faults, 2 on wrong use.\n";

static cs_log_level_t
log_level_from_name (const char *name)
{
	static const char *const names[] = {"error", "warn", "info", "debug"};
	for (int i = 0; i < 4; i++)
		if (!strcmp (name, names[i]))
			return (cs_log_level_t)i;
	return CS_LOG_INFO;
}

static int
load_settings (cs_settings_t *s, const char *path)
{
	cs_findings_t findings;
	cs_buf_t text;
	cs_findings_init (&findings);
	cs_buf_init (&text);
	cs_status_t status = cs_settings_load (s, path, &findings);
	cs_findings_print (&findings, &text);
	if (text.n)
		fputs (text.p, stderr);
	cs_buf_finish (&text);
	cs_findings_finish (&findings);
	return status == CS_OK ? 0 : 1;
}

static int
run_daemon (const cs_settings_t *s)
{
	cs_kernel_t kernel;
	int result = 0;
	if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_NOTHING))
		return 1;
	signal (SIGPIPE, SIG_IGN);
	cs_kernel_init (&kernel, s);
	cs_trace_set_sample_percent (s->trace_percent);
	if (cs_log_init (s->name, log_level_from_name (s->log_level), STDERR_FILENO) != CS_OK ||
	    cs_trace_open (s->trace_file, "cornelspindled", s->name) != CS_OK ||
	    cs_kernel_start (&kernel) != CS_OK) {
		fprintf (stderr, "cornelspindled: %s\n", cs_last_error_message ());
		result = 1;
	} else {
		cs_log ("daemon", CS_LOG_INFO, "listening on %s in zone %s", s->listen, s->zone);
		cs_kernel_run (&kernel);
	}
	cs_kernel_finish (&kernel);
	cs_trace_close ();
	cs_log_finish ();
	curl_global_cleanup ();
	return result;
}

int
main (int argc, char **argv)
{
	static const struct option longs[] = {
		{"check", no_argument, NULL, 'c'},
		{"hosted", no_argument, NULL, 'H'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	bool check = false;
	bool hosted = false;
	int o;
	while ((o = getopt_long (argc, argv, "cHhV", longs, NULL)) != -1) {
		switch (o) {
		case 'c':
			check = true;
			break;
		case 'H':
			hosted = true;
			break;
		case 'h':
			fputs (usage, stdout);
			return 0;
		case 'V':
			puts ("cornelspindled " CS_VERSION);
			return 0;
		default:
			return EXIT_USAGE;
		}
	}
	if (hosted && optind == argc)
		return cs_hosted_main (check);
	if (hosted || optind + 1 != argc) {
		fputs (usage, stderr);
		return EXIT_USAGE;
	}
	cs_settings_t settings;
	cs_settings_init (&settings);
	int result = load_settings (&settings, argv[optind]);
	if (!result && check)
		printf ("%s: valid\n", argv[optind]);
	else if (!result)
		result = run_daemon (&settings);
	cs_settings_finish (&settings);
	return result;
}
