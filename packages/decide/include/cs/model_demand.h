/* What part of a service's back ends each of its models needs.
 *
 * Load: waves of 0.55 of the requests, out of phase by zone, every 13 s; groups that are lost every
 * few seconds; loads of weights of 16 s. One model is short of groups for minutes while another one
 * has idle ones. A share that followed the requests at once would chase waves with loads.
 *
 * Occupancy of the open heads' places and the delay of first events are smoothed over longer than a
 * wave and a load. A model lacks groups when either stays too high for CS_DEMAND_LACK_MS. Then the
 * model with the most spare places gives it one group, or as many small ones as make one, and
 * nothing moves again within CS_DEMAND_HOLD_MS. A model gives only what its own demand, with one
 * group in reserve in each zone, leaves; each zone rounds its part of the groups. In force for
 * services with large groups.
 *
 * The occupancy is kept by zone as well, as waves are out of phase by zone and bytes between zones
 * cost: of what several zones lack by their share, the zone with the busiest heads gets its group
 * first. Nothing moves between zones.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_MODEL_DEMAND_H
#define CS_MODEL_DEMAND_H

#include <uthash.h>

#include "cs/serving.h"

enum {
	CS_DEMAND_SMOOTH_MS = 20000, /* longer than a wave of 13 s and a load of 16 s */
	CS_DEMAND_LACK_MS = 20000,
	CS_DEMAND_HOLD_MS = 60000,    /* a load of 16 s, and its use */
	CS_DEMAND_STALE_MS = 5000,    /* a model that nothing is known of neither gives nor takes */
	CS_DEMAND_FULL_PERCENT = 85,  /* of the places; above, a model lacks groups */
	CS_DEMAND_SLOW_PERCENT = 200, /* of the usual delay, as well */
	CS_DEMAND_MIN_DELAY_MS = 300  /* below, no delay is too long */
};

typedef struct {
	char *name;                    /* SERVICE/MODEL, or SERVICE/MODEL/ZONE */
	double occupancy;              /* smoothed: requests that run or wait, for each place */
	double delay_ms;               /* smoothed */
	double usual_ms;               /* the lowest delay that lasted, rising slowly */
	double busy, slots, delays, n; /* sums of what was recorded since folded_ms */
	int64_t folded_ms;
	int64_t recorded_ms;
	int64_t lacking_ms; /* since when it lacks groups; 0: it doesn't */
	double moved;       /* back ends that it was given, or gave (negative) */
	UT_hash_handle hh;
} cs_demand_t;

typedef struct {
	cs_demand_t *models;
	cs_demand_t *zones;               /* of models: what the heads there run */
	int64_t moved_ms;                 /* when something moved last; 0: never */
	const cs_demand_t *taker, *giver; /* of that move */
	double n_moved;                   /* back ends */
} cs_model_demand_t;

/* What was seen of an open head. */
typedef struct {
	const char *service;
	const char *model;
	const char *zone;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t delay_ms;
} cs_head_load_t;

void cs_model_demand_init (cs_model_demand_t *d);
void cs_model_demand_finish (cs_model_demand_t *d);
/* A planner that takes over begins with the configured shares. */
void cs_model_demand_reset_shares (cs_model_demand_t *d);
/* Records it for the model, and for the model in the zone. */
void cs_model_demand_record (cs_model_demand_t *d, int64_t now_ms, const cs_head_load_t *head);
/* Smoothed requests that run or wait for each place of the model's heads in the zone, as last seen:
 * a lost group leaves no head to be seen. 0 if nothing was seen for long; d may be NULL. */
double cs_model_demand_busy_in (const cs_model_demand_t *d, int64_t now_ms, const char *service,
				const char *model, const char *zone);
/* Moves a group from one model to another if that is due; `grouped` back ends of so many zones are
 * to be placed in groups. Returns the model that gets it; NULL: none. */
const cs_serving_model_t *cs_model_demand_update (cs_model_demand_t *d, int64_t now_ms,
						  const cs_serving_service_t *service,
						  double grouped, uint32_t zones);
/* The model's share of these back ends; d may be NULL. */
double cs_model_demand_share (const cs_model_demand_t *d, const cs_serving_service_t *service,
			      const cs_serving_model_t *m, double grouped);
/* Groups that the demand and the reserve need; -1: unknown. */
double cs_model_demand_need (const cs_model_demand_t *d, int64_t now_ms,
			     const cs_serving_service_t *service, const cs_serving_model_t *m,
			     double grouped, uint32_t zones);

#endif
