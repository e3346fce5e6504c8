#include "cs/claim_home.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct cs_claim_requester {
	uint64_t id[2]; /* requester's incarnation and its ticket */
	cs_claim_key_t key;
	uint32_t shard;
	bool is_applied;             /* the record has been applied here */
	bool reply_due;              /* send a reply even if the state has not changed */
	cs_claim_state_t sent_state; /* of the last reply, as is sent_offset */
	uint64_t sent_offset;
	int64_t expires_ms;
	UT_hash_handle hh;
};

void
cs_claim_home_init (cs_claim_home_t *h, uint32_t disabled)
{
	h->requesters = NULL;
	h->disabled = disabled;
}

static void
remove_requester (cs_claim_home_t *h, cs_claim_requester_t *req)
{
	HASH_DEL (h->requesters, req);
	free (req);
}

void
cs_claim_home_finish (cs_claim_home_t *h)
{
	cs_claim_requester_t *req, *next;
	HASH_ITER (hh, h->requesters, req, next) {
		remove_requester (h, req);
	}
}

static cs_claim_requester_t *
find_requester (const cs_claim_home_t *h, uint64_t from, uint64_t ticket)
{
	cs_claim_requester_t *req;
	const uint64_t id[2] = {from, ticket};
	/* The analyzer doesn't see the bytes of an array of integers as set. */
	// NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult)
	HASH_FIND (hh, h->requesters, id, sizeof id, req);
	return req;
}

/* Sets the claimant of a Claim or Outcome and returns the record's key; NULL for other records,
 * which cannot be forwarded. */
static const ProtobufCBinaryData *
set_claimant (Cs__Record *r, uint64_t from)
{
	if (r->body_case == CS__RECORD__BODY_CLAIM) {
		r->claim->claimant = from;
		return &r->claim->key;
	}
	if (r->body_case != CS__RECORD__BODY_OUTCOME)
		return NULL;
	r->outcome->claimant = from;
	return &r->outcome->key;
}

bool
cs_claim_home_request (cs_claim_home_t *h, int64_t now_ms, uint64_t from, uint64_t ticket,
		       uint32_t shard, Cs__Record *record)
{
	cs_claim_requester_t *req = find_requester (h, from, ticket);
	const ProtobufCBinaryData *key = set_claimant (record, from);
	if (req)
		req->reply_due = true;
	if (req || !key || key->len != sizeof req->key.bytes ||
	    HASH_COUNT (h->requesters) >= CS_CLAIM_HOME_MAX_REQUESTERS)
		return false;
	req = cs_alloc (sizeof *req);
	req->id[0] = from;
	req->id[1] = ticket;
	memcpy (req->key.bytes, key->data, sizeof req->key.bytes);
	req->shard = shard;
	req->expires_ms = now_ms + CS_CLAIM_HOME_RETENTION_MS;
	req->is_applied = h->disabled & CS_CLAIM_HOME_NO_APPLY_WAIT;
	req->reply_due = true;
	HASH_ADD (hh, h->requesters, id, sizeof req->id, req);
	return true;
}

void
cs_claim_home_append_done (cs_claim_home_t *h, uint64_t from, uint64_t ticket, bool applied)
{
	cs_claim_requester_t *req = find_requester (h, from, ticket);
	if (!req)
		return;
	if (applied)
		req->is_applied = true;
	else
		remove_requester (h, req);
}

bool
cs_claim_home_next_reply (cs_claim_home_t *h, uint32_t shard, const cs_shard_view_t *shard_view,
			  cs_claim_reply_t *reply)
{
	for (cs_claim_requester_t *req = h->requesters; req; req = req->hh.next) {
		if (req->shard != shard || !req->is_applied || !shard_view->is_contiguous)
			continue;
		cs_claims_lookup (shard_view->claims, &req->key, &reply->view);
		if (!req->reply_due && req->sent_state == reply->view.state &&
		    req->sent_offset == reply->view.offset)
			continue;
		req->reply_due = false;
		req->sent_state = reply->view.state;
		req->sent_offset = reply->view.offset;
		reply->requester = req->id[0];
		reply->ticket = req->id[1];
		reply->shard = shard;
		reply->key = req->key;
		reply->next_offset = shard_view->next_offset;
		return true;
	}
	return false;
}

void
cs_claim_home_expire (cs_claim_home_t *h, int64_t now_ms)
{
	cs_claim_requester_t *req, *next;
	HASH_ITER (hh, h->requesters, req, next) {
		if (now_ms >= req->expires_ms)
			remove_requester (h, req);
	}
}

void
cs_claim_reply_fill (const cs_claim_reply_t *r, Cs__ClaimReply *m, Cs__ClaimEntry *e,
		     char **content_type)
{
	const cs_claim_view_t *v = &r->view;
	cs__claim_reply__init (m);
	cs__claim_entry__init (e);
	m->to = r->requester;
	m->shard = r->shard;
	m->ticket = r->ticket;
	m->next = r->next_offset;
	m->entry = e;
	e->key.data = (uint8_t *)r->key.bytes;
	e->key.len = sizeof r->key.bytes;
	e->offset = v->offset;
	e->incarnation = v->incarnation;
	e->fingerprint = v->fingerprint;
	e->request = v->request;
	e->state = v->state;
	e->status = v->status;
	e->holder = v->holder;
	e->answer_digest = v->answer_digest;
	e->has_answer = v->has_answer;
	*content_type = cs_str_dup (v->has_answer ? v->content_type : cs_str (""));
	e->content_type = *content_type;
	if (!v->has_answer)
		return;
	e->answer.data = (uint8_t *)v->answer.p;
	e->answer.len = v->answer.n;
}

cs_status_t
cs_claim_reply_read (const Cs__ClaimReply *m, cs_claim_reply_t *r)
{
	const Cs__ClaimEntry *e = m->entry;
	if (!e || e->key.len != sizeof r->key.bytes || e->state > CS_CLAIM_EXPIRED)
		return CS_INVALID;
	memset (r, 0, sizeof *r);
	r->requester = m->to;
	r->shard = m->shard;
	r->ticket = m->ticket;
	r->next_offset = m->next;
	memcpy (r->key.bytes, e->key.data, sizeof r->key.bytes);
	r->view = (cs_claim_view_t){
		.state = (cs_claim_state_t)e->state,
		.offset = e->offset,
		.incarnation = e->incarnation,
		.fingerprint = e->fingerprint,
		.request = e->request,
		.status = e->status,
		.has_answer = e->has_answer,
		.content_type = cs_str (e->content_type),
		.answer = cs_str_n ((const char *)e->answer.data, e->answer.len),
		.holder = e->holder,
		.answer_digest = e->answer_digest,
	};
	return CS_OK;
}
