/* Placing by the first event, see cs/router.h. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "router_impl.h"

enum {
	PERCENT = 100,
	OWN_CHOICES = 2,   /* of the own zone */
	OTHER_CHOICES = 2, /* of other zones */
	DELAY_MS = 200,    /* for which a delay that was seen tells of the next one */
	MAX_DELAY_MS = UINT16_MAX,
	CONTEXT_TOKENS = 1000, /* to which step_context_ms refers */
	DEFAULT_ANSWER = 100   /* tokens, of an engine whose usual answer is not stated */
};

static const double newest_weight = 0.5; /* of a delay that was seen */
/* All daemons see the same loads, and what they send on that account shows only later: they even
 * differences out within about four times that time, as a faster correction overshoots. */
static const double unseen_weight = 4;
/* Own requests are known at once, and each daemon has others: they even loads out without a herd.
 */
static const double own_weight = 30;

void
cs_placing_reset (cs_placing_t *p)
{
	p->is_seen = false;
	p->n_awaited = 0;
}

void
cs_placing_set_engine (cs_target_t *t, const cs_target_info_t *info)
{
	cs_placing_t *p = &t->placing;
	p->is_stated = info->engine != NULL;
	p->engine = info->engine ? *info->engine : (cs_serving_engine_t){0};
	p->pace = info->pace > 0 ? info->pace : 1;
	p->board_target = cs_load_target (t->name, t->fence);
}

/* Prompt and answer, the usual answer if it is not known. */
static uint64_t
tokens_of (const cs_placing_t *p, const cs_request_size_t *size)
{
	return (uint64_t)size->prompt_tokens +
	       (size->answer_tokens ? size->answer_tokens : p->engine.usual_answer);
}

static void
remove_awaited (cs_placing_t *p, int64_t sent_ms)
{
	for (size_t i = 0; i < p->n_awaited; i++) {
		if (p->awaited[i].sent_ms != sent_ms)
			continue;
		p->n_awaited--;
		memmove (&p->awaited[i], &p->awaited[i + 1],
			 (p->n_awaited - i) * sizeof *p->awaited);
		return;
	}
}

void
cs_router_record_send (cs_router_t *r, int64_t now_ms, const char *name,
		       const cs_request_size_t *size)
{
	cs_target_t *t = cs_target_find (r, name);
	if (!t || !t->placing.is_stated)
		return;
	cs_placing_t *p = &t->placing;
	p->own_tokens += tokens_of (p, size);
	if (p->n_awaited == CS_ROUTER_AWAITED)
		return;
	p->awaited[p->n_awaited].sent_ms = now_ms;
	p->awaited[p->n_awaited].read_ms = cs_first_event_read_ms (&p->engine, p->pace, size);
	p->awaited[p->n_awaited].idle_ms = cs_first_event_idle_ms (&p->engine, p->pace, size);
	p->n_awaited++;
}

void
cs_router_record_first_event (cs_router_t *r, const char *name, int64_t sent_ms)
{
	cs_target_t *t = cs_target_find (r, name);
	if (t)
		remove_awaited (&t->placing, sent_ms);
}

void
cs_router_record_end (cs_router_t *r, const char *name, int64_t sent_ms,
		      const cs_request_size_t *size)
{
	cs_target_t *t = cs_target_find (r, name);
	if (!t)
		return;
	cs_placing_t *p = &t->placing;
	uint64_t tokens = tokens_of (p, size);
	p->own_tokens -= tokens < p->own_tokens ? tokens : p->own_tokens;
	remove_awaited (p, sent_ms);
	/* The usual answer may have changed since the sending. */
	if (!t->in_flight)
		p->own_tokens = 0;
}

static void
record_seen (cs_target_t *t, const cs_load_t *seen)
{
	cs_placing_t *p = &t->placing;
	if (!p->is_stated || (p->is_seen && seen->seen_ms <= p->seen_ms))
		return;
	bool is_old = !p->is_seen || seen->seen_ms - p->seen_ms > CS_LOAD_MAX_AGE_MS;
	p->delay_ms += (is_old ? 1 : newest_weight) * (seen->delay_ms - p->delay_ms);
	p->is_seen = true;
	p->seen_ms = seen->seen_ms;
	p->running = seen->running;
	if (t->reported && seen->seen_ms < t->report_ms)
		return;
	t->reported = true;
	t->report_ms = seen->seen_ms;
	t->report_load = (uint32_t)seen->running + seen->waiting;
}

void
cs_router_record_board (cs_router_t *r, int64_t now_ms, const cs_load_board_t *board)
{
	for (size_t i = 0; i < r->n; i++) {
		cs_target_t *t = r->targets[i];
		const cs_load_t *seen =
			t->placing.is_stated
				? cs_load_board_find (board, now_ms, t->placing.board_target)
				: NULL;
		if (seen)
			record_seen (t, seen);
	}
}

void
cs_router_record_seen (cs_router_t *r, const char *name, const cs_load_t *seen)
{
	cs_target_t *t = cs_target_find (r, name);
	if (t)
		record_seen (t, seen);
}

