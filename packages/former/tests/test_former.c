/* The task "former" with a fake store and no reachable back ends: when it plans, which groups it
 * retains and what it proposes as its planner lease and the ledger change. */
#include <stdlib.h>
#include <string.h>

#include "cs/record.pb-c.h"
#include "cs_test.h"
#include "former.h"
#include "support_loop.h"
#include "support_memory.h"
#include "support_server.h"

enum {
	LEASE_MS = 60000,
	MS_PER_S = 1000,
	TWO_TICKS_MS = 450, /* the task plans every 200 ms */
	PROBES = 20,
	ANSWER_MS = 1000, /* longer than a probe waits */
	MAX_WAITS = 20    /* of TWO_TICKS_MS; a planner that takes over sends orders after 1.3 s */
};

static struct {
	int proposals;
	uint64_t offset; /* end of the ledger on which the last proposal builds */
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
} fixture_t;

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

static const cs_header_names_t names = {
	.expected_backend = "X-Expected", .leaving = "X-Leaving", .retry_after = "X-Retry-After"};
static const cs_adapter_t adapter = {.headers = &names,
				     .order_path = "/order",
				     .report_path = "/report",
				     .encode_order = encode_order,
				     .decode_report = decode_report};

static void
run_for (fixture_t *fx, int64_t ms)
{
	loop_run_for (fx->kernel.loop, (double)ms / MS_PER_S);
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
list_backend (fixture_t *fx, const char *id)
{
	cs_backend_t *backend = cs_backend_new ();
	backend->id = cs_str_dup (cs_str (id));
	backend->service = cs_str_dup (cs_str ("llm"));
	backend->address = cs_str_dup (cs_str ("127.0.0.1:9"));
	backend->zone = cs_str_dup (cs_str ("z"));
	backend->domain = cs_str_dup (cs_str ("d"));
	backend->model = cs_str_dup (cs_str ("m"));
	backend->staged = cs_str_dup (cs_str ("m"));
	backend->group = cs_str_dup (cs_str (""));
	cs_send (NULL, fx->task, &cs_backend_msg (cs_str (id), backend)->msg);
	cs_ref_put (&backend->ref);
}

static void
setup (fixture_t *fx)
{
	static char name[] = "d1";
	memset (fx, 0, sizeof *fx);
	memset (&store, 0, sizeof store);
	fx->host.name = name;
	fx->host.adapter = &adapter;
	cs_kernel_init (&fx->kernel, &fx->host);
	fx->kernel.profile = CS_PROFILE_HOSTED;
	assert_int_equal (cs_kernel_start (&fx->kernel), CS_OK);
	fx->task = cs_task_find (&fx->kernel, "former");
	fx->former = fx->task->state;
	fx->serving = make_serving ();
	cs_send (NULL, fx->task, &cs_serving_msg (fx->serving)->msg);
	cs_send (NULL, fx->task, &cs_state_msg (CS_HOST_LIST_STATE, true, 0)->msg);
}

static void
teardown (fixture_t *fx)
{
	cs_kernel_finish (&fx->kernel);
	cs_ref_put (&fx->serving->ref);
}

static void
send_lease (fixture_t *fx, bool held, bool anew, int64_t duration_ms)
{
	cs_state_msg_t *m =
		cs_state_msg (CS_HOST_PLANNER_LEASE, held, held ? cs_now_ms () + duration_ms : 0);
	m->is_new_lease = anew;
	cs_send (NULL, fx->task, &m->msg);
}

static void
send_form_record (fixture_t *fx, uint64_t offset)
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
	cs_send (NULL, fx->task,
		 &cs_ledger_msg (CS_HOST_LEDGER, offset, cs_str_n ((char *)bytes, n), CS_OK)->msg);
}

static void
send_ledger_end (fixture_t *fx, uint64_t offset)
{
	cs_send (NULL, fx->task,
		 &cs_ledger_msg (CS_HOST_LEDGER, offset, cs_str (NULL), CS_OK)->msg);
}

/* Checks why the task does not plan; blocked_reason NULL: it plans. */
static void
assert_blocked_reason (const fixture_t *fx, const char *blocked_reason)
{
	assert_int_equal (!fx->former->blocked_reason, !blocked_reason);
	if (blocked_reason)
		assert_string_equal (fx->former->blocked_reason, blocked_reason);
}

/* Grants the lease and sends a ledger with one record. */
static void
start_planning (fixture_t *fx)
{
	send_lease (fx, true, true, LEASE_MS);
	send_form_record (fx, 0);
	send_ledger_end (fx, 1);
}

static void
expire_then_renew (fixture_t *fx)
{
	send_lease (fx, true, false, -1);
	run_for (fx, TWO_TICKS_MS);
	assert_blocked_reason (fx, "turn-not-renewed");
	assert_int_equal (HASH_COUNT (fx->former->formation.groups), 1);
	send_lease (fx, true, false, LEASE_MS);
}

static void
begin_new_lease (fixture_t *fx)
{
	send_lease (fx, true, true, LEASE_MS);
	send_ledger_end (fx, 0);
}

