#include "support_limits.h"

#include <string.h>

static void
set_members (fleet_t *f, size_t n)
{
	uint64_t members[DAEMONS];
	for (size_t i = 0; i < n; i++)
		members[i] = i + 1;
	for (size_t i = 0; i < n; i++)
		cs_limits_set_members (&f->limits[i], f->now_ms, members, n);
}

void
fleet_start (fleet_t *f, const Cs__Limits *limits, uint32_t disabled, uint64_t seed)
{
	memset (f, 0, sizeof *f);
	f->now_ms = 100000;
	f->loss_percent = HEARTBEAT_LOSS_PERCENT;
	f->limit = *limits;
	f->disabled = disabled;
	cs_rng_init (&f->rng, seed);
	for (int i = 0; i < DAEMONS; i++)
		cs_limits_init (&f->limits[i],
				&(cs_limits_options_t){.incarnation = (uint64_t)i + 1,
						       .disabled = f->disabled});
	set_members (f, DAEMONS);
	for (int i = 0; i < DAEMONS; i++)
		cs_limits_set (&f->limits[i], f->now_ms, "dala", limits);
}

void
fleet_finish (fleet_t *f)
{
	for (int i = 0; i < DAEMONS; i++)
		cs_limits_finish (&f->limits[i]);
}

static void
replace_last (fleet_t *f)
{
	cs_limits_t *l = &f->limits[DAEMONS - 1];
	cs_limits_finish (l);
	cs_limits_init (l, &(cs_limits_options_t){.incarnation = DAEMONS, .disabled = f->disabled});
	set_members (f, DAEMONS);
	cs_limits_set (l, f->now_ms, "dala", &f->limit);
}

bool
fleet_is_running (fault_t fault, int second, int i)
{
	bool down = i == DAEMONS - 1 && second >= FAULT_BEGIN_S;
	return !down || fault < DAEMON_STOPPED ||
	       (fault != DAEMON_STOPPED && second >= FAULT_BEGIN_S + PAUSE_S);
}

static bool
is_delivered (fault_t fault, int second, int i, int j)
{
	int a = i / PER_ZONE;
	int b = j / PER_ZONE;
	if (!fleet_is_running (fault, second - 1, i) || !fleet_is_running (fault, second - 1, j))
		return false;
	if (second < FAULT_BEGIN_S || fault == FAULT_NONE || fault >= DAEMON_STOPPED)
		return true;
	if (fault == PARTITION_DAEMON)
		return i != DAEMONS - 1 && j != DAEMONS - 1;
	if (fault == PARTITION_FLAPPING && second / 10 % 2)
		return true;
	return a == b || (fault == PARTITION_PAIR && (a == 0 || b == 0)) ||
	       (fault == PARTITION_ONE_WAY && a == 0);
}

void
fleet_exchange_heartbeats (fleet_t *f, fault_t fault, int second)
{
	for (int i = 0; i < DAEMONS; i++) {
		for (int j = 0; j < DAEMONS; j++) {
			cs_team_report_t report;
			if (i == j || !is_delivered (fault, second, i, j) ||
			    cs_rng_below (&f->rng, 100) < f->loss_percent)
				continue;
			bool any = cs_limits_make_report (&f->limits[i], f->now_ms, (uint64_t)j + 1,
							  "dala", &report);
			/* at_ms is the receipt of the heartbeat that this one acknowledges */
			cs_limits_record_heartbeat (&f->limits[j], f->received_ms[j][i],
						    (uint64_t)i + 1);
			if (any)
				cs_limits_record_report (&f->limits[j], f->now_ms,
							 f->received_ms[j][i], (uint64_t)i + 1,
							 "dala", &report);
			f->received_ms[i][j] = f->now_ms;
		}
	}
	if (fault == DAEMON_STOPPED && second == FAULT_BEGIN_S + EXCLUDE_AFTER_S)
		set_members (f, DAEMONS - 1);
	if (fault == DAEMON_REPLACED && second == FAULT_BEGIN_S)
		set_members (f, DAEMONS - 1);
	if (fault == DAEMON_REPLACED && second == FAULT_BEGIN_S + PAUSE_S)
		replace_last (f);
	for (int i = 0; i < DAEMONS; i++)
		if (fleet_is_running (fault, second, i))
			cs_limits_tick (&f->limits[i], f->now_ms);
}
