/* Guards against records that are passed over, or read twice, when the log was restored. */
#include "cs/log_position.h"
#include "cs_test.h"

static const struct {
	const char *name;
	cs_log_position_t position;
	uint64_t era;
	uint64_t end;
	bool from_mirror;
	cs_log_relation_t relation;
} cases[] = {
	{"at the end", {3, 10}, 3, 10, false, CS_LOG_CURRENT},
	{"behind the end", {3, 10}, 3, 12, false, CS_LOG_CURRENT},
	{"restored, old end not reached yet", {3, 10}, 4, 7, false, CS_LOG_RESTORED},
	{"restored, ends at the position by chance", {3, 10}, 4, 10, false, CS_LOG_RESTORED},
	{"restored, has passed the old end", {3, 10}, 4, 50, false, CS_LOG_RESTORED},
	{"restored twice", {3, 10}, 5, 50, false, CS_LOG_RESTORED},
	{"a mirror knows of it first", {3, 10}, 4, 50, true, CS_LOG_RESTORED},
	{"a mirror does not know of it yet", {4, 10}, 3, 50, true, CS_LOG_OUTDATED},
	{"a mirror of the same era is behind", {3, 10}, 3, 8, true, CS_LOG_OUTDATED},
	{"a mirror that says no era", {3, 10}, 0, 50, true, CS_LOG_OUTDATED},
	{"a log without eras, at the end", {0, 10}, 0, 10, false, CS_LOG_CURRENT},
	{"a log without eras is shorter", {0, 10}, 0, 9, false, CS_LOG_RESTORED},
	{"a log that begins to say its era", {0, 10}, 1, 10, false, CS_LOG_RESTORED},
	{"the first read", {0, 0}, 0, 0, false, CS_LOG_CURRENT},
};

static void
test_relations (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		print_message ("%s\n", cases[i].name);
		assert_int_equal (cs_log_position_compare (&cases[i].position, cases[i].era,
							   cases[i].end, cases[i].from_mirror),
				  cases[i].relation);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_relations)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
