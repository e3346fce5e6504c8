/* The planner's options and life cycle, and the sequence of steps of one run. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cs/bucket.h"

void
cs_planner_options_init (cs_planner_options_t *options)
{
	static const cs_planner_options_t defaults = {
		.load_ms = 60000,
		.bind_ms = 2000,
		.return_ms = 90000,
		.silent_domain_return_ms = 300000,
		.replace_ms = 300000,
		.order_lifetime_ms = 3000,
		.max_state_age_ms = 2000,
		.lost_after_ms = 5000,
		.gone_after_ms = 10000,
		.silent_domain_hold_ms = 60000,
		.settle_ms = 4000,
		.drain_max_ms = 600000,
		.min_assignment_ms = 20000,
		.stagger_ms = 3000,
		.order_repeat_ms = 2000,
		.append_repeat_ms = 4000,
		.max_loads = 8,
		.appends_per_s = 30,
		.orders_per_s = 50,
		.max_cost_ratio = 0.8,
	};
	*options = defaults;
}

void
cs_planner_init (cs_planner_t *p, const char *zone, const cs_planner_options_t *options)
{
	memset (p, 0, sizeof *p);
	p->zone = cs_str_dup (cs_str (zone));
	p->started_ms = -1;
	if (options)
		p->options = *options;
	else
		cs_planner_options_init (&p->options);
}

void
cs_planner_finish (cs_planner_t *p)
{
	cs_planner_intent_t *intent, *next_intent;
	cs_planner_assignment_t *assignment, *next_assignment;
	HASH_ITER (hh, p->intents, intent, next_intent) {
		HASH_DEL (p->intents, intent);
		free (intent);
	}
	HASH_ITER (hh, p->assignments, assignment, next_assignment) {
		HASH_DEL (p->assignments, assignment);
		free (assignment);
	}
	free (p->zone);
	memset (p, 0, sizeof *p);
}

/* Refills the rate limits. After a pause of this daemon all reports are old: silences count from
 * the end of the pause, so that reports have time to arrive. */
static void
begin_run (cs_planner_t *p, int64_t now_ms)
{
	if (p->started_ms < 0 || now_ms - p->last_ms > p->options.lost_after_ms) {
		p->started_ms = now_ms;
		p->last_ms = now_ms - 1000;
	}
	int64_t step = now_ms - p->last_ms;
	p->append_tokens = cs_bucket_refill (p->append_tokens, p->options.appends_per_s, step,
					     p->options.appends_per_s);
	p->order_tokens = cs_bucket_refill (p->order_tokens, p->options.orders_per_s, step,
					    p->options.orders_per_s);
	p->last_ms = now_ms;
	p->run++;
}

void
cs_planner_plan (cs_planner_t *p, const cs_plan_input_t *in, cs_plan_t *out)
{
	plan_context_t w = {.p = p, .in = in, .out = out};
	begin_run (p, in->now_ms);
	w.fresh = in->now_ms - in->read_sent_ms <= p->options.max_state_age_ms;
	plan_view_init (&w);
	plan_targets_init (&w);
	plan_observe_loads (&w);
	if (w.fresh) {
		plan_compare_list (&w);
		plan_dissolve_undeclared (&w);
	}
	if (w.fresh && !w.mostly_silent) {
		plan_repair_groups (&w);
		plan_merge_groups (&w);
		plan_form_groups (&w);
	}
	plan_release_vms (&w);
	plan_order_loads (&w);
	plan_drop_stale_hints (&w);
	plan_view_finish (&w);
}
