#include "support_cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
start_daemon (support_cluster_t *c, support_daemon_t *d)
{
	d->incarnation = ++c->incarnation;
	d->joined = d->join_submitted = false;
	d->tick_ms = c->now_ms + (int64_t)(d->incarnation * 300 % CS_TICK_MS);
	cs_members_init (&d->members);
	cs_config_init (&d->config, &d->members, c->config_disabled);
	cs_applier_init (&d->applier, "control", NULL);
	cs_applier_add_state_machine (&d->applier, &cs_members_ops, &d->members);
	cs_applier_add_state_machine (&d->applier, &cs_config_ops, &d->config);
	cs_writer_init (&d->writer, &d->applier, d->incarnation);
	cs_detector_init (&d->detector, d->incarnation, 1, c->detector_disabled);
}

static void
stop_daemon (support_daemon_t *d)
{
	cs_writer_finish (&d->writer);
	cs_applier_finish (&d->applier);
	cs_config_finish (&d->config);
	cs_members_finish (&d->members);
	cs_detector_finish (&d->detector);
	while (d->n_inbox)
		cs_buf_finish (&d->inbox[--d->n_inbox].bytes);
}

void
support_cluster_init (support_cluster_t *c, unsigned config_disabled, unsigned hearing_disabled)
{
	memset (c, 0, sizeof *c);
	c->config_disabled = config_disabled;
	c->detector_disabled = hearing_disabled;
	support_log_init (&c->log);
	cs_members_init (&c->members);
	cs_config_init (&c->config, &c->members, config_disabled);
	cs_applier_init (&c->reference_applier, "control", NULL);
	cs_applier_add_state_machine (&c->reference_applier, &cs_members_ops, &c->members);
	cs_applier_add_state_machine (&c->reference_applier, &cs_config_ops, &c->config);
	for (size_t i = 0; i < SUPPORT_DAEMONS; i++) {
		support_daemon_t *d = &c->daemons[i];
		d->zone_index = i / (SUPPORT_DAEMONS / SUPPORT_ZONES);
		snprintf (d->name, sizeof d->name, "d%zu", i);
		snprintf (d->zone, sizeof d->zone, "z%zu", d->zone_index);
		start_daemon (c, d);
	}
}

void
support_cluster_finish (support_cluster_t *c)
{
	for (size_t i = 0; i < SUPPORT_DAEMONS; i++)
		stop_daemon (&c->daemons[i]);
	cs_applier_finish (&c->reference_applier);
	cs_config_finish (&c->config);
	cs_members_finish (&c->members);
	support_log_finish (&c->log);
}

void
support_cluster_restart (support_cluster_t *c, support_daemon_t *d)
{
	stop_daemon (d);
	d->crashed = false;
	start_daemon (c, d);
}

static bool
reaches_log (const support_cluster_t *c, const support_daemon_t *d)
{
	return !c->log.down && !d->isolated && !d->log_unreachable &&
	       !c->zone_partitioned[d->zone_index];
}

static bool
is_connected (const support_cluster_t *c, const support_daemon_t *a, const support_daemon_t *b)
{
	if (a == b || a->isolated || b->isolated || b->crashed)
		return false;
	return a->zone_index == b->zone_index ||
	       (!c->zone_partitioned[a->zone_index] && !c->zone_partitioned[b->zone_index]);
}

bool
support_cluster_log_current (const support_cluster_t *c, const support_daemon_t *d)
{
	return cs_applier_is_current (&d->applier, c->now_ms - CS_LOG_CURRENT_MS);
}

static void
enqueue_heartbeat (support_daemon_t *to, uint64_t from, const Cs__Heartbeat *heartbeat)
{
	size_t n = cs__heartbeat__get_packed_size (heartbeat);
	if (to->n_inbox == SUPPORT_INBOX)
		return;
	support_packet_t *p = &to->inbox[to->n_inbox++];
	p->from = from;
	cs_buf_init (&p->bytes);
	cs_buf_reserve (&p->bytes, n);
	p->bytes.n = cs__heartbeat__pack (heartbeat, (uint8_t *)p->bytes.p);
}

/* Sends heartbeats to all daemons of the zone; the first two by rank also send to other zones. */
static void
send_heartbeats (support_cluster_t *c, support_daemon_t *d)
{
	Cs__Heartbeat heartbeat = CS__HEARTBEAT__INIT;
	cs_detector_filter_t reachable = {&d->detector, c->now_ms};
	bool delegate = cs_members_rank_of (&d->members, d->incarnation, 7, d->zone,
					    cs_detector_filter_available, &reachable) < 2;
	heartbeat.control_next = d->applier.next_offset;
	cs_config_add_acks (&d->config, &heartbeat);
	for (size_t i = 0; i < SUPPORT_DAEMONS; i++) {
		support_daemon_t *to = &c->daemons[i];
		if (!is_connected (c, d, to) || (to->zone_index != d->zone_index && !delegate))
			continue;
		cs_detector_fill_heartbeat (&d->detector, &d->members, to->incarnation, &heartbeat);
		enqueue_heartbeat (to, d->incarnation, &heartbeat);
		c->heartbeats++;
		c->bytes += cs__heartbeat__get_packed_size (&heartbeat);
	}
	cs_config_acks_free (&heartbeat);
	d->heartbeat_ms = c->now_ms;
}

