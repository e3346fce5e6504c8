/* The control task: holds the state that is folded from the log and all decisions, and
 * maps them to messages. Shared by the files of this package. */
#ifndef CS_CONTROL_H
#define CS_CONTROL_H

#include "cs/admission.h"
#include "cs/claim_home.h"
#include "cs/claimant.h"
#include "cs/config.h"
#include "cs/counters.h"
#include "cs/crash_check.h"
#include "cs/evidence.h"
#include "cs/fold.h"
#include "cs/groups.h"
#include "cs/hash.h"
#include "cs/hearing.h"
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

/* Pairs a writer's ticket with the claimant's. */
typedef struct {
	uint64_t ticket;
	uint64_t claim_ticket;
	uint64_t from; /* the daemon whose claimant it is; 0: this one */
} ticket_t;

/* One stream of the log: its fold and the writer of this daemon's records. */
typedef struct {
	control_t *control;
	char *name;
	cs_fold_t fold;
	cs_writer_t writer;
	int shard; /* of a claims stream; -1 for others */
	cs_claims_t claims;
	bool followed;     /* is read; only claims streams may not be */
	uint64_t home;     /* of the shard, when last looked */
	int64_t home_ms;   /* since when */
	int64_t needed_ms; /* when it was last needed here */
	ticket_t *tickets;
	size_t n_tickets, cap_tickets;
	bool log_silent;      /* the last read had no answer */
	uint64_t peer_offset; /* highest next offset that a heartbeat has named */
	uint64_t peer;        /* who did */
} stream_t;

typedef enum {
	JOB_QUEUED,   /* waits for a target */
	JOB_CLAIMING, /* a protected request waits for its claim */
	JOB_RUNNING,  /* an attempt is in progress */
	JOB_HELD,     /* its group broke; it waits for the evidence of a crash */
	JOB_DELAYED   /* waits for its retry */
} job_state_t;

/* One caller's request while this daemon works on it. */
typedef struct {
	uint64_t id;
	cs_request_t *request;
	job_state_t state;
	char *service; /* name of the model group or plain service it runs on */
	bool model;    /* runs on a model group */
	bool is_protected;
	bool lost;      /* its group has lost a member: the attempt is being cancelled */
	bool gone;      /* the caller has left */
	bool answering; /* HEAD has been sent to the caller */
	uint32_t priority;
	uint32_t attempt;
	uint32_t tokens; /* passed on to the caller */
	char *target;    /* of the running attempt */
	char *group;     /* the group it ran on last */
	uint64_t fence;
	char *members; /* of that group: NUL-ended names, then an empty one; NULL: not known */
	char *adapter;
	uint64_t fingerprint;
	uint64_t prefix;
	cs_limits_hold_t hold;
	int64_t queued_us;
	int64_t due_ms;          /* JOB_HELD: end of the hold; JOB_DELAYED: time of the retry */
	int64_t resume_until_ms; /* a stream that was cut waits so long for a replica */
	uint32_t silence_ms;
	uint32_t shard;               /* of its claim */
	uint32_t claim_attempt;       /* that its claim asks for; 0: none yet */
	int64_t busy_retry_ms;        /* when the queue of its service lets it come again */
	cs_crash_check_t crash_check; /* members' answers, while held */
	cs_attempt_end_msg_t *failed; /* the attempt that broke, while held */
	UT_hash_handle hh;
} job_t;

/* The queue of one service. */
typedef struct {
	char *service;
	cs_admission_t admission;
	UT_hash_handle hh;
} queue_t;

/* An operator's request that is answered later. */
typedef struct pending {
	cs_request_t *request;
	char *change_id; /* apply; NULL for watch */
	uint64_t since;  /* watch: next offset to send */
	int64_t deadline_ms;
	struct pending *next;
} pending_t;

struct control {
	cs_task_t *task;
	const cs_settings_t *settings;
	cs_task_t *platform, *engine, *gateway, *peer;
	uint64_t me; /* this daemon's incarnation */

	stream_t control_stream;
	stream_t zone_stream;
	stream_t *shards;
	size_t n_shards;

	cs_members_t members;
	cs_hearing_t hearing;
	cs_config_t config;
	cs_poison_t poison;
	cs_groups_t groups;
	cs_evidence_t evidence;
	cs_planner_t planner;
	cs_router_t router;
	bool targets_current; /* brought up to date in this turn of the loop */
	cs_limits_t limits;
	cs_retry_t retry;
	cs_claimant_t claimant;
	cs_claim_home_t claim_home;

	cs_vms_msg_t *vms; /* last good reading of the VM list */
	int64_t vms_ms;

	cs_offers_t offers;
	job_t *jobs;
	queue_t *queues;
	pending_t *pending;

	ev_timer fast; /* retries, queues, evidence */
	ev_timer slow; /* heartbeats, plans */
	ev_signal terminate;
	ev_signal interrupt;

