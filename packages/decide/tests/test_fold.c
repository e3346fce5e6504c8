/* Applying records of a log with duplicates, lost replies, expired records and snapshots. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "cs_options.h"
#include "cs_test.h"
#include "log_internal.h"
#include "support_names.h"

enum {
	BIG_NAMES = 6000 /* enough that a snapshot takes several SNAPSHOT records */
};

static cs_options_t options;

static unsigned
disabled_mechanisms (void)
{
	unsigned off = 0;
	if (cs_options_is_disabled (&options, "dedupe"))
		off |= CS_APPLIER_NO_DEDUPE;
	if (cs_options_is_disabled (&options, "gap-check"))
		off |= CS_APPLIER_NO_GAP_CHECK;
	if (cs_options_is_disabled (&options, "digest"))
		off |= CS_APPLIER_NO_DIGEST;
	return off;
}

static void
test_records (void **state)
{
	static const struct {
		struct {
			uint64_t incarnation, sequence, seen;
			const char *vm;
		} records[4];
		const char *expected;
	} cases[] = {
		{{{1, 1, 1, "a"}, {1, 2, 1, "b"}}, "a;b;"},
		{{{1, 1, 1, "a"}, {1, 1, 1, "a"}}, "a;"},
		{{{1, 2, 1, "b"}, {1, 1, 1, "a"}}, "b;"},
		{{{1, 1, 1, "a"}, {2, 1, 1, "b"}, {1, 1, 1, "a"}, {2, 2, 2, "c"}}, "a;b;c;"},
		{{{1, 1, 1, ""}, {1, 2, 1, "b"}}, "b;"},
		/* malformed: no incarnation, no sequence, seen above the record's offset */
		{{{0, 1, 1, "a"}, {1, 0, 1, "a"}, {1, 1, 9, "a"}, {1, 1, 1, "b"}}, "b;"},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		support_log_t log;
		support_node_t d;
		support_log_init (&log);
		support_node_init (&d, 99, disabled_mechanisms ());
		for (size_t k = 0; k < 4 && cases[i].records[k].vm; k++)
			support_names_put (&log, cases[i].records[k].incarnation,
					   cases[i].records[k].sequence, cases[i].records[k].seen,
					   cases[i].records[k].vm);
		support_log_apply_records (&log, &d.applier, 10);
		assert_string_equal (support_node_names (&d), cases[i].expected);
		assert_true (cs_applier_is_current (&d.applier, 10));
		support_node_finish (&d);
		support_log_finish (&log);
	}
}

static void
test_malformed (void **state)
{
	support_node_t d;
	(void)state;
	support_node_init (&d, 99, disabled_mechanisms ());
	cs_applier_read_done (&d.applier, 1, 3, 0);
	assert_false (cs_applier_process_record (&d.applier, 1, cs_str ("\xff\xff\xff")));
	assert_false (cs_applier_process_record (&d.applier, 2, cs_str ("")));
	assert_int_equal (d.applier.counts.malformed, 2);
	assert_int_equal (d.applier.next_offset, 3);
	assert_true (d.applier.caught_up);
	support_node_finish (&d);
}

/* After a writer has been pruned by age, a duplicate of its record must not take effect. */
static void
test_window (void **state)
{
	support_log_t log;
	support_node_t d;
	(void)state;
	support_log_init (&log);
	support_node_init (&d, 99, disabled_mechanisms ());
	support_names_put (&log, 1, 1, 1, "a");
	for (uint64_t i = 1; i <= CS_APPLIER_WINDOW + 1; i++)
		support_names_put (&log, 2, i, i, "");
	support_log_apply_records (&log, &d.applier, 0);
	cs_buf_t out = {0};
	cs_applier_export_state (&d.applier, &out);
	assert_int_equal (HASH_COUNT (d.applier.writers), 1);
	support_names_put (&log, 1, 1, 1, "a");
	support_log_apply_records (&log, &d.applier, 0);
	assert_string_equal (support_node_names (&d), "a;");
	assert_int_equal (d.applier.counts.aged, 1);
	cs_buf_finish (&out);
	support_node_finish (&d);
	support_log_finish (&log);
}

static void
test_lost_answer (void **state)
{
	support_log_t log;
	support_node_t d;
	cs_ticket_outcome_t done;
	(void)state;
	support_log_init (&log);
	support_node_init (&d, 7, disabled_mechanisms ());
	log.lost_replies = 2;
	log.copies_delayed_record = true;
	uint64_t a = support_node_submit (&d, "a");
	for (int64_t now = 0; now < 5000; now += 100)
		support_log_append_next (&log, &d.writer, now);
	support_log_apply_records (&log, &d.applier, 5000);
	cs_str_t late = cs_buf_str (&log.delayed_record);
	uint64_t b = support_node_submit (&d, "b");
	support_log_append_next (&log, &d.writer, 9000);
	support_log_append (&log, "zone-a", &late, 1);
	support_log_apply_records (&log, &d.applier, 9000);
	assert_string_equal (support_node_names (&d), "a;b;");
	assert_true (cs_writer_next_outcome (&d.writer, &done));
	assert_true (done.ticket == a && done.result == CS_TICKET_VALID && done.offset == 1);
	assert_true (cs_writer_next_outcome (&d.writer, &done));
	assert_true (done.ticket == b && done.result == CS_TICKET_VALID);
	assert_false (cs_writer_next_outcome (&d.writer, &done));
	support_node_finish (&d);
	support_log_finish (&log);
}

