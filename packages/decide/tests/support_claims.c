#include "support_claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cs/hash.h"
#include "support_claims_impl.h"

bool
world_draw (world_t *w, uint32_t per_thousand)
{
	return per_thousand && cs_rng_below (&w->rng, 1000) < per_thousand;
}

world_event_t *
world_add_event (world_t *w, event_kind_t kind, uint32_t daemon, int64_t after_ms)
{
	world_event_t *e = cs_alloc (sizeof *e);
	e->kind = kind;
	e->daemon = daemon;
	e->incarnation = w->daemons[daemon].incarnation;
	e->due_ms = w->now_ms + after_ms;
	DL_APPEND (w->events, e);
	return e;
}

static void
free_event (world_t *w, world_event_t *e)
{
	DL_DELETE (w->events, e);
	cs_buf_finish (&e->record);
	free (e);
}

static bool
is_joined (void *arg, uint64_t incarnation)
{
	const world_t *w = arg;
	for (size_t i = 0; i < w->n_left; i++)
		if (w->left[i] == incarnation)
			return false;
	return true;
}

static void
start_daemon (world_t *w, uint32_t i)
{
	world_daemon_t *d = &w->daemons[i];
	cs_claims_options_t claims = {.keep_generations = 2,
				      .retire_generations = 2,
				      .max_answer_bytes = 4096,
				      .seal_claims = 3,
				      .disabled = w->claims_off};
	uint32_t home = d->home_index;
	memset (d, 0, sizeof *d);
	d->home_index = home;
	cs_claim_home_init (&d->home, w->home_off);
	d->incarnation = ++w->next_incarnation;
	cs_claimant_options_t claimant = {.incarnation = d->incarnation,
					  .generation_ms = w->generation_ms,
					  .max_submissions = 64,
					  .disabled = w->claimant_off,
					  .joined = is_joined,
					  .joined_arg = w};
	cs_claims_init (&d->claims, &claims);
	cs_claimant_init (&d->claimant, &claimant);
}

void
world_init (world_t *w, uint64_t seed, uint32_t claims_off, uint32_t claimant_off)
{
	memset (w, 0, sizeof *w);
	cs_rng_init (&w->rng, seed);
	w->claims_off = claims_off;
	w->claimant_off = claimant_off;
	w->now_ms = 1000;
	for (uint32_t i = 0; i < WORLD_DAEMONS; i++)
		start_daemon (w, i);
}

static void
stop_daemon (world_t *w, uint32_t i)
{
	cs_claims_finish (&w->daemons[i].claims);
	cs_claimant_finish (&w->daemons[i].claimant);
	cs_claim_home_finish (&w->daemons[i].home);
}

void
world_finish (world_t *w)
{
	for (uint32_t i = 0; i < WORLD_DAEMONS; i++)
		stop_daemon (w, i);
	while (w->events)
		free_event (w, w->events);
	for (size_t i = 0; i < w->n_records; i++)
		cs_buf_finish (&w->records[i].bytes);
	free (w->records);
}

static cs_claim_key_t
key_of (uint32_t key)
{
	char text[32];
	snprintf (text, sizeof text, "key-%u", key);
	return cs_claim_key (cs_str ("dala"), cs_str ("booking"), cs_str (text));
}

/* Writes the only correct answer to a body under a key. */
static void
answer_of (uint32_t key, uint32_t body, char *out, size_t size)
{
	snprintf (out, size, "booked %u with body %u", key, body);
}

static void
store_record (world_t *w, const world_event_t *e)
{
	w->records = cs_grow (w->records, &w->cap_records, w->n_records + 1, sizeof *w->records);
	memset (&w->records[w->n_records], 0, sizeof *w->records);
	w->records[w->n_records].incarnation = e->incarnation;
	w->records[w->n_records].from = e->from;
	w->records[w->n_records].ticket = e->ticket;
	cs_buf_add (&w->records[w->n_records++].bytes, cs_buf_str (&e->record));
}

