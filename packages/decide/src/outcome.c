#include "cs/outcome.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503
};

static bool
is_refused_not_run (const cs_attempt_t *a)
{
	if (a->status == STATUS_MISDIRECTED)
		return true;
	return a->declared_not_run &&
	       (a->status == STATUS_BAD_REQUEST || a->status == STATUS_TOO_MANY ||
		a->status == STATUS_UNAVAILABLE);
}

cs_run_t
cs_outcome_run (const cs_attempt_t *a)
{
	if (a->end == CS_ATTEMPT_NOT_SENT)
		return CS_RUN_NO;
	if (a->end != CS_ATTEMPT_ANSWERED)
		return CS_RUN_MAYBE;
	if (is_refused_not_run (a))
		return CS_RUN_NO;
	return a->is_signed && a->is_own ? CS_RUN_YES : CS_RUN_MAYBE;
}

bool
cs_outcome_may_follow (const cs_request_state_t *r)
{
	return cs_serving_repeatable (r->route) && r->runs < r->route->attempts &&
	       r->tries < CS_OUTCOME_MAX_TRIES;
}

static cs_then_t
action_after_answer (const cs_attempt_t *a, const cs_request_state_t *r)
{
	bool failed = a->status >= STATUS_SERVER_ERROR;
	bool again = failed && r->may_repeat && cs_outcome_may_follow (r) && !r->reached_caller;
	return again ? CS_THEN_AGAIN : CS_THEN_DELIVER;
}

cs_then_t
cs_outcome_then (const cs_attempt_t *a, const cs_request_state_t *r)
{
	cs_run_t run = cs_outcome_run (a);
	if (run == CS_RUN_YES)
		return action_after_answer (a, r);
	bool again =
		r->may_repeat && a->end != CS_ATTEMPT_TIMEOUT &&
		(run == CS_RUN_NO ? r->tries < CS_OUTCOME_MAX_TRIES : cs_outcome_may_follow (r));
	if (r->reached_caller)
		return again && cs_serving_repeatable (r->route) ? CS_THEN_RESUME : CS_THEN_CUT;
	if (again)
		return CS_THEN_AGAIN;
	if (run == CS_RUN_NO && !r->runs)
		return CS_THEN_REFUSE;
	return a->end == CS_ATTEMPT_TIMEOUT ? CS_THEN_EXPIRE : CS_THEN_FAIL;
}

const char *
cs_then_name (cs_then_t then)
{
	static const char *const names[] = {
		[CS_THEN_DELIVER] = "deliver", [CS_THEN_AGAIN] = "again",
		[CS_THEN_RESUME] = "resume",   [CS_THEN_REFUSE] = "refuse",
		[CS_THEN_FAIL] = "fail",       [CS_THEN_EXPIRE] = "expire",
		[CS_THEN_CUT] = "cut",
	};
	return names[then];
}
