/* Picks the back end for the next attempt of a request. */
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/homes.h"
#include "cs/log.h"
#include "cs/targets.h"
#include "forward.h"

enum {
	STATUS_TOO_LARGE = 413,
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
	NO_TARGET_RETRY_MS =
		1000, /* a group is repaired in about this time if the weights are still cached */
	CLAIM_CHECK_MS = 100, /* until it is looked whether a claim was read */
	BUSY_RETRY_MS = 400,  /* some requests end within this time */
	MAX_RETRY_AFTER_MS =
		30000 /* a back end may return, or another one start, before its time */
};

static const char zone_evacuated[] = "zone-evacuated";
static const char engine_memory[] = "engine-memory";
static cs_counter_t too_large = {.name = "cs_forward_engine_memory_refused_total",
				 .help = "Requests that no engine of their service could hold."};

static cs_status_t
pick_by_query (cs_call_t *c, cs_route_query_t *q, cs_route_t *out)
{
	cs_forward_t *f = c->forward;
	int64_t now = cs_now_ms ();
	cs_status_t status = cs_router_pick (&f->router, now, q, out);
	/* A request that may have run is continued, even at a back end at capacity, or at one whose
	 * memory is now stated as less. */
	if ((status != CS_EXHAUSTED && status != CS_INVALID) || !c->runs)
		return status;
	q->includes_full = true;
	return cs_router_pick (&f->router, now, q, out);
}

/* Restricts the query to zones of the homes of route and team. Returns their list, which the caller
 * frees; NULL: all zones are allowed. */
static const char **
restrict_to_homes (const cs_call_t *c, cs_route_query_t *q)
{
	const cs_host_t *host = c->forward->host;
	if (!cs_homes_bind (c->route, c->team))
		return NULL;
	const char **zones = cs_alloc ((host->n_zones + 1) * sizeof *zones);
	for (size_t i = 0; i < host->n_zones; i++)
		if (cs_homes_allow (c->route, c->team, host->zones[i].region))
			zones[q->n_zones++] = host->zones[i].name;
	q->zones = zones;
	q->has_zones = true;
	return zones;
}

void
cs_dispatch_query_init (cs_dispatch_query_t *q, const cs_call_t *c, const char *service,
			const char *const *barred, size_t n_barred)
{
	q->query = (cs_route_query_t){.service = service,
				      .version = "",
				      .adapter = "",
				      .avoid = (const char *const *)c->tried,
				      .n_avoid = c->tries,
				      .barred = barred,
				      .n_barred = n_barred,
				      .suspects = q->suspects,
				      .size = c->size,
				      .is_size_guessed = c->is_size_guessed,
				      .target_ms = c->route->target_ms};
	q->query.n_suspects = cs_suspects_list (&c->forward->suspects, cs_now_ms (), q->suspects,
						CS_DISPATCH_MAX_SUSPECTS);
	q->zones = restrict_to_homes (c, &q->query);
}

void
cs_dispatch_query_finish (cs_dispatch_query_t *q)
{
	free ((void *)q->zones);
}

/* Picks a back end that was not tried before; suspects come last. */
static cs_status_t
pick (cs_call_t *c, const char *service, cs_route_t *out)
{
	cs_dispatch_query_t q;
	size_t n_barred;
	const char *const *barred = cs_cold_barred (c->forward, c->service, &n_barred);
	cs_dispatch_query_init (&q, c, service, barred, n_barred);
	cs_status_t status = pick_by_query (c, &q.query, out);
	cs_dispatch_query_finish (&q);
	if (status == CS_OK && !c->tries && !cs_queue_may_send (c, service))
		return CS_EXHAUSTED;
	return status;
}

bool
cs_dispatch_has_any (cs_call_t *c, const char *service)
{
	cs_route_t chosen;
	cs_targets_refresh (c->forward);
	return pick (c, service, &chosen) == CS_OK;
}

bool
cs_dispatch_has_other (cs_call_t *c, const char *service)
{
	cs_route_t chosen;
	cs_targets_refresh (c->forward);
	return pick (c, service, &chosen) == CS_OK && !chosen.is_suspect;
}

void
cs_dispatch_refuse (cs_call_t *c, const char *reason, uint32_t retry_after_ms)
{
	bool is_late = cs_now_ms () >= c->expires_ms;
	if (is_late)
		reason = c->runs ? "timeout" : "too-late";
	cs_log_event ("forward", "refused",
		      "id=%.*s reason=%s service=%s runs=%u list_away=%d back_ends=%u",
		      CS_STR_ARG (cs_call_id (c)), reason, c->service, c->runs,
		      c->forward->list_unreachable,
		      (unsigned)HASH_COUNT (c->forward->fleet.entries));
	if (c->has_head)
		cs_reply_end (c, false);
	else if (c->runs)
		cs_reply_own (c, is_late ? STATUS_TIMEOUT : STATUS_BAD_GATEWAY, reason, 0);
	else
		cs_reply_own (c, STATUS_UNAVAILABLE, reason, retry_after_ms);
}

/* When the first back end in a home that has turned this daemon away takes requests again; 0: none
 * has. */
static int64_t
soonest_home_return_ms (const cs_call_t *c, int64_t now)
{
	const cs_forward_t *f = c->forward;
	int64_t soonest = 0;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));) {
		const cs_backend_t *b = e->backend;
		int64_t at = cs_fleet_turned_away_until_ms (&f->fleet, b->id);
		if (at <= now || (soonest && at >= soonest) || strcmp (b->service, c->service) != 0)
			continue;
		if (cs_homes_allow (c->route, c->team, cs_host_region_of (f->host, b->zone)))
			soonest = at;
	}
	return soonest;
}

