#include "lab.h"

#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
	CALLERS_PORT = 18227,
	READY_PORT = 18220,
	READY_MS = 15000,
	HEARTBEAT_MS = 1200,
	TICK_MS = 50,
	STOP_MS = 10000 /* GracePeriodS, and some for a busy machine */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

typedef struct {
	const server_t *server;
	int fd;
} client_t;

static bool
is_token (cs_str_t name)
{
	for (size_t i = 0; i < name.n; i++)
		if (name.p[i] <= ' ' || name.p[i] == ':' || name.p[i] >= 0x7f)
			return false;
	return name.n > 0;
}

/* False if the request line is none, or a header line is not NAME: VALUE with a sound name. */
static bool
is_sound (cs_str_t head)
{
	static const char version[] = "HTTP/1.1\r";
	cs_str_t first = cs_str_split (&head, '\n');
	size_t n = strlen (version);
	if (first.n < n || memcmp (first.p + first.n - n, version, n) != 0)
		return false;
	while (head.n) {
		cs_str_t line = cs_str_split (&head, '\n');
		if (!line.n || line.p[0] == '\r')
			continue; /* the end of the head */
		if (!memchr (line.p, ':', line.n) || !is_token (cs_str_split (&line, ':')))
			return false;
	}
	return true;
}

static void
record_run (const server_t *server, const message_t *m)
{
	lab_t *lab = server->lab;
	cs_str_t id = wire_header (m, "Request-Attempt");
	pthread_mutex_lock (&lock);
	if (lab->n_arrivals < MAX_ARRIVALS) {
		arrival_t *a = &lab->arrivals[lab->n_arrivals++];
		a->server = server;
		snprintf (a->id, sizeof a->id, "%.*s", CS_STR_ARG (id));
		cs_buf_add (&a->head, cs_buf_str (&m->head));
	}
	pthread_mutex_unlock (&lock);
}

static bool
answer (const server_t *server, int fd, const message_t *m)
{
	const lab_t *lab = server->lab;
	cs_buf_t out = {0};
	cs_str_t id = wire_header (m, "Request-Attempt");
	if (!cs_str_is (wire_header (m, "Expected-Instance"), server->id)) {
		cs_buf_printf (&out,
			       "HTTP/1.1 421 x\r\nInstance-Identifier: %s\r\n"
			       "Content-Length: 0\r\n\r\n",
			       server->id);
	} else {
		cs_buf_printf (&out,
			       "HTTP/1.1 200 OK\r\nRequest-Attempt: %.*s\r\n"
			       "Response-Signature: s\r\nServer-Load: 1,0,16\r\n",
			       CS_STR_ARG (id));
		for (int i = 0; i < lab->n_answer_lines; i++)
			cs_buf_printf (&out, "X-Detail-%02d: %040d\r\n", i, i);
		cs_buf_addz (&out, "Content-Length: 5\r\n\r\nhello");
	}
	bool sent = wire_send (fd, cs_buf_str (&out));
	cs_buf_finish (&out);
	return sent;
}

static bool
serve (const server_t *server, int fd, const message_t *m)
{
	const lab_t *lab = server->lab;
	if (!is_sound (cs_buf_str (&m->head))) {
		fprintf (lab->record, "at the back end, no request: \"%.40s...\"\n", m->head.p);
		wire_send (fd, cs_str ("HTTP/1.1 400 x\r\nNot-Executed: 1\r\n"
				       "Content-Length: 0\r\n\r\n"));
		return false;
	}
	if (cs_str_is (wire_header (m, "Expected-Instance"), server->id))
		record_run (server, m);
	return answer (server, fd, m);
}

static void *
serve_connection (void *data)
{
	client_t *client = data;
	connection_t c = {.fd = client->fd};
	message_t m = {0};
	while (wire_read (&c, &m, true) && serve (client->server, client->fd, &m))
		;
	lab_close (&c);
	wire_message_finish (&m);
	free (client);
	return NULL;
}

