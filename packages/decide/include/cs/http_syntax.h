/* Syntax of HTTP/1.1 messages by RFC 9110 and RFC 9112: the one judge of what is a head, for
 * callers' requests and back ends' answers alike.
 *
 * Expected load: heads of some 500 bytes, 12,000 a second over the fleet, and the worst that a
 * limit of 16 KB allows: thousands of header lines, cookies or parameters, in one piece or byte by
 * byte. Nothing is allocated, so that memory does not depend on the number of parts; targets and
 * cookies are not taken apart at all. */
#ifndef CS_HTTP_SYNTAX_H
#define CS_HTTP_SYNTAX_H

#include "cs/str.h"

typedef enum {
	CS_HTTP_SOUND,
	CS_HTTP_BAD_REQUEST_LINE,
	CS_HTTP_BAD_VERSION,
	CS_HTTP_BAD_HEADER_LINE,
	CS_HTTP_BAD_HOST,   /* more than one */
	CS_HTTP_BAD_LENGTH, /* a Content-Length that is no number, or two that differ */
	CS_HTTP_BAD_CODING  /* a Transfer-Encoding other than "chunked", or beside a length */
} cs_http_fault_t;

/* The head of a request; the views point into the bytes that it was parsed from. */
typedef struct {
	cs_str_t method;
	cs_str_t target; /* as sent */
	cs_str_t lines;  /* header lines with their ends, to be read with cs_http_next_line */
	size_t n_lines;
	bool is_http_1_0;
	bool is_chunked;
	bool has_length;
	uint64_t length;       /* of the body; UINT64_MAX if the number does not fit */
	bool closes;           /* the connection closes behind the answer */
	bool expects_continue; /* the body is sent after an interim answer */
} cs_http_head_t;

/* Returns the length of the head that bytes begin with, its empty line included; 0 if it is not
 * complete. The first `searched` bytes were found not to hold its end before. */
size_t cs_http_head_length (cs_str_t bytes, size_t searched);
/* Parses a complete head. On a fault the fields are not to be used. */
cs_http_fault_t cs_http_head_parse (cs_str_t bytes, cs_http_head_t *head);
/* The status of the answer to a request with this fault, and a name for logs and metrics. */
int cs_http_fault_status (cs_http_fault_t fault);
const char *cs_http_fault_name (cs_http_fault_t fault);

/* Takes the next header line of a parsed head. False behind the last one. */
bool cs_http_next_line (cs_str_t *lines, cs_str_t *name, cs_str_t *value);
/* Parses a header line or trailer without its end. False if it is none: folded lines, white space
 * or other characters in a name, control characters in a value. */
bool cs_http_header_line (cs_str_t line, cs_str_t *name, cs_str_t *value);
/* Returns the line without its end: LF, or CR LF. */
cs_str_t cs_http_line (cs_str_t raw);
/* Parses the status line of a response, without its end. False if it is none. */
bool cs_http_status_line (cs_str_t line, int *status);
/* Compares names of headers, without regard to case. */
bool cs_http_name_is (cs_str_t name, const char *expected);

/* What a status line means for the response that it begins. */
typedef enum {
	CS_HTTP_INTERIM, /* another head follows */
	CS_HTTP_FINAL,
	CS_HTTP_UNASKED /* no request asks for it: 101, or one interim response too many */
} cs_http_response_t;

enum {
	CS_HTTP_MAX_INTERIM = 8 /* interim responses to one request */
};

/* n_interim: interim responses before it. */
cs_http_response_t cs_http_judge_status (int status, unsigned n_interim);
/* Whether a final response may state this length of its body, or, with length 0, chunks. */
bool cs_http_may_state_body (int status, bool is_chunked, uint64_t length);

/* A body in chunks that is read piece by piece; zeroed at first. */
typedef struct {
	int state;
	uint64_t left;   /* bytes of the chunk that are still to come */
	unsigned digits; /* of its size */
	size_t overhead; /* bytes since the last one of the body */
} cs_http_chunks_t;

typedef enum {
	CS_HTTP_CHUNKS_MORE, /* all bytes were used */
	CS_HTTP_CHUNKS_DATA,
	CS_HTTP_CHUNKS_END, /* the body is complete, with its trailers */
	CS_HTTP_CHUNKS_BAD
} cs_http_chunks_result_t;

enum {
	CS_HTTP_CHUNKS_OVERHEAD_BYTES = 16 << 10 /* of extensions and trailers in one place */
};

/* Uses bytes at the start of *rest, and removes them from it. With CS_HTTP_CHUNKS_DATA, *data is
 * a piece of the body. */
cs_http_chunks_result_t cs_http_chunks_next (cs_http_chunks_t *c, cs_str_t *rest, cs_str_t *data);

#endif
