/* The task "forward": accepts callers' requests on a hosted platform and forwards them.
 *
 * A request passes through these files in order: listener.c and body.c read it, admit.c finds its
 * route and team, dispatch.c picks a back end, backend_request.c sends it there and reads the
 * answer, attempt_end.c decides on the next step, and reply.c returns the response to the caller.
 */
#ifndef CS_FORWARD_H
#define CS_FORWARD_H

#include "cs/admission.h"
#include "cs/answer_memory.h"
#include "cs/answer_timeout.h"
#include "cs/body_memory.h"
#include "cs/cold_share.h"
#include "cs/crash_counts.h"
#include "cs/evacuation.h"
#include "cs/fair_queue.h"
#include "cs/fleet.h"
#include "cs/host.h"
#include "cs/host_messages.h"
#include "cs/http.h"
#include "cs/httpd.h"
#include "cs/load_board.h"
#include "cs/notices.h"
#include "cs/outcome.h"
#include "cs/overload.h"
#include "cs/read_pause.h"
#include "cs/retry_budget.h"
#include "cs/router.h"
#include "cs/server.h"
#include "cs/serving.h"
#include "cs/sse.h"
#include "cs/stop.h"
#include "cs/suspects.h"
#include "cs/unproven_answers.h"

enum {
	CS_EXPLAIN_ANSWERS = 4 /* in a second, at most */
};

typedef struct cs_call cs_call_t;
typedef struct cs_wait_queue cs_wait_queue_t;
typedef struct cs_broken_note cs_broken_note_t;
typedef struct cs_service_counts cs_service_counts_t;

typedef struct cs_cold_back_end cs_cold_back_end_t;

/* The back ends that count as cold, where the platform states a bound for them. */
typedef struct {
	cs_cold_share_t share;
	cs_cold_back_end_t *items;
	size_t n;
	size_t cap;
	const char **barred; /* buffer of one query */
	size_t cap_barred;
	bool is_stale;        /* the fleet has changed since */
	bool had_cold;        /* when it was last looked */
	int64_t list_read_ms; /* what is listed later has just started */
} cs_cold_t;

typedef struct {
	cs_task_t *task;
	const cs_host_t *host;
	const cs_header_names_t *names;
	cs_server_t callers;
	cs_httpd_t readiness; /* server of the readiness probe; in_progress is not used */
	cs_httpd_t metrics;
	cs_http_t client;
	cs_serving_t *serving; /* current configuration; NULL until the first one arrives */
	cs_fleet_t fleet;
	cs_evacuation_t evacuation;
	cs_cold_t cold;
	bool list_read;        /* the list of back ends has been read at least once */
	bool list_unreachable; /* the list of back ends cannot be read at present */
	int64_t list_lost_ms;  /* since when */
	bool targets_stale;    /* the fleet has changed since the router's targets were set */
	cs_router_t router;
	cs_load_board_t loads; /* of services with large groups, as any daemon saw them */
	cs_retry_budget_t retry_budget;
	cs_service_counts_t *service_counts; /* uthash by service */
	cs_suspects_t suspects;
	cs_answer_timeout_t answer_timeout;
	cs_notices_t notices;
	cs_crash_counts_t crashes;
	cs_unproven_answers_t unproven_answers;
	int64_t tell_ms; /* when the next verdict on a cause of crashes is published; 0: none is due
			  */
	cs_broken_note_t *broken_notes; /* not published yet */
	cs_notices_t broken_notices;
	ev_timer broken_timer;
	cs_answer_memory_t answer_memory;
	size_t promised_bytes; /* of that memory, to answers that are read on; see cs/read_pause.h
				*/
	cs_body_memory_t body_memory;
	cs_rng_t rng;
	cs_call_t *calls;
	uint64_t last_number;
	cs_wait_queue_t *queues; /* uthash by service: requests that wait for a free slot */
	ev_timer queue_timer;    /* runs while requests are queued */
	ev_timer fair_timer;     /* the same for services with large groups */
	int64_t next_return_ms;  /* when the next back end that turned this daemon away takes
				    requests;  0: none */
	ev_timer tick;
	int64_t stopping_ms; /* start of the graceful shutdown; 0: not stopping */
	bool stopped;
	int64_t explained_ms[CS_EXPLAIN_ANSWERS]; /* ring buffer: when it was told where a request
						     would go */
	uint32_t n_explained;
	bool has_traffic;   /* at least one request has been received */
	bool config_behind; /* a newer configuration exists and has not been read */
} cs_forward_t;

