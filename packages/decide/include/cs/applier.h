/* Applies the records of one log stream to state machines, in offset order and
 * deterministically.
 *
 * Every state machine receives every record. Records of one writer take effect in the order of
 * their sequence numbers and at most once: a record whose sequence number is not above the
 * highest one applied from its incarnation is void. So is a record whose writer's next
 * offset to apply (`seen`) was below `offset - CS_APPLIER_WINDOW` when it was created. Because of
 * this age rule the table of sequence numbers can drop a writer whose last record is older than the
 * window: any duplicate of that writer's records is void by age.
 *
 * State that no longer changes can be stored in segments. Each segment is appended to the log
 * once, as a record of its own, and identified by its digest. A snapshot lists the digests and
 * contains only the rest of the state. A segment is appended again once it is in the older half
 * of the records that the log retains; a segment in the oldest quarter makes a snapshot due.
 * Every segment that a snapshot lists is in the log before the snapshot. Segments are submitted
 * one at a time, each after the previous one has been applied.
 *
 * The reader of the log calls cs_applier_read_done () for each reply to a read, then
 * cs_applier_process_record () for each record in the reply. When either returns true, the reader
 * continues at cs_applier_next_read_offset (). All times are in milliseconds of the caller's
 * monotonic clock. */
#ifndef CS_APPLIER_H
#define CS_APPLIER_H

#include <uthash.h>

#include "cs/record.pb-c.h"
#include "cs/status.h"
#include "cs/str.h"

struct cs_writer;

enum {
	CS_APPLIER_MAX_STATE_MACHINES = 4, /* maximum number of state machines */
	CS_APPLIER_WINDOW = 65536,         /* maximum distance from a record's seen to its offset */
	CS_APPLIER_SNAPSHOT_MS = 300000,   /* default interval between snapshots */
	CS_APPLIER_SNAPSHOT_FIRST_MS = 10000,  /* delay before the first one if none is known */
	CS_APPLIER_SNAPSHOT_RECORDS = 20000,   /* default number of records between snapshots */
	CS_APPLIER_SNAPSHOT_STAGGER_MS = 2000, /* delay per rank of the daemon */
	CS_APPLIER_SNAPSHOT_PART_BYTES = 192 * 1024, /* maximum state bytes in a SNAPSHOT record */
	CS_APPLIER_SNAPSHOT_REPEAT_MS = 10000,       /* minimum between snapshots of one daemon */
	CS_APPLIER_MAX_ASSEMBLIES = 8,               /* maximum snapshots assembled at a time */
	CS_APPLIER_MAX_SNAPSHOT_PARTS = 1024,        /* maximum SNAPSHOT records per snapshot */
	CS_APPLIER_RISK_SHARE = 4, /* a snapshot or segment in the oldest 1/4 makes one due */
	CS_APPLIER_RENEW_SHARE = 2 /* a segment in the oldest 1/2 is appended before a snapshot */
};

typedef enum {
	CS_APPLY_IGNORED, /* not a record for this state machine */
	CS_APPLY_VALID,   /* its precondition held; the state has changed */
	CS_APPLY_INVALID  /* its precondition did not hold */
} cs_apply_result_t;

/* A state machine. apply must be deterministic: its effect and result depend only on the
 * arguments and the state. */
typedef struct {
	const char *name; /* identifies the state machine in snapshots */
	cs_apply_result_t (*apply) (void *state, uint64_t offset, const Cs__Record *record);
	void (*reset) (void *state);
	/* Appends the serialized state; equal states give equal bytes. */
	void (*snapshot) (const void *state, cs_buf_t *out);
	/* Replaces the state; offset is that of the next record to apply. */
	cs_status_t (*restore) (void *state, uint64_t offset, cs_str_t bytes);
	/* NULL if the state machine has no segments. The output of snapshot excludes segments.
	 * segments returns their number. segment returns the digest of the i-th one and appends
	 * its bytes unless out is NULL; these are at most CS_APPLIER_SNAPSHOT_PART_BYTES, so that
	 * they fit in one record. add_segment is called after restore, for each segment in order.
	 */
	size_t (*segments) (const void *state);
	uint64_t (*segment) (const void *state, size_t i, cs_buf_t *out);
	cs_status_t (*add_segment) (void *state, cs_str_t bytes);
} cs_state_machine_ops_t;

/* Mechanisms that a test can disable. */
enum {
	CS_APPLIER_NO_DEDUPE = 1,
	CS_APPLIER_NO_GAP_CHECK = 2,
	CS_APPLIER_NO_DIGEST = 4,
	CS_APPLIER_NO_GIVE_WAY = 16, /* writes while another daemon writes the same snapshot */
	CS_APPLIER_NO_RENEWAL = 8    /* appends a segment again only once it has expired */
};

typedef struct {
	int64_t snapshot_ms;       /* 0: CS_APPLIER_SNAPSHOT_MS; at most a third of the log's
				    * retention time */
	uint64_t snapshot_records; /* 0: CS_APPLIER_SNAPSHOT_RECORDS */
	unsigned disabled;
} cs_applier_options_t;

/* Numbers of records since init. */
typedef struct {
	uint64_t applied;    /* passed to the state machines */
	uint64_t duplicates; /* void by sequence number */
	uint64_t aged;       /* void by age */
	uint64_t malformed;  /* could not be decoded */
	uint64_t gaps;       /* times that needed records had expired; not records */
} cs_applier_counts_t;

/* Last accepted record of an incarnation. */
typedef struct cs_applier_writer {
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t offset;
	UT_hash_handle hh;
} cs_applier_writer_t;

