/* Staging, acknowledging and deciding proposals. */
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "log_internal.h"

/* Marks the daemon as having staged the proposal. False if it is not required or already marked. */
static bool
mark_staged (cs_proposal_t *p, uint64_t incarnation)
{
	const uint64_t *at = p->n_required ? bsearch (&incarnation, p->required, p->n_required,
						      sizeof *at, cs_u64_cmp)
					   : NULL;
	if (!at)
		return false;
	size_t i = (size_t)(at - p->required);
	if (cs_proposal_has_staged (p, i))
		return false;
	p->staged[i / 8] |= (uint8_t)(1U << i % 8);
	return true;
}

/* True if every required daemon that is still joined is known to have staged the proposal. */
static bool
all_have_staged (const cs_config_t *c, const cs_proposal_t *p)
{
	for (size_t i = 0; i < p->n_required; i++)
		if (!cs_proposal_has_staged (p, i) && cs_proposal_is_required (c, p, i))
			return false;
	return true;
}

/* Delay in ms before this daemon decides a proposal: 0 on the proposer; on other daemons it grows
 * with the daemon's rendezvous rank, so that one of them takes over if the proposer has died. */
static int64_t
decision_delay_ms (const cs_config_t *c, const cs_detector_t *h, const cs_proposal_t *p,
		   uint64_t me, int64_t now_ms)
{
	cs_detector_filter_t filter = {h, now_ms};
	if (p->proposer == me)
		return 0;
	if (c->disabled & CS_CONFIG_NO_TAKEOVER)
		return INT64_MAX / 2;
	int64_t rank = (int64_t)cs_members_rank_of (c->members, me, p->offset, NULL,
						    cs_detector_filter_available, &filter);
	int64_t delay_ms = (rank + 1) * CS_CONFIG_STAGGER_MS;
	return delay_ms < CS_CONFIG_STAGGER_MAX_MS ? delay_ms : CS_CONFIG_STAGGER_MAX_MS;
}

/* Writes the incarnations of the required daemons that are still joined and have staged the
 * proposal, or have not if staged is false, to out, which has room for p->n_required. Returns their
 * number. */
static size_t
collect_required (const cs_config_t *c, const cs_proposal_t *p, bool staged, uint64_t *out)
{
	size_t n = 0;
	for (size_t i = 0; i < p->n_required; i++)
		if (cs_proposal_has_staged (p, i) == staged && cs_proposal_is_required (c, p, i))
			out[n++] = p->required[i];
	return n;
}

static void
submit_activate (const cs_config_t *c, const cs_proposal_t *p, cs_writer_t *control)
{
	Cs__Activate a = CS__ACTIVATE__INIT;
	Cs__Record r = CS__RECORD__INIT;
	a.proposal = p->offset;
	a.acknowledged = cs_alloc (p->n_required * sizeof *a.acknowledged);
	a.n_acknowledged = collect_required (c, p, true, a.acknowledged);
	r.body_case = CS__RECORD__BODY_ACTIVATE;
	r.activate = &a;
	cs_writer_submit (control, &r, NULL);
	free (a.acknowledged);
}

static void
submit_withdraw (const cs_config_t *c, const cs_proposal_t *p, cs_writer_t *control)
{
	Cs__Withdraw w = CS__WITHDRAW__INIT;
	Cs__Record r = CS__RECORD__INIT;
	w.proposal = p->offset;
	w.reason = "not staged in time by";
	w.missing = cs_alloc (p->n_required * sizeof *w.missing);
	w.n_missing = collect_required (c, p, false, w.missing);
	r.body_case = CS__RECORD__BODY_WITHDRAW;
	r.withdraw = &w;
	cs_writer_submit (control, &r, NULL);
	free (w.missing);
}

/* Submits ACTIVATE or WITHDRAW if it is time for this daemon to do so. */
static void
decide_if_due (cs_config_t *c, const cs_detector_t *h, cs_proposal_t *p, uint64_t me,
	       int64_t now_ms, cs_writer_t *control)
{
	int64_t delay_ms = decision_delay_ms (c, h, p, me, now_ms);
	if (p->last_attempt_ms >= 0 && now_ms - p->last_attempt_ms < CS_CONFIG_RETRY_MS)
		return;
	if (p->all_staged_ms >= 0) {
		if (now_ms - p->all_staged_ms < delay_ms)
			return;
		submit_activate (c, p, control);
	} else {
		if ((c->disabled & CS_CONFIG_NO_WITHDRAW) ||
		    now_ms - p->opened_ms < CS_CONFIG_WITHDRAW_MS + delay_ms)
			return;
		submit_withdraw (c, p, control);
	}
	p->last_attempt_ms = now_ms;
}

bool
cs_config_tick (cs_config_t *c, const cs_detector_t *h, uint64_t me, bool log_current,
		int64_t now_ms, cs_writer_t *control)
{
	for (size_t i = 0; i < c->n_proposals; i++) {
		cs_proposal_t *p = c->proposals[i];
		if (p->state != CS_PROPOSAL_OPEN)
			continue;
		if (p->opened_ms < 0)
			p->opened_ms = now_ms;
		c->has_unsent_acks |= mark_staged (p, me);
		if (p->all_staged_ms < 0 &&
		    (all_have_staged (c, p) || (c->disabled & CS_CONFIG_NO_ACK_ALL)))
			p->all_staged_ms = now_ms;
		if (log_current)
			decide_if_due (c, h, p, me, now_ms, control);
	}
	return c->has_unsent_acks;
}

void
cs_config_add_acks (cs_config_t *c, Cs__Heartbeat *heartbeat)
{
	c->has_unsent_acks = false;
	heartbeat->acks = cs_alloc (c->n_proposals * sizeof *heartbeat->acks);
	for (size_t i = 0; i < c->n_proposals; i++) {
		const cs_proposal_t *p = c->proposals[i];
		if (p->state != CS_PROPOSAL_OPEN)
			continue;
		Cs__ProposalAck *ack = cs_alloc (sizeof *ack);
		cs__proposal_ack__init (ack);
		ack->proposal = p->offset;
		ack->staged.data = p->staged;
		ack->staged.len = (p->n_required + 7) / 8;
		heartbeat->acks[heartbeat->n_acks++] = ack;
	}
}

void
cs_config_acks_free (Cs__Heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_acks; i++)
		free (heartbeat->acks[i]);
	free (heartbeat->acks);
	heartbeat->acks = NULL;
	heartbeat->n_acks = 0;
}

/* Marks the daemons that the acknowledgement lists; true if one of them was not marked before. */
static bool
merge_ack (cs_proposal_t *p, const Cs__ProposalAck *ack)
{
	bool changed = false;
	for (size_t i = 0; i < p->n_required && i / 8 < ack->staged.len; i++) {
		if (!(ack->staged.data[i / 8] & 1U << i % 8) || cs_proposal_has_staged (p, i))
			continue;
		p->staged[i / 8] |= (uint8_t)(1U << i % 8);
		changed = true;
	}
	return changed;
}

void
cs_config_merge_acks (cs_config_t *c, const Cs__Heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_acks; i++) {
		const Cs__ProposalAck *ack = heartbeat->acks[i];
		cs_proposal_t *p = (cs_proposal_t *)cs_config_proposal (c, ack->proposal);
		if (p && p->state == CS_PROPOSAL_OPEN)
			c->has_unsent_acks |= merge_ack (p, ack);
	}
}