void
world_append (world_t *w, uint32_t daemon, uint64_t from, uint64_t ticket, const Cs__Record *r)
{
	Cs__Record record = *r;
	bool cut = w->daemons[daemon].is_disconnected_from_log;
	bool refused = cut || world_draw (w, w->faults.refused);
	bool lost = world_draw (w, w->faults.lost);
	bool late = world_draw (w, w->faults.late);
	bool vanished = world_draw (w, w->faults.vanished);
	world_event_t *e;
	if (!refused && !vanished) {
		e = world_add_event (w, EVENT_APPEND_EFFECT, daemon,
				     late ? 100 + cs_rng_below (&w->rng, 6000) : WORLD_STEP_MS);
		e->from = from;
		e->ticket = ticket;
		record.incarnation = e->incarnation;
		cs_buf_reserve (&e->record, cs__record__get_packed_size (&record));
		e->record.n = cs__record__pack (&record, (uint8_t *)e->record.p);
	}
	e = world_add_event (w, EVENT_APPEND_ANSWER, daemon, 2L * WORLD_STEP_MS);
	e->from = from;
	e->ticket = ticket;
	e->status = refused ? CS_UNAVAILABLE : lost || late || vanished ? CS_UNKNOWN : CS_OK;
}

static world_event_t *
add_attempt_event (world_t *w, event_kind_t kind, uint32_t daemon, const cs_claim_action_t *a,
		   int64_t after_ms)
{
	world_event_t *e = world_add_event (w, kind, daemon, after_ms);
	e->submission = (uint32_t)a->id;
	e->attempt = a->attempt;
	return e;
}

static void
dispatch (world_t *w, uint32_t daemon, const cs_claim_action_t *a)
{
	int64_t run_ms = WORLD_STEP_MS + cs_rng_below (&w->rng, 200);
	if (a->id >= WORLD_SUBMISSIONS) { /* an abandoned claim must not be dispatched */
		w->ran_twice++;
		return;
	}
	if (world_draw (w, w->faults.stray))
		add_attempt_event (w, EVENT_RESULT, daemon, a, WORLD_STEP_MS)->attempt += 7;
	if (world_draw (w, w->faults.not_sent)) {
		add_attempt_event (w, EVENT_RESULT, daemon, a, run_ms)->result =
			CS_CLAIM_RESULT_NOT_SENT;
		return;
	}
	if (world_draw (w, w->faults.declined)) {
		add_attempt_event (w, EVENT_RESULT, daemon, a, run_ms)->result =
			CS_CLAIM_RESULT_REFUSED;
		return;
	}
	if (w->faults.blocked && world_draw (w, w->faults.blocked)) {
		add_attempt_event (w, EVENT_RESULT, daemon, a, run_ms)->result =
			CS_CLAIM_RESULT_BLOCKED;
		return;
	}
	if (w->faults.busy && world_draw (w, w->faults.busy)) {
		add_attempt_event (w, EVENT_RESULT, daemon, a, run_ms)->result =
			CS_CLAIM_RESULT_BUSY;
		return;
	}
	bool broken = world_draw (w, w->faults.broken);
	if (!broken || world_draw (w, 700))
		add_attempt_event (w, EVENT_RUN, daemon, a,
				   broken ? run_ms + cs_rng_below (&w->rng, 3000) : run_ms);
	add_attempt_event (w, EVENT_RESULT, daemon, a, run_ms + WORLD_STEP_MS)->result =
		broken ? CS_CLAIM_RESULT_LOST : CS_CLAIM_RESULT_COMPLETE;
}

