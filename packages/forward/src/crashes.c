/* Contents and parts of prompts that crash back ends: what this daemon sees and hears of them, and
 * whom it tells. What is refused for good is kept in the store, as its next sender may come to a
 * daemon that starts later. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

enum {
	EARLY_MS = 500,       /* behind its first event an answer has begun long ago */
	CLAIM_WAIT_MS = 1500, /* for a claim to be read by all daemons */
	NO_CLAIM = 1,         /* claim_until_ms of a request that may not claim */
	NAME_BYTES = 32
};

static cs_counter_t refused_causes = {.name = "cs_forward_contents_refused_total",
				      .help = "Contents and parts of prompts that were found to "
					      "crash back ends, by this daemon."};
static cs_counter_t refused_for_parts = {
	.name = "cs_forward_refused_for_parts_total",
	.help = "Requests that were refused for a part of their prompts."};
static cs_counter_t not_sent_on = {.name = "cs_forward_doubtful_not_sent_on_total",
				   .help = "Requests that were not repeated, as back ends had "
					   "ended under their causes before."};

static int64_t
answered_ms (void *data, const char *back_end)
{
	const cs_forward_t *f = data;
	return cs_suspects_answered_ms (&f->suspects, back_end);
}

static bool
is_listed (void *data, const char *back_end, uint64_t born)
{
	const cs_forward_t *f = data;
	const cs_backend_t *b = cs_fleet_find (&f->fleet, back_end);
	return !f->list_read || (b && b->born == born);
}

static const cs_crash_evidence_ops_t evidence = {answered_ms, is_listed};

void
cs_crashes_init (cs_forward_t *f)
{
	cs_crash_counts_init (&f->crashes, &evidence, f);
}

void
cs_crashes_finish (cs_forward_t *f)
{
	cs_crash_counts_finish (&f->crashes);
	cs_unproven_answers_finish (&f->unproven_answers);
}

/* "content=HASH", or "part=ID" with the id as in the header that names the parts. */
static const char *
name_of (cs_crash_key_t key, char name[NAME_BYTES])
{
	if (key.is_part)
		snprintf (name, NAME_BYTES, "part=%" PRIx64, key.id);
	else
		snprintf (name, NAME_BYTES, "content=%016" PRIx64, key.id);
	return name;
}

static void
format_parts (const cs_crash_key_t *keys, size_t n, cs_buf_t *out)
{
	for (size_t i = 0; i < n; i++)
		if (keys[i].is_part)
			cs_buf_printf (out, "%s%" PRIx64, out->n ? "," : "", keys[i].id);
	if (!out->n)
		cs_buf_addz (out, "-");
}

/* True if another back end writes on an answer to a request with the cause. */
static bool
is_written_elsewhere (const cs_forward_t *f, const char *back_end, cs_crash_key_t key)
{
	for (const cs_call_t *c = f->calls; c; c = c->next) {
		const cs_backend_request_t *s = c->backend_request;
		if (!s || !s->events || !strcmp (s->backend_id, back_end))
			continue;
		for (size_t i = 0; i < c->n_causes; i++)
			if (c->causes[i].id == key.id && c->causes[i].is_part == key.is_part)
				return true;
	}
	return false;
}

/* Records a break, and tells the others. False if it was known. */
static bool
add_break (cs_forward_t *f, const cs_crash_break_t *b, const cs_crash_key_t *keys, size_t n,
	   bool is_early)
{
	cs_crash_blame_t blamed[CS_PROMPT_MAX_PARTS + 1];
	size_t n_blamed = 0;
	for (size_t i = 0; i < n; i++)
		n_blamed += cs_crash_counts_blame (
			&f->crashes, b->at_ms, keys[i],
			is_early && !is_written_elsewhere (f, b->back_end, keys[i]),
			&blamed[n_blamed]);
	if (!cs_crash_counts_add (&f->crashes, cs_now_ms (), b, blamed, n_blamed))
		return false;
	cs_notes_add_break (f, b, blamed, n_blamed);
	return true;
}

static bool
is_early (const cs_backend_request_t *s)
{
	return !s->first_us || cs_now_us () - s->first_us < EARLY_MS * INT64_C (1000);
}

