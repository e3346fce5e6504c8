/* Homes in the simulation of protected requests: messages between daemons, and their faults. */
#include <stdlib.h>

#include "support_claims_impl.h"

enum {
	MESSAGE_DELAY_MS = 10,
	MAX_DELAY_MS = 6000,
	READ_IDLE_MS = 2000
};

cs_shard_view_t
world_shard_view (const world_t *w, uint32_t daemon)
{
	const world_daemon_t *d = &w->daemons[daemon];
	bool is_contiguous_here = !w->homes || (d->reads_stream && d->reached_tail);
	cs_shard_view_t f = {.claims = &d->claims,
			     .is_contiguous = is_contiguous_here,
			     .read_sent_ms = d->read_sent_ms,
			     .is_catching_up = !is_contiguous_here && d->reads_stream,
			     .next_offset = d->n_applied + 1};
	if (w->homes && !d->reads_stream)
		f.home = w->daemons[d->home_index].incarnation;
	return f;
}

void
world_enable_homes (world_t *w, uint32_t home, uint32_t home_off)
{
	w->homes = true;
	w->home_off = home_off;
	for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
		w->daemons[i].home_index = home;
		w->daemons[i].home.disabled = home_off;
	}
}

void
world_move_home (world_t *w, uint32_t daemon, uint32_t home)
{
	w->daemons[daemon].home_index = home;
}

void
world_read_stream (world_t *w, uint32_t daemon)
{
	world_daemon_t *d = &w->daemons[daemon];
	if (d->is_disconnected_from_log)
		return;
	d->stream_needed_ms = w->now_ms;
	d->reads_stream = true;
}

static void
stop_reading (world_daemon_t *d)
{
	cs_claims_options_t options = d->claims.options;
	cs_claims_finish (&d->claims);
	cs_claims_init (&d->claims, &options);
	d->n_applied = 0;
	d->reads_stream = false;
	d->reached_tail = false;
}

void
world_choose_streams (world_t *w, uint32_t daemon)
{
	world_daemon_t *d = &w->daemons[daemon];
	cs_claim_home_expire (&d->home, w->now_ms);
	if (d->home_index == daemon) {
		d->stream_needed_ms = w->now_ms;
		d->reads_stream = true;
	} else if (d->reads_stream && w->now_ms - d->stream_needed_ms >= READ_IDLE_MS) {
		stop_reading (d);
	}
}

static int
daemon_index (const world_t *w, uint64_t incarnation)
{
	for (int i = 0; i < WORLD_DAEMONS; i++)
		if (w->daemons[i].incarnation == incarnation)
			return i;
	return -1;
}

/* Queues a message; returns NULL if it is lost. */
static world_event_t *
send_message (world_t *w, event_kind_t kind, uint32_t from, uint64_t to, uint32_t lost,
	      uint32_t late)
{
	int i = daemon_index (w, to);
	if (i < 0 || w->daemons[i].is_disconnected_from_daemons ||
	    w->daemons[from].is_disconnected_from_daemons || world_draw (w, lost))
		return NULL;
	bool is_late = world_draw (w, late);
	return world_add_event (w, kind, (uint32_t)i,
				is_late ? 100 + cs_rng_below (&w->rng, MAX_DELAY_MS)
					: MESSAGE_DELAY_MS);
}

void
world_forward (world_t *w, uint32_t daemon, const cs_claim_action_t *a)
{
	world_event_t *e =
		send_message (w, EVENT_REQUEST, daemon, a->home, w->faults.requests_lost, 0);
	if (!e)
		return;
	e->from = w->daemons[daemon].incarnation;
	e->ticket = a->ticket;
	cs_buf_reserve (&e->record, cs__record__get_packed_size (&a->record));
	e->record.n = cs__record__pack (&a->record, (uint8_t *)e->record.p);
}

void
world_receive_request (world_t *w, const world_event_t *e)
{
	world_daemon_t *d = &w->daemons[e->daemon];
	d->stream_needed_ms = w->now_ms;
	d->reads_stream = true;
	cs_shard_view_t shard_view = world_shard_view (w, e->daemon);
	if (!shard_view.is_contiguous && !(w->home_off & CS_CLAIM_HOME_NO_APPLY_WAIT))
		return;
	Cs__Record *r = cs__record__unpack (NULL, e->record.n, (const uint8_t *)e->record.p);
	if (cs_claim_home_request (&d->home, w->now_ms, e->from, e->ticket, 0, r)) {
		if (r->body_case == CS__RECORD__BODY_CLAIM)
			r->claim->generation =
				cs_claimant_generation (&d->claimant, w->now_ms, 0, &shard_view);
		world_append (w, e->daemon, e->from, e->ticket, r);
	}
	cs__record__free_unpacked (r, NULL);
	world_send_replies (w, e->daemon);
}

void
world_send_replies (world_t *w, uint32_t daemon)
{
	cs_shard_view_t shard_view = world_shard_view (w, daemon);
	cs_claim_reply_t reply;
	while (cs_claim_home_next_reply (&w->daemons[daemon].home, 0, &shard_view, &reply)) {
		Cs__ClaimReply m;
		Cs__ClaimEntry entry;
		char *type = NULL;
		world_event_t *e = send_message (w, EVENT_REPLY, daemon, reply.requester,
						 w->faults.replies_lost, w->faults.replies_late);
		if (!e)
			continue;
		cs_claim_reply_fill (&reply, &m, &entry, &type);
		cs_buf_reserve (&e->record, cs__claim_reply__get_packed_size (&m));
		e->record.n = cs__claim_reply__pack (&m, (uint8_t *)e->record.p);
		free (type);
	}
}

void
world_receive_reply (world_t *w, const world_event_t *e)
{
	cs_shard_view_t shard_view = world_shard_view (w, e->daemon);
	Cs__ClaimReply *m =
		cs__claim_reply__unpack (NULL, e->record.n, (const uint8_t *)e->record.p);
	cs_claim_reply_t reply;
	if (cs_claim_reply_read (m, &reply) == CS_OK)
		cs_claimant_handle_reply (&w->daemons[e->daemon].claimant, w->now_ms, &reply,
					  &shard_view);
	cs__claim_reply__free_unpacked (m, NULL);
	world_execute_actions (w, e->daemon);
}
