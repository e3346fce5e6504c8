/* State of one call in progress: its libcurl handle, timer and response so far. */
#ifndef CS_HTTP_TRANSFER_H
#define CS_HTTP_TRANSFER_H

#include <curl/curl.h>

#include "cs/http.h"

typedef struct cs_http_transfer {
	cs_http_call_t *call;
	CURL *easy;
	struct curl_slist *headers; /* one block with their texts */
	ev_timer timeout_timer;     /* idle and total timeout */
	ev_tstamp started;
	ev_tstamp last_byte;
	/* Of the final response. CURLINFO_CONTENT_TYPE may be that of an informational one. */
	cs_buf_t content_type;
	/* Content-Length, if there is one. */
	uint64_t length;
	bool has_length;
	bool is_chunked;
	/* Of the head being received. */
	bool is_in_head;
	bool is_interim;
	int head_status;
	unsigned n_interim; /* interim responses so far */
	size_t head_bytes;  /* of the header lines received so far */
	size_t n_head_lines;
	size_t held_head_bytes; /* share of cs_http_t's head_memory */
	int status;             /* of the final response, 0 until its head is complete */
	bool added;             /* the handle is in the multi handle */
	bool sent;              /* bytes of the request may have been sent */
	bool stale;             /* the request was not sent, as the reused connection is stale */
	curl_socket_t new_fd;   /* of the connection opened for the transfer */
	bool delimited;         /* the response headers determine where the body ends */
	bool cancelled;         /* to be ended once libcurl has returned */
	bool paused;            /* by cs_http_pause */
	bool data_withheld;     /* libcurl keeps body bytes until the transfer is resumed */
	size_t bytes_at_once;   /* of the body, since the transfer was last resumed */
	size_t index;           /* in cs_http_t's transfers */
} cs_http_transfer_t;

/* Counts and logs a response that is none; the line, which may be empty, is escaped. */
void cs_http_transfer_log_bad_head (const cs_http_transfer_t *t, const char *reason, cs_str_t line);
/* Notes that libcurl keeps bytes back; they are read in a later turn of the loop, when the call is
 * not paused. Called within libcurl's callbacks. */
void cs_http_transfer_withhold (cs_http_transfer_t *t);
/* Keeps track of the sockets that libcurl opens and closes for the transfer. */
void cs_http_connections_watch (cs_http_transfer_t *t);
/* Called when the request is about to be sent on the connection between these addresses. True if it
 * is a reused one that has received bytes since its last response, or was closed: libcurl would
 * read those bytes as the response to this request. True also if a call with the same tag was sent
 * on it, whose response, sent once more, would be read as that to this one. */
bool cs_http_connection_is_stale (const cs_http_transfer_t *t, const char *ip, int port,
				  const char *local_ip, int local_port);
/* Creates t->easy with all options of the call and returns it. NULL if
 * libcurl fails; the caller then still frees t->headers. */
CURL *cs_http_transfer_setup (cs_http_transfer_t *t);

#endif
