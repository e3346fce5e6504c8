/* Log lines, written through log4c. Each message is prefixed with the part of the program
 * that wrote it. */
#ifndef CS_LOG_H
#define CS_LOG_H

#include "cs/status.h"

typedef enum {
	CS_LOG_ERROR,
	CS_LOG_WARN,
	CS_LOG_INFO,
	CS_LOG_DEBUG
} cs_log_level_t;

enum {
	CS_LOG_EVENTS_PER_S = 200 /* rate limit of cs_log_event, bounds the log volume under load */
};

/* Opens the log on descriptor fd, which should be non-blocking so that logging never waits.
 * A line that fd has no room for is dropped and counted in cs_log_lines_dropped_total. Lines
 * carry the daemon's name. Returns CS_INTERNAL if log4c cannot be initialized. */
cs_status_t cs_log_init (const char *daemon, cs_log_level_t level, int fd);
void cs_log_finish (void);
/* Writes "part: text"; does nothing before cs_log_init. */
void cs_log (const char *part, cs_log_level_t level, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));
/* Writes "part: event=EVENT KEY=VALUE ..." (logfmt) at info level, one line for each
 * decision. Lines above CS_LOG_EVENTS_PER_S are dropped; the next line written has their
 * number as dropped_before. */
void cs_log_event (const char *part, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

#endif