/* A header line. Both strings are owned by the list. */
typedef struct {
	const char *name;
	const char *value;
} cs_header_t;

typedef struct cs_headers_block cs_headers_block_t;

/* Heads may have thousands of short lines: their texts lie in a few blocks. */
typedef struct {
	cs_header_t *items;
	size_t n;
	size_t cap;
	cs_headers_block_t *blocks;
} cs_headers_t;

void cs_headers_add (cs_headers_t *h, cs_str_t name, cs_str_t value);
/* Returns the first value of the header, owned by h; an empty string if there is none. Names are
 * compared without regard to case. */
cs_str_t cs_headers_find (const cs_headers_t *h, const char *name);
void cs_headers_clear (cs_headers_t *h);
/* True for headers that apply to a single connection and must not be forwarded (hop-by-hop). */
bool cs_header_is_hop_by_hop (cs_str_t name);

/* One attempt to have a back end answer a request. */
typedef struct {
	cs_http_call_t http;
	cs_call_t *call;
	char *backend_id;
	char *service;        /* the router's name of the service and model */
	uint64_t incarnation; /* epoch of its group, or else its time of birth */
	uint64_t born;
	cs_buf_t url;
	cs_buf_t header_lines; /* "Name: value" lines to send, each terminated by NUL */
	const char **headers;
	cs_headers_t answer_headers;
	cs_buf_t body; /* of an answer that is not a stream; of a stream, what came before its
			  first event */
	int status;
	bool is_stream;     /* the answer is an event stream, forwarded event by event */
	bool suspected;     /* the stream has stalled, and a failure of its back end was recorded */
	bool retry_granted; /* another attempt may replace this one; the retry budget has been
			       charged */
	int64_t retry_delay_ms;  /* before the replacement attempt */
	bool stalled;            /* cancelled because nothing was received in time */
	bool timed_out;          /* cancelled because the request's timeout passed */
	bool malformed;          /* the answer cannot be forwarded */
	bool is_blameless;       /* malformed only for want of memory in this daemon */
	bool head_suffices;      /* cancelled at the head */
	bool is_withdrawn;       /* cancelled before it was sent, as its back end is evacuated */
	ev_timer progress_timer; /* expires when no progress was made in time */
	int64_t due_ms;          /* when progress_timer expires */
	bool is_extended;        /* progress_timer was started again once, after a pause of this
				    process */
	int64_t cold_until_ms;   /* it is sent by then or not at all; 0: its back end is not cold */
	int64_t sent_us;
	int64_t sent_ms;      /* as the router knows it */
	int64_t predicted_ms; /* first event, from the sending on; -1: unknown */
	bool has_load;        /* the next three, of the answer's head */
	int64_t load_ms;
	uint32_t running;
	uint32_t waiting;
	int64_t first_us; /* first event of a stream, or first byte of another answer; 0: none yet
			   */
	int64_t last_us;
	uint32_t events;
	bool is_written; /* its back end has written on the answer for a while */
} cs_backend_request_t;

enum {
	CS_STOPPING_RETRY_MS = 50,  /* another daemon can accept the request immediately */
	CS_NO_CONFIG_RETRY_MS = 500 /* a started daemon reads the store within this time */
};

typedef enum {
	CS_CALL_READING,
	CS_CALL_WAITING,  /* no response head yet */
	CS_CALL_ANSWERING /* the response head has been passed to the HTTP server */
} cs_call_phase_t;

