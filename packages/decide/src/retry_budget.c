#include "cs/retry_budget.h"

#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "cs/str.h"

enum {
	RING = CS_RETRY_RING,
	SHARE_PERCENT = 95, /* the rest: requests that are received later than they are sent */
	USE_PERCENT = 10,   /* of a window: a part of the slack is used within it */
	WANTED_MS = 500,    /* for which a want of slack holds */
	SUPPLY_MS = 250,    /* for which a claim is to last: until the next one is granted */
	MS_PER_S = 1000,
	FIRST_ERA = 1 /* of a store that was never restored from a copy */
};

/* Also the slices of the two windows before a time near 0 are positive. */
static int64_t
slice_of (const cs_retry_budget_t *b, int64_t ms)
{
	return ms * CS_RETRY_SLICES / b->limits.window_ms + RING;
}

static int64_t
use_ms (const cs_retry_budget_t *b)
{
	return (int64_t)b->limits.window_ms * USE_PERCENT / 100;
}

/* From when a claim was read until no window has both its repeats and those of a later claim. */
static int64_t
claim_lasts_ms (const cs_retry_budget_t *b)
{
	return use_ms (b) + CS_RETRY_SEND_MS + b->limits.window_ms;
}

static void
wait_for_claims_to_end (cs_retry_budget_t *b, int64_t now_ms)
{
	if (!(b->disabled & CS_RETRY_BUDGET_NO_QUARANTINE))
		b->claims_from_ms = now_ms + claim_lasts_ms (b);
}

void
cs_retry_budget_init (cs_retry_budget_t *b, const cs_retry_limits_t *limits, uint64_t seed,
		      bool is_new_fleet, int64_t now_ms)
{
	memset (b, 0, sizeof *b);
	b->limits = *limits;
	if (b->limits.window_ms < CS_RETRY_SLICES)
		b->limits.window_ms = CS_RETRY_SLICES;
	b->next_id = seed;
	b->is_new_fleet = is_new_fleet;
	cs_rng_init (&b->rng, seed);
	wait_for_claims_to_end (b, now_ms);
}

static void
free_service (cs_retry_service_t *s)
{
	free (s->name);
	free (s);
}

void
cs_retry_budget_finish (cs_retry_budget_t *b)
{
	while (b->n_services)
		free_service (b->services[--b->n_services]);
}

void
cs_retry_budget_set_limits (cs_retry_budget_t *b, const cs_retry_limits_t *limits, int64_t now_ms)
{
	bool is_other_window = b->limits.window_ms != limits->window_ms;
	b->limits = *limits;
	if (b->limits.window_ms < CS_RETRY_SLICES)
		b->limits.window_ms = CS_RETRY_SLICES;
	if (!is_other_window)
		return;
	/* Slices of another length can't be counted on. */
	cs_retry_budget_finish (b);
	wait_for_claims_to_end (b, now_ms);
}

static bool
is_idle (const cs_retry_budget_t *b, const cs_retry_service_t *s, int64_t now_ms)
{
	return s->used_ms + 2 * (int64_t)b->limits.window_ms + CS_RETRY_SEND_MS < now_ms;
}

/* Makes room for a service that is new; false if all are in use. */
static bool
forget_idle (cs_retry_budget_t *b, int64_t now_ms)
{
	if (b->n_services < CS_RETRY_SERVICES)
		return true;
	for (size_t i = 0; i < b->n_services; i++) {
		if (!is_idle (b, b->services[i], now_ms))
			continue;
		free_service (b->services[i]);
		b->services[i] = b->services[--b->n_services];
		return true;
	}
	return false;
}

static cs_retry_service_t *
find_service (cs_retry_budget_t *b, uint64_t hash)
{
	for (size_t i = 0; i < b->n_services; i++)
		if (b->services[i]->hash == hash)
			return b->services[i];
	return NULL;
}

