/* Zones that an operator evacuates, and takes back. */
#include "cs/counters.h"
#include "cs/log.h"
#include "cs/targets.h"
#include "forward.h"

enum {
	RETRY_MS = 1000, /* in which the planner forms a group elsewhere, of weights on its hosts */
	MAX_RETRY_MS = 30000
};

static cs_counter_t evacuated = {.name = "cs_evacuated_zones",
				 .help = "Zones that get no requests, by the operator's word."};
static cs_counter_t refusals = {
	.name = "cs_forward_evacuated_refused_total",
	.help = "Requests refused as only an evacuated zone could serve them."};

static const cs_backend_t *
backend_of (const cs_call_t *c)
{
	const cs_backend_request_t *s = c->backend_request;
	return s ? cs_fleet_find (&c->forward->fleet, s->backend_id) : NULL;
}

static void
log_zone (const cs_forward_t *f, const cs_zone_msg_t *m)
{
	uint32_t n = 0, running = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));)
		n += cs_fleet_is_in_zone (&f->fleet, e->backend, m->zone);
	for (const cs_call_t *c = f->calls; c; c = c->next) {
		const cs_backend_t *b = backend_of (c);
		running += b && cs_fleet_is_in_zone (&f->fleet, b, m->zone);
	}
	cs_log_event ("list", m->is_evacuated ? "zone_evacuated" : "zone_taken_back",
		      "zone=%s back_ends=%u running=%u", m->zone, n, running);
}

/* Answers that run end whole; what waits for a connection goes elsewhere. */
static void
withdraw_unsent (cs_forward_t *f)
{
	for (cs_call_t *c = f->calls, *next; c; c = next) {
		next = c->next;
		const cs_backend_t *b = backend_of (c);
		if (b && cs_targets_is_evacuated (&f->fleet, &f->evacuation, b))
			cs_backend_request_withdraw (c);
	}
}

void
cs_zones_receive (cs_forward_t *f, const cs_zone_msg_t *m)
{
	if (!cs_evacuation_set (&f->evacuation, cs_now_ms (), cs_str (m->zone), m->is_evacuated))
		return;
	f->targets_stale = true;
	cs_gauge_set (&evacuated, f->evacuation.n_evacuated);
	log_zone (f, m);
	if (m->is_evacuated)
		withdraw_unsent (f);
}

/* No time of the return is known. An operator takes a zone back at the earliest once it is empty
 * everywhere, which the platform's bound states; later, a second is as good as any longer time: a
 * refusal costs little, and the zone may be back, or a group formed elsewhere. */
static uint32_t
retry_ms (const cs_forward_t *f)
{
	int64_t now = cs_now_ms (), most_ms = RETRY_MS;
	for (const cs_evacuated_zone_t *z = f->evacuation.zones; z; z = z->hh.next) {
		int64_t left_ms = z->since_ms + f->host->evacuation_ms - now;
		if (z->is_evacuated && left_ms > most_ms)
			most_ms = left_ms;
	}
	return (uint32_t)(most_ms < MAX_RETRY_MS ? most_ms : MAX_RETRY_MS);
}

bool
cs_zones_is_evacuated (cs_forward_t *f, const char *service, uint32_t *retry_after_ms)
{
	if (!f->evacuation.n_evacuated)
		return false;
	cs_targets_refresh (f);
	if (!cs_router_is_evacuated (&f->router, service))
		return false;
	*retry_after_ms = retry_ms (f);
	return true;
}

void
cs_zones_count_refusal (void)
{
	cs_counter_add (&refusals, 1);
}
