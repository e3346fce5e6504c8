/* Evaluates finished and stalled attempts and takes the next step. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cs/log.h"
#include "forward.h"

enum {
	STATUS_SERVER_ERROR = 500,
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
	RECENT_ANSWER_MS =
		300, /* every stream of a working back end delivers several events in this time */
	CLAIM_CHECK_MS = 50,   /* until it is looked whether a claim was granted */
	REPEAT_JITTER_MS = 25, /* longest delay of a repeat, so that repeats of a moment spread */
	REFUSED_RETRY_MS = 300 /* another back end may accept the request by then */
};

static void
free_request (cs_backend_request_t *s)
{
	cs_headers_clear (&s->answer_headers);
	cs_buf_finish (&s->url);
	cs_buf_finish (&s->header_lines);
	cs_buf_finish (&s->body);
	free (s->headers);
	free (s->backend_id);
	free (s->service);
	free (s);
}

static void
record_failure (const cs_backend_request_t *s, const cs_attempt_t *a, int64_t now)
{
	cs_forward_t *f = s->call->forward;
	const cs_backend_t *b = cs_fleet_find (&f->fleet, s->backend_id);
	/* A single slow request is no evidence against a back end that answers others. */
	if (a->end == CS_ATTEMPT_SILENT &&
	    now - cs_suspects_answered_ms (&f->suspects, s->backend_id) < RECENT_ANSWER_MS)
		return;
	bool first = cs_suspects_record_failure (&f->suspects, now, s->backend_id, s->incarnation);
	if (first && a->end != CS_ATTEMPT_ANSWERED && b && b->epoch == s->incarnation)
		cs_notes_publish_silent (f, b);
}

/* Updates the router, the list of suspects and the answer timeout from the result of the
 * attempt. */
static void
record_result (const cs_backend_request_t *s, const cs_attempt_t *a)
{
	cs_forward_t *f = s->call->forward;
	int64_t now = cs_now_ms ();
	bool answered = a->end == CS_ATTEMPT_ANSWERED;
	cs_route_result_t result = {.ok = s->is_blameless || (answered && a->status < 500)};
	if (s->first_us)
		result.first_byte_us = s->first_us - s->sent_us;
	if (s->events > 1)
		result.token_gap_us = (s->last_us - s->first_us) / (s->events - 1);
	cs_router_end_attempt (&f->router, now, s->backend_id, &result);
	cs_router_record_end (&f->router, s->backend_id, s->sent_ms, &s->call->size);
	if ((a->end == CS_ATTEMPT_NOT_SENT && !s->is_blameless) ||
	    (a->end == CS_ATTEMPT_BROKEN && !s->malformed))
		cs_suspects_record_break (&f->suspects, now, s->backend_id);
	if (answered && cs_outcome_run (a) == CS_RUN_YES)
		cs_suspects_record_answer (&f->suspects, now, s->backend_id);
	else if (!s->call->abandoned && !s->is_blameless && a->end != CS_ATTEMPT_TIMEOUT)
		record_failure (s, a, now);
	if (answered && cs_outcome_run (a) == CS_RUN_YES && a->status < STATUS_SERVER_ERROR)
		cs_crashes_record_answer (s);
	else if (a->end == CS_ATTEMPT_BROKEN && !s->malformed && !s->call->abandoned)
		cs_crashes_record_break (s);
	else if (cs_outcome_run (a) == CS_RUN_NO)
		cs_crashes_record_not_run (s->call);
	if (a->end == CS_ATTEMPT_SILENT && !s->first_us)
		cs_answer_timeout_record_timeout (&f->answer_timeout, now, s->service);
}

static void
log_repeat (const cs_call_t *c, const cs_retry_decision_t *d, const char *reason)
{
	cs_log_event ("forward", d->grant ? "repeat" : "repeat_denied",
		      "id=%.*s service=%s from=%s reason=%s tries=%u repeats=%u requests=%u "
		      "allowed=%u slack_left=%u claimed=%u",
		      CS_STR_ARG (cs_call_id (c)), c->service, cs_retry_grant_name (d->grant),
		      reason, c->tries, d->repeats, d->requests, d->allowed, d->slack_left,
		      d->claimed);
}

/* Charges the budget of repeats and sets delay_ms. False if the budget is used up or too little
 * time is left; c->awaits_claim is then true if a claim may allow it in a moment. */
