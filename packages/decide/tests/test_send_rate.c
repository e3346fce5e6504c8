/* Overload control, played: requests arrive at hundreds of daemons, each of which sends them to a
 * back end at random, as it has too few answers to know any load. Counts what callers get. */
#include <math.h>
#include <string.h>

#include "cs/rng.h"
#include "cs/send_rate.h"
#include "cs_options.h"
#include "cs_test.h"

enum {
	STEP_MS = 10,
	RUN_MS = 1200,     /* mean duration of a request */
	TARGET_MS = 500,   /* latency objective */
	MAX_WAIT_MS = 250, /* in a daemon's queue */
	SLOTS = 22,
	MAX_WAITING = 44, /* at a back end */
	MAX_BACK_ENDS = 60,
	MAX_DAEMONS = 330,
	MAX_REQUESTS = 40000
};

typedef struct {
	const char *name;
	uint32_t daemons, per_s;
	uint32_t back_ends[3]; /* that serve, for PART_MS each */
	uint32_t least[3];     /* percent of the requests of a part that are answered in time */
	uint32_t most_refused[3];
} load_t;

enum {
	PART_MS = 15000, /* RecoveryS */
	END_MS = 5000    /* the last requests end within this time */
};

/* A back end runs 18 requests a second. An overload leaves at least half of what back ends can run
 * in time; calm refuses nobody; after an overload most are served again within RecoveryS. */
static const load_t loads[] = {
	{"calm", 195, 500, {40, 40, 40}, {95, 95, 95}, {0, 0, 0}},
	{"a third of the back ends is lost", 195, 500, {40, 24, 40}, {95, 43, 50}, {0, 100, 100}},
	{"two thirds are lost", 195, 500, {40, 13, 40}, {95, 23, 50}, {0, 100, 100}},
	{"two thirds are lost, few daemons", 20, 500, {40, 13, 40}, {95, 23, 50}, {0, 100, 100}},
	{"two thirds are lost, many daemons", 330, 500, {40, 13, 40}, {95, 23, 50}, {0, 100, 100}},
};

typedef struct {
	uint32_t daemon;
	uint32_t back_end;
	int64_t arrived_ms, sent_ms, began_ms, ends_ms; /* 0: not yet */
} request_t;

static struct {
	cs_rng_t rng;
	cs_send_rate_t rates[MAX_DAEMONS];
	request_t requests[MAX_REQUESTS];
	size_t first, n; /* requests before first are over */
	uint32_t running[MAX_BACK_ENDS], waiting[MAX_BACK_ENDS];
	uint32_t asked[3], in_time[3], refused[3];
} w;

static double
uniform (void)
{
	return (cs_rng_below (&w.rng, 1 << 30) + 0.5) / (1 << 30);
}

static void
end_request (request_t *q, uint32_t *count)
{
	count[q->arrived_ms / PART_MS]++;
	q->arrived_ms = -1;
}

static void
begin (request_t *q, int64_t now)
{
	w.running[q->back_end]++;
	q->began_ms = now;
	q->ends_ms = now - (int64_t)(RUN_MS * log (uniform ()));
}

static void
try_to_send (const load_t *l, request_t *q, int64_t now, bool limited)
{
	cs_send_rate_t *r = &w.rates[q->daemon];
	if (limited && !cs_send_rate_allows (r, now)) {
		if (now - q->arrived_ms >= MAX_WAIT_MS)
			end_request (q, w.refused);
		return;
	}
	cs_send_rate_sent (r);
	q->back_end = cs_rng_below (&w.rng, l->back_ends[q->arrived_ms / PART_MS]);
	q->sent_ms = now;
	if (w.running[q->back_end] < SLOTS) {
		begin (q, now);
	} else if (w.waiting[q->back_end] < MAX_WAITING) {
		w.waiting[q->back_end]++;
	} else {
		cs_send_rate_answered (r, now, MAX_WAITING, SLOTS, TARGET_MS);
		end_request (q, w.refused);
	}
}

/* The answer's head tells what waits when the request begins, as a back end's does. */
static void
step_request (const load_t *l, request_t *q, int64_t now, bool limited)
{
	cs_send_rate_t *r = &w.rates[q->daemon];
	uint32_t b = q->back_end;
	if (!q->sent_ms) {
		try_to_send (l, q, now, limited);
	} else if (!q->began_ms && w.running[b] < SLOTS) {
		w.waiting[b]--;
		begin (q, now);
		cs_send_rate_answered (r, now, w.waiting[b], SLOTS, TARGET_MS);
	} else if (q->began_ms && now >= q->ends_ms) {
		w.running[b]--;
		cs_send_rate_ended (r, now - q->sent_ms);
		cs_send_rate_answered (r, now, w.waiting[b], SLOTS, TARGET_MS);
		uint32_t late[3];
		end_request (q, q->began_ms - q->arrived_ms <= TARGET_MS ? w.in_time : late);
	}
}

static void
play (const load_t *l, bool limited)
{
	memset (&w, 0, sizeof w);
	cs_rng_init (&w.rng, 1);
	for (int64_t now = STEP_MS; now < INT64_C (3) * PART_MS + END_MS; now += STEP_MS) {
		double n = now < INT64_C (3) * PART_MS ? l->per_s * STEP_MS / 1000. : 0;
		double at = -log (uniform ());
		while (at < n) {
			request_t *q = &w.requests[w.n++];
			q->daemon = cs_rng_below (&w.rng, l->daemons);
			q->arrived_ms = now;
			w.asked[now / PART_MS]++;
			cs_send_rate_arrived (&w.rates[q->daemon], now);
			at -= log (uniform ());
		}
		for (size_t i = w.first; i < w.n; i++)
			if (w.requests[i].arrived_ms >= 0)
				step_request (l, &w.requests[i], now, limited);
		while (w.first < w.n && w.requests[w.first].arrived_ms < 0)
			w.first++;
	}
}

static cs_options_t options;

static void
test_loads (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (loads); i++) {
		const load_t *l = &loads[i];
		play (l, !cs_options_is_disabled (&options, "limit"));
		for (int part = 0; part < 3; part++) {
			uint32_t in_time = 100 * w.in_time[part] / w.asked[part];
			uint32_t refused = 100 * w.refused[part] / w.asked[part];
			print_message ("%s, part %d: %u %% in time, %u %% refused\n", l->name, part,
				       in_time, refused);
			assert_true (in_time >= l->least[part]);
			assert_true (refused <= l->most_refused[part]);
		}
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_loads)};
	options = cs_options_parse (argc, argv, 1);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