static void
record_reply (world_t *w, const cs_claim_action_t *a)
{
	world_submission_t *s = &w->submissions[a->id];
	char right[64];
	s->times_reported++;
	s->reported_ms = w->now_ms;
	if (a->kind == CS_CLAIM_DO_ANSWER) {
		answer_of (s->key, s->body, right, sizeof right);
		s->reported = REPORTED_ANSWER;
		bool ran = w->key_ran[s->key] && w->key_body[s->key] == s->body;
		w->wrong_answers += !ran || a->status != 200 || !cs_str_is (a->answer, right) ||
				    !cs_str_is (a->content_type, "text/plain");
		return;
	}
	s->refusal = a->refusal;
	s->reported = a->reported_outcome == CS_CLAIM_REPORTED_NOT_RUN ? REPORTED_NOT_RUN
		      : a->reported_outcome == CS_CLAIM_REPORTED_RAN   ? REPORTED_RAN
								       : REPORTED_UNKNOWN;
	w->false_refusals += s->reported == REPORTED_RAN && !w->key_ran[s->key];
}

void
world_execute_actions (world_t *w, uint32_t daemon)
{
	cs_claim_action_t *a;
	while ((a = cs_claimant_next_action (&w->daemons[daemon].claimant))) {
		if (a->kind == CS_CLAIM_DO_APPEND)
			world_append (w, daemon, 0, a->ticket, &a->record);
		else if (a->kind == CS_CLAIM_DO_FORWARD)
			world_forward (w, daemon, a);
		else if (a->kind == CS_CLAIM_DO_READ_SHARD)
			world_read_stream (w, daemon);
		else if (a->kind == CS_CLAIM_DO_DISPATCH)
			dispatch (w, daemon, a);
		else
			record_reply (w, a);
		cs_claim_action_free (a);
	}
}

uint32_t
world_submit (world_t *w, uint32_t daemon, uint32_t key, uint32_t body)
{
	world_daemon_t *d = &w->daemons[daemon];
	uint32_t id = w->n_submissions++;
	world_submission_t *s = &w->submissions[id];
	char request_id[32];
	snprintf (request_id, sizeof request_id, "request-%u", id);
	s->daemon = daemon;
	s->key = key;
	s->body = body;
	s->incarnation = d->incarnation;
	s->key_ran = w->key_ran[key];
	cs_claim_submit_t submit = {.id = id,
				    .key = key_of (key),
				    .fingerprint = body + 1,
				    .request_id = cs_str (request_id),
				    .deadline_ms = w->now_ms + 10000};
	cs_shard_view_t shard_view = world_shard_view (w, daemon);
	cs_claimant_submit (&d->claimant, w->now_ms, &submit, &shard_view);
	world_execute_actions (w, daemon);
	return id;
}

static void
run_request (world_t *w, const world_event_t *e)
{
	world_submission_t *s = &w->submissions[e->submission];
	w->ran_twice += w->key_ran[s->key] > 0;
	w->key_ran[s->key]++;
	w->key_body[s->key] = s->body;
	s->ran++;
}

static void
end_attempt (world_t *w, const world_event_t *e)
{
	const world_submission_t *s = &w->submissions[e->submission];
	cs_shard_view_t shard_view = world_shard_view (w, e->daemon);
	char answer[64];
	bool stray = e->attempt >= 7;
	answer_of (s->key, s->body + (stray ? 100 : 0), answer, sizeof answer);
	cs_claimant_attempt_end (&w->daemons[e->daemon].claimant, w->now_ms, e->submission,
				 e->attempt, e->result, 200, cs_str ("text/plain"), cs_str (answer),
				 &shard_view);
}

/* Handles a due event; false: the daemon is paused, retry later. Events other than effects on
 * the log and runs are dropped if their incarnation has ended. */
static bool
handle_event (world_t *w, const world_event_t *e)
{
	const world_daemon_t *d = &w->daemons[e->daemon];
	bool is_alive = d->incarnation == e->incarnation && !d->stopped;
	if (e->kind == EVENT_APPEND_EFFECT) {
		store_record (w, e);
		return true;
	}
	if (e->kind == EVENT_RUN) {
		run_request (w, e);
		return true;
	}
	if (is_alive && d->paused)
		return false;
	if (is_alive && e->kind == EVENT_REQUEST)
		world_receive_request (w, e);
	if (is_alive && e->kind == EVENT_REPLY)
		world_receive_reply (w, e);
	if (is_alive && e->kind == EVENT_APPEND_ANSWER && e->from && e->status != CS_OK)
		cs_claim_home_append_done (&w->daemons[e->daemon].home, e->from, e->ticket, false);
	if (is_alive && e->kind == EVENT_APPEND_ANSWER && !e->from)
		cs_claimant_appended (&w->daemons[e->daemon].claimant, w->now_ms, e->ticket,
				      e->status);
	if (is_alive && e->kind == EVENT_RESULT)
		end_attempt (w, e);
	return true;
}

