/* Private parts of the simulation of protected requests. */
#ifndef SUPPORT_CLAIMS_IMPL_H
#define SUPPORT_CLAIMS_IMPL_H

#include "support_claims.h"

typedef enum {
	EVENT_APPEND_EFFECT,
	EVENT_APPEND_ANSWER,
	EVENT_RUN,
	EVENT_RESULT,
	EVENT_REQUEST, /* a ClaimRequest reaches a home */
	EVENT_REPLY    /* a ClaimReply reaches the requesting daemon */
} event_kind_t;

struct world_event {
	event_kind_t kind;
	int64_t due_ms;
	uint32_t daemon;
	uint64_t incarnation;
	uint64_t from; /* REQUEST and appends of forwarded records: the requesting incarnation */
	uint64_t ticket;
	cs_buf_t record; /* packed record or ClaimReply */
	cs_status_t status;
	uint32_t submission;
	uint32_t attempt;
	cs_claim_result_t result;
	struct world_event *prev, *next;
};

bool world_draw (world_t *w, uint32_t per_thousand);
world_event_t *world_add_event (world_t *w, event_kind_t kind, uint32_t daemon, int64_t after_ms);
cs_shard_view_t world_shard_view (const world_t *w, uint32_t daemon);
/* Appends a record forwarded by the incarnation from, or the daemon's own if from is 0. */
void world_append (world_t *w, uint32_t daemon, uint64_t from, uint64_t ticket,
		   const Cs__Record *record);
void world_execute_actions (world_t *w, uint32_t daemon);

/* support_claims_forward.c */
void world_forward (world_t *w, uint32_t daemon, const cs_claim_action_t *a);
/* Starts reading the stream, unless the daemon is disconnected from the log. */
void world_read_stream (world_t *w, uint32_t daemon);
void world_receive_request (world_t *w, const world_event_t *e);
void world_receive_reply (world_t *w, const world_event_t *e);
/* Sends the home's pending replies. */
void world_send_replies (world_t *w, uint32_t daemon);
/* Starts or stops reading the stream, depending on whether the daemon needs it. */
void world_choose_streams (world_t *w, uint32_t daemon);

#endif
