/* Metrics of requests and attempts, and the log event for the end of a request. */
#include <inttypes.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

typedef enum {
	ANSWERED,
	BACKEND_FAILED, /* the back end answered with a 5xx status */
	REFUSED,
	NO_ANSWER,
	TRUNCATED,
	CALLER_LEFT
} outcome_t;

static const char requests_help[] = "Ended requests by outcome.";

static cs_counter_t requests[] = {
	[ANSWERED] = {.name = "cs_forward_requests_total{outcome=\"answered\"}",
		      .help = requests_help},
	[BACKEND_FAILED] = {.name = "cs_forward_requests_total{outcome=\"back-end-failed\"}",
			    .help = requests_help},
	[REFUSED] = {.name = "cs_forward_requests_total{outcome=\"refused\"}",
		     .help = requests_help},
	[NO_ANSWER] = {.name = "cs_forward_requests_total{outcome=\"no-answer\"}",
		       .help = requests_help},
	[TRUNCATED] = {.name = "cs_forward_requests_total{outcome=\"cut\"}", .help = requests_help},
	[CALLER_LEFT] = {.name = "cs_forward_requests_total{outcome=\"caller-left\"}",
			 .help = requests_help},
};

static const char attempts_help[] = "Ended attempts at back ends.";

static cs_counter_t attempts[] = {
	{.name = "cs_forward_attempts_total{end=\"answered\"}", .help = attempts_help},
	{.name = "cs_forward_attempts_total{end=\"not-sent\"}", .help = attempts_help},
	{.name = "cs_forward_attempts_total{end=\"broken\"}", .help = attempts_help},
	{.name = "cs_forward_attempts_total{end=\"silent\"}", .help = attempts_help},
	{.name = "cs_forward_attempts_total{end=\"timeout\"}", .help = attempts_help},
};

static const char duration_help[] = "Requests by time to their end, cumulative.";

static struct {
	int64_t bound_ms;
	cs_counter_t counter;
} duration[] = {
	{50, {.name = "cs_forward_duration_total{le_ms=\"50\"}", .help = duration_help}},
	{150, {.name = "cs_forward_duration_total{le_ms=\"150\"}", .help = duration_help}},
	{500, {.name = "cs_forward_duration_total{le_ms=\"500\"}", .help = duration_help}},
	{1500, {.name = "cs_forward_duration_total{le_ms=\"1500\"}", .help = duration_help}},
	{5000, {.name = "cs_forward_duration_total{le_ms=\"5000\"}", .help = duration_help}},
	{INT64_MAX, {.name = "cs_forward_duration_total{le_ms=\"+Inf\"}", .help = duration_help}},
};

enum {
	PROMPT_BANDS = 3
};

#define FIRST_EVENTS(prompt)                                                              \
	{                                                                                 \
		{.name = "cs_forward_placed_total{prompt=\"" prompt "\",first=\"late\"}", \
		 .help = placed_help},                                                    \
			{.name = "cs_forward_placed_total{prompt=\"" prompt               \
				 "\",first=\"in-time\"}",                                 \
			 .help = placed_help},                                            \
	}
static const char placed_help[] = "Ended requests that were placed by the first event, by tokens "
				  "of the prompt and by whether "
				  "the route's objective was met.";
static cs_counter_t placed[PROMPT_BANDS][2] = {FIRST_EVENTS ("512"), FIRST_EVENTS ("2048"),
					       FIRST_EVENTS ("more")};

/* The objective is that for a stream's first event, or else for the whole answer. */
static void
count_placed (const cs_call_t *c, int64_t ms)
{
	uint32_t tokens = c->size.prompt_tokens;
	size_t band = tokens <= 512 ? 0 : tokens <= 2048 ? 1 : 2;
	int64_t done_ms = c->route && c->route->kind == CS_KIND_STREAM ? c->first_ms : ms;
	bool in_time = c->first_ms >= 0 && done_ms <= c->route->target_ms;
	if (c->predicted_ms >= 0)
		cs_counter_add (&placed[band][in_time], 1);
}

static outcome_t
outcome_of (const cs_call_t *c)
{
	if (c->own_reason)
		return c->status == 502 || c->status == 504 ? NO_ANSWER : REFUSED;
	if (c->ended && !c->complete)
		return TRUNCATED;
	if (!c->ended)
		return CALLER_LEFT;
	return c->status >= 500 ? BACKEND_FAILED : ANSWERED;
}

/* How the end of the response was marked to the caller. */
static const char *
framing_of (const cs_call_t *c)
{
	if (!c->has_head)
		return "none";
	if (!c->ended)
		return "open";
	return c->complete ? "complete" : "cut";
}

void
cs_counts_request_ended (const cs_call_t *c)
{
	static const char *const outcome_names[] = {
		"answered", "back-end-failed", "refused", "no-answer", "cut", "caller-left"};
	int64_t ms = cs_now_ms () - c->received_ms;
	outcome_t outcome = outcome_of (c);
	cs_counter_add (&requests[outcome], 1);
	for (size_t i = 0; i < sizeof duration / sizeof *duration; i++)
		cs_counter_add (&duration[i].counter, ms <= duration[i].bound_ms);
	count_placed (c, ms);
	cs_log_event ("forward", "request_ended",
		      "id=%.*s outcome=%s status=%d reason=%s route=%s service=%s tries=%u runs=%u "
		      "events=%u framed=%s ms=%lld predicted_ms=%lld first_ms=%lld "
		      "prompt=%u back_end=%s retry_after_ms=%u content=%016" PRIx64,
		      CS_STR_ARG (cs_call_id (c)), outcome_names[outcome], c->status,
		      c->own_reason ? c->own_reason : "-", c->route ? c->route->name : "-",
		      c->service ? c->service : "-", c->tries, c->runs,
		      c->has_events ? c->events.tokens : 0, framing_of (c), (long long)ms,
		      (long long)c->predicted_ms, (long long)c->first_ms, c->size.prompt_tokens,
		      c->tries ? c->tried[c->tries - 1] : "-", c->retry_after_ms, c->content);
}

void
cs_counts_attempt_ended (const cs_attempt_t *result)
{
	cs_counter_add (&attempts[result->end], 1);
}
