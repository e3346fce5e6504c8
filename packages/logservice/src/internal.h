/* Shared by the files of the platform plug-in. */
#ifndef CS_PLATFORM_INTERNAL_H
#define CS_PLATFORM_INTERNAL_H

#include "cs/etag.h"
#include "cs/http.h"
#include "cs/messages.h"
#include "cs/settings.h"

typedef struct platform platform_t;

/* Reads one stream of the log by long polls. */
typedef struct reader {
	platform_t *platform;
	cs_http_call_t call;
	ev_timer retry;
	char *stream;
	uint64_t offset; /* next to read */
	unsigned count;  /* records to ask for */
	uint64_t begin;
	uint64_t end;
	int64_t asked_ms;
	cs_buf_t url;
	cs_buf_t body;
	bool busy;
	bool fresh;   /* the last connection went silent */
	bool stopped; /* until the stream is followed again */
	uint32_t failures;
	struct reader *next;
} reader_t;

/* Appends to one stream, one message at a time. */
typedef struct appender {
	platform_t *platform;
	cs_http_call_t call;
	char *stream;
	cs_append_msg_t **queue; /* the first is in flight while busy */
	size_t n, cap;
	cs_buf_t url;
	cs_buf_t body;
	cs_buf_t answer;
	bool busy;
	bool fresh;
	struct appender *next;
} appender_t;

/* Polls the platform's VM list. */
typedef struct {
	platform_t *platform;
	cs_http_call_t call;
	ev_timer timer;
	cs_buf_t body;
	cs_etag_t etag;
	const char *headers[2];
	int64_t asked_ms;
	bool busy;
	bool fresh;
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

/* Starts a reader of the stream or moves it to the offset; 0: stops it. */
void platform_follow (platform_t *p, const char *stream, uint64_t offset);
void platform_readers_finish (platform_t *p);
/* Takes a reference to the message. */
void platform_append (platform_t *p, cs_append_msg_t *msg);
void platform_appenders_finish (platform_t *p);
void platform_vm_list_start (platform_t *p);
void platform_vm_list_finish (platform_t *p);

#endif
