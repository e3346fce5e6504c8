/* Repairs groups with lost, leaving or overdue members: replaces them by spares of the fabric
 * domain, moves the group to another domain, or waits. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

/* Cost per unit of time of this group being down. */
static double
cost_rate (const plan_context_t *w, const target_t *t)
{
	return w->in->downtime_weight + w->in->stranded_weight * t->accelerators;
}

static int
by_cost_rate (const void *a, const void *b, void *context)
{
	const target_t *x = *(target_t *const *)a;
	const target_t *y = *(target_t *const *)b;
	double px = cost_rate (context, x) / (double)x->unfit;
	double py = cost_rate (context, y) / (double)y->unfit;
	if (px != py)
		return px > py ? -1 : 1;
	return strcmp (x->name, y->name);
}

size_t
plan_list_broken (plan_context_t *w, target_t **list)
{
	size_t n = 0;
	for (size_t i = 0; i < w->n_targets; i++) {
		target_t *t = &w->targets[i];
		if (t->group && t->desired && t->unfit && !t->handled)
			list[n++] = t;
	}
	qsort_r (list, n, sizeof *list, by_cost_rate, w);
	return n;
}

bool
plan_may_reassign (const plan_context_t *w, const target_t *t)
{
	const cs_planner_options_t *o = &w->p->options;
	bool all_gone = t->lost && t->silence_ms >= NEVER_MS;
	if (plan_is_disabled (w, CS_PLANNER_LEAVING) && !t->lost)
		return false;
	if (t->domain->mostly_silent && t->lost && !all_gone &&
	    t->silence_ms < o->silent_domain_hold_ms &&
	    !plan_is_disabled (w, CS_PLANNER_SILENT_DOMAIN_HOLD))
		return false;
	/* A group that has not been whole under its assignment keeps it for min_assignment_ms. */
	return t->assignment->was_whole ||
	       w->in->now_ms - t->assignment->seen_ms >= o->min_assignment_ms;
}

static bool
is_fit (const plan_context_t *w, const cs_group_t *g, const cs_vm_t *vm)
{
	return !vm->leaving && !plan_is_lost (w, vm) && !plan_overdue_load_ms (w, g, vm);
}

size_t
plan_count_missing (const target_t *t)
{
	size_t members = t->desired->spec->members;
	size_t fit = t->group->n_members - t->unfit;
	return members > fit ? members - fit : 0;
}

/* Preference for a spare; higher is better. */
static int
suitability (const plan_context_t *w, const target_t *t, const cs_vm_t *vm)
{
	static const int values[] = {
		[WARMTH_OTHER] = 0, [WARMTH_NONE] = 1, [WARMTH_LOADING] = 2, [WARMTH_READY] = 3};
	const Cs__ModelGroup *spec = t->desired->spec;
	return values[plan_warmth (w, vm, plan_hash_spec_weights (spec))];
}

/* Removes the best spare from a domain's list, the first of equal ones. The list must not be
 * empty. */
static const cs_vm_t *
pop_best_spare (const plan_context_t *w, const target_t *t, domain_t *d)
{
	size_t best = 0;
	for (size_t i = 1; i < d->n_spares; i++)
		if (suitability (w, t, d->spares[i]) > suitability (w, t, d->spares[best]))
			best = i;
	const cs_vm_t *vm = d->spares[best];
	memmove (d->spares + 1, d->spares, best * sizeof (void *));
	d->spares++;
	d->n_spares--;
	return vm;
}

/* Loads from the weight store needed to use so many spares of a domain. */
static size_t
count_cold_spares (const plan_context_t *w, const target_t *t, const domain_t *d, size_t spares)
{
	size_t warm = plan_count_warm (w, d, t->desired->spec);
	return spares > warm ? spares - warm : 0;
}

void
plan_replace_members (plan_context_t *w, target_t *t, const char *reason)
{
	size_t members = t->desired->spec->members;
	size_t need = plan_count_missing (t);
	const cs_vm_t **list = cs_alloc (members * sizeof (void *));
	size_t n = 0;
	for (size_t i = 0; i < t->group->n_members && n < members; i++) {
		if (is_fit (w, t->group, t->group->members[i]))
			list[n++] = t->group->members[i];
		else if (need && need--)
			list[n++] = pop_best_spare (w, t, t->domain);
	}
	while (n < members)
		list[n++] = pop_best_spare (w, t, t->domain);
	plan_append_form (w, t, list, reason);
	free (list);
}

domain_t *
plan_find_domain (plan_context_t *w, size_t members, const domain_t *except)
{
	domain_t *best = NULL;
	for (size_t i = 0; i < w->n_domains; i++) {
		domain_t *d = &w->domains[i];
		if (d == except || d->mostly_silent || d->n_spares < members)
			continue;
		if (!best || d->n_spares > best->n_spares)
			best = d;
	}
	return best;
}

void
plan_form_in_domain (plan_context_t *w, target_t *t, domain_t *d, const char *reason)
{
	size_t members = t->desired->spec->members;
	const cs_vm_t **list = cs_alloc (members * sizeof (void *));
	w->pending_loads += count_cold_spares (w, t, d, members);
	for (size_t i = 0; i < members; i++)
		list[i] = pop_best_spare (w, t, d);
	plan_append_form (w, t, list, reason);
	free (list);
}

/* Whether to wait for the lost members rather than start loads on substitutes. */
static bool
should_wait (const plan_context_t *w, const target_t *t, size_t loads)
{
	int64_t load_ms =
		plan_time_for_loads_ms (w, plan_hash_spec_weights (t->desired->spec), loads);
	if (t->wait_ms >= NEVER_MS)
		return false;
	if (t->domain->mostly_silent || plan_is_disabled (w, CS_PLANNER_SILENCES))
		return !plan_is_action_cheaper (w, (double)load_ms, (double)t->wait_ms);
	return plan_is_wait_faster (w, t->silence_ms, load_ms);
}

static void
repair_group (plan_context_t *w, target_t *t)
{
	size_t need = plan_count_missing (t);
	size_t members = t->desired->spec->members;
	if (t->domain->n_spares >= need) {
		size_t loads = count_cold_spares (w, t, t->domain, need);
		if (should_wait (w, t, loads))
			return;
		plan_replace_members (w, t,
				      "spares of the fabric domain take the place of lost members");
		w->pending_loads += loads;
		return;
	}
	if (t->domain->n_spares + t->domain->n_returning >= need)
		return;
	domain_t *d = plan_find_domain (w, members, t->domain);
	if (d && !should_wait (w, t, count_cold_spares (w, t, d, members)))
		plan_form_in_domain (w, t, d, "the group moves to another fabric domain");
}

/* Counts the members of formed groups that do not have their weights yet. */
static size_t
count_loads (const plan_context_t *w)
{
	size_t n = 0;
	for (size_t i = 0; i < w->n_targets; i++) {
		const target_t *t = &w->targets[i];
		if (!t->group || t->whole || t->unfit)
			continue;
		for (size_t k = 0; k < t->group->n_members; k++) {
			const cs_vm_report_t *r = plan_fresh_report (w, t->group->members[k]);
			n += r && r->state != CS_MEMBER_READY;
		}
	}
	return n;
}

void
plan_repair_groups (plan_context_t *w)
{
	target_t **list = cs_alloc (w->n_targets * sizeof (void *));
	size_t n = plan_list_broken (w, list);
	w->pending_loads = count_loads (w);
	for (size_t i = 0; i < n; i++)
		if (plan_may_reassign (w, list[i]))
			repair_group (w, list[i]);
	free (list);
}
