/* Load generator that measures the overhead of a daemon. It streams completions alternately
 * through the daemon ("through") and directly from the engine behind it ("straight"), and
 * prints the added time to the first token and between tokens, and the CPU time and memory
 * that the daemon used.
 *
 * The engine must be assigned to a group; the group's name and fencing number are read from
 * the engine's report. The TSV file gets one line for each number of concurrent streams. */
#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cs/http.h"
#include "load.h"

enum {
	MAX_LEVELS = 8,
	RAMP_UP_MS = 1000,      /* the streams of a round start evenly within this time */
	BATCH_INTERVAL_MS = 10, /* between two batches of stream starts */
	IDLE_MS = 30000,
	HEADER_BYTES = 256
};

typedef struct {
	const char *through;  /* base URL of the daemon */
	const char *straight; /* base URL of the engine */
	const char *token;
	const char *model;
	const char *tsv;
	long pid; /* of the daemon */
	size_t levels[MAX_LEVELS];
	size_t n_levels;
	int tokens;
	int rounds;
} options_t;

static options_t options = {.model = "", .tokens = 60, .rounds = 3};

/* One round: `streams` concurrent requests over one path, started in batches. */
typedef struct {
	struct ev_loop *loop;
	cs_http_t http;
	path_stats_t *stats;
	bool straight;
	size_t streams;
	size_t begun;
	size_t ended;
	ev_timer begin;
	ev_timer sample;
	long memory_before_kb; /* resident memory of the daemon before the round */
	char url[HEADER_BYTES];
	char lines[4][HEADER_BYTES];
	const char *headers[5];
	cs_buf_t body;
} round_t;

typedef struct {
	cs_http_call_t call;
	round_t *round;
	int64_t begun_us;
	int64_t last_us;
	int tokens;
	size_t matched; /* length of the prefix of "\nid: " that ends the bytes received so far */
} stream_t;

