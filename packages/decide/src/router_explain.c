/* What the choice of a target would be, see cs/router.h. */
#include <stdlib.h>
#include <string.h>

#include "router_impl.h"

static void
describe (const cs_router_t *r, const cs_target_t *t, int64_t now_ms, const cs_route_query_t *q,
	  size_t n_candidates, cs_route_judged_t *out)
{
	out->name = t->name;
	out->zone = t->zone;
	out->in_other_zone = !t->own_zone;
	out->slots = t->max_concurrent;
	out->load = cs_target_load (r, t, now_ms);
	out->load_age_ms = t->reported ? now_ms - t->report_ms : -1;
	out->first_event_ms =
		t->placing.is_stated
			? (int64_t)cs_placing_first_event_ms (r, t, now_ms, q, n_candidates)
			: -1;
}

/* Verdicts are in the order in which targets are listed. */
static void
list (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, cs_route_judged_t *judged,
      size_t max, cs_route_explanation_t *out)
{
	size_t n_range;
	size_t first = cs_router_find_service (r, q->service, &n_range);
	const cs_route_candidates_t c = cs_router_collect (r, now_ms, q);
	cs_route_verdict_t *verdicts = cs_alloc ((n_range + 1) * sizeof *verdicts);
	for (size_t i = 0; i < n_range; i++) {
		verdicts[i] = cs_router_judge (r, r->targets[first + i], now_ms, q, &c.pass);
		out->n[verdicts[i]]++;
	}
	for (unsigned v = 0; v < CS_ROUTE_VERDICTS; v++)
		for (size_t i = 0; i < n_range && out->n_judged < max; i++) {
			if (verdicts[i] != v)
				continue;
			judged[out->n_judged].verdict = verdicts[i];
			describe (r, r->targets[first + i], now_ms, q, c.n,
				  &judged[out->n_judged++]);
		}
	free (verdicts);
}

/* A request that may have run is continued, even at a target at capacity. */
static void
pick_next (cs_router_t *r, int64_t now_ms, const cs_route_query_t *q, cs_route_explanation_t *out)
{
	cs_route_query_t next = *q;
	const char **avoid = cs_alloc ((q->n_avoid + 1) * sizeof *avoid);
	for (size_t i = 0; i < q->n_avoid; i++)
		avoid[i] = q->avoid[i];
	avoid[q->n_avoid] = out->chosen.name;
	next.avoid = avoid;
	next.n_avoid++;
	out->next_status = cs_router_pick (r, now_ms, &next, &out->next);
	if (out->next_status == CS_EXHAUSTED) {
		next.includes_full = true;
		out->next_status = cs_router_pick (r, now_ms, &next, &out->next);
	}
	free ((void *)avoid);
}

void
cs_router_explain (const cs_router_t *r, int64_t now_ms, const cs_route_query_t *q,
		   cs_route_judged_t *judged, size_t max, cs_route_explanation_t *out)
{
	/* Draws, the turn and the buffer are the copy's; targets are only read. */
	cs_router_t copy = *r;
	copy.eligible = NULL;
	copy.cap_eligible = 0;
	memset (out, 0, sizeof *out);
	out->status = out->next_status = CS_UNAVAILABLE;
	list (&copy, now_ms, q, judged, max, out);
	out->status = cs_router_pick (&copy, now_ms, q, &out->chosen);
	if (out->status == CS_OK)
		pick_next (&copy, now_ms, q, out);
	free ((void *)copy.eligible);
}

const char *
cs_route_verdict_name (cs_route_verdict_t verdict)
{
	static const char *const names[CS_ROUTE_VERDICTS] = {
		[CS_ROUTE_CANDIDATE] = "candidate",
		[CS_ROUTE_FULL] = "full",
		[CS_ROUTE_BARRED] = "cold",
		[CS_ROUTE_SUSPECT] = "suspect",
		[CS_ROUTE_EJECTED] = "ejected",
		[CS_ROUTE_TRIED] = "tried",
		[CS_ROUTE_OTHER_ZONE] = "other-zone",
		[CS_ROUTE_NO_HOME] = "no-home",
		[CS_ROUTE_EVACUATED] = "evacuated",
		[CS_ROUTE_LEAVING] = "leaving",
		[CS_ROUTE_UNREACHABLE] = "unreachable",
		[CS_ROUTE_UNSUITED] = "unsuited",
		[CS_ROUTE_NOT_SERVING] = "not-serving",
	};
	return names[verdict];
}
