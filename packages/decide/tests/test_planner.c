/* Replacement of a member that fails, leaves or loads too slowly, under the cost weights of both
 * operators. */
#include "cs_options.h"
#include "cs_test.h"
#include "support_planner.h"

enum {
	FORMING_MS = 300000,
	ENDED_MS = 4000,     /* refused polls, their confirmation, and two planner runs */
	SILENT_MS = 10000,   /* lost_after_ms, an unanswered poll, and two planner runs */
	WARM_MS = 15000,     /* evidence bound, drain without requests, bind_ms; no load */
	OVERDUE_MS = 260000, /* four times load_ms + bind_ms, and some planner runs */
	REPEATED_OVERDUE_MS = 4 * OVERDUE_MS, /* several loads time out, each later than the last */
	ENDLESS_MS = 3600000,
	ORDERS_MS = 5000 /* until all orders to a spare have expired */
};

static cs_options_t options;
static const double operators[][2] = {{20, 1}, {2, 3}};

typedef enum {
	ENDED,
	SILENT,
	BRIEFLY_SILENT
} member_fault_t;

/* A member is lost while its domain has an idle spare. */
static const struct {
	const char *name;
	member_fault_t fault;
	int64_t store_load_ms; /* duration of the loads before the fault */
	int64_t replaced_ms;   /* bound; 0: the member is not replaced */
} losses[] = {
	{"the member's process has ended", ENDED, 60000, ENDED_MS},
	{"the member's process has ended, loads are short", ENDED, 1000, ENDED_MS},
	{"the member is silent, loads are short", SILENT, 1000, SILENT_MS},
	{"the member is silent for 4 s, loads are long", BRIEFLY_SILENT, 60000, 0},
	{"the member is silent for 4 s, loads are short", BRIEFLY_SILENT, 1000, 0},
};

static void
inject_fault (planner_sim_t *w, planner_vm_t *vm, member_fault_t fault)
{
	vm->ended = fault == ENDED;
	if (fault == SILENT)
		vm->silent_until_ms = w->now_ms + FORMING_MS;
	if (fault == BRIEFLY_SILENT)
		vm->silent_until_ms = w->now_ms + 4000;
}

static void
test_losses (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (losses) * CS_ARRAY_LEN (operators); i++) {
		size_t c = i / CS_ARRAY_LEN (operators);
		planner_sim_t w;
		planner_sim_init (&w, operators[i % CS_ARRAY_LEN (operators)], options.without);
		/* A warm spare would hide the effect of load times. */
		w.planner.disabled |= CS_PLANNER_WARM;
		for (size_t k = 0; k < PLANNER_VMS; k++)
			w.vms[k].store_load_ms = losses[c].store_load_ms;
		assert_in_range (planner_sim_run_until_whole (&w, FORMING_MS), 1, FORMING_MS - 1);
		planner_vm_t *vm = planner_sim_member (&w, 1);
		uint64_t fence = planner_sim_fence (&w);
		inject_fault (&w, vm, losses[c].fault);
		int64_t end =
			w.now_ms + (losses[c].replaced_ms ? losses[c].replaced_ms : SILENT_MS);
		while (w.now_ms < end)
			planner_sim_step (&w);
		bool kept = planner_sim_fence (&w) == fence;
		planner_sim_finish (&w);
		if (kept != !losses[c].replaced_ms)
			fail_msg ("%s, weights %zu: %s", losses[c].name, i % 2,
				  kept ? "kept" : "replaced");
	}
}

/* A group loses a member after its spares have loaded the weights: the substitute must not load
 * again, and must not get its order before earlier ones have expired if fencing is ignored. */
static const struct {
	const char *name;
	bool fences_orders;
	bool leaves;
	member_fault_t fault;
	int64_t whole_ms; /* bound */
} substitutions[] = {
	{"a member leaves", true, true, SILENT, WARM_MS},
	{"a member leaves, fencing ignored", false, true, SILENT, WARM_MS + ORDERS_MS},
	{"a process ends", true, false, ENDED, WARM_MS},
	{"a process ends, fencing ignored", false, false, ENDED, WARM_MS + ORDERS_MS},
	{"a member is silent", true, false, SILENT, SILENT_MS + WARM_MS},
};