/* When a caller whom no back end serves may retry: as soon as the first one that has turned this
 * daemon away takes requests again, or else within the time in which a group is repaired. */
static uint32_t
no_target_retry_ms (const cs_call_t *c, bool *turned_away)
{
	int64_t now = cs_now_ms ();
	int64_t at = cs_homes_bind (c->route, c->team)
			     ? soonest_home_return_ms (c, now)
			     : cs_fleet_soonest_return_ms (&c->forward->fleet, now, c->service);
	*turned_away = at > 0;
	if (!at)
		return NO_TARGET_RETRY_MS;
	return at - now < MAX_RETRY_AFTER_MS ? (uint32_t)(at - now) : MAX_RETRY_AFTER_MS;
}

const char *
cs_dispatch_refusal_reason (const cs_call_t *c, cs_status_t status, const char *service,
			    uint32_t *retry_after_ms)
{
	bool turned_away = false;
	if (status == CS_EXHAUSTED)
		return c->tries ? "no-other-back-end" : "busy";
	if (status == CS_INVALID && !c->runs)
		return engine_memory;
	*retry_after_ms = no_target_retry_ms (c, &turned_away);
	if (!c->runs && cs_zones_is_evacuated (c->forward, service, retry_after_ms))
		return zone_evacuated;
	if (status == CS_UNAVAILABLE && cs_homes_bind (c->route, c->team))
		return "no-home";
	if (c->tries)
		return "no-other-back-end";
	return turned_away ? "turned-away" : "no-back-end";
}

/* No engine of its service could ever hold it. */
static void
refuse_too_large (cs_call_t *c, const char *service)
{
	cs_log_event ("forward", "refused_as_too_large",
		      "id=%.*s service=%s prompt_tokens=%u answer_tokens=%u bytes=%zu",
		      CS_STR_ARG (cs_call_id (c)), service, c->size.prompt_tokens,
		      c->size.answer_tokens, c->body.n);
	cs_counter_add (&too_large, 1);
	cs_reply_own (c, STATUS_TOO_LARGE, engine_memory, 0);
}

/* No back end accepts the request now. Queues it if all are at capacity and nothing was tried
 * yet, else refuses it. */
static void
queue_or_refuse (cs_call_t *c, cs_status_t status, const char *service)
{
	int64_t busy_ms = BUSY_RETRY_MS;
	if (status == CS_INVALID && !c->runs) {
		refuse_too_large (c, service);
		return;
	}
	if (status == CS_EXHAUSTED && !c->tries && cs_queue_add (c, service, &busy_ms))
		return;
	uint32_t retry_after_ms = (uint32_t)busy_ms;
	const char *reason = cs_dispatch_refusal_reason (c, status, service, &retry_after_ms);
	if (reason == zone_evacuated)
		cs_zones_count_refusal ();
	cs_dispatch_refuse (c, reason, retry_after_ms);
}

/* Sends the request to the chosen back end. If none was chosen, or it cannot be used, queues or
 * refuses the request. */
static void
send_or_refuse (cs_call_t *c, cs_status_t status, const char *service, const cs_route_t *chosen)
{
	if (status == CS_OK)
		status =
			cs_backend_request_start (c, chosen->name, service, chosen->first_event_ms);
	if (status == CS_OK) {
		cs_queue_record_send (c, service);
		cs_crashes_record_send (c);
	} else {
		queue_or_refuse (c, status, service);
	}
}

/* Refuses a request that crashes the back ends that run it, or lets it wait for a moment. */
static bool
refuse_crashing (cs_call_t *c)
{
	uint32_t retry_after_ms;
	if (!cs_crashes_is_refused (c, &retry_after_ms))
		return false;
	if (cs_crashes_may_wait (c)) {
		cs_timer_start_after (c->forward->task->kernel->loop, &c->retry_timer,
				      CLAIM_CHECK_MS);
		return true;
	}
	cs_crashes_log_refusal (c);
	cs_dispatch_refuse (c, "crashes-back-ends", retry_after_ms);
	return true;
}

bool
cs_dispatch_queued (cs_call_t *c, const char *service)
{
	cs_route_t chosen;
	cs_targets_refresh (c->forward);
	cs_status_t status = pick (c, service, &chosen);
	if (status == CS_EXHAUSTED)
		return false;
	c->queue = NULL;
	if (refuse_crashing (c))
		return true;
	send_or_refuse (c, status, service, &chosen);
	return true;
}

void
cs_dispatch_service_name (const cs_call_t *c, cs_str_t model, cs_buf_t *out)
{
	const cs_serving_service_t *declared = cs_serving_find_service (c->serving, c->service);
	cs_targets_service_name (out, c->service,
				 declared && declared->n_models ? model : cs_str (""));
}

void
cs_dispatch (cs_call_t *c)
{
	cs_forward_t *f = c->forward;
	cs_route_t chosen;
	cs_buf_t service;
	if (c->abandoned || c->ended)
		return;
	if (refuse_crashing (c))
		return;
	if (c->tries && !cs_attempt_keeps_grant (c)) {
		if (c->awaits_claim)
			cs_timer_start_after (f->task->kernel->loop, &c->retry_timer,
					      CLAIM_CHECK_MS);
		else
			cs_dispatch_refuse (c, "repeats-spent", BUSY_RETRY_MS);
		return;
	}
	cs_targets_refresh (f);
	cs_buf_init (&service);
	cs_dispatch_service_name (c, cs_headers_find (&c->headers, f->names->model), &service);
	if (!c->tries)
		cs_queue_record_arrival (c, service.p);
	cs_status_t status = pick (c, service.p, &chosen);
	send_or_refuse (c, status, service.p, &chosen);
	cs_buf_finish (&service);
}
