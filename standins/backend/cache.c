#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "backend.h"
#include "cs/hash.h"

enum {
	RETAINED_EVENTS = 256, /* events that can still be read */
	MAX_REPORT_EVENTS = 8, /* upper limit of events in one report */
	LOSS_SEED = 1          /* seed of the selection of lost events */
};

typedef struct {
	uint64_t prefix;
	bool stored;
	bool lost;
	int64_t at_ms;
} event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t cache[CACHE_MAX_PREFIXES]; /* most recently used first; 0: empty slot */
static event_t events[RETAINED_EVENTS];    /* ring buffer, indexed by event number */
static uint64_t last_number;               /* number of the newest event */
static uint64_t epoch;

static void
reset_locked (void)
{
	uint64_t now = (uint64_t)server_now_ms ();
	memset (cache, 0, sizeof cache);
	last_number = 0;
	epoch = now > epoch ? now : epoch + 1;
}

void
cache_reset (void)
{
	pthread_mutex_lock (&lock);
	reset_locked ();
	pthread_mutex_unlock (&lock);
}

static void
add_event (uint64_t prefix, bool stored)
{
	if (!prefix)
		return;
	last_number++;
	bool lost = cs_rendezvous (last_number, LOSS_SEED) % 100 < options.cache_loss_percent;
	events[last_number % RETAINED_EVENTS] = (event_t){prefix, stored, lost, server_now_ms ()};
}

static bool
access_locked (uint64_t prefix)
{
	size_t slot = 0;
	while (slot < options.cache_prefixes - 1 && cache[slot] != prefix)
		slot++;
	bool hit = cache[slot] == prefix;
	if (!hit) {
		add_event (cache[slot], false);
		add_event (prefix, true);
	}
	memmove (cache + 1, cache, slot * sizeof *cache);
	cache[0] = prefix;
	return hit;
}

bool
cache_access (uint64_t prefix)
{
	if (!prefix || !options.cache_prefixes)
		return false;
	pthread_mutex_lock (&lock);
	if (!epoch)
		reset_locked ();
	bool hit = access_locked (prefix);
	pthread_mutex_unlock (&lock);
	return hit;
}

static json_t *
event_json (uint64_t number)
{
	char text[24];
	const event_t *e = &events[number % RETAINED_EVENTS];
	snprintf (text, sizeof text, "%016llx", (unsigned long long)e->prefix);
	return json_pack ("{s:I, s:s}", "n", (json_int_t)number, e->stored ? "stored" : "removed",
			  text);
}

static json_t *
list_events_locked (uint64_t after)
{
	json_t *list = json_array ();
	int64_t publish_before_ms = server_now_ms () - (int64_t)options.cache_lag_ms;
	uint64_t first = last_number > RETAINED_EVENTS ? last_number - RETAINED_EVENTS : 0;
	for (uint64_t n = (after > first ? after : first) + 1; n <= last_number; n++) {
		const event_t *e = &events[n % RETAINED_EVENTS];
		if (e->at_ms > publish_before_ms || json_array_size (list) == MAX_REPORT_EVENTS)
			break;
		if (!e->lost)
			json_array_append_new (list, event_json (n));
	}
	return list;
}

json_t *
cache_events (uint64_t reader_epoch, uint64_t after)
{
	json_t *j = NULL;
	pthread_mutex_lock (&lock);
	json_t *list = list_events_locked (reader_epoch == epoch ? after : 0);
	if (json_array_size (list))
		j = json_pack ("{s:I, s:O}", "epoch", (json_int_t)epoch, "events", list);
	pthread_mutex_unlock (&lock);
	json_decref (list);
	return j;
}
