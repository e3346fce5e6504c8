#include "cs/first_event.h"

enum {
	BYTES_PER_TOKEN = 4,         /* of English text, on average */
	DEFAULT_READ_TOKENS_MS = 50, /* of an engine whose rates are not stated */
	MAX_TOKENS = 10 * 1000 * 1000,
	PAIRS = 1000 * 1000,  /* to which read_pairs_ms refers */
	CONTEXT_TOKENS = 1000 /* to which step_context_ms refers */
};

cs_request_size_t
cs_request_size (uint32_t prompt_tokens, uint32_t answer_tokens, size_t body_bytes)
{
	size_t tokens = prompt_tokens ? prompt_tokens : body_bytes / BYTES_PER_TOKEN + 1;
	return (cs_request_size_t){tokens < MAX_TOKENS ? (uint32_t)tokens : MAX_TOKENS,
				   answer_tokens};
}

static double
pace_or_one (double pace)
{
	return pace > 0 ? pace : 1;
}

double
cs_first_event_read_ms (const cs_serving_engine_t *engine, double pace,
			const cs_request_size_t *size)
{
	double n = size->prompt_tokens;
	double rate = engine->read_tokens_ms > 0 ? engine->read_tokens_ms : DEFAULT_READ_TOKENS_MS;
	double pairs = n > 1 ? n * (n - 1) / 2 : 0;
	return pace_or_one (pace) * (n / rate + engine->read_pairs_ms * pairs / PAIRS);
}

double
cs_first_event_idle_ms (const cs_serving_engine_t *engine, double pace,
			const cs_request_size_t *size)
{
	uint32_t steps = engine->stride ? engine->stride : 1;
	double step = engine->step_ms + engine->step_request_ms +
		      engine->step_context_ms * size->prompt_tokens / CONTEXT_TOKENS;
	return cs_first_event_read_ms (engine, pace, size) + pace_or_one (pace) * steps * step;
}

/* Most callers write less than they may. */
static double
expect_answer (const cs_serving_engine_t *engine, const cs_request_size_t *size)
{
	if (size->answer_tokens && engine->usual_answer)
		return size->answer_tokens < engine->usual_answer ? size->answer_tokens
								  : engine->usual_answer;
	return size->answer_tokens ? size->answer_tokens : engine->usual_answer;
}

double
cs_first_event_work_ms (const cs_serving_engine_t *engine, double pace, uint32_t slots,
			const cs_request_size_t *size)
{
	double answer = expect_answer (engine, size);
	double context = size->prompt_tokens + answer / 2;
	double step = engine->step_ms / (slots ? slots : 1) + engine->step_request_ms +
		      engine->step_context_ms * context / CONTEXT_TOKENS;
	return cs_first_event_read_ms (engine, pace, size) + pace_or_one (pace) * answer * step;
}
