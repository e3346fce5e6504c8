/* The head of a group that serves is cut off from the store and from all daemons for 10 s and lives
 * on; its members are not. Back ends, which take the orders, check TWO.
 *
 * usage: isolated_head DAEMON TROUBLE */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/soak/cluster.h"
#include "../../platform/soak/wire.h"
#include "../common/cut_proxy.h"

enum {
	N_DAEMONS = 3,
	N_MODEL = 3,                  /* a group, and a back end that stands by */
	CUT_MS = 10000,               /* the longest srv_cut of the site */
	EXPIRY_MS = 3 * HEARTBEAT_MS, /* of the silent head's entry */
	AFTER_MS = 3000,
	SETTLE_MS = 4000,
	START_MS = 20000,
	TICK_MS = 20,
	COULD_NOT_RUN = 2
};

static cluster_t cluster;
static back_end_t *back_ends[N_MODEL];
static cut_proxy_t proxies[N_MODEL];
static int64_t started_ms;

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
			printf ("%6" PRId64 " ms  %s\n", wire_now_ms () - started_ms, now);
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

/* Each back end is listed with the address of its proxy: this is set before its first entry. */
static bool
start_back_ends (void)
{
	for (int i = 0; i < N_MODEL; i++) {
		back_ends[i] = back_end_start (&cluster.world, i + 1, "model");
		if (!cut_proxy_start (&proxies[i], back_ends[i]->port))
			return false;
		pthread_mutex_lock (&cluster.world.lock);
		back_ends[i]->port = proxies[i].port;
		pthread_mutex_unlock (&cluster.world.lock);
	}
	int64_t until_ms = wire_now_ms () + START_MS;
	while (cluster_open_groups (&cluster) < 1 && wire_now_ms () < until_ms)
		watch_for (TICK_MS);
	watch_for (SETTLE_MS);
	return cluster_open_groups (&cluster) >= 1;
}

static int
find_head (void)
{
	for (int i = 0; i < N_MODEL; i++)
		if (back_ends[i]->membership == MEMBERSHIP_OPEN)
			return i;
	return -1;
}

static void
set_cut (int head, bool is_cut)
{
	proxies[head].is_cut = is_cut;
	back_ends[head]->manner.silent_in_list = is_cut;
	printf ("%6" PRId64 " ms  %s is %s the store and the daemons\n",
		wire_now_ms () - started_ms, back_ends[head]->id,
		is_cut ? "cut off from" : "back in touch with");
}

static void
isolate (int head)
{
	const back_end_t *b = back_ends[head];
	set_cut (head, true);
	watch_for (EXPIRY_MS);
	store_put (cluster.world.store, "keyed.servers", cs_str (b->id), cs_str (""));
	printf ("%6" PRId64 " ms  the entry of %s is removed\n", wire_now_ms () - started_ms,
		b->id);
	watch_for (CUT_MS - EXPIRY_MS);
	set_cut (head, false);
	back_end_write_entry (back_ends[head]);
}

int
main (int argc, char **argv)
{
	setvbuf (stdout, NULL, _IOLBF, 0);
	if (argc != 3)
		return COULD_NOT_RUN;
	started_ms = wire_now_ms ();
	bool ready =
		cluster_start (&cluster, argv[1], 1, N_DAEMONS, 1, 0, 0, 0) && start_back_ends ();
	int head = ready ? find_head () : -1;
	if (head >= 0 && atoi (argv[2]))
		isolate (head);
	else if (head >= 0)
		watch_for (CUT_MS);
	if (head >= 0)
		watch_for (AFTER_MS);
	int violations = cluster.world.violations;
	cluster_finish (&cluster);
	printf ("%s: %d violations\n", head < 0 ? "could not run" : "TWO", violations);
	if (head < 0)
		return COULD_NOT_RUN;
	return violations > 0;
}
