/* Transfer of state machines between daemons while the log is down, or when records have expired
 * and the log has no snapshot: a daemon that starts or was paused restores the state of a daemon
 * that is ahead. Offsets never decrease: the applier rejects state older than its own. */
#include <string.h>

#include "control.h"

enum {
	MAX_STATE_BYTES = 3 << 20, /* largest state sent, in one message */
	MAX_PEERS = 8              /* peers requested in turn for the state of a claims shard */
};

static void
update_best_peer (const control_t *c, stream_t *s, uint64_t from, uint64_t next)
{
	bool replace = !cs_detector_is_reachable (&c->detector, s->best_peer, cs_now_ms ());
	if (next <= s->best_peer_offset && !replace)
		return;
	s->best_peer_offset = next;
	s->best_peer = from;
}

void
catch_up_record_offsets (control_t *c, const cs_member_t *from, const Cs__Heartbeat *h)
{
	update_best_peer (c, &c->control_stream, from->incarnation, h->control_next);
	if (!strcmp (from->zone, c->settings->zone))
		update_best_peer (c, &c->zone_stream, from->incarnation, h->zone_next);
}

static void
request_state (control_t *c, const stream_t *s, const char *address, uint64_t to)
{
	Cs__Peer p = CS__PEER__INIT;
	Cs__StateRequest r = CS__STATE_REQUEST__INIT;
	r.stream = s->name;
	r.reply_to = c->settings->peer_address;
	p.body_case = CS__PEER__BODY_STATE_REQUEST;
	p.state_request = &r;
	send_peer (c, address, to, &p);
}

static void
request_state_from_seeds (control_t *c, const stream_t *s)
{
	for (size_t i = 0; i < c->settings->n_seeds; i++)
		request_state (c, s, c->settings->seeds[i], 0);
}

static void
request_state_if_behind (control_t *c, const stream_t *s)
{
	bool is_lost = cs_applier_needs_peer_state (&s->applier);
	if (!s->is_log_unresponsive && !is_lost)
		return;
	const cs_member_t *m = cs_members_get (&c->members, s->best_peer);
	if (m && s->best_peer_offset > s->applier.next_offset)
		request_state (c, s, m->peer_address, m->incarnation);
	else if (is_lost || !s->applier.caught_up)
		request_state_from_seeds (c, s);
}

/* Heartbeats do not carry the offsets of claims streams, so the peers whose heartbeats arrive are
 * requested in turn. */
static void
request_claims_state (control_t *c, const stream_t *s, int64_t now)
{
	const cs_member_t *list[MAX_PEERS];
	cs_detector_filter_t filter_arg = {&c->detector, now};
	if (!cs_applier_needs_peer_state (&s->applier))
		return;
	size_t n = cs_members_rank (&c->members, (uint64_t)s->shard, NULL,
				    cs_detector_filter_available, &filter_arg, list, MAX_PEERS);
	if (n > MAX_PEERS)
		n = MAX_PEERS;
	const cs_member_t *m = n ? list[(size_t)(now / CS_TICK_MS) % n] : NULL;
	if (m && m->incarnation != c->own_incarnation)
		request_state (c, s, m->peer_address, m->incarnation);
	else if (n < 2)
		request_state_from_seeds (c, s);
}

void
catch_up_tick (control_t *c, int64_t now)
{
	request_state_if_behind (c, &c->control_stream);
	request_state_if_behind (c, &c->zone_stream);
	for (size_t i = 0; i < c->n_shards; i++)
		request_claims_state (c, &c->shards[i], now);
}

void
catch_up_receive_request (control_t *c, const Cs__StateRequest *r)
{
	stream_t *s = stream_find (c, r->stream);
	cs_buf_t state = {0};
	if (!s || s->applier.needs_snapshot || !s->applier.caught_up)
		return;
	/* Avoids exporting a state that is far too large to send. */
	if (s->shard >= 0 && cs_claims_bytes (&s->claims) > (size_t)2 * MAX_STATE_BYTES)
		return;
	Cs__Peer p = CS__PEER__INIT;
	Cs__StateReply reply = CS__STATE_REPLY__INIT;
	reply.stream = s->name;
	reply.offset = s->applier.next_offset;
	reply.digest = cs_applier_export_state (&s->applier, &state);
	reply.state.data = (uint8_t *)state.p;
	reply.state.len = state.n;
	p.body_case = CS__PEER__BODY_STATE_REPLY;
	p.state_reply = &reply;
	if (state.n <= MAX_STATE_BYTES)
		send_peer (c, r->reply_to, 0, &p);
	cs_buf_finish (&state);
}

void
catch_up_receive_reply (control_t *c, const Cs__StateReply *r)
{
	stream_t *s = stream_find (c, r->stream);
	if (!s)
		return;
	cs_str_t state = cs_str_n ((const char *)r->state.data, r->state.len);
	if (cs_applier_restore_from_peer (&s->applier, r->offset, state, r->digest) != CS_OK)
		return;
	cs_log ("log", CS_LOG_INFO,
		"stream %s: restored state from a peer, continuing at offset %llu", s->name,
		(unsigned long long)r->offset);
	stream_follow (c, s);
}
