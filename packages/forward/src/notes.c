/* Notes that daemons exchange about groups. A daemon publishes one when the head of a group does
 * not answer, and the others then avoid this head. The planner asks about heads that it cannot
 * reach; daemons probe them and publish a note if they answer. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cs/log.h"
#include "forward.h"

enum {
	PROBE_TIMEOUT_MS = 400, /* a working head answers within a few ms */
	RETRY_MS = 400,         /* until the rate of notes allows another one */
	BATCH_MS = 30,          /* the connections of a back end that ends break within this time */
	MAX_BATCH = 32,         /* contents of one note; a back end runs fewer of one daemon */
	MAX_PARTS = 96,         /* parts of prompts of one note */
	MAX_NOTE_AGE_MS = 2000, /* a note is read well within this time; clocks may be wrong */
	RECENT_ANSWER_MS = 400  /* an answer received here this recently outweighs a failure seen by
				   another daemon */
};

typedef struct {
	cs_http_call_t http;
	cs_forward_t *forward;
	uint64_t epoch;
	char *head;
	char *address;
	uint64_t born; /* of the head as it last said; 0: unknown */
	cs_buf_t url;
	cs_buf_t expected;
	const char *headers[2];
} head_probe_t;

struct cs_broken_note {
	char *back_end;
	uint64_t born;
	uint64_t at; /* time of day */
	uint64_t contents[MAX_BATCH];
	size_t n;
	struct {
		uint64_t content;
		cs_crash_blame_t blame;
	} parts[MAX_PARTS]; /* those of a content in a row */
	size_t n_parts;
	cs_broken_note_t *next;
};

static void
publish_note (cs_forward_t *f, Cs__Note *note)
{
	cs_send (f->task, cs_task_find (f->task->kernel, "store"),
		 &cs_note_msg (f->host->name, note)->msg);
}

void
cs_notes_publish_silent (cs_forward_t *f, const cs_backend_t *head)
{
	Cs__GroupSilent silent = CS__GROUP_SILENT__INIT;
	Cs__Note note = CS__NOTE__INIT;
	silent.epoch = head->epoch;
	silent.head = head->id;
	note.body_case = CS__NOTE__BODY_SILENT;
	note.silent = &silent;
	int64_t now = cs_now_ms ();
	bool is_told = cs_suspects_is_told (&f->suspects, now, head->id, head->epoch);
	bool published = !is_told && cs_notices_try_acquire (&f->notices, now, f->list_unreachable);
	cs_log_event ("forward", "group_silent",
		      "group=%s epoch=%llu head=%s told=%d told_before=%d list_away=%d",
		      head->group, (unsigned long long)head->epoch, head->id, published, is_told,
		      f->list_unreachable);
	if (!published)
		return;
	cs_suspects_record_told (&f->suspects, now, head->id, head->epoch);
	publish_note (f, &note);
}

static void
on_probe_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	const head_probe_t *p = call->data;
	const char *leaving = p->forward->names->leaving;
	if (value.n && name.n == strlen (leaving) && cs_str_starts_nocase (name, leaving))
		cs_said_leaving (p->forward, p->head, p->born);
}

static void
on_probe_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	head_probe_t *p = call->data;
	if (end == CS_HTTP_DONE && status == 200) {
		Cs__HeadAnswers answers = CS__HEAD_ANSWERS__INIT;
		Cs__Note note = CS__NOTE__INIT;
		answers.epoch = p->epoch;
		answers.head = p->head;
		answers.address = p->address;
		note.body_case = CS__NOTE__BODY_ANSWERS;
		note.answers = &answers;
		publish_note (p->forward, &note);
	}
	free (p->head);
	free (p->address);
	cs_buf_finish (&p->url);
	cs_buf_finish (&p->expected);
	free (p);
}

/* Probes the head that a planner asks about. What the planner does not know of it, as it has
 * started since, this daemon may remember. */
