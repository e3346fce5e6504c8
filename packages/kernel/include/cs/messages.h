/* Typed messages between the tasks of a daemon.
 *
 * Tasks by name: "gateway" (callers and operators), "control" (all decisions),
 * "engine" (clients of back ends), "platform" (log, VM list), "peer" (other daemons).
 *
 * Messages for a caller's request:
 *   gateway -> control   ADMIT
 *   control -> gateway   REFUSE, or a complete answer as HEAD, BODY, END
 *   control -> engine    DISPATCH
 *   engine  -> gateway   HEAD, BODY, END    when dispatch.buffer is false
 *   engine  -> control   ATTEMPT_END        always, last
 *   gateway -> engine    FLOW               pause or resume reading for a slow caller
 *   gateway -> engine    WAITING            bytes of all answers that wait for slow callers
 *   gateway -> control   GONE               the caller has disconnected
 *   control -> engine    CANCEL
 * An operator's request: ADMIT with request->is_operator; control answers it without
 * the engine. */
#ifndef CS_MESSAGES_H
#define CS_MESSAGES_H

#include "cs/cache_event.h"
#include "cs/kernel.h"
#include "cs/str.h"
#include "cs/trace.h"

typedef enum {
	CS_MSG_ADMIT = 1,
	CS_MSG_REFUSE,
	CS_MSG_HEAD,
	CS_MSG_BODY,
	CS_MSG_END,
	CS_MSG_CALLER_DISCONNECTED,
	CS_MSG_FLOW,
	CS_MSG_WAITING,
	CS_MSG_DISPATCH,
	CS_MSG_CANCEL,
	CS_MSG_ATTEMPT_END,
	CS_MSG_POLL_VM,
	CS_MSG_VM_REPORT,
	CS_MSG_ORDER,
	CS_MSG_ORDER_RESULT,
	CS_MSG_APPEND,
	CS_MSG_APPENDED,
	CS_MSG_FOLLOW,
	CS_MSG_RECORDS,
	CS_MSG_VMS,
	CS_MSG_PEER_SEND,
	CS_MSG_PEER_RECEIVED,
	CS_MSG_DRAIN,   /* control -> gateway: refuse new requests */
	CS_MSG_DRAINED, /* gateway -> control: no request is in progress */
	CS_MSG_READY,   /* control -> gateway: requests may be admitted */
	CS_MSG_UNREADY, /* control -> gateway: requests may not be admitted until READY */
} cs_msg_kind_t;

/* What is known about a request's effect; sent to the caller with every refusal. */
typedef enum {
	CS_NOT_RUN,     /* proved not to have been executed */
	CS_RAN,         /* executed; the answer is included */
	CS_MAY_HAVE_RUN /* not known whether it was executed */
} cs_outcome_t;

/* Outcome of a request that is refused before its idempotency key, "" for none, was looked up: an
 * earlier submission with this key may have been executed. */
cs_outcome_t cs_outcome_before_lookup (cs_str_t key);

/* One request; shared by reference between the tasks that work on it.
 * Set by the gateway before ADMIT and constant from then on. */
typedef struct cs_request {
	cs_ref_t ref;
	uint64_t id; /* unique in this daemon */
	cs_trace_t trace;
	cs_str_t method;
	cs_str_t path;  /* with the query, as sent to a back end */
	cs_str_t query; /* the part of path after '?' */
	cs_str_t content_type;
	cs_str_t body;
	cs_str_t team; /* name of the caller's team; "" for operators */
	cs_str_t operator_name;
	cs_str_t service; /* plain services: NAME of /services/NAME/ */
	cs_str_t model;   /* model requests: "model" of the body */
	cs_str_t key;     /* Idempotency-Key, "" when there is none */
	cs_str_t prefix;  /* prompt prefix that engines may have cached, for affinity */
	bool is_operator;
	bool stream;         /* the caller asked for server-sent events */
	bool non_idempotent; /* the caller marked the request as non-idempotent */
	uint32_t max_tokens; /* 0 when not given */
	int64_t received_us; /* cs_now_us */
	int64_t deadline_ms; /* cs_now_ms clock; 0: none */
	void *connection;    /* private to the gateway */
} cs_request_t;

/* ADMIT, GONE, CANCEL; DRAIN, DRAINED, READY, UNREADY (request NULL). */
typedef struct {
	cs_msg_t msg;
	cs_request_t *request;
} cs_request_msg_t;

/* REFUSE: becomes an RFC 9457 problem document. */
typedef struct {
	cs_msg_t msg;
	cs_request_t *request;
	int status;       /* HTTP */
	const char *type; /* static: last part of the problem's URI, e.g. "limit-reached" */
	char *detail;     /* heap */
	cs_outcome_t outcome;
	int retry_after_s; /* 0: no Retry-After */
} cs_refuse_msg_t;

