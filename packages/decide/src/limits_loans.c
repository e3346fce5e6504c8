/* Accounting of slots: own parts, loans lent and borrowed, expiry of loans. */
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "limits_impl.h"

enum {
	/* multiple of stale_ms after which a loan to a silent peer is revoked */
	REVOKE_STALE_FACTOR = 4
};

static int64_t
positive (int64_t a)
{
	return a > 0 ? a : 0;
}

cs_account_t *
cs_limits_get_account (cs_team_limit_t *t, uint64_t peer)
{
	cs_account_t *a;
	HASH_FIND (hh, t->accounts, &peer, sizeof peer, a);
	if (a)
		return a;
	a = cs_alloc (sizeof *a);
	a->peer = peer;
	a->changed_ms = a->revoked_ms = INT64_MIN / 2;
	HASH_ADD (hh, t->accounts, peer, sizeof a->peer, a);
	return a;
}

void
cs_limits_drop_accounts (cs_team_limit_t *t)
{
	cs_account_t *a, *next;
	HASH_ITER (hh, t->accounts, a, next) {
		HASH_DEL (t->accounts, a);
		free (a);
	}
}

int64_t
cs_limits_part (const cs_limits_t *l, uint64_t limit, size_t rank)
{
	if (!l->n_members)
		return 0;
	return (int64_t)(limit * (rank + 1) / l->n_members - limit * rank / l->n_members);
}

static cs_limits_peer_t *
find_peer (const cs_limits_t *l, uint64_t incarnation)
{
	cs_limits_peer_t *p;
	HASH_FIND (hh, l->peers, &incarnation, sizeof incarnation, p);
	return p;
}

int64_t
cs_limits_own_part (const cs_limits_t *l, uint64_t limit)
{
	const cs_limits_peer_t *self = find_peer (l, l->options.incarnation);
	return self ? cs_limits_part (l, limit, self->rank) : 0;
}

bool
cs_limits_has_recent_heartbeat (const cs_limits_t *l, const cs_limits_peer_t *p, int64_t now_ms)
{
	return p->incarnation != l->options.incarnation && p->has_heartbeat &&
	       now_ms - p->heartbeat_ms <= l->options.stale_ms;
}

/* What the peer has lent to this daemon; negative: what the peer has borrowed. */
static int64_t
loan_balance (const cs_account_t *a, cs_limit_dim_t dim)
{
	return (int64_t)(a->report.quotas[dim].given - a->given[dim]);
}

/* Expiry time of a loan; INT64_MIN if it must not be used. */
static int64_t
loan_expiry_ms (const cs_limits_t *l, const cs_account_t *a, cs_limit_dim_t dim, int64_t now_ms)
{
	const cs_limits_peer_t *p = find_peer (l, a->peer);
	if (!a->report.quotas[dim].limit || a->is_revocation_pending)
		return INT64_MIN;
	if (l->options.disabled & CS_LIMITS_NO_LOAN_EXPIRY)
		return INT64_MAX;
	if (!p || !cs_limits_has_recent_heartbeat (l, p, now_ms) ||
	    a->report_heartbeat != p->n_heartbeats)
		return INT64_MIN;
	return p->heartbeat_ms + l->options.stale_ms;
}

int64_t
cs_limits_borrowed (const cs_limits_t *l, int64_t now_ms, const cs_account_t *a, cs_limit_dim_t dim)
{
	int64_t b = loan_balance (a, dim);
	return b > 0 && loan_expiry_ms (l, a, dim, now_ms) == INT64_MIN ? 0 : b;
}

int64_t
cs_limits_held (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim)
{
	cs_quota_t *q = &t->quotas[dim];
	if (now_ms <= q->held_until_ms)
		return q->held;
	q->held = cs_limits_own_part (l, q->limit);
	q->held_until_ms = INT64_MAX;
	for (const cs_account_t *a = t->accounts; a; a = a->hh.next) {
		int64_t b = loan_balance (a, dim);
		int64_t until = b > 0 ? loan_expiry_ms (l, a, dim, now_ms) : INT64_MAX;
		if (until == INT64_MIN)
			continue;
		q->held += b;
		q->held_until_ms = until < q->held_until_ms ? until : q->held_until_ms;
	}
	return q->held;
}

int64_t
cs_limits_free (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim)
{
	cs_quota_t *q = &t->quotas[dim];
	cs_window_advance (&q->window, now_ms);
	return cs_limits_held (l, now_ms, t, dim) - q->window.occupied - q->in_use;
}

