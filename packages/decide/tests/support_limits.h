/* Simulation of daemons that share a team's limits, with faults between them. */
#ifndef SUPPORT_LIMITS_H
#define SUPPORT_LIMITS_H

#include "cs/limits.h"
#include "cs/rng.h"

enum {
	ZONES = 3,
	PER_ZONE = 4,
	DAEMONS = ZONES * PER_ZONE,
	FAULT_BEGIN_S = 80,
	REQUESTS_PER_MINUTE = 1200,
	TOKENS_PER_REQUEST = 100,
	HEARTBEAT_LOSS_PERCENT = 20,
	MINUTE_S = 60,
	PAUSE_S = 30,
	EXCLUDE_AFTER_S = 12 /* time without heartbeats after which a daemon is excluded */
};

typedef enum {
	FAULT_NONE,
	PARTITION_ZONES,    /* zones cannot reach each other */
	PARTITION_PAIR,     /* zones b and c cannot reach each other, zone a reaches both */
	PARTITION_ONE_WAY,  /* zone a receives nothing from b and c, which receive from a */
	PARTITION_DAEMON,   /* the last daemon is partitioned from all others */
	PARTITION_FLAPPING, /* as PARTITION_ZONES, every other ten seconds */
	DAEMON_STOPPED,     /* the last daemon stops, and is excluded after EXCLUDE_AFTER_S */
	DAEMON_PAUSED,      /* the last daemon; it resumes before it receives any heartbeat */
	DAEMON_REPLACED     /* the last daemon leaves and one without its state joins */
} fault_t;

typedef struct {
	cs_limits_t limits[DAEMONS];
	uint32_t disabled; /* cs_limits_disabled_t */
	int64_t now_ms;
	Cs__Limits limit;
	cs_rng_t rng;
	uint32_t loss_percent;                 /* share of heartbeats that are lost */
	int64_t received_ms[DAEMONS][DAEMONS]; /* when j received the last heartbeat of i */
} fleet_t;

void fleet_start (fleet_t *f, const Cs__Limits *limits, uint32_t disabled, uint64_t seed);
void fleet_finish (fleet_t *f);
/* Whether daemon i is running in the given second. */
bool fleet_is_running (fault_t fault, int second, int i);
/* Exchanges the heartbeats of one second, applies membership changes and ticks all daemons. */
void fleet_exchange_heartbeats (fleet_t *f, fault_t fault, int second);

#endif