static void *
accept_connections (void *data)
{
	server_t *server = data;
	int listener = wire_listen (&server->port);
	for (;;) {
		pthread_t thread;
		int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			return NULL;
		client_t *client = calloc (1, sizeof *client);
		*client = (client_t){server, fd};
		pthread_create (&thread, NULL, serve_connection, client);
		pthread_detach (thread);
	}
}

static void
write_entry (lab_t *lab, const server_t *server, int sequence, time_t born_s)
{
	cs_buf_t entry = {0};
	cs_buf_printf (&entry,
		       "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
		       "\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\","
		       "\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":%lld}",
		       server->service, server->port, sequence, (long long)born_s * 1000);
	store_put (lab->store, "keyed.servers", cs_str (server->id), cs_buf_str (&entry));
	cs_buf_finish (&entry);
}

/* Writes the back ends' entries at each heartbeat. */
static void *
keep_listed (void *data)
{
	lab_t *lab = data;
	time_t born_s = time (NULL);
	for (int sequence = 1;; sequence++) {
		for (size_t i = 0; i < N_SERVERS; i++)
			write_entry (lab, &lab->servers[i], sequence, born_s);
		wire_sleep_ms (HEARTBEAT_MS);
	}
	return NULL;
}

static bool
write_settings (const lab_t *lab, const char *path)
{
	FILE *f = fopen (path, "w");
	if (!f)
		return false;
	fprintf (f,
		 "{\"Node\":\"d1\",\"Zone\":\"z\",\"IpAddress\":\"%s\",\"HeartbeatMs\":%d,"
		 "\"Bootstrap\":true,\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\"},"
		 "\"InternalPorts\":[17340,17355],"
		 "\"Limits\":{\"FileDescriptors\":2870,\"LinkMbps\":700,\"MemoryMb\":182},"
		 "\"Bounds\":{\"StabilityWindowMs\":%d,\"DrainMs\":2000,\"GracePeriodS\":8,"
		 "\"ConfigurationMs\":2000,\"RevocationMs\":5000,\"RetryBudgetRatio\":0.2,"
		 "\"RetryBudgetSlack\":302,\"BudgetWindowS\":10,\"StallMs\":4000},"
		 "\"Platform\":{\"Address\":\"127.0.0.1:%u\",\"MinLifetimeMs\":1000}}\n",
		 lab->ip, HEARTBEAT_MS, lab->ip, CALLERS_PORT, lab->ip, READY_PORT, STABILITY_MS,
		 lab->store_port);
	return fclose (f) == 0;
}

static void
start_daemon (lab_t *lab, const char *program)
{
	char settings[96], log[96], variable[128];
	char *const environment[] = {variable, NULL};
	char *const arguments[] = {(char *)(uintptr_t)program, "--hosted", NULL};
	snprintf (settings, sizeof settings, "%s/settings.json", lab->directory);
	snprintf (log, sizeof log, "%s/log", lab->directory);
	snprintf (variable, sizeof variable, "CORNELSPINDLE_SETTINGS=%s", settings);
	if (!write_settings (lab, settings))
		return;
	lab->daemon = fork ();
	if (lab->daemon)
		return;
	prctl (PR_SET_PDEATHSIG, SIGKILL); /* nothing stays behind if this process is killed */
	int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2 (fd, STDOUT_FILENO);
	dup2 (fd, STDERR_FILENO);
	execve (program, arguments, environment);
	_exit (127);
}

static bool
is_ready (const lab_t *lab)
{
	connection_t c = {.fd = wire_connect (lab->ip, READY_PORT, 1000)};
	message_t m = {0};
	bool ready = c.fd >= 0 &&
		     wire_send (c.fd, cs_str ("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")) &&
		     wire_read (&c, &m, false) && m.status == 200;
	lab_close (&c);
	wire_message_finish (&m);
	return ready;
}