static void
invalidate_held (cs_team_limit_t *t)
{
	for (int dim = 0; dim < CS_DIMS; dim++)
		t->quotas[dim].held_until_ms = INT64_MIN;
}

/* Keeps regained slots occupied until their use by the previous holder has left the window. */
static void
defer_slots (cs_limits_t *l, int64_t now_ms, cs_quota_t *q, int64_t n)
{
	if (l->options.disabled & CS_LIMITS_NO_SLOT_DELAY)
		return;
	cs_window_advance (&q->window, now_ms);
	cs_window_defer (&q->window,
			 now_ms + 2 * (int64_t)l->options.stale_ms + CS_LIMITS_MINUTE_MS, n);
}

/* Keeps the slots held less those deferred from rising as the members change: slots gained are
 * deferred, and of those lost the deferred ones go first. A negative number held is what others
 * have borrowed, whose loss takes no deferred slots along. */
static void
defer_change (cs_limits_t *l, int64_t now_ms, cs_quota_t *q, int64_t held_before, int64_t held)
{
	int64_t lost = positive (held_before) - positive (held);
	cs_window_advance (&q->window, now_ms);
	cs_window_release_deferred (&q->window, lost);
	defer_slots (l, now_ms, q, held - held_before);
}

static void
mark_revoked (cs_account_t *a, int64_t now_ms)
{
	a->changed_ms = a->revoked_ms = now_ms;
	a->is_revocation_pending = true;
}

static void
revoke_loans_to (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_account_t *a)
{
	for (int dim = 0; dim < CS_DIMS; dim++) {
		int64_t lent = -loan_balance (a, (cs_limit_dim_t)dim);
		if (lent <= 0)
			continue;
		a->given[dim] -= (uint64_t)lent;
		mark_revoked (a, now_ms);
		defer_slots (l, now_ms, &t->quotas[dim], lent);
	}
}

/* Slots of loans to this daemon that must not be used now, but may again. */
static int64_t
lapsed_slots (const cs_limits_t *l, int64_t now_ms, const cs_team_limit_t *t, cs_limit_dim_t dim)
{
	int64_t n = 0;
	for (const cs_account_t *a = t->accounts; a; a = a->hh.next)
		n += positive (loan_balance (a, dim)) -
		     positive (cs_limits_borrowed (l, now_ms, a, dim));
	return n;
}

/* Revokes loans in excess of the own part, which shrinks when members join. Where loans to this
 * daemon have lapsed, the revoked slots are held in their place and in addition once these are
 * back, so they are deferred. */
static void
revoke_excess_loans (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim)
{
	int64_t lapsed = lapsed_slots (l, now_ms, t, dim);
	for (cs_account_t *a = t->accounts; a; a = a->hh.next) {
		int64_t missing = -cs_limits_held (l, now_ms, t, dim);
		int64_t lent = -loan_balance (a, dim);
		int64_t n = lent < missing ? lent : missing;
		if (missing <= 0)
			return;
		if (lent <= 0)
			continue;
		a->given[dim] -= (uint64_t)n;
		mark_revoked (a, now_ms);
		defer_slots (l, now_ms, &t->quotas[dim], n < lapsed ? n : lapsed);
		lapsed = positive (lapsed - n);
		invalidate_held (t);
	}
}

void
cs_limits_revoke_loans (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t)
{
	for (cs_account_t *a = t->accounts; a; a = a->hh.next) {
		const cs_limits_peer_t *p = find_peer (l, a->peer);
		if (!p || !p->has_heartbeat ||
		    now_ms - p->heartbeat_ms > REVOKE_STALE_FACTOR * (int64_t)l->options.stale_ms)
			revoke_loans_to (l, now_ms, t, a);
	}
	invalidate_held (t);
	for (int dim = 0; dim < CS_DIMS; dim++)
		revoke_excess_loans (l, now_ms, t, (cs_limit_dim_t)dim);
}

void
cs_limits_drop_peer (cs_limits_t *l, cs_limits_peer_t *p)
{
	for (cs_team_limit_t *t = l->teams; t; t = t->hh.next) {
		cs_account_t *a;
		HASH_FIND (hh, t->accounts, &p->incarnation, sizeof p->incarnation, a);
		if (!a)
			continue;
		HASH_DEL (t->accounts, a);
		free (a);
	}
	HASH_DEL (l->peers, p);
	free (p);
}

static void
set_joined (cs_limits_t *l, uint64_t incarnation)
{
	cs_limits_peer_t *p = find_peer (l, incarnation);
	if (!p) {
		p = cs_alloc (sizeof *p);
		p->incarnation = incarnation;
		HASH_ADD (hh, l->peers, incarnation, sizeof p->incarnation, p);
	}
	p->is_joined = true;
}

