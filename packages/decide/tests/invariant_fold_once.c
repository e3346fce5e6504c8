/* Property test of how records are applied under random lost replies, refused appends, outages,
 * duplicates, expiry, snapshots and restarts: each reported outcome is true, each record takes
 * effect at most once, and all nodes reach the same state. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/rng.h"
#include "cs_options.h"
#include "cs_test.h"
#include "support_names.h"

enum {
	PROPERTY_RUNS = 200,
	PROPERTY_STEPS = 300,
	WRITERS = 4
};

static cs_options_t options;

static unsigned
disabled_mechanisms (void)
{
	return cs_options_is_disabled (&options, "dedupe") ? CS_APPLIER_NO_DEDUPE : 0;
}

/* Nodes on a log with faults. Each record's name is the number of its step, so a name that occurs
 * twice shows a record that took effect twice. */
typedef struct {
	support_log_t log;
	support_node_t nodes[WRITERS];
	int steps_of[WRITERS][PROPERTY_STEPS + CS_WRITER_QUEUE]; /* step by ticket; 0: none */
	cs_ticket_result_t results[PROPERTY_STEPS + 1];
	bool known[PROPERTY_STEPS + 1];
	uint64_t incarnation; /* last assigned */
	cs_rng_t rng;
	int64_t now_ms;
} run_t;

static void
collect_outcomes (run_t *run, int i)
{
	cs_ticket_outcome_t done;
	while (cs_writer_next_outcome (&run->nodes[i].writer, &done)) {
		int step = run->steps_of[i][done.ticket];
		run->known[step] = step > 0;
		run->results[step] = done.result;
	}
}

static void
restart_node (run_t *run, int i)
{
	collect_outcomes (run, i);
	support_node_finish (&run->nodes[i]);
	support_node_init (&run->nodes[i], ++run->incarnation, disabled_mechanisms ());
	memset (run->steps_of[i], 0, sizeof run->steps_of[i]);
}

static void
inject_log_fault (run_t *run)
{
	support_log_t *log = &run->log;
	cs_str_t late = cs_buf_str (&log->delayed_record);
	switch (cs_rng_below (&run->rng, 5)) {
	case 0:
		log->lost_replies = cs_rng_below (&run->rng, 3);
		log->copies_delayed_record = true;
		break;
	case 1:
		log->rejected_appends = cs_rng_below (&run->rng, 3);
		break;
	case 2:
		log->down = !log->down;
		break;
	case 3:
		if (late.n)
			support_log_append (log, "zone-a", &late, 1);
		break;
	default: /* only records that a snapshot includes may expire */
		support_log_expire (log, "zone-a", run->nodes[0].applier.snapshot_offset);
	}
}

static void
run_step (run_t *run, int step)
{
	char vm[32];
	int i = (int)cs_rng_below (&run->rng, WRITERS);
	support_node_t *d = &run->nodes[i];
	switch (cs_rng_below (&run->rng, 8)) {
	case 0:
		if (!d->applier.needs_snapshot && cs_rng_below (&run->rng, 4) == 0)
			cs_applier_submit_snapshot (&d->applier, &d->writer, run->now_ms);
		break;
	case 1:
		if (i && cs_rng_below (&run->rng, 8) == 0)
			restart_node (run, i);
		break;
	case 2:
	case 3:
		snprintf (vm, sizeof vm, "%d", step);
		run->steps_of[i][support_node_submit (d, vm)] = step;
		break;
	default:
		support_log_append_next (&run->log, &d->writer, run->now_ms);
		support_log_apply_records (&run->log, &d->applier, run->now_ms);
	}
}

static void
drain (run_t *run)
{
	run->log.down = false;
	run->log.lost_replies = run->log.rejected_appends = 0;
	for (int k = 0; k < 10 * WRITERS; k++) {
		support_node_t *d = &run->nodes[k % WRITERS];
		run->now_ms += CS_WRITER_APPEND_TIMEOUT_MS;
		support_log_append_next (&run->log, &d->writer, run->now_ms);
		support_log_apply_records (&run->log, &d->applier, run->now_ms);
	}
	for (int i = 0; i < WRITERS; i++) {
		support_log_apply_records (&run->log, &run->nodes[i].applier, run->now_ms);
		collect_outcomes (run, i);
	}
}

static void
assert_outcomes_match_state (const run_t *run)
{
	cs_buf_t all = {0};
	char vm[32];
	cs_buf_printf (&all, ";%s", support_node_names (&run->nodes[0]));
	for (int step = 1; step <= PROPERTY_STEPS; step++) {
		snprintf (vm, sizeof vm, ";%d;", step);
		const char *first = strstr (all.p, vm);
		assert_true (!first || !strstr (first + 1, vm));
		if (run->known[step] && run->results[step] == CS_TICKET_VALID)
			assert_non_null (first);
		if (run->known[step] && run->results[step] == CS_TICKET_VOID)
			assert_null (first);
		if (run->known[step] && run->results[step] == CS_TICKET_UNKNOWN)
			assert_non_null (first);
	}
	cs_buf_finish (&all);
}

static void
run_property (uint64_t seed)
{
	run_t *run = cs_alloc (sizeof *run);
	cs_rng_init (&run->rng, seed);
	run->incarnation = WRITERS;
	for (int i = 0; i < WRITERS; i++)
		support_node_init (&run->nodes[i], (uint64_t)i + 1, disabled_mechanisms ());
	for (int step = 1; step <= PROPERTY_STEPS; step++) {
		run->now_ms += 50;
		if (cs_rng_below (&run->rng, 3) == 0)
			inject_log_fault (run);
		run_step (run, step);
	}
	drain (run);
	for (int i = 0; i < WRITERS; i++) {
		assert_string_equal (support_node_names (&run->nodes[i]),
				     support_node_names (&run->nodes[0]));
		assert_int_equal (run->nodes[i].applier.next_offset,
				  run->nodes[0].applier.next_offset);
		assert_int_equal (run->nodes[i].writer.n, 0);
	}
	assert_outcomes_match_state (run);
	for (int i = 0; i < WRITERS; i++)
		support_node_finish (&run->nodes[i]);
	support_log_finish (&run->log);
	free (run);
}

static void
test_property (void **state)
{
	(void)state;
	for (uint32_t i = 0; i < options.runs; i++) {
		uint64_t seed = options.seed + i;
		print_message ("seed %" PRIu64 "\n", seed);
		run_property (seed);
	}
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_property),
	};
	options = cs_options_parse (argc, argv, PROPERTY_RUNS);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
