/* Conditional requests by entity tag: the client sends If-None-Match, and a server answers 304
 * without a body if the resource has not changed. Without a stored tag, which is always so for
 * servers that send no ETag, requests are unconditional. */
#ifndef CS_ETAG_H
#define CS_ETAG_H

#include "cs/str.h"

enum {
	CS_ETAG_BYTES = 64 /* a longer tag is ignored */
};

typedef struct {
	cs_buf_t received;     /* ETag of the response being read; empty: none */
	cs_buf_t request_line; /* If-None-Match header; empty: no tag stored */
} cs_etag_t;

/* Clears the received tag. Call this before each request. */
void cs_etag_begin (cs_etag_t *t);
/* Call this for each response header; records the value of an ETag header. */
void cs_etag_header (cs_etag_t *t, cs_str_t name, cs_str_t value);
/* The caller has stored the response just read: its tag, if any, is used for later requests. */
void cs_etag_commit (cs_etag_t *t);
/* The If-None-Match header line for the next request, NULL if no tag is stored. Valid until the
 * next cs_etag_commit or cs_etag_finish. */
const char *cs_etag_request_header (const cs_etag_t *t);
void cs_etag_finish (cs_etag_t *t);

#endif
