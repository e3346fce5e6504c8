/* Reads the body of an OpenAI-compatible chat completion request. */
#ifndef CS_GATEWAY_CHAT_H
#define CS_GATEWAY_CHAT_H

#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_CHAT_PREFIX_BYTES = 1024 /* most that is kept of the first messages */
};

typedef struct {
	cs_buf_t model;
	cs_buf_t prefix; /* text of the first messages, for cache affinity */
	bool stream;
	uint32_t max_tokens; /* 0 when not given */
} cs_chat_t;

void cs_chat_init (cs_chat_t *c);
void cs_chat_finish (cs_chat_t *c);
/* Parses the body into an initialized c. Returns CS_INVALID, with the reason in
 * cs_last_error_message (), if the body is not a JSON object in UTF-8, a required field is
 * missing, or a field that is read here is not valid: an engine could not run it. */
cs_status_t cs_chat_parse (cs_chat_t *c, cs_str_t body);

#endif
