/* Internal types and functions of the plug-in "platform". */
#ifndef CS_PLATFORM_INTERNAL_H
#define CS_PLATFORM_INTERNAL_H

#include "cs/etag.h"
#include "cs/http.h"
#include "cs/messages.h"
#include "cs/settings.h"

typedef struct platform platform_t;

/* Long-polling reader of one log stream. */
typedef struct reader {
	platform_t *platform;
	cs_http_call_t call;
	ev_timer retry_timer;
	char *stream;
	uint64_t next_offset;  /* offset of the next record to read */
	unsigned max_records;  /* most records to request in one read */
	uint64_t begin_offset; /* X-Begin-Offset of the current answer; 0: not received */
	uint64_t end_offset;   /* X-End-Offset of the current answer; 0: not received */
	int64_t sent_ms;       /* cs_now_ms () when the current read was started */
	cs_buf_t url;
	cs_buf_t body;
	bool busy;                /* a read is in flight */
	bool open_new_connection; /* the last read failed: use no idle pooled connection */
	bool stopped;             /* no reads until the next FOLLOW with a nonzero offset */
	uint32_t failures;        /* consecutive failed reads; sets the retry delay */
	struct reader *next;
} reader_t;

/* Writer of one log stream with a queue of APPEND messages; one message is in flight at a time. */
typedef struct appender {
	platform_t *platform;
	cs_http_call_t call;
	char *stream;
	cs_append_msg_t **queue; /* one reference each; the first is in flight while busy */
	size_t n, cap;           /* queued messages, allocated entries */
	cs_buf_t url;
	cs_buf_t body;
	cs_buf_t answer;
	bool busy;
	bool open_new_connection; /* the last append got no complete answer */
	struct appender *next;
} appender_t;

/* Poller of the platform's VM list. */
typedef struct {
	platform_t *platform;
	cs_http_call_t call;
	ev_timer timer;
	cs_buf_t body;
	cs_etag_t etag;
	const char *headers[2];
	int64_t sent_ms; /* cs_now_ms () when the current poll was started */
	bool busy;
	bool open_new_connection; /* the last poll got no complete answer */
} vm_list_t;

struct platform {
	cs_task_t *task;
	const cs_settings_t *settings;
	cs_http_t http;
	reader_t *readers;
	appender_t *appenders;
	vm_list_t vm_list;
	bool finishing;
};

/* Starts a reader of the stream at the offset, or moves the existing reader there. Offset 0 stops
 * the reader. The stream name is copied. */
void platform_follow (platform_t *p, const char *stream, uint64_t offset);
void platform_readers_finish (platform_t *p);
/* Queues the message for its stream and holds a reference to it until the append ends. The
 * sender of the message receives APPENDED with the result. */
void platform_append (platform_t *p, cs_append_msg_t *msg);
void platform_appenders_finish (platform_t *p);
void platform_vm_list_start (platform_t *p);
void platform_vm_list_finish (platform_t *p);

#endif