/* One request of a caller. */
struct cs_call {
	cs_forward_t *forward;
	cs_server_connection_t *connection;
	cs_call_phase_t phase;
	uint64_t number;    /* unique within this process */
	uint32_t n_arrived; /* attempts of which a back end may have received something */
	int64_t granted_ms; /* when a repeat was last acquired */
	bool awaits_claim;  /* no repeat was granted, but one may be until repeat_until_ms */
	int64_t repeat_until_ms;
	cs_wait_queue_t *queue; /* that the request waits in; NULL: not queued */
	bool abandoned;         /* the caller has disconnected, or the request is being torn down */
	bool counted;           /* included in callers.in_progress */
	char *method;
	char *target; /* path and query as the caller sent them */
	cs_headers_t headers;
	cs_buf_t body;
	cs_body_t body_share; /* of the forward task's body_memory */
	size_t head_bytes;    /* of these, for its head */
	int64_t heard_ms;     /* when a part of the body came last, or it was admitted */
	/* The body is not held, and the request is refused with these. */
	int body_status; /* 0: it is held */
	const char *body_reason;
	uint32_t body_retry_ms;
	bool is_http_1_0; /* no chunked encoding: a response of unknown length that is cut off
			     looks complete */
	int64_t received_ms;
	int64_t deadline_ms; /* absolute deadline set by the caller */
	bool states_deadline;
	int64_t waited_ms;  /* since the caller's first attempt, as it arrived here; 0: not known */
	double work_ms;     /* of an engine, as expected; 0: not known */
	bool is_overdue;    /* for too long to be answered in time */
	int64_t expires_ms; /* the earlier of deadline_ms and the route's timeout, absolute */
	cs_serving_t *serving; /* configuration in force at admission; a reference is held */
	const cs_serving_route_t *route;
	const cs_team_t *team; /* NULL if there is none, as on a public route */
	char *service;
	cs_request_size_t size;
	bool is_size_guessed;
	int64_t predicted_ms; /* first event of the last attempt, from its sending on; -1: unknown
			       */
	int64_t first_ms;     /* first event, from the arrival on; -1: none */
	uint64_t content;     /* hash of team, path and body: equal if the caller asks again */
	/* What may crash back ends: the content, then the parts of its prompt that others may have.
	 */
	cs_crash_key_t *causes;
	size_t n_causes;
	int64_t claim_until_ms; /* it waits for a claim to try its parts; 0: it never did */
	bool is_try;            /* its attempt tries causes that are refused */
	uint32_t runs;          /* attempts that ran or may have run */
	uint32_t tries;
	uint32_t n_broken; /* attempts whose connection broke */
	char *tried[CS_OUTCOME_MAX_TRIES];
	cs_backend_request_t *backend_request; /* attempt in progress; NULL: none */
	ev_timer retry_timer;                  /* delay before the next attempt */
	cs_sse_t events;
	bool has_events;
	bool owes_event;   /* behind the first, an event with an id was cut off, and none has come
			      since */
	size_t held_bytes; /* share of the forward task's answer_memory: for bytes that are not
			      passed on yet, and for those that wait beyond the usual */
	/* Response to the caller. */
	bool has_head;
	int status;
	cs_headers_t answer_headers;
	cs_httpd_outbox_t outbox;
	cs_read_pause_t read_pause; /* of reading from the back end, for a slow caller */
	bool ended;
	bool complete;
	const char *own_reason; /* reason of a refusal or error by this daemon; NULL: the answer
				   comes from a back end */
	uint32_t retry_after_ms;
	cs_call_t *prev, *next;
};

extern cs_plugin_t cs_forward_plugin;

/* listener.c: the HTTP server for callers. */
cs_status_t cs_listener_start (cs_forward_t *f);
/* Puts the configuration's limits on callers in force. */
void cs_listener_set_limits (cs_forward_t *f);
void cs_listener_stop (cs_forward_t *f);
/* monitoring.c: the HTTP servers for the readiness probe and for metrics. */
cs_status_t cs_monitoring_start (cs_forward_t *f);
void cs_monitoring_stop (cs_forward_t *f);
/* explain.c: answers where a request would go now. */
enum MHD_Result cs_explain (cs_forward_t *f, struct MHD_Connection *connection, const char *method);
/* call.c */
cs_call_t *cs_call_new (cs_forward_t *f, cs_server_connection_t *connection,
			const cs_http_head_t *head, int64_t received_ms);
void cs_call_free (cs_call_t *c);
cs_str_t cs_call_id (const cs_call_t *c);
/* The state on which the next step is decided; deadline and retry budget are assumed to allow one.
 */
cs_request_state_t cs_call_state (const cs_call_t *c);
/* Answers a request that is unfinished when this process exits, and ends its attempt. */
void cs_call_end_at_exit (cs_call_t *c);
/* Absolute time at which the caller stops waiting, by its head. */
int64_t cs_call_deadline_ms (const cs_call_t *c);
/* Sets them by head and route. */
void cs_call_set_deadlines (cs_call_t *c);
/* The request counts as in progress from now on. */
void cs_call_count (cs_call_t *c);
/* body.c: bodies of requests, and the memory for them */
/* Divides the machine's memory among answers and bodies. */
void cs_bodies_init (cs_forward_t *f);
/* Called with the head: the body is read, waits for memory, or is refused. */
void cs_body_begin (cs_call_t *c, const cs_http_head_t *head);
void cs_body_add (cs_call_t *c, cs_str_t part);
/* Answers a request whose body is not read any further. */
void cs_body_refuse (cs_call_t *c, int status, const char *reason);
/* Called once the body has been received. */
void cs_body_end (cs_call_t *c);
/* Takes the body out of the memory that bodies share, and out of those that wait. */
void cs_body_release (cs_call_t *c);
/* Admits bodies that wait, as far as there is memory, and refuses those that waited too long. */
void cs_bodies_serve (cs_forward_t *f);
void cs_bodies_refuse_waiting (cs_forward_t *f);
/* Drops bodies that come too late or not at all. */
void cs_bodies_tick (cs_forward_t *f, int64_t now_ms);
/* admit.c: finds the route and the team and dispatches the request, or answers with an error. */
void cs_admit (cs_call_t *c);
enum {
	CS_DISPATCH_MAX_SUSPECTS = 64
};

