#include "platform.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

platform_options_t options = {
	.retention_records = 1000000,
	.appends_per_second = 400 /* the log service takes several hundred */
};

static const char usage[] = "standin-platform --listen IP:PORT [--vms FILE] [--retention RECORDS]\n"
			    "  [--appends-per-second N] [--weights-bytes-per-second N]\n"
			    "  [--weights-concurrent N] [--vm-list-lag-ms MS]\n";

static enum MHD_Result
handle (server_request_t *r)
{
	if (!strcmp (r->path, "/fault"))
		return faults_handle (r);
	bool is_log = !strncmp (r->path, "/topics/", 8);
	if (server_is_silent (r))
		return is_log ? log_hold_silent (r) : server_block_until_closed (r);
	if (is_log)
		return log_handle (r);
	if (!strncmp (r->path, "/vms", 4))
		return vms_handle (r);
	if (!strncmp (r->path, "/weights/", 9))
		return weights_handle (r);
	if (!strcmp (r->path, "/stats"))
		return server_reply (r, 200,
				     json_pack ("{s:o, s:o, s:o}", "log", log_stats (), "vm_list",
						vms_stats (), "weights", weights_stats ()));
	return server_reply_error (r, 404, "no such path");
}

static json_t *
read_vms_file (const char *vms_file)
{
	json_error_t error;
	if (!vms_file)
		return json_array ();
	json_t *list = json_load_file (vms_file, 0, &error);
	if (json_is_array (list))
		return list;
	if (list)
		fprintf (stderr, "standin-platform: %s: expected an array\n", vms_file);
	else
		fprintf (stderr, "standin-platform: %s:%d: %s\n", vms_file, error.line, error.text);
	exit (2);
}

static uint64_t
parse_u64 (const char *text)
{
	uint64_t v;
	if (cs_str_u64 (cs_str (text), &v))
		return v;
	fprintf (stderr, "standin-platform: \"%s\" is not an unsigned integer\n%s", text, usage);
	exit (2);
}

int
main (int argc, char **argv)
{
	static const struct option long_options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"vms", required_argument, NULL, 'v'},
		{"retention", required_argument, NULL, 'r'},
		{"appends-per-second", required_argument, NULL, 'a'},
		{"weights-bytes-per-second", required_argument, NULL, 'w'},
		{"weights-concurrent", required_argument, NULL, 'c'},
		{"vm-list-lag-ms", required_argument, NULL, 'g'},
		{NULL, 0, NULL, 0},
	};
	const char *listen = "";
	const char *vms_file = NULL;
	int c;
	while ((c = getopt_long (argc, argv, "", long_options, NULL)) != -1) {
		if (c == 'l')
			listen = optarg;
		else if (c == 'v')
			vms_file = optarg;
		else if (c == 'r')
			options.retention_records = parse_u64 (optarg);
		else if (c == 'a')
			options.appends_per_second = parse_u64 (optarg);
		else if (c == 'w')
			options.weights_bytes_per_second = parse_u64 (optarg);
		else if (c == 'c')
			options.weights_concurrent = parse_u64 (optarg);
		else if (c == 'g')
			options.vm_list_lag_ms = (int64_t)parse_u64 (optarg);
		else
			return fputs (usage, stderr), 2;
	}
	vms_init (read_vms_file (vms_file));
	return server_run (listen, handle);
}
