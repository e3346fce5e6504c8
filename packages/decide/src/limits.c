#include "cs/limits.h"

#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "limits_impl.h"

enum {
	STALE_MS = 5000,
	RETRY_MIN_MS = 100,
	/* how long a change is reported; losing every heartbeat for so long is a partition */
	REPORT_CHANGE_MS = 10000,
	/* from a refusal to the arrival of a loan: two heartbeats and their transit */
	LOAN_DELAY_MS = 3000
};

static const double duration_smoothing = 0.1;

void
cs_limits_init (cs_limits_t *l, const cs_limits_options_t *options)
{
	memset (l, 0, sizeof *l);
	l->options = *options;
	if (!l->options.stale_ms)
		l->options.stale_ms = STALE_MS;
}

static void
drop_team (cs_limits_t *l, cs_team_limit_t *t)
{
	cs_limits_drop_accounts (t);
	for (int dim = 0; dim < CS_DIMS; dim++)
		cs_retry_schedule_finish (&t->quotas[dim].retries);
	HASH_DEL (l->teams, t);
	free (t->name);
	free (t);
}

void
cs_limits_finish (cs_limits_t *l)
{
	cs_team_limit_t *t, *next;
	cs_limits_peer_t *p, *next_peer;
	HASH_ITER (hh, l->teams, t, next) {
		drop_team (l, t);
	}
	HASH_ITER (hh, l->peers, p, next_peer) {
		cs_limits_drop_peer (l, p);
	}
}

static cs_team_limit_t *
find_team_by_hash (const cs_limits_t *l, uint64_t hash)
{
	cs_team_limit_t *t;
	HASH_FIND (hh, l->teams, &hash, sizeof hash, t);
	return t;
}

static cs_team_limit_t *
find_team (const cs_limits_t *l, const char *team)
{
	return find_team_by_hash (l, cs_hash (cs_str (team)));
}

/* Discards loans and slots deferred of a concurrent limit, which were counted against the old
 * limit. Slots in use stay occupied unless the limit is introduced or removed. */
static void
set_limit (cs_team_limit_t *t, cs_limit_dim_t dim, uint64_t limit)
{
	cs_quota_t *q = &t->quotas[dim];
	if (q->limit == limit)
		return;
	if (!q->limit || !limit || dim == CS_DIM_CONCURRENT)
		memset (&q->window, 0, sizeof q->window);
	cs_retry_schedule_finish (&q->retries);
	q->limit = limit;
	q->held_until_ms = INT64_MIN;
	q->withheld = q->lendable = q->growth = 0;
	for (cs_account_t *a = t->accounts; a; a = a->hh.next) {
		a->given[dim] = 0;
		memset (&a->report.quotas[dim], 0, sizeof a->report.quotas[dim]);
	}
}

void
cs_limits_set (cs_limits_t *l, int64_t now_ms, const char *team, const Cs__Limits *limits)
{
	(void)now_ms;
	cs_team_limit_t *t = find_team (l, team);
	if (!limits) {
		if (t)
			drop_team (l, t);
		return;
	}
	if (!t) {
		t = cs_alloc (sizeof *t);
		t->name = cs_str_dup (cs_str (team));
		t->hash = cs_hash (cs_str (team));
		HASH_ADD (hh, l->teams, hash, sizeof t->hash, t);
	}
	set_limit (t, CS_DIM_REQUESTS, limits->requests_per_minute);
	set_limit (t, CS_DIM_TOKENS, limits->tokens_per_minute);
	set_limit (t, CS_DIM_CONCURRENT, limits->concurrent);
}

static uint64_t
stricter_limit (uint64_t a, uint64_t b)
{
	if (!a || !b)
		return a ? a : b;
	return a < b ? a : b;
}

void
cs_limits_stricter (const Cs__Limits *a, const Cs__Limits *b, Cs__Limits *out)
{
	cs__limits__init (out);
	out->requests_per_minute = stricter_limit (a->requests_per_minute, b->requests_per_minute);
	out->tokens_per_minute = stricter_limit (a->tokens_per_minute, b->tokens_per_minute);
	out->concurrent = (uint32_t)stricter_limit (a->concurrent, b->concurrent);
}

void
cs_limits_tick (cs_limits_t *l, int64_t now_ms)
{
	for (cs_team_limit_t *t = l->teams; t; t = t->hh.next) {
		cs_limits_revoke_loans (l, now_ms, t);
		for (int dim = 0; dim < CS_DIMS; dim++) {
			cs_retry_schedule_advance (&t->quotas[dim].retries, now_ms);
			cs_limits_lend (l, now_ms, t, (cs_limit_dim_t)dim);
		}
	}
}

