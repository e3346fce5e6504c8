/* Membership: JOIN records, heartbeats between daemons, and whether this daemon admits requests. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	MAX_SUSPECTS = 64
};

static bool
is_joined (void *arg, uint64_t incarnation)
{
	const control_t *c = arg;
	return cs_members_get (&c->members, incarnation) != NULL;
}

static void
claimant_init (control_t *c)
{
	cs_claimant_options_t o = {
		.incarnation = c->own_incarnation,
		.joined = is_joined,
		.joined_arg = c,
	};
	cs_claimant_init (&c->claimant, &o);
	cs_claim_home_init (&c->claim_home, 0);
}

void
membership_init (control_t *c)
{
	cs_members_init (&c->members);
	cs_detector_init (&c->detector, c->own_incarnation, c->own_incarnation, 0);
	cs_config_init (&c->config, &c->members, 0);
	cs_poison_init (&c->poison, &(cs_poison_options_t){0});
	cs_groups_init (&c->groups);
	cs_evidence_init (&c->evidence, c->own_incarnation);
	cs_planner_options_t plan;
	cs_planner_options_init (&plan);
	cs_planner_init (&c->planner, c->settings->zone, &plan);
	cs_router_init (&c->router, &(cs_router_options_t){.policy = CS_ROUTE_AFFINITY,
							   .zone = c->settings->zone,
							   .seed = c->own_incarnation});
	cs_limits_init (&c->limits, &(cs_limits_options_t){.incarnation = c->own_incarnation});
	cs_retry_init (&c->retry, &(cs_retry_options_t){.seed = c->own_incarnation});
	claimant_init (c);
}

static void
submit_join (control_t *c)
{
	const cs_settings_t *s = c->settings;
	cs_buf_t url = {0};
	Cs__Record r = CS__RECORD__INIT;
	Cs__Join body = CS__JOIN__INIT;
	cs_buf_printf (&url, "http://%s", s->listen);
	body.name = s->name;
	body.zone = s->zone;
	body.region = s->region;
	body.peer_address = s->peer_address;
	body.url = url.p;
	body.claim_shards = s->claim_shards;
	r.body_case = CS__RECORD__BODY_JOIN;
	r.join = &body;
	cs_writer_submit (&c->control_stream.writer, &r, NULL);
	cs_buf_finish (&url);
	c->join_sent = true;
}

/* Resets the state of the incarnation whose membership has ended and generates a new incarnation,
 * which joins at a later tick. */
static void
restart_membership (control_t *c, const cs_gone_t *gone)
{
	if (gone && gone->reason == CS_GONE_EXCLUDED)
		cs_log ("membership", CS_LOG_WARN, "this daemon was excluded: %s", gone->evidence);
	else
		cs_log ("membership", CS_LOG_WARN, "the membership of this daemon has ended");
	serve_abandon_protected (c);
	randombytes_buf (&c->own_incarnation, sizeof c->own_incarnation);
	streams_set_incarnation (c);
	cs_detector_finish (&c->detector);
	cs_detector_init (&c->detector, c->own_incarnation, c->own_incarnation, 0);
	cs_evidence_restart (&c->evidence, c->own_incarnation);
	zone_reload_vm_list (c);
	cs_limits_finish (&c->limits);
	cs_limits_init (&c->limits, &(cs_limits_options_t){.incarnation = c->own_incarnation});
	cs_claimant_finish (&c->claimant);
	cs_claim_home_finish (&c->claim_home);
	claimant_init (c);
	c->join_sent = false;
	c->is_rejoining = true;
}

static void
set_ready (control_t *c, bool ready, cs_admit_t reason)
{
	if (ready == c->ready)
		return;
	c->ready = ready;
	if (ready)
		cs_log ("membership", CS_LOG_INFO, "admitting requests");
	else if (c->draining)
		cs_log ("membership", CS_LOG_INFO, "no longer admitting requests: draining");
	else
		cs_log ("membership", CS_LOG_WARN, "not admitting requests: %s",
			cs_admit_text (reason));
	cs_request_msg_t *m = cs_request_msg (ready ? CS_MSG_READY : CS_MSG_UNREADY, NULL);
	cs_send (c->task, c->gateway, &m->msg);
}

/* True if the last VM list does not contain the member's VM but does contain this daemon's own VM.
 * The second condition is needed since only some platforms list entry VMs. */
