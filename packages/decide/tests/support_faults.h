/* Injects faults at chosen steps of a configuration change in an in-memory cluster. */
#ifndef SUPPORT_FAULTS_H
#define SUPPORT_FAULTS_H

#include "support_cluster.h"

enum {
	SUPPORT_C1_MS = 12000,     /* proposal of change c1, whose steps trigger the faults */
	SUPPORT_LATEST_MS = 14000, /* latest injection if the step is not reached */
	SUPPORT_FAULT_MS = 45000,  /* duration of a fault, except of an outage of the log */
	SUPPORT_OUTAGE_MS = 15000  /* duration of an outage of the log */
};

typedef enum {
	NO_FAULT,
	PROPOSER_DIES,
	ZONE_CUT,
	ANSWERS_LOST,
	APPENDS_REFUSED,
	RACING_PROPOSAL,
	DAEMON_PAUSED,
	DAEMON_RESTARTED,
	LOG_DOWN,
	DAEMON_ISOLATED,
	LOG_CUT,
	RECORDS_EXPIRE, /* a snapshot is written, and the records before it expire */
	FAULT_COUNT
} support_fault_t;

typedef enum {
	BEFORE_PROPOSE,
	PROPOSED,
	STAGED_BY_ONE,
	STAGED_BY_ALL,
	ACKNOWLEDGED, /* a daemon other than the proposer knows that all have staged it */
	ACTIVATED,
	STEP_COUNT
} support_step_t;

typedef struct {
	support_fault_t fault;
	support_step_t step;
	int64_t at_ms; /* when the fault was injected; -1: not yet */
	bool ended;
} support_plan_t;

/* What the injected faults have affected. */
typedef struct {
	bool touched[SUPPORT_DAEMONS];
	bool log_failed;
	uint64_t race_version; /* version that both operators of a race have read */
	uint64_t raced_with;   /* version that the second operator expected in proposing c4 */
} support_faults_t;

/* Injects or ends the fault of the plan when it is due; to be called once per simulation step. */
void support_faults_run (support_faults_t *f, support_cluster_t *c, support_plan_t *p);

#endif
