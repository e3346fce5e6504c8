/* Lending of free slots. Every daemon computes the moves of all daemons from their reports and
 * makes its own. Where views differ, a borrower gets a few slots more or less, which the next
 * second corrects. */
#include <stdlib.h>

#include "limits_impl.h"

enum {
	SECOND_MS = 1000,
	UNLENDABLE_DIVISOR = 20, /* 1/20 of the own part is never lent */
	GROWTH_FACTOR = 4,       /* of the wanted slots, per second with refusals */
	SLACK_DIVISOR = 10,      /* deviations up to 1/10 of a fair share are ignored */
	EVEN_SPREAD_DIVISOR = 4, /* 1/4 of the unevenly spread free slots moves per second */
	FAIRNESS_DIVISOR = 32,   /* 1/32 of the unfairly held slots in use moves per second */
	TURN_TOLERANCE_S = 5,    /* a wait that is longer by more than this has priority */
	WAITING_MAX_S = 3600
};

/* A daemon as its last report shows it. */
typedef struct {
	uint64_t incarnation;
	bool is_self;
	int64_t part;
	int64_t held;
	int64_t free;
	int64_t wanted;
	int64_t unlendable; /* slots that are never lent */
	int64_t waiting_s;
	int64_t offers; /* slots to lend in the current pass */
	int64_t takes;  /* slots to receive in the current pass */
} cs_holder_t;

typedef struct {
	cs_holder_t *holders;
	size_t n;
	size_t self;
	int64_t owed;       /* slots that this daemon is to lend but that are not free yet */
	int64_t free;       /* slots of this daemon still available for lending */
	int64_t own_unlent; /* slots of the own part that are not lent */
	cs_limits_t *limits;
	cs_team_limit_t *team;
	cs_limit_dim_t dim;
	int64_t now_ms;
} cs_view_t;

