/* The tasks "peer" of two daemons on loopback: which keys let messages pass, and which handshakes
 * are counted as failed, also during a key rotation of one daemon after the other. */
#include "cs_test.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cs/counters.h"
#include "cs/messages.h"
#include "cs/peer_key.h"
#include "cs/settings.h"

enum {
	ARRIVAL_TIMEOUT_MS = 8000, /* for messages that must arrive */
	NO_MESSAGE_MS = 1200,      /* for messages that must not arrive */
	STEP_US = 2000
};

/* Names of a daemon's keys: its own and the one that it accepts besides; "" for none. */
typedef struct {
	const char *own;
	const char *accepted;
} keys_t;

typedef struct {
	cs_settings_t settings;
	cs_kernel_t kernel;
	char *accepted[1];
	char address[64];
	int n_received;
} daemon_t;

static cs_peer_key_t key_pairs[3]; /* "a", "b", "c" */

static cs_status_t
fake_init (cs_task_t *task)
{
	(void)task;
	return CS_OK;
}

static void
fake_finish (cs_task_t *task)
{
	(void)task;
}

static void
control_receive (cs_task_t *task, cs_msg_t *m)
{
	(void)m;
	daemon_t *d = (daemon_t *)((char *)task->kernel - offsetof (daemon_t, kernel));
	d->n_received++;
}

static cs_plugin_t fake_control = {"control",       1,           fake_init,         NULL,
				   control_receive, fake_finish, CS_PROFILE_NATIVE, NULL};

static cs_peer_key_t *
find_key_pair (const char *name)
{
	return *name ? &key_pairs[*name - 'a'] : NULL;
}

static void
start (daemon_t *d, int port, keys_t keys)
{
	cs_peer_key_t *own = find_key_pair (keys.own);
	memset (d, 0, sizeof *d);
	snprintf (d->address, sizeof d->address, "tcp://127.0.0.1:%d", port);
	d->settings.peer_listen = d->address;
	if (own) {
		d->settings.peer_secret_key = own->secret;
		d->settings.peer_public_key = own->public;
	}
	if (*keys.accepted) {
		d->accepted[0] = find_key_pair (keys.accepted)->public;
		d->settings.peer_accepted_keys = d->accepted;
		d->settings.n_peer_accepted_keys = 1;
	}
	cs_kernel_init (&d->kernel, &d->settings);
	if (cs_kernel_start (&d->kernel) != CS_OK)
		fail_msg ("%s", cs_last_error_message ());
}

static void
stop (daemon_t *d)
{
	cs_kernel_finish (&d->kernel);
}

static int
free_port (void)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
	socklen_t n = sizeof a;
	int fd = socket (AF_INET, SOCK_STREAM, 0);
	assert_int_equal (bind (fd, (struct sockaddr *)&a, n), 0);
	assert_int_equal (getsockname (fd, (struct sockaddr *)&a, &n), 0);
	close (fd);
	return ntohs (a.sin_port);
}

static void
send_heartbeat (daemon_t *from, const daemon_t *to)
{
	cs_peer_send_msg_t *m = cs_peer_send_msg (1, to->address);
	cs_buf_addz (&m->bytes, "heartbeat");
	cs_send (NULL, cs_task_find (&from->kernel, "peer"), &m->msg);
}

static int64_t
read_refused_count (void)
{
	long long n = 0;
	cs_buf_t text = {0};
	cs_counters_print (&text);
	const char *at = text.p ? strstr (text.p, "\ncs_peer_refused_total ") : NULL;
	if (at)
		sscanf (at, "\ncs_peer_refused_total %lld", &n);
	cs_buf_finish (&text);
	return n;
}

static void
exchange_once (daemon_t *a, daemon_t *b)
{
	send_heartbeat (a, b);
	send_heartbeat (b, a);
	ev_run (a->kernel.loop, EVRUN_NOWAIT);
	ev_run (b->kernel.loop, EVRUN_NOWAIT);
	usleep (STEP_US);
}

/* Whether each daemon receives a message of the other within that time from now. */
static bool
both_receive (daemon_t *a, daemon_t *b, int64_t ms)
{
	a->n_received = b->n_received = 0;
	for (int64_t end = cs_now_ms () + ms; cs_now_ms () < end;) {
		exchange_once (a, b);
		if (a->n_received && b->n_received)
			return true;
	}
	return false;
}

