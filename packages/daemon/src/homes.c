/* Homes of the claims streams. Each zone has one home daemon per shard, chosen by rendezvous
 * hashing among the daemons of the zone whose heartbeats arrive. The home reads the shard's stream
 * and appends records for the other daemons of the zone. Daemons may disagree on the home: any
 * daemon that receives a request reads the shard and serves it, and the log order decides. */
#include <stdlib.h>

#include "control.h"

enum {
	/* A home starts to read its shard without a request only after it has been the home for
	 * this long: a daemon that has just joined receives no heartbeats yet and computes itself
	 * as the home of every shard. */
	HOME_SETTLE_MS = 3000,
	UNUSED_STREAM_MS = 30000 /* reading stops after the stream was not needed this long */
};

static uint64_t
find_home (const control_t *c, const stream_t *s, int64_t now)
{
	cs_detector_filter_t filter_arg = {&c->detector, now};
	const cs_member_t *best = NULL;
	cs_members_rank (&c->members, cs_hash (cs_str (s->name)), c->settings->zone,
			 cs_detector_filter_available, &filter_arg, &best, 1);
	return best ? best->incarnation : 0;
}

static void
mark_needed (control_t *c, stream_t *s, int64_t now)
{
	s->last_needed_ms = now;
	if (s->is_followed)
		return;
	cs_log ("claims", CS_LOG_INFO, "stream %s is read here", s->name);
	stream_follow (c, s);
}

static void
stop_reading (control_t *c, stream_t *s)
{
	cs_log ("claims", CS_LOG_INFO, "stream %s is not read here any longer", s->name);
	stream_stop_reading (c, s);
}

void
homes_tick (control_t *c, int64_t now)
{
	cs_claim_home_expire (&c->claim_home, now);
	if (!cs_members_get (&c->members, c->own_incarnation))
		return;
	for (size_t i = 0; i < c->n_shards; i++) {
		stream_t *s = &c->shards[i];
		uint64_t home = find_home (c, s, now);
		if (home != s->home)
			s->home_since_ms = now;
		s->home = home;
		bool is_home = home == c->own_incarnation || !home;
		if (is_home && (s->is_followed || now - s->home_since_ms >= HOME_SETTLE_MS))
			mark_needed (c, s, now);
		else if (!is_home && s->is_followed &&
			 now - s->last_needed_ms >= UNUSED_STREAM_MS && !s->writer.n)
			stop_reading (c, s);
	}
}

void
homes_prepare_shard (control_t *c, stream_t *s)
{
	if (s->home == c->own_incarnation || !s->home)
		mark_needed (c, s, cs_now_ms ());
}

void
homes_fall_back (control_t *c, uint32_t shard)
{
	int64_t now = cs_now_ms ();
	if (log_current (c, now)) /* otherwise reading the shard would fail as well */
		mark_needed (c, &c->shards[shard], now);
}

void
homes_forward (control_t *c, cs_claim_action_t *a)
{
	const cs_member_t *home = cs_members_get (&c->members, a->home);
	Cs__Peer peer = CS__PEER__INIT;
	Cs__ClaimRequest m = CS__CLAIM_REQUEST__INIT;
	cs_buf_t record = {0};
	if (a->home == c->own_incarnation) /* this daemon has become the home since the claim */
		mark_needed (c, &c->shards[a->shard], cs_now_ms ());
	if (!home || a->home == c->own_incarnation)
		return;
	cs_buf_reserve (&record, cs__record__get_packed_size (&a->record));
	m.shard = a->shard;
	m.ticket = a->ticket;
	m.record.len = cs__record__pack (&a->record, (uint8_t *)record.p);
	m.record.data = (uint8_t *)record.p;
	peer.body_case = CS__PEER__BODY_CLAIM_REQUEST;
	peer.claim_request = &m;
	send_peer (c, home->peer_address, home->incarnation, &peer);
	cs_buf_finish (&record);
}

/* Appends the record of the requester `from`; a claim gets the stream's current generation. */
static void
append_for_requester (control_t *c, stream_t *s, uint64_t from, uint64_t claim_ticket,
		      Cs__Record *r)
{
	uint64_t ticket = 0;
	cs_shard_view_t shard_view = protect_shard_view (s);
	if (r->body_case == CS__RECORD__BODY_CLAIM)
		r->claim->generation = cs_claimant_generation (&c->claimant, cs_now_ms (),
							       (uint32_t)s->shard, &shard_view);
	if (cs_writer_submit (&s->writer, r, &ticket) != CS_OK) {
		cs_claim_home_append_done (&c->claim_home, from, claim_ticket, false);
		return;
	}
	s->tickets = cs_grow (s->tickets, &s->cap_tickets, s->n_tickets + 1, sizeof *s->tickets);
	s->tickets[s->n_tickets++] = (ticket_t){ticket, claim_ticket, from};
}

void
homes_receive_request (control_t *c, uint64_t from, const Cs__ClaimRequest *m)
{
	int64_t now = cs_now_ms ();
	if (m->shard >= c->n_shards || !cs_members_get (&c->members, from) ||
	    !cs_members_get (&c->members, c->own_incarnation))
		return;
	stream_t *s = &c->shards[m->shard];
	mark_needed (c, s, now);
	if (!protect_shard_view (s).is_contiguous)
		return; /* the requester repeats its request */
	Cs__Record *r = cs__record__unpack (NULL, m->record.len, m->record.data);
	if (!r)
		return;
	if (cs_claim_home_request (&c->claim_home, now, from, m->ticket, m->shard, r))
		append_for_requester (c, s, from, m->ticket, r);
	cs__record__free_unpacked (r, NULL);
	homes_send_replies (c, s);
}

static void
send_claim_reply (control_t *c, const cs_claim_reply_t *reply)
{
	const cs_member_t *to = cs_members_get (&c->members, reply->requester);
	Cs__Peer peer = CS__PEER__INIT;
	Cs__ClaimReply m;
	Cs__ClaimEntry entry;
	char *content_type = NULL;
	if (!to)
		return;
	cs_claim_reply_fill (reply, &m, &entry, &content_type);
	peer.body_case = CS__PEER__BODY_CLAIM_REPLY;
	peer.claim_reply = &m;
	send_peer (c, to->peer_address, to->incarnation, &peer);
	free (content_type);
}

void
homes_send_replies (control_t *c, stream_t *s)
{
	cs_claim_reply_t reply;
	cs_shard_view_t shard_view = protect_shard_view (s);
	while (cs_claim_home_next_reply (&c->claim_home, (uint32_t)s->shard, &shard_view, &reply))
		send_claim_reply (c, &reply);
}

void
homes_receive_reply (control_t *c, const Cs__ClaimReply *m)
{
	cs_claim_reply_t reply;
	if (cs_claim_reply_read (m, &reply) != CS_OK || reply.shard >= c->n_shards)
		return;
	cs_shard_view_t shard_view = protect_shard_view (&c->shards[reply.shard]);
	cs_claimant_handle_reply (&c->claimant, cs_now_ms (), &reply, &shard_view);
	protect_run (c);
}