/* Clears the counts of the slices that enter the ring. */
static void
advance (const cs_retry_budget_t *b, cs_retry_service_t *s, int64_t now_ms)
{
	int64_t slice = slice_of (b, now_ms);
	if (slice - s->slice > RING)
		s->slice = slice - RING;
	while (s->slice < slice) {
		s->slice++;
		s->requests[s->slice % RING] = 0;
		s->repeats[s->slice % RING] = 0;
		s->wants[s->slice % RING] = 0;
	}
	s->used_ms = now_ms;
}

static cs_retry_service_t *
find_or_add (cs_retry_budget_t *b, const char *name, int64_t now_ms)
{
	if (b->disabled & CS_RETRY_BUDGET_NO_SERVICES)
		name = "";
	uint64_t hash = cs_hash (cs_str (name));
	cs_retry_service_t *s = find_service (b, hash);
	if (!s && forget_idle (b, now_ms)) {
		s = cs_alloc (sizeof *s);
		s->name = cs_str_dup (cs_str (name));
		s->hash = hash;
		b->services[b->n_services++] = s;
	}
	if (s)
		advance (b, s, now_ms);
	return s;
}

void
cs_retry_budget_count_request (cs_retry_budget_t *b, const char *service, int64_t received_ms,
			       int64_t now_ms)
{
	cs_retry_service_t *s = find_or_add (b, service, now_ms);
	int64_t slice = slice_of (b, received_ms);
	if (s && slice <= s->slice && slice > s->slice - RING)
		s->requests[slice % RING]++;
}

/* Slices within which a grant is sent. */
static int64_t
send_slices (const cs_retry_budget_t *b)
{
	int64_t n = ((int64_t)CS_RETRY_SEND_MS * CS_RETRY_SLICES + b->limits.window_ms - 1) /
		    b->limits.window_ms;
	return n < RING - 2 * CS_RETRY_SLICES ? n : RING - 2 * CS_RETRY_SLICES - 1;
}

/* Fills in the counts. Returns whether one more repeat keeps within the share for each window that
 * it may be sent in. Grants of slice i and later may be sent in the window that begins a sending
 * time behind i. */
static bool
share_allows (const cs_retry_budget_t *b, const cs_retry_service_t *s, cs_retry_decision_t *d)
{
	double factor = b->limits.ratio * SHARE_PERCENT / 100 / 2;
	int64_t send = send_slices (b);
	int64_t request = s->slice + 1; /* those from this slice on are counted */
	bool fits = true;
	/* Slices in part outside of a window count as inside for repeats and as outside for
	 * requests. */
	for (int64_t i = s->slice; i >= s->slice - CS_RETRY_SLICES - send; i--) {
		while (request > i + send - CS_RETRY_SLICES + 1)
			d->requests += s->requests[--request % RING];
		d->repeats += s->repeats[i % RING];
		fits &= d->repeats + 1 <= factor * d->requests;
	}
	d->allowed = (uint32_t)(factor * d->requests);
	return fits;
}

static uint32_t
slack_left (const cs_retry_budget_t *b, const cs_retry_service_t *s, int64_t now_ms)
{
	uint32_t left = 0;
	for (size_t i = 0; i < CS_RETRY_OWN_CLAIMS; i++)
		if (s->parts[i].until_ms > now_ms || (b->disabled & CS_RETRY_BUDGET_NO_EXPIRY))
			left += s->parts[i].n;
	return left;
}

/* The part that ends first goes first. */
static void
use_slack (const cs_retry_budget_t *b, cs_retry_service_t *s, int64_t now_ms)
{
	cs_retry_part_t *first = NULL;
	for (size_t i = 0; i < CS_RETRY_OWN_CLAIMS; i++) {
		cs_retry_part_t *p = &s->parts[i];
		if (!p->n || (p->until_ms <= now_ms && !(b->disabled & CS_RETRY_BUDGET_NO_EXPIRY)))
			continue;
		if (!first || p->until_ms < first->until_ms)
			first = p;
	}
	if (first)
		first->n--;
}

static uint32_t
claimed (const cs_retry_budget_t *b, uint64_t service, int64_t now_ms)
{
	if (b->disabled & CS_RETRY_BUDGET_NO_ROOM)
		return 0;
	uint64_t n = 0;
	for (size_t i = 0; i < b->n_claims; i++)
		if (b->claims[i].service == service && b->claims[i].until_ms > now_ms)
			n += b->claims[i].n;
	return n < UINT32_MAX / 2 ? (uint32_t)n : UINT32_MAX / 2;
}

