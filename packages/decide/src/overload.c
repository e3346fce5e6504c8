#include "cs/overload.h"

#include <math.h>
#include <string.h>

enum {
	MAX_AGE_MS = 1500,  /* of the newest sample */
	MAX_STEP_MS = 1000, /* for which one update counts at most */
	IDLE_MS = 1000,     /* a limit that holds nobody back ends after this time */
	SHORT_MS = 1000,    /* behind a limit, another one is likely */
	CALM_MS = 3000,     /* behind a limit; callers that were refused are back by then */
	MAX_DURATIONS = 64, /* of which the mean is taken */
	MS_PER_S = 1000
};

static const double sample_s = 0.06;      /* over which samples are averaged */
static const double share_s = 10;         /* over which arrivals and busy slots are smoothed */
static const double limited_share_s = 60; /* the same while a limit is in force */
static const double known_s = 5;          /* for which arrivals are seen until they are known */
static const double settle_s = 0.6;       /* twice the age of what is seen: no oscillation */
static const double correct_s = 1.5;      /* of the correction */
static const double calm_s = 5;           /* over which a correction is forgotten */
static const double wait_share = 0.1;     /* of the objective, that heads may let requests wait */
static const double begin_wait_share = 0.35; /* a wait that begins a limit */
static const double begin_busy = 0.9;        /* shares of busy slots */
static const double near_busy = 0.87;        /* for who has sent more than its share */
static const double end_busy = 0.88;
static const double full_busy = 0.91;
static const double slowing = 0.5; /* of requests, from no busy slots to all: engines share their
				      time among what they write, and read prompts meanwhile */
static const double min_busy = 0.05;
static const double min_correction = 0.1, max_correction = 1.25;
static const double min_limit = 0.05;     /* requests a second */
static const double spare_s = 0.03;       /* of the limit, in tokens beyond the first */
static const double debt_s = 0.25;        /* of the limit, paid back at most */
static const double max_wait_share = 0.5; /* of the objective, at the daemon and the head */
static const double least_wait_share = 0.1;
static const double fall_gain = 0.05, rise_gain = 0.001; /* of the usual delay, by sample */
static const double gain = 0.125;                        /* of a new objective */

static double
draw (cs_overload_t *o)
{
	o->random = o->random * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
	return (double)(o->random >> 11) * 0x1p-53;
}

void
cs_overload_init (cs_overload_t *o, uint64_t seed)
{
	memset (o, 0, sizeof *o);
	o->random = seed;
	draw (o);
	o->threshold = draw (o);
	o->correction = 1;
	o->limited_ms = INT64_MIN / 2;
}

double
cs_overload_busy (const cs_overload_t *o)
{
	return o->slots > 0 ? fmin (o->running / o->slots, 1) : 0;
}

double
cs_overload_wait_ms (const cs_overload_t *o)
{
	return o->slots > 0 ? o->waiting_ms / o->slots : 0;
}

bool
cs_overload_is_informed (const cs_overload_t *o, int64_t now_ms)
{
	return o->seen_ms && now_ms - o->seen_ms <= MAX_AGE_MS && o->duration_ms > 0;
}

void
cs_overload_set_slots (cs_overload_t *o, uint32_t slots)
{
	/* Busy slots of those that are left would have been as many more. */
	if (slots && o->all_slots)
		o->busy *= (double)o->all_slots / slots;
	if (slots)
		o->all_slots = slots;
}

/* For how long, s, the heads could begin more than they end. Some slots stay free, as heads are not
 * loaded alike: while the busy ones let requests wait, others have room. */
static double
room_s (const cs_overload_t *o)
{
	double free_ms = (full_busy - cs_overload_busy (o)) * o->duration_ms;
	double may_wait_ms = wait_share * o->objective_ms;
	return (free_ms + may_wait_ms - cs_overload_wait_ms (o)) / MS_PER_S;
}

/* How far what is smoothed has come from 0 to its value since the start. */
static double
part_learned (const cs_overload_t *o)
{
	return 1 - exp (-o->age_s / share_s);
}

static void
begin_or_end (cs_overload_t *o, int64_t now_ms)
{
	double wait_ms = cs_overload_wait_ms (o);
	double busy = cs_overload_busy (o);
	bool waits = wait_ms > begin_wait_share * o->objective_ms;
	bool is_known =
		cs_overload_is_informed (o, now_ms) && o->arrivals > 0 && o->objective_ms > 0;
	if (o->limit == 0 && is_known &&
	    (waits || busy >= begin_busy || (busy >= near_busy && o->tokens < 0))) {
		/* A daemon that starts amid an overload does not yet know its arrivals. */
		if (o->age_s < known_s) {
			o->arrivals /= part_learned (o);
			o->busy /= part_learned (o);
		}
		o->limit = o->shadow;
		o->tokens = fmin (o->tokens, 1);
		o->held_ms = now_ms;
	} else if (o->limit != 0 && (!is_known || (!waits && busy < end_busy) ||
				     (!waits && now_ms - o->held_ms > IDLE_MS))) {
		o->limit = 0;
	}
}

static double
arrivals_over_s (const cs_overload_t *o)
{
	if (o->limit == 0)
		return share_s;
	return o->age_s < known_s ? fmax (o->age_s, 1) : limited_share_s;
}

