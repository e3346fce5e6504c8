/* Cold back ends: they get requests only as far as this daemon's share of the bound reaches. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

enum {
	MAX_COLD_MS = 600000 /* nothing stays cold for longer */
};

struct cs_cold_back_end {
	const char *id; /* of the fleet's entry */
	const char *service;
	int64_t until_ms;
	double bound; /* requests of all daemons in any second */
};

static cs_counter_t gauge = {.name = "cs_cold_back_ends",
			     .help = "Back ends that count as cold, where a bound is stated."};
static cs_counter_t sends = {.name = "cs_forward_cold_sent_total",
			     .help = "Requests sent to cold back ends."};
static cs_counter_t malformed = {.name = "cs_forward_cold_malformed_total",
				 .help = "Answers that bear no valid time of being cold."};

void
cs_cold_init (cs_forward_t *f)
{
	cs_cold_share_init (&f->cold.share, cs_now_ms ());
}

void
cs_cold_finish (cs_forward_t *f)
{
	cs_cold_share_finish (&f->cold.share);
	free (f->cold.items);
	free (f->cold.barred);
}

void
cs_cold_receive (cs_forward_t *f, const cs_cold_share_msg_t *m)
{
	const cs_cold_place_t before = f->cold.share.place;
	const cs_cold_place_t *p = &m->place;
	if (!cs_cold_share_told (&f->cold.share, cs_now_ms (), p))
		return;
	if (p->reader != before.reader || p->index != before.index ||
	    p->capacity != before.capacity)
		cs_log_event ("list", "cold_place",
			      "index=%u capacity=%u basis=%u reader=%016" PRIx64, p->index,
			      p->capacity, p->basis, p->reader);
}

/* Logged once, as each answer may bear one. */
static void
count_malformed (const char *id, cs_str_t value)
{
	enum {
		SHOWN_BYTES = 40
	};
	if (!malformed.value)
		cs_log_event ("list", "cold_malformed", "id=%s value=\"%.*s\" bytes=%zu", id,
			      value.n < SHOWN_BYTES ? (int)value.n : SHOWN_BYTES, value.p, value.n);
	cs_counter_add (&malformed, 1);
}

void
cs_cold_said (const cs_backend_request_t *s)
{
	cs_forward_t *f = s->call->forward;
	uint64_t ms = 0;
	if (f->host->cold_overshoot <= 0 || !f->names->cold)
		return;
	cs_str_t value = cs_headers_find (&s->answer_headers, f->names->cold);
	if (!value.n)
		return;
	if (!cs_str_u64 (value, &ms)) {
		count_malformed (s->backend_id, value);
		return;
	}
	cs_fleet_set_cold (&f->fleet, cs_now_ms (), s->backend_id, s->born,
			   ms < MAX_COLD_MS ? (uint32_t)ms : MAX_COLD_MS);
	f->cold.is_stale = true;
}

static void
add (const cs_forward_t *f, cs_cold_t *cold, const cs_fleet_entry_t *e, int64_t now)
{
	const cs_backend_t *b = e->backend;
	const cs_serving_service_t *service = cs_serving_find_service (f->serving, b->service);
	if (!service || service->cold_per_s <= 0)
		return;
	int64_t until_ms = cs_fleet_cold_until_ms (e, cold->list_read_ms,
						   cs_evacuation_ended_ms (&f->evacuation, b->zone),
						   service->cold_start_ms);
	if (until_ms <= now)
		return;
	cold->items = cs_grow (cold->items, &cold->cap, cold->n + 1, sizeof *cold->items);
	cold->items[cold->n++] = (cs_cold_back_end_t){
		b->id, b->service, until_ms,
		service->cold_per_s * f->host->cold_overshoot + f->host->cold_slack};
}

static void
log_change (cs_forward_t *f, int64_t now)
{
	cs_cold_t *cold = &f->cold;
	if (cold->had_cold == (cold->n > 0))
		return;
	cold->had_cold = cold->n > 0;
	cs_log_event ("list", cold->n ? "cold" : "cold_no_more",
		      "back_ends=%zu first=%s has_place=%d", cold->n,
		      cold->n ? cold->items[0].id : "-",
		      cs_cold_share_has_place (&cold->share, now));
}

static void
collect (const cs_forward_t *f, cs_cold_t *cold, int64_t now)
{
	cold->is_stale = false;
	cold->n = 0;
	if (f->host->cold_overshoot > 0)
		for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));)
			add (f, cold, e, now);
}

static void
refresh (cs_forward_t *f, int64_t now)
{
	cs_cold_t *cold = &f->cold;
	if (!cold->is_stale || !f->serving)
		return;
	collect (f, cold, now);
	if (cold->n || cold->had_cold)
		cs_gauge_set (&gauge, (int64_t)cold->n);
	log_change (f, now);
}

static const char *const *
bar (cs_cold_t *cold, int64_t now, const char *service, size_t *n)
{
	*n = 0;
	cold->barred = cs_grow (cold->barred, &cold->cap_barred, cold->n, sizeof *cold->barred);
	for (size_t i = 0; i < cold->n; i++) {
		const cs_cold_back_end_t *b = &cold->items[i];
		if (now < b->until_ms && !strcmp (b->service, service) &&
		    !cs_cold_share_may_send (&cold->share, now, b->id, b->bound))
			cold->barred[(*n)++] = b->id;
	}
	return cold->barred;
}

const char *const *
cs_cold_barred (cs_forward_t *f, const char *service, size_t *n)
{
	int64_t now = cs_now_ms ();
	refresh (f, now);
	return bar (&f->cold, now, service, n);
}

const char **
cs_cold_would_bar (const cs_forward_t *f, const char *service, size_t *n)
{
	int64_t now = cs_now_ms ();
	/* The share is only read. */
	cs_cold_t copy = {.share = f->cold.share, .list_read_ms = f->cold.list_read_ms};
	collect (f, &copy, now);
	bar (&copy, now, service, n);
	free (copy.items);
	return copy.barred;
}

int64_t
cs_cold_record_send (cs_forward_t *f, const char *id)
{
	cs_cold_t *cold = &f->cold;
	int64_t now = cs_now_ms ();
	refresh (f, now);
	for (size_t i = 0; i < cold->n; i++) {
		if (now >= cold->items[i].until_ms || strcmp (cold->items[i].id, id) != 0)
			continue;
		cs_cold_share_sent (&cold->share, now, id);
		cs_counter_add (&sends, 1);
		return now + CS_COLD_DELAY_MS;
	}
	return 0;
}
