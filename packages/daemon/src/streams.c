/* The streams of the log: this daemon applies their records and appends its own. */
#include <stdlib.h>
#include <string.h>

#include "control.h"

static void
stream_init (control_t *c, stream_t *s, char *name)
{
	s->control = c;
	s->name = name;
	s->shard = -1;
	cs_applier_init (&s->applier, name, NULL);
}

static void
add_claims (stream_t *s)
{
	cs_applier_add_state_machine (&s->applier, &cs_claims_ops, &s->claims);
	cs_applier_add_state_machine (&s->applier, &own_claims_state_machine, s);
}

/* Called after the last cs_applier_add_state_machine, when the applier has all its state machines.
 */
static void
writer_init (control_t *c, stream_t *s)
{
	cs_writer_init (&s->writer, &s->applier, c->own_incarnation);
}

void
streams_init (control_t *c)
{
	cs_buf_t name = {0};
	cs_buf_printf (&name, "zone-%s", c->settings->zone);
	stream_init (c, &c->zone_stream, name.p);
	stream_init (c, &c->control_stream, cs_str_dup (cs_str ("control")));
	cs_applier_add_state_machine (&c->control_stream.applier, &cs_members_ops, &c->members);
	cs_applier_add_state_machine (&c->control_stream.applier, &cs_config_ops, &c->config);
	cs_applier_add_state_machine (&c->control_stream.applier, &poison_state_machine,
				      &c->poison);
	cs_applier_add_state_machine (&c->zone_stream.applier, &groups_state_machine, &c->groups);
	writer_init (c, &c->control_stream);
	writer_init (c, &c->zone_stream);

	c->n_shards = c->settings->claim_shards;
	c->shards = cs_alloc (c->n_shards * sizeof *c->shards);
	for (size_t i = 0; i < c->n_shards; i++) {
		stream_t *s = &c->shards[i];
		cs_buf_t shard = {0};
		cs_buf_printf (&shard, "claims-%zu", i);
		stream_init (c, s, shard.p);
		s->shard = (int)i;
		cs_claims_init (&s->claims, &(cs_claims_options_t){0});
		add_claims (s);
		writer_init (c, s);
	}
}

static void
stream_finish (stream_t *s)
{
	cs_writer_finish (&s->writer);
	cs_applier_finish (&s->applier);
	if (s->shard >= 0)
		cs_claims_finish (&s->claims);
	free (s->tickets);
	free (s->name);
}

void
streams_finish (control_t *c)
{
	stream_finish (&c->control_stream);
	stream_finish (&c->zone_stream);
	for (size_t i = 0; i < c->n_shards; i++)
		stream_finish (&c->shards[i]);
	free (c->shards);
}

void
stream_follow (control_t *c, stream_t *s)
{
	cs_follow_msg_t *m = cs_follow_msg (s->name, cs_applier_next_read_offset (&s->applier));
	cs_send (c->task, c->platform, &m->msg);
	s->is_followed = true;
}

void
stream_stop_reading (control_t *c, stream_t *s)
{
	cs_follow_msg_t *m = cs_follow_msg (s->name, 0);
	cs_send (c->task, c->platform, &m->msg);
	s->is_followed = false;
	s->is_log_unresponsive = false;
	cs_applier_finish (&s->applier);
	cs_claims_finish (&s->claims);
	cs_claims_init (&s->claims, &(cs_claims_options_t){0});
	cs_applier_init (&s->applier, s->name, NULL);
	add_claims (s);
	s->applier.writer = &s->writer;
}

void
streams_start (control_t *c)
{
	stream_follow (c, &c->control_stream);
	stream_follow (c, &c->zone_stream);
}

stream_t *
stream_find (control_t *c, const char *name)
{
	if (!strcmp (name, c->control_stream.name))
		return &c->control_stream;
	if (!strcmp (name, c->zone_stream.name))
		return &c->zone_stream;
	for (size_t i = 0; i < c->n_shards; i++)
		if (!strcmp (name, c->shards[i].name))
			return &c->shards[i];
	return NULL;
}