static void
probe_head (cs_forward_t *f, const Cs__HeadQuestion *q)
{
	const cs_adapter_t *adapter = f->host->adapter;
	const cs_backend_t *last = *q->head ? cs_fleet_last (&f->fleet, q->head)
					    : cs_fleet_last_head (&f->fleet, q->epoch);
	const char *head = last ? last->id : q->head;
	const char *address = last ? last->address : q->address;
	if (!*head || !*address || cs_fleet_turned_away_until_ms (&f->fleet, head) > cs_now_ms ()) {
		cs_log_event ("forward", "head_not_asked", "epoch=%llu head=%s address=%s",
			      (unsigned long long)q->epoch, head, address);
		return;
	}
	head_probe_t *p = cs_alloc (sizeof *p);
	p->forward = f;
	p->epoch = q->epoch;
	p->head = cs_str_dup (cs_str (head));
	p->address = cs_str_dup (cs_str (address));
	p->born = last ? last->born : 0;
	cs_buf_printf (&p->url, "http://%s%s", address, adapter->report_path);
	cs_buf_printf (&p->expected, "%s: %s", adapter->headers->expected_backend, head);
	p->headers[0] = p->expected.p;
	p->http = (cs_http_call_t){.method = "GET",
				   .url = cs_buf_str (&p->url),
				   .headers = p->headers,
				   .connect_timeout_ms = PROBE_TIMEOUT_MS,
				   .idle_timeout_ms = PROBE_TIMEOUT_MS,
				   .total_timeout_ms = PROBE_TIMEOUT_MS,
				   .on_header = on_probe_header,
				   .on_end = on_probe_end,
				   .data = p};
	if (cs_http_start (&f->client, &p->http) != CS_OK)
		on_probe_end (&p->http, CS_HTTP_NOT_SENT, 0);
}

/* Another daemon got no answer from the head: records a failure, unless the head answered here
 * recently. */
static void
apply_silent (cs_forward_t *f, const Cs__Note *note)
{
	const Cs__GroupSilent *s = note->silent;
	const cs_backend_t *head = cs_fleet_find (&f->fleet, s->head);
	int64_t now = cs_now_ms ();
	if (!head || head->epoch != s->epoch || !strcmp (note->from, f->host->name))
		return;
	cs_suspects_record_told (&f->suspects, now, s->head, s->epoch);
	if (cs_suspects_answered_ms (&f->suspects, s->head) + RECENT_ANSWER_MS > now)
		return;
	cs_suspects_record_failure (&f->suspects, now, s->head, s->epoch);
}

static cs_broken_note_t *
find_or_add_broken (cs_forward_t *f, const char *back_end, uint64_t born)
{
	cs_broken_note_t *b = f->broken_notes;
	while (b && (b->born != born || strcmp (b->back_end, back_end) != 0))
		b = b->next;
	if (b)
		return b;
	b = cs_alloc (sizeof *b);
	b->back_end = cs_str_dup (cs_str (back_end));
	b->born = born;
	b->next = f->broken_notes;
	f->broken_notes = b;
	return b;
}

static cs_broken_note_t *
free_broken (cs_broken_note_t *b)
{
	cs_broken_note_t *next = b->next;
	free (b->back_end);
	free (b);
	return next;
}

/* Adds the parts of the content at index i of the note's, and returns the index behind them. */
static size_t
encode_parts (const cs_broken_note_t *b, size_t i, Cs__PromptParts *out, uint64_t *strong,
	      uint64_t *weak)
{
	cs__prompt_parts__init (out);
	out->content = b->parts[i].content;
	out->parts = strong;
	out->weak_parts = weak;
	for (; i < b->n_parts && b->parts[i].content == out->content; i++) {
		if (b->parts[i].blame.is_strong)
			strong[out->n_parts++] = b->parts[i].blame.key.id;
		else
			weak[out->n_weak_parts++] = b->parts[i].blame.key.id;
	}
	return i;
}

static void
publish_broken (cs_forward_t *f, cs_broken_note_t *b)
{
	Cs__Broken broken = CS__BROKEN__INIT;
	Cs__Note note = CS__NOTE__INIT;
	Cs__PromptParts parts[MAX_PARTS];
	Cs__PromptParts *pointers[MAX_PARTS];
	uint64_t strong[MAX_PARTS];
	uint64_t weak[MAX_PARTS];
	broken.back_end = b->back_end;
	broken.born = b->born;
	broken.contents = b->contents;
	broken.n_contents = b->n;
	broken.at = b->at;
	broken.parts = pointers;
	for (size_t i = 0; i < b->n_parts; broken.n_parts++) {
		Cs__PromptParts *p = pointers[broken.n_parts] = &parts[broken.n_parts];
		i = encode_parts (b, i, p, strong + i, weak + i);
	}
	note.body_case = CS__NOTE__BODY_BROKEN;
	note.broken = &broken;
	publish_note (f, &note);
}

