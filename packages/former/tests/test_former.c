/* The task "former" between a fake store and no back ends: when it plans, what it keeps and
 * what it proposes as its turn and the ledger change. */
#include <stdlib.h>
#include <string.h>

#include "cs/record.pb-c.h"
#include "cs_test.h"
#include "former.h"
#include "support_loop.h"

enum {
	LONG_MS = 60000,
	MS_PER_S = 1000,
	TWO_TICKS_MS = 450, /* the task plans each 200 ms */
	MOST_TICKS = 20     /* a planner that took over acts after 1.3 s */
};

static struct {
	int proposals;
	uint64_t offset; /* on which the last one builds */
	size_t records;
} store;

static cs_status_t
fake_init (cs_task_t *task)
{
	(void)task;
	return CS_OK;
}

static void
fake_finish (cs_task_t *task)
{
	(void)task;
}

static void
store_receive (cs_task_t *task, cs_msg_t *m)
{
	const cs_ledger_msg_t *p = (const cs_ledger_msg_t *)m;
	(void)task;
	if (m->kind != CS_HOST_PROPOSE)
		return;
	store.proposals++;
	store.offset = p->offset;
	store.records = p->n_records;
}

static cs_plugin_t fakes[] = {
	{"store", 1, fake_init, NULL, store_receive, fake_finish, CS_PROFILE_HOSTED, NULL},
};

typedef struct {
	cs_kernel_t kernel;
	cs_host_t host;
	cs_serving_t *serving;
	cs_task_t *task;
	cs_former_t *former;
} bench_t;

static void
encode_order (const cs_order_t *order, cs_buf_t *out)
{
	cs_buf_printf (out, "%d", (int)order->kind);
}

static bool
decode_report (cs_str_t body, cs_report_t *out)
{
	(void)body;
	(void)out;
	return false;
}

static const cs_header_names_t names = {.expected_backend = "X-Expected"};
static const cs_adapter_t adapter = {.headers = &names,
				     .order_path = "/order",
				     .report_path = "/report",
				     .encode_order = encode_order,
				     .decode_report = decode_report};

static void
run (bench_t *b, int64_t ms)
{
	loop_run_for (b->kernel.loop, (double)ms / MS_PER_S);
}

static cs_serving_t *
make_serving (void)
{
	cs_serving_t *s = cs_serving_new ();
	cs_serving_service_t *v = cs_serving_add_service (s);
	v->name = cs_str_dup (cs_str ("llm"));
	v->loads_per_s = 4;
	v->loads_at_once = 6;
	cs_serving_model_t *m = cs_serving_add_model (v);
	m->name = cs_str_dup (cs_str ("m"));
	m->group_size = 2;
	m->share = 1;
	m->load_ms = 12000;
	m->warm_ms = 1000;
	return s;
}

static void
list (bench_t *b, const char *id)
{
	cs_backend_t *e = cs_backend_new ();
	e->id = cs_str_dup (cs_str (id));
	e->service = cs_str_dup (cs_str ("llm"));
	e->address = cs_str_dup (cs_str ("127.0.0.1:9"));
	e->zone = cs_str_dup (cs_str ("z"));
	e->domain = cs_str_dup (cs_str ("d"));
	e->model = cs_str_dup (cs_str ("m"));
	e->staged = cs_str_dup (cs_str ("m"));
	e->group = cs_str_dup (cs_str (""));
	cs_send (NULL, b->task, &cs_backend_msg (cs_str (id), e)->msg);
	cs_ref_put (&e->ref);
}

static void
setup (bench_t *b)
{
	static char name[] = "d1";
	memset (b, 0, sizeof *b);
	memset (&store, 0, sizeof store);
	b->host.name = name;
	b->host.adapter = &adapter;
	cs_kernel_init (&b->kernel, &b->host);
	b->kernel.profile = CS_PROFILE_HOSTED;
	assert_int_equal (cs_kernel_start (&b->kernel), CS_OK);
	b->task = cs_task_find (&b->kernel, "former");
	b->former = b->task->state;
	b->serving = make_serving ();
	cs_send (NULL, b->task, &cs_serving_msg (b->serving)->msg);
	cs_send (NULL, b->task, &cs_state_msg (CS_HOST_LIST_STATE, true, 0)->msg);
}

static void
teardown (bench_t *b)
{
	cs_kernel_finish (&b->kernel);
	cs_ref_put (&b->serving->ref);
}

static void
turn (bench_t *b, bool held, bool anew, int64_t for_ms)
{
	cs_state_msg_t *m = cs_state_msg (CS_HOST_TURN, held, held ? cs_now_ms () + for_ms : 0);
	m->anew = anew;
	cs_send (NULL, b->task, &m->msg);
}

static void
record (bench_t *b, uint64_t offset)
{
	static char m1[] = "gone-1", m2[] = "gone-2", group[] = "g", llm[] = "llm", model[] = "m";
	char *members[] = {m1, m2};
	uint8_t bytes[256];
	Cs__Form form = CS__FORM__INIT;
	Cs__Record r = CS__RECORD__INIT;
	form.group = group;
	form.model_group = llm;
	form.model = model;
	form.members = members;
	form.n_members = 2;
	r.body_case = CS__RECORD__BODY_FORM;
	r.form = &form;
	size_t n = cs__record__pack (&r, bytes);
	cs_send (NULL, b->task,
		 &cs_ledger_msg (CS_HOST_LEDGER, offset, cs_str_n ((char *)bytes, n), CS_OK)->msg);
}

