/* An in-memory log with injected faults, for tests of code that reads and appends to the log. */
#ifndef SUPPORT_LOG_H
#define SUPPORT_LOG_H

#include "cs/applier.h"
#include "cs/writer.h"

enum {
	SUPPORT_STREAMS = 4
};

typedef struct {
	char *name;
	cs_buf_t *records; /* by offset, from 1 */
	size_t n, cap;
	uint64_t begin; /* oldest offset retained */
} support_stream_t;

typedef struct {
	support_stream_t streams[SUPPORT_STREAMS];
	size_t n;
	bool down;                  /* appends and reads fail */
	unsigned lost_replies;      /* number of next appends that succeed but return CS_UNKNOWN */
	unsigned rejected_appends;  /* number of next appends that fail with CS_EXHAUSTED */
	cs_buf_t delayed_record;    /* copy of a record that a test can append again later */
	bool copies_delayed_record; /* store the next lost append's first record in late */
} support_log_t;

void support_log_init (support_log_t *log);
void support_log_finish (support_log_t *log);
/* The stream, added if there is none of that name. */
support_stream_t *support_log_stream (support_log_t *log, const char *name);
/* Appends n records; CS_UNAVAILABLE if down, CS_EXHAUSTED or CS_UNKNOWN by reject and lose. */
cs_status_t support_log_append (support_log_t *log, const char *name, const cs_str_t *records,
				size_t n);
/* Packs and appends one record, without faults, and returns its offset. */
uint64_t support_log_put_record (support_log_t *log, const char *name, const Cs__Record *record);
/* Makes the records below begin expire. */
void support_log_expire (support_log_t *log, const char *name, uint64_t begin);
/* Passes all records up to the end to the applier and repositions the reader when a call requires
 * it; false if the log is down. */
bool support_log_apply_records (support_log_t *log, cs_applier_t *applier, int64_t now_ms);
/* Makes the writer's next append; false if it has none now. */
bool support_log_append_next (support_log_t *log, cs_writer_t *writer, int64_t now_ms);

#endif
