/* Offers of whole groups between zones: sending, receiving and expiry. */
#include "cs/offers.h"

#include <stdlib.h>
#include <string.h>

/* Time of the first of the consecutive heartbeats that have offered the group; now_ms if the last
 * heartbeat did not offer it. */
static int64_t
offered_since_ms (const cs_offers_t *o, uint64_t fence, int64_t now_ms)
{
	for (size_t i = 0; i < o->n_sent; i++)
		if (o->sent[i].fence == fence)
			return o->sent[i].since_ms;
	return now_ms;
}

static void
add_full_offer (const cs_group_t *g, const cs_group_verdict_t *v, cs_offers_batch_t *out)
{
	Cs__OfferedGroup *item = &out->items[out->n_full];
	cs__offered_group__init (item);
	item->group = g->group;
	item->model_group = g->model_group;
	item->version = g->version;
	item->fence = g->fence;
	item->url = g->members[0]->url;
	item->age_ms = (uint32_t)v->age_ms;
	out->list[out->n_full++] = item;
}

static void
add_renewal (const cs_group_t *g, const cs_group_verdict_t *v, cs_offers_batch_t *out)
{
	int64_t units = (v->age_ms + CS_OFFER_AGE_UNIT_MS - 1) / CS_OFFER_AGE_UNIT_MS;
	out->fences[out->n_renewed] = g->fence;
	out->ages[out->n_renewed++] = (uint8_t)units;
}

void
cs_offers_prepare (cs_offers_t *o, const cs_groups_t *groups, const cs_evidence_t *e,
		   int64_t now_ms, cs_offers_batch_t *out)
{
	cs_offered_t sent[CS_OFFERS_MAX];
	size_t n = 0;
	out->n_full = 0;
	out->n_renewed = 0;
	o->round++;
	for (const cs_group_t *g = NULL; (g = cs_groups_next (groups, g)) && n < CS_OFFERS_MAX;) {
		cs_group_verdict_t v = cs_evidence_judge (e, g, now_ms);
		if (!v.whole || v.age_ms > CS_OFFER_MAX_AGE_MS)
			continue;
		sent[n] = (cs_offered_t){g->fence, offered_since_ms (o, g->fence, now_ms)};
		if (now_ms - sent[n++].since_ms < CS_OFFER_INITIAL_MS ||
		    (g->fence + o->round) % CS_OFFER_FULL_INTERVAL == 0)
			add_full_offer (g, &v, out);
		else
			add_renewal (g, &v, out);
	}
	memcpy (o->sent, sent, n * sizeof *sent);
	o->n_sent = n;
}

void
cs_offers_attach (cs_offers_batch_t *batch, Cs__Heartbeat *h)
{
	h->offers = batch ? batch->list : NULL;
	h->n_offers = batch ? batch->n_full : 0;
	h->renewed = batch ? batch->fences : NULL;
	h->n_renewed = batch ? batch->n_renewed : 0;
	h->renewed_ages.data = batch ? batch->ages : NULL;
	h->renewed_ages.len = batch ? batch->n_renewed : 0;
}

static void
delete_offer (cs_offer_t **table, cs_offer_t *offer)
{
	HASH_DEL (*table, offer);
	free (offer->group);
	free (offer->model_group);
	free (offer->version);
	free (offer->zone);
	free (offer->url);
	free (offer);
}

static cs_offer_t *
find_by_group (cs_offer_t *table, const char *group)
{
	cs_offer_t *offer = NULL;
	HASH_FIND_STR (table, group, offer);
	return offer;
}

static void
insert_offer (cs_offer_t **table, cs_offer_t *offer)
{
	HASH_ADD_KEYPTR (hh, *table, offer->group, strlen (offer->group), offer);
}

static void
receive_full_offer (cs_offers_t *o, const Cs__OfferedGroup *from, const char *zone, int64_t at_ms)
{
	cs_offer_t *offer = find_by_group (o->fresh, from->group);
	if (offer && (offer->fence > from->fence ||
		      (offer->fence == from->fence && offer->evidence_at_ms >= at_ms)))
		return;
	if (offer && offer->fence == from->fence) {
		offer->evidence_at_ms = at_ms;
		return;
	}
	if (offer)
		delete_offer (&o->fresh, offer);
	offer = cs_alloc (sizeof *offer);
	offer->group = cs_str_dup (cs_str (from->group));
	offer->model_group = cs_str_dup (cs_str (from->model_group));
	offer->version = cs_str_dup (cs_str (from->version));
	offer->zone = cs_str_dup (cs_str (zone));
	offer->url = cs_str_dup (cs_str (from->url));
	offer->fence = from->fence;
	offer->evidence_at_ms = at_ms;
	insert_offer (&o->fresh, offer);
}

/* A fencing number identifies an offer only together with the zone, because it is an offset of that
 * zone's stream. */
static cs_offer_t *
find_by_fence (cs_offer_t *table, const char *zone, uint64_t fence)
{
	for (cs_offer_t *offer = table; offer; offer = offer->hh.next)
		if (offer->fence == fence && !strcmp (offer->zone, zone))
			return offer;
	return NULL;
}

static void
receive_renewal (cs_offers_t *o, const char *zone, uint64_t fence, int64_t at_ms)
{
	cs_offer_t *offer = find_by_fence (o->fresh, zone, fence);
	if (!offer && (offer = find_by_fence (o->expired, zone, fence))) {
		const cs_offer_t *newer = find_by_group (o->fresh, offer->group);
		if (newer)
			return;
		HASH_DEL (o->expired, offer);
		insert_offer (&o->fresh, offer);
	}
	if (offer && at_ms > offer->evidence_at_ms)
		offer->evidence_at_ms = at_ms;
}

void
cs_offers_receive (cs_offers_t *o, const char *zone, const Cs__Heartbeat *h, int64_t sent_ms)
{
	for (size_t i = 0; i < h->n_offers; i++)
		receive_full_offer (o, h->offers[i], zone, sent_ms - h->offers[i]->age_ms);
	for (size_t i = 0; i < h->n_renewed && i < h->renewed_ages.len; i++)
		receive_renewal (o, zone, h->renewed[i],
				 sent_ms - (int64_t)h->renewed_ages.data[i] * CS_OFFER_AGE_UNIT_MS);
}

bool
cs_offer_fresh (const cs_offer_t *offer, int64_t now_ms)
{
	return now_ms - offer->evidence_at_ms <= CS_EVIDENCE_MAX_AGE_MS;
}

static void
expire_offer (cs_offers_t *o, cs_offer_t *offer)
{
	cs_offer_t *old = find_by_group (o->expired, offer->group);
	if (old)
		delete_offer (&o->expired, old);
	HASH_DEL (o->fresh, offer);
	insert_offer (&o->expired, offer);
}

void
cs_offers_expire (cs_offers_t *o, int64_t now_ms)
{
	cs_offer_t *offer = NULL;
	cs_offer_t *next = NULL;
	HASH_ITER (hh, o->expired, offer, next) {
		if (now_ms - offer->evidence_at_ms > CS_OFFER_RETENTION_MS)
			delete_offer (&o->expired, offer);
	}
	HASH_ITER (hh, o->fresh, offer, next) {
		if (!cs_offer_fresh (offer, now_ms))
			expire_offer (o, offer);
	}
}

const cs_offer_t *
cs_offers_find (const cs_offers_t *o, const char *group)
{
	return find_by_group (o->fresh, group);
}

void
cs_offers_finish (cs_offers_t *o)
{
	while (o->fresh)
		delete_offer (&o->fresh, o->fresh);
	while (o->expired)
		delete_offer (&o->expired, o->expired);
}
