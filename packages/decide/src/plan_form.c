/* Reconciles formed groups with the declared ones: forms, dissolves and updates groups. */
#include "plan_internal.h"

#include <stdlib.h>
#include <string.h>

void
plan_dissolve_undeclared (plan_context_t *w)
{
	for (size_t i = 0; i < w->n_targets; i++)
		if (!w->targets[i].desired)
			plan_append_dissolve (w, &w->targets[i], "no declaration names the group");
}

static int
by_members (const void *a, const void *b)
{
	const target_t *x = *(target_t *const *)a;
	const target_t *y = *(target_t *const *)b;
	uint32_t mx = x->desired->spec->members;
	uint32_t my = y->desired->spec->members;
	if (mx != my)
		return mx > my ? -1 : 1;
	return x < y ? -1 : x > y;
}

static void
form_missing (plan_context_t *w)
{
	target_t **list = cs_alloc (w->n_targets * sizeof (void *));
	size_t n = 0;
	for (size_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].desired && !w->targets[i].group)
			list[n++] = &w->targets[i];
	qsort (list, n, sizeof *list, by_members);
	for (size_t i = 0; i < n; i++) {
		domain_t *d = plan_find_domain (w, list[i]->desired->spec->members, NULL);
		if (d)
			plan_form_in_domain (w, list[i], d, "the group is declared and not formed");
	}
	free (list);
}

static bool
is_outdated (const target_t *t)
{
	const Cs__ModelGroup *spec = t->desired->spec;
	const cs_group_t *g = t->group;
	return strcmp (g->model, spec->model) != 0 || strcmp (g->version, spec->version) != 0 ||
	       g->n_members != spec->members;
}

/* Reassigns a group with its declared model, version and size, or dissolves it if the spares of
 * its fabric domain do not suffice. */
static void
update_group (plan_context_t *w, target_t *t)
{
	if (t->domain->n_spares >= plan_count_missing (t))
		plan_replace_members (w, t, "the declaration has changed");
	else
		plan_append_dissolve (
			w, t, "the fabric domain has too few spares for the declared members");
}

/* Rolling update: one group of a declaration at a time, so that the others keep serving. */
static void
update_declared (plan_context_t *w, const cs_desired_t *desired)
{
	bool updating = false;
	for (size_t i = 0; i < w->n_targets; i++) {
		const target_t *t = &w->targets[i];
		if (t->desired == desired && t->group && !is_outdated (t) && !t->whole && !t->unfit)
			updating = true;
	}
	for (size_t i = 0; i < w->n_targets; i++) {
		target_t *t = &w->targets[i];
		if (t->desired != desired || !t->group || t->handled || t->unfit ||
		    !is_outdated (t))
			continue;
		if (t->whole && updating)
			continue;
		updating = true;
		update_group (w, t);
	}
}

void
plan_form_groups (plan_context_t *w)
{
	form_missing (w);
	for (size_t i = 0; i < w->in->n_desired; i++)
		update_declared (w, &w->in->desired[i]);
}