bool
cs_limits_make_report (cs_limits_t *l, int64_t now_ms, uint64_t peer, const char *team,
		       cs_team_report_t *out)
{
	cs_team_limit_t *t = find_team (l, team);
	bool any = false;
	memset (out, 0, sizeof *out);
	for (int dim = 0; t && dim < CS_DIMS; dim++) {
		const cs_quota_t *q = &t->quotas[dim];
		const cs_account_t *a = cs_limits_get_account (t, peer);
		cs_quota_report_t *r = &out->quotas[dim];
		int64_t held = cs_limits_held (l, now_ms, t, (cs_limit_dim_t)dim);
		int64_t free = cs_limits_free (l, now_ms, t, (cs_limit_dim_t)dim);
		int64_t reserved = q->withheld + cs_retry_schedule_reserved_soon (&q->retries);
		if (!q->limit)
			continue;
		r->limit = q->limit;
		r->held = held > 0 ? (uint64_t)held : 0;
		r->free = free > reserved ? (uint64_t)(free - reserved) : 0;
		r->wanted = (uint64_t)cs_quota_wanted (q, now_ms);
		r->given = a->given[dim];
		r->waiting_s = cs_quota_waiting_s (l, q, now_ms);
		any |= r->wanted > 0 || free != held || held != cs_limits_own_part (l, q->limit) ||
		       a->given[dim] > a->report.quotas[dim].given ||
		       now_ms - a->changed_ms < REPORT_CHANGE_MS;
	}
	return any;
}

/* Number of slots that must be free to admit a request. A request for more tokens than the
 * daemon holds is admitted if no other occupies any; the excess becomes debt. */
static int64_t
required_slots (const cs_quota_t *q, int64_t cost)
{
	bool is_idle = !q->window.occupied && !q->window.debt && !q->withheld && q->held > 0;
	return is_idle && cost > q->held ? q->held : cost;
}

/* Delay in ms after which a refused caller may retry. */
static int64_t
retry_delay_ms (const cs_limits_t *l, cs_quota_t *q, uint64_t fingerprint, int64_t free,
		int64_t need)
{
	if (l->options.disabled & CS_LIMITS_NO_RETRY_SCHEDULE)
		cs_retry_schedule_finish (&q->retries);
	if (q->lendable >= need - free) {
		q->lendable -= need - (free > 0 ? free : 0);
		return LOAN_DELAY_MS;
	}
	if (need > q->held && q->held > 0)
		need = q->held;
	return cs_retry_schedule_add (&q->retries, &q->window, fingerprint, free, need);
}

static int64_t
concurrent_retry_delay_ms (const cs_team_limit_t *t)
{
	const cs_quota_t *q = &t->quotas[CS_DIM_CONCURRENT];
	double ms = t->mean_duration_ms / (double)(q->in_use ? q->in_use : 1);
	if (q->lendable > 0 && ms > LOAN_DELAY_MS)
		return LOAN_DELAY_MS;
	return ms > RETRY_MIN_MS ? (int64_t)ms : RETRY_MIN_MS;
}

/* Returns the first limit with too few free slots for the request; sets its retry delay, ms. */
static cs_limit_kind_t
find_exceeded_limit (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t,
		     const int64_t cost[CS_DIMS], uint64_t fingerprint, int64_t *retry_after_ms)
{
	static const cs_limit_dim_t order[] = {CS_DIM_CONCURRENT, CS_DIM_REQUESTS, CS_DIM_TOKENS};
	static const cs_limit_kind_t kinds[CS_DIMS] = {CS_LIMIT_REQUESTS, CS_LIMIT_TOKENS,
						       CS_LIMIT_CONCURRENT};
	for (size_t i = 0; i < CS_DIMS; i++) {
		cs_quota_t *q = &t->quotas[order[i]];
		if (!q->limit)
			continue;
		int64_t free = cs_limits_free (l, now_ms, t, order[i]) - q->withheld;
		cs_retry_schedule_advance (&q->retries, now_ms);
		if (!cs_retry_schedule_is_due (&q->retries, fingerprint))
			free -= cs_retry_schedule_reserved (&q->retries);
		int64_t need = required_slots (q, cost[order[i]]);
		if (free >= need && free > 0)
			continue;
		q->has_refused = true;
		if (order[i] == CS_DIM_CONCURRENT)
			cs_quota_add_demand (q, now_ms, 1);
		*retry_after_ms = order[i] == CS_DIM_CONCURRENT
					  ? concurrent_retry_delay_ms (t)
					  : retry_delay_ms (l, q, fingerprint, free, need);
		return kinds[order[i]];
	}
	return CS_LIMIT_NONE;
}