static void
test_substitutions (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (substitutions); i++) {
		planner_sim_t w;
		planner_sim_init (&w, operators[0], options.without);
		w.spec.fences_orders = substitutions[i].fences_orders;
		planner_sim_run_until_whole (&w, FORMING_MS);
		for (int64_t end = w.now_ms + FORMING_MS; w.now_ms < end;)
			planner_sim_step (&w);
		planner_vm_t *vm = planner_sim_member (&w, 1);
		if (substitutions[i].leaves)
			vm->leaving = true;
		else
			inject_fault (&w, vm, substitutions[i].fault);
		for (int64_t end = w.now_ms + CS_EVIDENCE_MAX_AGE_MS + 1000; w.now_ms < end;)
			planner_sim_step (&w);
		int64_t ms = CS_EVIDENCE_MAX_AGE_MS + 1000 +
			     planner_sim_run_until_whole (&w, FORMING_MS);
		uint32_t loads = 0;
		for (size_t k = 0; k < PLANNER_VMS; k++)
			loads += w.vms[k].loads;
		int64_t min_order_delay_ms = w.min_order_delay_ms;
		planner_sim_finish (&w);
		if (!substitutions[i].fences_orders && min_order_delay_ms < ORDERS_MS)
			fail_msg ("%s: an order %lld ms after the FORM", substitutions[i].name,
				  (long long)min_order_delay_ms);
		if (ms > substitutions[i].whole_ms)
			fail_msg ("%s: whole after %lld ms", substitutions[i].name, (long long)ms);
		assert_int_equal (loads, PLANNER_VMS);
	}
}

/* Loads that take longer than expected or never end while a group forms. */
static const struct {
	const char *name;
	int64_t store_load_ms[PLANNER_VMS];
	bool cold_spares; /* spares have to load, too */
	bool kept;        /* the first assignment becomes whole */
	int64_t whole_ms;
} slow_loads[] = {
	{"as expected", {60000, 60000, 60000, 60000}, false, true, 120000},
	{"one never ends", {60000, ENDLESS_MS, 60000, 60000}, false, false, OVERDUE_MS + 60000},
	{"one never ends, spares are cold",
	 {60000, ENDLESS_MS, 60000, 60000},
	 true,
	 false,
	 OVERDUE_MS + 120000},
	{"both never end",
	 {ENDLESS_MS, ENDLESS_MS, 60000, 60000},
	 false,
	 false,
	 OVERDUE_MS + 60000},
	{"one is slow", {60000, 180000, 60000, 60000}, false, true, 240000},
	{"the store is slow", {180000, 180000, 180000, 180000}, false, true, 240000},
	{"the store is very slow", {350000, 350000, 350000, 350000}, false, true, 360000},
	{"the store is very slow, spares are cold",
	 {350000, 350000, 350000, 350000},
	 true,
	 false,
	 REPEATED_OVERDUE_MS},
};

static void
test_slow_loads (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (slow_loads); i++) {
		planner_sim_t w;
		planner_sim_init (&w, operators[i % 2], options.without);
		w.planner.disabled |= slow_loads[i].cold_spares ? CS_PLANNER_WARM : 0;
		for (size_t k = 0; k < PLANNER_VMS; k++)
			w.vms[k].store_load_ms = slow_loads[i].store_load_ms[k];
		while (!planner_sim_fence (&w))
			planner_sim_step (&w);
		uint64_t fence = planner_sim_fence (&w);
		int64_t ms = planner_sim_run_until_whole (&w, ENDLESS_MS);
		bool kept = planner_sim_fence (&w) == fence;
		planner_sim_finish (&w);
		if (ms > slow_loads[i].whole_ms || kept != slow_loads[i].kept)
			fail_msg ("%s: whole after %lld ms, %s", slow_loads[i].name, (long long)ms,
				  kept ? "kept" : "formed anew");
	}
}

/* After a change of the declared version, members and spares all load the new one: a spare with the
 * old version cannot substitute a member. */
static void
test_version (void **state)
{
	planner_sim_t w;
	(void)state;
	planner_sim_init (&w, operators[0], options.without);
	planner_sim_run_until_whole (&w, FORMING_MS);
	for (int64_t end = w.now_ms + FORMING_MS; w.now_ms < end;)
		planner_sim_step (&w);
	w.spec.version = "2";
	for (int64_t end = w.now_ms + FORMING_MS; w.now_ms < end;)
		planner_sim_step (&w);
	for (size_t k = 0; k < PLANNER_VMS; k++) {
		assert_int_equal (w.vms[k].state, CS_MEMBER_READY);
		assert_string_equal (w.vms[k].version, "2");
	}
	planner_sim_finish (&w);
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_losses),
		cmocka_unit_test (test_substitutions),
		cmocka_unit_test (test_version),
		cmocka_unit_test (test_slow_loads),
	};
	options = cs_options_parse (argc, argv, 1);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
