/* Settings of a daemon on a hosted platform, and the interface that a platform adapter implements.
 * Names that the platform defines occur only in the adapter (platform/). */
#ifndef CS_HOST_H
#define CS_HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "cs/str.h"

typedef enum {
	CS_ORDER_JOIN,
	CS_ORDER_OPEN,
	CS_ORDER_CLOSE,
	CS_ORDER_STAGE,
	CS_ORDER_LEAVE
} cs_order_kind_t;

/* A command to a back end about its membership of a group. */
typedef struct {
	cs_order_kind_t kind;
	const char *group;
	uint64_t epoch;
	const char *model;
	const char *const *members; /* JOIN: the first is the head */
	size_t n_members;
	bool expects_sequence; /* refuse unless the back end has accepted `sequence` orders so far
				*/
	uint64_t sequence;
	bool abort_requests; /* CLOSE: abort the requests in progress */
} cs_order_t;

/* Header names between callers, this system and back ends. */
typedef struct {
	const char *request_id; /* unique for each attempt of a caller; echoed in responses */
	const char *deadline;   /* how long the sender will wait, in ms */
	const char *key;        /* key of the caller's team; never forwarded */
	const char *team;       /* set for the back end; a value sent by the caller is replaced */
	const char *expected_backend; /* others reject the request without running it */
	const char *signature;        /* proves that the response comes from a back end */
	const char *not_run;          /* the back end did not and will not run the request */
	const char *load;             /* running and waiting requests, and slots, of the back end */
	const char *model;
	const char *last_event_id; /* the caller has received the stream up to this event */
	const char *fault_at;      /* back end that prevents a group from working */
	const char *leaving;       /* the back end that answers leaves */
	const char *retry_after;   /* with 503: for how long the back end wants no requests */
	const char *prompt;        /* the parts of the request's prompt */
	const char *tokens;        /* of the prompt, and of the longest answer that is wanted */
	const char *cold;          /* in a report of health: for how long it stays cold, in ms */
} cs_header_names_t;

enum {
	CS_PROMPT_MAX_PARTS = 32, /* of one prompt; one with more is treated as one without parts */
	CS_MAX_TOKENS = 10000000  /* of one prompt or answer */
};

/* Content of a back end's response to a report request. */
typedef struct {
	char group[128];
	uint64_t epoch;
	int state;         /* cs_membership_state_t */
	uint64_t sequence; /* orders accepted in this incarnation */
} cs_report_t;

typedef struct {
	const cs_header_names_t *headers;
	const char *order_path;
	const char *report_path;
	const char *ready_path;
	/* Appends the body of the order request to out. */
	void (*encode_order) (const cs_order_t *order, cs_buf_t *out);
	bool (*decode_report) (cs_str_t body, cs_report_t *out);
	/* Parses running and waiting requests from a load header; false if malformed. */
	bool (*decode_load) (cs_str_t value, uint32_t *running, uint32_t *waiting);
	/* Parses the time in a retry_after header; false if malformed. */
	bool (*decode_retry_after) (cs_str_t value, uint32_t *ms);
	/* Parses the ids of a prompt's parts but for the last one, which no other prompt has.
	 * Returns their number, at most CS_PROMPT_MAX_PARTS; 0 if the header is malformed. */
	size_t (*decode_prompt) (cs_str_t value, uint64_t *parts);
	/* Parses the numbers of tokens of a prompt and of its longest answer, each at most
	 * CS_MAX_TOKENS; false if malformed. */
	bool (*decode_tokens) (cs_str_t value, uint32_t *prompt, uint32_t *answer);
} cs_adapter_t;

/* An availability zone of the platform. */
typedef struct {
	char *name;
	char *region;
} cs_host_zone_t;

typedef struct {
	const cs_adapter_t *adapter;
	char *name;
	char *zone;
	char *listen_callers;     /* IP:PORT */
	char *listen_ready;       /* IP:PORT of the readiness endpoint */
	char *listen_metrics;     /* IP:PORT */
	char *listen_internal;    /* IP:PORT for other daemons */
	char *store_address;      /* IP:PORT of the metadata store */
	uint32_t change_bound_ms; /* a change is to be in force everywhere; 0: not stated */
	uint32_t heartbeat_ms;    /* heartbeat interval of back ends in the list */
	uint32_t grace_ms;        /* from SIGTERM to SIGKILL */
	uint32_t stall_ms;       /* a group that lacks a member is broken after it; 0: not stated */
	uint32_t load_window_ms; /* in which loads of weights are counted; 0: not stated */
	double load_overshoot;   /* factor by which their rate may be exceeded in one */
	uint32_t lease_min_ms;   /* shortest lease that the store grants */
	uint32_t record_bytes;   /* longest record that the store takes */
	double link_mbps;        /* of this machine; 0: unknown */
	double cores;            /* that this process gets, mostly a part of one; 0: unknown */
	double retry_ratio;      /* repeats to requests of a service, all daemons */
	double retry_slack;      /* repeats of a service beside these in a window, all daemons */
	uint32_t retry_window_ms;
	uint32_t evacuation_ms; /* after it an evacuated zone gets no requests; 0: not stated */
	double cold_overshoot;  /* factor by which the rate of a cold back end may be exceeded in
				   one second; 0: no bound is stated */
	double cold_slack;      /* requests beside these */
	char *region;           /* of this daemon; "": unknown */
	cs_host_zone_t *zones;  /* of the platform, with their regions */
	size_t n_zones;
	size_t memory_bytes; /* the process is killed beyond; 0: unknown */
	uint32_t max_connections;
	bool first_start; /* the whole system starts for the first time */
} cs_host_t;

/* Applies the settings that can change at run time: heartbeat_ms, grace_ms, lease_min_ms,
 * retry_ratio, retry_slack, retry_window_ms, evacuation_ms, cold_overshoot and cold_slack. Appends
 * "NAME=OLD->NEW " for each that changed, and "NAME=restart " for each other field that differs,
 * which takes effect at the next start. False if nothing differs. */
bool cs_host_apply_settings (cs_host_t *current, const cs_host_t *next, cs_buf_t *changes);
/* The region of the zone; "" if it is not known. */
const char *cs_host_region_of (const cs_host_t *host, const char *zone);

#endif
