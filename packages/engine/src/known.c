#include "known.h"

#include <stdlib.h>
#include <string.h>

enum {
	KNOWN_MS = 60000 /* entries of VMs that were not polled for so long are dropped */
};

static void
drop (cs_known_t **table, cs_known_t *k)
{
	HASH_DEL (*table, k);
	cs_etag_finish (&k->etag);
	cs_buf_finish (&k->body);
	free (k->vm);
	free (k->url);
	free (k);
}

static void
drop_old (cs_known_t **table, int64_t now_ms)
{
	cs_known_t *k = NULL;
	cs_known_t *next = NULL;
	HASH_ITER (hh, *table, k, next) {
		if (!k->busy && now_ms - k->used_ms > KNOWN_MS)
			drop (table, k);
	}
}

cs_known_t *
cs_known_take (cs_known_t **table, const char *vm, cs_str_t url, int64_t now_ms)
{
	cs_known_t *k = NULL;
	HASH_FIND_STR (*table, vm, k);
	if (k && !cs_str_eq (cs_str (k->url), url)) {
		drop (table, k);
		k = NULL;
	}
	if (!k) {
		drop_old (table, now_ms);
		k = cs_alloc (sizeof *k);
		k->vm = cs_str_dup (cs_str (vm));
		k->url = cs_str_dup (url);
		HASH_ADD_KEYPTR (hh, *table, k->vm, strlen (k->vm), k);
	}
	k->used_ms = now_ms;
	return k;
}

void
cs_known_forget (cs_known_t *k)
{
	cs_etag_begin (&k->etag);
	cs_etag_keep (&k->etag);
	cs_buf_clear (&k->body);
}

void
cs_known_finish (cs_known_t **table)
{
	cs_known_t *k = NULL;
	cs_known_t *next = NULL;
	HASH_ITER (hh, *table, k, next) {
		drop (table, k);
	}
}
