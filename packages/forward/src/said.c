/* What back ends say of themselves in their answers. It is told to the task "former", which plans
 * the groups by it. */
#include "cs/log.h"
#include "forward.h"

static void
tell_former (cs_forward_t *f, int kind, const char *id, uint64_t born, int64_t until_ms)
{
	f->targets_stale = true;
	cs_send (f->task, cs_task_find (f->task->kernel, "former"),
		 &cs_backend_said_msg (kind, id, born, until_ms)->msg);
}

void
cs_said_leaving (cs_forward_t *f, const char *id, uint64_t born)
{
	if (!cs_fleet_set_leaving (&f->fleet, cs_now_ms (), id, born))
		return;
	cs_log_event ("list", "says_leaving", "id=%s born=%llu", id, (unsigned long long)born);
	tell_former (f, CS_HOST_LEAVING, id, born, 0);
}

void
cs_said_turned_away (cs_forward_t *f, const char *id, uint64_t born, int64_t until_ms)
{
	if (!cs_fleet_turn_away (&f->fleet, id, born, until_ms))
		return;
	cs_log_event ("list", "turned_away", "id=%s born=%llu for_ms=%lld", id,
		      (unsigned long long)born, (long long)(until_ms - cs_now_ms ()));
	tell_former (f, CS_HOST_TURNED_AWAY, id, born, until_ms);
}

void
cs_said_in_head (const cs_backend_request_t *s)
{
	enum {
		STATUS_UNAVAILABLE = 503
	};
	cs_forward_t *f = s->call->forward;
	uint32_t ms = 0;
	if (cs_headers_find (&s->answer_headers, f->names->leaving).n)
		cs_said_leaving (f, s->backend_id, s->born);
	cs_cold_said (s);
	if (s->status == STATUS_UNAVAILABLE &&
	    f->host->adapter->decode_retry_after (
		    cs_headers_find (&s->answer_headers, f->names->retry_after), &ms) &&
	    ms)
		cs_said_turned_away (f, s->backend_id, s->born, cs_now_ms () + ms);
}
