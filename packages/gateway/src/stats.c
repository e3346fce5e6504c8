#include "cs/counters.h"
#include "exchange.h"

typedef enum {
	ANSWERED, /* a complete answer was delivered */
	CUT,      /* the answer ended, but incomplete or not delivered in full */
	GONE,     /* the connection ended first: caller disconnected, time-out or task stop */
	NOT_RUN,  /* these three: answered by a problem document with this reported outcome */
	RAN,
	UNKNOWN
} request_end_t; /* value of the label "outcome" */

static const char requests_help[] = "Ended requests by outcome.";

static cs_counter_t requests[] = {
	[ANSWERED] = {.name = "cs_gateway_requests_total{outcome=\"answered\"}",
		      .help = requests_help},
	[CUT] = {.name = "cs_gateway_requests_total{outcome=\"cut\"}", .help = requests_help},
	[GONE] = {.name = "cs_gateway_requests_total{outcome=\"gone\"}", .help = requests_help},
	[NOT_RUN] = {.name = "cs_gateway_requests_total{outcome=\"not-run\"}",
		     .help = requests_help},
	[RAN] = {.name = "cs_gateway_requests_total{outcome=\"ran\"}", .help = requests_help},
	[UNKNOWN] = {.name = "cs_gateway_requests_total{outcome=\"unknown\"}",
		     .help = requests_help},
};

static cs_counter_t bytes = {.name = "cs_gateway_answer_bytes_total",
			     .help = "Bytes of answers passed on."};
static cs_counter_t streams = {
	.name = "cs_gateway_streams_open", .help = "Answers being passed on.", .kind = CS_GAUGE};

static const char first_byte_help[] = "Answers by their time to the first byte, cumulative.";

static struct {
	int64_t bound_ms;
	cs_counter_t counter;
} first_byte[] = {
	{10, {.name = "cs_gateway_first_byte_total{le_ms=\"10\"}", .help = first_byte_help}},
	{100, {.name = "cs_gateway_first_byte_total{le_ms=\"100\"}", .help = first_byte_help}},
	{1100, {.name = "cs_gateway_first_byte_total{le_ms=\"1100\"}", .help = first_byte_help}},
	{10000, {.name = "cs_gateway_first_byte_total{le_ms=\"10000\"}", .help = first_byte_help}},
	{INT64_MAX,
	 {.name = "cs_gateway_first_byte_total{le_ms=\"+Inf\"}", .help = first_byte_help}},
};

static request_end_t
classify_end (const cs_exchange_t *x, bool delivered)
{
	static const request_end_t refused[] = {
		[CS_NOT_RUN] = NOT_RUN,
		[CS_RAN] = RAN,
		[CS_MAY_HAVE_RUN] = UNKNOWN,
	};
	if (x->problem.status)
		return refused[x->problem.outcome];
	if (x->aborted || (!delivered && !x->ended))
		return GONE;
	return delivered && x->complete ? ANSWERED : CUT;
}

void
cs_stats_request_ended (const cs_exchange_t *x, bool delivered)
{
	cs_counter_add (&requests[classify_end (x, delivered)], 1);
}

void
cs_stats_first_byte (const cs_exchange_t *x)
{
	int64_t ms = (x->first_byte_us - x->received_us) / 1000;
	for (size_t i = 0; i < sizeof first_byte / sizeof *first_byte; i++)
		cs_counter_add (&first_byte[i].counter, ms <= first_byte[i].bound_ms);
}

void
cs_stats_answer_bytes (size_t n)
{
	cs_counter_add (&bytes, (int64_t)n);
}

void
cs_stats_open_streams (int change)
{
	cs_counter_add (&streams, change);
}
