#include "cs/send_rate.h"

#include <math.h>

enum {
	MAX_GAP_MS = 1000, /* time for which one answer counts at most */
	MIN_WAITS = 2,     /* answers in succession that begin a limit */
	MS_PER_S = 1000
};

static const double max_wait_share = 0.4; /* of the latency objective; the rest is for the answer */
static const double fall_per_s = 3;       /* of the limit's logarithm, by the excess share */
static const double rise_per_s = 2;       /* the same, by what the share is below */
static const double first_limit = 1.2;    /* of the arrivals */
static const double burst_s = 0.2;        /* of the limit */
static const double min_limit = 0.25;     /* requests a second: their answers end a limit */
static const double arrival_s = 5;        /* over which arrivals are smoothed */
static const double duration_gain = 0.125;

void
cs_send_rate_arrived (cs_send_rate_t *r, int64_t now_ms)
{
	double gap_s = (double)(now_ms - r->arrived_ms) / MS_PER_S;
	r->arrivals = r->arrivals * exp (-gap_s / arrival_s) + 1 / arrival_s;
	r->arrived_ms = now_ms;
}

bool
cs_send_rate_allows (cs_send_rate_t *r, int64_t now_ms)
{
	if (r->limit == 0)
		return true;
	r->tokens += (double)(now_ms - r->refilled_ms) / MS_PER_S * r->limit;
	r->tokens = fmin (r->tokens, fmax (r->limit * burst_s, 1));
	r->refilled_ms = now_ms;
	return r->tokens >= 1;
}

void
cs_send_rate_sent (cs_send_rate_t *r)
{
	if (r->limit != 0)
		r->tokens -= 1;
}

bool
cs_send_rate_answered (cs_send_rate_t *r, int64_t now_ms, uint32_t waiting, uint32_t slots,
		       uint32_t target_ms)
{
	double gap_s = fmin ((double)(now_ms - r->answered_ms), MAX_GAP_MS) / MS_PER_S;
	r->answered_ms = now_ms;
	if (!slots || !target_ms || r->duration_ms == 0)
		return false;
	double wait_ms = (double)waiting / slots * r->duration_ms;
	double excess = fmin (wait_ms / target_ms, 1) - max_wait_share;
	bool began = r->limit == 0;
	r->waits = excess > 0 ? r->waits + 1 : 0;
	if (began && r->waits < MIN_WAITS)
		return false;
	if (began) {
		r->limit = r->arrivals * first_limit;
		r->tokens = 0;
		r->refilled_ms = now_ms;
	}
	r->limit *= exp (-excess * gap_s * (excess > 0 ? fall_per_s : rise_per_s));
	r->limit = fmax (r->limit, min_limit);
	if (r->limit > 2 * r->arrivals + 1)
		r->limit = 0;
	return began != (r->limit == 0);
}

void
cs_send_rate_ended (cs_send_rate_t *r, int64_t duration_ms)
{
	double gain = r->duration_ms == 0 ? 1 : duration_gain;
	r->duration_ms += gain * ((double)duration_ms - r->duration_ms);
}