void
cs_crashes_record_break (const cs_backend_request_t *s)
{
	const cs_call_t *c = s->call;
	const cs_crash_break_t b = {s->backend_id, s->born, cs_now_ms (), c->content, true, false};
	cs_buf_t parts = {0};
	if (!add_break (c->forward, &b, c->causes, c->n_causes, is_early (s)))
		return;
	format_parts (c->causes, c->n_causes, &parts);
	cs_log_event ("forward", "broke_under_content",
		      "id=%.*s back_end=%s born=%" PRIu64 " content=%016" PRIx64
		      " parts=%s sent_ms=%lld first_event_ms=%lld events=%u",
		      CS_STR_ARG (cs_call_id (c)), s->backend_id, s->born, c->content, parts.p,
		      (long long)((cs_now_us () - s->sent_us) / 1000),
		      s->first_us ? (long long)((cs_now_us () - s->first_us) / 1000) : -1,
		      s->events);
	cs_buf_finish (&parts);
}

/* Records a whole answer to a request with these causes. */
static void
record_whole (cs_forward_t *f, cs_str_t id, const cs_crash_key_t *keys, size_t n, int64_t began_ms)
{
	char name[NAME_BYTES];
	int64_t now = cs_now_ms ();
	for (size_t i = 0; i < n; i++)
		if (cs_crash_counts_answered (&f->crashes, now, keys[i], began_ms))
			cs_log_event ("forward", "cause_cleared", "id=%.*s %s began_ms=%lld",
				      CS_STR_ARG (id), name_of (keys[i], name),
				      (long long)(now - began_ms));
}

void
cs_crashes_record_answer (const cs_backend_request_t *s)
{
	cs_call_t *c = s->call;
	int64_t began_ms = (s->is_stream && s->first_us ? s->first_us : s->sent_us) / 1000;
	if (s->http.is_delimited) {
		record_whole (c->forward, cs_call_id (c), c->causes, c->n_causes, began_ms);
		return;
	}
	const cs_unproven_answer_t a = {.back_end = s->backend_id,
					.born = s->born,
					.began_ms = began_ms,
					.ended_ms = cs_now_ms (),
					.is_early = is_early (s),
					.keys = c->causes,
					.n = c->n_causes};
	cs_unproven_answers_add (&c->forward->unproven_answers, &a);
}

void
cs_crashes_record_event (cs_backend_request_t *s)
{
	const cs_call_t *c = s->call;
	if (s->is_written || is_early (s))
		return;
	s->is_written = true;
	for (size_t i = 0; i < c->n_causes; i++)
		cs_crash_counts_written (&c->forward->crashes, c->causes[i], s->first_us / 1000);
}

void
cs_crashes_record_send (cs_call_t *c)
{
	cs_buf_t parts = {0};
	c->is_try = cs_crash_counts_sent (&c->forward->crashes, c->causes, c->n_causes);
	if (!c->is_try)
		return;
	format_parts (c->causes, c->n_causes, &parts);
	cs_log_event ("forward", "cause_tried", "id=%.*s content=%016" PRIx64 " parts=%s",
		      CS_STR_ARG (cs_call_id (c)), c->content, parts.p);
	cs_buf_finish (&parts);
}

void
cs_crashes_record_not_run (cs_call_t *c)
{
	if (!c->is_try)
		return;
	c->is_try = false;
	cs_crash_counts_not_run (&c->forward->crashes, cs_now_ms (), c->causes, c->n_causes);
	cs_log_event ("forward", "cause_not_tried", "id=%.*s content=%016" PRIx64,
		      CS_STR_ARG (cs_call_id (c)), c->content);
}

static bool
has_claimed (const cs_call_t *c)
{
	return c->claim_until_ms > NO_CLAIM;
}

bool
cs_crashes_is_refused (const cs_call_t *c, uint32_t *retry_after_ms)
{
	int64_t now = cs_now_ms ();
	int64_t until_ms = cs_crash_counts_refused_until_ms (&c->forward->crashes, now, c->causes,
							     c->n_causes, has_claimed (c), NULL);
	if (until_ms <= now)
		return false;
	*retry_after_ms = (uint32_t)(until_ms - now);
	return true;
}

