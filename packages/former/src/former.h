/* The task "former": while this daemon holds the turn it runs the planner of groups, sends
 * its orders to back ends and has its records appended to the ledger. */
#ifndef CS_FORMER_H
#define CS_FORMER_H

#include "cs/formation.h"
#include "cs/host.h"
#include "cs/host_messages.h"
#include "cs/http.h"

typedef struct {
	cs_task_t *task;
	cs_task_t *store;
	const cs_host_t *host;
	cs_http_t http;
	cs_fleet_t fleet;
	cs_serving_t *serving; /* NULL until the first one */
	cs_formation_t formation;
	ev_timer tick;
	int64_t eager_until_ms; /* see cs_formation_start */
	int64_t turn_until_ms;  /* 0: another daemon plans */
	bool ledger_read;       /* folded to its end since the turn began */
	bool appending;         /* a proposal is on its way: plan nothing upon it */
	uint64_t ledger_end;
	uint64_t proposed_end; /* of the ledger once the proposal is in it */
	const char *obstacle;  /* what kept it from planning at the last tick; NULL: nothing */
} cs_former_t;

extern cs_plugin_t cs_former_plugin;

/* Sends the order or probe of the action. */
void cs_former_send (cs_former_t *f, const cs_form_action_t *a);

#endif
