/* Replays seeded sequences of failures through the planner and through three baseline policies,
 * and prints group downtime, idle ("stranded") accelerators and their cost with the weights of
 * each operator. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support_groups.h"
#include "support_options.h"

enum {
	N_OPERATORS = 2
};

static const char *const policy_names[] = {"planner", "any-domain", "wait", "release"};

static const size_spec_t sizes[] = {
	{"today", 3, 6, 13, 17},
	{"target", 11, 10, 81, 200},
};

static const scenario_t scenarios[] = {
	{"single-deaths", 1000, 1000, 0, 0, 0, 0, false, 240000, INT64_C (4) * HOUR_MS},
	{"scarce-spares", 2000, 0, 0, 0, 0, 0, false, 2400000, INT64_C (4) * HOUR_MS},
	{"dark-domain", 0, 0, 0, 0, 0, 8, false, 240000, INT64_C (4) * HOUR_MS},
	{"leaving-waves", 0, 0, 0, 0, 8, 0, false, 240000, INT64_C (4) * HOUR_MS},
	{"returns", 0, 400, 1600, 0, 0, 0, false, 240000, INT64_C (4) * HOUR_MS},
	{"slow-store", 1000, 1000, 0, 0, 0, 0, true, 240000, INT64_C (4) * HOUR_MS},
	/* Of 8910 VMs, 22 fail and 580 are replaced per day; one rack fails every two months. */
	{"ordinary-day", 1.2, 0.7, 0.6, 65, 0, 0.002, false, 240000, DAY_MS / 16},
};

/* Weights: cost of one second of a group's downtime, cost of one second of an idle accelerator.
 * A second in which a group spans fabric domains counts as half a second of downtime. */
static const struct {
	const char *name;
	double weights[2];
} operators[N_OPERATORS] = {{"consortium", {20, 1}}, {"sabarmati", {2, 3}}};
static const double cross_domain_weight = 0.5;

static void
print_result (const size_spec_t *size, const scenario_t *s, size_t o, policy_t p, uint64_t seed,
	      const result_t *r, FILE *tsv)
{
	const double *k = operators[o].weights;
	double cost = k[0] * (r->downtime_s + cross_domain_weight * r->cross_domain_s) +
		      k[1] * r->stranded_s;
	printf ("%-7s %-14s %-11s %-11s %11.0f %11.0f %13.0f %12.0f\n", size->name, s->name,
		operators[o].name, policy_names[p], r->downtime_s, r->cross_domain_s, r->stranded_s,
		cost);
	fflush (stdout);
	if (tsv)
		fprintf (tsv, "%s\t%s\t%s\t%s\t%llu\t%.0f\t%.0f\t%.0f\t%.0f\t%zu\n", size->name,
			 s->name, operators[o].name, policy_names[p], (unsigned long long)seed,
			 r->downtime_s, r->cross_domain_s, r->stranded_s, cost, r->steps);
}

/* Compares the policies for each operator. The baselines ignore the weights, so one run of each
 * is used for all operators. */
static void
compare_policies (const size_spec_t *size, const scenario_t *s, uint64_t seed, FILE *tsv)
{
	result_t baselines[POLICIES];
	for (policy_t p = ANY_DOMAIN; p < POLICIES; p++)
		baselines[p] = replay (size, s, p, operators[0].weights, seed);
	for (size_t o = 0; o < N_OPERATORS; o++) {
		result_t r = replay (size, s, PLANNER, operators[o].weights, seed);
		print_result (size, s, o, PLANNER, seed, &r, tsv);
		for (policy_t p = ANY_DOMAIN; p < POLICIES; p++)
			print_result (size, s, o, p, seed, &baselines[p], tsv);
	}
}

int
main (int argc, char **argv)
{
	bench_options_t options;
	if (!bench_options_parse (&options, argc, argv))
		return 2;
	if (options.tsv)
		fputs ("size\tscenario\toperator\tpolicy\tseed\tdowntime_group_s\tslow_group_s\t"
		       "stranded_accelerator_s\tcost\tsteps\n",
		       options.tsv);
	printf ("%-7s %-14s %-11s %-11s %11s %11s %13s %12s\n", "size", "scenario", "operator",
		"policy", "downtime s", "slow s", "stranded s", "cost");
	for (size_t z = 0; z < sizeof sizes / sizeof *sizes; z++)
		for (size_t i = 0; i < sizeof scenarios / sizeof *scenarios; i++) {
			/* The ordinary day runs only at the target size, the other scenarios only
			 * at today's. */
			bool large = sizes[z].zones > 3;
			if (large != !strcmp (scenarios[i].name, "ordinary-day"))
				continue;
			if (!*options.only || strstr (scenarios[i].name, options.only))
				compare_policies (&sizes[z], &scenarios[i], options.seed,
						  options.tsv);
		}
	bench_options_finish (&options);
	return 0;
}
