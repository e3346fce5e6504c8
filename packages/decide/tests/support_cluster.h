/* Simulated cluster in memory. Daemons exchange heartbeats and use a simulated log; both links can
 * be interrupted, and daemons can be paused or crash. Time advances in steps of SUPPORT_STEP_MS. */
#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include "cs/config.h"
#include "support_log.h"

enum {
	SUPPORT_ZONES = 3,
	SUPPORT_DAEMONS = 9, /* three per zone */
	SUPPORT_STEP_MS = 100,
	SUPPORT_READ_MS = 200, /* between reads of the log */
	SUPPORT_INBOX = 4096   /* most packets queued for a paused daemon; more are lost */
};

typedef struct {
	uint64_t from;
	cs_buf_t bytes; /* packed Heartbeat */
} support_packet_t;

typedef struct {
	char name[8];
	char zone[8];
	size_t zone_index;
	uint64_t incarnation;
	bool crashed;
	bool paused;
	bool isolated;        /* no link to the log or to any daemon */
	bool log_unreachable; /* no link to the log */
	bool joined;          /* is a member by the state it has applied */
	bool join_submitted;  /* has submitted a JOIN */
	int64_t tick_ms;      /* time of the next tick */
	int64_t heartbeat_ms; /* when heartbeats were last sent */
	cs_members_t members;
	cs_config_t config;
	cs_applier_t applier;
	cs_writer_t writer;
	cs_detector_t detector;
	support_packet_t inbox[SUPPORT_INBOX];
	size_t n_inbox;
} support_daemon_t;

typedef struct {
	int64_t now_ms;
	support_log_t log;
	support_daemon_t daemons[SUPPORT_DAEMONS];
	bool zone_partitioned[SUPPORT_ZONES]; /* zone partitioned from other zones and from the log
					       */
	uint64_t incarnation;                 /* last one assigned */
	uint64_t heartbeats;                  /* number sent */
	uint64_t bytes;                       /* total size of the heartbeats sent */
	unsigned config_disabled;
	unsigned detector_disabled;
	/* Reference state: all records of the log, applied without faults. */
	cs_members_t members;
	cs_config_t config;
	cs_applier_t reference_applier;
} support_cluster_t;

void support_cluster_init (support_cluster_t *c, unsigned config_disabled,
			   unsigned hearing_disabled);
void support_cluster_finish (support_cluster_t *c);
void support_cluster_step (support_cluster_t *c);
/* Stops a daemon and starts it again with a new incarnation. */
void support_cluster_restart (support_cluster_t *c, support_daemon_t *d);
/* Submits a PROPOSE that sets the requests per minute of team "x"; expected is the version that
 * the change replaces. */
void support_cluster_propose (support_daemon_t *d, const char *change_id, uint64_t expected,
			      uint64_t requests_per_minute);
bool support_cluster_log_current (const support_cluster_t *c, const support_daemon_t *d);

#endif
