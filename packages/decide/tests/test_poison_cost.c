/* Simulates several daemons and groups and counts the crashes that a poisonous request causes. */
#include "cs_test.h"

#include <stdio.h>
#include <string.h>

#include "cs/poison.h"
#include "cs/rng.h"
#include "cs_options.h"
#include "support_poison.h"

enum {
	ZONES = 3,
	GROUPS = 8, /* in each zone */
	DAEMONS = 6,
	REQUESTS = 48,
	STEP_MS = 10,
	APPEND_MS = 200,  /* until all daemons have applied a record */
	CRASH_MS = 150,   /* from the start of a poisonous request to its crash */
	DEAD_MS = 300,    /* from a crash until a member is found dead */
	RESTART_MS = 3000 /* from a crash until the group serves again */
};

typedef enum {
	IDLE,
	RUNNING,
	HELD, /* connection broke, not answered yet */
	DONE,
	REFUSED
} request_state_t;

typedef struct {
	uint64_t fingerprint;
	bool poison;
	request_state_t state;
	int daemon, group; /* group: index over all zones */
	int64_t at_ms;     /* when its state changes next */
} request_t;

typedef struct {
	cs_poison_t daemons[DAEMONS];
	struct {
		char name[16];
		uint64_t fence;
		int64_t down_ms; /* time of the crash; 0: serves */
	} groups[ZONES * GROUPS];
	request_t requests[REQUESTS];
	int n;
	struct {
		char group[16];
		uint64_t fence, fingerprints[CS_POISON_MAX_FINGERPRINTS],
			cleared[CS_POISON_MAX_FINGERPRINTS];
		size_t n, n_cleared;
		int64_t due_ms;
	} log[400];
	size_t n_log, n_applied;
	int64_t now_ms;
	uint64_t fence;
	int crashes;
	int64_t crash_ms; /* time of the last crash */
	cs_rng_t rng;
} sim_t;

static void
append_reports (sim_t *sim, cs_poison_t *p)
{
	cs_poison_tick (p, sim->now_ms);
	for (size_t i = 0; i < p->n_reports && sim->n_log < CS_ARRAY_LEN (sim->log); i++) {
		const cs_poison_report_t *r = &p->reports[i];
		snprintf (sim->log[sim->n_log].group, sizeof sim->log[0].group, "%s", r->group);
		sim->log[sim->n_log].fence = r->fence;
		sim->log[sim->n_log].n = r->n_fingerprints;
		memcpy (sim->log[sim->n_log].fingerprints, r->fingerprints, 8 * r->n_fingerprints);
		sim->log[sim->n_log].n_cleared = r->n_cleared;
		memcpy (sim->log[sim->n_log].cleared, r->cleared,
			r->n_cleared ? 8 * r->n_cleared : 0);
		sim->log[sim->n_log++].due_ms = sim->now_ms + APPEND_MS;
	}
	cs_poison_clear_reports (p);
}

static void
apply_record (cs_poison_t *p, const sim_t *sim, size_t i)
{
	poison_apply_crash (p, sim->log[i].group, sim->log[i].fence, sim->log[i].fingerprints,
			    sim->log[i].n, sim->log[i].cleared, sim->log[i].n_cleared);
}

/* Replaces a daemon by a new one, which applies the log from its start. */
static void
replace_daemon (sim_t *sim, int d)
{
	cs_poison_finish (&sim->daemons[d]);
	poison_test_init (&sim->daemons[d]);
	for (size_t i = 0; i < sim->n_applied; i++)
		apply_record (&sim->daemons[d], sim, i);
	for (int i = 0; i < sim->n; i++) {
		request_t *q = &sim->requests[i];
		if (q->daemon == d && (q->state == RUNNING || q->state == HELD)) {
			q->state = IDLE; /* its caller sends it again */
			q->at_ms = sim->now_ms + 100;
		}
	}
}

