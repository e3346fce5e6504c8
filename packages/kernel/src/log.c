#include "cs/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cs/counters.h"
#include "cs/kernel.h"

enum {
	LINE_BYTES = 1024
};

static const int priorities[] = {
	[CS_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
	[CS_LOG_WARN] = LOG4C_PRIORITY_WARN,
	[CS_LOG_INFO] = LOG4C_PRIORITY_INFO,
	[CS_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static log4c_category_t *category;
static int log_fd = STDERR_FILENO;

static struct {
	int64_t second; /* of cs_now_ms that the lines are counted for */
	uint32_t lines;
	uint32_t dropped; /* since the last line written */
} event_limiter;

static cs_counter_t dropped_total = {.name = "cs_log_lines_dropped_total",
				     .help = "Log lines beyond the bound or not taken."};

/* Formats a line: UTC time, level, daemon, message. */
static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
	static char line[LINE_BYTES + 128];
	struct tm tm;
	time_t s = e->evt_timestamp.tv_sec;
	(void)layout;
	gmtime_r (&s, &tm);
	snprintf (line, sizeof line, "%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ %-5s %s %s\n",
		  tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour, tm.tm_min, tm.tm_sec,
		  (long)e->evt_timestamp.tv_usec / 1000, log4c_priority_to_string (e->evt_priority),
		  e->evt_category, e->evt_msg);
	return line;
}

static const log4c_layout_type_t line_layout = {"cornelspindle", format_line};

/* Used because the stream appenders of log4c write their own name before each line. */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *e)
{
	size_t n = strlen (e->evt_rendered_msg);
	ssize_t written = write (log_fd, e->evt_rendered_msg, n);
	(void)appender;
	if (written != (ssize_t)n)
		cs_counter_add (&dropped_total, 1);
	return written < 0 ? -1 : (int)written;
}

static const log4c_appender_type_t line_appender = {.name = "lines", .append = append_line};

cs_status_t
cs_log_init (const char *daemon, cs_log_level_t level, int fd)
{
	log_fd = fd;
	log4c_layout_type_set (&line_layout);
	if (log4c_init ())
		return cs_fail (CS_INTERNAL, "log4c_init failed");
	category = log4c_category_get (daemon);
	log4c_appender_t *appender = log4c_appender_get (daemon);
	log4c_appender_set_type (appender, &line_appender);
	log4c_layout_t *layout = log4c_layout_get ("cornelspindle");
	log4c_layout_set_type (layout, &line_layout);
	log4c_appender_set_layout (appender, layout);
	log4c_category_set_appender (category, appender);
	log4c_category_set_additivity (category, 0);
	log4c_category_set_priority (category, priorities[level]);
	return CS_OK;
}

void
cs_log_finish (void)
{
	if (category)
		log4c_fini ();
	category = NULL;
}

void
cs_log (const char *part, cs_log_level_t level, const char *format, ...)
{
	char text[LINE_BYTES];
	va_list ap;
	if (!category || !log4c_category_is_priority_enabled (category, priorities[level]))
		return;
	va_start (ap, format);
	vsnprintf (text, sizeof text, format, ap);
	va_end (ap);
	log4c_category_log (category, priorities[level], "%s: %s", part, text);
}

/* Counts a line; returns whether it is within CS_LOG_EVENTS_PER_S for this second. */
static bool
admit_event (void)
{
	int64_t second = cs_now_ms () / 1000;
	if (second != event_limiter.second) {
		event_limiter.second = second;
		event_limiter.lines = 0;
	}
	if (event_limiter.lines++ < CS_LOG_EVENTS_PER_S)
		return true;
	event_limiter.dropped++;
	cs_counter_add (&dropped_total, 1);
	return false;
}

void
cs_log_event (const char *part, const char *event, const char *format, ...)
{
	char fields[LINE_BYTES];
	char dropped_field[40] = "";
	va_list ap;
	if (!category || !admit_event ())
		return;
	va_start (ap, format);
	vsnprintf (fields, sizeof fields, format, ap);
	va_end (ap);
	if (event_limiter.dropped)
		snprintf (dropped_field, sizeof dropped_field, " dropped_before=%u",
			  (unsigned)event_limiter.dropped);
	event_limiter.dropped = 0;
	log4c_category_log (category, LOG4C_PRIORITY_INFO, "%s: event=%s %s%s", part, event, fields,
			    dropped_field);
}
