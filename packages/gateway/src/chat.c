#include "chat.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void
cs_chat_init (cs_chat_t *c)
{
	memset (c, 0, sizeof *c);
	cs_buf_init (&c->model);
	cs_buf_init (&c->prefix);
}

void
cs_chat_finish (cs_chat_t *c)
{
	cs_buf_finish (&c->model);
	cs_buf_finish (&c->prefix);
}

static void
add_prefix (cs_buf_t *prefix, cs_str_t text)
{
	size_t room = CS_CHAT_PREFIX_BYTES - prefix->n;
	cs_buf_add (prefix, cs_str_n (text.p, text.n < room ? text.n : room));
}

static void
add_content (cs_buf_t *prefix, const json_t *content)
{
	if (json_is_string (content)) {
		add_prefix (prefix,
			    cs_str_n (json_string_value (content), json_string_length (content)));
		return;
	}
	char *text = json_dumps (content, JSON_COMPACT | JSON_ENCODE_ANY);
	add_prefix (prefix, cs_str (text));
	free (text);
}

/* Checks all messages and collects the text of those up to and including the first user
 * message. These messages are often the same in successive requests. */
static cs_status_t
read_messages (cs_chat_t *c, const json_t *messages)
{
	bool in_prefix = true;
	if (!json_is_array (messages) || !json_array_size (messages))
		return cs_fail (CS_INVALID, "\"messages\" is not a list with at least one message");
	for (size_t i = 0; i < json_array_size (messages); i++) {
		const json_t *m = json_array_get (messages, i);
		const char *role = json_string_value (json_object_get (m, "role"));
		const json_t *content = json_object_get (m, "content");
		if (!role)
			return cs_fail (CS_INVALID, "\"messages\"[%zu] has no \"role\"", i);
		if (content && in_prefix)
			add_content (&c->prefix, content);
		in_prefix = in_prefix && strcmp (role, "user") != 0;
	}
	return CS_OK;
}

static cs_status_t
read_token_limit (uint32_t *limit, const json_t *root, const char *name)
{
	const json_t *v = json_object_get (root, name);
	if (!v || json_is_null (v))
		return CS_OK;
	json_int_t n = json_integer_value (v);
	if (!json_is_integer (v) || n < 1 || n > UINT32_MAX)
		return cs_fail (CS_INVALID, "\"%s\" is not a whole number from 1 to 4294967295",
				name);
	*limit = (uint32_t)n;
	return CS_OK;
}

static cs_status_t
read_fields (cs_chat_t *c, const json_t *root)
{
	const json_t *model = json_object_get (root, "model");
	const json_t *stream = json_object_get (root, "stream");
	if (!json_is_object (root))
		return cs_fail (CS_INVALID, "the body is not a JSON object");
	if (!json_is_string (model) || !json_string_length (model))
		return cs_fail (CS_INVALID, "\"model\" is not a non-empty string");
	cs_buf_add (&c->model, cs_str_n (json_string_value (model), json_string_length (model)));
	if (stream && !json_is_boolean (stream) && !json_is_null (stream))
		return cs_fail (CS_INVALID, "\"stream\" is neither true nor false");
	c->stream = json_is_true (stream);
	if (read_token_limit (&c->max_tokens, root, "max_tokens") != CS_OK ||
	    read_token_limit (&c->max_tokens, root, "max_completion_tokens") != CS_OK)
		return CS_INVALID;
	return read_messages (c, json_object_get (root, "messages"));
}

cs_status_t
cs_chat_parse (cs_chat_t *c, cs_str_t body)
{
	json_error_t error;
	if (!cs_str_is_utf8 (body))
		return cs_fail (CS_INVALID, "the body is not well-formed UTF-8");
	json_t *root = json_loadb (body.p, body.n, JSON_ALLOW_NUL, &error);
	if (!root)
		return cs_fail (CS_INVALID, "the body is not JSON: line %d, column %d: %s",
				error.line, error.column, error.text);
	cs_status_t status = read_fields (c, root);
	json_decref (root);
	return status;
}