static void
want_slack (cs_retry_service_t *s, bool is_again, int64_t now_ms)
{
	s->wants[s->slice % RING] += !is_again;
	s->wanted_ms = now_ms;
}

static uint32_t
wants_per_s (const cs_retry_budget_t *b, const cs_retry_service_t *s)
{
	uint32_t n = 0;
	int64_t slices = (int64_t)MS_PER_S * CS_RETRY_SLICES / b->limits.window_ms;
	for (int64_t i = s->slice; i > s->slice - slices && i >= 0; i--)
		n += s->wants[i % RING];
	return n;
}

/* As many as are wanted until the next claim is granted. */
static uint32_t
claim_size (const cs_retry_budget_t *b, const cs_retry_service_t *s, uint32_t room)
{
	uint32_t n = 1 + wants_per_s (b, s) * SUPPLY_MS / MS_PER_S;
	uint32_t most = (uint32_t)(b->limits.slack / CS_RETRY_MIN_CLAIMS);
	n = n < most ? n : most;
	n = n > 1 ? n : 1;
	return n < room ? n : room;
}

static bool
is_pending (const cs_retry_budget_t *b, const cs_retry_service_t *s, int64_t now_ms)
{
	return s->pending_id && now_ms - s->pending_ms < use_ms (b);
}

static bool
may_claim (const cs_retry_budget_t *b, int64_t now_ms)
{
	return b->follows && now_ms >= b->claims_from_ms;
}

cs_retry_decision_t
cs_retry_budget_acquire (cs_retry_budget_t *b, const char *service, bool is_again, int64_t now_ms)
{
	cs_retry_decision_t d = {0};
	cs_retry_service_t *s = find_or_add (b, service, now_ms);
	if (!s)
		return d;
	bool fits = share_allows (b, s, &d) || (b->disabled & CS_RETRY_BUDGET_NO_SHARE);
	d.slack_left = slack_left (b, s, now_ms);
	d.claimed = claimed (b, s->hash, now_ms);
	if (fits) {
		d.grant = CS_RETRY_GRANT_SHARE;
		d.repeats++;
		s->repeats[s->slice % RING]++;
		return d;
	}
	want_slack (s, is_again, now_ms);
	if (!d.slack_left)
		return d;
	d.grant = CS_RETRY_GRANT_SLACK;
	d.slack_left--;
	use_slack (b, s, now_ms);
	return d;
}

bool
cs_retry_budget_may_come (cs_retry_budget_t *b, const char *service, int64_t now_ms)
{
	const cs_retry_service_t *s = find_or_add (b, service, now_ms);
	return s && may_claim (b, now_ms) && is_pending (b, s, now_ms);
}

static bool
wants_claim (const cs_retry_budget_t *b, const cs_retry_service_t *s, int64_t now_ms)
{
	return s->wanted_ms && now_ms - s->wanted_ms < WANTED_MS && !is_pending (b, s, now_ms) &&
	       slack_left (b, s, now_ms) <= wants_per_s (b, s) * SUPPLY_MS / MS_PER_S;
}

/* Where daemons claim more than there is room for, each claims less often: those that find no room
 * would take it from others. */
static bool
gives_way (cs_retry_budget_t *b, uint64_t service, uint32_t room, int64_t now_ms)
{
	uint64_t heard = 0;
	int64_t since_ms = now_ms + claim_lasts_ms (b) - MS_PER_S;
	for (size_t i = 0; i < b->n_claims; i++)
		if (b->claims[i].service == service && b->claims[i].until_ms > since_ms)
			heard += b->claims[i].n;
	heard = heard < UINT32_MAX ? heard : UINT32_MAX;
	return !(b->disabled & CS_RETRY_BUDGET_NO_ROOM) && heard > room &&
	       cs_rng_below (&b->rng, (uint32_t)heard) >= room;
}

