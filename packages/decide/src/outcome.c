#include "cs/outcome.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503
};

/* The answer states that the request it answers did not run. */
static bool
is_refusal (const cs_attempt_t *a)
{
	if (a->status == STATUS_MISDIRECTED)
		return true;
	return a->declared_not_run &&
	       (a->status == STATUS_BAD_REQUEST || a->status == STATUS_TOO_MANY ||
		a->status == STATUS_UNAVAILABLE);
}

/* A refusal that names no request counts as one of this request, but not on a connection on which
 * it may be one of an earlier request, sent once more. Where this request had been sent before,
 * its id does not tell its refusal from the copy of an earlier one. */
static bool
is_refusal_of_this_attempt (const cs_attempt_t *a)
{
	return !a->was_there && (a->is_own || !a->is_reused);
}

cs_run_t
cs_outcome_run (const cs_attempt_t *a)
{
	if (a->end == CS_ATTEMPT_NOT_SENT)
		return CS_RUN_NO;
	if (a->end != CS_ATTEMPT_ANSWERED || a->names_other)
		return CS_RUN_MAYBE;
	if (is_refusal (a))
		return is_refusal_of_this_attempt (a) ? CS_RUN_NO : CS_RUN_MAYBE;
	return a->is_signed && a->is_own ? CS_RUN_YES : CS_RUN_MAYBE;
}

/* True if the request may run again, from the start or after what the caller has received. */
static bool
is_repeatable (const cs_request_state_t *r)
{
	return cs_serving_is_repeatable (r->route) && (!r->reached_caller || r->has_position);
}

bool
cs_outcome_may_run_again (const cs_request_state_t *r)
{
	return is_repeatable (r) && r->runs < r->route->attempts && r->tries < CS_OUTCOME_MAX_TRIES;
}

static cs_next_step_t
action_after_answer (const cs_attempt_t *a, const cs_request_state_t *r)
{
	bool failed = a->status >= STATUS_SERVER_ERROR;
	bool again = failed && r->may_repeat && cs_outcome_may_run_again (r);
	return again ? CS_NEXT_RETRY : CS_NEXT_DELIVER;
}

cs_next_step_t
cs_outcome_next_step (const cs_attempt_t *a, const cs_request_state_t *r)
{
	cs_run_t run = cs_outcome_run (a);
	if (run == CS_RUN_YES && (a->is_stream || !r->reached_caller))
		return action_after_answer (a, r);
	bool again =
		r->may_repeat && a->end != CS_ATTEMPT_TIMEOUT &&
		(run == CS_RUN_NO ? r->tries < CS_OUTCOME_MAX_TRIES : cs_outcome_may_run_again (r));
	if (r->reached_caller)
		return again && is_repeatable (r) ? CS_NEXT_RESUME : CS_NEXT_ABORT;
	if (again)
		return CS_NEXT_RETRY;
	if (run == CS_RUN_NO && !r->runs)
		return CS_NEXT_REFUSE;
	return a->end == CS_ATTEMPT_TIMEOUT ? CS_NEXT_EXPIRE : CS_NEXT_FAIL;
}

const char *
cs_next_step_name (cs_next_step_t step)
{
	static const char *const names[] = {
		[CS_NEXT_DELIVER] = "deliver", [CS_NEXT_RETRY] = "again",
		[CS_NEXT_RESUME] = "resume",   [CS_NEXT_REFUSE] = "refuse",
		[CS_NEXT_FAIL] = "fail",       [CS_NEXT_EXPIRE] = "expire",
		[CS_NEXT_ABORT] = "cut",
	};
	return names[step];
}
