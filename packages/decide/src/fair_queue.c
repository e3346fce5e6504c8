#include "cs/fair_queue.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum {
	DEFAULT_MAX_WAITING = 256,
	ACTIVE_MS = 5000,   /* for which a team has a part behind its last request */
	WANTED_MS = 2000,   /* the same of a priority */
	RETURN_MS = 5000,   /* behind the time told */
	MIN_RETRY_MS = 400, /* bounds of Retry-After */
	MAX_RETRY_MS = 60000,
	REMAINING_DIVISOR = 3, /* callers heed a time that leaves them most of theirs */
	MS_PER_S = 1000
};

static const double place_share = 0.05;  /* of each less urgent priority that waits */
static const double overdue_share = 0.1; /* of its priority's places, that is due to overdue ones */
static const double min_cost = 1e-3, max_cost = 1e6;
static const double cost_gain = 1. / 16;
static const double max_costs = 4;          /* usual costs, by which one request is charged */
static const double usage_s = 3;            /* for which a request is held against its team */
static const double chance = 0.5;           /* requests by which teams differ without a cause */
static const double chance_share = 0.2;     /* and more, of the mean */
static const double usage_reserve = 3;      /* tokens for an excess of 1 */
static const double priority_reserve = 0.4; /* tokens for more urgent ones */
static const double unknown_retry_ms = 1000;

struct cs_fair_waiting {
	cs_fair_request_t request;
	uint32_t level;
	cs_fair_team_t *team;
	int64_t expires_ms;
	bool is_back; /* was told this time */
	struct cs_fair_waiting *prev, *next;
	UT_hash_handle hh;
};

static uint32_t
level_of (const cs_fair_request_t *r)
{
	uint32_t p = r->priority < CS_FAIR_PRIORITIES ? r->priority : CS_FAIR_PRIORITIES - 1;
	return 2 * p + r->is_overdue;
}

static bool
is_overdue (uint32_t level)
{
	return level % 2;
}

static double
clamp_cost (double cost)
{
	return cost > 0 ? fmax (fmin (cost, max_cost), min_cost) : 1;
}

void
cs_fair_queue_init (cs_fair_queue_t *q, uint32_t max_waiting)
{
	memset (q, 0, sizeof *q);
	q->max_waiting = max_waiting ? max_waiting : DEFAULT_MAX_WAITING;
	for (int l = 0; l < CS_FAIR_LEVELS; l++)
		q->wanted_ms[l] = -ACTIVE_MS;
}

static void
unlink_waiting (cs_fair_queue_t *q, cs_fair_waiting_t *w)
{
	uint32_t l = w->level;
	HASH_DEL (q->by_id, w);
	DL_DELETE (w->team->queues[l].first, w);
	w->team->n--;
	q->waiting[l]--;
	/* An idle team saves up nothing. */
	if (!--w->team->queues[l].n)
		w->team->queues[l].deficit = fmin (w->team->queues[l].deficit, 0);
	free (w);
}

void
cs_fair_queue_finish (cs_fair_queue_t *q)
{
	cs_fair_waiting_t *w, *next;
	HASH_ITER (hh, q->by_id, w, next) {
		unlink_waiting (q, w);
	}
	free (q->refused);
}

uint32_t
cs_fair_queue_count (const cs_fair_queue_t *q)
{
	return HASH_COUNT (q->by_id);
}

void
cs_fair_queue_set_rate (cs_fair_queue_t *q, double per_s)
{
	q->rate = per_s;
}

static cs_fair_team_t *
find_team (cs_fair_queue_t *q, uint64_t team)
{
	cs_fair_team_t *oldest = NULL;
	for (uint32_t i = 0; i < q->n_teams; i++) {
		cs_fair_team_t *t = &q->teams[i];
		if (t->team == team)
			return t;
		if (!t->n && (!oldest || t->arrived_ms < oldest->arrived_ms))
			oldest = t;
	}
	if (q->n_teams < CS_FAIR_TEAMS)
		oldest = &q->teams[q->n_teams++];
	if (!oldest) /* all wait: those beyond share the first one's part */
		return &q->teams[0];
	memset (oldest, 0, sizeof *oldest);
	oldest->team = team;
	oldest->arrived_ms = INT64_MIN / 2;
	return oldest;
}

