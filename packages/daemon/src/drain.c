/* Graceful shutdown: no new requests, those in progress finish, then LEAVE. */
#include "control.h"

enum {
	LEAVE_MS = 3000 /* longest wait for the LEAVE record once nothing is in progress */
};

void
drain_begin (control_t *c)
{
	if (c->draining) {
		cs_log ("drain", CS_LOG_WARN, "stopped at once, %u requests were cut",
			HASH_COUNT (c->jobs));
		cs_kernel_stop (c->task->kernel);
		return;
	}
	c->draining = true;
	c->drain_deadline_ms = cs_now_ms () + (int64_t)c->settings->drain_seconds * 1000;
	cs_log ("drain", CS_LOG_INFO, "stopping, %u requests are in progress",
		HASH_COUNT (c->jobs));
	cs_request_msg_t *m = cs_request_msg (CS_MSG_DRAIN, NULL);
	cs_send (c->task, c->gateway, &m->msg);
}

static void
leave (control_t *c)
{
	Cs__Record r = CS__RECORD__INIT;
	Cs__Leave body = CS__LEAVE__INIT;
	r.body_case = CS__RECORD__BODY_LEAVE;
	r.leave = &body;
	cs_writer_submit (&c->control_stream.writer, &r, NULL);
	c->leave_sent = true;
	c->drain_deadline_ms = cs_now_ms () + LEAVE_MS;
}

static void
end (control_t *c, const char *how)
{
	cs_log ("drain", CS_LOG_INFO, "stopped %s: %llu requests finished, %u cut", how,
		(unsigned long long)c->finished, HASH_COUNT (c->jobs));
	cs_kernel_stop (c->task->kernel);
}

void
drain_tick (control_t *c, int64_t now)
{
	if (!c->draining)
		return;
	bool quiet = c->drained && !c->jobs && !c->claimant.n_submissions;
	if (!c->leave_sent && quiet)
		leave (c);
	if (c->leave_sent && !cs_members_get (&c->members, c->me)) {
		end (c, "after leaving");
		return;
	}
	if (now < c->drain_deadline_ms)
		return;
	end (c, c->leave_sent ? "without word from the log" : "at the longest drain time");
}