static void
send_request (sim_t *sim, int i)
{
	request_t *q = &sim->requests[i];
	q->daemon = (int)cs_rng_below (&sim->rng, DAEMONS);
	cs_poison_t *p = &sim->daemons[q->daemon];
	cs_poison_verdict_t verdict = cs_poison_judge (p, sim->now_ms, q->fingerprint);
	const char *names[ZONES * GROUPS], *name = NULL;
	size_t n = 0;
	if (verdict == CS_POISON_REFUSED) {
		q->state = REFUSED;
		return;
	}
	for (int g = 0; g < ZONES * GROUPS; g++)
		if (!sim->groups[g].down_ms)
			names[n++] = sim->groups[g].name;
	q->at_ms = sim->now_ms + 200;
	if (verdict == CS_POISON_SUSPECT) {
		if (cs_poison_place (p, sim->now_ms, q->fingerprint, names, n, &name) != CS_OK)
			return;
		for (q->group = 0; strcmp (sim->groups[q->group].name, name) != 0; q->group++)
			;
	} else {
		int first = q->daemon % ZONES * GROUPS;
		q->group = first + (int)cs_rng_below (&sim->rng, GROUPS);
		if (sim->groups[q->group].down_ms)
			return;
	}
	q->state = RUNNING;
	q->at_ms = sim->now_ms + (q->poison ? CRASH_MS : 300 + cs_rng_below (&sim->rng, 400));
	cs_poison_begin_request (p, (uint64_t)i, q->fingerprint, sim->groups[q->group].name,
				 sim->groups[q->group].fence);
}

static void
crash_group (sim_t *sim, int group)
{
	sim->crashes++;
	sim->crash_ms = sim->now_ms;
	sim->groups[group].down_ms = sim->now_ms;
	for (int i = 0; i < sim->n; i++) {
		request_t *q = &sim->requests[i];
		if (q->state != RUNNING || q->group != group)
			continue;
		cs_poison_connection_broken (&sim->daemons[q->daemon], sim->now_ms, (uint64_t)i);
		q->state = HELD;
		q->at_ms = sim->now_ms + CS_POISON_HOLD_MS;
	}
}

static void
step_groups (sim_t *sim)
{
	for (int g = 0; g < ZONES * GROUPS; g++) {
		if (!sim->groups[g].down_ms)
			continue;
		int64_t down = sim->now_ms - sim->groups[g].down_ms;
		for (int d = 0; d < DAEMONS && down == DEAD_MS; d++)
			cs_poison_member_dead (&sim->daemons[d], sim->now_ms, sim->groups[g].name,
					       sim->groups[g].fence);
		if (down >= RESTART_MS) {
			sim->groups[g].down_ms = 0;
			sim->groups[g].fence = ++sim->fence;
		}
	}
}

static void
step_request (sim_t *sim, int i)
{
	request_t *q = &sim->requests[i];
	cs_poison_t *p = &sim->daemons[q->daemon];
	bool due = sim->now_ms >= q->at_ms;
	if (q->state == IDLE && due)
		send_request (sim, i);
	else if (q->state == RUNNING && due && q->poison)
		crash_group (sim, q->group);
	else if (q->state == RUNNING && due) {
		cs_poison_end_request (p, (uint64_t)i, true);
		q->state = DONE;
	} else if (q->state == HELD && (due || sim->now_ms >= q->at_ms - CS_POISON_HOLD_MS +
								      DEAD_MS + 2L * APPEND_MS)) {
		q->state = IDLE;
		q->at_ms = sim->now_ms + cs_rng_below (&sim->rng, 100);
	}
}

/* Updates the serving groups of each daemon once a second, the daemons 100 ms apart. */
static void
update_serving (sim_t *sim)
{
	const char *names[ZONES * GROUPS];
	size_t n = 0;
	for (int g = 0; g < ZONES * GROUPS; g++)
		if (!sim->groups[g].down_ms)
			names[n++] = sim->groups[g].name;
	for (int d = 0; d < DAEMONS; d++)
		if (sim->now_ms % 1000 == 100L * d)
			cs_poison_update_serving (&sim->daemons[d], sim->now_ms, names, n);
}

