#include "support_faults.h"

static void
mark_zone_touched (support_faults_t *f, const support_cluster_t *c, size_t zone)
{
	for (size_t i = 0; i < SUPPORT_DAEMONS; i++)
		if (c->daemons[i].zone_index == zone)
			f->touched[i] = true;
}

static void
inject_fault (support_faults_t *f, support_cluster_t *c, support_plan_t *p)
{
	support_daemon_t *d = c->daemons;
	p->at_ms = c->now_ms;
	switch (p->fault) {
	case PROPOSER_DIES:
		d[0].crashed = f->touched[0] = true;
		break;
	case ZONE_CUT:
		c->zone_partitioned[1] = true;
		mark_zone_touched (f, c, 1);
		break;
	case ANSWERS_LOST:
		c->log.lost_replies = 3;
		break;
	case APPENDS_REFUSED:
		c->log.rejected_appends = 3;
		break;
	case RACING_PROPOSAL:
		f->raced_with = f->race_version;
		support_cluster_propose (&d[4], "c4", f->race_version, 70);
		break;
	case DAEMON_PAUSED:
		d[5].paused = f->touched[5] = true;
		break;
	case DAEMON_RESTARTED:
		f->touched[4] = true;
		support_cluster_restart (c, &d[4]);
		break;
	case LOG_DOWN:
		c->log.down = f->log_failed = true;
		break;
	case DAEMON_ISOLATED:
		d[8].isolated = f->touched[8] = true;
		break;
	case LOG_CUT:
		d[7].log_unreachable = f->touched[7] = true;
		break;
	case RECORDS_EXPIRE:
		cs_applier_submit_snapshot (&d[6].applier, &d[6].writer, c->now_ms);
		break;
	default:
		break;
	}
}

static void
end_fault (support_cluster_t *c, support_plan_t *p)
{
	support_daemon_t *d = c->daemons;
	p->ended = true;
	if (p->fault == PROPOSER_DIES)
		support_cluster_restart (c, &d[0]);
	c->zone_partitioned[1] = c->zone_partitioned[1] && p->fault != ZONE_CUT;
	c->log.down = c->log.down && p->fault != LOG_DOWN;
	d[5].paused = d[5].paused && p->fault != DAEMON_PAUSED;
	d[8].isolated = d[8].isolated && p->fault != DAEMON_ISOLATED;
	d[7].log_unreachable = d[7].log_unreachable && p->fault != LOG_CUT;
}

static bool
is_step_reached (const support_cluster_t *c, support_step_t step)
{
	const cs_proposal_t *p = cs_config_proposal_by_id (&c->config, cs_str ("c1"));
	size_t staged = 0;
	bool acknowledged = false;
	for (size_t i = 1; i < SUPPORT_DAEMONS; i++) {
		const cs_proposal_t *x =
			cs_config_proposal_by_id (&c->daemons[i].config, cs_str ("c1"));
		staged += x != NULL;
		acknowledged |= x && x->all_staged_ms >= 0;
	}
	switch (step) {
	case BEFORE_PROPOSE:
		return c->now_ms >= SUPPORT_C1_MS - SUPPORT_STEP_MS;
	case PROPOSED:
		return p != NULL;
	case STAGED_BY_ONE:
		return staged > 0;
	case STAGED_BY_ALL:
		return staged == SUPPORT_DAEMONS - 1;
	case ACKNOWLEDGED:
		return acknowledged;
	default:
		return p && p->state == CS_PROPOSAL_ACTIVE;
	}
}

void
support_faults_run (support_faults_t *f, support_cluster_t *c, support_plan_t *p)
{
	int64_t lasts_ms = p->fault == LOG_DOWN ? SUPPORT_OUTAGE_MS : SUPPORT_FAULT_MS;
	if (p->fault == RECORDS_EXPIRE && c->reference_applier.snapshot_record_offset)
		support_log_expire (&c->log, "control", c->reference_applier.snapshot_offset);
	if (p->fault == NO_FAULT)
		return;
	if (p->at_ms < 0 && (is_step_reached (c, p->step) || c->now_ms >= SUPPORT_LATEST_MS))
		inject_fault (f, c, p);
	else if (p->at_ms >= 0 && !p->ended && c->now_ms - p->at_ms >= lasts_ms)
		end_fault (c, p);
}
