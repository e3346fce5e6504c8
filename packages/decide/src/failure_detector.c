#include "cs/failure_detector.h"

#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "log_internal.h"

void
cs_detector_init (cs_detector_t *h, uint64_t own_incarnation, uint64_t seed, unsigned disabled)
{
	*h = (cs_detector_t){0};
	h->me = own_incarnation;
	h->seed = seed;
	h->tick_ms = -1;
	h->started_ms = -1;
	h->paused_ms = -1;
	h->disabled = disabled;
}

static void
remove_peer (cs_detector_t *h, cs_peer_t *peer)
{
	HASH_DEL (h->peers, peer);
	free (peer->silent);
	free (peer);
}

void
cs_detector_finish (cs_detector_t *h)
{
	while (h->peers)
		remove_peer (h, h->peers);
	free (h->silent);
}

cs_peer_t *
cs_detector_find_peer (const cs_detector_t *h, uint64_t incarnation)
{
	cs_peer_t *peer;
	HASH_FIND (hh, h->peers, &incarnation, sizeof incarnation, peer);
	return peer;
}

static void
add_peer (cs_detector_t *h, cs_peer_t *peer)
{
	HASH_ADD (hh, h->peers, incarnation, sizeof peer->incarnation, peer);
}

cs_peer_t *
cs_detector_ensure_peer (cs_detector_t *h, uint64_t incarnation, int64_t now_ms)
{
	cs_peer_t *peer = cs_detector_find_peer (h, incarnation);
	if (peer)
		return peer;
	peer = cs_alloc (sizeof *peer);
	peer->incarnation = incarnation;
	peer->echoed_sent_ms = -1;
	peer->silence_start_ms = now_ms;
	peer->silent_list_ms = -1;
	peer->exclude_proposed_ms = -1;
	add_peer (h, peer);
	return peer;
}

/* Discards all round trips and nonces, so that packets sent before the pause do not count. */
static void
discard_round_trips (cs_detector_t *h, int64_t now_ms)
{
	for (cs_peer_t *peer = h->peers; peer; peer = peer->hh.next) {
		peer->echoed_sent_ms = -1;
		peer->silence_start_ms = now_ms;
		peer->silent_list_ms = -1;
	}
	memset (h->nonces, 0, sizeof h->nonces);
	h->paused_ms = now_ms;
	h->catch_up_offset = 0;
}

/* Returns true, and records a pause that ends now, if the last tick is more than
 * CS_PAUSE_THRESHOLD_MS ago. */
static bool
detect_pause (cs_detector_t *h, int64_t now_ms)
{
	bool was_paused = h->tick_ms >= 0 && now_ms - h->tick_ms > CS_PAUSE_THRESHOLD_MS;
	if (!was_paused || (h->disabled & CS_DETECTOR_NO_PAUSE))
		return false;
	discard_round_trips (h, now_ms);
	h->tick_ms = now_ms;
	return true;
}

/* Time since the newest nonce echoed by the peer was sent, or since silence_start_ms if that is
 * later. */
static int64_t
silence_ms (const cs_peer_t *peer, int64_t now_ms)
{
	return now_ms - (peer->echoed_sent_ms > peer->silence_start_ms ? peer->echoed_sent_ms
								       : peer->silence_start_ms);
}

static void
remove_silent_nonmembers (cs_detector_t *h, const cs_members_t *m, int64_t now_ms)
{
	cs_peer_t *next;
	for (cs_peer_t *peer = h->peers; peer; peer = next) {
		next = peer->hh.next;
		if (!cs_members_get (m, peer->incarnation) &&
		    silence_ms (peer, now_ms) > CS_SILENCE_MS)
			remove_peer (h, peer);
	}
}

static void
update_silent_list (cs_detector_t *h, const cs_members_t *m, const char *zone, int64_t now_ms)
{
	h->n_silent = 0;
	h->silent = cs_realloc (h->silent, HASH_COUNT (m->table) * sizeof *h->silent);
	for (const cs_member_t *x = m->table; x; x = x->hh.next) {
		if (x->incarnation == h->me || strcmp (x->zone, zone) != 0)
			continue;
		if (silence_ms (cs_detector_ensure_peer (h, x->incarnation, now_ms), now_ms) >=
		    CS_SILENCE_MS)
			h->silent[h->n_silent++] = x->incarnation;
	}
}

bool
cs_detector_tick (cs_detector_t *h, const cs_members_t *m, int64_t now_ms)
{
	bool was_paused = detect_pause (h, now_ms);
	const cs_member_t *self = cs_members_get (m, h->me);
	size_t slot = h->ticks++ % CS_DETECTOR_NONCES;
	if (h->started_ms < 0)
		h->started_ms = now_ms;
	h->tick_ms = now_ms;
	h->nonces[slot] = cs_rendezvous (h->seed ^ h->me, h->ticks) | 1;
	h->sent_ms[slot] = now_ms;
	remove_silent_nonmembers (h, m, now_ms);
	if (self)
		update_silent_list (h, m, self->zone, now_ms);
	else
		h->n_silent = 0;
	return was_paused;
}

void
cs_detector_fill_heartbeat (const cs_detector_t *h, const cs_members_t *m, uint64_t to,
			    Cs__Heartbeat *heartbeat)
{
	const cs_peer_t *peer = cs_detector_find_peer (h, to);
	heartbeat->nonce = h->ticks ? h->nonces[(h->ticks - 1) % CS_DETECTOR_NONCES] : 0;
	heartbeat->echo = peer && cs_members_get (m, to) ? peer->received_nonce : 0;
	heartbeat->silent = h->silent;
	heartbeat->n_silent = h->n_silent;
}

