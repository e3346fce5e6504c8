/* Prints the results of the path through the daemon next to those of the direct path. */
#include "load.h"

static double
ratio (int64_t a, int64_t b)
{
	return b ? (double)a / (double)b : 0.;
}

static void
print_quantiles (const char *name, samples_t *through, samples_t *straight, FILE *tsv)
{
	static const double quantiles[] = {.5, .95, .99};
	for (size_t i = 0; i < sizeof quantiles / sizeof *quantiles; i++) {
		int64_t a = samples_quantile (through, quantiles[i]);
		int64_t b = samples_quantile (straight, quantiles[i]);
		printf ("  %s p%.0f: through %.2f ms, straight %.2f ms, added %.2f ms, "
			"ratio %.3f\n",
			name, quantiles[i] * 100, (double)a / 1000., (double)b / 1000.,
			(double)(a - b) / 1000., ratio (a, b));
		if (tsv)
			fprintf (tsv, "\t%lld\t%lld\t%.3f", (long long)a, (long long)b,
				 ratio (a, b));
	}
}

void
print_level (size_t streams, path_stats_t *through, path_stats_t *straight, FILE *tsv)
{
	double per_core = through->cpu_s > 0 ? (double)through->tokens / through->cpu_s : 0;
	double per_stream = (double)through->memory_growth_kb / (double)streams;
	printf ("%zu streams, %llu tokens each way, failed: through %zu, straight %zu\n", streams,
		(unsigned long long)through->tokens, through->failed, straight->failed);
	if (tsv)
		fprintf (tsv, "%zu\t%llu\t%zu\t%zu", streams, (unsigned long long)through->tokens,
			 through->failed, straight->failed);
	print_quantiles ("first token", &through->first_token, &straight->first_token, tsv);
	print_quantiles ("between tokens", &through->token_gap, &straight->token_gap, tsv);
	printf ("  daemon: %.2f s of processor time, %.0f tokens a second per core, "
		"%.1f KB per open stream\n",
		through->cpu_s, per_core, per_stream);
	if (tsv)
		fprintf (tsv, "\t%.2f\t%.0f\t%.1f\n", through->cpu_s, per_core, per_stream);
	fflush (stdout);
}

void
print_heading (FILE *tsv)
{
	static const char *const kinds[] = {"first", "gap"};
	static const char *const quantiles[] = {"p50", "p95", "p99"};
	fputs ("streams\ttokens\tfailed_through\tfailed_straight", tsv);
	for (int i = 0; i < 2; i++)
		for (int j = 0; j < 3; j++)
			fprintf (tsv, "\t%s_%s_through_us\t%s_%s_straight_us\t%s_%s_ratio",
				 kinds[i], quantiles[j], kinds[i], quantiles[j], kinds[i],
				 quantiles[j]);
	fputs ("\tcpu_s\ttokens_per_core_s\tkb_per_stream\n", tsv);
}