static void
on_broken_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	cs_forward_t *f = w->data;
	(void)events;
	while (f->broken_notes &&
	       cs_notices_try_acquire (&f->broken_notices, cs_now_ms (), f->list_unreachable)) {
		publish_broken (f, f->broken_notes);
		f->broken_notes = free_broken (f->broken_notes);
	}
	if (f->broken_notes)
		cs_timer_start_after (loop, &f->broken_timer, RETRY_MS);
}

void
cs_notes_add_break (cs_forward_t *f, const cs_crash_break_t *b, const cs_crash_blame_t *blamed,
		    size_t n)
{
	cs_broken_note_t *note = find_or_add_broken (f, b->back_end, b->born);
	if (!note->at)
		note->at = (uint64_t)(cs_time_of_day_ms () - (cs_now_ms () - b->at_ms));
	if (!ev_is_active (&f->broken_timer))
		cs_timer_start_after (f->task->kernel->loop, &f->broken_timer, BATCH_MS);
	for (size_t i = 0; i < n; i++) {
		if (!blamed[i].key.is_part && note->n < MAX_BATCH)
			note->contents[note->n++] = blamed[i].key.id;
		if (!blamed[i].key.is_part || note->n_parts == MAX_PARTS)
			continue;
		note->parts[note->n_parts].content = b->content;
		note->parts[note->n_parts++].blame = blamed[i];
	}
}

void
cs_notes_publish_news (cs_forward_t *f, const cs_crash_news_t *news)
{
	Cs__ContentVerdict verdict = CS__CONTENT_VERDICT__INIT;
	Cs__Note note = CS__NOTE__INIT;
	verdict.content = news->key.id;
	verdict.is_part = news->key.is_part != 0;
	verdict.kind = (Cs__ContentVerdict__Kind)news->verdict;
	if (news->since_ms)
		verdict.since = (uint64_t)(cs_time_of_day_ms () - (cs_now_ms () - news->since_ms));
	note.body_case = CS__NOTE__BODY_VERDICT;
	note.verdict = &verdict;
	publish_note (f, &note);
}

void
cs_notes_claim_repeats (cs_forward_t *f)
{
	cs_retry_claim_t claim;
	if (f->list_unreachable)
		return;
	while (cs_retry_budget_next_claim (&f->retry_budget, cs_now_ms (), &claim)) {
		Cs__RepeatsClaim repeats = CS__REPEATS_CLAIM__INIT;
		Cs__Note note = CS__NOTE__INIT;
		repeats.service = (char *)claim.service;
		repeats.repeats = claim.n;
		repeats.id = claim.id;
		note.body_case = CS__NOTE__BODY_REPEATS;
		note.repeats = &repeats;
		cs_log_event ("forward", "repeats_claimed",
			      "service=%s repeats=%u claim=%016" PRIx64, claim.service, claim.n,
			      claim.id);
		publish_note (f, &note);
	}
}

static void
apply_claim (cs_forward_t *f, const Cs__Note *note)
{
	const Cs__RepeatsClaim *r = note->repeats;
	const cs_retry_claim_t claim = {r->service, r->repeats, r->id};
	bool is_own = !strcmp (note->from, f->host->name);
	bool is_granted = cs_retry_budget_hear (&f->retry_budget, cs_now_ms (), &claim, is_own);
	if (is_own)
		cs_log_event ("forward", "repeats_claim_read",
			      "service=%s repeats=%u claim=%016" PRIx64 " granted=%d", r->service,
			      r->repeats, r->id, is_granted);
}

void
cs_notes_init (cs_forward_t *f)
{
	cs_notices_init_breaks (&f->broken_notices);
	ev_init (&f->broken_timer, on_broken_timer);
	f->broken_timer.data = f;
}

void
cs_notes_finish (cs_forward_t *f)
{
	ev_timer_stop (f->task->kernel->loop, &f->broken_timer);
	while (f->broken_notes)
		f->broken_notes = free_broken (f->broken_notes);
}

/* A time of another daemon's clock on the clock of cs_now_ms. */
static int64_t
local_ms (uint64_t at, int64_t max_age_ms)
{
	int64_t age_ms = at ? cs_time_of_day_ms () - (int64_t)at : 0;
	age_ms = age_ms < 0 ? 0 : age_ms;
	return cs_now_ms () - (age_ms < max_age_ms ? age_ms : max_age_ms);
}

