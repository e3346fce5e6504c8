/* Homes of the claims streams. Each zone has one home of each shard: the best by rendezvous
 * of the zone's daemons that are heard here. It reads the shard and appends for the others
 * of its zone. Daemons may differ about who it is: any daemon that is asked reads the shard
 * and serves, and the order of the log decides. */
#include <stdlib.h>

#include "control.h"

enum {
	/* A home reads its shard without being asked once it has been the home for so long: a
	 * daemon that has just joined takes itself for the home of all. */
	SETTLED_MS = 3000,
	NOT_NEEDED_MS = 30000 /* a shard that was not needed for so long is left */
};

static uint64_t
home_of (const control_t *c, const stream_t *s, int64_t now)
{
	cs_heard_t heard = {&c->hearing, now};
	const cs_member_t *best = NULL;
	cs_members_rank (&c->members, cs_hash (cs_str (s->name)), c->settings->zone,
			 cs_hearing_filter, &heard, &best, 1);
	return best ? best->incarnation : 0;
}

static void
need (control_t *c, stream_t *s, int64_t now)
{
	s->needed_ms = now;
	if (s->followed)
		return;
	cs_log ("claims", CS_LOG_INFO, "stream %s is read here from now on", s->name);
	stream_follow (c, s);
}

static void
leave (control_t *c, stream_t *s)
{
	cs_log ("claims", CS_LOG_INFO, "stream %s is not read here any more", s->name);
	stream_leave (c, s);
}

void
homes_tick (control_t *c, int64_t now)
{
	cs_claim_home_expire (&c->claim_home, now);
	if (!cs_members_get (&c->members, c->me))
		return;
	for (size_t i = 0; i < c->n_shards; i++) {
		stream_t *s = &c->shards[i];
		uint64_t home = home_of (c, s, now);
		if (home != s->home)
			s->home_ms = now;
		s->home = home;
		bool mine = home == c->me || !home;
		if (mine && (s->followed || now - s->home_ms >= SETTLED_MS))
			need (c, s, now);
		else if (!mine && s->followed && now - s->needed_ms >= NOT_NEEDED_MS &&
			 !s->writer.n)
			leave (c, s);
	}
}

void
homes_use (control_t *c, stream_t *s)
{
	if (s->home == c->me || !s->home)
		need (c, s, cs_now_ms ());
}

void
homes_fall_back (control_t *c, uint32_t shard)
{
	int64_t now = cs_now_ms ();
	if (log_current (c, now)) /* else reading it would fail, too */
		need (c, &c->shards[shard], now);
}

void
homes_forward (control_t *c, cs_claim_action_t *a)
{
	const cs_member_t *home = cs_members_get (&c->members, a->home);
	Cs__Peer peer = CS__PEER__INIT;
	Cs__ClaimRequest m = CS__CLAIM_REQUEST__INIT;
	cs_buf_t record = {0};
	if (a->home == c->me) /* it has become that meanwhile */
		need (c, &c->shards[a->shard], cs_now_ms ());
	if (!home || a->home == c->me)
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

/* Appends another daemon's record, with the stream's present generation if it is a claim. */
static void
append_for (control_t *c, stream_t *s, uint64_t from, uint64_t asked, Cs__Record *r)
{
	uint64_t ticket = 0;
	cs_claim_fold_t fold = protect_fold (s);
	if (r->body_case == CS__RECORD__BODY_CLAIM)
		r->claim->generation = cs_claimant_generation (&c->claimant, cs_now_ms (),
							       (uint32_t)s->shard, &fold);
	if (cs_writer_submit (&s->writer, r, &ticket) != CS_OK) {
		cs_claim_home_append_done (&c->claim_home, from, asked, false);
		return;
	}
	s->tickets = cs_grow (s->tickets, &s->cap_tickets, s->n_tickets + 1, sizeof *s->tickets);
	s->tickets[s->n_tickets++] = (ticket_t){ticket, asked, from};
}

void
homes_asked (control_t *c, uint64_t from, const Cs__ClaimRequest *m)
{
	int64_t now = cs_now_ms ();
	if (m->shard >= c->n_shards || !cs_members_get (&c->members, from) ||
	    !cs_members_get (&c->members, c->me))
		return;
	stream_t *s = &c->shards[m->shard];
	need (c, s, now);
	if (!protect_fold (s).is_contiguous)
		return; /* it will ask again */
	Cs__Record *r = cs__record__unpack (NULL, m->record.len, m->record.data);
	if (!r)
		return;
	if (cs_claim_home_request (&c->claim_home, now, from, m->ticket, m->shard, r))
		append_for (c, s, from, m->ticket, r);
	cs__record__free_unpacked (r, NULL);
	homes_tell (c, s);
}

static void
tell (control_t *c, const cs_claim_reply_t *reply)
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
homes_tell (control_t *c, stream_t *s)
{
	cs_claim_reply_t reply;
	cs_claim_fold_t fold = protect_fold (s);
	while (cs_claim_home_next_reply (&c->claim_home, (uint32_t)s->shard, &fold, &reply))
		tell (c, &reply);
}

void
homes_told (control_t *c, const Cs__ClaimReply *m)
{
	cs_claim_reply_t reply;
	if (cs_claim_reply_read (m, &reply) != CS_OK || reply.shard >= c->n_shards)
		return;
	cs_claim_fold_t fold = protect_fold (&c->shards[reply.shard]);
	cs_claimant_reply (&c->claimant, cs_now_ms (), &reply, &fold);
	protect_run (c);
}
