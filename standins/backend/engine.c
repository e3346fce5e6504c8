/* State of an engine member: assignment, batch and report. */
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "backend.h"

enum {
	POLL_MS = 10,         /* interval at which a queued request checks for a free batch slot */
	STORE_RETRY_MS = 200, /* delay after a failed download from the weight store */
	URGENCIES = 8,
	DEFAULT_URGENCY = 3
};

typedef enum {
	IDLE,
	LOADING,
	READY
} state_t;

/* A load in progress; its result is discarded if a later order superseded it. */
typedef struct {
	uint64_t order;
	assignment_t assignment;
	uint64_t weight_bytes;
} load_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static state_t state;
static assignment_t member_assignment;
static uint64_t highest_fence;
static uint64_t weight_orders; /* accepted orders that changed or released the weights */
static uint64_t running;
static uint64_t queued;
static uint64_t queued_by_urgency[URGENCIES]; /* queued requests by urgency */
static json_t *frozen; /* report to return under FAULT_STALE_REPORT, else NULL */

static json_t *
report_locked (void)
{
	static const char *const state_names[] = {"idle", "loading", "ready"};
	return json_pack ("{s:s, s:s, s:s, s:I, s:s, s:s, s:i, s:I, s:I, s:[]}", "vm", options.name,
			  "state", state_names[state], "group", member_assignment.group, "fence",
			  (json_int_t)member_assignment.fence, "model", member_assignment.model,
			  "version", member_assignment.version, "rank", (int)member_assignment.rank,
			  "running", (json_int_t)running, "queued", (json_int_t)queued, "adapters");
}

void
engine_freeze_report (bool freeze)
{
	pthread_mutex_lock (&lock);
	json_decref (frozen);
	frozen = freeze ? report_locked () : NULL;
	pthread_mutex_unlock (&lock);
}

static enum MHD_Result
handle_report (server_request_t *r)
{
	pthread_mutex_lock (&lock);
	json_t *j = frozen ? json_deep_copy (frozen) : report_locked ();
	bool is_frozen = frozen != NULL;
	pthread_mutex_unlock (&lock);
	json_t *events = NULL;
	if (!is_frozen && *server_query (r, "cache_after"))
		events = cache_events (server_query_u64 (r, "cache_epoch", 0),
				       server_query_u64 (r, "cache_after", 0));
	if (events)
		json_object_set_new (j, "cache", events);
	return server_reply_etag (r, j);
}

bool
engine_has_assignment (const char *group, uint64_t fence)
{
	pthread_mutex_lock (&lock);
	bool holds = state == READY && member_assignment.fence == fence &&
		     !strcmp (member_assignment.group, group);
	pthread_mutex_unlock (&lock);
	return holds;
}

bool
engine_get_assignment (assignment_t *out)
{
	pthread_mutex_lock (&lock);
	bool ready = state == READY;
	*out = member_assignment;
	pthread_mutex_unlock (&lock);
	return ready;
}

/* Urgency parameter of the Priority header (RFC 9218, default 3); 0 is the most urgent. */
static unsigned
urgency_of (server_request_t *r)
{
	const char *at = strstr (server_header (r, "Priority"), "u=");
	unsigned u = at ? (unsigned)(at[2] - '0') : DEFAULT_URGENCY;
	return u < URGENCIES ? u : DEFAULT_URGENCY;
}

static bool
is_most_urgent (unsigned urgency)
{
	for (unsigned u = 0; u < urgency; u++)
		if (queued_by_urgency[u])
			return false;
	return true;
}

bool
engine_acquire_slot (server_request_t *r)
{
	bool acquired = false;
	unsigned urgency = urgency_of (r);
	pthread_mutex_lock (&lock);
	queued++;
	queued_by_urgency[urgency]++;
	while (!acquired) {
		acquired = running < options.batch_size && is_most_urgent (urgency);
		if (acquired)
			break;
		pthread_mutex_unlock (&lock);
		bool connected = server_sleep (r, POLL_MS);
		pthread_mutex_lock (&lock);
		if (!connected)
			break;
	}
	queued--;
	queued_by_urgency[urgency]--;
	running += acquired;
	pthread_mutex_unlock (&lock);
	return acquired;
}

void
engine_release_slot (void)
{
	pthread_mutex_lock (&lock);
	running--;
	pthread_mutex_unlock (&lock);
}

static size_t
discard (char *bytes, size_t size, size_t n, void *data)
{
	(void)bytes;
	(void)data;
	return size * n;
}

static bool
is_latest_order (uint64_t order)
{
	pthread_mutex_lock (&lock);
	bool latest = weight_orders == order;
	pthread_mutex_unlock (&lock);
	return latest;
}

