#include "cs/status.h"

#include <stdarg.h>
#include <stdio.h>

enum {
	MESSAGE_BYTES = 512
};

static _Thread_local char message[MESSAGE_BYTES];

const char *
cs_status_name (cs_status_t status)
{
	static const char *const names[] = {
		[CS_OK] = "ok",
		[CS_INVALID] = "invalid",
		[CS_NOT_FOUND] = "not-found",
		[CS_CONFLICT] = "conflict",
		[CS_EXHAUSTED] = "exhausted",
		[CS_UNAVAILABLE] = "unavailable",
		[CS_UNKNOWN] = "unknown",
		[CS_INTERNAL] = "internal",
	};
	return names[status];
}

cs_status_t
cs_fail (cs_status_t status, const char *format, ...)
{
	va_list ap;
	va_start (ap, format);
	vsnprintf (message, sizeof message, format, ap);
	va_end (ap);
	return status;
}

const char *
cs_last_error_message (void)
{
	return message;
}