static bool
acquire_repeat (cs_call_t *c, int64_t *delay_ms)
{
	cs_forward_t *f = c->forward;
	int64_t now = cs_now_ms ();
	bool is_again = c->awaits_claim;
	cs_retry_decision_t d = {0};
	*delay_ms = cs_rng_below (&f->rng, REPEAT_JITTER_MS);
	bool is_late = now + *delay_ms >= c->expires_ms;
	if (!is_late)
		d = cs_retry_budget_acquire (&f->retry_budget, c->service, is_again, now);
	bool is_granted = d.grant != CS_RETRY_GRANT_NONE;
	cs_notes_claim_repeats (f);
	c->granted_ms = now;
	if (!is_again)
		c->repeat_until_ms = now + CS_RETRY_CLAIM_MS;
	c->awaits_claim = !is_granted && !is_late && now + CLAIM_CHECK_MS < c->expires_ms &&
			  now + CLAIM_CHECK_MS <= c->repeat_until_ms &&
			  cs_retry_budget_may_come (&f->retry_budget, c->service, now);
	if (c->awaits_claim && is_again)
		return false;
	if (!c->awaits_claim)
		cs_service_counts_repeat (f, c->service, is_granted);
	log_repeat (c, &d,
		    is_late           ? "late"
		    : is_granted      ? "allowed"
		    : c->awaits_claim ? "claims"
				      : "budget");
	return is_granted;
}

/* What no back end has received before is no repeat. */
static bool
may_send_again (cs_call_t *c, int64_t *delay_ms)
{
	if (c->n_arrived)
		return acquire_repeat (c, delay_ms);
	c->granted_ms = cs_now_ms ();
	*delay_ms = cs_rng_below (&c->forward->rng, REPEAT_JITTER_MS);
	return c->granted_ms + *delay_ms < c->expires_ms;
}

/* A back end that has ended may be back, or another one listed, when the repeat is due. */
static bool
has_next (const cs_backend_request_t *s, const cs_attempt_t *a)
{
	return a->end == CS_ATTEMPT_BROKEN || cs_dispatch_has_any (s->call, s->service);
}

bool
cs_attempt_keeps_grant (cs_call_t *c)
{
	int64_t delay_ms;
	if (!c->awaits_claim && cs_now_ms () - c->granted_ms <= CS_RETRY_SEND_MS)
		return true;
	return may_send_again (c, &delay_ms);
}

/* The copy of an earlier refusal looks the same if this id was there before. */
static void
log_refusal (const cs_backend_request_t *s, const cs_attempt_t *a)
{
	const cs_http_sent_on_t *on = &s->http.sent_on;
	if (a->end != CS_ATTEMPT_ANSWERED || cs_outcome_run (a) != CS_RUN_NO)
		return;
	cs_service_counts_refusal (s->call->forward, s->call->service, on->had_tag);
	cs_log_event ("forward", "refusal_believed",
		      "id=%.*s service=%s back_end=%s status=%d own=%d connection=%llu "
		      "requests_before=%u id_before=%d",
		      CS_STR_ARG (cs_call_id (s->call)), s->call->service, s->backend_id, a->status,
		      a->is_own, (unsigned long long)on->connection, on->calls_before, on->had_tag);
}

void
cs_attempt_stalled (const cs_backend_request_t *s)
{
	static const cs_attempt_t silent = {.end = CS_ATTEMPT_SILENT};
	record_failure (s, &silent, cs_now_ms ());
}

bool
cs_attempt_acquire_retry (cs_backend_request_t *s)
{
	cs_call_t *c = s->call;
	s->retry_granted =
		cs_dispatch_has_other (c, s->service) && acquire_repeat (c, &s->retry_delay_ms);
	c->awaits_claim = false; /* the attempt goes on meanwhile */
	cs_log_event ("forward", s->retry_granted ? "given_up" : "waits_on",
		      "id=%.*s back_end=%s events=%u silent_ms=%lld", CS_STR_ARG (cs_call_id (c)),
		      s->backend_id, s->events,
		      (long long)((cs_now_us () - (s->last_us ? s->last_us : s->sent_us)) / 1000));
	return s->retry_granted;
}

static void
deliver_answer (cs_backend_request_t *s, const cs_attempt_t *a)
{
	cs_call_t *c = s->call;
	if (!c->has_head)
		cs_reply_head (c, a->status, &s->answer_headers);
	cs_reply_whole_body (c, &s->body);
	cs_reply_end (c, true);
}

