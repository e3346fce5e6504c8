/* Table of commands, help texts and command dispatch. */
#include <curl/curl.h>
#include <string.h>

#include "ctl.h"

const command_t commands[] = {
	{"check", "FILE...", "check resource files without a daemon",
	 "Reports every finding with its file, line and column.", run_check},
	{"apply", "FILE...", "put the resources of files in force",
	 "Checks the files, reads the present versions (or takes them from --expect),\n"
	 "proposes one change and waits until it is in force everywhere in its scope, or\n"
	 "withdrawn. A call without an answer is retried with the same change id.",
	 run_apply},
	{"remove", "KIND/NAME...", "take resources out of force",
	 "One change for all of them; refused while another resource needs one.", run_remove},
	{"diff", "FILE...", "show what apply would change",
	 "Exit status 1 says that there are differences.", run_diff},
	{"get", "[KIND[/NAME]]", "list resources with their versions",
	 "Kinds are model_group, service, team and policy.", run_get},
	{"status", "", "show zones, daemons, groups and accelerators",
	 "Groups that do not serve are shown with their reason.", run_status},
	{"watch", "", "print events as they occur",
	 "Begins at the offset --since. A stalled connection is reopened\n"
	 "after the last event received. --timeout ends the command.",
	 run_watch},
	{"explain", "group|request|change|place ID",
	 "explain the state of a group, request or change, or where a request would go",
	 "place takes HOST/PATH or a service, and asks the daemons of a hosted platform at their\n"
	 "addresses for metrics (--daemon). Nothing is sent. Exit status 3: one of them does not\n"
	 "answer within a second.",
	 run_explain},
	{"key", "FILE", "create the daemons' shared key, or show its public key",
	 "Creates a key pair and writes the secret key to FILE unless FILE exists; prints the\n"
	 "public key. FILE goes into peer_key_file of the daemons' settings.",
	 run_key},
	{"drain", "DAEMON", "stop a daemon gracefully",
	 "The daemon accepts no new requests, finishes those in progress and exits.", run_drain},
};
const size_t n_commands = sizeof commands / sizeof *commands;

static const char exits[] =
	"\nExit status: 0 done; 1 refused, withdrawn, or findings or differences;\n"
	"2 wrong usage; 3 no daemon answers or the outcome is unknown.\n";

static const char options_text[] =
	"  --server URL       daemon to talk to; repeat it to name others to try\n"
	"                     (or CORNELSPINDLE_SERVER, comma separated)\n"
	"  --token-file FILE  file with the operator's token (or CORNELSPINDLE_TOKEN)\n"
	"  --json             print JSON\n"
	"  --scope-zone ZONE  apply, check: only in this zone; repeatable\n"
	"  --expect K/N=V     apply: version that a resource must have now; repeatable\n"
	"  --note TEXT        apply: kept with the change\n"
	"  --daemon IP:PORT   explain place: whom to ask; repeatable\n"
	"  --model NAME, --team NAME, --prompt TOKENS, --answer TOKENS\n"
	"                     explain place: of the request; --answer is the most it may write\n"
	"  --tried ZONE       explain place: zone whose back ends were tried; repeatable\n"
	"  --dry-run          apply: check on the daemon, change nothing\n"
	"  --since OFFSET     watch: begin at this offset\n"
	"  --timeout SECONDS  longest time that the command takes\n"
	"  --help\n";

static void
print_usage (FILE *f)
{
	fputs ("usage: cornelspindle COMMAND [OPTION]... [OPERAND]...\n\n", f);
	for (size_t i = 0; i < n_commands; i++)
		fprintf (f, "  %-8s %-24s %s\n", commands[i].name, commands[i].operands,
			 commands[i].summary);
	fprintf (f, "\n%s%s", options_text, exits);
}

static void
print_help (const command_t *c, FILE *f)
{
	fprintf (f, "usage: cornelspindle %s [OPTION]... %s\n\n%s.\n%s%s\n%s%s", c->name,
		 c->operands, c->summary, c->details, *c->details ? "\n" : "", options_text, exits);
}

static const command_t *
find_command (const char *name)
{
	for (size_t i = 0; i < n_commands; i++)
		if (!strcmp (commands[i].name, name))
			return &commands[i];
	return NULL;
}

static bool
wants_help (int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		if (!strcmp (argv[i], "--help"))
			return true;
	return false;
}

cs_exit_t
cs_ctl_run (int argc, char **argv, FILE *out, FILE *err)
{
	options_t o;
	const command_t *c = argc > 1 ? find_command (argv[1]) : NULL;
	if (wants_help (argc, argv)) {
		if (c)
			print_help (c, out);
		else
			print_usage (out);
		return CS_EXIT_OK;
	}
	if (!c) {
		if (argc > 1)
			fprintf (err, "cornelspindle: no command \"%s\"\n", argv[1]);
		print_usage (err);
		return CS_EXIT_USAGE;
	}
	cs_exit_t status = options_read (&o, argc - 1, argv + 1, err);
	if (status == CS_EXIT_OK) {
		curl_global_init (CURL_GLOBAL_DEFAULT);
		status = c->run (&o, out, err);
		curl_global_cleanup ();
	}
	if (status == CS_EXIT_USAGE)
		fprintf (err, "try: cornelspindle %s --help\n", c->name);
	options_finish (&o);
	return status;
}
