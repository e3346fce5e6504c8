/* When a request's first event is to be expected, and what the request costs those beside it.
 *
 * Load: prompts of 40 to 5,880 tokens on the same engines. An engine reads prompts in chunks
 * between two steps of its streams: a prompt of 5,880 tokens holds each stream of a back end up for
 * 116 ms.
 *
 * Times follow from the engine's rates in the configuration; without them, from the bytes of the
 * body at a default rate. They are estimates: what answers show corrects them. */
#ifndef CS_FIRST_EVENT_H
#define CS_FIRST_EVENT_H

#include "cs/serving.h"

/* What is known of a request before it is sent. */
typedef struct {
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* most that it may write; 0: unknown */
} cs_request_size_t;

/* The size as its headers tell it; without them (tokens of 0), from the length of the body. */
cs_request_size_t cs_request_size (uint32_t prompt_tokens, uint32_t answer_tokens,
				   size_t body_bytes);
/* Time in ms in which an idle engine reads the prompt. */
double cs_first_event_read_ms (const cs_serving_engine_t *engine, double pace,
			       const cs_request_size_t *size);
/* Time in ms from the sending of the prompt to its first event on an idle engine: its reading and
 * one pass. */
double cs_first_event_idle_ms (const cs_serving_engine_t *engine, double pace,
			       const cs_request_size_t *size);
/* Time in ms of an engine that the request is expected to take: its reading, and its part of the
 * steps in which it writes beside as many others as there are slots. */
double cs_first_event_work_ms (const cs_serving_engine_t *engine, double pace, uint32_t slots,
			       const cs_request_size_t *size);

#endif
