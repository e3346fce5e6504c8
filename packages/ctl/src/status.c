#include <string.h>

#include "ctl.h"

static void
print_daemons (const json_t *list, FILE *out)
{
	size_t i;
	json_t *d;
	fprintf (out, "%-16s %-12s %-28s %s\n", "DAEMON", "ZONE", "URL", "STATE");
	json_array_foreach (list, i, d) {
		char name[32];
		char zone[32];
		char url[32];
		bool is_self = json_is_true (json_object_get (d, "self"));
		bool is_reachable = json_is_true (json_object_get (d, "heard"));
		fprintf (out, "%-16s %-12s %-28s %s\n", field_text (d, "name", name),
			 field_text (d, "zone", zone), field_text (d, "url", url),
			 is_self        ? "answers"
			 : is_reachable ? "heard"
					: "silent");
	}
}

static void
print_members (const json_t *members, FILE *out)
{
	size_t i;
	json_t *m;
	json_array_foreach (members, i, m) {
		char vm[32];
		char state[32];
		fprintf (out, "    %s %s\n", field_text (m, "vm", vm),
			 field_text (m, "state", state));
	}
}

static void
print_groups (const json_t *groups, FILE *out)
{
	size_t i;
	json_t *g;
	fprintf (out, "\n%-32s %-12s %-8s %s\n", "GROUP", "STATE", "FENCE", "REASON");
	json_array_foreach (groups, i, g) {
		char name[32];
		char state[32];
		char fence[32];
		char reason[32];
		char vm[32];
		fprintf (out, "%-32s %-12s %-8s %s %s\n", field_text (g, "name", name),
			 field_text (g, "state", state), field_text (g, "fence", fence),
			 field_text (g, "reason", reason), field_text (g, "vm", vm));
		print_members (json_object_get (g, "members"), out);
	}
}

/* Stranded are all accelerators outside serving groups; idle are those of them whose VM has no
 * assignment. */
static void
print_accelerators (const json_t *a, FILE *out)
{
	char total[32];
	char serving[32];
	char idle[32];
	char stranded[32];
	fprintf (out, "\naccelerators: %s in all, %s serving, %s idle, %s stranded\n",
		 field_text (a, "total", total), field_text (a, "serving", serving),
		 field_text (a, "idle", idle), field_text (a, "stranded", stranded));
}

static void
print_uncertain_changes (const json_t *changes, FILE *out)
{
	size_t i;
	json_t *d;
	json_array_foreach (changes, i, d) {
		fputs ("change in doubt: ", out);
		json_dumpf (d, out, JSON_COMPACT | JSON_ENCODE_ANY);
		fputc ('\n', out);
	}
}

/* Prints the daemon that answered and whether it accepts requests. */
static void
print_self (const json_t *body, FILE *out)
{
	char name[32];
	char zone[32];
	fprintf (out, "%s in zone %s: %s, log %s\n", field_text (body, "daemon", name),
		 field_text (body, "zone", zone),
		 json_is_true (json_object_get (body, "draining")) ? "draining"
		 : json_is_true (json_object_get (body, "ready"))  ? "ready"
								   : "not ready",
		 json_is_true (json_object_get (body, "log_current")) ? "current" : "behind");
	if (json_is_false (json_object_get (body, "peers_authenticated")))
		fputs ("warning: other daemons are not authenticated, there is no peer_key_file\n",
		       out);
	fputc ('\n', out);
}

cs_exit_t
run_status (const options_t *o, FILE *out, FILE *err)
{
	answer_t a;
	if (o->n_args) {
		fputs ("cornelspindle: status takes no operand\n", err);
		return CS_EXIT_USAGE;
	}
	cs_exit_t status = client_get (o, "/apis/status", &a, err);
	if (status != CS_EXIT_OK)
		return status;
	if (o->json) {
		print_json (a.body, out);
	} else {
		print_self (a.body, out);
		print_daemons (json_object_get (a.body, "daemons"), out);
		print_groups (json_object_get (a.body, "groups"), out);
		print_accelerators (json_object_get (a.body, "accelerators"), out);
		print_uncertain_changes (json_object_get (a.body, "changes_in_doubt"), out);
	}
	answer_finish (&a);
	return CS_EXIT_OK;
}
