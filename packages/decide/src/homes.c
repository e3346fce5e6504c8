#include "cs/homes.h"

bool
cs_homes_bind (const cs_serving_route_t *route, const cs_team_t *team)
{
	return route->n_homes || (team && team->n_homes);
}

static bool
includes (char *const *homes, size_t n, const char *region)
{
	return !n || (*region && cs_str_in_list ((const char *const *)homes, n, region));
}

bool
cs_homes_allow (const cs_serving_route_t *route, const cs_team_t *team, const char *region)
{
	return includes (route->homes, route->n_homes, region) &&
	       (!team || includes (team->homes, team->n_homes, region));
}