bool
cs_router_has_engine (const cs_router_t *r, const char *name)
{
	const cs_target_t *t = cs_target_find (r, name);
	return t && t->placing.is_stated;
}

uint16_t
cs_router_delay_ms (const cs_router_t *r, const char *name, const cs_request_size_t *size,
		    int64_t first_ms)
{
	const cs_target_t *t = cs_target_find (r, name);
	if (!t || !t->placing.is_stated)
		return 0;
	double idle_ms = cs_first_event_idle_ms (&t->placing.engine, t->placing.pace, size);
	double delay_ms = (double)first_ms - idle_ms;
	return delay_ms < 0 ? 0 : delay_ms < MAX_DELAY_MS ? (uint16_t)delay_ms : MAX_DELAY_MS;
}

static bool
is_known (const cs_placing_t *p, int64_t now_ms)
{
	return p->is_seen && now_ms - p->seen_ms <= CS_LOAD_MAX_AGE_MS;
}

bool
cs_placing_exceeds_engine (const cs_target_t *t, const cs_route_query_t *q)
{
	const cs_placing_t *p = &t->placing;
	return p->is_stated && p->engine.memory_tokens && !q->is_size_guessed &&
	       (uint64_t)q->size.prompt_tokens + q->size.answer_tokens > p->engine.memory_tokens;
}

static bool
has_memory (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
	    const cs_request_size_t *size)
{
	const cs_placing_t *p = &t->placing;
	if (!p->engine.memory_tokens)
		return true;
	double load = cs_target_load (r, t, now_ms);
	double others = load > t->in_flight ? load - t->in_flight : 0;
	double used = (double)p->own_tokens +
		      others * ((double)p->engine.usual_prompt + p->engine.usual_answer);
	/* One whose guessed size exceeds an empty memory may be smaller. */
	return load <= 0 || used + (double)tokens_of (p, size) <= (double)p->engine.memory_tokens;
}

static double
pass_ms (const cs_placing_t *p, double streams)
{
	const cs_serving_engine_t *e = &p->engine;
	double context = e->step_context_ms * e->usual_prompt / CONTEXT_TOKENS;
	return p->pace * (e->stride ? e->stride : 1) *
	       (e->step_ms + (e->step_request_ms + context) * streams);
}

static double
age_ms (const cs_placing_t *p, int64_t now_ms)
{
	int64_t age = p->is_seen ? now_ms - p->seen_ms : CS_LOAD_MAX_AGE_MS;
	return (double)(age < 0 ? 0 : age < CS_LOAD_MAX_AGE_MS ? age : CS_LOAD_MAX_AGE_MS);
}

/* Requests that others may have sent there since its load was seen, by Little's law: as many as
 * ended in that time. */
static double
unseen (const cs_router_t *r, const cs_target_t *t, int64_t now_ms)
{
	const cs_placing_t *p = &t->placing;
	double load = cs_target_load (r, t, now_ms);
	double steps = p->engine.usual_answer ? p->engine.usual_answer : DEFAULT_ANSWER;
	double lasts = pass_ms (p, load) / (p->engine.stride ? p->engine.stride : 1) * steps;
	return lasts > 0 ? (load > 1 ? load : 1) * age_ms (p, now_ms) / lasts : 0;
}

/* Passes in which an engine reads the prompt. */
static double
passes (const cs_placing_t *p, const cs_request_size_t *size)
{
	double room = (double)p->engine.chunk_tokens * (p->engine.stride ? p->engine.stride : 1);
	return room > 0 ? ceil (size->prompt_tokens / room) : 1;
}

/* Delay of the first event as the load predicts it: half a pass, and what the others add to the
 * passes of its reading and to its own first one. */
static double
load_delay_ms (const cs_placing_t *p, double load, const cs_request_size_t *size)
{
	return load > 0 ? pass_ms (p, load) * (0.5 + passes (p, size)) + pass_ms (p, load) -
				  pass_ms (p, 0)
			: 0;
}

static double
delay_ms (const cs_target_t *t, int64_t now_ms, double load, const cs_request_size_t *size)
{
	const cs_placing_t *p = &t->placing;
	double by_load = load_delay_ms (p, load, size);
	double left = 1 - age_ms (p, now_ms) / DELAY_MS;
	return by_load + (left > 0 ? left * (p->delay_ms - by_load) : 0);
}

/* Where a load is old, the target counts as full only if that many requests may have ended since
 * and it still is: of many daemons that see the same loads, all would leave it alone at once. Own
 * requests in flight have not ended. */
static bool
is_full (const cs_router_t *r, const cs_target_t *t, int64_t now_ms)
{
	double least = cs_target_load (r, t, now_ms) - unseen (r, t, now_ms);
	return t->max_concurrent && fmax (least, t->in_flight) >= t->max_concurrent;
}

bool
cs_placing_has_capacity (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
			 const cs_request_size_t *size)
{
	return !is_full (r, t, now_ms) && has_memory (r, t, now_ms, size);
}

