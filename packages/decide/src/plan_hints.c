/* Hints kept between runs: intents, and observations on assignments. */
#include "plan_internal.h"

#include <stdlib.h>

#include "cs/hash.h"

static uint64_t
intent_key (const char *action, const char *name, uint64_t number)
{
	return cs_rendezvous (cs_hash (cs_str (action)) ^ number, cs_hash (cs_str (name)));
}

cs_planner_intent_t *
plan_find_intent (const plan_context_t *w, const char *action, const char *name, uint64_t number)
{
	uint64_t key = intent_key (action, name, number);
	cs_planner_intent_t *intent;
	HASH_FIND (hh, w->p->intents, &key, sizeof key, intent);
	return intent;
}

cs_planner_intent_t * /* NOLINT: uthash's statements */
plan_intent (plan_context_t *w, const char *action, const char *name, uint64_t number)
{
	uint64_t key = intent_key (action, name, number);
	cs_planner_intent_t *intent = plan_find_intent (w, action, name, number);
	if (!intent) {
		intent = cs_alloc (sizeof *intent);
		intent->key = key;
		intent->since_ms = w->in->now_ms;
		intent->last_action_ms = -1;
		HASH_ADD (hh, w->p->intents, key, sizeof key, intent);
	}
	intent->run = w->p->run;
	return intent;
}

bool
plan_is_due (plan_context_t *w, cs_planner_intent_t *intent, int64_t repeat_ms)
{
	int64_t now = w->in->now_ms;
	if (now - intent->since_ms < (int64_t)w->in->rank * w->p->options.stagger_ms)
		return false;
	return intent->last_action_ms < 0 || now - intent->last_action_ms >= repeat_ms;
}

cs_planner_assignment_t *
plan_find_assignment (const plan_context_t *w, uint64_t fence)
{
	cs_planner_assignment_t *found;
	HASH_FIND (hh, w->p->assignments, &fence, sizeof fence, found);
	return found;
}

cs_planner_assignment_t * /* NOLINT: uthash's statements */
plan_assignment (plan_context_t *w, uint64_t fence)
{
	cs_planner_assignment_t *found = plan_find_assignment (w, fence);
	if (!found) {
		found = cs_alloc (sizeof *found);
		found->fence = fence;
		found->seen_ms = w->in->now_ms;
		found->superseded_ms = -1;
		HASH_ADD (hh, w->p->assignments, fence, sizeof fence, found);
	}
	found->run = w->p->run;
	return found;
}

uint64_t
plan_hash_weights (const char *model, const char *version)
{
	return cs_rendezvous (cs_hash (cs_str (model)), cs_hash (cs_str (version))) | 1;
}

uint64_t
plan_hash_spec_weights (const Cs__ModelGroup *spec)
{
	return plan_hash_weights (spec->model, spec->version);
}

void
plan_drop_stale_hints (plan_context_t *w)
{
	cs_planner_intent_t *intent, *next_intent;
	cs_planner_assignment_t *assignment, *next_assignment;
	HASH_ITER (hh, w->p->intents, intent, next_intent) {
		if (intent->run == w->p->run)
			continue;
		HASH_DEL (w->p->intents, intent);
		free (intent);
	}
	HASH_ITER (hh, w->p->assignments, assignment, next_assignment) {
		if (assignment->run == w->p->run)
			continue;
		HASH_DEL (w->p->assignments, assignment);
		free (assignment);
	}
}