static void
update_usage (cs_fair_team_t *t, int64_t now_ms)
{
	t->usage *= exp (-(double)(now_ms - t->used_ms) / MS_PER_S / usage_s);
	t->used_ms = now_ms;
}

/* By how much more the team was sent lately than the mean of those that ask, in parts of that mean;
 * 0 if that may be chance. */
static double
excess_of (cs_fair_queue_t *q, cs_fair_team_t *own, int64_t now_ms)
{
	double n = 0, sum = 0;
	for (uint32_t i = 0; i < q->n_teams; i++) {
		cs_fair_team_t *t = &q->teams[i];
		if (t != own && now_ms - t->arrived_ms >= ACTIVE_MS)
			continue;
		update_usage (t, now_ms);
		n++;
		sum += t->usage;
	}
	double mean = sum / n;
	return fmax (own->usage - (1 + chance_share) * mean - chance, 0) / (mean + 1);
}

void
cs_fair_queue_arrived (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r)
{
	double cost = clamp_cost (r->cost);
	find_team (q, r->team)->arrived_ms = now_ms;
	q->wanted_ms[level_of (r)] = now_ms;
	/* A caller may state any length. */
	if (q->usual_cost > 0)
		cost = fmin (cost, max_costs * q->usual_cost);
	q->usual_cost += (q->usual_cost > 0 ? cost_gain : 1) * (cost - q->usual_cost);
}

static bool
is_wanted (const cs_fair_queue_t *q, int64_t now_ms, uint32_t level)
{
	return now_ms - q->wanted_ms[level] < WANTED_MS;
}

static double
reserve_of (cs_fair_queue_t *q, int64_t now_ms, uint64_t team, uint32_t level)
{
	double reserve = 0;
	cs_fair_team_t *t = find_team (q, team);
	for (uint32_t l = 0; l < level && q->credit[level] < 1; l++) {
		if (!is_wanted (q, now_ms, l))
			continue;
		/* Tokens that are left here raise the limits of daemons that lack some. */
		if (is_overdue (level) && l == level - 1)
			return INFINITY;
		reserve = priority_reserve;
	}
	return fmin (reserve + usage_reserve * excess_of (q, t, now_ms), 2);
}

double
cs_fair_queue_reserve (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r)
{
	return reserve_of (q, now_ms, r->team, level_of (r));
}

bool
cs_fair_queue_has_before (const cs_fair_queue_t *q, const cs_fair_request_t *r)
{
	for (uint32_t l = 0; l <= level_of (r); l++)
		if (q->waiting[l] && (r->is_overdue || !is_overdue (l)))
			return true;
	return false;
}

/* How long a new request waits by the rate: for all that go before it, or for those of its own
 * level alone, by the places that are due to it. While others of its priority are short of room,
 * an overdue one has no more than these. */
static double
expect_wait_ms (const cs_fair_queue_t *q, int64_t now_ms, const cs_fair_team_t *own, uint32_t level)
{
	uint32_t n_same = own->queues[level].n;
	uint32_t n_urgent = 0;
	if (q->rate <= 0)
		return 0;
	for (uint32_t l = 0; l < level; l++)
		n_urgent += q->waiting[l];
	for (uint32_t i = 0; i < q->n_teams; i++) {
		const cs_fair_team_t *t = &q->teams[i];
		uint32_t turns = own->queues[level].n + 1;
		if (t != own)
			n_same += t->queues[level].n < turns ? t->queues[level].n : turns;
	}
	if (is_overdue (level) && is_wanted (q, now_ms, level - 1))
		return (n_same + 1 - q->credit[level]) / overdue_share * MS_PER_S / q->rate;
	return fmin (n_urgent + n_same, (n_same + 1) / place_share) * MS_PER_S / q->rate;
}

