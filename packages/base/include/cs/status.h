/* Status codes, and the message of the last failure in each thread. */
#ifndef CS_STATUS_H
#define CS_STATUS_H

typedef enum {
	CS_OK,
	CS_INVALID,     /* the input is invalid */
	CS_NOT_FOUND,   /* the named object does not exist */
	CS_CONFLICT,    /* a precondition does not hold */
	CS_EXHAUSTED,   /* a limit is reached */
	CS_UNAVAILABLE, /* a peer or the platform cannot be reached now */
	CS_UNKNOWN,     /* the operation may or may not have taken effect */
	CS_INTERNAL,    /* an internal error of this program */
} cs_status_t;

/* Name of a status in lower case, for logs and JSON. */
const char *cs_status_name (cs_status_t status);
/* Stores the message for cs_last_error_message, truncated to 511 bytes, and returns status, so that
 * callers can write return cs_fail (...). */
cs_status_t cs_fail (cs_status_t status, const char *format, ...)
	__attribute__ ((format (printf, 2, 3)));
/* Returns this thread's last message, "" if none; valid until its next cs_fail. */
const char *cs_last_error_message (void);

#endif
