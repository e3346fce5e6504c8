/* Measures how the cost of one zone grows with its number of groups: time to plan, to judge a
 * group's evidence and to restore a snapshot, and size of the state and of evidence deltas.
 * Also measures, in simulated time, how long after a member's failure any daemon still admits
 * requests to the member's group. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cs/planner.h"
#include "cs/rng.h"
#include "support_options.h"

enum {
	MEMBERS = 4,
	DOMAIN_VMS = 81,
	PLAN_ROUNDS = 40,
	FAILURES = 400,
	DAEMONS = 3,
	HEARTBEAT_MS = 1000,
	TICK_MS = 10
};

static double
now_us (void)
{
	struct timespec t;
	clock_gettime (CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

typedef struct {
	cs_groups_t groups;
	cs_evidence_t evidence;
	cs_planner_t planner;
	Cs__ModelGroup spec;
	cs_desired_t desired;
	cs_listed_vm_t *list;
	char (*names)[24];
	size_t n;
	uint64_t offset;
	int64_t now_ms;
} zone_t;

static void
report_state (zone_t *z, size_t i, cs_member_state_t state)
{
	const cs_vm_t *vm = cs_groups_find_vm (&z->groups, z->names[i]);
	bool held = vm && vm->group;
	bool loaded = vm && vm->use != CS_VM_RELEASING; /* spares have the weights loaded */
	cs_vm_report_t r = {.vm = z->names[i],
			    .state = loaded ? state : CS_MEMBER_IDLE,
			    .group = held ? vm->group->group : "",
			    .fence = loaded ? vm->fence : 0,
			    .model = loaded ? "pool" : "",
			    .at_ms = z->now_ms};
	cs_evidence_report (&z->evidence, &r);
}

static size_t
plan_and_apply (zone_t *z)
{
	cs_plan_t out;
	cs_plan_input_t in = {.now_ms = z->now_ms,
			      .read_sent_ms = z->now_ms,
			      .groups = &z->groups,
			      .evidence = &z->evidence,
			      .desired = &z->desired,
			      .n_desired = 1,
			      .vms = z->list,
			      .n_vms = z->n,
			      .listed_ms = z->now_ms,
			      .downtime_weight = 10,
			      .stranded_weight = 1};
	cs_plan_init (&out);
	cs_planner_plan (&z->planner, &in, &out);
	size_t n = out.n;
	for (size_t i = 0; i < out.n; i++)
		if (out.actions[i].kind == CS_ACTION_APPEND)
			cs_groups_apply (&z->groups, z->offset++, out.actions[i].record);
	cs_plan_finish (&out);
	return n;
}

/* Creates a zone and forms all its groups, without the usual bound on appends. */
static void
zone_init (zone_t *z, uint32_t groups)
{
	memset (z, 0, sizeof *z);
	z->now_ms = 1000000;
	z->offset = 1;
	z->n = ((size_t)groups * MEMBERS + DOMAIN_VMS) / (DOMAIN_VMS - 1) * DOMAIN_VMS;
	z->names = cs_alloc (z->n * sizeof *z->names);
	z->list = cs_alloc (z->n * sizeof *z->list);
	for (size_t i = 0; i < z->n; i++) {
		static char domains[256][24];
		char *domain = domains[i / DOMAIN_VMS];
		snprintf (domain, sizeof domains[0], "f%zu", i / DOMAIN_VMS);
		snprintf (z->names[i], sizeof z->names[i], "vm-%zu", i);
		z->list[i] =
			(cs_listed_vm_t){z->names[i], domain, "http://10.0.0.1:7000", 1, false};
	}
	cs__model_group__init (&z->spec);
	z->spec.model = "pool";
	z->spec.version = "1";
	z->spec.replicas = groups;
	z->spec.members = MEMBERS;
	z->spec.fences_orders = true;
	z->desired = (cs_desired_t){"pool", &z->spec};
	cs_groups_init (&z->groups);
	cs_evidence_init (&z->evidence, 1);
	cs_planner_init (&z->planner, "z", NULL);
	z->planner.options.appends_per_s = 100000;
	size_t idle = 0;
	while (idle < 8) {
		z->now_ms += 1000;
		for (size_t i = 0; i < z->n; i++)
			report_state (z, i, CS_MEMBER_READY);
		idle = plan_and_apply (z) ? 0 : idle + 1;
	}
}

static void
zone_finish (zone_t *z)
{
	cs_groups_finish (&z->groups);
	cs_evidence_finish (&z->evidence);
	cs_planner_finish (&z->planner);
	free (z->names);
	free (z->list);
}