static void
receive_heartbeats (support_cluster_t *c, support_daemon_t *d)
{
	for (size_t i = 0; i < d->n_inbox; i++) {
		support_packet_t *p = &d->inbox[i];
		Cs__Heartbeat *b =
			cs__heartbeat__unpack (NULL, p->bytes.n, (const uint8_t *)p->bytes.p);
		cs_detector_record_heartbeat (&d->detector, p->from, b, c->now_ms);
		cs_config_merge_acks (&d->config, b);
		cs__heartbeat__free_unpacked (b, NULL);
		cs_buf_finish (&p->bytes);
	}
	d->n_inbox = 0;
}

static void
submit_join (support_daemon_t *d)
{
	Cs__Join j = CS__JOIN__INIT;
	Cs__Record r = CS__RECORD__INIT;
	j.name = d->name;
	j.zone = d->zone;
	j.region = "r";
	r.body_case = CS__RECORD__BODY_JOIN;
	r.join = &j;
	cs_writer_submit (&d->writer, &r, NULL);
	d->join_submitted = true;
}

/* Without the log: copies the state of the reachable peer of the zone that has applied furthest. */
static void
copy_peer_state (support_cluster_t *c, support_daemon_t *d)
{
	support_daemon_t *best = NULL;
	cs_buf_t state = {0};
	for (size_t i = 0; i < SUPPORT_DAEMONS; i++) {
		support_daemon_t *x = &c->daemons[i];
		if (is_connected (c, d, x) && !x->paused && x->zone_index == d->zone_index &&
		    x->applier.next_offset > d->applier.next_offset &&
		    (!best || x->applier.next_offset > best->applier.next_offset))
			best = x;
	}
	if (!best || best->applier.needs_snapshot)
		return;
	uint64_t digest = cs_applier_export_state (&best->applier, &state);
	cs_applier_restore_from_peer (&d->applier, best->applier.next_offset, cs_buf_str (&state),
				      digest);
	cs_buf_finish (&state);
}

static void
tick_daemon (support_cluster_t *c, support_daemon_t *d)
{
	cs_detector_filter_t reachable = {&d->detector, c->now_ms};
	cs_detector_tick (&d->detector, &d->members, c->now_ms);
	d->tick_ms = c->now_ms + CS_TICK_MS;
	send_heartbeats (c, d);
	cs_detector_propose_exclusions (&d->detector, &d->members, c->now_ms, NULL, NULL,
					&d->writer);
	if (!reaches_log (c, d) && !support_cluster_log_current (c, d))
		copy_peer_state (c, d);
	size_t rank = cs_members_rank_of (&d->members, d->incarnation, 8, NULL,
					  cs_detector_filter_available, &reachable);
	if (d->joined && cs_applier_is_snapshot_due (&d->applier, c->now_ms, rank))
		cs_applier_submit_snapshot (&d->applier, &d->writer, c->now_ms);
}

static void
run_daemon (support_cluster_t *c, support_daemon_t *d)
{
	receive_heartbeats (c, d);
	if (c->now_ms >= d->tick_ms)
		tick_daemon (c, d);
	if (reaches_log (c, d) && c->now_ms % SUPPORT_READ_MS == 0)
		support_log_apply_records (&c->log, &d->applier, c->now_ms);
	bool member = cs_members_get (&d->members, d->incarnation) != NULL;
	if (d->joined && !member) {
		support_cluster_restart (c, d);
		return;
	}
	d->joined = member;
	if (!member && !d->join_submitted && d->applier.caught_up)
		submit_join (d);
	bool current = support_cluster_log_current (c, d);
	if (cs_config_tick (&d->config, &d->detector, d->incarnation, current, c->now_ms,
			    &d->writer) &&
	    c->now_ms - d->heartbeat_ms >= SUPPORT_READ_MS)
		send_heartbeats (c, d);
	if (reaches_log (c, d))
		support_log_append_next (&c->log, &d->writer, c->now_ms);
}

void
support_cluster_step (support_cluster_t *c)
{
	bool down = c->log.down;
	c->now_ms += SUPPORT_STEP_MS;
	for (size_t i = 0; i < SUPPORT_DAEMONS; i++)
		if (!c->daemons[i].crashed && !c->daemons[i].paused)
			run_daemon (c, &c->daemons[i]);
	c->log.down = false;
	support_log_apply_records (&c->log, &c->reference_applier, c->now_ms);
	c->log.down = down;
}

void
support_cluster_propose (support_daemon_t *d, const char *change_id, uint64_t expected,
			 uint64_t requests_per_minute)
{
	Cs__Limits limits = CS__LIMITS__INIT;
	Cs__Team team = CS__TEAM__INIT;
	Cs__Resource resource = CS__RESOURCE__INIT;
	Cs__Change change = CS__CHANGE__INIT;
	Cs__Change *changes = &change;
	Cs__Propose propose = CS__PROPOSE__INIT;
	Cs__Record r = CS__RECORD__INIT;
	limits.requests_per_minute = requests_per_minute;
	team.limits = &limits;
	resource.name = "x";
	resource.spec_case = CS__RESOURCE__SPEC_TEAM;
	resource.team = &team;
	change.kind = "team";
	change.name = "x";
	change.expected_version = expected;
	change.resource = &resource;
	propose.change_id = (char *)change_id;
	propose.changes = &changes;
	propose.n_changes = 1;
	r.body_case = CS__RECORD__BODY_PROPOSE;
	r.propose = &propose;
	cs_writer_submit (&d->writer, &r, NULL);
}