/* HEAD, BODY, END: parts of an answer to the caller. */
typedef struct {
	cs_msg_t msg;
	cs_request_t *request;
	int status;         /* HEAD */
	char *content_type; /* HEAD; heap */
	cs_buf_t bytes;     /* BODY */
	bool complete;      /* END: if false, the connection is closed to show the truncation */
} cs_answer_msg_t;

/* FLOW: pause or resume reading the back end's answer. */
typedef struct {
	cs_msg_t msg;
	cs_request_t *request;
	bool paused;
} cs_flow_msg_t;

/* WAITING: what the gateway holds for callers beyond what each may let wait, of all answers. */
typedef struct {
	cs_msg_t msg;
	size_t bytes;
} cs_waiting_msg_t;

enum {
	CS_URGENCY_LEAST = 7
};

/* DISPATCH: one attempt at a back end. */
typedef struct {
	cs_msg_t msg;
	cs_request_t *request;
	uint32_t attempt; /* from 1 */
	char *url;        /* http://IP:PORT of the head member or back end; heap */
	char *group;      /* "" for plain services; heap */
	uint64_t fence;
	bool is_model_group;      /* OpenAI-compatible: check group, fence and that the stream is
				     complete */
	bool buffer;              /* send the complete answer to control instead of the gateway */
	uint32_t idle_timeout_ms; /* as in cs_http_call_t */
	uint32_t resume_from; /* tokens that the caller already has; engines resume after them */
	uint32_t urgency;     /* of RFC 9218: 0 (most urgent) to CS_URGENCY_LEAST */
	uint64_t prefix;      /* hash of the prompt's prefix, for the engine's events; 0: none */
} cs_dispatch_msg_t;

typedef enum {
	CS_END_OK,          /* the answer is complete */
	CS_END_NOT_SENT,    /* no byte of the request was sent: it was not executed */
	CS_END_REFUSED,     /* the back end refused before running (see status) */
	CS_END_BROKEN,      /* the connection ended before the answer was complete */
	CS_END_TIMED_OUT,   /* no byte received for silence_ms */
	CS_END_WRONG_GROUP, /* the answer was for another request, group or fence; discarded */
	CS_END_CANCELLED
} cs_attempt_result_t;

/* ATTEMPT_END. */
typedef struct {
	cs_msg_t msg;
	cs_request_t *request;
	uint32_t attempt;
	cs_attempt_result_t result;
	int status; /* of the back end; 0 if none was received */
	char *content_type;
	cs_buf_t body;         /* complete answer if dispatch.buffer */
	bool reached_caller;   /* a byte of the answer was sent to the gateway */
	uint32_t tokens;       /* stream events forwarded in this attempt */
	int64_t first_byte_us; /* after dispatch; 0 if none was received */
	int64_t duration_us;
} cs_attempt_end_msg_t;

/* State of an engine member, as reported by it. */
typedef enum {
	CS_VM_UNREACHABLE,
	CS_VM_IDLE,    /* holds no assignment */
	CS_VM_LOADING, /* loading weights for its assignment */
	CS_VM_READY    /* serving its assignment */
} cs_vm_state_t;

/* POLL_VM: request a report from one VM. */
typedef struct {
	cs_msg_t msg;
	char *vm;
	char *url;
	bool wants_cache; /* request the cache events after the position below */
	uint64_t cache_epoch;
	uint64_t cache_after; /* number of the last event received */
} cs_poll_msg_t;

/* VM_REPORT: the answer to POLL_VM. */
typedef struct {
	cs_msg_t msg;
	char *vm;
	cs_vm_state_t state;
	bool is_connection_refused; /* unreachable with the connection refused: its process has
				       ended */
	char *group;
	uint64_t fence;
	char *model;
	uint32_t running;
	uint32_t queued;
	int64_t poll_sent_ms; /* when the poll was sent; lower bound of the report's time */
	uint64_t cache_epoch; /* of cache_events; 0: the report had no epoch */
	cs_cache_event_t cache_events[CS_MAX_CACHE_EVENTS];
	size_t n_cache_events;
} cs_report_msg_t;

/* ORDER: instruct a member to load or to release an assignment. */
typedef struct {
	cs_msg_t msg;
	char *vm;
	char *url;
	bool release;
	char *group;
	char *model;
	char *version;
	uint64_t fence;
	uint32_t rank;        /* 0 is the head */
	char *members;        /* URLs, comma separated, head first */
	uint32_t lifetime_ms; /* time from sending in which the engine may start on the order */
	uint64_t weight_bytes;
} cs_order_msg_t;

/* ORDER_RESULT. */
typedef struct {
	cs_msg_t msg;
	char *vm;
	char *group;
	uint64_t fence;
	bool accepted;
	bool is_fence_too_low;   /* the engine holds a higher fencing number */
	bool is_outcome_unknown; /* outcome unknown: the order may have taken effect */
	bool release;
} cs_order_result_msg_t;

