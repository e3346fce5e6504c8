/* Team demand in heartbeats: filled in for a peer, and read from a peer's heartbeat. */
#include "control.h"

static void
fill_quota (const cs_quota_report_t *r, Cs__TeamQuota *q, Cs__TeamQuota **to)
{
	cs__team_quota__init (q);
	q->limit = r->limit;
	q->held = r->held;
	q->free = r->free;
	q->wanted = r->wanted;
	q->given = r->given;
	q->waiting_s = r->waiting_s;
	*to = r->limit ? q : NULL;
}

void
quotas_fill (control_t *c, int64_t now, uint64_t peer, quotas_t *out, Cs__Heartbeat *h)
{
	const cs_resource_t *r = NULL;
	h->demand = out->list;
	h->n_demand = 0;
	while (h->n_demand < MAX_TEAMS && (r = cs_config_next (&c->config, CS_KIND_TEAM, r))) {
		cs_team_report_t report;
		size_t at = h->n_demand;
		Cs__TeamDemand *t = &out->teams[at];
		if (!cs_limits_make_report (&c->limits, now, peer, r->resource->name, &report))
			continue;
		cs__team_demand__init (t);
		t->team = r->resource->name;
		fill_quota (&report.quotas[CS_DIM_REQUESTS], &out->quotas[at][0], &t->requests);
		fill_quota (&report.quotas[CS_DIM_TOKENS], &out->quotas[at][1], &t->tokens);
		fill_quota (&report.quotas[CS_DIM_CONCURRENT], &out->quotas[at][2], &t->concurrent);
		out->list[at] = t;
		h->n_demand++;
	}
}

static cs_quota_report_t
read_quota (const Cs__TeamQuota *q)
{
	if (!q)
		return (cs_quota_report_t){0};
	return (cs_quota_report_t){.limit = q->limit,
				   .held = q->held,
				   .free = q->free,
				   .wanted = q->wanted,
				   .given = q->given,
				   .waiting_s = q->waiting_s};
}

void
quotas_receive (control_t *c, uint64_t from, const Cs__Heartbeat *h, int64_t sent)
{
	cs_limits_record_heartbeat (&c->limits, sent, from);
	for (size_t i = 0; i < h->n_demand; i++) {
		const Cs__TeamDemand *t = h->demand[i];
		cs_team_report_t report = {{read_quota (t->requests), read_quota (t->tokens),
					    read_quota (t->concurrent)}};
		cs_limits_record_report (&c->limits, cs_now_ms (), sent, from, t->team, &report);
	}
}
