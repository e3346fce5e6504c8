#include <string.h>

#include "platform.h"

/* Index of name in names, -1 if absent. */
static int
find_name (const char *name, const char *const *names, int n)
{
	for (int i = 0; i < n; i++)
		if (!strcmp (name, names[i]))
			return i;
	return -1;
}

static bool
set_log_fault (const char *name, int64_t delay_ms)
{
	static const char *const names[] = {"ok",           "down",      "slow",
					    "lose-answers", "lose-next", "over-rate"};
	int i = find_name (name, names, sizeof names / sizeof *names);
	if (i >= 0)
		log_set_fault ((log_fault_t)i, delay_ms);
	return i >= 0;
}

static bool
set_vms_fault (const char *name)
{
	static const char *const names[] = {"ok", "down", "frozen"};
	int i = find_name (name, names, 3);
	if (i >= 0)
		vms_set_fault ((vms_fault_t)i);
	return i >= 0;
}

static bool
set_weights_fault (const char *name)
{
	static const char *const names[] = {"ok", "down"};
	int i = find_name (name, names, 2);
	if (i >= 0)
		weights_set_down (i == 1);
	return i >= 0;
}

enum MHD_Result
faults_handle (server_request_t *r)
{
	const char *log = NULL;
	const char *vms = NULL;
	const char *weights = NULL;
	json_int_t delay_ms = 1000;
	int silence = 0;
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	bool ok =
		!strcmp (r->method, "POST") && body &&
		!json_unpack (body, "{s?s, s?s, s?s, s?I, s?b !}", "log", &log, "vm_list", &vms,
			      "weights", &weights, "delay_ms", &delay_ms, "silence_open", &silence);
	ok = ok && (!log || set_log_fault (log, delay_ms));
	ok = ok && (!vms || set_vms_fault (vms));
	ok = ok && (!weights || set_weights_fault (weights));
	if (ok && silence)
		server_silence_open_connections ();
	json_decref (body);
	if (!ok)
		return server_reply_error (
			r, 400,
			"malformed fault: expected a POST of JSON with known modes and fields");
	return server_reply (r, 200, json_object ());
}