static bool
is_vm_unlisted (void *arg, const cs_member_t *member)
{
	const control_t *c = arg;
	bool lists_own_vm = false;
	if (!c->vms || strcmp (member->zone, c->settings->zone) != 0)
		return false;
	for (size_t i = 0; i < c->vms->n; i++) {
		if (!strcmp (c->vms->vms[i].vm, member->name))
			return false;
		lists_own_vm |= !strcmp (c->vms->vms[i].vm, c->settings->name);
	}
	return lists_own_vm;
}

/* True if claim_shards equals that of the other daemons, which is required to join. A difference is
 * logged once. */
static bool
shard_counts_match (control_t *c)
{
	uint32_t others = cs_members_claim_shards (&c->members, c->settings->name);
	bool differ = others && others != c->settings->claim_shards;
	if (differ && !c->shard_count_differs)
		cs_log ("membership", CS_LOG_ERROR,
			"claim_shards is %u on this daemon but %u on the other daemons: not "
			"joining",
			c->settings->claim_shards, others);
	c->shard_count_differs = differ;
	if (differ)
		c->join_sent = false;
	return !differ;
}

/* False if this daemon would rejoin while another daemon is a member with the same name. A JOIN at
 * startup supersedes the member with that name; a daemon that lost its name must not rejoin, or
 * two daemons would supersede each other for ever. */
static bool
is_name_free (control_t *c)
{
	bool taken =
		c->is_rejoining && cs_members_by_name (&c->members, cs_str (c->settings->name));
	if (taken && !c->is_name_taken)
		cs_log ("membership", CS_LOG_ERROR,
			"another daemon has joined as %s: this daemon does not rejoin",
			c->settings->name);
	c->is_name_taken = taken;
	return !taken;
}

void
membership_tick (control_t *c, int64_t now)
{
	if (cs_detector_tick (&c->detector, &c->members, now))
		cs_log ("membership", CS_LOG_WARN, "this daemon was paused");
	bool joined = cs_members_get (&c->members, c->own_incarnation) != NULL;
	if (c->was_joined && !joined && !c->draining)
		restart_membership (c, cs_members_gone (&c->members, c->own_incarnation));
	c->was_joined = joined;
	bool caught_up = c->control_stream.applier.caught_up && c->zone_stream.applier.caught_up;
	if (caught_up && !joined && !c->draining && shard_counts_match (c) && is_name_free (c) &&
	    !c->join_sent)
		submit_join (c);

	cs_admit_t admission =
		cs_detector_may_admit (&c->detector, &c->members, &c->control_stream.applier, now);
	set_ready (c, caught_up && admission == CS_ADMIT && !c->draining, admission);
	cs_detector_propose_exclusions (&c->detector, &c->members, now, is_vm_unlisted, c,
					&c->control_stream.writer);
}

void
send_peer (control_t *c, const char *address, uint64_t to, Cs__Peer *peer)
{
	cs_peer_send_msg_t *m = cs_peer_send_msg (to, address);
	peer->from = c->own_incarnation;
	size_t n = cs__peer__get_packed_size (peer);
	cs_buf_reserve (&m->bytes, n);
	m->bytes.n = cs__peer__pack (peer, (uint8_t *)m->bytes.p);
	cs_send (c->task, c->peer, &m->msg);
}

static void
send_heartbeats (control_t *c, Cs__Heartbeat *h, cs_str_t delta, int64_t now)
{
	cs_detector_filter_t filter_arg = {&c->detector, now};
	cs_offers_batch_t offers;
	quotas_t quotas;
	size_t place = cs_members_rank_of (&c->members, c->own_incarnation,
					   cs_hash (cs_str (c->settings->zone)), c->settings->zone,
					   cs_detector_filter_available, &filter_arg);
	cs_offers_prepare (&c->offers, &c->groups, &c->evidence, now, &offers);
	for (const cs_member_t *m = c->members.table; m; m = m->hh.next) {
		cs_heartbeat_kind_t talk =
			cs_members_heartbeat_kind (&c->members, c->settings->zone, place, m);
		if (m->incarnation == c->own_incarnation || talk == CS_HEARTBEAT_NONE)
			continue;
		bool is_same_zone = !strcmp (m->zone, c->settings->zone);
		Cs__Peer peer = CS__PEER__INIT;
		cs_offers_attach (talk == CS_HEARTBEAT_WITH_OFFERS ? &offers : NULL, h);
		h->evidence_delta.data = is_same_zone ? (uint8_t *)delta.p : NULL;
		h->evidence_delta.len = is_same_zone ? delta.n : 0;
		cs_detector_fill_heartbeat (&c->detector, &c->members, m->incarnation, h);
		peer.body_case = CS__PEER__BODY_HEARTBEAT;
		peer.heartbeat = h;
		quotas_fill (c, now, m->incarnation, &quotas, h);
		send_peer (c, m->peer_address, m->incarnation, &peer);
	}
}

