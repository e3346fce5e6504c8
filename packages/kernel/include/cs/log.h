/* Log lines through log4c: short sentences, each part with its fixed prefix. */
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
	CS_LOG_EVENTS_PER_S =
		200 /* most lines of cs_log_event a second; bounds the log under load */
};

/* Opens the log on the descriptor; lines carry the daemon's name. A line for which the
 * descriptor has no room is dropped and counted, never waited for. */
cs_status_t cs_log_init (const char *daemon, cs_log_level_t level, int fd);
void cs_log_finish (void);
/* Writes "part: sentence". */
void cs_log (const char *part, cs_log_level_t level, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));
/* Writes "part: event=EVENT KEY=VALUE ..." (logfmt) at info level, one line for each
 * decision; lines beyond the bound are dropped and counted in the next one. */
void cs_log_event (const char *part, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

#endif