/* Occupies slots for a minute; those in excess of the free slots become debt. */
static void
occupy_for_minute (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim,
		   int64_t n)
{
	cs_quota_t *q = &t->quotas[dim];
	int64_t free = cs_limits_free (l, now_ms, t, dim);
	int64_t available = n <= free ? n : (free > 0 ? free : 0);
	if (!q->limit)
		return;
	cs_window_occupy (&q->window, now_ms + CS_LIMITS_MINUTE_MS, available);
	q->window.debt += n - available;
}

cs_status_t
cs_limits_admit (cs_limits_t *l, int64_t now_ms, const char *team, uint32_t max_tokens,
		 uint64_t fingerprint, cs_limits_hold_t *hold, cs_limit_kind_t *kind,
		 int64_t *retry_after_ms)
{
	cs_team_limit_t *t = find_team (l, team);
	memset (hold, 0, sizeof *hold);
	*kind = CS_LIMIT_NONE;
	*retry_after_ms = 0;
	if (!t)
		return cs_fail (CS_NOT_FOUND, "no team %s", team);
	uint32_t tokens = max_tokens ? max_tokens : CS_LIMITS_DEFAULT_TOKENS;
	cs_quota_add_demand (&t->quotas[CS_DIM_REQUESTS], now_ms, 1);
	cs_quota_add_demand (&t->quotas[CS_DIM_TOKENS], now_ms, tokens);
	if (l->options.disabled & CS_LIMITS_NO_RESERVE)
		tokens = 0;
	const int64_t cost[CS_DIMS] = {1, tokens, 1};
	*kind = find_exceeded_limit (l, now_ms, t, cost, fingerprint, retry_after_ms);
	if (*kind != CS_LIMIT_NONE)
		return cs_fail (CS_EXHAUSTED, "a limit of team %s is reached", team);
	occupy_for_minute (l, now_ms, t, CS_DIM_REQUESTS, 1);
	occupy_for_minute (l, now_ms, t, CS_DIM_TOKENS, tokens);
	t->quotas[CS_DIM_CONCURRENT].in_use++;
	for (int dim = 0; dim < CS_DIMS; dim++) {
		t->quotas[dim].admitted_ms = now_ms;
		cs_retry_schedule_remove (&t->quotas[dim].retries, fingerprint);
	}
	hold->team = t->hash;
	hold->tokens = tokens;
	hold->since_ms = now_ms;
	return CS_OK;
}

/* Replaces the reserved tokens by the number generated. */
static void
correct_tokens (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, const cs_limits_hold_t *hold,
		uint32_t tokens)
{
	cs_window_t *w = &t->quotas[CS_DIM_TOKENS].window;
	cs_window_advance (w, now_ms);
	if (tokens > hold->tokens) {
		occupy_for_minute (l, now_ms, t, CS_DIM_TOKENS, tokens - hold->tokens);
		return;
	}
	int64_t unused = hold->tokens - tokens;
	int64_t owed = unused < w->debt ? unused : w->debt;
	w->debt -= owed;
	cs_window_release (w, hold->since_ms + CS_LIMITS_MINUTE_MS, unused - owed);
}

void
cs_limits_settle (cs_limits_t *l, int64_t now_ms, cs_limits_hold_t *hold, uint32_t tokens)
{
	cs_team_limit_t *t = hold->team ? find_team_by_hash (l, hold->team) : NULL;
	if (t) {
		cs_quota_t *q = &t->quotas[CS_DIM_CONCURRENT];
		correct_tokens (l, now_ms, t, hold, tokens);
		q->in_use -= q->in_use > 0;
		t->mean_duration_ms += duration_smoothing *
				       ((double)(now_ms - hold->since_ms) - t->mean_duration_ms);
	}
	memset (hold, 0, sizeof *hold);
}

cs_status_t
cs_limits_get_share (cs_limits_t *l, int64_t now_ms, const char *team, uint64_t held[CS_DIMS],
		     uint32_t *in_progress)
{
	cs_team_limit_t *t = find_team (l, team);
	if (!t)
		return cs_fail (CS_NOT_FOUND, "no team %s", team);
	for (int dim = 0; dim < CS_DIMS; dim++) {
		int64_t n = cs_limits_held (l, now_ms, t, (cs_limit_dim_t)dim);
		held[dim] = n > 0 ? (uint64_t)n : 0;
	}
	*in_progress = (uint32_t)t->quotas[CS_DIM_CONCURRENT].in_use;
	return CS_OK;
}