static size_t
add_blamed (cs_crash_blame_t *blamed, size_t n, const uint64_t *ids, size_t n_ids, bool is_strong)
{
	for (size_t i = 0; i < n_ids && n <= CS_PROMPT_MAX_PARTS; i++)
		blamed[n++] = (cs_crash_blame_t){{ids[i], true}, is_strong};
	return n;
}

/* Past ones may be as old as ends count. */
static void
apply_broken (cs_forward_t *f, const Cs__Broken *b, bool is_past)
{
	int64_t max_age_ms = is_past ? CS_CRASH_WINDOW_MS : MAX_NOTE_AGE_MS;
	cs_crash_break_t seen = {.back_end = b->back_end,
				 .born = b->born,
				 .at_ms = local_ms (b->at, max_age_ms),
				 .is_past = is_past};
	if (!b->n_contents && !b->n_parts)
		cs_crash_counts_add (&f->crashes, cs_now_ms (), &seen, NULL, 0);
	for (size_t i = 0; i < b->n_contents; i++) {
		const cs_crash_blame_t content = {{b->contents[i], false}, true};
		seen.content = b->contents[i];
		cs_crash_counts_add (&f->crashes, cs_now_ms (), &seen, &content, 1);
	}
	for (size_t i = 0; i < b->n_parts; i++) {
		cs_crash_blame_t blamed[CS_PROMPT_MAX_PARTS + 1];
		const Cs__PromptParts *p = b->parts[i];
		size_t n = add_blamed (blamed, 0, p->parts, p->n_parts, true);
		n = add_blamed (blamed, n, p->weak_parts, p->n_weak_parts, false);
		seen.content = p->content;
		cs_crash_counts_add (&f->crashes, cs_now_ms (), &seen, blamed, n);
	}
}

static void
apply_verdict (cs_forward_t *f, const Cs__Note *note, bool own)
{
	const Cs__ContentVerdict *v = note->verdict;
	const cs_crash_news_t news = {{v->content, v->is_part},
				      (cs_crash_verdict_t)v->kind,
				      v->since ? local_ms (v->since, CS_CRASH_WINDOW_MS) : 0};
	cs_crash_counts_hear (&f->crashes, cs_now_ms (), &news, own);
}

/* Of what was told before the start only the evidence still matters: verdicts are kept in the
 * store, and claims have ended. */
static void
apply_past (cs_forward_t *f, const Cs__Note *note)
{
	if (note->body_case == CS__NOTE__BODY_BROKEN &&
	    cs_now_ms () - local_ms (note->broken->at, CS_CRASH_WINDOW_MS) < CS_CRASH_WINDOW_MS)
		apply_broken (f, note->broken, true);
	else if (note->body_case == CS__NOTE__BODY_REPEATS)
		apply_claim (f, note);
	else if (note->body_case == CS__NOTE__BODY_VERDICT &&
		 note->verdict->kind == CS__CONTENT_VERDICT__KIND__WORKS)
		apply_verdict (f, note, false);
}

void
cs_notes_receive (cs_forward_t *f, const cs_ledger_msg_t *m)
{
	cs_retry_budget_follow (&f->retry_budget, cs_now_ms (), m->era, m->offset, m->bytes.n > 0);
	if (!m->bytes.n)
		return;
	Cs__Note *note = cs__note__unpack (NULL, m->bytes.n, (const uint8_t *)m->bytes.p);
	if (!note) {
		cs_log ("forward", CS_LOG_WARN, "received note is not a valid protobuf message");
		return;
	}
	if (m->is_past)
		apply_past (f, note);
	else if (note->body_case == CS__NOTE__BODY_REPEATS)
		apply_claim (f, note);
	else if (note->body_case == CS__NOTE__BODY_SILENT)
		apply_silent (f, note);
	else if (note->body_case == CS__NOTE__BODY_QUESTION)
		probe_head (f, note->question);
	else if (note->body_case == CS__NOTE__BODY_BROKEN)
		apply_broken (f, note->broken, false);
	else if (note->body_case == CS__NOTE__BODY_VERDICT)
		apply_verdict (f, note, !strcmp (note->from, f->host->name));
	cs__note__free_unpacked (note, NULL);
}