static void
test_cancel (void **state)
{
	support_node_t d;
	cs_writer_batch_t batch;
	(void)state;
	support_node_init (&d, 7, disabled_mechanisms ());
	uint64_t a = support_node_submit (&d, "a");
	assert_true (cs_writer_cancel (&d.writer, a));
	uint64_t b = support_node_submit (&d, "b");
	assert_true (cs_writer_next_append (&d.writer, 0, &batch));
	assert_false (cs_writer_cancel (&d.writer, b));
	assert_false (cs_writer_next_append (&d.writer, 10, &batch));
	cs_writer_append_done (&d.writer, batch.id, CS_UNKNOWN, 10);
	assert_false (cs_writer_cancel (&d.writer, b));
	cs_writer_record_applied (&d.writer, 5, 9, CS_APPLY_VALID);
	cs_ticket_outcome_t done;
	assert_true (cs_writer_next_outcome (&d.writer, &done));
	assert_true (done.ticket == b && done.result == CS_TICKET_VOID);
	support_node_finish (&d);
}

/* A daemon whose next offset has expired restores a snapshot, also one of several records, and is
 * not current before. */
static void
test_gap (void **state)
{
	support_log_t log;
	support_node_t source;
	support_node_t late;
	char vm[64];
	(void)state;
	support_log_init (&log);
	support_node_init (&source, 1, disabled_mechanisms ());
	support_node_init (&late, 2, disabled_mechanisms ());
	for (int i = 0; i < BIG_NAMES; i++) {
		snprintf (vm, sizeof vm, "vm-%060d", i);
		support_node_submit (&source, vm);
		if (i % 1000 == 999)
			while (support_log_append_next (&log, &source.writer, 0))
				support_log_apply_records (&log, &source.applier, 0);
	}
	support_log_expire (&log, "zone-a", 100);
	support_log_apply_records (&log, &late.applier, 0);
	assert_true (late.applier.needs_snapshot);
	assert_false (cs_applier_is_current (&late.applier, 0));
	assert_int_equal (cs_applier_submit_snapshot (&source.applier, &source.writer, 0), CS_OK);
	assert_true (source.writer.n > 1);
	while (support_log_append_next (&log, &source.writer, 0))
		support_log_apply_records (&log, &source.applier, 0);
	support_node_submit (&source, "after");
	support_log_append_next (&log, &source.writer, 0);
	support_log_apply_records (&log, &source.applier, 0);
	support_log_apply_records (&log, &late.applier, 0);
	assert_false (late.applier.needs_snapshot);
	assert_true (cs_applier_is_current (&late.applier, 0));
	assert_string_equal (support_node_names (&late), support_node_names (&source));
	assert_int_equal (late.applier.next_offset, source.applier.next_offset);
	support_node_finish (&late);
	support_node_finish (&source);
	support_log_finish (&log);
}

static void
test_bad_snapshot (void **state)
{
	support_log_t log;
	support_node_t late;
	Cs__Snapshot s = CS__SNAPSHOT__INIT;
	Cs__Record r = CS__RECORD__INIT;
	(void)state;
	support_log_init (&log);
	support_node_init (&late, 2, disabled_mechanisms ());
	support_names_put (&log, 1, 1, 1, "a");
	support_names_put (&log, 1, 2, 1, "b");
	s.offset = 2;
	s.parts = 1;
	s.digest = 1234; /* not that of the empty state */
	r.incarnation = 1;
	r.sequence = 3;
	r.body_case = CS__RECORD__BODY_SNAPSHOT;
	r.snapshot = &s;
	support_log_put_record (&log, "zone-a", &r);
	support_log_expire (&log, "zone-a", 2);
	support_log_apply_records (&log, &late.applier, 0);
	assert_true (late.applier.needs_snapshot);
	assert_string_equal (support_node_names (&late), "");
	support_node_finish (&late);
	support_log_finish (&log);
}