static void
begin_new_lease_ledger_unread (fixture_t *fx)
{
	send_lease (fx, true, true, LEASE_MS);
}

static void
lose_lease (fixture_t *fx)
{
	send_lease (fx, false, false, 0);
	send_ledger_end (fx, 1);
}

static void
lose_backend_list (fixture_t *fx)
{
	cs_send (NULL, fx->task, &cs_state_msg (CS_HOST_LIST_STATE, false, 0)->msg);
}

static void
do_nothing (fixture_t *fx)
{
	(void)fx;
}

static const struct {
	const char *name;
	void (*change_state) (fixture_t *fx);
	const char *blocked_reason; /* NULL: the task plans */
	unsigned groups;            /* that the task knows */
} cases[] = {
	{"the lease is held and the ledger is read", do_nothing, NULL, 1},
	{"a lease that expired and is renewed retains the groups", expire_then_renew, NULL, 1},
	{"a new lease discards the groups", begin_new_lease, NULL, 0},
	{"a new lease does not plan before the ledger is read", begin_new_lease_ledger_unread,
	 "ledger-unread", 0},
	{"another daemon holds the lease", lose_lease, "no-turn", 1},
	{"the list of back ends cannot be read", lose_backend_list, "list-away", 1},
};

static void
test_lease (void **state)
{
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		fixture_t fx;
		setup (&fx);
		start_planning (&fx);
		run_for (&fx, TWO_TICKS_MS);
		cases[i].change_state (&fx);
		run_for (&fx, TWO_TICKS_MS);
		print_message ("%s: %s\n", cases[i].name,
			       fx.former->blocked_reason ? fx.former->blocked_reason : "plans");
		assert_blocked_reason (&fx, cases[i].blocked_reason);
		assert_int_equal (HASH_COUNT (fx.former->formation.groups), cases[i].groups);
		teardown (&fx);
	}
}

/* No plan builds on a proposal before its outcome has been read. If another record was appended
 * first, the groups are proposed again at the new end of the ledger. */
static void
test_proposals (void **state)
{
	static const struct {
		cs_status_t status;
		int proposals;
		uint64_t offset; /* of the last proposal */
	} rows[] = {
		{CS_OK, 1, 0}, /* the appended record is not read yet */
		{CS_CONFLICT, 2, 1},
		{CS_UNAVAILABLE, 2, 1},
		{CS_UNKNOWN, 2, 1},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (rows); i++) {
		fixture_t fx;
		setup (&fx);
		list_backend (&fx, "a");
		list_backend (&fx, "b");
		list_backend (&fx, "c");
		send_lease (&fx, true, true, LEASE_MS);
		send_ledger_end (&fx, 0);
		for (int k = 0; !store.proposals && k < MAX_WAITS; k++)
			run_for (&fx, TWO_TICKS_MS);
		run_for (&fx, TWO_TICKS_MS);
		assert_int_equal (store.proposals, 1);
		assert_int_equal (store.records, 1);
		assert_blocked_reason (&fx, "append-unanswered");
		cs_send (NULL, fx.task,
			 &cs_ledger_msg (CS_HOST_PROPOSED, 0, cs_str (NULL), rows[i].status)->msg);
		run_for (&fx, TWO_TICKS_MS);
		assert_int_equal (store.proposals, 1);
		assert_blocked_reason (&fx, "ledger-unread");
		if (rows[i].status != CS_OK) {
			send_form_record (&fx, 0);
			send_ledger_end (&fx, 1);
		}
		run_for (&fx, TWO_TICKS_MS);
		assert_int_equal (store.proposals, rows[i].proposals);
		assert_int_equal (store.offset, rows[i].offset);
		teardown (&fx);
	}
}

/* Reports without end are kept within a daemon's memory, and their probes end. */
static void
test_report_without_end (void **state)
{
	fixture_t fx;
	stub_server_t server;
	memory_watch_t watch;
	(void)state;
	setup (&fx);
	stub_server_init (&server, fx.kernel.loop);
	server.answer = "HTTP/1.1 200 OK\r\n\r\n";
	server.endless = "bytesxyz";
	send_lease (&fx, true, true, LEASE_MS);
	run_for (&fx, TWO_TICKS_MS);
	memory_watch_start (&watch, fx.kernel.loop);
	const cs_form_action_t probe = {
		.kind = CS_FORM_PROBE, .id = "b", .address = server.url + strlen ("http://")};
	for (int i = 0; i < PROBES; i++)
		cs_former_send (fx.former, &probe);
	run_for (&fx, ANSWER_MS);
	print_message ("%zu bytes sent, most %zu KB\n", server.endless_bytes, watch.most >> 10);
	assert_int_equal (fx.former->http.running, 0);
	memory_watch_check (&watch);
	memory_watch_stop (&watch, fx.kernel.loop);
	stub_server_finish (&server);
	teardown (&fx);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_lease),
					   cmocka_unit_test (test_proposals),
					   cmocka_unit_test (test_report_without_end)};
	cs_plugin_register (&fakes[0]);
	assert_non_null (cs_former_plugin.name);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