static void
ledger_end (bench_t *b, uint64_t offset)
{
	cs_send (NULL, b->task, &cs_ledger_msg (CS_HOST_LEDGER, offset, cs_str (NULL), CS_OK)->msg);
}

/* obstacle NULL: it plans. */
static void
check_obstacle (const bench_t *b, const char *obstacle)
{
	assert_int_equal (!b->former->obstacle, !obstacle);
	if (obstacle)
		assert_string_equal (b->former->obstacle, obstacle);
}

/* A turn, the ledger with one record, and what the row does next. */
static void
take_turn (bench_t *b)
{
	turn (b, true, true, LONG_MS);
	record (b, 0);
	ledger_end (b, 1);
}

static void
lapse_and_go_on (bench_t *b)
{
	turn (b, true, false, -1);
	run (b, TWO_TICKS_MS);
	check_obstacle (b, "turn-not-renewed");
	assert_int_equal (HASH_COUNT (b->former->formation.groups), 1);
	turn (b, true, false, LONG_MS);
}

static void
begin_anew (bench_t *b)
{
	turn (b, true, true, LONG_MS);
	ledger_end (b, 0);
}

static void
begin_anew_unread (bench_t *b)
{
	turn (b, true, true, LONG_MS);
}

static void
lose_turn (bench_t *b)
{
	turn (b, false, false, 0);
	ledger_end (b, 1);
}

static void
lose_list (bench_t *b)
{
	cs_send (NULL, b->task, &cs_state_msg (CS_HOST_LIST_STATE, false, 0)->msg);
}

static void
do_nothing (bench_t *b)
{
	(void)b;
}

static const struct {
	const char *name;
	void (*act) (bench_t *b);
	const char *obstacle; /* NULL: it plans */
	unsigned groups;      /* that it knows */
} cases[] = {
	{"it has the turn and has read the ledger", do_nothing, NULL, 1},
	{"a lease that lapsed and goes on keeps the groups", lapse_and_go_on, NULL, 1},
	{"a turn that begins anew forgets them", begin_anew, NULL, 0},
	{"and waits for the ledger", begin_anew_unread, "ledger-unread", 0},
	{"another daemon plans", lose_turn, "no-turn", 1},
	{"the list can't be read", lose_list, "list-away", 1},
};

static void
test_turns (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_COUNT (cases); i++) {
		bench_t b;
		setup (&b);
		take_turn (&b);
		run (&b, TWO_TICKS_MS);
		cases[i].act (&b);
		run (&b, TWO_TICKS_MS);
		print_message ("%s: %s\n", cases[i].name,
			       b.former->obstacle ? b.former->obstacle : "plans");
		check_obstacle (&b, cases[i].obstacle);
		assert_int_equal (HASH_COUNT (b.former->formation.groups), cases[i].groups);
		teardown (&b);
	}
}

/* Nothing is planned on a proposal whose fate is open; one that came too late is made anew
 * on the ledger's new end. */
static void
test_proposals (void **state)
{
	static const struct {
		cs_status_t status;
		int proposals;
		uint64_t offset; /* of the last proposal */
	} rows[] = {
		{CS_OK, 1, 0}, /* its record is not read yet */
		{CS_CONFLICT, 2, 1},
		{CS_UNAVAILABLE, 2, 1},
		{CS_UNKNOWN, 2, 1},
	};
	(void)state;
	for (size_t i = 0; i < CS_COUNT (rows); i++) {
		bench_t b;
		setup (&b);
		list (&b, "a");
		list (&b, "b");
		list (&b, "c");
		turn (&b, true, true, LONG_MS);
		ledger_end (&b, 0);
		for (int k = 0; !store.proposals && k < MOST_TICKS; k++)
			run (&b, TWO_TICKS_MS);
		run (&b, TWO_TICKS_MS);
		assert_int_equal (store.proposals, 1);
		assert_int_equal (store.records, 1);
		check_obstacle (&b, "append-unanswered");
		cs_send (NULL, b.task,
			 &cs_ledger_msg (CS_HOST_PROPOSED, 0, cs_str (NULL), rows[i].status)->msg);
		run (&b, TWO_TICKS_MS);
		assert_int_equal (store.proposals, 1);
		check_obstacle (&b, "ledger-unread");
		if (rows[i].status != CS_OK) {
			record (&b, 0);
			ledger_end (&b, 1);
		}
		run (&b, TWO_TICKS_MS);
		assert_int_equal (store.proposals, rows[i].proposals);
		assert_int_equal (store.offset, rows[i].offset);
		teardown (&b);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_turns),
					   cmocka_unit_test (test_proposals)};
	cs_plugin_register (&fakes[0]);
	assert_non_null (cs_former_plugin.name);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