/* The router's query for a request. */
typedef struct {
	cs_route_query_t query;
	const char *suspects[CS_DISPATCH_MAX_SUSPECTS];
	const char **zones;
} cs_dispatch_query_t;

/* dispatch.c: sends the request to a back end, queues it, or refuses it. */
/* barred: back ends that may be sent nothing now. */
void cs_dispatch_query_init (cs_dispatch_query_t *q, const cs_call_t *c, const char *service,
			     const char *const *barred, size_t n_barred);
void cs_dispatch_query_finish (cs_dispatch_query_t *q);
/* Sets out to the router's name of the request's service and of the model, if the service has
 * models. */
void cs_dispatch_service_name (const cs_call_t *c, cs_str_t model, cs_buf_t *out);
/* Why no back end takes the request, as a static string; status: of the choice, or of the start at
 * the chosen one. Sets *retry_after_ms where it depends on the reason. */
const char *cs_dispatch_refusal_reason (const cs_call_t *c, cs_status_t status, const char *service,
					uint32_t *retry_after_ms);
void cs_dispatch (cs_call_t *c);
/* Dispatches a queued request. False if all back ends are still at capacity. */
bool cs_dispatch_queued (cs_call_t *c, const char *service);
/* True if a back end that was not tried before accepts the request now. */
bool cs_dispatch_has_any (cs_call_t *c, const char *service);
/* The same for one that is no suspect. */
bool cs_dispatch_has_other (cs_call_t *c, const char *service);
void cs_dispatch_refuse (cs_call_t *c, const char *reason, uint32_t retry_after_ms);
/* queue.c */
void cs_queue_init (cs_forward_t *f);
void cs_queue_finish (cs_forward_t *f);
/* Queues the request. False if it was refused; retry_after_ms is then the time after which the
 * caller may retry. */
bool cs_queue_add (cs_call_t *c, const char *service, int64_t *retry_after_ms);
void cs_queue_remove (cs_call_t *c);
/* True if overload control lets the request be sent to the service now; one that is not queued
 * waits behind those that are. */
bool cs_queue_may_send (const cs_call_t *c, const char *service);
/* What overload control would do with a request, and by which figures. */
typedef struct {
	bool may_send;
	bool would_wait; /* if it may not be sent, or no back end has room; else it is refused */
	int64_t retry_after_ms;
	double limit_per_s; /* 0: none is in force */
	double spare;       /* tokens beyond what the next request needs, if there is a limit */
	double reserve;     /* tokens that the request must leave to others */
	double busy;        /* share of the slots of all heads; 0 if their loads are not known */
	uint32_t priority;
	uint32_t waiting; /* requests in the queue */
	int64_t max_wait_ms;
} cs_queue_explanation_t;

/* Changes nothing. */
void cs_queue_explain (const cs_call_t *c, const char *service, cs_queue_explanation_t *out);
void cs_queue_record_arrival (cs_call_t *c, const char *service);
void cs_queue_record_send (const cs_call_t *c, const char *service);
/* Records a load of a back end of the service (the router's name), as any daemon saw it. delay_ms:
 * of first events there, beyond the reading of their own prompts. */
void cs_queue_record_board (cs_forward_t *f, const char *service, int64_t seen_ms, uint32_t running,
			    uint32_t waiting, uint32_t slots, uint32_t delay_ms);
