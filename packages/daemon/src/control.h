/* State and internal interfaces of the control task, which applies the records of the log to
 * state machines, makes all decisions and sends the resulting messages. Times ending in _ms are on
 * the monotonic clock of cs_now_ms (). */
#ifndef CS_CONTROL_H
#define CS_CONTROL_H

#include "cs/admission.h"
#include "cs/applier.h"
#include "cs/claim_home.h"
#include "cs/claimant.h"
#include "cs/config.h"
#include "cs/counters.h"
#include "cs/crash_check.h"
#include "cs/evidence.h"
#include "cs/failure_detector.h"
#include "cs/groups.h"
#include "cs/hash.h"
#include "cs/limits.h"
#include "cs/log.h"
#include "cs/members.h"
#include "cs/messages.h"
#include "cs/offers.h"
#include "cs/planner.h"
#include "cs/poison.h"
#include "cs/retry.h"
#include "cs/router.h"
#include "cs/settings.h"
#include "cs/writer.h"

typedef struct control control_t;

/* Maps a writer's ticket to the claimant's ticket for the same record. */
typedef struct {
	uint64_t ticket;
	uint64_t claim_ticket;
	uint64_t from; /* incarnation of the claimant's daemon; 0: this daemon */
} ticket_t;

/* One stream of the log: its applier and the writer for this daemon's records. */
typedef struct {
	control_t *control;
	char *name;
	cs_applier_t applier;
	cs_writer_t writer;
	int shard; /* number of a claims stream's shard; -1 for other streams */
	cs_claims_t claims;
	bool is_followed;       /* is being read; false only for claims streams */
	uint64_t home;          /* incarnation of the shard's home at the last tick; 0: none */
	int64_t home_since_ms;  /* when `home` last changed */
	int64_t last_needed_ms; /* when this daemon last needed the stream */
	ticket_t *tickets;
	size_t n_tickets, cap_tickets;
	bool is_log_unresponsive;  /* the last read of the log was not answered */
	uint64_t best_peer_offset; /* next offset of best_peer */
	uint64_t best_peer;        /* incarnation whose heartbeat carried the highest next offset */
} stream_t;

typedef enum {
	JOB_QUEUED,   /* waiting for a target */
	JOB_CLAIMING, /* protected request, waiting for its claim */
	JOB_RUNNING,  /* an attempt is in progress */
	JOB_HELD,     /* its attempt broke; waiting for evidence of a crash */
	JOB_DELAYED   /* waiting for its retry */
} job_state_t;

/* One caller's request while this daemon works on it. */
typedef struct {
	uint64_t id;
	cs_request_t *request;
	job_state_t state;
	char *service;       /* name of the model group or plain service it runs on */
	bool is_model_group; /* runs on a model group */
	bool is_protected;
	bool is_replica_lost;        /* the group lost a member; the attempt is being cancelled */
	bool is_caller_disconnected; /* the caller has disconnected */
	bool is_answer_started;      /* HEAD has been sent to the caller */
	uint32_t priority;
	uint32_t attempt;
	uint32_t tokens; /* number of tokens sent to the caller */
	char *target;    /* name of the last attempt's target */
	char *group;     /* group of the last attempt; "" for a plain service */
	uint64_t fence;
	char *members; /* of that group: NUL-terminated names, then an empty one; NULL: unknown */
	char *adapter;
	uint64_t fingerprint;
	uint64_t prefix;
	cs_limits_hold_t hold;
	int64_t queued_us;
	int64_t due_ms;          /* JOB_HELD: end of the hold; JOB_DELAYED: time of the retry */
	int64_t resume_until_ms; /* until when an interrupted stream waits for a replica */
	uint32_t idle_timeout_ms;
	uint32_t shard;               /* of the claims stream that holds its claim */
	uint32_t claim_attempt;       /* attempt number that its claim requires; 0: none yet */
	int64_t overload_retry_ms;    /* retry delay given by the queue of its service */
	cs_crash_check_t crash_check; /* poll answers of the members, while held */
	cs_attempt_end_msg_t *failed_attempt; /* end of the broken attempt, while held; owned */
	UT_hash_handle hh;
} job_t;