/* When room is expected, and some time more that differs by request, so that those who were refused
 * together do not come back together. */
static int64_t
tell_retry (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r)
{
	double gap_s = fmax ((double)(now_ms - q->refused_ms) / MS_PER_S, 0);
	q->refusals = q->refusals * exp (-gap_s) + 1;
	q->refused_ms = now_ms;
	double most_ms = MAX_RETRY_MS;
	double room_ms = unknown_retry_ms, spread_ms = unknown_retry_ms;
	if (r->remaining_ms > 0)
		most_ms = fmin (most_ms, (double)r->remaining_ms / REMAINING_DIVISOR);
	if (q->rate > 0) {
		room_ms = (cs_fair_queue_count (q) + 1) * MS_PER_S / q->rate;
		spread_ms = q->refusals * MS_PER_S / q->rate;
	}
	uint64_t mixed = (r->id + (r->content << 1)) * UINT64_C (0x9e3779b97f4a7c15);
	double from_ms = fmin (fmax (room_ms, MIN_RETRY_MS), most_ms);
	double to_ms = fmin (from_ms + spread_ms, most_ms);
	double ms = from_ms + (to_ms - from_ms) * (double)(mixed >> 40) / (1 << 24);
	ms = fmax (ms, 1);
	size_t i = r->content % CS_FAIR_TOLD;
	q->told[i].content = r->content;
	q->told[i].due_ms = now_ms + (int64_t)ms;
	return (int64_t)ms;
}

static void
refuse_waiting (cs_fair_queue_t *q, int64_t now_ms, cs_fair_waiting_t *w)
{
	q->refused = cs_grow (q->refused, &q->cap_refused, q->n_refused + 1, sizeof *q->refused);
	cs_fair_refusal_t *refusal = &q->refused[q->n_refused++];
	refusal->id = w->request.id;
	refusal->retry_after_ms = tell_retry (q, now_ms, &w->request);
	unlink_waiting (q, w);
}

/* The newest request of the lowest priority, there of the team with the most waiting. NULL if that
 * would be the new request. */
static cs_fair_waiting_t *
find_victim (const cs_fair_queue_t *q, const cs_fair_team_t *own, uint32_t level)
{
	uint32_t l = CS_FAIR_LEVELS - 1;
	const cs_fair_team_t *most = NULL;
	while (l > level && !q->waiting[l])
		l--;
	for (uint32_t i = 0; i < q->n_teams; i++) {
		const cs_fair_team_t *t = &q->teams[i];
		if (t->queues[l].n && (!most || t->queues[l].n > most->queues[l].n))
			most = t;
	}
	if (!most || (l == level && most->queues[l].n <= own->queues[l].n + 1))
		return NULL;
	return most->queues[l].first->prev;
}

static bool
take_told (cs_fair_queue_t *q, int64_t now_ms, uint64_t content)
{
	size_t i = content % CS_FAIR_TOLD;
	int64_t late_ms = now_ms - q->told[i].due_ms;
	if (!content || q->told[i].content != content || late_ms < 0 || late_ms > RETURN_MS)
		return false;
	q->told[i].content = 0;
	return true;
}

/* Behind others that came back, before new ones. */
static void
insert (cs_fair_waiting_t **first, cs_fair_waiting_t *w)
{
	cs_fair_waiting_t *at = *first;
	while (w->is_back && at && at->is_back)
		at = at->next;
	if (w->is_back && at)
		DL_PREPEND_ELEM (*first, at, w);
	else
		DL_APPEND (*first, w);
}

/* What becomes of a request that is offered; *victim: who makes room for it, NULL if there is some.
 * Of those that wait nobody is changed. */