void
streams_records (control_t *c, cs_records_msg_t *m)
{
	stream_t *s = stream_find (c, m->stream);
	if (!s || !s->is_followed)
		return;
	s->is_log_unresponsive = m->status != CS_OK;
	if (s->is_log_unresponsive)
		return;
	bool must_reposition =
		cs_applier_record_read (&s->applier, m->begin, m->end, m->read_started_ms);
	for (size_t i = 0; i < m->n && !must_reposition; i++)
		must_reposition = cs_applier_process_record (&s->applier, m->records[i].offset,
							     m->records[i].bytes);
	if (must_reposition) {
		cs_log ("log", CS_LOG_INFO, "stream %s: reading continues at offset %llu", s->name,
			(unsigned long long)cs_applier_next_read_offset (&s->applier));
		stream_follow (c, s);
	}
	if (s == &c->control_stream && m->n)
		configure_applied (c, cs_now_ms ());
	if (s->shard >= 0) {
		cs_shard_view_t shard_view = protect_shard_view (s);
		cs_claimant_applied (&c->claimant, cs_now_ms (), (uint32_t)s->shard, &shard_view);
		protect_run (c);
		homes_send_replies (c, s);
	}
}

void
streams_appended (control_t *c, const cs_appended_msg_t *m)
{
	stream_t *s = stream_find (c, m->stream);
	if (s)
		cs_writer_append_done (&s->writer, m->ticket, m->status, cs_now_ms ());
}

/* Reports the result of an append to its requester: the claim home for another daemon's record, the
 * claimant for a record of this daemon. */
static void
report_append_result (control_t *c, stream_t *s, const cs_ticket_outcome_t *done)
{
	for (size_t i = 0; i < s->n_tickets; i++) {
		if (s->tickets[i].ticket != done->ticket)
			continue;
		uint64_t ticket = s->tickets[i].claim_ticket;
		uint64_t from = s->tickets[i].from;
		s->tickets[i] = s->tickets[--s->n_tickets];
		if (from) {
			cs_claim_home_append_done (&c->claim_home, from, ticket,
						   done->result == CS_TICKET_VALID);
			return;
		}
		cs_status_t status = done->result == CS_TICKET_VOID      ? CS_CONFLICT
				     : done->result == CS_TICKET_UNKNOWN ? CS_UNKNOWN
									 : CS_OK;
		cs_claimant_appended (&c->claimant, cs_now_ms (), ticket, status);
		protect_run (c);
		return;
	}
}

/* Reports finished appends and sends due claim replies, then sends queued records to the log. */
static void
flush_stream (control_t *c, stream_t *s)
{
	cs_ticket_outcome_t done;
	cs_writer_batch_t batch;
	while (cs_writer_next_outcome (&s->writer, &done))
		report_append_result (c, s, &done);
	if (s->shard >= 0)
		homes_send_replies (c, s);
	while (cs_writer_next_append (&s->writer, cs_now_ms (), &batch)) {
		cs_append_msg_t *m = cs_append_msg (s->name, batch.id, batch.records, batch.n);
		cs_send (c->task, c->platform, &m->msg);
	}
}

void
streams_flush (control_t *c)
{
	flush_stream (c, &c->control_stream);
	flush_stream (c, &c->zone_stream);
	for (size_t i = 0; i < c->n_shards; i++)
		flush_stream (c, &c->shards[i]);
}

static void
snapshot_if_due (control_t *c, stream_t *s, const char *zone, int64_t now)
{
	cs_detector_filter_t heard = {&c->detector, now};
	uint64_t key = cs_hash (cs_str (s->name));
	size_t rank = cs_members_rank_of (&c->members, c->own_incarnation, key, zone,
					  cs_detector_filter_available, &heard);
	if (!cs_applier_is_snapshot_due (&s->applier, now, rank))
		return;
	cs_applier_submit_snapshot (&s->applier, &s->writer, now);
	if (s->applier.snapshot_submitted_ms == now)
		cs_log ("log", CS_LOG_INFO, "stream %s: submitted a snapshot at offset %llu",
			s->name, (unsigned long long)s->applier.next_offset);
}

void
streams_snapshots (control_t *c, int64_t now)
{
	if (!c->ready)
		return;
	snapshot_if_due (c, &c->control_stream, NULL, now);
	snapshot_if_due (c, &c->zone_stream, c->settings->zone, now);
	for (size_t i = 0; i < c->n_shards; i++)
		if (c->shards[i].is_followed)
			snapshot_if_due (c, &c->shards[i], NULL, now);
}

bool
log_current (const control_t *c, int64_t now)
{
	return cs_applier_is_current (&c->control_stream.applier, now - CS_LOG_CURRENT_MS);
}

void
streams_set_incarnation (control_t *c)
{
	cs_writer_set_incarnation (&c->control_stream.writer, c->own_incarnation);
	cs_writer_set_incarnation (&c->zone_stream.writer, c->own_incarnation);
	for (size_t i = 0; i < c->n_shards; i++)
		cs_writer_set_incarnation (&c->shards[i].writer, c->own_incarnation);
}