/* A snapshot that is being assembled from its SNAPSHOT records. */
typedef struct {
	uint64_t incarnation;
	uint64_t offset; /* the state includes all records below it */
	uint64_t digest;
	uint64_t first_record_offset;
	uint32_t parts;       /* number of SNAPSHOT records */
	uint32_t parts_read;  /* number of those read */
	cs_buf_t *part_bytes; /* parts items; empty, with storage, if only counted */
} cs_applier_assembly_t;

/* A segment read from the log or received from a peer. */
typedef struct {
	uint64_t digest;
	uint64_t record_offset; /* offset of its newest record; 0: not seen in the log */
	cs_buf_t bytes;         /* set only while searching for a snapshot to restore */
	UT_hash_handle hh;
} cs_applier_segment_t;

typedef struct {
	char *stream;
	cs_applier_options_t options;
	const cs_state_machine_ops_t *ops[CS_APPLIER_MAX_STATE_MACHINES];
	void *states[CS_APPLIER_MAX_STATE_MACHINES];
	size_t n_state_machines;
	struct cs_writer *writer; /* this daemon's own, notified of its records; may be NULL */

	uint64_t next_offset; /* next offset to apply */
	uint64_t scan_offset; /* next offset to read while needs_snapshot */
	uint64_t begin;       /* oldest offset retained, as last read */
	uint64_t end;         /* next offset to be written, as last read */
	bool needs_snapshot;  /* records from next on have expired: searching for a snapshot */
	bool caught_up;       /* has reached the end of the log once since init */
	int64_t read_sent_ms; /* when the read that was last replied to was sent */
	int64_t current_read_sent_ms; /* when the last read that reached the end was sent; -1: never
				       */

	uint64_t snapshot_offset; /* the last snapshot applied includes all records below it */
	uint64_t snapshot_record_offset; /* offset of that snapshot's first record; 0: none */
	int64_t snapshot_applied_ms;     /* when that snapshot was applied; -1: not known */
	int64_t no_snapshot_since_ms;    /* since when no snapshot is known; -1: never so */
	int64_t due_since_ms;            /* -1: not due */
	int64_t snapshot_submitted_ms;   /* when this daemon last submitted a snapshot; -1: never */

	cs_applier_writer_t *writers;
	cs_applier_assembly_t assemblies[CS_APPLIER_MAX_ASSEMBLIES];
	size_t n_assemblies;
	cs_applier_segment_t *segments; /* uthash */
	uint64_t segment_sequence;      /* sequence number of the last segment submitted */
	cs_applier_counts_t counts;
} cs_applier_t;

void cs_applier_init (cs_applier_t *f, const char *stream, const cs_applier_options_t *options);
void cs_applier_finish (cs_applier_t *f);
/* Adds a state machine; ops and state stay the caller's and must outlive f. Aborts when there are
 * CS_APPLIER_MAX_STATE_MACHINES already. */
void cs_applier_add_state_machine (cs_applier_t *f, const cs_state_machine_ops_t *ops, void *state);

/* Reports a reply of the log to a read sent at read_sent_ms: the log retains offsets [begin, end).
 * Returns true if needed records have expired. The state then stays unchanged until a snapshot
 * is restored, and the reader must continue at cs_applier_next_read_offset () to search for one. */
bool cs_applier_read_done (cs_applier_t *f, uint64_t begin, uint64_t end, int64_t read_sent_ms);
/* Processes one record. Malformed records are counted and skipped; offsets already applied are
 * ignored. Returns true if the reader must continue at cs_applier_next_read_offset (): a snapshot
 * has been restored, or offset is beyond cs_applier_next_read_offset (), in which case the record
 * is not processed. */
bool cs_applier_process_record (cs_applier_t *f, uint64_t offset, cs_str_t bytes);
/* Returns the next offset to read. */
uint64_t cs_applier_next_read_offset (const cs_applier_t *f);
/* True if the state has no gap and a read sent at or after since_ms has reached the end. */
bool cs_applier_is_current (const cs_applier_t *f, int64_t since_ms);

/* True if needed records have expired and the log has been searched to its end without a usable
 * snapshot: only a peer's state can restore this one (cs_applier_restore_from_peer ()). */
bool cs_applier_needs_peer_state (const cs_applier_t *f);

/* True if this daemon, of the given rank for the stream (cs_members_rank (); 0: first), should
 * write a snapshot now. Snapshots by two daemons at once are harmless. */
bool cs_applier_is_snapshot_due (cs_applier_t *f, int64_t now_ms, size_t rank);
/* Submits to w, the writer of this stream, the next segment that must be appended or, if there
 * is none, the rest of the state as SNAPSHOT records. To be called repeatedly while a snapshot is
 * due. Errors are those of cs_writer_submit (). */
cs_status_t cs_applier_submit_snapshot (cs_applier_t *f, struct cs_writer *w, int64_t now_ms);

/* Appends the complete state including segments to out, for a peer, and returns its digest. The
 * state includes all records below f->next. */
uint64_t cs_applier_export_state (cs_applier_t *f, cs_buf_t *out);
/* Replaces the state by that of a peer, while the log is unavailable or cs_applier_needs_peer_state
 * (). Returns CS_CONFLICT unless offset, the peer's next, is above the own one, or if a segment is
 * missing; CS_INVALID if the digest does not match or the bytes cannot be decoded; else the status
 * of the state machines' restore and add_segment. */
cs_status_t cs_applier_restore_from_peer (cs_applier_t *f, uint64_t offset, cs_str_t bytes,
					  uint64_t digest);

#endif