static cs_status_t
consider (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r, int64_t token_ms,
	  cs_fair_waiting_t **victim, int64_t *retry_after_ms)
{
	const cs_fair_team_t *t = find_team (q, r->team);
	uint32_t l = level_of (r);
	double wait_ms = (double)token_ms + expect_wait_ms (q, now_ms, t, l);
	bool is_full = cs_fair_queue_count (q) >= q->max_waiting;
	*victim = is_full ? find_victim (q, t, l) : NULL;
	*retry_after_ms = 0;
	if (r->max_wait_ms > 0 && wait_ms <= (double)r->max_wait_ms && (!is_full || *victim))
		return CS_OK;
	*retry_after_ms = tell_retry (q, now_ms, r);
	return cs_fail (CS_EXHAUSTED,
			"queue of %u is full, or the expected wait, %.0f ms, exceeds %lld",
			q->max_waiting, wait_ms, (long long)r->max_wait_ms);
}

cs_status_t
cs_fair_queue_would_offer (const cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r,
			   int64_t token_ms, int64_t *retry_after_ms)
{
	cs_fair_waiting_t *victim;
	cs_fair_queue_t *copy = cs_alloc (sizeof *copy);
	*copy = *q;
	cs_status_t status = consider (copy, now_ms, r, token_ms, &victim, retry_after_ms);
	free (copy);
	return status;
}

cs_status_t
cs_fair_queue_offer (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r,
		     int64_t token_ms, int64_t *retry_after_ms)
{
	cs_fair_waiting_t *victim;
	cs_status_t status = consider (q, now_ms, r, token_ms, &victim, retry_after_ms);
	if (status != CS_OK)
		return status;
	cs_fair_team_t *t = find_team (q, r->team);
	uint32_t l = level_of (r);
	if (victim)
		refuse_waiting (q, now_ms, victim);
	cs_fair_waiting_t *w = cs_alloc (sizeof *w);
	w->request = *r;
	w->level = l;
	w->request.cost = clamp_cost (r->cost);
	w->team = t;
	w->expires_ms = now_ms + r->max_wait_ms;
	w->is_back = take_told (q, now_ms, r->content);
	HASH_ADD (hh, q->by_id, request.id, sizeof w->request.id, w);
	insert (&t->queues[l].first, w);
	t->queues[l].n++;
	t->n++;
	q->waiting[l]++;
	return CS_OK;
}

/* Takes turns among the teams of a level that may send with so much to spare. */
static const cs_fair_waiting_t *
next_by_turns (cs_fair_queue_t *q, uint32_t level, const bool *may_send)
{
	double quantum = q->usual_cost > 0 ? q->usual_cost : 1;
	double least = INFINITY;
	for (uint32_t i = 0; i < q->n_teams; i++)
		if (may_send[i])
			least = fmin (least, ceil ((q->teams[i].queues[level].first->request.cost -
						    q->teams[i].queues[level].deficit) /
						   quantum));
	if (isinf (least) || !q->n_teams)
		return NULL;
	/* Rounds in which nobody would be served are taken at once. */
	for (uint32_t i = 0; i < q->n_teams && least > 1; i++)
		if (may_send[i])
			q->teams[i].queues[level].deficit += (least - 1) * quantum;
	for (;;) {
		uint32_t i = q->turn[level] % q->n_teams;
		cs_fair_team_t *t = &q->teams[i];
		/* One that found no room before has its quantum still. */
		if (may_send[i] && !q->is_granted[level] &&
		    t->queues[level].deficit < t->queues[level].first->request.cost)
			t->queues[level].deficit += quantum;
		q->is_granted[level] = true;
		if (may_send[i] && t->queues[level].deficit >= t->queues[level].first->request.cost)
			return t->queues[level].first;
		q->turn[level] = (i + 1) % q->n_teams;
		q->is_granted[level] = false;
	}
}

static const cs_fair_waiting_t *
next_of (cs_fair_queue_t *q, int64_t now_ms, uint32_t level, double spare)
{
	bool may_send[CS_FAIR_TEAMS];
	for (uint32_t i = 0; i < q->n_teams; i++)
		may_send[i] = q->teams[i].queues[level].n && !q->teams[i].queues[level].is_aside &&
			      reserve_of (q, now_ms, q->teams[i].team, level) <= spare;
	return next_by_turns (q, level, may_send);
}