void
cs_crashes_log_refusal (const cs_call_t *c)
{
	char name[NAME_BYTES];
	cs_crash_key_t refused = {0};
	int64_t now = cs_now_ms ();
	int64_t until_ms = cs_crash_counts_refused_until_ms (
		&c->forward->crashes, now, c->causes, c->n_causes, has_claimed (c), &refused);
	cs_counter_add (&refused_for_parts, refused.is_part != 0);
	cs_log_event ("forward", "cause_refused", "id=%.*s %s for_ms=%lld",
		      CS_STR_ARG (cs_call_id (c)), name_of (refused, name),
		      (long long)(until_ms - now));
}

bool
cs_crashes_may_wait (cs_call_t *c)
{
	int64_t now = cs_now_ms ();
	if (c->tries || c->forward->list_unreachable)
		return false;
	if (!c->claim_until_ms) {
		int64_t half_ms = (c->expires_ms - now) / 2;
		bool claims =
			cs_crash_counts_claim (&c->forward->crashes, now, c->causes, c->n_causes);
		c->claim_until_ms =
			claims ? now + (half_ms < CLAIM_WAIT_MS ? half_ms : CLAIM_WAIT_MS)
			       : NO_CLAIM;
	}
	return now < c->claim_until_ms;
}

bool
cs_crashes_is_doubtful (const cs_call_t *c)
{
	bool is_doubtful = cs_crash_counts_is_doubtful (&c->forward->crashes, cs_now_ms (),
							c->causes, c->n_causes);
	cs_counter_add (&not_sent_on, is_doubtful);
	return is_doubtful;
}

static void
tell (cs_forward_t *f, int64_t now_ms, const cs_crash_news_t *news)
{
	static const struct {
		const char *name;
		cs_crash_verdict_t note;
		int64_t kept_ms; /* for which other daemons read it in the store; 0: no more */
	} verdicts[] = {
		[CS_CRASH_SUSPECTED] = {"suspected", CS_CRASH_SUSPECTED, CS_CRASH_SUSPECTED_MS},
		[CS_CRASH_CONDEMNED] = {"condemned", CS_CRASH_CONDEMNED, CS_CRASH_REFUSED_MS},
		[CS_CRASH_KEEP] = {"kept", CS_CRASH_CONDEMNED, CS_CRASH_REFUSED_MS},
		[CS_CRASH_WORKS] = {"works", CS_CRASH_WORKS, 0},
	};
	int64_t kept_ms = verdicts[news->verdict].kept_ms;
	cs_crash_news_t note = {news->key, verdicts[news->verdict].note, news->since_ms};
	char name[NAME_BYTES];
	cs_buf_t ends = {0};
	cs_crash_counts_describe (&f->crashes, news->key, &ends);
	cs_log_event ("forward", "cause_judged", "%s verdict=%s since_ms=%lld ends=%s",
		      name_of (news->key, name), verdicts[news->verdict].name,
		      (long long)(now_ms - news->since_ms), ends.n ? ends.p : "-");
	cs_buf_finish (&ends);
	cs_counter_add (&refused_causes, news->verdict == CS_CRASH_CONDEMNED);
	cs_notes_publish_news (f, &note);
	cs_send (f->task, cs_task_find (f->task->kernel, "store"),
		 &cs_crash_msg (CS_HOST_REFUSED_CAUSE, news->key, kept_ms ? now_ms + kept_ms : 0,
				news->since_ms)
			  ->msg);
}

/* Each verdict waits for a time that is drawn anew. */
static void
tell_verdict (cs_forward_t *f, int64_t now_ms)
{
	uint32_t within_ms = cs_crash_counts_next_within_ms (&f->crashes, now_ms);
	if (!within_ms) {
		f->tell_ms = 0;
		return;
	}
	if (!f->tell_ms || f->tell_ms > now_ms + within_ms)
		f->tell_ms = now_ms + cs_rng_below (&f->rng, within_ms);
	if (now_ms < f->tell_ms)
		return;
	cs_crash_news_t news = cs_crash_counts_next (&f->crashes, now_ms);
	tell (f, now_ms, &news);
	f->tell_ms = 0;
}

