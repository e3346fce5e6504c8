/* foreign-group PROGRAM: groups serve; then another writer puts entries for the heads of open
 * groups into the list that lack fields and name another group. Exits with 1 if a member joins
 * another group while the head of its own is open, 0 if none does, 2 if the case could not run.
 * With TROUBLE=0 in the environment nobody writes such entries. */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../../platform/soak/cluster.h"
#include "../../../platform/soak/wire.h"

enum {
	HELD,
	BROKEN,
	CANNOT_RUN,
	DAEMONS = 2,
	GROUPED = 4, /* back ends of the first groups, of two each */
	SPARE = 4,
	OPEN_MS = 4000,
	ROUNDS = 2,
	BEAT_MS = 1200, /* HeartbeatMs of the sites */
	DISTURBED_MS = 2500,
	GAP_MS = 3000,
	HIGHER = 1000
};

/* The head whose entry another writer replaces behind each heartbeat; NULL: none. */
static const back_end_t *volatile disturbed;

static void
write_foreign_entry (cluster_t *c, const back_end_t *head, uint64_t epoch)
{
	cs_buf_t entry = {0};
	cs_buf_printf (&entry,
		       "{\"Service\":\"model\",\"Address\":\"127.0.0.1:%u\",\"State\":\"ready\","
		       "\"group\":{\"Name\":\"other\",\"epoch\":%" PRIu64
		       ",\"rank\":0,\"State\":\"ready\"}}",
		       head->port, epoch);
	store_put (c->world.store, "keyed.servers", cs_str (head->id), cs_buf_str (&entry));
	printf ("another writer: servers/%s, %s of %s epoch %" PRIu64 ": %s\n", head->id,
		head->membership == MEMBERSHIP_OPEN ? "open head" : "member", head->group,
		head->epoch, entry.p);
	cs_buf_finish (&entry);
}

/* Back ends write their entries at each heartbeat, not only on a change. */
static void *
keep_heartbeats (void *data)
{
	cluster_t *c = data;
	while (!c->world.stopping) {
		const back_end_t *head = disturbed;
		for (int i = 0; i < c->world.n_back_ends; i++)
			if (c->world.back_ends[i]->up)
				back_end_write_entry (c->world.back_ends[i]);
		if (head)
			write_foreign_entry (c, head, head->epoch + HIGHER);
		wire_sleep_ms (BEAT_MS);
	}
	return NULL;
}

/* Another writer replaces the entry of a head. False: no group is open. */
static bool
disturb_head (cluster_t *c)
{
	const back_end_t *head = NULL;
	for (int i = 0; i < c->world.n_back_ends && !head; i++)
		if (c->world.back_ends[i]->membership == MEMBERSHIP_OPEN)
			head = c->world.back_ends[i];
	disturbed = head;
	cluster_tend_for (c, DISTURBED_MS);
	disturbed = NULL;
	return head;
}

/* A configuration whose loads last as long as the sites' do. */
static void
write_long_loads (cluster_t *c)
{
	static const char short_load[] = "\"LoadS\":0.2,\"WarmS\":0.1";
	const char *at = strstr (c->config, short_load);
	const char *routes = strstr (c->config, ",\"Routes\"");
	cs_buf_t config = {0};
	if (!at || !routes)
		return;
	cs_buf_printf (&config, "{\"Version\":%" PRIu64 "%.*s\"LoadS\":16.0,\"WarmS\":1.1%s",
		       c->config_number + 1, (int)(at - routes), routes, at + strlen (short_load));
	store_put (c->world.store, "keyed.op", cs_str ("config"), cs_buf_str (&config));
	cs_buf_finish (&config);
}

int
main (int argc, char **argv)
{
	static cluster_t c;
	pthread_t thread;
	const char *trouble = getenv ("TROUBLE");
	bool has_trouble = !trouble || strcmp (trouble, "0") != 0;
	int n = 0;
	setvbuf (stdout, NULL, _IOLBF, 0);
	if (argc != 2)
		return CANNOT_RUN;
	bool started = cluster_start (&c, argv[1], 1, DAEMONS, 0, 0, GROUPED, 0);
	for (int i = 0; started && i < SPARE; i++)
		back_end_start (&c.world, GROUPED + i, "model");
	if (started) {
		write_long_loads (&c);
		pthread_create (&thread, NULL, keep_heartbeats, &c);
		cluster_tend_for (&c, OPEN_MS);
	}
	for (int i = 0; started && i < ROUNDS; i++) {
		if (has_trouble)
			n += disturb_head (&c);
		cluster_tend_for (&c, GAP_MS);
	}
	int violations = c.world.violations;
	int n_open = cluster_open_groups (&c);
	printf ("heads whose entry another writer wrote: %d, open groups at the end: %d, rule "
		"broken: %d "
		"times\n",
		n, cluster_open_groups (&c), violations);
	cluster_finish (&c);
	if (!started || (has_trouble ? !n : !n_open))
		return CANNOT_RUN;
	return violations ? BROKEN : HELD;
}