/* Brings all up to the present time. */
static void
update (cs_overload_t *o, int64_t now_ms)
{
	double s = fmin ((double)(now_ms - o->updated_ms), MAX_STEP_MS) / MS_PER_S;
	if (s <= 0)
		return;
	bool is_limited = o->limit != 0;
	o->updated_ms = now_ms;
	o->age_s = fmin (o->age_s + s, share_s);
	o->arrivals *= exp (-s / arrivals_over_s (o));
	if (!is_limited)
		o->busy += (cs_overload_busy (o) - o->busy) * (1 - exp (-s / share_s));
	double room = room_s (o);
	if (is_limited)
		o->correction *=
			exp (fmax (fmin (room, settle_s), -settle_s) * s / settle_s / correct_s);
	else
		o->correction += (1 - o->correction) * (1 - exp (-s / calm_s));
	o->correction = fmax (fmin (o->correction, max_correction), min_correction);
	double busy = fmax (o->busy, min_busy);
	double slower = 1 + slowing * fmax (full_busy - busy, 0);
	double share = full_busy * o->arrivals / busy / slower * o->correction;
	o->shadow = fmax (share * fmax (1 + room / settle_s, 0), min_limit);
	o->tokens = fmin (o->tokens + s * o->shadow, CS_OVERLOAD_RESERVE + 1 + spare_s * o->shadow);
	if (o->limit != 0) {
		o->limit = o->shadow;
		o->limited_ms = now_ms;
	}
	begin_or_end (o, now_ms);
}

/* First events take a while where nothing waits, too: a step, a chunk of another prompt. */
static double
excess_delay_ms (cs_overload_t *o, uint32_t delay_ms)
{
	double more_ms = delay_ms - o->usual_delay_ms;
	o->usual_delay_ms += more_ms * (more_ms < 0 ? fall_gain : rise_gain);
	return fmax (more_ms, 0);
}

void
cs_overload_sample (cs_overload_t *o, int64_t now_ms, const cs_overload_sample_t *s)
{
	if (!s->slots || s->seen_ms > now_ms || now_ms - s->seen_ms > MAX_AGE_MS)
		return;
	double wait_ms = (double)s->waiting / s->slots * o->duration_ms;
	bool is_first = !o->seen_ms;
	if (s->seen_ms > o->seen_ms) {
		double kept = exp (-(double)(s->seen_ms - o->seen_ms) / MS_PER_S / sample_s);
		o->running *= kept;
		o->waiting_ms *= kept;
		o->slots *= kept;
		o->seen_ms = s->seen_ms;
	}
	o->running += fmin (s->running, s->slots);
	/* What comes later by more than its objective met a group that stalled, not a queue. */
	double delay_ms = fmin (excess_delay_ms (o, s->delay_ms), o->objective_ms);
	o->waiting_ms += fmax (wait_ms, delay_ms) * s->slots;
	o->slots += s->slots;
	/* The heads are taken for as busy before. */
	if (is_first)
		o->busy = cs_overload_busy (o) * part_learned (o);
	update (o, now_ms);
}

void
cs_overload_arrived (cs_overload_t *o, int64_t now_ms, uint32_t objective_ms)
{
	update (o, now_ms);
	o->arrivals += 1 / arrivals_over_s (o);
	if (objective_ms)
		o->objective_ms +=
			(o->objective_ms > 0 ? gain : 1) * (objective_ms - o->objective_ms);
}

void
cs_overload_ended (cs_overload_t *o, int64_t duration_ms)
{
	if (duration_ms <= 0)
		return;
	o->n_durations += o->n_durations < MAX_DURATIONS;
	o->duration_ms += ((double)duration_ms - o->duration_ms) / o->n_durations;
}

bool
cs_overload_is_overdue (int64_t waited_ms, uint32_t objective_ms)
{
	return objective_ms && (double)waited_ms > max_wait_share * objective_ms;
}

bool
cs_overload_is_calm (const cs_overload_t *o, int64_t now_ms)
{
	return o->limit == 0 && cs_overload_busy (o) < end_busy &&
	       now_ms - o->limited_ms >= CALM_MS;
}

double
cs_overload_spare (cs_overload_t *o, int64_t now_ms)
{
	update (o, now_ms);
	if (o->limit != 0)
		return o->tokens - o->threshold;
	bool is_short = cs_overload_is_informed (o, now_ms) &&
			(cs_overload_busy (o) >= end_busy || now_ms - o->limited_ms < SHORT_MS);
	return is_short ? CS_OVERLOAD_RESERVE : INFINITY;
}

double
cs_overload_rate (cs_overload_t *o, int64_t now_ms)
{
	return isinf (cs_overload_spare (o, now_ms)) ? 0 : o->shadow;
}

void
cs_overload_held (cs_overload_t *o, int64_t now_ms)
{
	o->held_ms = now_ms;
}

void
cs_overload_sent (cs_overload_t *o, int64_t now_ms)
{
	update (o, now_ms);
	o->tokens = fmax (o->tokens - 1, -1 - debt_s * o->shadow);
	o->threshold = draw (o);
}

int64_t
cs_overload_max_wait_ms (const cs_overload_t *o, uint32_t objective_ms)
{
	double ms = objective_ms * max_wait_share - cs_overload_wait_ms (o);
	return (int64_t)fmax (ms, objective_ms * least_wait_share);
}
