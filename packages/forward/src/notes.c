/* Notes that daemons exchange about groups. A daemon publishes one when the head of a group does
 * not answer, and the others then avoid this head. The planner asks about heads that it cannot
 * reach; daemons probe them and publish a note if they answer. */
#include <stdlib.h>
#include <string.h>

#include "cs/log.h"
#include "forward.h"

enum {
	PROBE_TIMEOUT_MS = 400, /* a working head answers within a few ms */
	RECENT_ANSWER_MS = 400  /* an answer received here this recently outweighs a failure seen by
				   another daemon */
};

typedef struct {
	cs_http_call_t http;
	cs_forward_t *forward;
	uint64_t epoch;
	char *head;
	uint64_t born; /* of the head as it is listed; 0: unknown */
	cs_buf_t url;
	cs_buf_t expected;
	const char *headers[2];
} head_probe_t;

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
	bool published = cs_notices_try_acquire (&f->notices, cs_now_ms (), f->list_unreachable);
	cs_log_event ("forward", "group_silent", "group=%s epoch=%llu head=%s told=%d list_away=%d",
		      head->group, (unsigned long long)head->epoch, head->id, published,
		      f->list_unreachable);
	if (published)
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
		note.body_case = CS__NOTE__BODY_ANSWERS;
		note.answers = &answers;
		publish_note (p->forward, &note);
	}
	free (p->head);
	cs_buf_finish (&p->url);
	cs_buf_finish (&p->expected);
	free (p);
}

static void
probe_head (cs_forward_t *f, const Cs__HeadQuestion *q)
{
	const cs_adapter_t *adapter = f->host->adapter;
	if (cs_fleet_turned_away_until_ms (&f->fleet, q->head) > cs_now_ms ())
		return;
	head_probe_t *p = cs_alloc (sizeof *p);
	p->forward = f;
	p->epoch = q->epoch;
	p->head = cs_str_dup (cs_str (q->head));
	const cs_backend_t *listed = cs_fleet_find (&f->fleet, q->head);
	p->born = listed ? listed->born : 0;
	cs_buf_printf (&p->url, "http://%s%s", q->address, adapter->report_path);
	cs_buf_printf (&p->expected, "%s: %s", adapter->headers->expected_backend, q->head);
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
	if (cs_suspects_answered_ms (&f->suspects, s->head) + RECENT_ANSWER_MS > now)
		return;
	cs_suspects_record_failure (&f->suspects, now, s->head, s->epoch);
}

void
cs_notes_receive (cs_forward_t *f, cs_str_t bytes)
{
	Cs__Note *note = cs__note__unpack (NULL, bytes.n, (const uint8_t *)bytes.p);
	if (!note) {
		cs_log ("forward", CS_LOG_WARN, "received note is not a valid protobuf message");
		return;
	}
	if (note->body_case == CS__NOTE__BODY_SILENT)
		apply_silent (f, note);
	else if (note->body_case == CS__NOTE__BODY_QUESTION)
		probe_head (f, note->question);
	cs__note__free_unpacked (note, NULL);
}