static double
cpu_seconds (void)
{
	char path[64], text[1024] = "";
	unsigned long user = 0, system = 0;
	snprintf (path, sizeof path, "/proc/%ld/stat", options.pid);
	FILE *f = fopen (path, "re");
	if (f && fread (text, 1, sizeof text - 1, f) && strrchr (text, ')'))
		sscanf (strrchr (text, ')') + 2,
			"%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
	if (f)
		fclose (f);
	return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static long
resident_kb (void)
{
	char path[64];
	long size = 0, resident = 0;
	snprintf (path, sizeof path, "/proc/%ld/statm", options.pid);
	FILE *f = fopen (path, "re");
	if (f && fscanf (f, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	if (f)
		fclose (f);
	return resident * (sysconf (_SC_PAGESIZE) / 1024);
}

static void
record_token (stream_t *s, int64_t now_us)
{
	path_stats_t *w = s->round->stats;
	if (s->tokens++)
		samples_add (&w->token_gap, now_us - s->last_us);
	else
		samples_add (&w->first_token, now_us - s->begun_us);
	s->last_us = now_us;
	w->tokens++;
}

/* Records a token for each line that begins with "id: ". */
static void
on_body (cs_http_call_t *call, cs_str_t bytes)
{
	static const char event_id[] = "\nid: ";
	stream_t *s = call->data;
	int64_t now_us = cs_now_us ();
	for (size_t i = 0; i < bytes.n; i++) {
		if (bytes.p[i] != event_id[s->matched])
			s->matched = 0;
		if (bytes.p[i] == event_id[s->matched])
			s->matched++;
		if (s->matched == sizeof event_id - 1) {
			record_token (s, now_us);
			s->matched = 0;
		}
	}
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	stream_t *s = call->data;
	round_t *r = s->round;
	if (end != CS_HTTP_DONE || status != 200 || s->tokens != options.tokens)
		r->stats->failed++;
	free (s);
	if (++r->ended == r->streams)
		ev_break (r->loop, EVBREAK_ONE);
}

static void
start_stream (round_t *r)
{
	stream_t *s = cs_alloc (sizeof *s);
	s->round = r;
	s->matched = 1;
	s->begun_us = cs_now_us ();
	s->call = (cs_http_call_t){.method = "POST",
				   .url = cs_str (r->url),
				   .body = cs_buf_str (&r->body),
				   .headers = r->headers,
				   .idle_timeout_ms = IDLE_MS,
				   .on_body = on_body,
				   .on_end = on_end,
				   .data = s};
	r->begun++;
	if (cs_http_start (&r->http, &s->call) != CS_OK)
		on_end (&s->call, CS_HTTP_NOT_SENT, 0);
}

static void
on_start_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	round_t *r = w->data;
	size_t batch = (r->streams * BATCH_INTERVAL_MS + RAMP_UP_MS - 1) / RAMP_UP_MS;
	(void)events;
	for (size_t i = 0; i < batch && r->begun < r->streams; i++)
		start_stream (r);
	if (r->begun == r->streams)
		ev_timer_stop (loop, w);
}

static void
on_memory_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	round_t *r = w->data;
	long grown = resident_kb () - r->memory_before_kb;
	(void)loop;
	(void)events;
	if (grown > r->stats->memory_growth_kb)
		r->stats->memory_growth_kb = grown;
}

static void
set_headers (round_t *r, const char *group, uint64_t fence)
{
	int n = 0;
	snprintf (r->lines[n++], HEADER_BYTES, "Content-Type: application/json");
	if (r->straight) {
		snprintf (r->lines[n++], HEADER_BYTES, "X-Cs-Group: %s", group);
		snprintf (r->lines[n++], HEADER_BYTES, "X-Cs-Fence: %llu",
			  (unsigned long long)fence);
		snprintf (r->lines[n++], HEADER_BYTES, "X-Cs-Request: 1");
	} else {
		snprintf (r->lines[n++], HEADER_BYTES, "Authorization: Bearer %s", options.token);
	}
	for (int i = 0; i < n; i++)
		r->headers[i] = r->lines[i];
	r->headers[n] = NULL;
}

static void
run_round (struct ev_loop *loop, path_stats_t *stats, bool straight, size_t streams,
	   const char *group, uint64_t fence)
{
	round_t r = {.loop = loop, .stats = stats, .straight = straight, .streams = streams};
	snprintf (r.url, sizeof r.url, "%s/v1/chat/completions",
		  straight ? options.straight : options.through);
	set_headers (&r, group, fence);
	cs_buf_printf (&r.body,
		       "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":"
		       "[{\"role\":\"user\",\"content\":\"summarise the gate log\"}]}",
		       options.model, options.tokens);
	r.memory_before_kb = resident_kb ();
	double cpu_s = cpu_seconds ();
	cs_http_init (&r.http, loop);
	ev_now_update (loop);
	ev_timer_init (&r.begin, on_start_timer, 0., BATCH_INTERVAL_MS / 1000.);
	r.begin.data = &r;
	ev_timer_start (loop, &r.begin);
	ev_timer_init (&r.sample, on_memory_timer, 0.1, 0.1);
	r.sample.data = &r;
	ev_timer_start (loop, &r.sample);
	ev_run (loop, 0);
	ev_timer_stop (loop, &r.begin);
	ev_timer_stop (loop, &r.sample);
	stats->cpu_s += cpu_seconds () - cpu_s;
	cs_http_finish (&r.http);
	cs_buf_finish (&r.body);
}

typedef struct {
	cs_buf_t body;
	struct ev_loop *loop;
} report_t;

static void
on_report_body (cs_http_call_t *call, cs_str_t bytes)
{
	report_t *r = call->data;
	cs_buf_add (&r->body, bytes);
}

static void
on_report_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	report_t *r = call->data;
	(void)end;
	(void)status;
	ev_break (r->loop, EVBREAK_ONE);
}

/* Reads the engine's assigned group and its fencing number from GET /v1/report. Returns false
 * if the report is missing or malformed, or if the engine has no group. */
static bool
read_assignment (struct ev_loop *loop, char group[HEADER_BYTES], uint64_t *fence)
{
	report_t r = {.loop = loop};
	cs_http_t http;
	char url[HEADER_BYTES];
	const char *name = "";
	json_int_t number = 0;
	snprintf (url, sizeof url, "%s/v1/report", options.straight);
	cs_http_call_t call = {.method = "GET",
			       .url = cs_str (url),
			       .on_body = on_report_body,
			       .on_end = on_report_end,
			       .data = &r};
	cs_http_init (&http, loop);
	if (cs_http_start (&http, &call) == CS_OK)
		ev_run (loop, 0);
	cs_http_finish (&http);
	json_t *root = json_loadb (r.body.n ? r.body.p : "", r.body.n, 0, NULL);
	bool ok = root && !json_unpack (root, "{s:s, s:I}", "group", &name, "fence", &number);
	snprintf (group, HEADER_BYTES, "%s", name);
	*fence = (uint64_t)number;
	json_decref (root);
	cs_buf_finish (&r.body);
	return ok && *group;
}

static int
measure (struct ev_loop *loop, const char *group, uint64_t fence)
{
	FILE *tsv = options.tsv ? fopen (options.tsv, "we") : NULL;
	size_t failed = 0;
	if (tsv)
		print_heading (tsv);
	for (size_t i = 0; i < options.n_levels; i++) {
		path_stats_t through = {0}, straight = {0};
		for (int j = 0; j < options.rounds; j++) {
			run_round (loop, &straight, true, options.levels[i], group, fence);
			run_round (loop, &through, false, options.levels[i], group, fence);
		}
		print_level (options.levels[i], &through, &straight, tsv);
		failed += through.failed + straight.failed;
		samples_finish (&through.first_token);
		samples_finish (&through.token_gap);
		samples_finish (&straight.first_token);
		samples_finish (&straight.token_gap);
	}
	if (tsv)
		fclose (tsv);
	return failed ? 1 : 0;
}

static void
read_levels (const char *text)
{
	cs_str_t rest = cs_str (text);
	uint64_t n;
	while (rest.n && options.n_levels < MAX_LEVELS)
		if (cs_str_u64 (cs_str_split (&rest, ','), &n) && n)
			options.levels[options.n_levels++] = n;
}

static bool
read_options (int argc, char **argv)
{
	static const struct option longs[] = {
		{"through", required_argument, NULL, 't'},
		{"straight", required_argument, NULL, 's'},
		{"token", required_argument, NULL, 'k'},
		{"model", required_argument, NULL, 'm'},
		{"pid", required_argument, NULL, 'p'},
		{"streams", required_argument, NULL, 'l'},
		{"tokens", required_argument, NULL, 'n'},
		{"rounds", required_argument, NULL, 'r'},
		{"tsv", required_argument, NULL, 'o'},
		{NULL, 0, NULL, 0},
	};
	const char **texts[128] = {['t'] = &options.through,
				   ['s'] = &options.straight,
				   ['k'] = &options.token,
				   ['m'] = &options.model,
				   ['o'] = &options.tsv};
	int c;
	while ((c = getopt_long (argc, argv, "", longs, NULL)) != -1) {
		if (c == '?')
			return false;
		if (texts[c])
			*texts[c] = optarg;
		else if (c == 'p')
			options.pid = strtol (optarg, NULL, 10);
		else if (c == 'n')
			options.tokens = (int)strtol (optarg, NULL, 10);
		else if (c == 'r')
			options.rounds = (int)strtol (optarg, NULL, 10);
		else
			read_levels (optarg);
	}
	return options.through && options.straight && options.token && options.pid &&
	       options.n_levels;
}

int
main (int argc, char **argv)
{
	char group[HEADER_BYTES];
	uint64_t fence;
	if (!read_options (argc, argv)) {
		fputs ("usage: bench-load --through URL --straight URL --token TOKEN --pid PID "
		       "--model MODEL --streams N,... [--tokens N] [--rounds N] [--tsv FILE]\n",
		       stderr);
		return 2;
	}
	struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
	if (!read_assignment (loop, group, &fence)) {
		fputs ("bench-load: the engine reports no group; expected one in GET /v1/report\n",
		       stderr);
		ev_loop_destroy (loop);
		return 1;
	}
	int result = measure (loop, group, fence);
	ev_loop_destroy (loop);
	return result;
}