static void
tell_claims (cs_forward_t *f, int64_t now_ms)
{
	char name[NAME_BYTES];
	cs_crash_news_t news;
	while ((news = cs_crash_counts_next_claim (&f->crashes, now_ms)).verdict ==
	       CS_CRASH_CLAIM) {
		cs_log_event ("forward", "try_claimed", "%s", name_of (news.key, name));
		cs_notes_publish_news (f, &news);
	}
}

static void
add_unproven_break (cs_forward_t *f, int64_t now_ms, const cs_crash_break_t *b,
		    const cs_unproven_answer_t *a)
{
	cs_buf_t parts = {0};
	if (!add_break (f, b, a->keys, a->n, a->is_early))
		return;
	format_parts (a->keys, a->n, &parts);
	cs_log_event ("forward", "answer_broke",
		      "back_end=%s born=%" PRIu64 " content=%016" PRIx64 " parts=%s ended_ms=%lld",
		      b->back_end, b->born, b->content, parts.p, (long long)(now_ms - b->at_ms));
	cs_buf_finish (&parts);
}

/* Decides on answers that ended with their connection by what is known since. */
static void
review_unproven (cs_forward_t *f, int64_t now_ms)
{
	cs_unproven_answers_t *u = &f->unproven_answers;
	for (size_t i = u->n; i--;) {
		const cs_unproven_answer_t *a = &u->items[i];
		const cs_unproven_evidence_t e = {
			answered_ms (f, a->back_end),
			cs_suspects_broken_ms (&f->suspects, a->back_end),
			cs_crash_counts_end_ms (&f->crashes, a->back_end, a->born),
			is_listed (f, a->back_end, a->born)};
		const cs_crash_break_t b = {a->back_end,   a->born, a->ended_ms,
					    a->keys[0].id, true,    false};
		cs_unproven_t is = cs_unproven_decide (now_ms, a->ended_ms, &e);
		if (is == CS_UNPROVEN_WHOLE)
			record_whole (f, cs_str ("-"), a->keys, a->n, a->began_ms);
		else if (is == CS_UNPROVEN_BROKEN)
			add_unproven_break (f, now_ms, &b, a);
		if (is != CS_UNPROVEN_UNKNOWN || now_ms - a->ended_ms > CS_UNPROVEN_MAX_MS)
			cs_unproven_answers_remove (u, i);
	}
}

/* Requests that wait in a queue while one of their causes is found out. */
static void
refuse_queued (cs_forward_t *f, int64_t now_ms)
{
	uint32_t retry_after_ms;
	if (!cs_crash_counts_has_refused (&f->crashes, now_ms))
		return;
	for (cs_call_t *c = f->calls, *next; c; c = next) {
		next = c->next;
		if (!c->queue || !cs_crashes_is_refused (c, &retry_after_ms))
			continue;
		cs_queue_remove (c);
		cs_crashes_log_refusal (c);
		cs_dispatch_refuse (c, "crashes-back-ends", retry_after_ms);
	}
}

void
cs_crashes_tick (cs_forward_t *f, int64_t now_ms)
{
	review_unproven (f, now_ms);
	cs_crash_counts_review (&f->crashes, now_ms);
	refuse_queued (f, now_ms);
	if (f->list_unreachable) {
		f->tell_ms = 0;
		return;
	}
	tell_claims (f, now_ms);
	tell_verdict (f, now_ms);
}

void
cs_crashes_receive_kept (cs_forward_t *f, const cs_crash_msg_t *m)
{
	char name[NAME_BYTES];
	int64_t now = cs_now_ms ();
	if (!m->key.id) { /* the kept ones follow: those that are missing were lost */
		cs_crash_counts_forget_kept (&f->crashes);
		return;
	}
	cs_log_event ("forward", "cause_read", "%s for_ms=%lld since_ms=%lld",
		      name_of (m->key, name), (long long)(m->until_ms - now),
		      (long long)(m->since_ms ? now - m->since_ms : -1));
	cs_crash_counts_refuse (&f->crashes, now, m->key, m->until_ms, m->since_ms);
}
