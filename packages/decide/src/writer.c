#include "cs/writer.h"

#include <stdlib.h>
#include <string.h>

#include "log_internal.h"

void
cs_writer_init (cs_writer_t *w, cs_applier_t *applier, uint64_t incarnation)
{
	*w = (cs_writer_t){0};
	w->applier = applier;
	w->incarnation = incarnation;
	applier->writer = w;
}

static void
remove_first_entries (cs_writer_t *w, size_t n)
{
	for (size_t i = 0; i < n; i++)
		cs_buf_finish (&w->entries[i].bytes);
	w->n -= n;
	if (w->n)
		memmove (w->entries, w->entries + n, w->n * sizeof *w->entries);
}

void
cs_writer_finish (cs_writer_t *w)
{
	remove_first_entries (w, w->n);
	free (w->entries);
	free (w->outcomes);
	if (w->applier->writer == w)
		w->applier->writer = NULL;
}

static void
add_outcome (cs_writer_t *w, uint64_t ticket, cs_ticket_result_t result, uint64_t offset)
{
	w->outcomes =
		cs_grow (w->outcomes, &w->cap_outcomes, w->n_outcomes + 1, sizeof *w->outcomes);
	w->outcomes[w->n_outcomes++] = (cs_ticket_outcome_t){ticket, result, offset};
}

bool
cs_writer_next_outcome (cs_writer_t *w, cs_ticket_outcome_t *outcome)
{
	if (w->next_outcome == w->n_outcomes) {
		w->next_outcome = 0;
		w->n_outcomes = 0;
		return false;
	}
	*outcome = w->outcomes[w->next_outcome++];
	return true;
}

void
cs_writer_set_incarnation (cs_writer_t *w, uint64_t incarnation)
{
	for (size_t i = 0; i < w->n; i++) {
		bool was_sent = w->entries[i].state != CS_WRITER_ENTRY_QUEUED ||
				w->entries[i].may_be_appended;
		add_outcome (w, w->entries[i].ticket, was_sent ? CS_TICKET_UNKNOWN : CS_TICKET_VOID,
			     0);
	}
	remove_first_entries (w, w->n);
	w->incarnation = incarnation;
	w->sequence = 0;
	w->applier->segment_sequence = 0;
	w->batch_n = 0;
	w->backoff_ms = 0;
	w->next_append_ms = 0;
}

cs_status_t
cs_writer_submit (cs_writer_t *w, Cs__Record *record, uint64_t *ticket)
{
	if (w->n >= CS_WRITER_QUEUE)
		return cs_fail (CS_EXHAUSTED,
				"queue of stream %s is full: too many records without an outcome",
				w->applier->stream);
	record->incarnation = w->incarnation;
	record->sequence = ++w->sequence;
	record->seen = w->applier->next_offset;
	w->entries = cs_grow (w->entries, &w->cap, w->n + 1, sizeof *w->entries);
	cs_writer_entry_t *entry = &w->entries[w->n++];
	*entry = (cs_writer_entry_t){++w->ticket, w->sequence, record->seen, CS_WRITER_ENTRY_QUEUED,
				     false,       {0}};
	cs_pack (&record->base, &entry->bytes);
	if (ticket)
		*ticket = entry->ticket;
	return CS_OK;
}

bool
cs_writer_cancel (cs_writer_t *w, uint64_t ticket)
{
	size_t i = 0;
	while (i < w->n && w->entries[i].ticket != ticket)
		i++;
	if (i == w->n || w->entries[i].state != CS_WRITER_ENTRY_QUEUED ||
	    w->entries[i].may_be_appended)
		return false;
	cs_buf_finish (&w->entries[i].bytes);
	w->n--;
	memmove (w->entries + i, w->entries + i + 1, (w->n - i) * sizeof *w->entries);
	return true;
}

/* Ends the append in flight. CS_OK: the append put its records into the log; CS_UNKNOWN: it may
 * have done so; any other status: it has not. */