/* Downloads the weights once and discards them; true if the download completed. */
static bool
download (const load_t *l)
{
	char url[512];
	long status = 0;
	CURL *curl = curl_easy_init ();
	snprintf (url, sizeof url, "%s/%s/%s?bytes=%llu", options.weights_url, l->assignment.model,
		  l->assignment.version, (unsigned long long)l->weight_bytes);
	curl_easy_setopt (curl, CURLOPT_URL, url);
	curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
	bool ok = curl_easy_perform (curl) == CURLE_OK;
	curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup (curl);
	return ok && status == 200;
}

static void *
run_load (void *data)
{
	load_t *l = data;
	if (*options.weights_url && l->weight_bytes)
		while (is_latest_order (l->order) && !download (l))
			usleep (STORE_RETRY_MS * 1000);
	else
		usleep ((useconds_t)fault_scale_ms ((int64_t)options.load_ms) * 1000);
	pthread_mutex_lock (&lock);
	if (weight_orders == l->order)
		state = READY;
	pthread_mutex_unlock (&lock);
	free (l);
	return NULL;
}

static void
start_load (load_t *l)
{
	pthread_t thread;
	state = LOADING;
	cache_reset ();
	member_assignment = l->assignment;
	if (pthread_create (&thread, NULL, run_load, l))
		abort ();
	pthread_detach (thread);
}

static void
copy_text (char *out, size_t size, const char *text)
{
	snprintf (out, size, "%s", text);
}

/* Applies an order and takes ownership of l, which is NULL for a release. Sets *held_fence to
 * the highest fencing number seen before. Returns the HTTP status: 202, or 409 for an outdated
 * fencing number unless fencing is ignored. */
static unsigned
apply_order (load_t *l, uint64_t fence, uint64_t *held_fence)
{
	pthread_mutex_lock (&lock);
	bool outdated = options.honours_fencing && fence < highest_fence;
	bool same_weights = l && state != IDLE &&
			    !strcmp (member_assignment.model, l->assignment.model) &&
			    !strcmp (member_assignment.version, l->assignment.version);
	bool repeat = same_weights && member_assignment.fence == fence &&
		      !strcmp (member_assignment.group, l->assignment.group);
	*held_fence = highest_fence;
	if (!outdated && fence > highest_fence)
		highest_fence = fence;
	/* A load in progress continues if the new assignment needs the same weights. */
	if (!outdated && !same_weights)
		weight_orders++;
	if (!outdated && !l) {
		state = IDLE;
		memset (&member_assignment, 0, sizeof member_assignment);
	}
	if (l && !outdated && same_weights && !repeat)
		member_assignment = l->assignment;
	if (l && !outdated && !same_weights) {
		l->order = weight_orders;
		start_load (l);
		l = NULL;
	}
	pthread_mutex_unlock (&lock);
	free (l);
	return outdated ? 409 : 202;
}

enum MHD_Result
engine_handle_order (server_request_t *r)
{
	const char *order = "";
	const char *group = "";
	const char *model = "";
	const char *version = "";
	json_int_t fence = 0;
	json_int_t deadline_ms = 0;
	json_int_t weight_bytes = 0;
	int rank = 0;
	uint64_t held_fence;
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	bool ok = !json_unpack (body, "{s:s, s:s, s:I, s?s, s?s, s?i, s?I, s?I}", "order", &order,
				"group", &group, "fence", &fence, "model", &model, "version",
				&version, "rank", &rank, "deadline_ms", &deadline_ms,
				"weight_bytes", &weight_bytes);
	bool release = !strcmp (order, "release");
	if (!ok || (!release && strcmp (order, "load") != 0)) {
		json_decref (body);
		return server_reply_error (
			r, 400,
			"malformed order: expected JSON with order (load or release) and fence");
	}
	if (deadline_ms && server_now_ms () - r->arrived_ms > deadline_ms) {
		json_decref (body);
		return server_reply_error (r, 410, "the order arrived more than deadline_ms ago");
	}
	load_t *l = release ? NULL : cs_alloc (sizeof *l);
	if (l) {
		copy_text (l->assignment.group, sizeof l->assignment.group, group);
		copy_text (l->assignment.model, sizeof l->assignment.model, model);
		copy_text (l->assignment.version, sizeof l->assignment.version, version);
		l->assignment.fence = (uint64_t)fence;
		l->assignment.rank = (uint32_t)rank;
		l->weight_bytes = (uint64_t)weight_bytes;
	}
	json_decref (body);
	unsigned status = apply_order (l, (uint64_t)fence, &held_fence);
	if (status == 202)
		return server_reply (r, status, json_object ());
	return server_reply (r, status, json_pack ("{s:I}", "fence", (json_int_t)held_fence));
}

enum MHD_Result
engine_handle (server_request_t *r)
{
	if (!strcmp (r->path, "/v1/report"))
		return handle_report (r);
	if (!strcmp (r->path, "/v1/orders") && !strcmp (r->method, "POST"))
		return engine_handle_order (r);
	if (!strcmp (r->path, "/v1/chat/completions") && !strcmp (r->method, "POST"))
		return engine_handle_completion (r);
	return server_reply_error (r, 404, "no such path");
}