static void
step (sim_t *sim)
{
	sim->now_ms += STEP_MS;
	update_serving (sim);
	step_groups (sim);
	for (; sim->n_applied < sim->n_log && sim->log[sim->n_applied].due_ms <= sim->now_ms;
	     sim->n_applied++)
		for (int d = 0; d < DAEMONS; d++)
			apply_record (&sim->daemons[d], sim, sim->n_applied);
	for (int i = 0; i < sim->n; i++)
		step_request (sim, i);
	for (int d = 0; d < DAEMONS; d++)
		append_reports (sim, &sim->daemons[d]);
}

static void
start (sim_t *sim, uint64_t seed)
{
	memset (sim, 0, sizeof *sim);
	cs_rng_init (&sim->rng, seed);
	for (int d = 0; d < DAEMONS; d++)
		poison_test_init (&sim->daemons[d]);
	for (int g = 0; g < ZONES * GROUPS; g++) {
		snprintf (sim->groups[g].name, sizeof sim->groups[g].name, "m/%c/%d",
			  'a' + g / GROUPS, g % GROUPS);
		sim->groups[g].fence = ++sim->fence;
	}
}

static void
add_request (sim_t *sim, uint64_t fingerprint, bool poison, int64_t at_ms)
{
	request_t *q = &sim->requests[sim->n++];
	memset (q, 0, sizeof *q);
	q->fingerprint = fingerprint;
	q->poison = poison;
	q->at_ms = at_ms;
}

/* A poisonous request is retried until it is refused, by several callers after its first
 * crash, while harmless requests run. The request must crash exactly two groups, all harmless
 * requests must complete, and the same must hold for a second poisonous request. */
static void
test_cost (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		int bystanders, copies;
		bool replaced;
	} cases[] = {
		{"alone", 0, 1, false},
		{"many copies", 0, 8, false},
		{"bystanders", 20, 1, false},
		{"bystanders and copies", 20, 8, false},
		{"daemons are replaced", 20, 4, true},
	};
	for (size_t i = 0; i < CS_ARRAY_LEN (cases) * 10; i++) {
		size_t c = i / 10;
		sim_t sim;
		start (&sim, i + 1);
		for (int incident = 0; incident < 2; incident++) {
			sim.n = 0;
			sim.crashes = 0;
			for (int b = 0; b < cases[c].bystanders; b++)
				add_request (&sim, 100 + (uint64_t)b, false, sim.now_ms);
			add_request (&sim, 1 + (uint64_t)incident, true, sim.now_ms + 20);
			for (int64_t end = sim.now_ms + 20000; sim.now_ms < end;) {
				step (&sim);
				if (sim.crashes == 1 && sim.n <= cases[c].bystanders + 1)
					for (int n = 1; n < cases[c].copies; n++)
						add_request (&sim, 1 + (uint64_t)incident, true,
							     sim.now_ms + 1000);
				bool applied = sim.now_ms - sim.crash_ms > DEAD_MS + 2 * APPEND_MS;
				if (cases[c].replaced && applied && sim.now_ms % 1500 == 0)
					replace_daemon (&sim,
							(int)cs_rng_below (&sim.rng, DAEMONS));
			}
			if (sim.crashes != 2)
				print_message ("%s: %d crashes\n", cases[c].name, sim.crashes);
			assert_int_equal (sim.crashes, 2);
			for (int n = 0; n < sim.n; n++)
				assert_int_equal (sim.requests[n].state,
						  sim.requests[n].poison ? REFUSED : DONE);
		}
		for (int d = 0; d < DAEMONS; d++)
			cs_poison_finish (&sim.daemons[d]);
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_cost)};
	cs_options_t o = cs_options_parse (argc, argv, 1);
	poison_disabled = (cs_options_is_disabled (&o, "isolation") ? CS_POISON_NO_ISOLATION : 0) |
			  (cs_options_is_disabled (&o, "fold") ? CS_POISON_NO_APPLY : 0);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