/* Admission queue of one service or model group. */
typedef struct {
	char *service;
	cs_admission_t admission;
	UT_hash_handle hh;
} queue_t;

/* An operator's request whose answer is pending. */
typedef struct pending {
	cs_request_t *request;
	char *change_id; /* apply; NULL for watch */
	uint64_t since;  /* watch: offset of the next event to send */
	int64_t deadline_ms;
	struct pending *next;
} pending_t;

struct control {
	cs_task_t *task;
	const cs_settings_t *settings;
	cs_task_t *platform, *engine, *gateway, *peer;
	uint64_t own_incarnation; /* this daemon's incarnation */

	stream_t control_stream;
	stream_t zone_stream;
	stream_t *shards;
	size_t n_shards;

	cs_members_t members;
	cs_detector_t detector;
	cs_config_t config;
	cs_poison_t poison;
	cs_groups_t groups;
	cs_evidence_t evidence;
	cs_planner_t planner;
	cs_router_t router;
	bool targets_current; /* router targets updated since the last begin_iteration () */
	cs_limits_t limits;
	cs_retry_t retry;
	cs_claimant_t claimant;
	cs_claim_home_t claim_home;

	cs_vms_msg_t *vms; /* last VM list read successfully; owned reference */
	int64_t vms_ms;

	cs_offers_t offers;
	job_t *jobs;
	queue_t *queues;
	pending_t *pending;

	ev_timer fast_timer; /* every 100 ms: polls, retries, queues, evidence */
	ev_timer slow_timer; /* every CS_TICK_MS: membership, heartbeats, plans */
	ev_signal terminate;
	ev_signal interrupt;

	int64_t polled_ms;     /* when the zone's VMs were last polled */
	uint64_t poll_round;   /* number of poll rounds so far */
	size_t n_heads;        /* head members polled in the last round */
	size_t n_heads_polled; /* head members polled in this round so far */
	size_t n_gathered;     /* VMs that this daemon polls as their gatherer */
	bool was_joined;       /* at the last tick */
	bool join_sent;
	bool shard_count_differs; /* claim_shards differs from the other daemons': not joining */
	bool is_rejoining;        /* an earlier membership of this process has ended */
	bool is_name_taken;       /* another daemon is a member with this daemon's name */
	bool ready;
	bool draining;
	bool drained;
	bool leave_sent;
	int64_t drain_deadline_ms;
	uint64_t n_finished; /* requests that ended since the drain began */
};

/* streams.c */
void streams_init (control_t *c);
void streams_finish (control_t *c);
void streams_start (control_t *c);
void streams_records (control_t *c, cs_records_msg_t *m);
void streams_appended (control_t *c, const cs_appended_msg_t *m);
stream_t *stream_find (control_t *c, const char *name);
/* Starts or moves the reading of the stream at the offset that its applier needs next. */
void stream_follow (control_t *c, stream_t *s);
/* Stops reading a claims stream and discards its state. */
void stream_stop_reading (control_t *c, stream_t *s);
/* Sends the records queued in the writers and processes the outcomes of appends. */
void streams_flush (control_t *c);
/* Submits snapshots that are due. */
void streams_snapshots (control_t *c, int64_t now);
/* True if the control stream's applier reached the end of the log by a read sent in the last
 * CS_LOG_CURRENT_MS. */
bool log_current (const control_t *c, int64_t now);
/* Sets the incarnation of all writers to c->me. */
void streams_set_incarnation (control_t *c);

/* state_machines.c: adapters from the modules' interfaces to cs_state_machine_ops_t. */
extern const cs_state_machine_ops_t groups_state_machine;
extern const cs_state_machine_ops_t poison_state_machine;
extern const cs_state_machine_ops_t own_claims_state_machine; /* state: stream_t */

/* membership.c */
enum {
	MAX_TEAMS = 256
};
/* Storage for the team limits in a heartbeat. */
typedef struct {
	Cs__TeamDemand teams[MAX_TEAMS];
	Cs__TeamDemand *list[MAX_TEAMS];
	Cs__TeamQuota quotas[MAX_TEAMS][CS_DIMS];
} quotas_t;
/* Sets the heartbeat's team demand for one peer; h then points into `out`. */
void quotas_fill (control_t *c, int64_t now, uint64_t peer, quotas_t *out, Cs__Heartbeat *h);
void quotas_receive (control_t *c, uint64_t from, const Cs__Heartbeat *h, int64_t sent);