static void
end_batch (cs_writer_t *w, cs_status_t status)
{
	for (size_t i = 0; i < w->n && w->entries[i].sequence <= w->batch_last_sequence; i++) {
		cs_writer_entry_t *entry = &w->entries[i];
		if (entry->state != CS_WRITER_ENTRY_SENT)
			continue;
		entry->state = status == CS_OK ? CS_WRITER_ENTRY_APPENDED : CS_WRITER_ENTRY_QUEUED;
		if (status == CS_UNKNOWN)
			entry->may_be_appended = true;
	}
	w->batch_n = 0;
}

/* Delays the next append after a failed one; the delay doubles with each further failure. */
static void
delay_next_append (cs_writer_t *w, int64_t now_ms)
{
	w->backoff_ms = w->backoff_ms ? w->backoff_ms * 2 : CS_WRITER_BACKOFF_MS;
	if (w->backoff_ms > CS_WRITER_BACKOFF_MAX_MS)
		w->backoff_ms = CS_WRITER_BACKOFF_MAX_MS;
	w->next_append_ms = now_ms + w->backoff_ms;
}

void
cs_writer_append_done (cs_writer_t *w, uint64_t id, cs_status_t status, int64_t now_ms)
{
	if (!w->batch_n || id != w->batch_id)
		return;
	bool is_result_known =
		status == CS_OK || status == CS_UNAVAILABLE || status == CS_EXHAUSTED;
	end_batch (w, is_result_known ? status : CS_UNKNOWN);
	if (status == CS_OK)
		w->backoff_ms = 0;
	else
		delay_next_append (w, now_ms);
}

/* True if an append is in flight. An append that has timed out is ended first. */
static bool
is_append_in_flight (cs_writer_t *w, int64_t now_ms)
{
	if (!w->batch_n)
		return false;
	if (now_ms - w->sent_ms < CS_WRITER_APPEND_TIMEOUT_MS)
		return true;
	end_batch (w, CS_UNKNOWN);
	delay_next_append (w, now_ms);
	return false;
}

bool
cs_writer_next_append (cs_writer_t *w, int64_t now_ms, cs_writer_batch_t *batch)
{
	size_t bytes = 0;
	size_t n = 0;
	if (is_append_in_flight (w, now_ms) || now_ms < w->next_append_ms)
		return false;
	for (size_t i = 0; i < w->n && n < CS_WRITER_BATCH; i++) {
		cs_writer_entry_t *entry = &w->entries[i];
		if (entry->state == CS_WRITER_ENTRY_APPENDED)
			continue;
		bytes += entry->bytes.n;
		if (n && bytes > CS_WRITER_BATCH_BYTES)
			break;
		entry->state = CS_WRITER_ENTRY_SENT;
		w->batch[n++] = cs_buf_str (&entry->bytes);
		w->batch_last_sequence = entry->sequence;
	}
	if (!n)
		return false;
	w->batch_n = n;
	w->sent_ms = now_ms;
	*batch = (cs_writer_batch_t){++w->batch_id, w->batch, n};
	return true;
}

void
cs_writer_record_applied (cs_writer_t *w, uint64_t sequence, uint64_t offset,
			  cs_apply_result_t result)
{
	size_t n = 0;
	for (; n < w->n && w->entries[n].sequence < sequence; n++)
		add_outcome (w, w->entries[n].ticket, CS_TICKET_VOID, 0);
	if (n < w->n && w->entries[n].sequence == sequence) {
		bool is_invalid = result == CS_APPLY_INVALID;
		add_outcome (w, w->entries[n].ticket,
			     is_invalid ? CS_TICKET_INVALID : CS_TICKET_VALID, offset);
		n++;
	}
	remove_first_entries (w, n);
}

void
cs_writer_snapshot_restored (cs_writer_t *w, uint64_t sequence)
{
	size_t n = 0;
	for (; n < w->n; n++) {
		const cs_writer_entry_t *entry = &w->entries[n];
		if (entry->sequence > sequence &&
		    entry->seen + CS_APPLIER_WINDOW_RECORDS >= w->applier->next_offset)
			break;
		bool was_sent = entry->state != CS_WRITER_ENTRY_QUEUED || entry->may_be_appended;
		add_outcome (w, entry->ticket, was_sent ? CS_TICKET_UNKNOWN : CS_TICKET_VOID, 0);
	}
	remove_first_entries (w, n);
}
