/* The planner's hints: wishes and what was seen of assignments. */
#include "plan_internal.h"

#include <stdlib.h>

#include "cs/hash.h"

static uint64_t
wish_key (const char *what, const char *name, uint64_t number)
{
	return cs_rendezvous (cs_hash (cs_str (what)) ^ number, cs_hash (cs_str (name)));
}

cs_planner_wish_t *
plan_find_wish (const work_t *w, const char *what, const char *name, uint64_t number)
{
	uint64_t key = wish_key (what, name, number);
	cs_planner_wish_t *wish;
	HASH_FIND (hh, w->p->wishes, &key, sizeof key, wish);
	return wish;
}

cs_planner_wish_t * /* NOLINT: uthash's statements */
plan_wish (work_t *w, const char *what, const char *name, uint64_t number)
{
	uint64_t key = wish_key (what, name, number);
	cs_planner_wish_t *wish = plan_find_wish (w, what, name, number);
	if (!wish) {
		wish = cs_alloc (sizeof *wish);
		wish->key = key;
		wish->since_ms = w->in->now_ms;
		wish->asked_ms = -1;
		HASH_ADD (hh, w->p->wishes, key, sizeof key, wish);
	}
	wish->run = w->p->run;
	return wish;
}

bool
plan_due (work_t *w, cs_planner_wish_t *wish, int64_t repeat_ms)
{
	int64_t now = w->in->now_ms;
	if (now - wish->since_ms < (int64_t)w->in->rank * w->p->options.stagger_ms)
		return false;
	return wish->asked_ms < 0 || now - wish->asked_ms >= repeat_ms;
}

cs_planner_fence_t *
plan_find_fence (const work_t *w, uint64_t fence)
{
	cs_planner_fence_t *found;
	HASH_FIND (hh, w->p->fences, &fence, sizeof fence, found);
	return found;
}

cs_planner_fence_t * /* NOLINT: uthash's statements */
plan_fence (work_t *w, uint64_t fence)
{
	cs_planner_fence_t *found = plan_find_fence (w, fence);
	if (!found) {
		found = cs_alloc (sizeof *found);
		found->fence = fence;
		found->seen_ms = w->in->now_ms;
		found->moved_ms = -1;
		HASH_ADD (hh, w->p->fences, fence, sizeof fence, found);
	}
	found->run = w->p->run;
	return found;
}

uint64_t
plan_weights (const char *model, const char *version)
{
	return cs_rendezvous (cs_hash (cs_str (model)), cs_hash (cs_str (version))) | 1;
}

uint64_t
plan_spec_weights (const Cs__ModelGroup *spec)
{
	return plan_weights (spec->model, spec->version);
}

void
plan_sweep (work_t *w)
{
	cs_planner_wish_t *wish, *next_wish;
	cs_planner_fence_t *fence, *next_fence;
	HASH_ITER (hh, w->p->wishes, wish, next_wish) {
		if (wish->run == w->p->run)
			continue;
		HASH_DEL (w->p->wishes, wish);
		free (wish);
	}
	HASH_ITER (hh, w->p->fences, fence, next_fence) {
		if (fence->run == w->p->run)
			continue;
		HASH_DEL (w->p->fences, fence);
		free (fence);
	}
}