static void
test_key_combinations (void **state)
{
	static const struct {
		keys_t a;
		keys_t b;
		bool is_received;
	} cases[] = {
		{{"", ""}, {"", ""}, true},     {{"a", ""}, {"a", ""}, true},
		{{"a", ""}, {"b", ""}, false},  {{"a", ""}, {"", ""}, false},
		{{"", ""}, {"a", ""}, false},   {{"a", "b"}, {"c", ""}, false},
		{{"a", "b"}, {"a", ""}, true},  {{"a", "b"}, {"a", "b"}, true},
		{{"a", "b"}, {"b", "a"}, true}, {{"b", "a"}, {"a", "b"}, true},
		{{"b", "a"}, {"b", ""}, true},  {{"a", "b"}, {"b", ""}, false},
		{{"a", "b"}, {"", ""}, false},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		daemon_t a;
		daemon_t b;
		int64_t before = read_refused_count ();
		start (&a, free_port (), cases[i].a);
		start (&b, free_port (), cases[i].b);
		if (both_receive (&a, &b,
				  cases[i].is_received ? ARRIVAL_TIMEOUT_MS : NO_MESSAGE_MS) !=
		    cases[i].is_received)
			fail_msg ("case %zu: daemons received %d and %d messages", i, a.n_received,
				  b.n_received);
		if (!cases[i].is_received && (a.n_received || b.n_received))
			fail_msg ("case %zu: daemons received %d and %d messages", i, a.n_received,
				  b.n_received);
		if (!cases[i].is_received && read_refused_count () == before)
			fail_msg ("case %zu: cs_peer_refused_total did not rise", i);
		stop (&a);
		stop (&b);
	}
}

/* Key rotation as in docs/OPERATING.md: both daemons have key a and are restarted in turn with the
 * keys of each step. After each restart both receive messages of the other. */
static void
test_rotation (void **state)
{
	static const keys_t steps[] = {{"a", "b"}, {"b", "a"}, {"b", ""}};
	daemon_t d[2];
	int ports[2] = {free_port (), free_port ()};
	(void)state;
	for (size_t i = 0; i < 2; i++)
		start (&d[i], ports[i], (keys_t){"a", ""});
	assert_true (both_receive (&d[0], &d[1], ARRIVAL_TIMEOUT_MS));
	for (size_t i = 0; i < 2 * CS_ARRAY_LEN (steps); i++) {
		stop (&d[i % 2]);
		start (&d[i % 2], ports[i % 2], steps[i / 2]);
		if (!both_receive (&d[0], &d[1], ARRIVAL_TIMEOUT_MS))
			fail_msg ("step %zu: daemons received %d and %d messages", i,
				  d[0].n_received, d[1].n_received);
	}
	stop (&d[0]);
	stop (&d[1]);
}

/* A daemon is refused while the other does not accept its new key yet. Its messages arrive once the
 * other has restarted and accepts the key. */
static void
test_key_accepted_later (void **state)
{
	daemon_t a;
	daemon_t b;
	int port = free_port ();
	(void)state;
	start (&a, free_port (), (keys_t){"b", "a"});
	start (&b, port, (keys_t){"a", ""});
	assert_false (both_receive (&a, &b, NO_MESSAGE_MS));
	stop (&b);
	start (&b, port, (keys_t){"a", "b"});
	assert_true (both_receive (&a, &b, ARRIVAL_TIMEOUT_MS));
	stop (&a);
	stop (&b);
}

int
main (void)
{
	char path[] = "/tmp/cs-peer-key-XXXXXX";
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_key_combinations),
					   cmocka_unit_test (test_rotation),
					   cmocka_unit_test (test_key_accepted_later)};
	cs_plugin_register (&fake_control);
	if (!mkdtemp (path) || chdir (path))
		return 1;
	for (size_t i = 0; i < CS_ARRAY_LEN (key_pairs); i++) {
		if (cs_peer_key_create ("key", &key_pairs[i]) != CS_OK)
			return 1;
		unlink ("key");
	}
	rmdir (path);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