/* The balancer asks each second whether the daemon is ready. */
static void *
poll_readiness (void *data)
{
	enum {
		POLL_MS = 1000
	};
	const lab_t *lab = data;
	for (;;) {
		is_ready (lab);
		wire_sleep_ms (POLL_MS);
	}
	return NULL;
}

bool
lab_start (lab_t *lab, const char *program, const char *record, const char *config)
{
	pthread_t thread;
	int64_t until_ms = wire_now_ms () + READY_MS;
	int net = getpid () % 60000;
	signal (SIGPIPE, SIG_IGN);
	lab->record = fopen (record, "w");
	snprintf (lab->directory, sizeof lab->directory, "/tmp/review-2.XXXXXX");
	snprintf (lab->ip, sizeof lab->ip, "127.%d.%d.1", 1 + net / 250, 1 + net % 250);
	if (!lab->record || !mkdtemp (lab->directory))
		return false;
	lab->store = store_start (1, &lab->store_port);
	store_put (lab->store, "keyed.op", cs_str ("config"), cs_str (config));
	for (size_t i = 0; i < N_SERVERS; i++) {
		server_t *server = &lab->servers[i];
		*server = (server_t){lab, i ? "i-2" : "i-1", i ? "second" : "plain", 0};
		pthread_create (&thread, NULL, accept_connections, server);
		while (!server->port)
			wire_sleep_ms (1);
	}
	pthread_create (&thread, NULL, keep_listed, lab);
	start_daemon (lab, program);
	while (lab->daemon > 0 && !is_ready (lab) && wire_now_ms () < until_ms)
		wire_sleep_ms (TICK_MS);
	if (lab->daemon <= 0 || !is_ready (lab))
		return false;
	pthread_create (&thread, NULL, poll_readiness, lab);
	wire_sleep_ms (STABILITY_MS + HEARTBEAT_MS);
	return true;
}

void
lab_finish (lab_t *lab)
{
	int64_t until_ms = wire_now_ms () + STOP_MS;
	if (lab->daemon > 0) {
		kill (lab->daemon, SIGTERM);
		while (!waitpid (lab->daemon, NULL, WNOHANG)) {
			if (wire_now_ms () >= until_ms)
				kill (lab->daemon, SIGKILL);
			wire_sleep_ms (TICK_MS);
		}
	}
	if (lab->record)
		fclose (lab->record);
}

connection_t
lab_connect (const lab_t *lab, uint32_t timeout_ms)
{
	return (connection_t){.fd = wire_connect (lab->ip, CALLERS_PORT, timeout_ms)};
}

bool
lab_send (lab_t *lab, connection_t *c, const char *id, const char *target, const char *lines,
	  int deadline_ms)
{
	cs_buf_t out = {0};
	cs_buf_printf (&out,
		       "GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt: %s\r\n"
		       "Deadline-Remaining: %d\r\n%s\r\n",
		       target, id, deadline_ms, lines);
	bool sent = c->fd >= 0 && wire_send (c->fd, cs_buf_str (&out));
	fprintf (lab->record, "sent %s: %zu bytes, %.60s\n", id, out.n, target);
	cs_buf_finish (&out);
	return sent;
}

const arrival_t *
lab_find (lab_t *lab, const char *id)
{
	const arrival_t *found = NULL;
	pthread_mutex_lock (&lock);
	for (int i = 0; i < lab->n_arrivals && !found; i++)
		if (!strcmp (lab->arrivals[i].id, id))
			found = &lab->arrivals[i];
	pthread_mutex_unlock (&lock);
	return found;
}

bool
lab_wait (const connection_t *c, int64_t ms)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN};
	return poll (&p, 1, (int)ms) > 0;
}

bool
lab_is_closed (const connection_t *c, int64_t ms)
{
	char byte;
	return lab_wait (c, ms) && recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void
lab_close (connection_t *c)
{
	if (c->fd >= 0)
		close (c->fd);
	c->fd = -1;
	cs_buf_finish (&c->in);
}