	int64_t polled_ms;     /* when the zone's VMs were last polled */
	uint64_t poll_round;   /* rounds of polls so far */
	size_t n_heads;        /* head members polled in the last round */
	size_t n_heads_polled; /* and in this one */
	size_t n_gathered;     /* VMs polled by this daemon as their gatherer */
	bool was_joined;       /* at the last tick */
	bool join_sent;
	bool shards_differ; /* from the other daemons: it may not join */
	bool joins_anew;    /* its first membership has ended */
	bool name_taken;    /* meanwhile, by another daemon */
	bool ready;
	bool draining;
	bool drained;
	bool leave_sent;
	int64_t drain_deadline_ms;
	uint64_t finished; /* requests ended since the drain began */
};

/* streams.c */
void streams_init (control_t *c);
void streams_finish (control_t *c);
void streams_start (control_t *c);
void streams_records (control_t *c, cs_records_msg_t *m);
void streams_appended (control_t *c, const cs_appended_msg_t *m);
stream_t *stream_find (control_t *c, const char *name);
/* Reads the stream from the offset that its fold wants. */
void stream_follow (control_t *c, stream_t *s);
/* Stops reading a claims stream and forgets its state. */
void stream_leave (control_t *c, stream_t *s);
/* Sends what writers have, takes outcomes in. */
void streams_pump (control_t *c);
/* Submits snapshots that are due. */
void streams_snapshots (control_t *c, int64_t now);
/* True if the control stream's fold is recent. */
bool log_current (const control_t *c, int64_t now);
/* Gives all writers the incarnation c->me. */
void streams_rename (control_t *c);

/* parts.c: adapters that let a fold judge records for modules with other shapes. */
extern const cs_fold_ops_t groups_part;
extern const cs_fold_ops_t poison_part;
extern const cs_fold_ops_t own_claims_part; /* state: stream_t */

/* membership.c */
enum {
	MAX_TEAMS = 256
};
/* Room for a heartbeat's part on the limits of teams. */
typedef struct {
	Cs__TeamDemand teams[MAX_TEAMS];
	Cs__TeamDemand *list[MAX_TEAMS];
	Cs__TeamQuota quotas[MAX_TEAMS][CS_DIMS];
} quotas_t;
/* Fills in what to tell a peer; h refers to `out` after that. */
void quotas_fill (control_t *c, int64_t now, uint64_t peer, quotas_t *out, Cs__Heartbeat *h);
void quotas_take (control_t *c, uint64_t from, const Cs__Heartbeat *h, int64_t sent);

void membership_init (control_t *c);
/* Joins, notices its own exclusion, tells the gateway whether it may admit. */
void membership_tick (control_t *c, int64_t now);
void membership_heartbeats (control_t *c, int64_t now);
/* Decides proposals; sends acknowledgements without waiting for the next heartbeat. */
void membership_decide (control_t *c, int64_t now);
void membership_received (control_t *c, const cs_peer_received_msg_t *m);

void send_peer (control_t *c, const char *address, uint64_t to, Cs__Peer *peer);

/* catch_up.c: state from peers while the log is down. */
/* Notes which peer of a heartbeat is furthest ahead. */
void catch_up_heard (control_t *c, const cs_member_t *from, const Cs__Heartbeat *h);
void catch_up_tick (control_t *c, int64_t now);
void catch_up_asked (control_t *c, const Cs__StateRequest *r);
void catch_up_reply (control_t *c, const Cs__StateReply *r);

/* offers.c: brings the router's targets of other zones in line. */
void offers_targets (control_t *c, int64_t now);

/* zone.c */
void zone_vms (control_t *c, cs_vms_msg_t *m);
/* Tells the evidence what the last reading of the VM list says. */
void zone_relist (control_t *c);
void zone_report (control_t *c, const cs_report_msg_t *m);
void zone_order_result (control_t *c, const cs_order_result_msg_t *m);
void zone_poll (control_t *c, int64_t now);
void zone_plan (control_t *c, int64_t now);
/* Polls each member of a group now; returns how many. */
uint32_t zone_poll_group (control_t *c, const char *group);
/* Whether the group may take requests at this moment. */
bool zone_whole (const control_t *c, const char *group, uint64_t fence, int64_t now);

/* targets.c */
/* Brings the router's targets in line with configuration and evidence. */
void targets_update (control_t *c, int64_t now);
/* Tells which groups serve, for the placing of requests that are suspect. */
void targets_watch (control_t *c, int64_t now);

/* configure.c: puts folded configuration in force in limits, retries and queues. */
void configure (control_t *c, int64_t now);
/* Does so at once with what has just been folded, ahead of the tick and of answers. */
void configure_folded (control_t *c, int64_t now);
/* The policy in force, the default one where none is declared; borrowed. */
Cs__Policy configure_policy (const control_t *c);

