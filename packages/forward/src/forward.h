/* The task "forward": takes callers' requests on a hosted platform and passes them on.
 *
 * A request's way runs in one direction, a file each: entry.c reads it, admit.c finds its
 * route and team, dispatch.c chooses a back end, sending.c sends it there and reads the
 * answer, verdict.c decides what follows, reply.c hands it to the caller. */
#ifndef CS_FORWARD_H
#define CS_FORWARD_H

#include "cs/admission.h"
#include "cs/answer_timeout.h"
#include "cs/fleet.h"
#include "cs/host.h"
#include "cs/host_messages.h"
#include "cs/http.h"
#include "cs/httpd.h"
#include "cs/notices.h"
#include "cs/outcome.h"
#include "cs/retry.h"
#include "cs/router.h"
#include "cs/serving.h"
#include "cs/sse.h"
#include "cs/stop.h"
#include "cs/suspects.h"

typedef struct cs_call cs_call_t;
typedef struct cs_wait_queue cs_wait_queue_t;

typedef struct {
	cs_task_t *task;
	const cs_host_t *host;
	const cs_header_names_t *names;
	cs_httpd_t callers;
	cs_httpd_t readiness; /* readiness; in_progress is not used */
	cs_httpd_t metrics;
	cs_http_t client;
	cs_serving_t *serving; /* NULL until the first one */
	cs_fleet_t fleet;
	bool list_read;        /* the list has been read once */
	bool list_unreachable; /* it can't be read now */
	bool targets_stale;    /* the fleet has changed since targets were made */
	cs_router_t router;
	cs_retry_t retry;
	cs_suspects_t suspects;
	cs_answer_timeout_t answer_timeout;
	cs_notices_t notices;
	cs_rng_t rng;
	cs_call_t *calls;
	uint64_t last_number;
	cs_wait_queue_t *queues; /* uthash by service: who waits for a place */
	ev_timer queue_timer;    /* while anybody waits */
	ev_timer tick;
	int64_t stopping_ms; /* when a planned stop began; 0: none */
	bool stopped;
	bool has_traffic; /* a request has come */
} cs_forward_t;

/* A header line, name and value; both owned. */
typedef struct {
	char *name;
	char *value;
} cs_header_t;

typedef struct {
	cs_header_t *items;
	size_t n;
	size_t cap;
} cs_headers_t;

void cs_headers_add (cs_headers_t *h, cs_str_t name, cs_str_t value);
/* The first value; an empty view if there is none. */
cs_str_t cs_headers_find (const cs_headers_t *h, const char *name);
void cs_headers_clear (cs_headers_t *h);
/* True for headers that concern one connection only, and are not passed on. */
bool cs_header_is_hop_by_hop (cs_str_t name);

/* One attempt at a back end. */
typedef struct {
	cs_http_call_t http;
	cs_call_t *call;
	char *target;  /* id of the back end */
	char *service; /* the router's name of what it serves */
	uint64_t incarnation;
	cs_buf_t url;
	cs_buf_t header_lines; /* header lines, each ended by NUL */
	const char **headers;
	cs_headers_t answer_headers;
	cs_buf_t body; /* of an answer that is no stream, or a stream's bytes before its first event
			*/
	int status;
	bool is_stream;          /* the answer's events are passed on as they come */
	bool suspected;          /* it stands still for a while, and its back end is suspected */
	bool retry_granted;      /* another attempt may take its place, and is paid for */
	int64_t retry_delay_ms;  /* before that one */
	bool stalled;            /* cancelled, as nothing came in time */
	bool timed_out;          /* cancelled, as the request's time is over */
	bool malformed;          /* the answer is none that could be passed on */
	ev_timer progress_timer; /* until which the next sign of progress must come */
	int64_t sent_us;
	int64_t first_us; /* first event or byte of the answer; 0: none */
	int64_t last_us;
	uint32_t events;
} cs_backend_request_t;

typedef enum {
	CS_CALL_READING,
	CS_CALL_WAITING,  /* no head of an answer yet */
	CS_CALL_ANSWERING /* the head has been given to the server */
} cs_call_phase_t;