typedef struct {
	double plan_us, plan_lost_us, judge_us, restore_us, heap_kb, snapshot_kb;
} cost_t;

/* Returns the mean time of one plan in microseconds. With `lost`, every hundredth VM is silent. */
static double
time_plans (zone_t *z, bool lost)
{
	double sum = 0;
	for (int k = 0; k < PLAN_ROUNDS; k++) {
		z->now_ms += 1000;
		for (size_t i = 0; i < z->n; i++)
			if (!lost || i % 100)
				report_state (z, i, CS_MEMBER_READY);
		double start_us = now_us ();
		plan_and_apply (z);
		sum += now_us () - start_us;
	}
	return sum / PLAN_ROUNDS;
}

static cost_t
measure (uint32_t groups)
{
	cost_t c;
	zone_t z;
	cs_buf_t state;
	size_t heap = mallinfo2 ().uordblks;
	zone_init (&z, groups);
	c.heap_kb = (double)(mallinfo2 ().uordblks - heap) / 1024;
	c.plan_us = time_plans (&z, false);
	double start_us = now_us ();
	size_t n = 0;
	for (const cs_group_t *g = cs_groups_next (&z.groups, NULL); g;
	     g = cs_groups_next (&z.groups, g), n++)
		cs_evidence_judge (&z.evidence, g, z.now_ms);
	c.judge_us = (now_us () - start_us) / (double)n;
	cs_buf_init (&state);
	cs_groups_snapshot (&z.groups, &state);
	c.snapshot_kb = (double)state.n / 1024;
	start_us = now_us ();
	cs_groups_restore (&z.groups, cs_buf_str (&state));
	c.restore_us = now_us () - start_us;
	cs_buf_finish (&state);
	c.plan_lost_us = time_plans (&z, true);
	zone_finish (&z);
	return c;
}

/* Returns the least-squares slope of y over x. */
static double
slope (const double *x, const double *y, size_t n)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0;
	for (size_t i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	return ((double)n * sxy - sx * sy) / ((double)n * sxx - sx * sx);
}

/* Sets the size in bytes of an evidence delta for the VMs that one daemon polls: without a
 * change, and with all reports new. */
static void
delta_bytes (size_t vms, size_t *steady_bytes, size_t *full_bytes)
{
	cs_evidence_t e;
	cs_buf_t b;
	cs_evidence_init (&e, 1);
	cs_buf_init (&b);
	for (int round = 0; round < 3; round++) {
		for (size_t i = 0; i < vms; i++) {
			char vm[40];
			snprintf (vm, sizeof vm, "vm-almaty-a-%zu", i);
			cs_vm_report_t r = {.vm = vm,
					    .state = CS_MEMBER_READY,
					    .group = "shared-pool/almaty-a/17",
					    .fence = 123456,
					    .model = "assistant-70b",
					    .at_ms = INT64_C (1000) * (round + 1)};
			cs_evidence_report (&e, &r);
		}
		cs_buf_clear (&b);
		cs_evidence_export (&e, INT64_C (1000) * (round + 1) + 500, &b);
		if (!round)
			*full_bytes = b.n;
	}
	*steady_bytes = b.n;
	cs_buf_finish (&b);
	cs_evidence_finish (&e);
}

/* Simulates three daemons with random phases of polls and heartbeats, and the failure of one
 * member. Returns the time in ms from the failure to the last moment at which a daemon judges
 * the group whole. */
