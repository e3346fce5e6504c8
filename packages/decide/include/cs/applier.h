/* Applies the records of one log stream to state machines, in offset order and
 * deterministically.
 *
 * Every state machine receives every record that is not void, except SNAPSHOT and SEGMENT records.
 * Records of one writer take effect in the order of their sequence numbers and at most once: a
 * record is void if its sequence number is not above the highest one applied from its incarnation.
 * A record is also void by age if its `seen`, the next offset that its writer had to apply when it
 * created the record, is below `offset - CS_APPLIER_WINDOW_RECORDS`. Because of this age rule the
 * table of sequence numbers can drop a writer whose last record is older than the window: any
 * duplicate of that writer's records is void by age.
 *
 * State that no longer changes can be stored in segments. Each segment is appended to the log as a
 * SEGMENT record and identified by its digest. A snapshot lists the digests and contains only the
 * rest of the state, so that it does not repeat the segments. A snapshot becomes due when one of
 * the state's segments is in the oldest quarter of the records that the log retains; before the
 * snapshot is written, the segments in the older half are appended again. Every segment that a
 * snapshot lists is in the log before the snapshot. Segments are submitted one at a time, each
 * after the previous one has been applied.
 *
 * The reader of the log calls cs_applier_record_read () for each reply to a read, then
 * cs_applier_process_record () for each record in the reply. When either returns true, the reader
 * continues at cs_applier_next_read_offset (). All times are in milliseconds of the caller's
 * monotonic clock. Offsets start at 1. */
#ifndef CS_APPLIER_H
#define CS_APPLIER_H

#include <uthash.h>

#include "cs/record.pb-c.h"
#include "cs/status.h"
#include "cs/str.h"

struct cs_writer;

enum {
	CS_APPLIER_MAX_STATE_MACHINES = 4, /* maximum state machines of an applier */
	CS_APPLIER_WINDOW_RECORDS = 65536, /* maximum offset - seen of a record that is not void */
	CS_APPLIER_SNAPSHOT_MS = 300000,   /* default interval between snapshots */
	CS_APPLIER_SNAPSHOT_FIRST_MS = 10000,  /* delay of the first snapshot if the log has none */
	CS_APPLIER_SNAPSHOT_RECORDS = 20000,   /* default number of records between snapshots */
	CS_APPLIER_SNAPSHOT_STAGGER_MS = 2000, /* delay of a due snapshot per rank of the daemon */
	CS_APPLIER_SNAPSHOT_PART_BYTES = 192 * 1024, /* maximum state bytes in a SNAPSHOT record */
	CS_APPLIER_SNAPSHOT_REPEAT_MS = 10000,       /* minimum interval of a daemon's snapshots */
	CS_APPLIER_MAX_ASSEMBLIES = 8,               /* maximum snapshots assembled at a time */
	CS_APPLIER_MAX_SNAPSHOT_PARTS = 1024,        /* maximum SNAPSHOT records per snapshot */
	CS_APPLIER_RISK_SHARE = 4, /* a snapshot is due if the last one, or a segment of the
				    * state, is in the oldest 1/4 of the retained records */
	CS_APPLIER_RENEW_SHARE = 2 /* segments in the oldest 1/2 of the retained records are
				    * appended again before a snapshot */
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
	/* All three are NULL if the state machine has no segments. The output of snapshot excludes
	 * segments. segments returns the number of segments. segment returns the digest of the
	 * i-th segment and, unless out is NULL, appends its bytes to out; a segment has at most
	 * CS_APPLIER_SNAPSHOT_PART_BYTES, so that it fits in one record. add_segment is called
	 * after restore, for each segment in order. */
	size_t (*segments) (const void *state);
	uint64_t (*segment) (const void *state, size_t i, cs_buf_t *out);
	cs_status_t (*add_segment) (void *state, cs_str_t bytes);
} cs_state_machine_ops_t;

/* Mechanisms that a test can disable; bits of cs_applier_options_t.disabled. */
enum {
	CS_APPLIER_NO_DEDUPE = 1,
	CS_APPLIER_NO_GAP_CHECK = 2,
	CS_APPLIER_NO_DIGEST = 4,
	CS_APPLIER_NO_DELAY_RESTART = 16, /* write while another daemon writes the same snapshot */
	CS_APPLIER_NO_RENEWAL = 8         /* append a segment again only once it has expired */
};

typedef struct {
	int64_t snapshot_ms;       /* interval; 0: CS_APPLIER_SNAPSHOT_MS; at most a third of the
				    * log's retention time */
	uint64_t snapshot_records; /* records between; 0: CS_APPLIER_SNAPSHOT_RECORDS */
	unsigned disabled;         /* CS_APPLIER_NO_* */
} cs_applier_options_t;

/* Counts since cs_applier_init (), of records except for gaps. */
typedef struct {
	uint64_t applied;    /* passed to the state machines */
	uint64_t duplicates; /* void by sequence number */
	uint64_t aged;       /* void by age */
	uint64_t malformed;  /* not decodable or with an invalid field; segments whose bytes do
			      * not match their digest */
	uint64_t gaps;       /* times that the next record to apply had expired */
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
	uint32_t parts_read;  /* number of different SNAPSHOT records read */
	cs_buf_t *part_bytes; /* by part number; a part not read has no storage. One that is
			       * only counted, as no snapshot is needed, has empty storage */
} cs_applier_assembly_t;