static int
compare_incarnations (const cs_limits_peer_t *a, const cs_limits_peer_t *b)
{
	return (a->incarnation > b->incarnation) - (a->incarnation < b->incarnation);
}

/* Replaces the set of joined daemons; returns whether it has changed. */
static bool
set_members (cs_limits_t *l, const uint64_t *incarnations, size_t n)
{
	cs_limits_peer_t *p, *next;
	size_t before = HASH_COUNT (l->peers);
	size_t rank = 0;
	bool left = false;
	for (p = l->peers; p; p = p->hh.next)
		p->is_joined = false;
	for (size_t i = 0; i < n; i++)
		set_joined (l, incarnations[i]);
	HASH_ITER (hh, l->peers, p, next) {
		left |= !p->is_joined;
		if (!p->is_joined)
			cs_limits_drop_peer (l, p);
	}
	l->n_members = HASH_COUNT (l->peers);
	HASH_SRT (hh, l->peers, compare_incarnations);
	for (p = l->peers; p; p = p->hh.next)
		p->rank = rank++;
	return left || l->n_members != before;
}

void
cs_limits_set_members (cs_limits_t *l, int64_t now_ms, const uint64_t *incarnations, size_t n)
{
	size_t n_teams = HASH_COUNT (l->teams);
	int64_t (*held)[CS_DIMS] = cs_alloc ((n_teams + 1) * sizeof *held);
	/* the part that a daemon gets as it joins is usable at once */
	bool was_member = find_peer (l, l->options.incarnation) != NULL;
	size_t i = 0;
	for (cs_team_limit_t *t = l->teams; t; t = t->hh.next, i++)
		for (int dim = 0; dim < CS_DIMS; dim++)
			held[i][dim] = cs_limits_held (l, now_ms, t, (cs_limit_dim_t)dim);
	bool changed = set_members (l, incarnations, n);
	i = 0;
	for (cs_team_limit_t *t = l->teams; changed && t; t = t->hh.next, i++) {
		invalidate_held (t);
		for (int dim = 0; dim < CS_DIMS && was_member; dim++) {
			int64_t now_held = cs_limits_held (l, now_ms, t, (cs_limit_dim_t)dim);
			defer_change (l, now_ms, &t->quotas[dim], held[i][dim], now_held);
		}
		cs_limits_revoke_loans (l, now_ms, t);
	}
	free (held);
}

void
cs_limits_record_heartbeat (cs_limits_t *l, int64_t at_ms, uint64_t incarnation)
{
	cs_limits_peer_t *p = find_peer (l, incarnation);
	if (!p || (p->has_heartbeat && at_ms < p->heartbeat_ms))
		return;
	p->has_heartbeat = true;
	p->heartbeat_ms = at_ms;
	p->n_heartbeats++;
	for (cs_team_limit_t *t = l->teams; t; t = t->hh.next)
		invalidate_held (t);
}

/* Handles the first report of a peer sent after it could read that its loan was revoked. The
 * peer lacks the slots that it had returned in the meantime and may first have to revoke loans
 * of its own, so these slots are deferred. */
static void
end_revocation (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_account_t *a)
{
	a->is_revocation_pending = false;
	for (int dim = 0; dim < CS_DIMS; dim++)
		defer_slots (l, now_ms, &t->quotas[dim], loan_balance (a, (cs_limit_dim_t)dim));
}

void
cs_limits_record_report (cs_limits_t *l, int64_t now_ms, int64_t at_ms, uint64_t incarnation,
			 const char *team, const cs_team_report_t *report)
{
	const cs_limits_peer_t *p = find_peer (l, incarnation);
	uint64_t hash = cs_hash (cs_str (team));
	cs_team_limit_t *t;
	HASH_FIND (hh, l->teams, &hash, sizeof hash, t);
	if (!p || !t || !p->has_heartbeat || at_ms < p->heartbeat_ms)
		return;
	cs_account_t *a = cs_limits_get_account (t, incarnation);
	a->report_heartbeat = p->n_heartbeats;
	for (int dim = 0; dim < CS_DIMS; dim++) {
		cs_quota_report_t *r = &a->report.quotas[dim];
		/* figures that refer to a different limit are not comparable */
		if (report->quotas[dim].limit == t->quotas[dim].limit) {
			*r = report->quotas[dim];
		} else
			*r = (cs_quota_report_t){.given = r->given};
	}
	if (a->is_revocation_pending && at_ms >= a->revoked_ms)
		end_revocation (l, now_ms, t, a);
	invalidate_held (t);
}
