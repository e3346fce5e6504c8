/* edge-cases NAME PROGRAM RECORD: plays a case against one daemon. Exits with 1 if the rule was
 * broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the environment it plays the
 * same without the disruption. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "lab.h"

enum {
	HELD,
	BROKEN,
	CANNOT_RUN,
	ANSWER_MS = 4000,
	DEADLINE_MS = 3000,
	TIMEOUT_MS = 2000, /* TimeoutMs of the routes */
	LATE_MS = 500,     /* behind it the rule expects an answer */
	MAX_TARGET_BYTES = 16000
};

/* Runs the case. */
typedef int (*play_t) (lab_t *lab, bool trouble);

static const char config[] =
	"{\"Version\":1,\"Routes\":["
	"{\"Name\":\"keyed\",\"Host\":\"h.example\",\"PathPrefix\":\"/keyed/\",\"Kind\":\"safe\","
	"\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Attempts\":2,\"Service\":\"plain\","
	"\"Public\":false},"
	"{\"Name\":\"open\",\"Host\":\"h.example\",\"PathPrefix\":\"/open/\",\"Kind\":\"safe\","
	"\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Attempts\":2,\"Service\":\"plain\","
	"\"Public\":true},"
	"{\"Name\":\"once\",\"Host\":\"h.example\",\"PathPrefix\":\"/once/\",\"Kind\":\"unsafe\","
	"\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Attempts\":1,\"Service\":\"plain\","
	"\"Public\":true}],"
	"\"Services\":[{\"Name\":\"plain\",\"HealthCheckPath\":\"/health\","
	"\"ConnectionLimit\":244},"
	"{\"Name\":\"second\",\"HealthCheckPath\":\"/health\",\"ConnectionLimit\":244}],"
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	"\"Tenants\":[{\"Name\":\"alpha\",\"ApiKeys\":[\"key-of-alpha\"],\"Priority\":1},"
	"{\"Name\":\"beta\",\"ApiKeys\":[\"key-of-beta\"],\"Priority\":1}]}";

static cs_str_t
trim (cs_str_t s)
{
	while (s.n && strchr (" \t\r", s.p[0])) {
		s.p++;
		s.n--;
	}
	while (s.n && strchr (" \t\r", s.p[s.n - 1]))
		s.n--;
	return s;
}

/* The target with n parameters in its query. */
static void
make_target (char *out, const char *path, int n)
{
	size_t used = (size_t)snprintf (out, MAX_TARGET_BYTES, "%s", path);
	for (int i = 0; i < n; i++)
		used += (size_t)snprintf (out + used, MAX_TARGET_BYTES - used, "%cid=%d",
					  i ? '&' : '?', 1000 + i);
}

static int
read_status (connection_t *c)
{
	message_t m = {0};
	int status = wire_read (c, &m, false) && m.complete ? m.status : 0;
	wire_message_finish (&m);
	return status;
}

/* A plain request, which has to be run and answered: else the case can show nothing. */
static bool
is_served (lab_t *lab, const char *id)
{
	connection_t c = lab_connect (lab, ANSWER_MS);
	lab_send (lab, &c, id, "/once/x", "", DEADLINE_MS);
	int status = read_status (&c);
	fprintf (lab->record, "answered %s: %d\n", id, status);
	lab_close (&c);
	return status == 200 && lab_find (lab, id);
}

/* Logs each line of the header, and counts those that have another value than the expected one;
 * NULL: none is expected. */
static int
count_foreign (lab_t *lab, const arrival_t *a, const char *header, const char *expected)
{
	int n = 0;
	cs_str_t head = cs_buf_str (&a->head);
	while (head.n) {
		cs_str_t line = cs_str_split (&head, '\n');
		cs_str_t value = line;
		cs_str_t name = cs_str_split (&value, ':');
		if (name.n != strlen (header) || strncasecmp (name.p, header, name.n) != 0)
			continue;
		bool is_foreign = !expected || !cs_str_is (trim (value), expected);
		fprintf (lab->record, "ran %s with \"%.*s\"%s\n", a->id, CS_STR_ARG (trim (line)),
			 is_foreign ? ": not the caller's" : "");
		n += is_foreign;
	}
	return n;
}

