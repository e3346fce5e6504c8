#include "cached_reports.h"

#include <stdlib.h>
#include <string.h>

enum {
	RETENTION_MS = 60000 /* reports of VMs that have not been polled for longer are removed */
};

static void
remove_report (cs_cached_report_t **table, cs_cached_report_t *r)
{
	HASH_DEL (*table, r);
	cs_etag_finish (&r->etag);
	cs_buf_finish (&r->body);
	free (r->vm);
	free (r->url);
	free (r);
}

static void
remove_expired_reports (cs_cached_report_t **table, int64_t now_ms)
{
	cs_cached_report_t *r = NULL;
	cs_cached_report_t *next = NULL;
	HASH_ITER (hh, *table, r, next) {
		if (!r->in_use && now_ms - r->last_used_ms > RETENTION_MS)
			remove_report (table, r);
	}
}

cs_cached_report_t *
cs_cached_report_get (cs_cached_report_t **table, const char *vm, cs_str_t url, int64_t now_ms)
{
	cs_cached_report_t *r = NULL;
	HASH_FIND_STR (*table, vm, r);
	if (r && !cs_str_eq (cs_str (r->url), url)) {
		remove_report (table, r);
		r = NULL;
	}
	if (!r) {
		remove_expired_reports (table, now_ms);
		r = cs_alloc (sizeof *r);
		r->vm = cs_str_dup (cs_str (vm));
		r->url = cs_str_dup (url);
		HASH_ADD_KEYPTR (hh, *table, r->vm, strlen (r->vm), r);
	}
	r->last_used_ms = now_ms;
	return r;
}

void
cs_cached_report_invalidate (cs_cached_report_t *r)
{
	cs_etag_begin (&r->etag);
	cs_etag_commit (&r->etag);
	cs_buf_clear (&r->body);
}

void
cs_cached_reports_finish (cs_cached_report_t **table)
{
	cs_cached_report_t *r = NULL;
	cs_cached_report_t *next = NULL;
	HASH_ITER (hh, *table, r, next) {
		remove_report (table, r);
	}
}
