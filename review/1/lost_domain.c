/* All back ends of the only fabric domain go dark for 6 s, as do the groups that they form;
 * meanwhile all daemons are killed, which is the final fault. Callers go on. RECOVER: of the
 * requests sent later than RecoveryS after the daemons are back, a quarter has to be served.
 *
 * usage: lost_domain DAEMON TROUBLE; TROUBLE 0: nothing goes dark, and no daemon is killed */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../../platform/soak/caller.h"
#include "../../platform/soak/cluster.h"
#include "../../platform/soak/wire.h"

enum {
	N_DAEMONS = 3,
	N_MODEL = 8, /* of one domain: four groups of two, or three and two that stand by */
	N_CALLERS = 6,
	DARK_MS = 6000,
	TO_FAULT_MS = 2000,  /* from the loss of the domain to the final fault */
	DOWN_MS = 600,       /* of the daemons */
	RECOVERY_MS = 12000, /* RecoveryS */
	MEASURE_MS = 20000,  /* of requests, before the loss and behind the recovery */
	START_MS = 20000,
	PAUSE_MS = 60,
	TICK_MS = 20,
	COULD_NOT_RUN = 2
};

typedef struct {
	int sent, served;
} count_t;

static cluster_t cluster;
static back_end_t *back_ends[N_MODEL];
static int64_t started_ms;
static count_t *volatile counts; /* where callers count; NULL: nowhere */

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
		snprintf (now, sizeof now, "%s %s group=%s epoch=%" PRIu64 " rank=%d %s", b->id,
			  b->up ? "up" : "dark", b->group, b->epoch, b->rank, names[b->membership]);
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

/* Sends requests to the model, each on a connection of its own, to one daemon after the other. */
static void *
call (void *data)
{
	world_t *w = &cluster.world;
	int n = (int)(intptr_t)data;
	for (; !w->stopping; n++) {
		count_t *c = counts;
		const ask_t a = {.kind = KIND_MODEL,
				 .daemon = n % N_DAEMONS,
				 .path = "/model/x",
				 .body = "b"};
		int status = caller_ask_once (w, &a, NULL, NULL);
		pthread_mutex_lock (&w->lock);
		if (c) {
			c->sent++;
			c->served += status == 200;
		}
		pthread_mutex_unlock (&w->lock);
		wire_sleep_ms (PAUSE_MS);
	}
	return NULL;
}

static count_t slots[2]; /* before the final fault, and behind the recovery */

/* Ends the count, and prints it. */
static count_t
end_count (const char *when)
{
	pthread_mutex_lock (&cluster.world.lock);
	count_t result = *counts;
	counts = NULL;
	pthread_mutex_unlock (&cluster.world.lock);
	printf ("%6" PRId64 " ms  %s: %d requests, %d served; %d groups are open\n",
		since_start_ms (), when, result.sent, result.served,
		cluster_open_groups (&cluster));
	return result;
}

static count_t
strike (void)
{
	printf ("%6" PRId64 " ms  the domain goes dark\n", since_start_ms ());
	for (int i = 0; i < N_MODEL; i++)
		back_end_crash (back_ends[i], DARK_MS);
	watch_for (TO_FAULT_MS);
	count_t before = end_count ("before the final fault");
	printf ("%6" PRId64 " ms  all daemons are killed\n", since_start_ms ());
	for (int d = 0; d < N_DAEMONS; d++)
		cluster_signal (&cluster, d, SIGKILL, DOWN_MS);
	watch_for (DOWN_MS);
	printf ("%6" PRId64 " ms  the daemons are back\n", since_start_ms ());
	watch_for (RECOVERY_MS);
	return before;
}

/* Daemons know the model's groups before traffic starts. */
static bool
start_back_ends (void)
{
	int64_t until_ms = wire_now_ms () + START_MS;
	for (int i = 0; i < N_MODEL; i++)
		back_ends[i] = back_end_start (&cluster.world, i + 1, "model");
	while (cluster_open_groups (&cluster) < N_MODEL / GROUP_SIZE - 1 &&
	       wire_now_ms () < until_ms)
		watch_for (TICK_MS);
	watch_for (RECOVERY_MS / 4);
	return cluster_open_groups (&cluster) > 0;
}

int
main (int argc, char **argv)
{
	pthread_t callers[N_CALLERS];
	count_t before = {0}, after = {0};
	setvbuf (stdout, NULL, _IOLBF, 0);
	if (argc != 3)
		return COULD_NOT_RUN;
	started_ms = wire_now_ms ();
	bool ready =
		cluster_start (&cluster, argv[1], 1, N_DAEMONS, 1, 0, 0, 0) && start_back_ends ();
	if (!ready) {
		cluster_finish (&cluster);
		return COULD_NOT_RUN;
	}
	for (int i = 0; i < N_CALLERS; i++)
		pthread_create (&callers[i], NULL, call, (void *)(intptr_t)i);
	counts = &slots[0];
	watch_for (MEASURE_MS);
	before = atoi (argv[2]) ? strike () : end_count ("before");
	counts = &slots[1];
	watch_for (MEASURE_MS);
	after = end_count ("behind the recovery");
	cluster.world.stopping = true;
	for (int i = 0; i < N_CALLERS; i++)
		pthread_join (callers[i], NULL);
	cluster_finish (&cluster);
	if (before.served * 4 < before.sent || !before.sent)
		return COULD_NOT_RUN;
	return after.served * 4 < after.sent;
}
