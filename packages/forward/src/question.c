/* Reads the question where a request would go. */
#include <string.h>

#include "explain.h"

enum {
	MAX_TEXT_BYTES = 255
};

#define TEXT_BOUND "1 to 255 printable bytes without a space"

typedef struct {
	const char *name;
	size_t offset; /* of a text in the question */
} text_t;

static const text_t texts[] = {
	{"host", offsetof (cs_question_t, host)},       {"path", offsetof (cs_question_t, path)},
	{"service", offsetof (cs_question_t, service)}, {"model", offsetof (cs_question_t, model)},
	{"team", offsetof (cs_question_t, team)},
};

void
cs_question_reject (cs_question_t *q, const char *thing, const char *bound, const char *value)
{
	if (q->thing)
		return;
	q->thing = thing;
	q->bound = bound;
	q->value = value;
}

static bool
is_text (const char *value)
{
	size_t n = strlen (value);
	if (!n || n > MAX_TEXT_BYTES)
		return false;
	for (const char *p = value; *p; p++)
		if (*p <= ' ' || *p > '~')
			return false;
	return true;
}

static void
read_tokens (cs_question_t *q, const char *name, const char *value, uint32_t *out)
{
	uint64_t n;
	if (cs_str_u64 (cs_str (value), &n) && n <= CS_MAX_TOKENS)
		*out = (uint32_t)n;
	else
		cs_question_reject (q, name, "0 to 10000000 tokens", value);
}

static void
read_tried (cs_question_t *q, const char *value)
{
	if (q->n_tried == CS_EXPLAIN_MAX_TRIED)
		cs_question_reject (q, "tried", "8 zones", value);
	else
		q->tried[q->n_tried++] = value;
}

static enum MHD_Result
read_value (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
	cs_question_t *q = data;
	(void)kind;
	value = value ? value : "";
	if (!strcmp (name, "prompt")) {
		read_tokens (q, "prompt", value, &q->prompt_tokens);
		return MHD_YES;
	}
	if (!strcmp (name, "answer")) {
		read_tokens (q, "answer", value, &q->answer_tokens);
		return MHD_YES;
	}
	bool is_tried = !strcmp (name, "tried");
	if (is_tried && is_text (value))
		read_tried (q, value);
	else if (is_tried)
		cs_question_reject (q, "tried", TEXT_BOUND, value);
	for (size_t i = 0; i < sizeof texts / sizeof *texts; i++) {
		const char **text = (const char **)(void *)((char *)q + texts[i].offset);
		if (strcmp (name, texts[i].name) != 0)
			continue;
		if (!is_text (value) || **text)
			cs_question_reject (q, texts[i].name, TEXT_BOUND ", once", value);
		else
			*text = value;
		return MHD_YES;
	}
	if (!is_tried)
		cs_question_reject (q, "name",
				    "host, path, service, model, team, prompt, answer or tried",
				    name);
	return MHD_YES;
}

void
cs_question_read (cs_question_t *q, struct MHD_Connection *connection)
{
	*q = (cs_question_t){.host = "", .path = "", .service = "", .model = "", .team = ""};
	MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, read_value, q);
	if (!*q->path == !*q->service)
		cs_question_reject (q, "path", "either a path or a service", q->path);
	else if (*q->path && (*q->path != '/' || !*q->host))
		cs_question_reject (q, "path", "begins with a slash, beside a host", q->path);
}