/* A segment read from the log or received from a peer. */
typedef struct {
	uint64_t digest;
	uint64_t record_offset; /* offset of its newest record; 0: not seen in the log */
	cs_buf_t bytes;         /* stored only until a snapshot has been restored */
	UT_hash_handle hh;
} cs_applier_segment_t;

typedef struct {
	char *stream;
	cs_applier_options_t options;
	const cs_state_machine_ops_t *ops[CS_APPLIER_MAX_STATE_MACHINES];
	void *states[CS_APPLIER_MAX_STATE_MACHINES];
	size_t n_state_machines;
	struct cs_writer *writer; /* this daemon's, notified of its own records; may be NULL */

	uint64_t next_offset;         /* next offset to apply */
	uint64_t scan_offset;         /* next offset to read while needs_snapshot */
	uint64_t begin;               /* oldest offset retained, as last read */
	uint64_t end;                 /* next offset to be written, as last read */
	bool needs_snapshot;          /* next_offset has expired or a restore failed: searching
				       * for a snapshot */
	bool caught_up;               /* has reached the end of the log since init */
	int64_t read_sent_ms;         /* when the read that was last replied to was sent */
	int64_t current_read_sent_ms; /* when the last read that reached the log's end was sent;
				       * -1: none has */

	uint64_t snapshot_offset; /* the last snapshot applied includes all records below it */
	uint64_t snapshot_record_offset; /* offset of that snapshot's first record; 0: none */
	int64_t snapshot_applied_ms;     /* when that snapshot was applied; -1: not known */
	int64_t no_snapshot_since_ms;    /* when a check first knew of no snapshot; -1: never */
	int64_t due_since_ms;            /* start of the delay by rank; -1: no snapshot is due */
	int64_t snapshot_submitted_ms;   /* when this daemon last submitted a snapshot; -1: never */

	cs_applier_writer_t *writers; /* uthash by incarnation */
	cs_applier_assembly_t assemblies[CS_APPLIER_MAX_ASSEMBLIES];
	size_t n_assemblies;
	cs_applier_segment_t *segments; /* uthash by digest */
	uint64_t segment_sequence;      /* sequence number of the last segment submitted */
	cs_applier_counts_t counts;
} cs_applier_t;

/* Copies stream and options; options may be NULL for the defaults. */
void cs_applier_init (cs_applier_t *f, const char *stream, const cs_applier_options_t *options);
/* Frees the storage of f; the state machines and the writer stay the caller's. */
void cs_applier_finish (cs_applier_t *f);
/* Adds a state machine; ops and state stay the caller's and must outlive f. Aborts if f already
 * has CS_APPLIER_MAX_STATE_MACHINES. */
void cs_applier_add_state_machine (cs_applier_t *f, const cs_state_machine_ops_t *ops, void *state);

/* Reports a reply of the log to a read sent at read_sent_ms: the log retains offsets [begin, end).
 * Returns true if the next record to read has expired. The state then stays unchanged until a
 * snapshot is restored, and the reader must continue at cs_applier_next_read_offset () to search
 * for one. */
bool cs_applier_record_read (cs_applier_t *f, uint64_t begin, uint64_t end, int64_t read_sent_ms);
/* Processes one record. Malformed records are counted and skipped; offsets already applied are
 * ignored. Returns true if the reader must continue at cs_applier_next_read_offset (): a snapshot
 * has been restored, or offset is beyond cs_applier_next_read_offset (), in which case the record
 * is not processed. */
bool cs_applier_process_record (cs_applier_t *f, uint64_t offset, cs_str_t bytes);
/* Returns the next offset to read. */
uint64_t cs_applier_next_read_offset (const cs_applier_t *f);
/* True if no record is missing from the state and a read sent at or after since_ms has reached the
 * end of the log. */
bool cs_applier_is_current (const cs_applier_t *f, int64_t since_ms);

/* True if the next record to apply has expired and the log has been searched to its end without a
 * usable snapshot: the state can only be restored from a peer (cs_applier_restore_from_peer ()). */
bool cs_applier_needs_peer_state (const cs_applier_t *f);

/* True if this daemon should write a snapshot now. rank is the rank of this daemon for the stream
 * (cs_members_rank_of ()); each rank above 0 waits CS_APPLIER_SNAPSHOT_STAGGER_MS longer. Snapshots
 * by two daemons at once are harmless. */
bool cs_applier_is_snapshot_due (cs_applier_t *f, int64_t now_ms, size_t rank);
/* Submits to w, the writer of this stream, the next segment that must be appended or, if there
 * is none, the rest of the state as SNAPSHOT records. While the last segment submitted has not been
 * applied, submits nothing and returns CS_OK. To be called repeatedly while a snapshot is due.
 * Errors are those of cs_writer_submit (). */
cs_status_t cs_applier_submit_snapshot (cs_applier_t *f, struct cs_writer *w, int64_t now_ms);

/* Appends the complete state including segments to out, for a peer, and returns the digest of the
 * appended bytes. The state includes all records below f->next_offset. */
uint64_t cs_applier_export_state (cs_applier_t *f, cs_buf_t *out);
/* Replaces the state by that of a peer, while the log is unavailable or cs_applier_needs_peer_state
 * (). Returns CS_CONFLICT if offset, the peer's next_offset, is not above f->next_offset, or if a
 * segment is missing; CS_INVALID if the digest does not match or the bytes cannot be decoded; else
 * the status of the state machines' restore and add_segment. After an error of these two the state
 * is unusable and needs_snapshot is set. */
cs_status_t cs_applier_restore_from_peer (cs_applier_t *f, uint64_t offset, cs_str_t bytes,
					  uint64_t digest);

#endif
