/* Cache of the last report of each VM with its entity tag. An engine that sends entity tags
 * answers 304 while its report is unchanged. */
#ifndef CS_ENGINE_CACHED_REPORTS_H
#define CS_ENGINE_CACHED_REPORTS_H

#include <uthash.h>

#include "cs/etag.h"

typedef struct cs_cached_report {
	char *vm;
	char *url; /* source of the report; a report from another URL is not reused */
	cs_etag_t etag;
	cs_buf_t body;
	int64_t last_used_ms; /* cs_now_ms clock */
	bool in_use;          /* a poll uses the entry, so it must not expire */
	UT_hash_handle hh;
} cs_cached_report_t;

/* Returns the entry of the VM, or a new empty one if there is none for this URL. The table owns
 * the entry: it does not expire while in_use is set, but a call for the same VM with another URL
 * frees it. Adding an entry removes the expired ones. */
cs_cached_report_t *cs_cached_report_get (cs_cached_report_t **table, const char *vm, cs_str_t url,
					  int64_t now_ms);
/* Drops the report and its entity tag, so that the next poll fetches the whole report. For use
 * when a poll failed: an engine that starts again and does not keep to docs/INTERFACES.md may use
 * the tag for another report. */
void cs_cached_report_invalidate (cs_cached_report_t *r);
/* Frees all entries. */
void cs_cached_reports_finish (cs_cached_report_t **table);

#endif
