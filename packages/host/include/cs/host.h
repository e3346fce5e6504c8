/* A daemon on a hosted platform: its settings, and what an adapter has to provide. The
 * platform's own names stay in the adapter (platform/). */
#ifndef CS_HOST_H
#define CS_HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "cs/str.h"

typedef enum {
	CS_ORDER_JOIN,
	CS_ORDER_OPEN,
	CS_ORDER_CLOSE,
	CS_ORDER_STAGE
} cs_order_kind_t;

/* An order to a back end about its membership of a group. */
typedef struct {
	cs_order_kind_t kind;
	const char *group;
	uint64_t epoch;
	const char *model;
	const char *const *members; /* JOIN: the first is the head */
	size_t n_members;
	bool expects; /* refuse it unless the back end has taken `sequence` orders so far */
	uint64_t sequence;
	bool cut; /* CLOSE: end the requests in progress */
} cs_order_t;

/* Header names between callers, this system and back ends. */
typedef struct {
	const char *request_id;       /* one for each attempt of a caller; echoed in answers */
	const char *deadline;         /* ms that the sender will wait */
	const char *key;              /* of the caller's team; never passed on */
	const char *team;             /* set for the back end, whatever the caller sent */
	const char *expected_backend; /* another one refuses the request unrun */
	const char *signature;        /* proves that a back end made the answer */
	const char *not_run;          /* the back end did not and will not run the request */
	const char *load;             /* running, waiting and slots of the back end */
	const char *model;
	const char *last_event_id; /* the caller has the stream up to this event */
	const char *fault_at;      /* back end that keeps a group from working */
} cs_header_names_t;

/* What the answer to a report says. */
typedef struct {
	char group[128];
	uint64_t epoch;
	int state;         /* cs_member_state_t */
	uint64_t sequence; /* orders taken in this life */
} cs_report_t;

typedef struct {
	const cs_header_names_t *headers;
	const char *order_path;
	const char *report_path;
	const char *ready_path;
	/* Appends the order's body. */
	void (*encode_order) (const cs_order_t *order, cs_buf_t *out);
	bool (*decode_report) (cs_str_t body, cs_report_t *out);
	/* Running and waiting requests of a load header. */
	bool (*decode_load) (cs_str_t value, uint32_t *running, uint32_t *waiting);
} cs_adapter_t;

typedef struct {
	const cs_adapter_t *adapter;
	char *name;
	char *zone;
	char *listen_callers;  /* IP:PORT */
	char *listen_ready;    /* IP:PORT of readiness */
	char *listen_metrics;  /* IP:PORT */
	char *listen_internal; /* IP:PORT for other daemons */
	char *store_address;   /* IP:PORT of the metadata store */
	uint32_t heartbeat_ms; /* of back ends in the list */
	uint32_t grace_ms;     /* from SIGTERM to SIGKILL */
	uint32_t lease_min_ms; /* shortest lease that the store grants */
	double retry_ratio;    /* repeats to first sendings of a service, all daemons */
	uint32_t max_connections;
	bool first_start; /* the whole system starts for the first time */
} cs_host_t;

/* Takes over the bounds of newer settings: heartbeat_ms, grace_ms, lease_min_ms and
 * retry_ratio. Appends "NAME=OLD->NEW " for each that changed, and "NAME=restart " for each
 * other field that differs, which holds from the next start. False if nothing differs. */
bool cs_host_adopt (cs_host_t *now, const cs_host_t *next, cs_buf_t *changes);

#endif
