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
	return o->order_life_ms + o->max_fold_age_ms + o->append_repeat_ms;
}

static double
min_time (double a, double b)
{
	return a < b ? a : b;
}

/* Whether merging costs less than waiting for the lost members of both groups. Each wait is capped
 * at the time in which the platform replaces a VM and the substitute loads. */
static bool
merge_pays (const plan_context_t *w, const target_t *to, const target_t *from)
{
	const cs_planner_options_t *o = &w->p->options;
	double d = w->in->downtime_weight;
	double s = w->in->stranded_weight;
	double longest =
		(double)(o->replace_ms + plan_time_for_loads_ms (w, to->assignment->weights, 1));
	double wait_to = min_time ((double)to->wait_ms, longest);
	double wait_from = min_time ((double)from->wait_ms, longest);
	double merged =
		(double)(release_time_ms (w) + plan_time_for_loads_ms (w, to->assignment->weights,
								       plan_count_missing (to)));
	double members = (double)from->desired->spec->members;
	double later = wait_to > wait_from ? wait_to : wait_from;
	double back = later + (double)plan_time_for_loads_ms (w, from->assignment->weights,
							      (size_t)members);
	double each = members > 0 ? (double)(to->accelerators + from->accelerators) /
					    (double)(to->group->n_members - to->unfit +
						     from->group->n_members - from->unfit)
				  : 0;
	double left = to->accelerators + from->accelerators - each * to->desired->spec->members;

	double wait =
		(d + s * to->accelerators) * wait_to + (d + s * from->accelerators) * wait_from;
	double merge = d * (merged + back) + s * (to->accelerators + from->accelerators) * merged;
	if (left > 0 && back > merged)
		merge += s * left * (back - merged);
	return plan_action_pays (w, merge, wait);
}

static bool
may_be_merged (const plan_context_t *w, const target_t *to, const target_t *from)
{
	size_t fit = from->group->n_members - from->unfit;
	if (from == to || from->handled || from->domain != to->domain || !from->drained)
		return false;
	return fit + to->domain->n_spares >= plan_count_missing (to) &&
	       plan_may_reassign (w, from) && merge_pays (w, to, from);
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
					      "its members make another broken group whole");
			to->handled = true;
			break;
		}
	}
	free (list);
}
