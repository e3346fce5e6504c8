/* Sends orders to back ends and probes of group members, and asks daemons about unlisted heads. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "former.h"

enum {
	PROBE_TIMEOUT_MS = 350,  /* a running back end answers within a few milliseconds */
	ORDER_TIMEOUT_MS = 1000, /* after that the order may still be carried out */
	CONNECT_TIMEOUT_MS = 500,
	MAX_REPLY_BYTES = 64 << 10, /* a longer reply is no report */
	STATUS_MISDIRECTED = 421,
	STATUS_UNAVAILABLE = 503
};

typedef struct {
	cs_http_call_t http;
	cs_former_t *former;
	cs_form_kind_t kind;
	uint64_t epoch;
	char *id;
	uint64_t born; /* of the back end as it is listed; 0: unknown */
	uint32_t retry_after_ms;
	cs_buf_t url;
	cs_buf_t body;
	cs_buf_t expected;
	cs_buf_t reply;
	bool is_too_long; /* the reply exceeds MAX_REPLY_BYTES */
	const char *headers[3];
} order_t;

static cs_counter_t orders = {.name = "cs_former_orders_total",
			      .help = "Orders sent to back ends."};

static bool
is_named (cs_str_t name, const char *expected)
{
	return name.n == strlen (expected) && cs_str_starts_nocase (name, expected);
}

/* Any answer may say that its back end leaves, also that to a probe or an order. */
static void
on_header (cs_http_call_t *call, cs_str_t name, cs_str_t value)
{
	order_t *o = call->data;
	cs_former_t *f = o->former;
	const cs_adapter_t *adapter = f->host->adapter;
	if (is_named (name, adapter->headers->retry_after))
		adapter->decode_retry_after (value, &o->retry_after_ms);
	if (!value.n || !is_named (name, adapter->headers->leaving) ||
	    !cs_fleet_set_leaving (&f->fleet, cs_now_ms (), o->id, o->born))
		return;
	cs_log_event ("list", "says_leaving", "id=%s born=%" PRIu64, o->id, o->born);
	cs_send (f->task, cs_task_find (f->task->kernel, "forward"),
		 &cs_backend_said_msg (CS_HOST_LEAVING, o->id, o->born, 0)->msg);
}

static void
record_turned_away (const order_t *o)
{
	cs_former_t *f = o->former;
	int64_t until_ms = cs_now_ms () + o->retry_after_ms;
	if (!o->retry_after_ms || !cs_fleet_turn_away (&f->fleet, o->id, o->born, until_ms))
		return;
	cs_log_event ("list", "turned_away", "id=%s born=%" PRIu64 " for_ms=%u", o->id, o->born,
		      o->retry_after_ms);
	cs_send (f->task, cs_task_find (f->task->kernel, "forward"),
		 &cs_backend_said_msg (CS_HOST_TURNED_AWAY, o->id, o->born, until_ms)->msg);
}

static void
on_body (cs_http_call_t *call, cs_str_t bytes)
{
	order_t *o = call->data;
	o->is_too_long |= o->reply.n + bytes.n > MAX_REPLY_BYTES;
	if (o->is_too_long)
		cs_http_cancel (call);
	else
		cs_buf_add (&o->reply, bytes);
}

static void
record_probe_result (const order_t *o, cs_http_end_t end, int status)
{
	cs_former_t *f = o->former;
	cs_report_t report;
	cs_probe_t result = CS_PROBE_SILENT;
	/* A refused connection does not show that the back end has ended: during a network
	 * partition between zones, connection attempts may be answered with resets. */
	bool is_misdirected = end == CS_HTTP_DONE && status == STATUS_MISDIRECTED;
	bool has_report = end == CS_HTTP_DONE && status == 200 &&
			  f->host->adapter->decode_report (cs_buf_str (&o->reply), &report);
	if (is_misdirected)
		result = CS_PROBE_ENDED;
	else if (has_report)
		result = report.epoch == o->epoch ? CS_PROBE_MEMBER : CS_PROBE_MOVED;
	cs_formation_record_probe (&f->formation, cs_now_ms (), o->epoch, o->id, result,
				   has_report ? (cs_membership_state_t)report.state
					      : CS_MEMBERSHIP_NONE,
				   has_report ? report.sequence : 0);
}

static void
on_end (cs_http_call_t *call, cs_http_end_t end, int status)
{
	static const char *const order_names[] = {
		[CS_FORM_JOIN] = "join",   [CS_FORM_OPEN] = "open",   [CS_FORM_CLOSE] = "close",
		[CS_FORM_STAGE] = "stage", [CS_FORM_PROBE] = "probe", [CS_FORM_LEAVE] = "leave",
	};
	order_t *o = call->data;
	if (o->is_too_long)
		end = CS_HTTP_BROKEN;
	if (end != CS_HTTP_CANCELLED)
		cs_log_event ("former", "answered",
			      "order=%s backend=%s epoch=%" PRIu64 " status=%d end=%d reply=%.120s",
			      order_names[o->kind], o->id, o->epoch, status, (int)end,
			      o->reply.p && status != 200 ? o->reply.p : "");
	if (end == CS_HTTP_DONE && status == STATUS_UNAVAILABLE)
		record_turned_away (o);
	if (o->kind == CS_FORM_OPEN && end == CS_HTTP_DONE)
		cs_formation_open_answered (&o->former->formation, cs_now_ms (), o->epoch,
					    status < 300);
	if (o->kind == CS_FORM_OPEN && end == CS_HTTP_NOT_SENT)
		cs_formation_open_answered (&o->former->formation, cs_now_ms (), o->epoch, false);
	if (o->kind == CS_FORM_LEAVE && end == CS_HTTP_DONE && status >= 200 && status < 300)
		cs_formation_leave_answered (&o->former->formation, cs_now_ms (), o->epoch, o->id);
	if (o->kind == CS_FORM_PROBE)
		record_probe_result (o, end, status);
	cs_buf_finish (&o->url);
	cs_buf_finish (&o->body);
	cs_buf_finish (&o->expected);
	cs_buf_finish (&o->reply);
	free (o->id);
	free (o);
}

