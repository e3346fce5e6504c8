/* Merges two broken groups of one fabric domain: dissolves one so that its members complete the
 * other. */
#include "plan_internal.h"

#include <stdlib.h>

/* Expected time until the members of a dissolved group are free: earlier orders have expired and
 * FREED is applied. */
static int64_t
release_time_ms (const plan_context_t *w)
{
	const cs_planner_options_t *o = &w->p->options;
	return o->order_lifetime_ms + o->max_state_age_ms + o->append_repeat_ms;
}

static double
min_time (double a, double b)
{
	return a < b ? a : b;
}

/* Whether merging costs less than waiting for the lost members of both groups. Each wait is capped
 * at the time in which the platform replaces a VM and the substitute loads. */
static bool
is_merge_cheaper (const plan_context_t *w, const target_t *to, const target_t *from)
{
	const cs_planner_options_t *o = &w->p->options;
	double downtime_weight = w->in->downtime_weight;
	double stranded_weight = w->in->stranded_weight;
	double max_wait_ms =
		(double)(o->replace_ms + plan_time_for_loads_ms (w, to->assignment->weights, 1));
	double to_wait_ms = min_time ((double)to->wait_ms, max_wait_ms);
	double from_wait_ms = min_time ((double)from->wait_ms, max_wait_ms);
	double to_whole_ms =
		(double)(release_time_ms (w) + plan_time_for_loads_ms (w, to->assignment->weights,
								       plan_count_missing (to)));
	double members = (double)from->desired->spec->members;
	double longer_wait_ms = to_wait_ms > from_wait_ms ? to_wait_ms : from_wait_ms;
	double from_whole_ms =
		longer_wait_ms +
		(double)plan_time_for_loads_ms (w, from->assignment->weights, (size_t)members);
	double accelerators_per_member =
		members > 0 ? (double)(to->accelerators + from->accelerators) /
				      (double)(to->group->n_members - to->unfit +
					       from->group->n_members - from->unfit)
			    : 0;
	double unused_accelerators = to->accelerators + from->accelerators -
				     accelerators_per_member * to->desired->spec->members;

	double wait_cost = (downtime_weight + stranded_weight * to->accelerators) * to_wait_ms +
			   (downtime_weight + stranded_weight * from->accelerators) * from_wait_ms;
	double merge_cost = downtime_weight * (to_whole_ms + from_whole_ms) +
			    stranded_weight * (to->accelerators + from->accelerators) * to_whole_ms;
	if (unused_accelerators > 0 && from_whole_ms > to_whole_ms)
		merge_cost += stranded_weight * unused_accelerators * (from_whole_ms - to_whole_ms);
	return plan_is_action_cheaper (w, merge_cost, wait_cost);
}

static bool
may_be_merged (const plan_context_t *w, const target_t *to, const target_t *from)
{
	size_t fit = from->group->n_members - from->unfit;
	if (from == to || from->handled || from->domain != to->domain || !from->drained)
		return false;
	return fit + to->domain->n_spares >= plan_count_missing (to) &&
	       plan_may_reassign (w, from) && is_merge_cheaper (w, to, from);
}

void
plan_merge_groups (plan_context_t *w)
{
	target_t **list = cs_alloc (w->n_targets * sizeof (void *));
	size_t n = plan_is_disabled (w, CS_PLANNER_MERGE) ? 0 : plan_list_broken (w, list);
	for (size_t i = 0; i < n; i++) {
		target_t *to = list[i];
		domain_t *domain = to->domain;
		if (to->handled || !plan_may_reassign (w, to) ||
		    domain->n_spares + domain->n_returning >= plan_count_missing (to))
			continue;
		for (size_t k = n; k-- > 0;) {
			if (!may_be_merged (w, to, list[k]))
				continue;
			plan_append_dissolve (w, list[k],
					      "its members complete another broken group");
			to->handled = true;
			break;
		}
	}
	free (list);
}