/* Returns when the nonce was sent; -1 if it is not among the stored nonces. */
static int64_t
nonce_sent_ms (const cs_detector_t *h, uint64_t nonce)
{
	for (size_t i = 0; nonce && i < CS_DETECTOR_NONCES; i++)
		if (h->nonces[i] == nonce)
			return h->sent_ms[i];
	return -1;
}

static void
store_silent_list (cs_peer_t *peer, const Cs__Heartbeat *heartbeat, int64_t now_ms)
{
	size_t bytes = heartbeat->n_silent * sizeof *peer->silent;
	peer->silent = cs_realloc (peer->silent, bytes);
	if (bytes)
		memcpy (peer->silent, heartbeat->silent, bytes);
	peer->n_silent = heartbeat->n_silent;
	peer->silent_list_ms = now_ms;
}

void
cs_detector_record_heartbeat (cs_detector_t *h, uint64_t from, const Cs__Heartbeat *heartbeat,
			      int64_t now_ms)
{
	if (!from || from == h->me)
		return;
	detect_pause (h, now_ms);
	cs_peer_t *peer = cs_detector_ensure_peer (h, from, now_ms);
	int64_t sent_ms = nonce_sent_ms (h, heartbeat->echo);
	if (h->disabled & CS_DETECTOR_NO_ROUND_TRIP)
		sent_ms = now_ms;
	if (sent_ms > peer->echoed_sent_ms)
		peer->echoed_sent_ms = sent_ms;
	peer->received_nonce = heartbeat->nonce;
	peer->leaving = heartbeat->leaving;
	peer->control_next = heartbeat->control_next;
	store_silent_list (peer, heartbeat, now_ms);
}

static bool
is_reachable (const cs_peer_t *peer, int64_t now_ms)
{
	return peer && peer->echoed_sent_ms >= 0 &&
	       now_ms - peer->echoed_sent_ms <= CS_REACHABLE_MS;
}

bool
cs_detector_is_reachable (const cs_detector_t *h, uint64_t incarnation, int64_t now_ms)
{
	return is_reachable (cs_detector_find_peer (h, incarnation), now_ms);
}

size_t
cs_detector_count_reachable (const cs_detector_t *h, const cs_members_t *m, const char *zone,
			     int64_t now_ms)
{
	size_t n = 0;
	for (const cs_member_t *x = m->table; x; x = x->hh.next)
		if (!strcmp (x->zone, zone))
			n += x->incarnation == h->me ||
			     cs_detector_is_reachable (h, x->incarnation, now_ms);
	return n;
}

bool
cs_detector_filter_available (void *arg, const cs_member_t *member)
{
	const cs_detector_filter_t *filter = arg;
	if (member->incarnation == filter->detector->me)
		return true;
	const cs_peer_t *peer = cs_detector_find_peer (filter->detector, member->incarnation);
	return is_reachable (peer, filter->now_ms) && !peer->leaving;
}

static bool
reaches_majority (const cs_detector_t *h, const cs_members_t *m, const char *zone, int64_t now_ms)
{
	size_t joined = cs_members_count (m, zone);
	if (h->disabled & CS_DETECTOR_NO_MAJORITY)
		return true;
	/* The only daemon of a zone has no peer to complete a round trip with, so after a pause it
	 * depends on the log. */
	if (joined == 1 && h->paused_ms >= 0)
		return false;
	return 2 * cs_detector_count_reachable (h, m, zone, now_ms) > joined;
}

/* True if, after a pause, the applier has not reached catch_up_offset: the highest offset that the
 * peers which were reachable first after the pause have reported. */
static bool
is_behind (cs_detector_t *h, const cs_applier_t *applier, int64_t now_ms)
{
	if (h->paused_ms < 0)
		return false;
	if (!h->catch_up_offset)
		for (const cs_peer_t *peer = h->peers; peer; peer = peer->hh.next)
			if (is_reachable (peer, now_ms) && peer->control_next > h->catch_up_offset)
				h->catch_up_offset = peer->control_next;
	return applier->next_offset < h->catch_up_offset;
}

cs_admit_t
cs_detector_may_admit (cs_detector_t *h, const cs_members_t *m, const cs_applier_t *applier,
		       int64_t now_ms)
{
	const cs_member_t *self = cs_members_get (m, h->me);
	int64_t since_ms = now_ms - CS_LOG_CURRENT_MS;
	if (!self)
		return CS_ADMIT_NOT_JOINED;
	if (applier->needs_snapshot)
		return CS_ADMIT_GAP;
	detect_pause (h, now_ms);
	if (h->paused_ms > since_ms)
		since_ms = h->paused_ms;
	if (!cs_applier_is_current (applier, since_ms)) {
		if (!reaches_majority (h, m, self->zone, now_ms))
			return h->paused_ms >= 0 ? CS_ADMIT_PAUSED : CS_ADMIT_ISOLATED;
		if (is_behind (h, applier, now_ms))
			return CS_ADMIT_PAUSED;
	}
	h->paused_ms = -1;
	return CS_ADMIT;
}

const char *
cs_admit_text (cs_admit_t admission)
{
	static const char *const texts[] = {
		[CS_ADMIT] = "admitting requests",
		[CS_ADMIT_NOT_JOINED] = "this daemon has not joined or was excluded",
		[CS_ADMIT_GAP] = "log records expired unread; waiting for a snapshot or peer state",
		[CS_ADMIT_PAUSED] =
			"this daemon was paused and has not confirmed the log or its zone since",
		[CS_ADMIT_ISOLATED] = "neither the log nor a majority of the zone is reachable",
	};
	return texts[admission];
}
