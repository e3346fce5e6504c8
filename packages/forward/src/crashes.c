/* Contents that crash back ends: what this daemon sees and hears of them, and whom it tells. A
 * content that is refused for good is kept in the store, as its next sender may come to a daemon
 * that starts later. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

enum {
	MAX_TELL_DELAY_MS = 1500 /* several times what a note takes to all daemons */
};

static cs_counter_t refused_contents = {
	.name = "cs_forward_contents_refused_total",
	.help = "Contents that were found to crash back ends, by this daemon."};

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
	return b && b->born == born;
}

static const cs_crash_evidence_ops_t evidence = {answered_ms, is_listed};

void
cs_crashes_init (cs_forward_t *f)
{
	cs_crash_counts_init (&f->crashes, &evidence, f);
}

/* Lists ids as in the header that names the parts. */
static void
format_parts (const cs_call_t *c, cs_buf_t *out)
{
	for (size_t i = 0; i < c->n_parts; i++)
		cs_buf_printf (out, "%s%" PRIx64, i ? "," : "", c->parts[i]);
}

void
cs_crashes_record_break (const cs_backend_request_t *s)
{
	cs_forward_t *f = s->call->forward;
	cs_buf_t parts = {0};
	if (!cs_crash_counts_add (&f->crashes, cs_now_ms (), s->call->content, s->backend_id,
				  s->born))
		return;
	format_parts (s->call, &parts);
	cs_log_event ("forward", "broke_under_content",
		      "id=%.*s back_end=%s born=%" PRIu64 " content=%016" PRIx64
		      " parts=%s sent_ms=%lld first_event_ms=%lld events=%u",
		      CS_STR_ARG (cs_call_id (s->call)), s->backend_id, s->born, s->call->content,
		      parts.n ? parts.p : "-", (long long)((cs_now_us () - s->sent_us) / 1000),
		      s->first_us ? (long long)((cs_now_us () - s->first_us) / 1000) : -1,
		      s->events);
	cs_buf_finish (&parts);
	cs_notes_add_break (f, s->backend_id, s->born, s->call->content);
}

void
cs_crashes_record_answer (const cs_call_t *c)
{
	cs_crash_counts_answered (&c->forward->crashes, cs_now_ms (), c->content);
}

void
cs_crashes_record_send (const cs_call_t *c)
{
	if (cs_crash_counts_sent (&c->forward->crashes, c->content))
		cs_log_event ("forward", "content_tried", "id=%.*s content=%016" PRIx64,
			      CS_STR_ARG (cs_call_id (c)), c->content);
}

bool
cs_crashes_is_refused (const cs_call_t *c, uint32_t *retry_after_ms)
{
	int64_t now = cs_now_ms ();
	int64_t until_ms = cs_crash_counts_refused_until_ms (&c->forward->crashes, now, c->content);
	if (until_ms <= now)
		return false;
	*retry_after_ms = (uint32_t)(until_ms - now);
	return true;
}

static void
tell (cs_forward_t *f, int64_t now_ms, uint64_t content, cs_crash_verdict_t verdict)
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
	int64_t kept_ms = verdicts[verdict].kept_ms;
	cs_log_event ("forward", "content_judged", "content=%016" PRIx64 " verdict=%s", content,
		      verdicts[verdict].name);
	cs_counter_add (&refused_contents, verdict == CS_CRASH_CONDEMNED);
	cs_notes_publish_content (f, content, verdicts[verdict].note);
	cs_send (f->task, cs_task_find (f->task->kernel, "store"),
		 &cs_content_msg (CS_HOST_REFUSED_CONTENT, content, kept_ms ? now_ms + kept_ms : 0)
			  ->msg);
}

/* Each verdict waits for a time that is drawn anew: what another daemon tells meanwhile need not be
 * told again. */
void
cs_crashes_tick (cs_forward_t *f, int64_t now_ms)
{
	uint64_t content;
	cs_crash_counts_review (&f->crashes, now_ms);
	if (f->list_unreachable || !cs_crash_counts_has_next (&f->crashes, now_ms)) {
		f->tell_contents_ms = 0;
		return;
	}
	if (!f->tell_contents_ms)
		f->tell_contents_ms = now_ms + cs_rng_below (&f->rng, MAX_TELL_DELAY_MS);
	if (now_ms < f->tell_contents_ms)
		return;
	cs_crash_verdict_t verdict = cs_crash_counts_next (&f->crashes, now_ms, &content);
	tell (f, now_ms, content, verdict);
	f->tell_contents_ms = 0;
}

void
cs_crashes_receive_kept (cs_forward_t *f, const cs_content_msg_t *m)
{
	int64_t now = cs_now_ms ();
	if (!m->content) { /* the kept ones follow: those that are missing were lost */
		cs_crash_counts_forget_kept (&f->crashes);
		return;
	}
	cs_log_event ("forward", "content_read", "content=%016" PRIx64 " for_ms=%lld", m->content,
		      (long long)(m->until_ms - now));
	cs_crash_counts_refuse (&f->crashes, now, m->content, m->until_ms);
}