typedef struct {
	const cs_router_t *r;
	const cs_route_query_t *q;
	int64_t now_ms;
	double mean_load; /* of the targets of which something is known */
} placing_t;

/* `load`: in place of the target's own. */
static double
first_event_ms (const placing_t *x, const cs_target_t *t, double load)
{
	const cs_placing_t *p = &t->placing;
	double reading = 0;
	double longest = 0;
	for (size_t i = 0; i < p->n_awaited; i++) {
		double waited = (double)(x->now_ms - p->awaited[i].sent_ms) - p->awaited[i].idle_ms;
		longest = waited > longest ? waited : longest;
		if (!is_known (p, x->now_ms) || p->awaited[i].sent_ms > p->seen_ms)
			reading += p->awaited[i].read_ms;
	}
	double delay = delay_ms (t, x->now_ms, load, &x->q->size);
	return (t->own_zone ? 0 : CS_ROUTE_WAY_MS) + (longest > delay ? longest : delay) + reading +
	       cs_first_event_idle_ms (&p->engine, p->pace, &x->q->size);
}

static double
load_of (const placing_t *x, const cs_target_t *t)
{
	double load = cs_target_load (x->r, t, x->now_ms);
	return is_known (&t->placing, x->now_ms) || load > x->mean_load ? load : x->mean_load;
}

static double
mean_load (const cs_router_t *r, int64_t now_ms, cs_target_t **eligible, size_t n)
{
	double sum = 0;
	size_t n_known = 0;
	for (size_t i = 0; i < n; i++) {
		if (!is_known (&eligible[i]->placing, now_ms))
			continue;
		sum += cs_target_load (r, eligible[i], now_ms);
		n_known++;
	}
	return n_known ? sum / (double)n_known : 0;
}

double
cs_placing_first_event_ms (const cs_router_t *r, const cs_target_t *t, int64_t now_ms,
			   const cs_route_query_t *q, size_t n)
{
	const placing_t x = {r, q, now_ms, mean_load (r, now_ms, r->eligible, n)};
	return first_event_ms (&x, t, load_of (&x, t));
}

/* Normally distributed, mean 0 and deviation 1, nearly. */
static double
deviate (cs_rng_t *rng)
{
	enum {
		TERMS = 12,
		RANGE = 1 << 16
	};
	double sum = -TERMS / 2.;
	for (int i = 0; i < TERMS; i++)
		sum += (double)cs_rng_below (rng, RANGE) / RANGE;
	return sum;
}

typedef struct {
	cs_target_t *target;
	double first_event_ms;
	double cost_ms; /* the objective, by which costs are divided, is the same for all */
} choice_t;

/* Costs are those of a load drawn at random from what it may be by now. */
static choice_t
draw (const placing_t *x, cs_rng_t *rng, cs_target_t *t)
{
	const cs_placing_t *p = &t->placing;
	double load = load_of (x, t) + own_weight * t->in_flight +
		      unseen_weight * unseen (x->r, t, x->now_ms) * deviate (rng);
	if (load < 0)
		load = 0;
	double first = first_event_ms (x, t, load);
	double read_ms = cs_first_event_read_ms (&p->engine, p->pace, &x->q->size);
	double cost = first + read_ms * load * CS_ROUTE_HARM_PERCENT / PERCENT;
	return (choice_t){t, first, cs_target_slow_start (x->r, t, x->now_ms, cost)};
}

/* The best of `choices` at random of the n targets, which it reorders. */
static choice_t
best_of (const placing_t *x, cs_rng_t *rng, cs_target_t **targets, size_t n, size_t choices)
{
	choice_t best = {0};
	for (size_t i = 0; i < n && i < choices; i++) {
		size_t k = i + cs_rng_below (rng, (uint32_t)(n - i));
		cs_target_t *t = targets[k];
		targets[k] = targets[i];
		targets[i] = t;
		choice_t c = draw (x, rng, t);
		if (!best.target || c.cost_ms < best.cost_ms)
			best = c;
	}
	return best;
}

cs_target_t *
cs_placing_choose (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
		   cs_target_t **eligible, size_t n)
{
	const placing_t x = {r, q, now_ms, mean_load (r, now_ms, eligible, n)};
	uint32_t target_ms = q->target_ms ? q->target_ms : CS_ROUTE_TARGET_MS;
	size_t n_own = 0;
	for (size_t i = 0; i < n; i++) {
		cs_target_t *t = eligible[i];
		if (!t->own_zone)
			continue;
		eligible[i] = eligible[n_own];
		eligible[n_own++] = t;
	}
	choice_t own = best_of (&x, &r->rng, eligible, n_own, OWN_CHOICES);
	if (own.target &&
	    own.first_event_ms <= (double)target_ms * CS_ROUTE_OWN_ZONE_PERCENT / PERCENT)
		return own.target;
	choice_t other = best_of (&x, &r->rng, eligible + n_own, n - n_own, OTHER_CHOICES);
	if (!own.target || (other.target && other.cost_ms < own.cost_ms))
		return other.target;
	return own.target;
}
