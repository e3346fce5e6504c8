/* The head of a group that serves leaves without notice: its entry is removed, and it goes on
 * serving for some seconds. The daemon that plans the groups is killed just before, and
 * starts again.
 * Back ends, which take the orders, check TWO.
 *
 * usage: forgotten_head DAEMON TROUBLE; TROUBLE 0: no daemon is killed */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/soak/caller.h"
#include "../../platform/soak/cluster.h"
#include "../../platform/soak/wire.h"

enum {
	N_DAEMONS = 3,
	N_MODEL = 3, /* a group, and a back end that stands by */
	N_CALLERS = 3,
	SETTLE_MS = 5000,
	LINGER_MS = 10000, /* for which the head serves on: DrainMs, and 8 s */
	BEFORE_MS = 300,   /* from the SIGKILL to the removal of the head's entry */
	DOWN_MS = 500,     /* until the daemon starts again */
	START_MS = 20000,
	TICK_MS = 20,
	COULD_NOT_RUN = 2
};

static cluster_t cluster;
static back_end_t *back_ends[N_MODEL];
static int64_t started_ms;

static int64_t
since_start_ms (void)
{
	return wire_now_ms () - started_ms;
}

/* Prints each change of a back end's membership. */
static void
watch (void)
{
	static const char *const names[] = {"none", "joining", "ready", "open", "closing"};
	static char last[N_MODEL][128];
	for (int i = 0; i < N_MODEL; i++) {
		char now[128];
		const back_end_t *b = back_ends[i];
		pthread_mutex_lock (&cluster.world.lock);
		snprintf (now, sizeof now, "%s group=%s epoch=%" PRIu64 " rank=%d %s", b->id,
			  b->group, b->epoch, b->rank, names[b->membership]);
		pthread_mutex_unlock (&cluster.world.lock);
		if (strcmp (now, last[i]) != 0)
			printf ("%6" PRId64 " ms  %s\n", since_start_ms (), now);
		memcpy (last[i], now, sizeof now);
	}
}

static void
watch_for (int64_t ms)
{
	int64_t until_ms = wire_now_ms () + ms;
	do {
		cluster_tend (&cluster);
		watch ();
		wire_sleep_ms (TICK_MS);
	} while (wire_now_ms () < until_ms);
}

static back_end_t *
find_head (void)
{
	for (int i = 0; i < N_MODEL; i++)
		if (back_ends[i]->membership == MEMBERSHIP_OPEN)
			return back_ends[i];
	return NULL;
}

/* Waits for a group that is open. */
static back_end_t *
wait_for_group (void)
{
	int64_t until_ms = wire_now_ms () + START_MS;
	while (!find_head () && wire_now_ms () < until_ms)
		watch_for (TICK_MS);
	watch_for (SETTLE_MS);
	return find_head ();
}

static void
kill_planner (void)
{
	for (int d = 0; d < N_DAEMONS; d++) {
		const char *name = cluster.world.daemons[d].name;
		if (!store_is_owner (cluster.world.store, 0, name))
			continue;
		printf ("%6" PRId64 " ms  SIGKILL to %s, which plans the groups\n",
			since_start_ms (), name);
		cluster_signal (&cluster, d, SIGKILL, DOWN_MS);
		return;
	}
}

/* The head's entry is removed; it takes requests and orders, and answers probes, until it ends. */
static void
leave_without_notice (back_end_t *head)
{
	head->manner.silent_in_list = true;
	store_put (cluster.world.store, "keyed.servers", cs_str (head->id), cs_str (""));
	printf ("%6" PRId64 " ms  the entry of %s is removed, it serves on\n", since_start_ms (),
		head->id);
	watch_for (LINGER_MS);
	head->manner.is_gone = true;
	back_end_crash (head, 0);
	printf ("%6" PRId64 " ms  %s ends\n", since_start_ms (), head->id);
	watch_for (1000);
}

int
main (int argc, char **argv)
{
	pthread_t callers[N_CALLERS];
	setvbuf (stdout, NULL, _IOLBF, 0);
	if (argc != 3)
		return COULD_NOT_RUN;
	started_ms = wire_now_ms ();
	bool ready = cluster_start (&cluster, argv[1], 1, N_DAEMONS, 1, 0, 0, 0);
	for (int i = 0; i < N_MODEL; i++)
		back_ends[i] = back_end_start (&cluster.world, i + 1, "model");
	for (int i = 0; i < N_CALLERS; i++)
		caller_start_usual (&cluster.world, &callers[i]);
	back_end_t *head = ready ? wait_for_group () : NULL;
	if (head && atoi (argv[2])) {
		kill_planner ();
		watch_for (BEFORE_MS);
	}
	if (head)
		leave_without_notice (head);
	cluster.world.stopping = true;
	for (int i = 0; i < N_CALLERS; i++)
		pthread_join (callers[i], NULL);
	int violations = cluster.world.violations;
	cluster_finish (&cluster);
	printf ("%" PRIu64 " requests, %" PRIu64 " served; %s: %d violations\n",
		cluster.world.n_requests, cluster.world.n_served, head ? "TWO" : "could not run",
		violations);
	if (!head)
		return COULD_NOT_RUN;
	return violations > 0;
}