/* One request; the number of header lines at the back end that are not the caller's. */
static int
ask_forged (lab_t *lab, const char *id, const char *target, const char *lines, const char *tenant)
{
	connection_t c = lab_connect (lab, ANSWER_MS);
	lab_send (lab, &c, id, target, lines, DEADLINE_MS);
	int status = read_status (&c);
	const arrival_t *a = lab_find (lab, id);
	fprintf (lab->record, "answered %s: %d, %s\n", id, status, a ? "run" : "not run");
	lab_close (&c);
	return a ? count_foreign (lab, a, "Tenant", tenant) : 0;
}

static int
play_forged_tenant (lab_t *lab, bool trouble)
{
	const char *forged = trouble ? "T:\r\n enant: beta\r\n" : "Tenant: beta\r\n";
	char lines[128], id[40];
	int n = 0;
	for (int i = 0; i < 10; i++) {
		snprintf (id, sizeof id, "keyed-%d", i);
		snprintf (lines, sizeof lines, "%sX-Api-Key: key-of-alpha\r\n", forged);
		n += ask_forged (lab, id, "/keyed/x", lines, "alpha");
		snprintf (id, sizeof id, "open-%d", i);
		n += ask_forged (lab, id, "/open/x", forged, NULL);
	}
	fprintf (lab->record, "header lines Tenant that are not the caller's: %d\n", n);
	return n ? BROKEN : HELD;
}

/* Two requests on a connection, the second one with n parameters. True if it was run, and the
 * connection closed without an answer. */
static bool
is_lost (lab_t *lab, int n)
{
	static char target[MAX_TARGET_BYTES];
	char id[40];
	connection_t c = lab_connect (lab, ANSWER_MS);
	snprintf (id, sizeof id, "first-%d", n);
	lab_send (lab, &c, id, "/once/x", "", DEADLINE_MS);
	int first = read_status (&c);
	snprintf (id, sizeof id, "parameters-%d", n);
	make_target (target, "/once/x", n);
	lab_send (lab, &c, id, target, "", DEADLINE_MS);
	bool closed = lab_is_closed (&c, ANSWER_MS);
	int status = closed ? 0 : read_status (&c);
	lab->n_answered += status == 200;
	bool lost = first == 200 && closed && lab_find (lab, id);
	fprintf (lab->record, "answered %s: %d, %s, %s%s\n", id, status,
		 lab_find (lab, id) ? "run" : "not run", closed ? "closed without a byte" : "open",
		 lost ? ", lost" : "");
	lab_close (&c);
	return lost;
}

static int
play_run_and_closed (lab_t *lab, bool trouble)
{
	enum {
		FROM = 600,
		TO = 684,
		STEP = 2,
		USUAL = 10,
		MAX_LOST = 3
	};
	int n_lost = 0;
	lab->n_answer_lines = 24;
	for (int n = FROM; n < TO; n += STEP)
		n_lost += is_lost (lab, trouble ? n : n / USUAL);
	if (!trouble && lab->n_answered < (TO - FROM) / STEP)
		return CANNOT_RUN;
	fprintf (lab->record, "run and closed without an answer: %d\n", n_lost);
	return n_lost > MAX_LOST ? BROKEN : HELD;
}

/* One request, while no other caller is there. True if nothing has come of an answer LATE_MS behind
 * the route's time-out. */
