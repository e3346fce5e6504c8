/* Callers get whole answers only as whole, each from one back end or joined where a resumption
 * began, under random faults of back ends and callers, changes of the list and of the
 * configuration, and a stop. The real task runs; only what callers and back ends saw is judged. */
#include "cs_test.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs_options.h"
#include "support_back_ends.h"
#include "support_callers.h"
#include "support_relay.h"

enum {
	RUNS = 16,
	/* Many, since one that fails is avoided for a while. The first half runs service "s", the
	 * others "t". */
	BACK_ENDS = 48,
	MIN_CALLERS = 10,
	MAX_CALLERS = 30,
	TRAFFIC_MS = 1300, /* until the stop begins */
	CHANGE_MS = 50,    /* between changes of the surroundings, at most */
	LAG_CHECK_MS = 5,
	TOO_LONG_MS = 20000 /* the daemon does not stop */
};

typedef struct {
	relay_t *relay;
	cs_task_t *task;
	observed_t observed;
	cs_rng_t rng;
	back_end_t back_ends[BACK_ENDS];
	char listed[BACK_ENDS][16]; /* ids; "": not listed */
	soak_caller_t callers[MAX_CALLERS];
	size_t n_callers;
	uint64_t version;
	bool list_lost;
	bool stopping;
	ev_timer change;
	ev_timer stop;
	ev_timer too_long;
	ev_timer lag;
	int64_t lag_checked_ms;
} soak_t;

static cs_options_t options;
static observed_t *observed_at_finish;
static void (*forward_finish) (cs_task_t *task);

/* The task ends: nothing may be left of any request. */
static void
finish_forward (cs_task_t *task)
{
	const cs_forward_t *f = task->state;
	forward_finish (task);
	if (f->calls || f->answer_memory.held || f->callers.in_progress || f->client.running)
		OBSERVED_VIOLATE (observed_at_finish, SIZE_MAX,
				  "left: a call %d, %zu bytes held, %zu in progress, %zu attempts",
				  f->calls != NULL, f->answer_memory.held, f->callers.in_progress,
				  f->client.running);
}

static void
set_route (cs_serving_t *s, const char *prefix, cs_route_kind_t kind, bool resumable, cs_rng_t *rng)
{
	static const uint32_t timeouts_ms[] = {500, 900, 1200, CALLERS_TIMEOUT_MS};
	cs_serving_route_t *route = cs_serving_add_route (s);
	route->name = cs_str_dup (cs_str (prefix));
	route->host = cs_str_dup (cs_str ("h"));
	route->prefix = cs_str_dup (cs_str (prefix));
	route->kind = kind;
	route->timeout_ms = timeouts_ms[cs_rng_below (rng, CS_ARRAY_LEN (timeouts_ms))];
	route->target_ms = 60 + cs_rng_below (rng, 200);
	route->gap_ms = cs_rng_below (rng, 4) ? 250 : 0;
	route->attempts = 2 + cs_rng_below (rng, 3);
	route->resumable = resumable;
	cs_serving_add_split (route, "s", cs_rng_below (rng, 3));
	cs_serving_add_split (route, "t", cs_rng_below (rng, 3));
}

static void
send_serving (soak_t *k)
{
	cs_serving_t *s = cs_serving_new ();
	s->version = ++k->version;
	s->max_body_bytes = RELAY_MAX_BODY;
	set_route (s, "/safe/", CS_KIND_IDEMPOTENT, false, &k->rng);
	set_route (s, "/unsafe/", CS_KIND_NON_IDEMPOTENT, false, &k->rng);
	set_route (s, "/stream/", CS_KIND_STREAM, true, &k->rng);
	set_route (s, "/plain/", CS_KIND_STREAM, true, &k->rng);
	set_route (s, "/once/", CS_KIND_STREAM, false, &k->rng);
	cs_serving_add_service (s)->name = cs_str_dup (cs_str ("s"));
	cs_serving_add_service (s)->name = cs_str_dup (cs_str ("t"));
	cs_serving_add_key (s, "key", cs_serving_add_team (s, "team", -1));
	cs_send (NULL, k->task, &cs_serving_msg (s)->msg);
	cs_ref_put (&s->ref);
}

static void
unlist (soak_t *k, size_t which)
{
	cs_str_t id = cs_str (k->listed[which]);
	if (id.n)
		cs_send (NULL, k->task, &cs_backend_msg (id, NULL)->msg);
	*k->listed[which] = 0;
}