static void
encode_action (const cs_former_t *f, const cs_form_action_t *a, cs_buf_t *out)
{
	static const cs_order_kind_t kinds[] = {
		[CS_FORM_JOIN] = CS_ORDER_JOIN,   [CS_FORM_OPEN] = CS_ORDER_OPEN,
		[CS_FORM_CLOSE] = CS_ORDER_CLOSE, [CS_FORM_STAGE] = CS_ORDER_STAGE,
		[CS_FORM_LEAVE] = CS_ORDER_LEAVE,
	};
	cs_order_t order = {.kind = kinds[a->kind],
			    .model = a->model,
			    .abort_requests = a->abort_requests,
			    .expects_sequence = a->expects_sequence,
			    .sequence = a->sequence};
	if (a->group) {
		order.group = a->group->name;
		order.epoch = a->group->epoch;
		order.members = (const char *const *)a->group->members;
		order.n_members = a->group->n;
	}
	f->host->adapter->encode_order (&order, out);
}

/* Asks all daemons, by a note in the store, whether they can reach the head. */
static void
ask_daemons (cs_former_t *f, const cs_form_action_t *a)
{
	Cs__HeadQuestion question = CS__HEAD_QUESTION__INIT;
	Cs__Note note = CS__NOTE__INIT;
	question.epoch = a->group->epoch;
	question.head = (char *)(uintptr_t)a->id;
	question.address = (char *)(uintptr_t)(a->address ? a->address : "");
	note.body_case = CS__NOTE__BODY_QUESTION;
	note.question = &question;
	cs_send (f->task, f->store, &cs_note_msg (f->host->name, &note)->msg);
}

/* True if the back end wants nothing from this daemon now. Closing a head that lacks a member does
 * not wait. */
static bool
is_held_back (const cs_former_t *f, const cs_form_action_t *a)
{
	return a->kind != CS_FORM_CLOSE &&
	       cs_fleet_turned_away_until_ms (&f->fleet, a->id) > cs_now_ms ();
}

void
cs_former_send (cs_former_t *f, const cs_form_action_t *a)
{
	const cs_adapter_t *adapter = f->host->adapter;
	bool is_probe = a->kind == CS_FORM_PROBE;
	if (a->kind == CS_FORM_ASK_DAEMONS) {
		cs_log_event ("former", "asked", "head=%s epoch=%" PRIu64 " address=%s", a->id,
			      a->group->epoch, a->address ? a->address : "");
		ask_daemons (f, a);
		return;
	}
	if (!a->address || (is_probe && is_held_back (f, a)))
		return; /* no silence: nothing was asked */
	order_t *o = cs_alloc (sizeof *o);
	o->former = f;
	o->kind = a->kind;
	o->epoch = a->group ? a->group->epoch : 0;
	o->id = cs_str_dup (cs_str (a->id));
	const cs_backend_t *b = cs_fleet_find (&f->fleet, a->id);
	o->born = b ? b->born : 0;
	cs_buf_printf (&o->url, "http://%s%s", a->address,
		       is_probe ? adapter->report_path : adapter->order_path);
	cs_buf_printf (&o->expected, "%s: %s", adapter->headers->expected_backend, a->id);
	o->headers[0] = o->expected.p;
	if (!is_probe) {
		encode_action (f, a, &o->body);
		o->headers[1] = "Content-Type: application/json";
	}
	o->http = (cs_http_call_t){
		.method = is_probe ? "GET" : "POST",
		.url = cs_buf_str (&o->url),
		.body = cs_buf_str (&o->body),
		.headers = o->headers,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = is_probe ? PROBE_TIMEOUT_MS : ORDER_TIMEOUT_MS,
		.total_timeout_ms = is_probe ? PROBE_TIMEOUT_MS : ORDER_TIMEOUT_MS,
		.not_after_ms = f->lease_until_ms, /* a daemon that was paused must not send
						      outdated orders */
		.on_header = on_header,
		.on_body = on_body,
		.on_end = on_end,
		.data = o,
	};
	cs_counter_add (&orders, 1);
	cs_log_event ("former", "ordered",
		      "order=%d backend=%s group=%s epoch=%" PRIu64 " reason=\"%s\"", (int)a->kind,
		      a->id, a->group ? a->group->name : "", o->epoch, a->reason);
	if (is_held_back (f, a) || cs_http_start (&f->http, &o->http) != CS_OK)
		on_end (&o->http, CS_HTTP_NOT_SENT, 0);
}