cs_status_t
cs_fair_queue_peek (cs_fair_queue_t *q, int64_t now_ms, double spare, uint64_t *id)
{
	const cs_fair_waiting_t *next = NULL;
	for (uint32_t l = 1; l < CS_FAIR_LEVELS && !next; l++)
		if (q->waiting[l] && q->credit[l] >= 1)
			next = next_of (q, now_ms, l, spare);
	for (uint32_t l = 0; l < CS_FAIR_LEVELS && !next; l++)
		if (q->waiting[l])
			next = next_of (q, now_ms, l, spare);
	if (!next)
		return CS_NOT_FOUND;
	*id = next->request.id;
	return CS_OK;
}

void
cs_fair_queue_set_aside (cs_fair_queue_t *q, uint64_t id)
{
	cs_fair_waiting_t *w;
	HASH_FIND (hh, q->by_id, &id, sizeof id, w);
	if (w)
		w->team->queues[w->level].is_aside = true;
}

void
cs_fair_queue_end_asides (cs_fair_queue_t *q)
{
	for (uint32_t i = 0; i < q->n_teams; i++)
		for (int l = 0; l < CS_FAIR_LEVELS; l++)
			q->teams[i].queues[l].is_aside = false;
}

/* What is due to a level for a place that a more urgent one got. */
static double
credit_for (const cs_fair_queue_t *q, int64_t now_ms, uint32_t level, uint32_t sent)
{
	if (!is_overdue (level))
		return is_wanted (q, now_ms, level) ? place_share : 0;
	/* Overdue ones may be a daemon's only one in seconds. */
	if (now_ms - q->wanted_ms[level] >= ACTIVE_MS)
		return 0;
	if (sent == level - 1)
		return overdue_share;
	return is_wanted (q, now_ms, level - 1) ? 0 : place_share;
}

/* Places go to less urgent requests that want some, until each level is owed one. */
static void
pass_place (cs_fair_queue_t *q, int64_t now_ms, uint32_t level)
{
	for (uint32_t l = 0; l < CS_FAIR_LEVELS; l++)
		if (q->waiting[l])
			q->wanted_ms[l] = now_ms;
	if (q->credit[level] >= 1)
		q->credit[level] = 0;
	for (uint32_t l = level + 1; l < CS_FAIR_LEVELS; l++)
		q->credit[l] = fmin (q->credit[l] + credit_for (q, now_ms, l, level), 1);
}

void
cs_fair_queue_sent (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r)
{
	cs_fair_waiting_t *w;
	cs_fair_team_t *t = find_team (q, r->team);
	uint32_t l = level_of (r);
	double usual = q->usual_cost > 0 ? q->usual_cost : 1;
	update_usage (t, now_ms);
	t->usage += fmin (clamp_cost (r->cost) / usual, max_costs);
	pass_place (q, now_ms, l);
	HASH_FIND (hh, q->by_id, &r->id, sizeof r->id, w);
	if (!w)
		return;
	w->team->queues[w->level].deficit -= w->request.cost;
	unlink_waiting (q, w);
}

void
cs_fair_queue_remove (cs_fair_queue_t *q, uint64_t id)
{
	cs_fair_waiting_t *w;
	HASH_FIND (hh, q->by_id, &id, sizeof id, w);
	if (w)
		unlink_waiting (q, w);
}

void
cs_fair_queue_tick (cs_fair_queue_t *q, int64_t now_ms)
{
	cs_fair_waiting_t *w, *next;
	HASH_ITER (hh, q->by_id, w, next) {
		if (now_ms >= w->expires_ms)
			refuse_waiting (q, now_ms, w);
	}
}

void
cs_fair_queue_clear_refused (cs_fair_queue_t *q)
{
	q->n_refused = 0;
}