void membership_init (control_t *c);
/* Joins, detects this daemon's own exclusion, and tells the gateway whether to admit requests. */
void membership_tick (control_t *c, int64_t now);
void membership_heartbeats (control_t *c, int64_t now);
/* Decides configuration proposals. New acknowledgements are sent at once, in an extra heartbeat. */
void membership_decide (control_t *c, int64_t now);
void membership_received (control_t *c, const cs_peer_received_msg_t *m);

void send_peer (control_t *c, const char *address, uint64_t to, Cs__Peer *peer);

/* catch_up.c: transfer of state from peers while the log is down. */
/* Updates the best peer of each stream from the offsets in a heartbeat. */
void catch_up_record_offsets (control_t *c, const cs_member_t *from, const Cs__Heartbeat *h);
void catch_up_tick (control_t *c, int64_t now);
void catch_up_receive_request (control_t *c, const Cs__StateRequest *r);
void catch_up_receive_reply (control_t *c, const Cs__StateReply *r);

/* offers.c: updates the router's targets in other zones. */
void offers_targets (control_t *c, int64_t now);

/* zone.c */
void zone_vms (control_t *c, cs_vms_msg_t *m);
/* Passes the last VM list to the evidence again. */
void zone_reload_vm_list (control_t *c);
void zone_report (control_t *c, const cs_report_msg_t *m);
void zone_order_result (control_t *c, const cs_order_result_msg_t *m);
void zone_poll (control_t *c, int64_t now);
void zone_plan (control_t *c, int64_t now);
/* Polls each member of a group at once; returns the number of members, 0 for an unknown group. */
uint32_t zone_poll_group (control_t *c, const char *group);
/* Whether the group is complete under this fencing number and may serve requests now. */
bool zone_is_group_complete (const control_t *c, const char *group, uint64_t fence, int64_t now);

/* targets.c */
/* Updates the router's targets from the configuration, evidence and offers. */
void targets_update (control_t *c, int64_t now);
/* Updates the list of serving groups that is used to place suspect requests. */
void targets_update_serving (control_t *c, int64_t now);

/* configure.c: applies the current configuration to the limits, retries and router. */
void configure (control_t *c, int64_t now);
/* The same for records just applied, before the next tick and before they are answered; leaves out
 * the periodic work on limits and ejections. */
void configure_applied (control_t *c, int64_t now);
/* The policy in force, or the default policy if none is declared. Its pointers are borrowed. */
Cs__Policy configure_policy (const control_t *c);

/* serve.c */
enum {
	BROKEN_RETRY_MS = 2000 /* Retry-After of a refusal after a back end failed */
};
void serve_admit (control_t *c, cs_request_t *request);
void serve_caller_disconnected (control_t *c, const cs_request_t *request);
void serve_tick (control_t *c, int64_t now);
/* Continues held and delayed jobs whose wait has ended. */
void serve_due (control_t *c, int64_t now);
/* Refuses every protected job; used when the membership of this incarnation has ended. */
void serve_abandon_protected (control_t *c);
void serve_finish (control_t *c);
/* Jobs and queues, used by the files that serve requests. */
job_t *job_find (control_t *c, uint64_t id);
void job_free (control_t *c, job_t *j);
void job_end (control_t *c, job_t *j);
/* Outcome of a waiting request: not run unless an attempt was made. */
cs_outcome_t job_outcome (const job_t *j);
void job_refuse (control_t *c, job_t *j, int status, const char *type, cs_outcome_t outcome,
		 int64_t retry_after_ms, const char *detail);
/* Starts one attempt on the target of the route. */
void job_dispatch (control_t *c, job_t *j, const cs_route_t *route, uint32_t attempt, bool buffer);
cs_status_t job_pick (control_t *c, job_t *j, const char *only, cs_route_t *route);
/* Picks a target for the job; a request suspected of crashes is isolated. CS_CONFLICT: the request
 * is refused since it crashed the replicas that ran it. */
cs_status_t job_place (control_t *c, job_t *j, cs_route_t *route);
queue_t *queue_of (control_t *c, const char *service);

