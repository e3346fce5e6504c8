/* Simulation for tests of protected requests: several daemons with a claims state and a claimant
 * each, one stream of claims, and a service that counts the requests it ran. With homes, a
 * daemon reads the stream only while it is a home or has fallen back to reading, and forwards
 * records to its home otherwise. Time moves in steps of 10 ms; faults are drawn from the seed or
 * set by the test case. */
#ifndef SUPPORT_CLAIMS_H
#define SUPPORT_CLAIMS_H

#include "cs/claim_home.h"
#include "cs/claimant.h"
#include "cs/rng.h"

enum {
	WORLD_DAEMONS = 4,
	WORLD_KEYS = 64,
	WORLD_SUBMISSIONS = 256,
	WORLD_STEP_MS = 10
};

/* Rates of faults, per thousand: of appends unless a comment says otherwise. */
typedef struct {
	uint32_t refused;  /* definite failure */
	uint32_t lost;     /* takes effect, answer lost */
	uint32_t late;     /* answer lost, takes effect up to 6 s later */
	uint32_t vanished; /* answer lost, never takes effect */
	uint32_t not_sent; /* of attempts: no byte is sent */
	uint32_t declined; /* of attempts: refused by the back end's contract */
	uint32_t blocked;  /* of attempts: the request may not run anywhere */
	uint32_t busy;     /* of attempts: no back end has room in time */
	uint32_t broken;   /* of attempts: the result is lost; the request may run, even later */
	uint32_t stray;    /* of attempts: a result of another attempt comes first */
	uint32_t daemon_crashes; /* of steps: a daemon crashes and is replaced */
	uint32_t
		log_disconnects; /* of steps: a daemon loses or regains its connection to the log */
	uint32_t pauses;         /* of steps: a daemon is paused or resumed */
	uint32_t caller_leaves;  /* of submissions: the caller leaves */
	/* with homes: */
	uint32_t requests_lost;     /* of messages to a home */
	uint32_t replies_lost;      /* of a home's messages */
	uint32_t replies_late;      /* of a home's messages: arrive up to 6 s later */
	uint32_t home_moves;        /* of steps: a daemon changes its home */
	uint32_t daemon_partitions; /* of steps: a daemon is disconnected from the others or
				       reconnected */
} world_faults_t;

typedef enum {
	REPORTED_NOTHING,
	REPORTED_ANSWER,
	REPORTED_NOT_RUN,
	REPORTED_RAN,
	REPORTED_UNKNOWN
} world_reported_t;

typedef struct {
	uint32_t daemon;
	uint32_t key;
	uint32_t body;
	uint64_t incarnation; /* of the daemon that accepted the submission */
	uint32_t key_ran;     /* runs of the key before the submission */
	uint32_t ran;         /* runs caused by this submission */
	world_reported_t reported;
	uint32_t times_reported;
	cs_claim_refusal_t refusal;
	int64_t reported_ms;
	bool has_caller_left;
} world_submission_t;

typedef struct {
	cs_claims_t claims;
	cs_claimant_t claimant;
	uint64_t incarnation;
	size_t n_applied;                  /* number of records applied */
	int64_t read_sent_ms;              /* when the last read of the stream was sent */
	bool is_disconnected_from_log;     /* disconnected from the log */
	bool is_disconnected_from_daemons; /* disconnected from the other daemons */
	cs_claim_home_t home;
	uint32_t home_index;      /* index of the daemon used as home */
	bool reads_stream;        /* whether the daemon reads the stream */
	bool reached_tail;        /* whether the tail was reached since reading began */
	int64_t stream_needed_ms; /* when reading the stream was last needed */
	bool paused;
	bool stopped; /* crashed and not replaced */
	bool excluded;
	uint64_t resume_ms;
} world_daemon_t;

typedef struct world_event world_event_t;

typedef struct world {
	world_daemon_t daemons[WORLD_DAEMONS];
	struct {
		uint64_t incarnation;
		uint64_t from; /* forwarded records: the requesting incarnation, and ticket */
		uint64_t ticket;
		cs_buf_t bytes;
	} * records;
	size_t n_records;
	size_t cap_records;
	world_event_t *events;
	int64_t now_ms;
	cs_rng_t rng;
	world_faults_t faults;
	uint32_t claims_off;
	uint32_t claimant_off;
	uint32_t home_off;
	bool homes;
	uint32_t generation_ms;
	uint64_t next_incarnation;
	uint64_t left[1024]; /* incarnations that the control stream shows as left */
	size_t n_left;
	/* state of the service */
	uint32_t key_ran[WORLD_KEYS];
	uint32_t key_body[WORLD_KEYS];
	world_submission_t submissions[WORLD_SUBMISSIONS];
	uint32_t n_submissions;
	/* counts of violations */
	uint32_t ran_twice;
	uint32_t false_refusals;
	uint32_t wrong_answers;
	uint32_t wrong_counts; /* submissions answered twice */
} world_t;

void world_init (world_t *w, uint64_t seed, uint32_t claims_off, uint32_t claimant_off);
void world_finish (world_t *w);
/* To be called before the first step: daemons forward records instead of always reading the
 * stream; all use the daemon with index home as their home. */
void world_enable_homes (world_t *w, uint32_t home, uint32_t home_off);
/* Changes the home that a daemon uses. */
void world_move_home (world_t *w, uint32_t daemon, uint32_t home);
/* Sends a request of a caller to the daemon; returns its index in w->submissions. */
uint32_t world_submit (world_t *w, uint32_t daemon, uint32_t key, uint32_t body);
/* Runs the simulation for that time, with faults at the rates of w->faults. */
void world_run (world_t *w, int64_t ms);
/* Kills and replaces the daemon; all see that the old incarnation has left. */
void world_replace_daemon (world_t *w, uint32_t daemon);
/* Ends all faults, waits for requests in progress and checks the refusals. */
void world_settle (world_t *w);
/* Draws the faults of daemons for one step. */
void world_inject_faults (world_t *w);
/* Sends random submissions under random faults, then calls world_settle. */
void world_run_random (world_t *w, uint64_t seed);

#endif
