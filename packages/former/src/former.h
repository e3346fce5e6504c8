/* The task "former". While this daemon holds the planner lease, the task runs the planner of
 * serving groups, sends its orders to back ends and proposes its records for the ledger. */
#ifndef CS_FORMER_H
#define CS_FORMER_H

#include "cs/evacuation.h"
#include "cs/formation.h"
#include "cs/host.h"
#include "cs/host_messages.h"
#include "cs/http.h"
#include "cs/load_board.h"

typedef struct {
	cs_task_t *task;
	cs_task_t *store;
	const cs_host_t *host;
	cs_http_t http;
	cs_fleet_t fleet;
	cs_evacuation_t evacuation;
	cs_load_board_t loads; /* of heads, as any daemon saw them */
	cs_model_demand_t demand;
	cs_serving_t *serving; /* NULL until the first configuration is received */
	cs_formation_t formation;
	ev_timer plan_timer;
	int64_t eager_until_ms;     /* see cs_formation_start */
	int64_t lease_until_ms;     /* end of the planner lease; 0: not held by this daemon */
	bool is_ledger_read;        /* applied to its end since the lease began */
	bool is_append_pending;     /* a proposal has no outcome yet: no plan may build on it */
	uint64_t ledger_end;        /* offset after the last record read */
	uint64_t ledger_era;        /* of the store when it was read */
	uint64_t proposed_end;      /* end of the ledger once it holds the proposal */
	const char *blocked_reason; /* why the last timer tick did not plan; NULL: it planned */
} cs_former_t;

extern cs_plugin_t cs_former_plugin;

/* Sends the order or probe of the action, or the question to all daemons. Orders and
 * probes without an address are not sent. */
void cs_former_send (cs_former_t *f, const cs_form_action_t *a);

#endif