/* APPEND: packed Records to append to the log together. ticket is chosen by the sender and
 * returned in APPENDED. */
typedef struct {
	cs_msg_t msg;
	char *stream;
	cs_buf_t *records;
	size_t n;
	uint64_t ticket;
} cs_append_msg_t;

/* APPENDED: CS_OK, CS_UNKNOWN (no answer: may have been appended), CS_UNAVAILABLE or
 * CS_EXHAUSTED (not appended). */
typedef struct {
	cs_msg_t msg;
	char *stream;
	uint64_t ticket;
	cs_status_t status;
} cs_appended_msg_t;

/* FOLLOW: subscribe to a stream from an offset on; RECORDS are sent until the daemon ends.
 * A later FOLLOW of the same stream moves the reader; offset 0 stops the reader. */
typedef struct {
	cs_msg_t msg;
	char *stream;
	uint64_t offset;
} cs_follow_msg_t;

typedef struct {
	uint64_t offset;
	cs_str_t bytes;
} cs_raw_record_t;

/* RECORDS: result of one read; n = 0 with CS_OK means that the reader is at the tail. */
typedef struct {
	cs_msg_t msg;
	char *stream;
	cs_status_t status; /* CS_UNAVAILABLE: the log did not answer */
	uint64_t begin;     /* oldest offset still in the stream */
	uint64_t end;       /* next offset to be written */
	cs_raw_record_t *records;
	size_t n;
	cs_buf_t storage;
	int64_t read_started_ms; /* when the read was sent; the tail is at least as recent */
} cs_records_msg_t;

/* One entry of the platform's VM list. */
typedef struct {
	char *vm;
	char *zone;
	char *fabric_domain;
	char *url;
	uint32_t accelerators;
	bool leaving;
} cs_vm_entry_t;

/* VMS: the complete list as last read; only back-end VMs of this daemon's zone. */
typedef struct {
	cs_msg_t msg;
	cs_status_t status;
	bool unchanged;          /* the list is the same as in the previous VMS; vms is empty */
	int64_t read_started_ms; /* when the read was sent */
	cs_vm_entry_t *vms;
	size_t n;
} cs_vms_msg_t;

/* PEER_SEND: to one daemon or, with incarnation 0, to all connected ones. */
typedef struct {
	cs_msg_t msg;
	uint64_t incarnation;
	char *address;  /* tcp://IP:PORT */
	cs_buf_t bytes; /* a packed Peer */
} cs_peer_send_msg_t;

/* PEER_RECEIVED: from another daemon. */
typedef struct {
	cs_msg_t msg;
	cs_buf_t bytes; /* a packed Peer */
} cs_peer_received_msg_t;

/* Constructors. Each message has one reference, owned by the caller until cs_send, and takes
 * its own reference to the request. Strings are copied, except type of
 * cs_refuse_msg, which must be static; members that are not set by an argument are zero. */
cs_request_msg_t *cs_request_msg (cs_msg_kind_t kind, cs_request_t *request);
cs_refuse_msg_t *cs_refuse_msg (cs_request_t *request, int status, const char *type,
				cs_outcome_t outcome, int retry_after_s, const char *format, ...)
	__attribute__ ((format (printf, 6, 7)));
cs_answer_msg_t *cs_answer_msg (cs_msg_kind_t kind, cs_request_t *request);
cs_flow_msg_t *cs_flow_msg (cs_request_t *request, bool paused);
cs_waiting_msg_t *cs_waiting_msg (size_t bytes);
cs_dispatch_msg_t *cs_dispatch_msg (cs_request_t *request);
cs_attempt_end_msg_t *cs_attempt_end_msg (cs_request_t *request);
cs_poll_msg_t *cs_poll_msg (const char *vm, const char *url);
cs_report_msg_t *cs_report_msg (const char *vm);
cs_order_msg_t *cs_order_msg (const char *vm, const char *url);
cs_order_result_msg_t *cs_order_result_msg (const char *vm);
/* The records are copied. */
cs_append_msg_t *cs_append_msg (const char *stream, uint64_t ticket, const cs_str_t *records,
				size_t n);
cs_appended_msg_t *cs_appended_msg (const char *stream, uint64_t ticket, cs_status_t status);
cs_follow_msg_t *cs_follow_msg (const char *stream, uint64_t offset);
cs_records_msg_t *cs_records_msg (const char *stream, cs_status_t status);
cs_vms_msg_t *cs_vms_msg (void);
cs_peer_send_msg_t *cs_peer_send_msg (uint64_t incarnation, const char *address);
cs_peer_received_msg_t *cs_peer_received_msg (void);

#endif