static void
list (soak_t *k, size_t which)
{
	const back_end_t *from = &k->back_ends[which];
	cs_backend_t *b = cs_backend_new ();
	b->id = cs_str_dup (cs_str (from->id));
	b->service = cs_str_dup (cs_str (which < BACK_ENDS / 2 ? "s" : "t"));
	b->address = cs_str_dup (cs_str (from->address));
	b->zone = cs_str_dup (cs_str ("z"));
	b->domain = cs_str_dup (cs_str (""));
	b->model = cs_str_dup (cs_str (""));
	b->staged = cs_str_dup (cs_str (""));
	b->group = cs_str_dup (cs_str (""));
	b->born = from->lives;
	b->slots = cs_rng_below (&k->rng, 6) ? 64 : 1 + cs_rng_below (&k->rng, 4);
	if (strcmp (k->listed[which], b->id) != 0)
		unlist (k, which);
	snprintf (k->listed[which], sizeof k->listed[which], "%s", b->id);
	cs_send (NULL, k->task, &cs_backend_msg (cs_str (b->id), b)->msg);
	cs_ref_put (&b->ref);
}

/* At the same address with another id. The list learns it now, or with a later change. */
static void
restart (soak_t *k, size_t which)
{
	char name[16];
	bool told = cs_rng_below (&k->rng, 2);
	if (told)
		unlist (k, which);
	snprintf (name, sizeof name, "b%zu", which);
	back_end_restart (&k->back_ends[which], name);
	if (told)
		list (k, which);
}

static void
set_list_lost (soak_t *k, bool lost)
{
	k->list_lost = lost;
	cs_send (NULL, k->task, &cs_state_msg (CS_HOST_LIST_STATE, !lost, 0)->msg);
}

static void
change_something (soak_t *k)
{
	size_t which = cs_rng_below (&k->rng, BACK_ENDS);
	back_end_t *b = &k->back_ends[which];
	switch (cs_rng_below (&k->rng, 12)) {
	case 0:
		unlist (k, which);
		break;
	case 1:
	case 2:
		restart (k, which);
		break;
	case 3:
	case 4:
		send_serving (k);
		break;
	case 5:
		set_list_lost (k, !k->list_lost);
		break;
	case 6:
		back_end_disconnect_all (b);
		break;
	case 7:
		b->down = true;
		back_end_disconnect_all (b);
		break;
	default:
		b->down = false;
		list (k, which);
		break;
	}
}

static void
on_change (struct ev_loop *loop, ev_timer *w, int events)
{
	soak_t *k = w->data;
	(void)events;
	do
		change_something (k);
	while (!cs_rng_below (&k->rng, 3));
	cs_timer_start_after (loop, w, cs_rng_below (&k->rng, CHANGE_MS));
}

static void
on_stop (struct ev_loop *loop, ev_timer *w, int events)
{
	soak_t *k = w->data;
	(void)loop;
	(void)events;
	k->stopping = true;
	cs_send (NULL, k->task, cs_msg_new (sizeof (cs_msg_t), CS_HOST_STOP, cs_msg_free));
}

static void
on_too_long (struct ev_loop *loop, ev_timer *w, int events)
{
	soak_t *k = w->data;
	(void)events;
	OBSERVED_VIOLATE (&k->observed, SIZE_MAX, "the daemon did not stop");
	ev_break (loop, EVBREAK_ALL);
}

static void
on_lag (struct ev_loop *loop, ev_timer *w, int events)
{
	soak_t *k = w->data;
	int64_t now = cs_now_ms ();
	int64_t lag_ms = now - k->lag_checked_ms - LAG_CHECK_MS;
	(void)events;
	k->observed.lag_ms = lag_ms > k->observed.lag_ms ? lag_ms : k->observed.lag_ms;
	k->lag_checked_ms = now;
	cs_timer_start_after (loop, w, LAG_CHECK_MS);
}

static void
start_timer (soak_t *k, ev_timer *w, void (*on) (struct ev_loop *, ev_timer *, int), int64_t ms)
{
	ev_init (w, on);
	w->data = k;
	cs_timer_start_after (k->relay->kernel.loop, w, ms);
}

static void
set_host (soak_t *k)
{
	static const uint32_t graces_ms[] = {600, 900, 1400, 3300};
	cs_host_t *host = &k->relay->host;
	host->grace_ms = graces_ms[cs_rng_below (&k->rng, CS_ARRAY_LEN (graces_ms))];
	host->retry_ratio = cs_rng_below (&k->rng, 5) ? 40. : 3.;
	host->retry_window_ms = 10000;
	cs_send (NULL, k->task,
		 cs_msg_new (sizeof (cs_msg_t), CS_HOST_SETTINGS_CHANGED, cs_msg_free));
}