/* Nothing was sent on: for want of a back end that takes it, or of one that is not evacuated. */
static void
refuse_untaken (const cs_backend_request_t *s)
{
	uint32_t retry_after_ms = REFUSED_RETRY_MS;
	bool is_evacuated = cs_zones_is_evacuated (s->call->forward, s->service, &retry_after_ms);
	if (is_evacuated)
		cs_zones_count_refusal ();
	cs_reply_own (s->call, STATUS_UNAVAILABLE, is_evacuated ? "zone-evacuated" : "not-taken",
		      retry_after_ms);
}

static void
take_next_step (cs_backend_request_t *s, const cs_attempt_t *a, cs_next_step_t then,
		int64_t delay_ms)
{
	cs_call_t *c = s->call;
	switch (then) {
	case CS_NEXT_DELIVER:
		deliver_answer (s, a);
		break;
	case CS_NEXT_RETRY:
	case CS_NEXT_RESUME:
		cs_timer_start_after (c->forward->task->kernel->loop, &c->retry_timer, delay_ms);
		break;
	case CS_NEXT_REFUSE:
		refuse_untaken (s);
		break;
	case CS_NEXT_FAIL:
		cs_reply_own (c, STATUS_BAD_GATEWAY, "no-answer", 0);
		break;
	case CS_NEXT_EXPIRE:
		cs_reply_own (c, STATUS_TIMEOUT, "timeout", 0);
		break;
	case CS_NEXT_ABORT:
		cs_reply_end (c, false);
		break;
	}
}

static void
log_attempt (const cs_backend_request_t *s, const cs_attempt_t *a, cs_next_step_t then)
{
	static const char *const ends[] = {"answered", "not-sent", "broken", "silent", "timeout"};
	static const char *const runs[] = {"no", "maybe", "yes"};
	const cs_call_t *c = s->call;
	if (then == CS_NEXT_DELIVER && a->status < 500 && c->tries == 1)
		return; /* logged by the event request_ended */
	cs_log_event ("forward", "attempt_ended",
		      "id=%.*s back_end=%s end=%s status=%d ran=%s tries=%u runs=%u stream=%d "
		      "reached_caller=%d events=%u ms=%lld predicted_ms=%lld first_ms=%lld then=%s "
		      "content=%016" PRIx64,
		      CS_STR_ARG (cs_call_id (c)), s->backend_id, ends[a->end], a->status,
		      runs[cs_outcome_run (a)], c->tries, c->runs, s->is_stream, c->has_head,
		      s->events, (long long)((cs_now_us () - s->sent_us) / 1000),
		      (long long)s->predicted_ms,
		      s->first_us ? (long long)((s->first_us - s->sent_us) / 1000) : -1LL,
		      cs_next_step_name (then), c->content);
}

void
cs_attempt_ended (cs_backend_request_t *s, const cs_attempt_t *a)
{
	cs_call_t *c = s->call;
	int64_t delay_ms = s->retry_delay_ms;
	uint32_t retry_after_ms;
	c->n_broken += a->end == CS_ATTEMPT_BROKEN;
	c->n_arrived += a->end != CS_ATTEMPT_NOT_SENT;
	c->awaits_claim = false;
	record_result (s, a);
	cs_queue_record_attempt_end (s);
	cs_counts_attempt_ended (a);
	log_refusal (s, a);
	if (!c->abandoned && !c->ended) {
		c->runs += cs_outcome_run (a) != CS_RUN_NO;
		cs_request_state_t state = cs_call_state (c);
		cs_next_step_t then = cs_outcome_next_step (a, &state);
		if ((then == CS_NEXT_RETRY || then == CS_NEXT_RESUME) && !s->retry_granted &&
		    (cs_crashes_is_refused (c, &retry_after_ms) ||
		     (a->end == CS_ATTEMPT_BROKEN && cs_crashes_is_doubtful (c)) ||
		     !has_next (s, a) || !may_send_again (c, &delay_ms))) {
			state.may_repeat = false;
			cs_next_step_t without = cs_outcome_next_step (a, &state);
			c->awaits_claim &= without != CS_NEXT_DELIVER;
			then = c->awaits_claim ? then : without;
		}
		if (c->awaits_claim)
			delay_ms = CLAIM_CHECK_MS;
		else if (a->end == CS_ATTEMPT_BROKEN)
			delay_ms += cs_crash_repeat_delay_ms (c->n_broken,
							      c->expires_ms - cs_now_ms ());
		log_attempt (s, a, then);
		take_next_step (s, a, then, delay_ms);
	}
	/* A delivered body is held by the response, an incomplete event by the call. */
	if (s->body.n)
		cs_answer_memory_resize (&c->forward->answer_memory, &c->held_bytes,
					 cs_reply_excess (c, c->events.incomplete_event.n));
	free_request (s);
}