/* serve.c */
enum {
	BROKEN_RETRY_MS = 2000 /* when to come back after a back end has failed */
};
void serve_admit (control_t *c, cs_request_t *request);
void serve_gone (control_t *c, const cs_request_t *request);
void serve_tick (control_t *c, int64_t now);
/* Goes on with the jobs whose wait is over. */
void serve_due (control_t *c, int64_t now);
/* Ends every job with a refusal; used when this incarnation has been excluded. */
void serve_abandon_protected (control_t *c);
void serve_finish (control_t *c);
/* Jobs and queues, used by the files of serving. */
job_t *job_find (control_t *c, uint64_t id);
void job_free (control_t *c, job_t *j);
void job_end (control_t *c, job_t *j);
/* What is known of a request that waits: not run, unless it has been tried before. */
cs_outcome_t job_outcome (const job_t *j);
void job_refuse (control_t *c, job_t *j, int status, const char *type, cs_outcome_t outcome,
		 int64_t retry_after_ms, const char *detail);
/* Runs one attempt on the target; url and fence come from the target. */
void job_dispatch (control_t *c, job_t *j, const cs_route_t *route, uint32_t attempt, bool buffer);
cs_status_t job_pick (control_t *c, job_t *j, const char *only, cs_route_t *route);
/* Finds the target of a job by what is known of its crashes; CS_CONFLICT: it may not run at
 * all, as it has crashed the replicas that ran it. */
cs_status_t job_place (control_t *c, job_t *j, cs_route_t *route);
queue_t *queue_of (control_t *c, const char *service);

/* Tries to run a job now; false if it has to wait for capacity. */
bool job_run (control_t *c, job_t *j);
void queue_pump (control_t *c, queue_t *q);
/* Puts a job that found all targets at capacity into the queue, or refuses it. */
void queue_enter (control_t *c, job_t *j);

/* attempt.c */
void serve_attempt_end (control_t *c, cs_attempt_end_msg_t *m);
/* A member of a group has been polled. */
/* A member answered a poll; true if it has to be asked again. */
bool serve_member_polled (control_t *c, const cs_vm_t *vm, int64_t asked_ms, bool dead);
/* A member of the group is dead or silent, and so is the replica: what runs on it goes
 * elsewhere. */
void attempt_member_lost (control_t *c, const char *group, uint64_t fence);
/* Ends attempts on groups that were formed anew, or dissolved, without a lost member. */
void attempt_superseded (control_t *c, int64_t now);
/* Whether a held job waits no longer: its crash is folded, or its time is over. */
bool attempt_hold_over (const control_t *c, const job_t *j, int64_t now);
void attempt_release (control_t *c, job_t *j);
/* Appends the records of crashes that this daemon has evidence of. */
void attempt_crashes (control_t *c);

/* resolve.c: what a request asks for, by the declared resources. */
bool resolve (control_t *c, job_t *j);

/* protect.c: protected requests. */
void protect_submit (control_t *c, job_t *j);
void protect_attempt_end (control_t *c, job_t *j, cs_attempt_end_msg_t *m);
void protect_gone (control_t *c, job_t *j);
/* The attempt that the claim asked for isn't sent; placed says why. protect_run does what
 * follows from it, which may end the job. */
void protect_not_sent (control_t *c, job_t *j, cs_status_t placed);
/* Carries out the claimant's actions. */
void protect_run (control_t *c);
void protect_tick (control_t *c, int64_t now);
cs_claim_fold_t protect_fold (const stream_t *s);

/* homes.c: which claims streams are read here, and claims that are forwarded. */
/* Looks up the homes of all shards; reads those that are needed here, leaves others. */
void homes_tick (control_t *c, int64_t now);
void homes_forward (control_t *c, cs_claim_action_t *a);
/* Reads the shard here if this daemon is its home. */
void homes_use (control_t *c, stream_t *s);
/* Reads the shard here, since its home is silent. */
void homes_fall_back (control_t *c, uint32_t shard);
void homes_asked (control_t *c, uint64_t from, const Cs__ClaimRequest *m);
void homes_told (control_t *c, const Cs__ClaimReply *m);
/* Tells askers what has changed in the shard. */
void homes_tell (control_t *c, stream_t *s);

/* operate.c: operators' requests; apply.c and status.c beside it. */
void operate (control_t *c, cs_request_t *request);
void operate_tick (control_t *c, int64_t now);
/* A watcher or an operator that waits for a decision has left. */
void operate_gone (control_t *c, const cs_request_t *request);
void operate_finish (control_t *c);
void apply_change (control_t *c, cs_request_t *request);
void status_get (control_t *c, cs_request_t *request);
void explain_get (control_t *c, cs_request_t *request, cs_str_t what, cs_str_t id);
/* Sends a whole answer; takes over body. */
void answer_whole (control_t *c, cs_request_t *request, int status, const char *content_type,
		   cs_buf_t *body);
/* The same with a JSON value, which is released. */
void answer_json (control_t *c, cs_request_t *request, int status, void *json);
void pending_add (control_t *c, cs_request_t *request, const char *change_id, uint64_t since,
		  int64_t deadline_ms);

/* drain.c */
void drain_begin (control_t *c);
void drain_tick (control_t *c, int64_t now);

#endif