bool
cs_retry_budget_next_claim (cs_retry_budget_t *b, int64_t now_ms, cs_retry_claim_t *out)
{
	if (!may_claim (b, now_ms))
		return false;
	for (size_t i = 0; i < b->n_services; i++) {
		cs_retry_service_t *s = b->services[i];
		uint32_t slack = (uint32_t)b->limits.slack;
		if (!wants_claim (b, s, now_ms))
			continue;
		uint32_t taken = claimed (b, s->hash, now_ms);
		if (taken >= slack || gives_way (b, s->hash, slack - taken, now_ms))
			continue;
		s->pending_n = claim_size (b, s, slack - taken);
		s->wanted_ms = 0;
		s->pending_id = ++b->next_id;
		s->pending_ms = now_ms;
		*out = (cs_retry_claim_t){s->name, s->pending_n, s->pending_id};
		return true;
	}
	return false;
}

void
cs_retry_budget_follow (cs_retry_budget_t *b, int64_t now_ms, uint64_t era, uint64_t offset,
			uint64_t n)
{
	bool is_first = !b->follows && b->is_new_fleet && era <= FIRST_ERA && !offset;
	if (is_first)
		b->claims_from_ms = 0;
	else if (!b->follows || b->era != era || b->next_offset != offset)
		wait_for_claims_to_end (b, now_ms);
	b->follows = true;
	b->era = era;
	b->next_offset = offset + n;
}

static void
add_claimed (cs_retry_budget_t *b, int64_t now_ms, uint64_t service, const cs_retry_claim_t *c)
{
	int64_t slice_ms = b->limits.window_ms / CS_RETRY_SLICES;
	int64_t until_ms = (now_ms + claim_lasts_ms (b)) / slice_ms * slice_ms + slice_ms;
	size_t kept = 0;
	for (size_t i = 0; i < b->n_claims; i++)
		if (b->claims[i].until_ms > now_ms)
			b->claims[kept++] = b->claims[i];
	b->n_claims = kept;
	for (size_t i = 0; i < kept; i++) {
		if (b->claims[i].service != service || b->claims[i].until_ms != until_ms)
			continue;
		b->claims[i].n += c->n;
		return;
	}
	if (kept == CS_RETRY_CLAIMS)
		wait_for_claims_to_end (b, now_ms);
	else
		b->claims[b->n_claims++] = (cs_retry_claimed_t){service, c->n, until_ms};
}

/* The pending claim is granted if the claims before it leave room, and time is left to use it. */
static bool
grant_pending (cs_retry_budget_t *b, cs_retry_service_t *s, int64_t now_ms)
{
	uint32_t taken = claimed (b, s->hash, now_ms);
	int64_t until_ms = s->pending_ms + use_ms (b);
	bool fits = taken + s->pending_n <= (uint32_t)b->limits.slack;
	s->pending_id = 0;
	if (!fits || now_ms >= until_ms || now_ms < b->claims_from_ms)
		return false;
	for (size_t i = 0; i < CS_RETRY_OWN_CLAIMS; i++) {
		if (s->parts[i].n && s->parts[i].until_ms > now_ms)
			continue;
		s->parts[i] = (cs_retry_part_t){s->pending_n, until_ms};
		return true;
	}
	return false;
}

bool
cs_retry_budget_hear (cs_retry_budget_t *b, int64_t now_ms, const cs_retry_claim_t *claim,
		      bool is_own)
{
	uint64_t hash = cs_hash (cs_str (claim->service));
	cs_retry_service_t *s = is_own ? find_service (b, hash) : NULL;
	bool is_granted =
		s && s->pending_id == claim->id && claim->id && grant_pending (b, s, now_ms);
	add_claimed (b, now_ms, hash, claim);
	return is_granted;
}

const char *
cs_retry_grant_name (cs_retry_grant_t grant)
{
	static const char *const names[] = {[CS_RETRY_GRANT_NONE] = "none",
					    [CS_RETRY_GRANT_SHARE] = "share",
					    [CS_RETRY_GRANT_SLACK] = "slack"};
	return names[grant];
}