/* Called when the router's targets have changed. */
void cs_queue_heads_changed (cs_forward_t *f);
void cs_queue_tick (cs_forward_t *f, int64_t now_ms);
/* Records that `waiting` requests wait at the back end of the attempt. */
void cs_queue_record_load (const cs_backend_request_t *s, uint32_t waiting);
/* Records the end of an attempt, from which the expected wait is estimated. */
void cs_queue_record_attempt_end (const cs_backend_request_t *s);
/* overload_counts.c */
typedef enum {
	CS_OVERLOAD_SENT,
	CS_OVERLOAD_WAITED,
	CS_OVERLOAD_REFUSED,
	CS_OVERLOAD_OVERDUE_SENT, /* of these */
	CS_OVERLOAD_OVERDUE_REFUSED,
	CS_OVERLOAD_EVENTS,
	CS_OVERLOAD_ARRIVED = CS_OVERLOAD_EVENTS /* has no counter of its own */
} cs_overload_event_t;

/* Events of a service since the last line. */
typedef struct {
	uint32_t n[CS_OVERLOAD_EVENTS + 1];
	int64_t logged_ms;
} cs_overload_counts_t;

void cs_overload_counts_add (cs_overload_counts_t *counts, cs_overload_event_t event,
			     uint32_t priority, bool is_overdue);
/* Logs what overload control does for a service, at most once a second. */
void cs_overload_counts_log (cs_overload_counts_t *counts, int64_t now_ms, const char *service,
			     const cs_overload_t *o, const cs_fair_queue_t *q);
/* said.c: what back ends say of themselves in their answers. */
void cs_said_leaving (cs_forward_t *f, const char *id, uint64_t born);
void cs_said_turned_away (cs_forward_t *f, const char *id, uint64_t born, int64_t until_ms);
/* Evaluates the head of an answer, of whatever request it is. */
void cs_said_in_head (const cs_backend_request_t *s);
/* zones.c: evacuated zones */
void cs_zones_receive (cs_forward_t *f, const cs_zone_msg_t *m);
/* True if only evacuated back ends would serve the service. retry_after_ms is then the time after
 * which the caller may retry. */
bool cs_zones_is_evacuated (cs_forward_t *f, const char *service, uint32_t *retry_after_ms);
/* Counts a request that is refused for it. */
void cs_zones_count_refusal (void);
/* cold.c: cold back ends */
void cs_cold_init (cs_forward_t *f);
void cs_cold_finish (cs_forward_t *f);
void cs_cold_receive (cs_forward_t *f, const cs_cold_share_msg_t *m);
/* What a back end has said of it in the head of an answer. */
void cs_cold_said (const cs_backend_request_t *s);
/* Back ends of the service that this daemon may send nothing to now. The list, of *n names, is
 * valid until the next call. */
const char *const *cs_cold_barred (cs_forward_t *f, const char *service, size_t *n);
/* The same without any change. The caller frees the list. */
const char **cs_cold_would_bar (const cs_forward_t *f, const char *service, size_t *n);
/* Records that a request is sent to the back end. Returns until when it may leave; 0: the back end
 * is not cold. */
int64_t cs_cold_record_send (cs_forward_t *f, const char *id);
/* targets.c: updates the router's targets from the fleet. */
void cs_targets_refresh (cs_forward_t *f);
/* backend_headers.c: sets the header lines of an attempt. */
void cs_backend_request_set_headers (cs_backend_request_t *s, int64_t now_ms);
/* backend_request.c */
/* first_event_ms: as in cs_route_t. CS_NOT_FOUND: the back end is not listed; CS_CONFLICT: the
 * request's time is over. */
cs_status_t cs_backend_request_start (cs_call_t *c, const char *backend_id, const char *service,
				      int64_t first_event_ms);
/* Pauses or resumes reading a stream, for back-pressure from a slow caller. */
void cs_backend_request_pause (cs_call_t *c, bool paused);
/* Cancels the attempt in progress, if any. The call must be marked as abandoned or ended, so that
 * no next step follows. */
void cs_backend_request_cancel (cs_call_t *c);
/* Takes back the attempt in progress if it waits for its connection. */
void cs_backend_request_withdraw (cs_call_t *c);
/* The same for an attempt that is no fault of its back end, as this process exits. */
void cs_backend_request_cancel_blameless (cs_call_t *c);
/* attempt_end.c: records that the attempt has made no progress, so that other requests avoid the
 * back end. */
void cs_attempt_stalled (const cs_backend_request_t *s);
/* True if a stalled attempt is to be replaced by another, for which the retry budget has been
 * charged. If none is possible, waiting on serves the caller better than giving up. */
bool cs_attempt_acquire_retry (cs_backend_request_t *s);
/* True if the repeat that the call waits for may be sent now. A process that was paused may be late
 * with one that was granted, and acquires it anew. */