static int64_t
last_admission_ms (cs_rng_t *rng, const cs_groups_t *groups, const cs_group_t *g)
{
	cs_evidence_t e[DAEMONS];
	int64_t poll_phase_ms[DAEMONS], heartbeat_phase_ms[DAEMONS], last_ms = 0;
	uint64_t ids[DAEMONS] = {1, 2, 3};
	int64_t failure_ms = 20000 + cs_rng_below (rng, 1000);
	size_t victim = cs_rng_below (rng, MEMBERS);
	(void)groups;
	for (size_t i = 0; i < DAEMONS; i++) {
		cs_evidence_init (&e[i], ids[i]);
		poll_phase_ms[i] =
			cs_rng_below (rng, CS_EVIDENCE_POLL_MS / TICK_MS) * (int64_t)TICK_MS;
		heartbeat_phase_ms[i] =
			cs_rng_below (rng, HEARTBEAT_MS / TICK_MS) * (int64_t)TICK_MS;
	}
	for (int64_t now_ms = 10000; now_ms < failure_ms + 10000; now_ms += TICK_MS)
		for (size_t i = 0; i < DAEMONS; i++) {
			for (size_t k = 0;
			     (now_ms - poll_phase_ms[i]) % CS_EVIDENCE_POLL_MS == 0 && k < MEMBERS;
			     k++) {
				const char *vm = g->members[k]->vm;
				cs_vm_report_t r = {.vm = vm,
						    .state = CS_MEMBER_READY,
						    .group = g->group,
						    .fence = g->fence,
						    .model = g->model,
						    .at_ms = now_ms};
				if (cs_evidence_is_gatherer (vm, ids[i], ids, DAEMONS) &&
				    (k != victim || now_ms < failure_ms))
					cs_evidence_report (&e[i], &r);
			}
			if ((now_ms - heartbeat_phase_ms[i]) % HEARTBEAT_MS == 0) {
				cs_buf_t b;
				cs_buf_init (&b);
				cs_evidence_export (&e[i], now_ms, &b);
				/* The echoed nonce may be up to one heartbeat interval old. */
				for (size_t k = 0; k < DAEMONS; k++)
					cs_evidence_import (
						&e[k], ids[i], cs_buf_str (&b),
						now_ms - cs_rng_below (rng, HEARTBEAT_MS));
				cs_buf_finish (&b);
			}
			if (now_ms >= failure_ms && cs_evidence_judge (&e[i], g, now_ms).whole)
				last_ms = now_ms - failure_ms;
		}
	for (size_t i = 0; i < DAEMONS; i++)
		cs_evidence_finish (&e[i]);
	return last_ms;
}

static void
measure_admission (uint64_t seed, FILE *tsv)
{
	cs_rng_t rng;
	zone_t z;
	int64_t longest_ms = 0;
	double sum = 0;
	cs_rng_init (&rng, seed);
	zone_init (&z, 2);
	const cs_group_t *g = cs_groups_next (&z.groups, NULL);
	for (int i = 0; i < FAILURES; i++) {
		int64_t last_ms = last_admission_ms (&rng, &z.groups, g);
		longest_ms = last_ms > longest_ms ? last_ms : longest_ms;
		sum += (double)last_ms;
	}
	printf ("death to last admission: mean %.0f ms, longest %lld ms of %d, bound %d ms\n",
		sum / FAILURES, (long long)longest_ms, FAILURES, CS_EVIDENCE_MAX_AGE_MS);
	if (tsv)
		fprintf (tsv, "last_admission_ms\t%llu\t%.0f\t%lld\t%d\n", (unsigned long long)seed,
			 sum / FAILURES, (long long)longest_ms, CS_EVIDENCE_MAX_AGE_MS);
	zone_finish (&z);
}

int
main (int argc, char **argv)
{
	static const uint32_t counts[] = {10, 50, 200, 500, 1000, 2200};
	enum {
		COUNTS = sizeof counts / sizeof *counts
	};
	double x[COUNTS], y[3][COUNTS];
	size_t steady_bytes = 0, full_bytes = 0;
	bench_options_t options;
	if (!bench_options_parse (&options, argc, argv))
		return 2;
	printf ("%7s %10s %16s %10s %11s %9s %12s\n", "groups", "plan us", "plan, lost us",
		"judge us", "restore us", "heap KB", "snapshot KB");
	for (size_t i = 0; i < COUNTS; i++) {
		cost_t m = measure (counts[i]);
		x[i] = counts[i];
		y[0][i] = m.plan_us;
		y[1][i] = m.heap_kb * 1024;
		y[2][i] = m.snapshot_kb * 1024;
		printf ("%7u %10.0f %16.0f %10.2f %11.0f %9.0f %12.1f\n", counts[i], m.plan_us,
			m.plan_lost_us, m.judge_us, m.restore_us, m.heap_kb, m.snapshot_kb);
		if (options.tsv)
			fprintf (options.tsv, "scale\t%u\t%.1f\t%.1f\t%.3f\t%.1f\t%.1f\t%.1f\n",
				 counts[i], m.plan_us, m.plan_lost_us, m.judge_us, m.restore_us,
				 m.heap_kb, m.snapshot_kb);
	}
	delta_bytes (54, &steady_bytes, &full_bytes);
	printf ("slope for each group of %d VMs: plan %.2f us, heap %.0f bytes, snapshot %.0f "
		"bytes\n",
		MEMBERS, slope (x, y[0], COUNTS), slope (x, y[1], COUNTS), slope (x, y[2], COUNTS));
	printf ("evidence delta of 54 VMs: %zu bytes without a change, %zu whole\n", steady_bytes,
		full_bytes);
	if (options.tsv)
		fprintf (options.tsv, "delta_bytes\t54\t%zu\t%zu\n", steady_bytes, full_bytes);
	measure_admission (options.seed, options.tsv);
	bench_options_finish (&options);
	return 0;
}