static void
start_soak (soak_t *k, uint64_t seed, relay_t *relay)
{
	struct ev_loop *loop = relay->kernel.loop;
	char name[16];
	k->relay = relay;
	k->task = cs_task_find (&relay->kernel, "forward");
	k->observed.seed = seed;
	observed_at_finish = &k->observed;
	cs_rng_init (&k->rng, seed);
	k->version = relay->serving->version;
	send_serving (k);
	set_host (k);
	for (size_t i = 0; i < BACK_ENDS; i++) {
		snprintf (name, sizeof name, "b%zu", i);
		back_end_init (&k->back_ends[i], loop, &k->observed, name);
		list (k, i);
	}
	k->n_callers = MIN_CALLERS + cs_rng_below (&k->rng, MAX_CALLERS - MIN_CALLERS + 1);
	for (size_t i = 0; i < k->n_callers; i++)
		soak_caller_start (&k->callers[i], loop, &k->observed, relay->port,
				   seed * MAX_CALLERS + i, &k->stopping);
	start_timer (k, &k->change, on_change, CHANGE_MS);
	start_timer (k, &k->stop, on_stop, TRAFFIC_MS);
	start_timer (k, &k->too_long, on_too_long, TOO_LONG_MS);
	k->lag_checked_ms = cs_now_ms ();
	start_timer (k, &k->lag, on_lag, LAG_CHECK_MS);
}

/* The daemon's loop has ended. */
static void
end_soak (soak_t *k)
{
	struct ev_loop *loop = k->relay->kernel.loop;
	void *state = k->relay;
	int open = 0;
	ev_timer_stop (loop, &k->change);
	ev_timer_stop (loop, &k->stop);
	ev_timer_stop (loop, &k->too_long);
	ev_timer_stop (loop, &k->lag);
	for (size_t i = 0; i < k->n_callers; i++)
		soak_caller_stop (&k->callers[i]);
	for (size_t i = 0; i < BACK_ENDS; i++)
		back_end_stop (&k->back_ends[i]);
	int64_t stopped_ms = cs_now_ms ();
	relay_teardown (&state);
	for (size_t i = 0; i < k->n_callers; i++)
		soak_caller_finish (&k->callers[i], stopped_ms);
	for (size_t i = 0; i < BACK_ENDS; i++)
		open += back_end_finish (&k->back_ends[i]);
	if (open)
		OBSERVED_VIOLATE (&k->observed, SIZE_MAX, "%d connections to back ends left", open);
}

/* Adds to counts what was observed. Returns whether the invariants held. */
static bool
run_seed (uint64_t seed, observed_t *counts)
{
	void *state;
	soak_t *k = cs_alloc (sizeof *k);
	relay_setup (&state);
	start_soak (k, seed, state);
	cs_kernel_run (&k->relay->kernel);
	end_soak (k);
	observed_check (&k->observed);
	bool held = !*k->observed.violation;
	if (!held)
		observed_print (&k->observed);
	counts->n_requests += k->observed.n_requests;
	counts->n_attempts += k->observed.n_attempts;
	counts->complete += k->observed.complete;
	counts->cut += k->observed.cut;
	counts->joins += k->observed.joins;
	counts->own += k->observed.own;
	counts->lag_ms = k->observed.lag_ms > counts->lag_ms ? k->observed.lag_ms : counts->lag_ms;
	observed_finish (&k->observed);
	free (k);
	return held;
}

static void
test_property (void **state)
{
	observed_t counts = {0};
	uint32_t failed = 0;
	(void)state;
	forward_finish = cs_forward_plugin.finish;
	cs_forward_plugin.finish = finish_forward;
	for (uint32_t i = 0; i < options.runs; i++)
		failed += !run_seed (options.seed + i, &counts);
	print_message ("%u runs: %zu requests, %zu attempts, %u complete responses, %u cut, "
		       "%u joined streams, %u answers of the daemon; lag %" PRId64 " ms\n",
		       options.runs, counts.n_requests, counts.n_attempts, counts.complete,
		       counts.cut, counts.joins, counts.own, counts.lag_ms);
	if (failed)
		fail_msg ("%u of %u seeds failed", failed, options.runs);
	if (options.runs < RUNS)
		return;
	/* Guards against runs in which little happens; a single one may have no joined stream. */
	assert_true (counts.n_requests > (size_t)100 * options.runs);
	assert_true (counts.joins > options.runs);
	assert_true (counts.cut > options.runs);
}

int
main (int argc, char **argv)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_property)};
	options = cs_options_parse (argc, argv, RUNS);
	return cmocka_run_group_tests (tests, NULL, NULL);
}
