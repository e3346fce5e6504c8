/* What back ends say of themselves in their answers. It is told to the task "former", which plans
 * the groups by it. */
#include "cs/log.h"
#include "forward.h"

void
cs_said_leaving (cs_forward_t *f, const char *id, uint64_t born)
{
	if (!cs_fleet_set_leaving (&f->fleet, cs_now_ms (), id, born))
		return;
	f->targets_stale = true;
	cs_log_event ("list", "says_leaving", "id=%s born=%llu", id, (unsigned long long)born);
	cs_send (f->task, cs_task_find (f->task->kernel, "former"),
		 &cs_backend_said_msg (CS_HOST_LEAVING, id, born)->msg);
}