static void
test_peer_state (void **state)
{
	support_log_t log;
	support_node_t a;
	support_node_t b;
	cs_buf_t bytes = {0};
	(void)state;
	support_log_init (&log);
	support_node_init (&a, 1, disabled_mechanisms ());
	support_node_init (&b, 2, disabled_mechanisms ());
	support_names_put (&log, 1, 1, 1, "x");
	support_log_apply_records (&log, &a.applier, 0);
	uint64_t digest = cs_applier_export_state (&a.applier, &bytes);
	cs_str_t s = cs_buf_str (&bytes);
	if (!cs_options_is_disabled (&options, "digest"))
		assert_int_equal (cs_applier_restore_from_peer (&b.applier, 2, s, digest + 1),
				  CS_INVALID);
	assert_int_equal (cs_applier_restore_from_peer (&b.applier, 2, s, digest), CS_OK);
	assert_string_equal (support_node_names (&b), "x;");
	assert_int_equal (cs_applier_restore_from_peer (&b.applier, 2, s, digest), CS_CONFLICT);
	assert_int_equal (cs_applier_restore_from_peer (&b.applier, 1, s, digest), CS_CONFLICT);
	assert_false (cs_applier_is_current (&b.applier, 0));
	cs_buf_finish (&bytes);
	support_node_finish (&a);
	support_node_finish (&b);
	support_log_finish (&log);
}

/* Outcome of a pending record when a snapshot is restored: included in the snapshot, still to be
 * applied, or so old that the snapshot no longer lists its writer. */
static void
test_covered (void **state)
{
	static const struct {
		uint64_t offset;   /* of the snapshot */
		uint64_t sequence; /* of the writer in it; 0: writer not listed */
		bool is_sent;
		bool has_outcome;
		cs_ticket_result_t result;
	} cases[] = {
		{10, 1, true, true, CS_TICKET_UNKNOWN},
		{10, 0, true, false, CS_TICKET_VALID},
		{10, 0, false, false, CS_TICKET_VALID},
		{CS_APPLIER_WINDOW + 2, 0, true, true, CS_TICKET_UNKNOWN},
		{CS_APPLIER_WINDOW + 2, 0, false, true, CS_TICKET_VOID},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		support_node_t a;
		support_node_t b;
		cs_writer_batch_t batch;
		cs_ticket_outcome_t done;
		cs_buf_t bytes = {0};
		support_node_init (&a, 1, disabled_mechanisms ());
		support_node_init (&b, 2, disabled_mechanisms ());
		support_node_submit (&b, "x");
		if (cases[i].is_sent)
			assert_true (cs_writer_next_append (&b.writer, 0, &batch));
		if (cases[i].sequence)
			cs_applier_set_writer (&a.applier, 2, cases[i].sequence, 1);
		a.applier.next_offset = cases[i].offset;
		uint64_t digest = cs_applier_export_state (&a.applier, &bytes);
		assert_int_equal (cs_applier_restore_from_peer (&b.applier, cases[i].offset,
								cs_buf_str (&bytes), digest),
				  CS_OK);
		assert_int_equal (cs_writer_next_outcome (&b.writer, &done), cases[i].has_outcome);
		if (cases[i].has_outcome)
			assert_int_equal (done.result, cases[i].result);
		cs_buf_finish (&bytes);
		support_node_finish (&a);
		support_node_finish (&b);
	}
}

static void
test_snapshot_due (void **state)
{
	static const struct {
		uint64_t begin, end, snapshot_offset, snapshot_at;
		int64_t snapshot_ms, now_ms;
		size_t rank;
		bool is_due;
	} cases[] = {
		{1, 100, 1, 0, 0, 1000, 0, false},
		{1, 100, 1, 0, 0, CS_APPLIER_SNAPSHOT_MS, 0, true},
		{1, 100, 1, 0, 0, CS_APPLIER_SNAPSHOT_MS, 1, false}, /* rank 0 writes first */
		{1, CS_APPLIER_SNAPSHOT_RECORDS + 5, 1, 0, 0, 1000, 0, true},
		{50, 100, 40, 41, 0, 1000, 0, true}, /* the snapshot has expired */
		{50, 100, 55, 56, 0, 1000, 0, true}, /* the snapshot is in the oldest quarter */
		{50, 100, 90, 91, 0, 1000, 0, false},
		{50, 52, 50, 50, 0, 1000, 0, true}, /* the snapshot is the oldest of few records */
		{50, 52, 51, 51, 0, 1000, 0, false},
		{52, 52, 51, 51, 0, 1000, 0, true},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		support_node_t d;
		support_node_init (&d, 1, disabled_mechanisms ());
		d.applier.next_offset = cases[i].end;
		d.applier.begin = cases[i].begin;
		d.applier.end = cases[i].end;
		d.applier.caught_up = true;
		d.applier.snapshot_offset = cases[i].snapshot_offset;
		d.applier.snapshot_record_offset = cases[i].snapshot_at;
		d.applier.snapshot_applied_ms = cases[i].snapshot_ms;
		assert_int_equal (
			cs_applier_is_snapshot_due (&d.applier, cases[i].now_ms, cases[i].rank),
			cases[i].is_due);
		support_node_finish (&d);
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_records),      cmocka_unit_test (test_malformed),
		cmocka_unit_test (test_window),       cmocka_unit_test (test_lost_answer),
		cmocka_unit_test (test_cancel),       cmocka_unit_test (test_gap),
		cmocka_unit_test (test_bad_snapshot), cmocka_unit_test (test_peer_state),
		cmocka_unit_test (test_covered),      cmocka_unit_test (test_snapshot_due),
	};
	options = cs_options_parse (argc, argv, 1);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
