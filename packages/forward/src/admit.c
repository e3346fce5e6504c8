/* Admission of a request: finds its route and team, and sets its deadlines. */
#include <stdlib.h>
#include <string.h>

#include "cs/log.h"
#include "cs/poison.h"
#include "forward.h"

enum {
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	STATUS_UNAVAILABLE = 503,
	STATUS_HTTP_VERSION = 505
};

static cs_str_t
path_of (const cs_call_t *c)
{
	return cs_str_n (c->target, strcspn (c->target, "?"));
}

static void
refuse (cs_call_t *c, int status, const char *reason, uint32_t retry_after_ms)
{
	cs_log_event (
		"forward", "not_admitted",
		"id=%.*s status=%d reason=%s path=%.80s config_version=%llu config_age_ms=%lld",
		CS_STR_ARG (cs_call_id (c)), status, reason, c->target,
		c->serving ? (unsigned long long)c->serving->version : 0,
		c->serving ? (long long)(cs_now_ms () - c->serving->read_ms) : -1);
	cs_reply_own (c, status, reason, retry_after_ms);
}

/* Refuses a request for what the configuration does not have. A newer one that has not been read
 * yet may have it. */
static void
refuse_unknown (cs_call_t *c, int status, const char *reason)
{
	if (c->forward->config_behind)
		refuse (c, STATUS_UNAVAILABLE, "configuration-behind", CS_NO_CONFIG_RETRY_MS);
	else
		refuse (c, status, reason, 0);
}

static void
set_size (cs_call_t *c)
{
	uint32_t prompt = 0;
	uint32_t answer = 0;
	const char *name = c->forward->names->tokens; /* not every platform has it */
	cs_str_t tokens = name ? cs_headers_find (&c->headers, name) : cs_str (NULL);
	if (tokens.n && !c->forward->host->adapter->decode_tokens (tokens, &prompt, &answer))
		prompt = answer = 0;
	c->size = cs_request_size (prompt, answer, c->body.n);
	c->is_size_guessed = !prompt;
}

static void
set_causes (cs_call_t *c)
{
	uint64_t parts[CS_PROMPT_MAX_PARTS];
	cs_str_t prompt = cs_headers_find (&c->headers, c->forward->names->prompt);
	size_t n = prompt.n ? c->forward->host->adapter->decode_prompt (prompt, parts) : 0;
	c->causes = cs_alloc ((n + 1) * sizeof *c->causes);
	c->causes[c->n_causes++].id = c->content;
	for (size_t i = 0; i < n; i++) {
		bool is_known = false;
		for (size_t k = 0; k < i; k++)
			is_known |= parts[k] == parts[i];
		if (!is_known)
			c->causes[c->n_causes++] = (cs_crash_key_t){parts[i], true};
	}
}

/* Tells the task "former" that there is traffic: only from then on are loads of weights spread
 * over time. */
static void
report_traffic (cs_forward_t *f)
{
	if (f->has_traffic)
		return;
	f->has_traffic = true;
	cs_send (f->task, cs_task_find (f->task->kernel, "former"),
		 &cs_state_msg (CS_HOST_TRAFFIC, true, 0)->msg);
}

void
cs_admit (cs_call_t *c)
{
	cs_forward_t *f = c->forward;
	report_traffic (f);
	/* Not as of received_ms: a body may arrive long after its head. */
	if (cs_stop_phase (f->stopping_ms, cs_now_ms (), f->host->grace_ms, 1) >=
	    CS_STOP_REFUSING) {
		refuse (c, STATUS_UNAVAILABLE, "stopping", CS_STOPPING_RETRY_MS);
		return;
	}
	if (!f->serving || !f->list_read) {
		refuse (c, STATUS_UNAVAILABLE, "no-configuration", CS_NO_CONFIG_RETRY_MS);
		return;
	}
	c->serving = f->serving;
	cs_ref_get (&c->serving->ref);
	if (c->body_status) {
		refuse (c, c->body_status, c->body_reason, c->body_retry_ms);
		return;
	}
	c->route = cs_serving_find_route (c->serving, cs_headers_find (&c->headers, "Host"),
					  path_of (c));
	if (!c->route) {
		refuse_unknown (c, STATUS_NOT_FOUND, "no-route");
		return;
	}
	c->team = cs_serving_find_team (c->serving, cs_headers_find (&c->headers, f->names->key));
	if (!c->team && !c->route->is_public && c->serving->n_teams) {
		refuse_unknown (c, STATUS_UNAUTHORIZED, "unknown-key");
		return;
	}
	if (c->is_http_1_0 && c->route->kind == CS_KIND_STREAM) {
		refuse (c, STATUS_HTTP_VERSION, "http-version", 0);
		return;
	}
	cs_call_set_deadlines (c);
	c->service = cs_str_dup (cs_str (cs_serving_pick_service (c->route, &f->rng)));
	c->content = cs_poison_fingerprint (cs_str (c->team ? c->team->name : ""),
					    cs_str (c->target), cs_buf_str (&c->body));
	set_causes (c);
	set_size (c);
	cs_retry_budget_count_request (&f->retry_budget, c->service, c->received_ms, cs_now_ms ());
	cs_service_counts_request (f, c->service);
	cs_dispatch (c);
}