/* Tries to run a job now; false if the job must wait for capacity. */
bool job_run (control_t *c, job_t *j);
void queue_pump (control_t *c, queue_t *q);
/* Puts a job into the queue of its service, or refuses the job if the queue is overloaded. */
void queue_enter (control_t *c, job_t *j);

/* attempt.c */
void serve_attempt_end (control_t *c, cs_attempt_end_msg_t *m);
typedef enum {
	MEMBER_ALIVE, /* it holds the group's assignment */
	MEMBER_DEAD,  /* it has ended or left the group */
	MEMBER_NO_ANSWER
} member_answer_t;

/* Processes a member's answer to a poll sent at poll_sent_ms; true if the member must be polled
 * again. */
bool serve_member_polled (control_t *c, const cs_vm_t *vm, int64_t poll_sent_ms,
			  member_answer_t answer);
/* A member of the group is dead or silent, so the replica cannot serve: cancels the attempts on the
 * group that can be resumed on another replica. */
void attempt_member_lost (control_t *c, const char *group, uint64_t fence);
/* Cancels resumable attempts on groups that lost a member and were formed again or dissolved. */
void attempt_superseded (control_t *c, int64_t now);
/* Whether the hold of a job has ended: its crash record is applied or due_ms has passed. */
bool attempt_hold_over (const control_t *c, const job_t *j, int64_t now);
void attempt_release (control_t *c, job_t *j);
/* Submits Crash records for the crashes that this daemon has evidence of. */
void attempt_crashes (control_t *c);

/* resolve.c: finds the service or model group of a request in the declared resources. */
bool resolve (control_t *c, job_t *j);

/* protect.c: protected requests. */
void protect_submit (control_t *c, job_t *j);
void protect_attempt_end (control_t *c, job_t *j, cs_attempt_end_msg_t *m);
void protect_caller_disconnected (control_t *c, job_t *j);
/* Reports to the claimant that the attempt was not sent; `placed` is the reason. The caller then
 * calls protect_run, which may end the job. */
void protect_not_sent (control_t *c, job_t *j, cs_status_t placed);
/* Carries out the claimant's actions. */
void protect_run (control_t *c);
void protect_tick (control_t *c, int64_t now);
cs_shard_view_t protect_shard_view (const stream_t *s);

/* homes.c: selects the claims streams that this daemon reads, and forwards claims to homes. */
/* Recomputes the homes of all shards; starts reading the shards that are needed on this daemon and
 * stops reading unused ones. */
void homes_tick (control_t *c, int64_t now);
void homes_forward (control_t *c, cs_claim_action_t *a);
/* Starts reading the shard if this daemon is its home or no home is known. */
void homes_prepare_shard (control_t *c, stream_t *s);
/* Starts reading the shard since its home does not answer; no effect if the log is not current. */
void homes_fall_back (control_t *c, uint32_t shard);
void homes_receive_request (control_t *c, uint64_t from, const Cs__ClaimRequest *m);
void homes_receive_reply (control_t *c, const Cs__ClaimReply *m);
/* Sends requesters the replies that are due after a change of the shard. */
void homes_send_replies (control_t *c, stream_t *s);

/* operate.c, apply.c, status.c: operators' requests. */
void operate (control_t *c, cs_request_t *request);
void operate_tick (control_t *c, int64_t now);
/* The operator of a watch or of a pending change has disconnected. */
void operate_caller_disconnected (control_t *c, const cs_request_t *request);
void operate_finish (control_t *c);
void apply_change (control_t *c, cs_request_t *request);
void status_get (control_t *c, cs_request_t *request);
void explain_get (control_t *c, cs_request_t *request, cs_str_t what, cs_str_t id);
/* Sends a complete answer; takes ownership of body. */
void answer_complete (control_t *c, cs_request_t *request, int status, const char *content_type,
		      cs_buf_t *body);
/* The same for a json_t value; takes over the reference. */
void answer_json (control_t *c, cs_request_t *request, int status, void *json);
void pending_add (control_t *c, cs_request_t *request, const char *change_id, uint64_t since,
		  int64_t deadline_ms);

/* drain.c */
void drain_begin (control_t *c);
void drain_tick (control_t *c, int64_t now);

#endif
