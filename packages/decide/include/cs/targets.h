/* The router's targets, as they follow from the list of back ends and the configuration: back ends
 * of services without models, and the heads of groups. A target is what its entry says now, not
 * what it said when it was first listed: back ends join groups of any model while they are listed,
 * and addresses and services change with a new start under the same id. */
#ifndef CS_TARGETS_H
#define CS_TARGETS_H

#include "cs/evacuation.h"
#include "cs/fleet.h"
#include "cs/router.h"
#include "cs/serving.h"

/* Sets out to the router's name for a service and model: "SERVICE/MODEL". */
void cs_targets_service_name (cs_buf_t *out, const char *service, cs_str_t model);
/* True if the back end is in an evacuated zone, or the head of a group with a member in one. */
bool cs_targets_is_evacuated (const cs_fleet_t *fleet, const cs_evacuation_t *evacuation,
			      const cs_backend_t *b);
/* Adds, changes and removes targets. Returns when the first back end that has turned this daemon
 * away takes requests again, so that the targets change then; 0: there is none. */
int64_t cs_targets_update (cs_router_t *r, int64_t now_ms, cs_fleet_t *fleet,
			   const cs_serving_t *serving, const cs_evacuation_t *evacuation);

#endif