static int64_t
min_i64 (int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
positive (int64_t a)
{
	return a > 0 ? a : 0;
}

void
cs_quota_add_demand (cs_quota_t *q, int64_t now_ms, int64_t n)
{
	int64_t second = now_ms / SECOND_MS;
	if (second - q->demand_s > CS_LIMITS_DEMAND_S)
		q->demand_s = second - CS_LIMITS_DEMAND_S;
	while (q->demand_s < second)
		q->demand[++q->demand_s % CS_LIMITS_DEMAND_S] = 0;
	q->demand[second % CS_LIMITS_DEMAND_S] += (uint32_t)n;
}

int64_t
cs_quota_wanted (const cs_quota_t *q, int64_t now_ms)
{
	int64_t age = now_ms / SECOND_MS - q->demand_s;
	int64_t n = 0;
	for (int64_t i = 0; i + age < CS_LIMITS_DEMAND_S && q->demand_s >= i; i++)
		n += q->demand[(q->demand_s - i) % CS_LIMITS_DEMAND_S];
	n = n < q->growth ? q->growth : n;
	return min_i64 (n + q->window.debt, (int64_t)q->limit);
}

uint32_t
cs_quota_waiting_s (const cs_limits_t *l, const cs_quota_t *q, int64_t now_ms)
{
	if (q->limit >= l->n_members)
		return 0;
	return (uint32_t)min_i64 ((now_ms - q->admitted_ms) / SECOND_MS, WAITING_MAX_S);
}

/* Raises the wanted slots while requests are refused, as the demand of callers that wait for
 * their retry time is not visible. */
static void
update_growth (cs_quota_t *q, int64_t now_ms, int64_t part)
{
	int64_t before = q->growth;
	q->growth = 0;
	if (!q->has_refused)
		return;
	q->has_refused = false;
	q->growth = cs_quota_wanted (q, now_ms) - q->window.debt;
	q->growth = q->growth > part ? q->growth : part;
	q->growth = q->growth > before * GROWTH_FACTOR ? q->growth : before * GROWTH_FACTOR;
	q->growth = min_i64 (q->growth, (int64_t)q->limit);
}

static int64_t
unlendable_slots (cs_limit_dim_t dim, int64_t part)
{
	int64_t kept = part / UNLENDABLE_DIVISOR;
	return dim == CS_DIM_CONCURRENT && part > 0 && !kept ? 1 : kept;
}

static void
collect_holders (cs_view_t *v)
{
	cs_limits_t *l = v->limits;
	cs_team_limit_t *t = v->team;
	cs_limit_dim_t dim = v->dim;
	int64_t now_ms = v->now_ms;
	const cs_quota_t *q = &t->quotas[dim];
	for (const cs_limits_peer_t *p = l->peers; p; p = p->hh.next) {
		cs_holder_t *h = &v->holders[v->n];
		bool is_self = p->incarnation == l->options.incarnation;
		if (!is_self && !cs_limits_has_recent_heartbeat (l, p, now_ms))
			continue;
		h->incarnation = p->incarnation;
		h->part = cs_limits_part (l, q->limit, p->rank);
		h->held = h->free = h->part;
		h->unlendable = unlendable_slots (dim, h->part);
		const cs_account_t *a = cs_limits_get_account (t, p->incarnation);
		if (is_self) {
			h->is_self = true;
			v->self = v->n;
			v->own_unlent = h->part;
			h->held = positive (cs_limits_held (l, now_ms, t, dim));
			h->free = positive (cs_limits_free (l, now_ms, t, dim) -
					    cs_retry_schedule_reserved_soon (&q->retries));
			v->free = h->free;
			h->wanted = cs_quota_wanted (q, now_ms);
			h->waiting_s = cs_quota_waiting_s (l, q, now_ms);
		} else if (a->report_heartbeat == p->n_heartbeats) {
			const cs_quota_report_t *r = &a->report.quotas[dim];
			h->held = (int64_t)r->held;
			h->free = (int64_t)r->free;
			h->wanted = (int64_t)r->wanted;
			h->waiting_s = r->waiting_s;
		}
		v->n++;
	}
	for (const cs_account_t *a = t->accounts; a; a = a->hh.next)
		v->own_unlent += min_i64 (0, cs_limits_borrowed (l, now_ms, a, dim));
	v->own_unlent = positive (v->own_unlent);
}

static void
give_slots (cs_view_t *v, cs_account_t *a, int64_t n)
{
	if (n <= 0)
		return;
	a->given[v->dim] += (uint64_t)n;
	a->changed_ms = v->now_ms;
}

/* Returns borrowed slots to their lenders. */
static void
return_borrowed (cs_view_t *v, int64_t n)
{
	for (cs_account_t *a = v->team->accounts; a && n > 0; a = a->hh.next) {
		int64_t back = min_i64 (
			n, positive (cs_limits_borrowed (v->limits, v->now_ms, a, v->dim)));
		give_slots (v, a, back);
		n -= back;
	}
}

/* Lends own slots only, so that an expired loan is out of use in one step. Borrowed slots are
 * returned to their owners, which lend them. */
static void
lend_to (cs_view_t *v, const cs_holder_t *to, int64_t n)
{
	int64_t now = min_i64 (n, v->free);
	cs_account_t *a = cs_limits_get_account (v->team, to->incarnation);
	if (a->is_revocation_pending)
		return;
	v->owed += n - now;
	v->free -= now;
	int64_t back =
		min_i64 (now, positive (cs_limits_borrowed (v->limits, v->now_ms, a, v->dim)));
	int64_t lent = min_i64 (now - back, v->own_unlent);
	v->own_unlent -= lent;
	give_slots (v, a, back + lent);
	return_borrowed (v, now - back - lent);
}

/* End of the range that belongs to the cumulative weight when `total` is divided by weights. */
static int64_t
range_end (int64_t total, int64_t weights, int64_t all)
{
	return all ? (int64_t)((double)total * (double)weights / (double)all) : 0;
}

/* Deducts the moved slots from the offering daemons in this view. */
static void
deduct_offers (cs_view_t *v, int64_t total, int64_t offers)
{
	int64_t cumulative = 0;
	for (size_t i = 0; i < v->n; i++) {
		cs_holder_t *h = &v->holders[i];
		int64_t from = range_end (total, cumulative, offers);
		cumulative += h->offers;
		int64_t n = range_end (total, cumulative, offers) - from;
		h->held -= n;
		h->free = positive (h->free - n);
	}
}

/* Moves up to `most` slots from offers to takes, both in proportion. Offers and takes are laid
 * out as ranges on the same axis; a daemon lends to the takers whose ranges overlap its own. */
static void
move_slots (cs_view_t *v, int64_t most)
{
	int64_t offers = 0, takes = 0, before_self = 0, cumulative = 0;
	for (size_t i = 0; i < v->n; i++) {
		before_self = i == v->self ? offers : before_self;
		offers += v->holders[i].offers;
		takes += v->holders[i].takes;
	}
	int64_t total = min_i64 (most, min_i64 (offers, takes));
	int64_t begin = range_end (total, before_self, offers);
	int64_t end = range_end (total, before_self + v->holders[v->self].offers, offers);
	for (size_t i = 0; i < v->n; i++) {
		cs_holder_t *h = &v->holders[i];
		int64_t from = range_end (total, cumulative, takes);
		cumulative += h->takes;
		int64_t to = range_end (total, cumulative, takes);
		int64_t n = min_i64 (end, to) - (begin > from ? begin : from);
		if (n > 0 && !h->is_self)
			lend_to (v, h, n);
		h->held += to - from;
		h->free += to - from;
	}
	deduct_offers (v, total, offers);
}

/* Lends free slots that their holders do not want to daemons that want more than they have. */
static void
lend_spare (cs_view_t *v)
{
	for (size_t i = 0; i < v->n; i++) {
		cs_holder_t *h = &v->holders[i];
		h->takes = positive (h->wanted - h->free);
		h->offers =
			h->takes ? 0
				 : positive (h->free - (h->wanted > h->unlendable ? h->wanted
										  : h->unlendable));
	}
	move_slots (v, INT64_MAX);
}

static int64_t
demand_weight (cs_limit_dim_t dim, const cs_holder_t *h)
{
	return h->wanted + (dim == CS_DIM_CONCURRENT ? positive (h->held - h->free) : 0);
}

/* Moves slots to daemons that hold less than their fair share, in proportion to demand. */
static void
lend_fairly (cs_view_t *v)
{
	int64_t all = 0, held = 0, unfair = 0;
	for (size_t i = 0; i < v->n; i++) {
		all += demand_weight (v->dim, &v->holders[i]);
		held += positive (v->holders[i].held - v->holders[i].unlendable);
	}
	for (size_t i = 0; i < v->n; i++) {
		cs_holder_t *h = &v->holders[i];
		int64_t fair = h->unlendable + range_end (held, demand_weight (v->dim, h), all);
		int64_t slack = fair / SLACK_DIVISOR;
		h->takes =
			min_i64 (positive (h->wanted - h->free), positive (fair - slack - h->held));
		h->offers = positive (h->held - fair - slack - 1);
		unfair += h->takes;
	}
	move_slots (v, (unfair + FAIRNESS_DIVISOR - 1) / FAIRNESS_DIVISOR);
}

static bool
holds_no_slots (const cs_holder_t *h)
{
	return !h->held && h->wanted > 0;
}

/* Number of daemons without slots that have waited longer than the given one. */
static size_t
count_before (const cs_view_t *v, size_t i)
{
	size_t n = 0;
	for (size_t k = 0; k < v->n; k++) {
		int64_t longer = v->holders[k].waiting_s - v->holders[i].waiting_s;
		n += holds_no_slots (&v->holders[k]) && (longer > 0 || (!longer && k < i));
	}
	return n;
}

/* If there are fewer slots than daemons, gives the next slots that are freed to the daemons
 * that hold none, longest wait first. */
static void
lend_in_turn (cs_view_t *v)
{
	int64_t longest = -1;
	size_t n = 0;
	for (size_t i = 0; i < v->n; i++)
		if (holds_no_slots (&v->holders[i]) && v->holders[i].waiting_s > longest)
			longest = v->holders[i].waiting_s;
	for (size_t i = 0; i < v->n && longest >= 0; i++) {
		cs_holder_t *h = &v->holders[i];
		bool is_its_turn = h->free > 0 && h->waiting_s + TURN_TOLERANCE_S >= longest;
		h->offers = h->held > 0 && !is_its_turn;
		n += h->offers > 0;
	}
	for (size_t i = 0; i < v->n && longest >= 0; i++) {
		cs_holder_t *h = &v->holders[i];
		h->takes = holds_no_slots (h) && count_before (v, i) < n;
		/* slots that a borrower returns to this daemon are for others */
		if (h->is_self && holds_no_slots (h) && !h->takes)
			v->owed++;
	}
	if (longest >= 0)
		move_slots (v, INT64_MAX);
}

/* If no daemon lacks slots, spreads those that are free and not wanted in proportion to the own
 * parts, so that they are available for new demand. */
static void
lend_evenly (cs_view_t *v)
{
	int64_t rest = 0, parts = 0, uneven = 0, wanted = 0;
	for (size_t i = 0; i < v->n; i++) {
		const cs_holder_t *h = &v->holders[i];
		if (h->wanted > h->free)
			return;
		rest += h->free - h->wanted;
		wanted += h->wanted;
		parts += h->part;
	}
	for (size_t i = 0; i < v->n; i++) {
		cs_holder_t *h = &v->holders[i];
		int64_t fair = h->wanted + range_end (rest, h->part, parts);
		int64_t slack = wanted ? fair / SLACK_DIVISOR + 1 : 0;
		h->takes = positive (fair - slack - h->free);
		h->offers = positive (h->free - fair - slack);
		uneven += h->takes;
	}
	move_slots (v, (uneven + EVEN_SPREAD_DIVISOR - 1) / EVEN_SPREAD_DIVISOR);
}

static void
update_lendable (cs_quota_t *q, const cs_view_t *v)
{
	int64_t takers = 1;
	q->lendable = 0;
	for (size_t i = 0; i < v->n; i++) {
		const cs_holder_t *h = &v->holders[i];
		if (h->is_self)
			continue;
		takers += h->wanted > h->free;
		q->lendable += positive (h->free - h->unlendable - h->wanted);
	}
	q->lendable /= takers;
}

void
cs_limits_lend (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim)
{
	cs_quota_t *q = &t->quotas[dim];
	cs_view_t v = {.limits = l, .team = t, .dim = dim, .now_ms = now_ms};
	q->withheld = 0;
	if (!q->limit || l->options.disabled & CS_LIMITS_NO_LENDING)
		return;
	v.holders = cs_alloc ((l->n_members + 1) * sizeof *v.holders);
	cs_window_pay_debt (&q->window, now_ms, cs_limits_free (l, now_ms, t, dim));
	collect_holders (&v);
	if (v.n > 1 && v.holders[v.self].is_self) {
		update_growth (q, now_ms, v.holders[v.self].part);
		update_lendable (q, &v);
		v.holders[v.self].wanted = cs_quota_wanted (q, now_ms);
		lend_evenly (&v);
		lend_spare (&v);
		v.owed = 0;
		lend_fairly (&v);
		lend_in_turn (&v);
		q->withheld = v.owed;
		q->held_until_ms = INT64_MIN;
	}
	free (v.holders);
}
