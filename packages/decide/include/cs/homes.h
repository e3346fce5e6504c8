/* Whether back ends of a region may get a request.
 *
 * Load: routes and teams whose requests may reach back ends of some regions only, in every retry
 * and resumption, while these regions' zones are lost or evacuated. */
#ifndef CS_HOMES_H
#define CS_HOMES_H

#include "cs/serving.h"

/* True if the route or the team has homes. The team may be NULL. */
bool cs_homes_bind (const cs_serving_route_t *route, const cs_team_t *team);
/* True if the region is a home of both, as far as they have homes. A region that is not known, "",
 * is nobody's home. */
bool cs_homes_allow (const cs_serving_route_t *route, const cs_team_t *team, const char *region);

#endif
