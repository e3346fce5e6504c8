/* Keeps the router's targets up to date with the list of back ends. */
#include "cs/targets.h"
#include "forward.h"

void
cs_targets_refresh (cs_forward_t *f)
{
	bool returned = f->next_return_ms && cs_now_ms () >= f->next_return_ms;
	if ((!f->targets_stale && !returned) || !f->serving)
		return;
	f->targets_stale = false;
	f->cold.is_stale = true;
	f->next_return_ms =
		cs_targets_update (&f->router, cs_now_ms (), &f->fleet, f->serving, &f->evacuation);
	cs_queue_heads_changed (f);
}