void
membership_heartbeats (control_t *c, int64_t now)
{
	Cs__Heartbeat h = CS__HEARTBEAT__INIT;
	uint64_t suspects[MAX_SUSPECTS];
	cs_buf_t delta = {0};
	if (!cs_members_get (&c->members, c->own_incarnation))
		return;
	h.control_next = c->control_stream.applier.next_offset;
	h.zone_next = c->zone_stream.applier.next_offset;
	h.suspects = suspects;
	h.n_suspects = cs_poison_suspects (&c->poison, suspects, MAX_SUSPECTS);
	h.leaving = c->draining;
	h.has_log = log_current (c, now);
	cs_config_add_acks (&c->config, &h);
	cs_evidence_remove_nonmembers (&c->evidence, &c->members);
	cs_evidence_export (&c->evidence, now, &delta);
	send_heartbeats (c, &h, cs_buf_str (&delta), now);
	cs_config_acks_free (&h);
	cs_buf_finish (&delta);
}

void
membership_decide (control_t *c, int64_t now)
{
	if (cs_config_tick (&c->config, &c->detector, c->own_incarnation, log_current (c, now), now,
			    &c->control_stream.writer))
		membership_heartbeats (c, now);
}

/* When this daemon sent the nonce that the heartbeat echoes, in monotonic ms; -1 if the nonce is
 * not among the last CS_DETECTOR_NONCES. */
static int64_t
echoed_nonce_sent_ms (const control_t *c, const Cs__Heartbeat *h)
{
	for (size_t i = 0; i < CS_DETECTOR_NONCES; i++)
		if (h->echo && c->detector.nonces[i] == h->echo)
			return c->detector.sent_ms[i];
	return -1;
}

static void
receive_heartbeat (control_t *c, uint64_t from, const Cs__Heartbeat *h, int64_t now)
{
	const cs_member_t *m = cs_members_get (&c->members, from);
	if (!m)
		return;
	cs_detector_record_heartbeat (&c->detector, from, h, now);
	cs_config_merge_acks (&c->config, h);
	catch_up_record_offsets (c, m, h);
	cs_poison_add_hints (&c->poison, now, h->suspects, h->n_suspects);
	int64_t sent = echoed_nonce_sent_ms (c, h);
	if (sent < 0)
		return;
	if (strcmp (m->zone, c->settings->zone) != 0)
		cs_offers_receive (&c->offers, m->zone, h, sent);
	if (h->evidence_delta.len)
		cs_evidence_import (
			&c->evidence, from,
			cs_str_n ((const char *)h->evidence_delta.data, h->evidence_delta.len),
			sent);
	quotas_receive (c, from, h, sent);
}

void
membership_received (control_t *c, const cs_peer_received_msg_t *m)
{
	Cs__Peer *p = cs__peer__unpack (NULL, m->bytes.n, (const uint8_t *)m->bytes.p);
	if (!p)
		return;
	if (p->body_case == CS__PEER__BODY_HEARTBEAT && p->heartbeat)
		receive_heartbeat (c, p->from, p->heartbeat, cs_now_ms ());
	else if (p->body_case == CS__PEER__BODY_STATE_REQUEST && p->state_request)
		catch_up_receive_request (c, p->state_request);
	else if (p->body_case == CS__PEER__BODY_STATE_REPLY && p->state_reply)
		catch_up_receive_reply (c, p->state_reply);
	else if (p->body_case == CS__PEER__BODY_CLAIM_REQUEST && p->claim_request)
		homes_receive_request (c, p->from, p->claim_request);
	else if (p->body_case == CS__PEER__BODY_CLAIM_REPLY && p->claim_reply)
		homes_receive_reply (c, p->claim_reply);
	cs__peer__free_unpacked (p, NULL);
}
