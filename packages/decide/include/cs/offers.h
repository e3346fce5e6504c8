/* Offers: groups of other zones that may take requests. Heartbeats between zones list up to
 * CS_OFFERS_MAX of the sender's whole groups (those whose members are all ready); a daemon whose
 * own zone cannot serve a model sends requests to these groups.
 *
 * A full offer carries all fields of a group. It is sent in each heartbeat for the first
 * CS_OFFER_INITIAL_MS and then in every CS_OFFER_FULL_INTERVAL-th one. The other heartbeats
 * carry a renewal: the fencing number and the age of the evidence, i.e. of the reports of the
 * group's members. Expired offers are kept for CS_OFFER_RETENTION_MS, so that a renewal makes them
 * usable again without waiting for the next full offer. */
#ifndef CS_OFFERS_H
#define CS_OFFERS_H

#include <uthash.h>

#include "cs/evidence.h"
#include "cs/peer.pb-c.h"

enum {
	CS_OFFERS_MAX = 32,            /* full offers and renewals per heartbeat */
	CS_OFFER_MAX_AGE_MS = 2000,    /* greatest age of the evidence when an offer is sent; below
					  CS_EVIDENCE_MAX_AGE_MS to leave time for the transfer */
	CS_OFFER_INITIAL_MS = 3000,    /* a new group is sent in full for this long */
	CS_OFFER_FULL_INTERVAL = 16,   /* heartbeats between two full offers */
	CS_OFFER_RETENTION_MS = 60000, /* an expired offer can be renewed for this long */
	CS_OFFER_AGE_UNIT_MS = 16      /* unit of the ages in renewals, one byte each */
};

/* A group of another zone, as offered by one of its daemons. */
typedef struct {
	char *group;
	char *model_group;
	char *version;
	char *zone;
	char *url; /* of the group's first member, the head */
	uint64_t fence;
	int64_t evidence_at_ms; /* time of the evidence, on this daemon's clock */
	UT_hash_handle hh;
} cs_offer_t;

/* A group that the last heartbeat offered. since_ms: time of the first of the consecutive
 * heartbeats that have offered the group under this fencing number. */
typedef struct {
	uint64_t fence;
	int64_t since_ms;
} cs_offered_t;

typedef struct {
	cs_offer_t *fresh;                /* offers received, by group */
	cs_offer_t *expired;              /* offers received and expired since, by group */
	cs_offered_t sent[CS_OFFERS_MAX]; /* by this daemon's last heartbeat */
	size_t n_sent;
	uint64_t round; /* number of heartbeats prepared */
} cs_offers_t;

/* The offers of one heartbeat; the strings are borrowed from the sender's cs_groups_t. */
typedef struct {
	Cs__OfferedGroup items[CS_OFFERS_MAX]; /* full offers */
	Cs__OfferedGroup *list[CS_OFFERS_MAX]; /* pointers to items */
	uint64_t fences[CS_OFFERS_MAX];        /* of the renewals */
	uint8_t ages[CS_OFFERS_MAX];           /* of the renewals, in CS_OFFER_AGE_UNIT_MS */
	size_t n_full;                         /* number of full offers */
	size_t n_renewed;                      /* number of renewals */
} cs_offers_batch_t;

/* Prepares the offers of the next heartbeat; to be called once for each heartbeat. */
void cs_offers_prepare (cs_offers_t *o, const cs_groups_t *groups, const cs_evidence_t *e,
			int64_t now_ms, cs_offers_batch_t *out);
/* Sets the offer fields of heartbeat h to point into the batch, which must outlive h. With batch
 * NULL, h carries no offers. */
void cs_offers_attach (cs_offers_batch_t *batch, Cs__Heartbeat *h);
/* Stores the offers and renewals of a heartbeat received from `zone`. sent_ms: a time on
 * this daemon's clock at or before the sending of the heartbeat. */
void cs_offers_receive (cs_offers_t *o, const char *zone, const Cs__Heartbeat *h, int64_t sent_ms);
/* Expires the offers whose evidence is older than CS_EVIDENCE_MAX_AGE_MS, and frees the expired
 * ones whose evidence is older than CS_OFFER_RETENTION_MS. */
void cs_offers_expire (cs_offers_t *o, int64_t now_ms);
/* Returns the group's offer; NULL if there is none or cs_offers_expire has expired it. Owned by o,
 * valid until the next cs_offers_receive or cs_offers_expire. */
const cs_offer_t *cs_offers_find (const cs_offers_t *o, const char *group);
/* Whether the offer's evidence is at most CS_EVIDENCE_MAX_AGE_MS old. */
bool cs_offer_fresh (const cs_offer_t *offer, int64_t now_ms);
/* Frees all received offers. */
void cs_offers_finish (cs_offers_t *o);

#endif