bool cs_attempt_keeps_grant (cs_call_t *c);
/* Records the result of a finished attempt, takes the next step for its request, and frees s. */
void cs_attempt_ended (cs_backend_request_t *s, const cs_attempt_t *result);
/* reply.c */
void cs_reply_own (cs_call_t *c, int status, const char *reason, uint32_t retry_after_ms);
void cs_reply_head (cs_call_t *c, int status, cs_headers_t *headers);
void cs_reply_body (cs_call_t *c, cs_str_t bytes);
/* Like cs_reply_body; takes over the memory of bytes. */
void cs_reply_whole_body (cs_call_t *c, cs_buf_t *bytes);
/* Bytes held for the caller, with n more, beyond those that each caller may let wait. */
size_t cs_reply_excess (const cs_call_t *c, size_t n);
/* Sets the request's share of the answer memory to n bytes. False, with nothing changed, if that is
 * more than it may hold even where overdue answers are cut off for it. */
bool cs_reply_hold (cs_call_t *c, size_t n);
void cs_reply_end (cs_call_t *c, bool complete);
/* Passes the head of the response to the server once there is one, or closes the connection of a
 * request that was abandoned. */
void cs_reply_serve (cs_call_t *c);
/* Writes up to max bytes of the response; see cs_server_owner_t. */
ssize_t cs_reply_read (cs_call_t *c, char *out, size_t max);
/* Reads answers on whose callers have not read for long, as far as there is memory. */
void cs_replies_tick (cs_forward_t *f, int64_t now_ms);
void cs_reply_resume (cs_call_t *c);
/* notes.c: notes that daemons exchange about groups. */
void cs_notes_publish_silent (cs_forward_t *f, const cs_backend_t *head);
/* Publishes, after a moment in which more of them come, what the back end ran when connections to
 * it broke. */
void cs_notes_add_break (cs_forward_t *f, const cs_crash_break_t *b, const cs_crash_blame_t *blamed,
			 size_t n);
void cs_notes_publish_news (cs_forward_t *f, const cs_crash_news_t *news);
void cs_notes_init (cs_forward_t *f);
void cs_notes_finish (cs_forward_t *f);
/* Claims a part of the slack of the budget of repeats, if one is wanted. */
void cs_notes_claim_repeats (cs_forward_t *f);
void cs_notes_receive (cs_forward_t *f, const cs_ledger_msg_t *m);
/* loads.c: loads of heads that daemons tell each other */
/* Records what the first event of an attempt tells of its back end. */
void cs_loads_record_first_event (const cs_backend_request_t *s);
void cs_loads_receive (cs_forward_t *f, const cs_ledger_msg_t *m);
/* crashes.c: contents and parts of prompts that crash back ends */
void cs_crashes_init (cs_forward_t *f);
void cs_crashes_finish (cs_forward_t *f);
/* Records that the connection broke while the back end ran the request. */
void cs_crashes_record_break (const cs_backend_request_t *s);
/* Records that a back end answered the request. */
void cs_crashes_record_answer (const cs_backend_request_t *s);
/* Records an event of a stream. */
void cs_crashes_record_event (cs_backend_request_t *s);
void cs_crashes_record_send (cs_call_t *c);
/* Records that no back end ran its attempt. */
void cs_crashes_record_not_run (cs_call_t *c);
bool cs_crashes_is_refused (const cs_call_t *c, uint32_t *retry_after_ms);
/* Logs which cause the request is refused for. */
void cs_crashes_log_refusal (const cs_call_t *c);
/* True if the request, which is refused, is to be dispatched again in a moment, as it may try its
 * parts. */
bool cs_crashes_may_wait (cs_call_t *c);
/* True if the request is not to be sent to another back end behind a break. */
bool cs_crashes_is_doubtful (const cs_call_t *c);
/* Tells other daemons what this one has found; called at each tick. */
void cs_crashes_tick (cs_forward_t *f, int64_t now_ms);
/* Takes over a cause that the store keeps. */
void cs_crashes_receive_kept (cs_forward_t *f, const cs_crash_msg_t *m);
/* request_metrics.c */
void cs_counts_request_ended (const cs_call_t *c);
void cs_counts_attempt_ended (const cs_attempt_t *result);
/* service_counts.c: metrics by service */
void cs_service_counts_request (cs_forward_t *f, const char *service);
void cs_service_counts_repeat (cs_forward_t *f, const char *service, bool is_granted);
/* id_before: the refused request had been sent on that connection before. */
void cs_service_counts_refusal (cs_forward_t *f, const char *service, bool id_before);

#endif
