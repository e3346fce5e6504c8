/* The writer of one stream: assigns sequence numbers to this daemon's records, batches them into
 * appends, and reports their outcome once they are applied.
 *
 * At most one append is in flight, so that sequence numbers reach the log in order. An append
 * whose reply was lost is retried with the same bytes; duplicates are ignored when applied. The
 * outcome of a record is known only once that record or a later one of this incarnation is
 * applied; in the second case the earlier record is void even if it reaches the log later. All
 * times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_WRITER_H
#define CS_WRITER_H

#include "cs/applier.h"

enum {
	CS_WRITER_BATCH = 64,                /* maximum records in one append */
	CS_WRITER_BATCH_BYTES = 1024 * 1024, /* maximum bytes in an append of several records */
	CS_WRITER_QUEUE = 4096,              /* maximum records without an outcome */
	CS_WRITER_APPEND_TIMEOUT_MS = 5000,  /* an append without a reply ends as CS_UNKNOWN */
	CS_WRITER_BACKOFF_MS = 200,          /* delay after a failed append; doubles each time */
	CS_WRITER_BACKOFF_MAX_MS = 2000
};

/* The result of submitting a record. */
typedef enum {
	CS_TICKET_VALID,   /* applied; its precondition held */
	CS_TICKET_INVALID, /* applied; its precondition did not hold, or void by age */
	CS_TICKET_VOID,    /* will never take effect */
	/* Sent, but after a restored snapshot or a change of incarnation the writer
	 * cannot tell whether the record took effect: the caller must read the state. */
	CS_TICKET_UNKNOWN
} cs_ticket_result_t;

/* The outcome of a record. */
typedef struct {
	uint64_t ticket; /* of cs_writer_submit () */
	cs_ticket_result_t result;
	uint64_t offset; /* of the record if VALID or INVALID, else 0 */
} cs_ticket_outcome_t;

/* One append to make; records is owned by the writer and valid until the next call for that
 * writer. */
typedef struct {
	uint64_t id; /* for cs_writer_append_done () */
	const cs_str_t *records;
	size_t n; /* number of records */
} cs_writer_batch_t;

typedef enum {
	CS_WRITER_ENTRY_QUEUED,
	CS_WRITER_ENTRY_SENT,    /* may be in the log */
	CS_WRITER_ENTRY_APPENDED /* is in the log */
} cs_writer_entry_state_t;

typedef struct {
	uint64_t ticket;
	uint64_t sequence;
	uint64_t seen; /* next offset to apply when the record was created */
	cs_writer_entry_state_t state;
	bool may_be_appended; /* an append that included the record ended as CS_UNKNOWN */
	cs_buf_t bytes;       /* the packed record */
} cs_writer_entry_t;

typedef struct cs_writer {
	cs_applier_t *applier;
	uint64_t incarnation;
	uint64_t sequence;          /* last assigned */
	uint64_t ticket;            /* last assigned */
	cs_writer_entry_t *entries; /* records without an outcome, by sequence number */
	size_t n, cap;
	cs_str_t batch[CS_WRITER_BATCH];
	uint64_t batch_id;
	size_t batch_n;               /* records in flight; 0: no append in flight */
	uint64_t batch_last_sequence; /* highest sequence number in flight */
	int64_t sent_ms;              /* when the append in flight was sent */
	int64_t next_append_ms;       /* no append before this time */
	int64_t backoff_ms; /* current delay after a failure; 0: the last append succeeded */
	cs_ticket_outcome_t *outcomes; /* for cs_writer_next_outcome () */
	size_t n_outcomes, cap_outcomes, next_outcome;
} cs_writer_t;

/* Registers w as applier->writer, so that w is notified of its records as they are applied. The
 * applier must outlive w. */
void cs_writer_init (cs_writer_t *w, cs_applier_t *applier, uint64_t incarnation);
/* Frees the storage of w and unregisters w from the applier. Records without an outcome get none.
 */
void cs_writer_finish (cs_writer_t *w);
/* Continues under another incarnation, with sequence numbers from 1. All records without an
 * outcome are dropped; their outcome is CS_TICKET_VOID if they were never sent, else
 * CS_TICKET_UNKNOWN. */
void cs_writer_set_incarnation (cs_writer_t *w, uint64_t incarnation);

/* Sets the record's incarnation, sequence and seen, packs the record and queues the bytes. The
 * record stays the caller's. *ticket identifies the record in outcomes; ticket may be NULL. Returns
 * CS_EXHAUSTED if CS_WRITER_QUEUE records have no outcome yet. */
cs_status_t cs_writer_submit (cs_writer_t *w, Cs__Record *record, uint64_t *ticket);
/* Removes a record that was never sent; the record then gets no outcome. False if the record may
 * be in the log or already has an outcome. */
bool cs_writer_cancel (cs_writer_t *w, uint64_t ticket);

/* Fills batch with the next append, which the caller must send; false if an append is in flight,
 * the last one failed too recently, or there is nothing to append. */
bool cs_writer_next_append (cs_writer_t *w, int64_t now_ms, cs_writer_batch_t *batch);
/* Reports the result of the append with that id. CS_UNAVAILABLE and CS_EXHAUSTED mean that nothing
 * was appended; any status but these and CS_OK counts as CS_UNKNOWN. Results for any id but that of
 * the append in flight are ignored. */
void cs_writer_append_done (cs_writer_t *w, uint64_t id, cs_status_t status, int64_t now_ms);

/* Called when a record of this incarnation has been applied. */
void cs_writer_record_applied (cs_writer_t *w, uint64_t sequence, uint64_t offset,
			       cs_apply_result_t result);
/* Called when a snapshot has been restored that includes this incarnation's records up to the
 * sequence number (0: it includes none). These records get an outcome, and so do records created
 * more than CS_APPLIER_WINDOW_RECORDS offsets before the snapshot's offset, because the snapshot no
 * longer lists writers of that age. */
void cs_writer_snapshot_restored (cs_writer_t *w, uint64_t sequence);

/* Removes the next outcome from the queue and stores it in *outcome; false if there is none. */
bool cs_writer_next_outcome (cs_writer_t *w, cs_ticket_outcome_t *outcome);

#endif
