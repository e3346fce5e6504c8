#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"

backend_options_t options = {.name = "",
			     .honours_fencing = true,
			     .weights_url = "",
			     .load_ms = 200,
			     .tokens_per_s = 100,
			     .prefill_ms_per_1k = 50,
			     .batch_size = 8,
			     .cache_prefixes = 64};

static const char usage[] =
	"standin-backend --listen IP:PORT [--mode engine] --vm NAME [--fencing honour|ignore]\n"
	"  [--weights-url URL] [--load-ms MS] [--tokens-per-second N] [--prefill-ms-per-1k MS]\n"
	"  [--batch N] [--cache-prefixes N] [--cache-lag-ms MS] [--cache-loss PERCENT]\n"
	"standin-backend --listen IP:PORT --mode service --name NAME [--work-ms MS]\n";

static bool is_service;

static enum MHD_Result
handle (server_request_t *r)
{
	if (!strcmp (r->path, "/fault"))
		return fault_handle (r);
	if (!strcmp (r->path, "/ran"))
		return server_reply (r, 200,
				     json_pack ("{s:o, s:o}", "requests", request_log_json (),
						"endless", endless_json ()));
	if (fault_silences_request (r))
		return server_block_until_closed (r);
	if (fault_mode () == FAULT_REFUSE)
		return server_reply_error (r, 503, "refused: the fault mode is \"refuse\"");
	if (endless_applies (r))
		return endless_handle (r);
	return is_service ? service_handle (r) : engine_handle (r);
}

static uint64_t
parse_u64 (const char *text)
{
	uint64_t v;
	if (cs_str_u64 (cs_str (text), &v))
		return v;
	fprintf (stderr, "standin-backend: \"%s\" is not an unsigned integer\n%s", text, usage);
	exit (2);
}

static bool
set_option (int c, const char *arg)
{
	switch (c) {
	case 'n':
		options.name = arg;
		return true;
	case 'm':
		is_service = !strcmp (arg, "service");
		return is_service || !strcmp (arg, "engine");
	case 'f':
		options.honours_fencing = !strcmp (arg, "honour");
		return options.honours_fencing || !strcmp (arg, "ignore");
	case 'w':
		options.weights_url = arg;
		return true;
	case 'd':
		options.load_ms = parse_u64 (arg);
		return true;
	case 't':
		options.tokens_per_s = parse_u64 (arg);
		return options.tokens_per_s > 0;
	case 'p':
		options.prefill_ms_per_1k = parse_u64 (arg);
		return true;
	case 'b':
		options.batch_size = parse_u64 (arg);
		return options.batch_size > 0;
	case 'c':
		options.cache_prefixes = parse_u64 (arg);
		return options.cache_prefixes <= CACHE_MAX_PREFIXES;
	case 'g':
		options.cache_lag_ms = parse_u64 (arg);
		return true;
	case 'x':
		options.cache_loss_percent = parse_u64 (arg);
		return options.cache_loss_percent <= 100;
	case 'k':
		options.work_ms = parse_u64 (arg);
		return true;
	default:
		return false;
	}
}

int
main (int argc, char **argv)
{
	static const struct option long_options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"mode", required_argument, NULL, 'm'},
		{"vm", required_argument, NULL, 'n'},
		{"name", required_argument, NULL, 'n'},
		{"fencing", required_argument, NULL, 'f'},
		{"weights-url", required_argument, NULL, 'w'},
		{"load-ms", required_argument, NULL, 'd'},
		{"tokens-per-second", required_argument, NULL, 't'},
		{"prefill-ms-per-1k", required_argument, NULL, 'p'},
		{"batch", required_argument, NULL, 'b'},
		{"cache-prefixes", required_argument, NULL, 'c'},
		{"cache-lag-ms", required_argument, NULL, 'g'},
		{"cache-loss", required_argument, NULL, 'x'},
		{"work-ms", required_argument, NULL, 'k'},
		{NULL, 0, NULL, 0},
	};
	const char *listen = "";
	int c;
	while ((c = getopt_long (argc, argv, "", long_options, NULL)) != -1) {
		if (c == 'l')
			listen = optarg;
		else if (!set_option (c, optarg))
			return fputs (usage, stderr), 2;
	}
	return server_run (listen, handle);
}