static bool
is_unanswered (lab_t *lab, int number, const char *target)
{
	enum {
		WAIT_MS = 4000 /* the caller's deadline */
	};
	char id[40];
	connection_t c = lab_connect (lab, WAIT_MS);
	snprintf (id, sizeof id, "request-%d", number);
	lab_send (lab, &c, id, target, "", WAIT_MS);
	bool unanswered = !lab_wait (&c, TIMEOUT_MS + LATE_MS);
	bool came = !unanswered || lab_wait (&c, WAIT_MS - TIMEOUT_MS - LATE_MS);
	fprintf (lab->record, "%s: %s %d ms behind the sending, %s by its deadline of %d ms\n", id,
		 unanswered ? "no answer" : "answered", TIMEOUT_MS + LATE_MS,
		 came ? "answered" : "no answer", WAIT_MS);
	lab_close (&c);
	return unanswered;
}

static int
play_unanswered (lab_t *lab, bool trouble)
{
	enum {
		REQUESTS = 12,
		MANY = 800,
		FEW = 80,
		LEAST = 8
	};
	static char target[MAX_TARGET_BYTES];
	int n = 0;
	make_target (target, "/open/x", trouble ? MANY : FEW);
	for (int i = 0; i < REQUESTS; i++)
		n += is_unanswered (lab, i, target);
	fprintf (lab->record, "unanswered: %d of %d\n", n, REQUESTS);
	return n >= LEAST ? BROKEN : HELD;
}

/* Another writer replaces the entry of i-2. */
static void
write_foreign_entry (const lab_t *lab)
{
	const server_t *second = &lab->servers[1];
	cs_buf_t entry = {0};
	cs_buf_printf (&entry,
		       "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:%u\",\"State\":\"ready\"}",
		       second->port);
	store_put (lab->store, "keyed.servers", cs_str (second->id), cs_buf_str (&entry));
	fprintf (lab->record, "another writer: servers/%s %s\n", second->id, entry.p);
	cs_buf_finish (&entry);
}

static int
play_incomplete_entry (lab_t *lab, bool trouble)
{
	enum {
		WRITES = 8,
		REQUESTS = 10, /* behind each */
		GAP_MS = 100
	};
	int n = 0;
	for (int i = 0; i < WRITES * REQUESTS; i++) {
		char id[40];
		connection_t c = lab_connect (lab, ANSWER_MS);
		if (trouble && i % REQUESTS == 0)
			write_foreign_entry (lab);
		snprintf (id, sizeof id, "once-%d", i);
		lab_send (lab, &c, id, "/once/x", "", DEADLINE_MS);
		int status = read_status (&c);
		const arrival_t *a = lab_find (lab, id);
		fprintf (lab->record, "answered %s: %d, run by %s\n", id, status,
			 a ? a->server->service : "nobody");
		n += a && strcmp (a->server->service, "plain") != 0;
		lab_close (&c);
		wire_sleep_ms (GAP_MS);
	}
	fprintf (lab->record, "run by another service: %d\n", n);
	return n ? BROKEN : HELD;
}

static const struct {
	const char *name;
	play_t play;
} cases[] = {
	{"forged-tenant", play_forged_tenant},
	{"run-and-closed", play_run_and_closed},
	{"unanswered", play_unanswered},
	{"incomplete-entry", play_incomplete_entry},
};

int
main (int argc, char **argv)
{
	static lab_t lab;
	const char *trouble = getenv ("TROUBLE");
	play_t play = NULL;
	for (size_t i = 0; argc == 4 && i < sizeof cases / sizeof *cases; i++)
		if (!strcmp (cases[i].name, argv[1]))
			play = cases[i].play;
	if (!play)
		return CANNOT_RUN;
	int result = CANNOT_RUN;
	if (lab_start (&lab, argv[2], argv[3], config) && is_served (&lab, "control-first"))
		result = play (&lab, !trouble || strcmp (trouble, "0") != 0);
	if (result != CANNOT_RUN && !is_served (&lab, "control-last"))
		result = CANNOT_RUN;
	lab_finish (&lab);
	return result;
}
