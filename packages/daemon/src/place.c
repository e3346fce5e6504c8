/* Placement of requests: a request suspected of crashing replicas is isolated on one group. */
#include <string.h>

#include "control.h"

enum {
	MAX_CANDIDATES = 1024 /* groups considered for a suspect request */
};

/* Lists the groups of the job's model group: those of this zone and those offered by other zones.
 * `out` has room for MAX_CANDIDATES names and borrows them. Returns their number. */
static size_t
list_model_groups (const control_t *c, const job_t *j, const char **out)
{
	size_t n = 0;
	for (const cs_group_t *g = NULL; (g = cs_groups_next (&c->groups, g));)
		if (n < MAX_CANDIDATES && !strcmp (g->model_group, j->service))
			out[n++] = g->group;
	for (const cs_offer_t *o = c->offers.fresh; o; o = o->hh.next)
		if (n < MAX_CANDIDATES && !strcmp (o->model_group, j->service))
			out[n++] = o->group;
	return n;
}

cs_status_t
job_place (control_t *c, job_t *j, cs_route_t *route)
{
	const char *groups[MAX_CANDIDATES];
	const char *only = NULL;
	if (!j->is_model_group)
		return job_pick (c, j, NULL, route);
	switch (cs_poison_judge (&c->poison, cs_now_ms (), j->fingerprint)) {
	case CS_POISON_REFUSED:
		return CS_CONFLICT;
	case CS_POISON_SUSPECT:
		if (cs_poison_place (&c->poison, cs_now_ms (), j->fingerprint, groups,
				     list_model_groups (c, j, groups), &only) != CS_OK)
			return CS_UNAVAILABLE;
		break;
	case CS_POISON_CLEAN:
		break;
	}
	return job_pick (c, j, only, route);
}
