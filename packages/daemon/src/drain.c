/* Graceful shutdown: the gateway admits no new requests, those in progress finish, and then the
 * daemon submits its LEAVE record. */
#include "control.h"

enum {
	LEAVE_TIMEOUT_MS = 3000 /* how long to wait until the LEAVE record is applied */
};

void
drain_begin (control_t *c)
{
	if (c->draining) {
		cs_log ("drain", CS_LOG_WARN,
			"second stop request: stopping at once, %u requests aborted",
			HASH_COUNT (c->jobs));
		cs_kernel_stop (c->task->kernel);
		return;
	}
	c->draining = true;
	c->drain_deadline_ms = cs_now_ms () + (int64_t)c->settings->drain_seconds * 1000;
	cs_log ("drain", CS_LOG_INFO, "draining, %u requests in progress", HASH_COUNT (c->jobs));
	cs_request_msg_t *m = cs_request_msg (CS_MSG_DRAIN, NULL);
	cs_send (c->task, c->gateway, &m->msg);
}

static void
submit_leave (control_t *c)
{
	Cs__Record r = CS__RECORD__INIT;
	Cs__Leave body = CS__LEAVE__INIT;
	r.body_case = CS__RECORD__BODY_LEAVE;
	r.leave = &body;
	cs_writer_submit (&c->control_stream.writer, &r, NULL);
	c->leave_sent = true;
	c->drain_deadline_ms = cs_now_ms () + LEAVE_TIMEOUT_MS;
}

static void
stop (control_t *c, const char *how)
{
	cs_log ("drain", CS_LOG_INFO, "stopped %s: %llu requests finished, %u aborted", how,
		(unsigned long long)c->n_finished, HASH_COUNT (c->jobs));
	cs_kernel_stop (c->task->kernel);
}

void
drain_tick (control_t *c, int64_t now)
{
	if (!c->draining)
		return;
	bool idle = c->drained && !c->jobs && !c->claimant.n_submissions;
	if (!c->leave_sent && idle)
		submit_leave (c);
	if (c->leave_sent && !cs_members_get (&c->members, c->own_incarnation)) {
		stop (c, "after the LEAVE record");
		return;
	}
	if (now < c->drain_deadline_ms)
		return;
	stop (c, c->leave_sent ? "without confirmation of the LEAVE record"
			       : "at the drain time limit");
}