/* One request of a caller. */
struct cs_call {
	cs_forward_t *forward;
	struct MHD_Connection *connection;
	cs_call_phase_t phase;
	uint64_t number;        /* of this daemon's requests */
	cs_wait_queue_t *queue; /* that it waits in; NULL: it doesn't */
	bool head_read;
	bool suspended;
	bool abandoned; /* the caller has left */
	bool counted;   /* among the server's requests in progress */
	cs_httpd_leave_t leave;
	char *method;
	char *target; /* path and query as the caller sent them */
	cs_headers_t headers;
	cs_buf_t body;
	bool too_large;
	int64_t received_ms;
	int64_t deadline_ms;   /* the caller's */
	int64_t expires_ms;    /* the earlier of that and the route's */
	cs_serving_t *serving; /* the configuration it was admitted under */
	const cs_serving_route_t *route;
	const cs_team_t *team; /* NULL: a public route */
	char *service;
	uint32_t runs; /* attempts that ran or may have */
	uint32_t tries;
	char *tried[CS_OUTCOME_MAX_TRIES];
	cs_backend_request_t *backend_request; /* the attempt under way */
	ev_timer retry_timer;                  /* before the next attempt */
	cs_sse_t events;
	bool has_events;
	/* the answer */
	bool has_head;
	int status;
	cs_headers_t answer_headers;
	cs_httpd_outbox_t outbox;
	bool read_paused; /* the caller is slow, and the back end's stream is not read meanwhile */
	bool ended;
	bool complete;
	const char *own_reason; /* of an own refusal or failure; NULL: a back end's answer */
	uint32_t retry_after_ms;
	cs_call_t *prev, *next;
};

extern cs_plugin_t cs_forward_plugin;

/* entry.c: the servers. */
cs_status_t cs_listener_start (cs_forward_t *f);
void cs_listener_stop (cs_forward_t *f);
/* status.c: readiness and metrics. */
cs_status_t cs_monitoring_start (cs_forward_t *f);
void cs_monitoring_stop (cs_forward_t *f);
/* call.c */
cs_call_t *cs_call_new (cs_forward_t *f, struct MHD_Connection *connection, const char *target);
void cs_call_free (cs_call_t *c);
cs_str_t cs_call_id (const cs_call_t *c);
/* admit.c: finds route and team, or answers. */
void cs_admit (cs_call_t *c);
/* dispatch.c: sends the request to a back end, or refuses it. */
void cs_dispatch (cs_call_t *c);
/* Sends one that waits to a back end; false if there is still no place. */
bool cs_dispatch_queued (cs_call_t *c, const char *service);
/* True if a back end that was not tried takes the request now. */
bool cs_dispatch_has_other (cs_call_t *c, const char *service);
void cs_dispatch_refuse (cs_call_t *c, const char *reason, uint32_t retry_after_ms);
/* queue.c */
void cs_queue_init (cs_forward_t *f);
void cs_queue_finish (cs_forward_t *f);
/* True if the request waits now; else when its caller may come again. */
bool cs_queue_add (cs_call_t *c, const char *service, int64_t *retry_after_ms);
void cs_queue_remove (cs_call_t *c);
/* An attempt at the service has ended. */
void cs_queue_record_attempt_end (cs_forward_t *f, const char *service);
/* targets.c: brings the router up to date with the fleet. */
void cs_targets_refresh (cs_forward_t *f);
/* The router's name of what serves the model of a service. */
void cs_targets_service_name (cs_buf_t *out, const char *service, cs_str_t model);
/* outbound.c: makes the header lines of an attempt. */
void cs_backend_request_set_headers (cs_backend_request_t *s, int64_t now_ms);
/* sending.c */
cs_status_t cs_backend_request_start (cs_call_t *c, const char *target, const char *service);
/* Stops or resumes reading a stream whose caller is slow. */
void cs_backend_request_pause (cs_call_t *c, bool paused);
/* Ends the attempt under way; nothing follows from it. */
void cs_backend_request_cancel (cs_call_t *c);
/* verdict.c: nothing has come for a while; keeps others away from the back end. */
void cs_attempt_stalled (const cs_backend_request_t *s);
/* True if another attempt takes the place of one that stands still. If none can, the caller
 * is better off with what may still come. */
bool cs_attempt_acquire_retry (cs_backend_request_t *s);
/* An attempt has ended; frees it. */
void cs_attempt_ended (cs_backend_request_t *s, const cs_attempt_t *result);
/* reply.c */
void cs_reply_own (cs_call_t *c, int status, const char *reason, uint32_t retry_after_ms);
void cs_reply_head (cs_call_t *c, int status, cs_headers_t *headers);
void cs_reply_body (cs_call_t *c, cs_str_t bytes);
void cs_reply_end (cs_call_t *c, bool complete);
enum MHD_Result cs_reply_serve (cs_call_t *c);
void cs_reply_resume (cs_call_t *c);
/* notes.c: what daemons tell one another of groups. */
void cs_notes_publish_silent (cs_forward_t *f, const cs_backend_t *head);
void cs_notes_receive (cs_forward_t *f, cs_str_t bytes);
/* counts.c */
void cs_counts_request_ended (const cs_call_t *c);
void cs_counts_attempt_ended (const cs_attempt_t *result);

#endif
