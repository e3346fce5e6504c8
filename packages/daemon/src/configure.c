/* Applies the current configuration to the limits, retries and router. */
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "cs/resources.h"

enum {
	MAX_DAEMONS = 1024
};

static void
set_limits_members (control_t *c, int64_t now)
{
	uint64_t list[MAX_DAEMONS];
	size_t n = 0;
	for (const cs_member_t *m = c->members.table; m && n < MAX_DAEMONS; m = m->hh.next)
		list[n++] = m->incarnation;
	cs_limits_set_members (&c->limits, now, list, n);
}

static void
set_team_limits (control_t *c, int64_t now, bool is_log_current)
{
	for (const cs_resource_t *r = NULL; (r = cs_config_next (&c->config, CS_KIND_TEAM, r));) {
		Cs__Limits limits = CS__LIMITS__INIT;
		const char *name = r->resource->name;
		if (cs_config_limits (&c->config, is_log_current, cs_str (name), &limits))
			cs_limits_set (&c->limits, now, name, &limits);
	}
}

Cs__Policy
configure_policy (const control_t *c)
{
	const cs_resource_t *r = cs_config_next (&c->config, CS_KIND_POLICY, NULL);
	Cs__Policy policy;
	cs_policy_init (&policy);
	return r && r->resource->policy ? *r->resource->policy : policy;
}

void
configure_applied (control_t *c, int64_t now)
{
	Cs__Policy policy = configure_policy (c);
	set_limits_members (c, now);
	set_team_limits (c, now, log_current (c, now));
	cs_retry_set_percent (&c->retry, policy.retry_percent);
	c->router.options.eject_percent = policy.eject_percent;
}

void
configure (control_t *c, int64_t now)
{
	configure_applied (c, now);
	cs_limits_tick (&c->limits, now);
	cs_router_update_ejections (&c->router, now);
}
