/* What overload control did with the requests of services with large groups: counters by priority,
 * and a line a second while a limit is in force or requests are refused. */
#include "cs/counters.h"
#include "cs/log.h"
#include "forward.h"

enum {
	LOG_INTERVAL_MS = 1000
};

static const char help[] =
	"Requests of services with large groups that were sent, had to wait, or were refused, and "
	"of these, those that could not be in time any more (overdue), by priority.";

#define CS_PRIORITY(event, p)                                                                \
	{                                                                                    \
		.name = "cs_forward_overload_total{event=\"" event "\",priority=\"" p "\"}", \
		.help = help                                                                 \
	}
#define CS_PRIORITIES(event)                                                                  \
	{                                                                                     \
		CS_PRIORITY (event, "0"), CS_PRIORITY (event, "1"), CS_PRIORITY (event, "2"), \
			CS_PRIORITY (event, "3"), CS_PRIORITY (event, "4"),                   \
			CS_PRIORITY (event, "5"), CS_PRIORITY (event, "6"),                   \
			CS_PRIORITY (event, "7")                                              \
	}

static cs_counter_t counters[CS_OVERLOAD_EVENTS][CS_FAIR_PRIORITIES] = {
	[CS_OVERLOAD_SENT] = CS_PRIORITIES ("sent"),
	[CS_OVERLOAD_WAITED] = CS_PRIORITIES ("waited"),
	[CS_OVERLOAD_REFUSED] = CS_PRIORITIES ("refused"),
	[CS_OVERLOAD_OVERDUE_SENT] = CS_PRIORITIES ("overdue_sent"),
	[CS_OVERLOAD_OVERDUE_REFUSED] = CS_PRIORITIES ("overdue_refused"),
};

void
cs_overload_counts_add (cs_overload_counts_t *counts, cs_overload_event_t event, uint32_t priority,
			bool is_overdue)
{
	counts->n[event]++;
	if (event != CS_OVERLOAD_ARRIVED)
		cs_counter_add (&counters[event][priority], 1);
	if (is_overdue && event == CS_OVERLOAD_SENT)
		cs_overload_counts_add (counts, CS_OVERLOAD_OVERDUE_SENT, priority, false);
	if (is_overdue && event == CS_OVERLOAD_REFUSED)
		cs_overload_counts_add (counts, CS_OVERLOAD_OVERDUE_REFUSED, priority, false);
}

/* Teams that asked lately. */
static uint32_t
count_teams (const cs_fair_queue_t *q, int64_t now_ms)
{
	uint32_t n = 0;
	for (uint32_t i = 0; i < q->n_teams; i++)
		n += now_ms - q->teams[i].arrived_ms < LOG_INTERVAL_MS;
	return n;
}

void
cs_overload_counts_log (cs_overload_counts_t *counts, int64_t now_ms, const char *service,
			const cs_overload_t *o, const cs_fair_queue_t *q)
{
	if (now_ms - counts->logged_ms < LOG_INTERVAL_MS)
		return;
	if (o->limit != 0 || counts->n[CS_OVERLOAD_REFUSED])
		cs_log_event ("forward", "overload",
			      "service=%s limit_per_s=%.2f part_per_s=%.2f arrived=%u sent=%u "
			      "waited=%u refused=%u overdue_sent=%u overdue_refused=%u "
			      "waiting=%u heads_wait_ms=%.0f busy=%.2f "
			      "run_ms=%.0f teams=%u informed=%d for_ms=%lld",
			      service, o->limit, o->shadow, counts->n[CS_OVERLOAD_ARRIVED],
			      counts->n[CS_OVERLOAD_SENT], counts->n[CS_OVERLOAD_WAITED],
			      counts->n[CS_OVERLOAD_REFUSED], counts->n[CS_OVERLOAD_OVERDUE_SENT],
			      counts->n[CS_OVERLOAD_OVERDUE_REFUSED], cs_fair_queue_count (q),
			      cs_overload_wait_ms (o), cs_overload_busy (o), o->duration_ms,
			      count_teams (q, now_ms), cs_overload_is_informed (o, now_ms),
			      counts->logged_ms ? (long long)(now_ms - counts->logged_ms) : 0);
	*counts = (cs_overload_counts_t){.logged_ms = now_ms};
}
