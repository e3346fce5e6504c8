#include "cs_options.h"

#include "cs_test.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

cs_options_t
cs_options_parse (int argc, char **argv, uint32_t default_runs)
{
	static const struct option long_options[] = {
		{"without", required_argument, NULL, 'w'}, {"seed", required_argument, NULL, 's'},
		{"runs", required_argument, NULL, 'r'},    {"seeds", required_argument, NULL, 'r'},
		{"only", required_argument, NULL, 'o'},    {NULL, 0, NULL, 0},
	};
	cs_options_t o = {"", 1, default_runs};
	int c;
	while ((c = getopt_long (argc, argv, "", long_options, NULL)) != -1) {
		if (c == 'w')
			o.without = optarg;
		else if (c == 's')
			o.seed = strtoull (optarg, NULL, 10);
		else if (c == 'r')
			o.runs = (uint32_t)strtoul (optarg, NULL, 10);
		else if (c == 'o')
			cmocka_set_test_filter (optarg);
		else
			exit (2);
	}
	return o;
}

bool
cs_options_is_disabled (const cs_options_t *o, const char *mechanism)
{
	return !strcmp (o->without, mechanism);
}