static void
apply_records (world_t *w, uint32_t daemon)
{
	world_daemon_t *d = &w->daemons[daemon];
	size_t end = w->n_records;
	d->read_sent_ms = w->now_ms;
	d->reached_tail = true;
	for (; d->n_applied < end; d->n_applied++) {
		cs_buf_t *bytes = &w->records[d->n_applied].bytes;
		Cs__Record *r = cs__record__unpack (NULL, bytes->n, (uint8_t *)bytes->p);
		cs_claims_apply (&d->claims, d->n_applied + 1, r);
		cs_shard_view_t shard_view = world_shard_view (w, daemon);
		if (cs_claim_claimant (r) == d->incarnation &&
		    r->body_case == CS__RECORD__BODY_CLAIM)
			cs_claimant_apply_own_claim (&d->claimant, w->now_ms, 0, d->n_applied + 1,
						     r->claim, &shard_view);
		if (r->incarnation == d->incarnation && w->records[d->n_applied].from)
			cs_claim_home_append_done (&d->home, w->records[d->n_applied].from,
						   w->records[d->n_applied].ticket, true);
		cs__record__free_unpacked (r, NULL);
	}
	cs_shard_view_t shard_view = world_shard_view (w, daemon);
	cs_claimant_applied (&d->claimant, w->now_ms, 0, &shard_view);
}

static void
step_daemon (world_t *w, uint32_t i)
{
	world_daemon_t *d = &w->daemons[i];
	if (d->paused || d->stopped)
		return;
	if (w->homes)
		world_choose_streams (w, i);
	if (!d->is_disconnected_from_log && (!w->homes || d->reads_stream))
		apply_records (w, i);
	world_send_replies (w, i);
	cs_shard_view_t shard_view = world_shard_view (w, i);
	cs_claimant_tick (&d->claimant, w->now_ms, &shard_view, 1);
	world_execute_actions (w, i);
}

void
world_replace_daemon (world_t *w, uint32_t i)
{
	w->left[w->n_left++] = w->daemons[i].incarnation;
	stop_daemon (w, i);
	start_daemon (w, i);
}

void
world_run (world_t *w, int64_t ms)
{
	for (int64_t end = w->now_ms + ms; w->now_ms < end;) {
		w->now_ms += WORLD_STEP_MS;
		world_inject_faults (w);
		world_event_t *e, *next;
		DL_FOREACH_SAFE (w->events, e, next)
		{
			if (e->due_ms <= w->now_ms && handle_event (w, e))
				free_event (w, e);
		}
		for (uint32_t i = 0; i < WORLD_DAEMONS; i++)
			step_daemon (w, i);
	}
}

void
world_settle (world_t *w)
{
	memset (&w->faults, 0, sizeof w->faults);
	for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
		w->daemons[i].is_disconnected_from_log = false;
		w->daemons[i].paused = false;
		w->daemons[i].is_disconnected_from_daemons = false;
	}
	world_run (w, 12000);
	for (uint32_t i = 0; i < w->n_submissions; i++) {
		const world_submission_t *s = &w->submissions[i];
		bool is_alive = w->daemons[s->daemon].incarnation == s->incarnation;
		w->wrong_counts += s->times_reported > 1 ||
				   (is_alive && !s->has_caller_left && !s->times_reported);
		w->false_refusals += s->reported == REPORTED_NOT_RUN && (s->ran || s->key_ran);
	}
}
