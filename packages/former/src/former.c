#include "former.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cs/log.h"
#include "cs/record.pb-c.h"

enum {
	PLAN_INTERVAL_MS = 200,    /* short beside a load of weights, which lasts seconds */
	FIRST_START_MAX_MS = 30000 /* limit of the first start, which ends with the first request */
};

static void
encode_record (const Cs__Record *record, cs_buf_t *out)
{
	cs_buf_init (out);
	cs_buf_reserve (out, cs__record__get_packed_size (record));
	out->n += cs__record__pack (record, (uint8_t *)out->p + out->n);
}

/* Fills in what the group's Form record says; addresses has room for one of each member. */
static void
describe_form (const cs_former_t *f, const cs_formation_group_t *group, char **addresses,
	       Cs__Form *form)
{
	cs__form__init (form);
	form->group = group->name;
	form->model_group = group->service;
	form->model = group->model;
	form->members = group->members;
	form->n_members = group->n;
	form->era = f->ledger_era;
	form->addresses = addresses;
	form->n_addresses = group->n;
	for (size_t i = 0; i < group->n; i++) {
		const cs_backend_t *b = cs_fleet_last (&f->fleet, group->members[i]);
		addresses[i] = b ? b->address : (char *)(uintptr_t) "";
	}
}

static void
encode_form (const cs_former_t *f, const cs_formation_group_t *group, cs_buf_t *out)
{
	char **addresses = cs_alloc (group->n * sizeof *addresses);
	Cs__Form form;
	Cs__Record record = CS__RECORD__INIT;
	describe_form (f, group, addresses, &form);
	record.body_case = CS__RECORD__BODY_FORM;
	record.form = &form;
	encode_record (&record, out);
	free (addresses);
}

static void
encode_abandon (const cs_former_t *f, const cs_formation_group_t *group, cs_buf_t *out)
{
	char **addresses = cs_alloc (group->n * sizeof *addresses);
	Cs__Form form;
	Cs__Abandon abandon = CS__ABANDON__INIT;
	Cs__Record record = CS__RECORD__INIT;
	describe_form (f, group, addresses, &form);
	abandon.epoch = group->epoch;
	abandon.form = &form;
	record.body_case = CS__RECORD__BODY_ABANDON;
	record.abandon = &abandon;
	encode_record (&record, out);
	free (addresses);
}

static void
apply_form (cs_former_t *f, uint64_t epoch, const Cs__Form *form)
{
	cs_formation_apply (&f->formation, cs_now_ms (), epoch, form->group, form->model_group,
			    form->model, (const char *const *)form->members, form->n_members);
	for (size_t i = 0; i < form->n_members && i < form->n_addresses; i++)
		cs_formation_learn_address (&f->formation, form->members[i], form->addresses[i]);
}

static void
apply_record (cs_former_t *f, const cs_ledger_msg_t *m)
{
	Cs__Record *r = cs__record__unpack (NULL, m->bytes.n, (const uint8_t *)m->bytes.p);
	if (r && r->body_case == CS__RECORD__BODY_FORM) {
		apply_form (f, cs_formation_epoch (r->form->era, m->offset), r->form);
	} else if (r && r->body_case == CS__RECORD__BODY_ABANDON && r->abandon->form) {
		apply_form (f, r->abandon->epoch, r->abandon->form);
		cs_formation_abandon (&f->formation, cs_now_ms (), r->abandon->epoch);
	} else {
		cs_log ("former", CS_LOG_WARN,
			"ledger record %" PRIu64 " ignored: not a valid Form or Abandon record",
			m->offset);
	}
	if (r)
		cs__record__free_unpacked (r, NULL);
}

static void
receive_ledger (cs_former_t *f, const cs_ledger_msg_t *m)
{
	if (!f->lease_until_ms)
		return;
	f->ledger_era = m->era;
	if (!m->bytes.n) {
		f->is_ledger_read = true;
		cs_formation_caught_up (&f->formation);
		f->ledger_end = m->offset;
		return;
	}
	apply_record (f, m);
	f->ledger_end = m->offset + 1;
}

/* Proposes the records of the plan. Whether they were appended is read from the ledger. */
static void
propose_records (cs_former_t *f)
{
	const cs_formation_t *p = &f->formation;
	size_t n = p->n_proposed + p->n_abandoned;
	if (!n)
		return;
	cs_ledger_msg_t *m = cs_ledger_msg (CS_HOST_PROPOSE, f->ledger_end, cs_str (NULL), CS_OK);
	m->era = f->ledger_era;
	m->records = cs_alloc (n * sizeof *m->records);
	m->n_records = n;
	for (size_t i = 0; i < p->n_proposed; i++) {
		const cs_formation_group_t *group = p->proposed[i];
		encode_form (f, group, &m->records[i]);
		cs_log_event ("former", "group_proposed",
			      "group=%s model=%s members=%zu head=%s epoch=%" PRIu64, group->name,
			      group->model, group->n, group->members[0],
			      cs_formation_epoch (f->ledger_era, f->ledger_end + i));
	}
	for (size_t i = 0; i < p->n_abandoned; i++) {
		const cs_formation_group_t *group = p->abandoned[i];
		encode_abandon (f, group, &m->records[p->n_proposed + i]);
		cs_log_event ("former", "group_abandoned",
			      "group=%s epoch=%" PRIu64 " head=%s unlisted_for_ms=%" PRId64
			      " asked_before_ms=%" PRId64,
			      group->name, group->epoch, group->members[0],
			      group->head_unlisted_ms ? cs_now_ms () - group->head_unlisted_ms : 0,
			      cs_now_ms () - group->daemons_asked_ms);
	}
	f->is_append_pending = true;
	f->proposed_end = f->ledger_end + n;
	cs_send (f->task, f->store, &m->msg);
}

static void
receive_note (cs_former_t *f, const cs_ledger_msg_t *m)
{
	Cs__Note *note = cs__note__unpack (NULL, m->bytes.n, (const uint8_t *)m->bytes.p);
	if (!note) {
		cs_log ("former", CS_LOG_WARN, "note %" PRIu64 " ignored: not a valid Note message",
			m->offset);
		return;
	}
	if (note->body_case == CS__NOTE__BODY_SILENT)
		cs_formation_suspect (&f->formation, cs_now_ms (), note->silent->epoch);
	else if (note->body_case == CS__NOTE__BODY_ANSWERS)
		cs_formation_head_reached (&f->formation, note->answers->epoch, note->answers->head,
					   note->answers->address);
	cs__note__free_unpacked (note, NULL);
}

/* Records the loads of open heads that are new. */
static void
receive_loads (cs_former_t *f, const cs_ledger_msg_t *m)
{
	int64_t now = cs_now_ms ();
	if (!f->serving || !cs_load_board_merge (&f->loads, now, cs_buf_str (&m->bytes)))
		return;
	for (const cs_fleet_entry_t *e = NULL; (e = cs_fleet_next (&f->fleet, e));) {
		const cs_backend_t *b = e->backend;
		const cs_serving_service_t *service =
			cs_serving_find_service (f->serving, b->service);
		if (!service || b->state != CS_MEMBERSHIP_OPEN)
			continue;
		const cs_load_t *seen =
			cs_load_board_take_new (&f->loads, now, cs_load_target (b->id, b->epoch));
		if (seen)
			cs_model_demand_record (&f->demand, now,
						&(cs_head_load_t){b->service, b->model, b->zone,
								  seen->running, seen->waiting,
								  service->slots, seen->delay_ms});
	}
	cs_load_board_remove_old (&f->loads, now);
}

/* Logs the groups that this plan has adopted. */
static void
log_adopted (const cs_former_t *f, int64_t planned_ms)
{
	cs_formation_group_t *g, *next;
	HASH_ITER (hh, f->formation.groups, g, next) {
		size_t reported = 0;
		if (!g->adopted || g->created_ms != planned_ms)
			continue;
		for (size_t i = 0; i < g->n; i++)
			reported += *g->members[i] != 0;
		cs_log_event ("former", "record_lacks",
			      "group=%s epoch=%" PRIu64 " members=%zu reported=%zu open=%d "
			      "ledger_end=%" PRIu64,
			      g->name, g->epoch, g->n, reported, g->opened, f->ledger_end);
	}
}

/* Why this daemon may not plan now, as a static string for the log; NULL: it may. In the log "turn"
 * is the planner's lease, and "list" that of the back ends. */
static const char *
find_blocked_reason (const cs_former_t *f, int64_t now)
{
	if (!f->lease_until_ms)
		return "no-turn";
	if (now >= f->lease_until_ms)
		return "turn-not-renewed";
	if (!f->serving)
		return "no-configuration";
	if (f->is_append_pending)
		return "append-unanswered";
	if (!f->is_ledger_read)
		return "ledger-unread";
	return f->fleet.list_unreachable ? "list-away" : NULL;
}

static void
update_blocked_reason (cs_former_t *f, const char *reason)
{
	if (reason == f->blocked_reason)
		return;
	if (reason)
		cs_log_event ("former", "waits", "reason=%s ledger_end=%" PRIu64, reason,
			      f->ledger_end);
	else
		cs_log_event ("former", "plans", "ledger_end=%" PRIu64 " groups=%u", f->ledger_end,
			      (unsigned)HASH_COUNT (f->formation.groups));
	f->blocked_reason = reason;
}

static void
plan_groups (cs_former_t *f)
{
	int64_t now = cs_now_ms ();
	cs_fleet_remove_expired (&f->fleet, now);
	update_blocked_reason (f, find_blocked_reason (f, now));
	if (f->blocked_reason)
		return;
	cs_formation_plan (&f->formation, now, &f->fleet, f->serving);
	if (f->demand.moved_ms == now)
		cs_log_event ("former", "share_moved",
			      "to=%s from=%s back_ends=%g occupancy=%.2f from_occupancy=%.2f "
			      "delay_ms=%.0f usual_ms=%.0f",
			      f->demand.taker->name, f->demand.giver->name, f->demand.n_moved,
			      f->demand.taker->occupancy, f->demand.giver->occupancy,
			      f->demand.taker->delay_ms, f->demand.taker->usual_ms);
	log_adopted (f, now);
	for (size_t i = 0; i < f->formation.n_actions; i++)
		cs_former_send (f, &f->formation.actions[i]);
	propose_records (f);
}

static void
on_plan_timer (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	plan_groups (w->data);
}

static void
receive_lease (cs_former_t *f, const cs_state_msg_t *m)
{
	if (!m->is_true) {
		f->lease_until_ms = 0;
		return;
	}
	if (m->is_new_lease) {
		cs_formation_start (&f->formation, cs_now_ms (), f->eager_until_ms);
		cs_model_demand_reset_shares (&f->demand);
		f->is_ledger_read = false;
		f->is_append_pending = false;
	}
	f->lease_until_ms = m->until_ms;
}

static void
receive_proposal_status (cs_former_t *f, cs_status_t status)
{
	f->is_append_pending = false;
	/* The next plan has to build on all records that the ledger holds now. */
	f->is_ledger_read = status == CS_OK && f->ledger_end >= f->proposed_end;
	cs_log_event ("former", "proposal_ended", "status=%s end=%" PRIu64, cs_status_name (status),
		      f->ledger_end);
}

static cs_status_t
init (cs_task_t *task)
{
	cs_former_t *f = task->state;
	f->task = task;
	f->host = task->kernel->settings;
	f->blocked_reason = find_blocked_reason (f, cs_now_ms ());
	if (f->host->first_start)
		f->eager_until_ms = cs_now_ms () + FIRST_START_MAX_MS;
	cs_fleet_init (&f->fleet);
	cs_evacuation_init (&f->evacuation);
	cs_formation_init (&f->formation);
	cs_model_demand_init (&f->demand);
	cs_load_board_init (&f->loads);
	f->formation.evacuation = &f->evacuation;
	f->formation.demand = &f->demand;
	if (f->host->load_window_ms) {
		f->formation.load_window_ms = f->host->load_window_ms;
		f->formation.load_overshoot = f->host->load_overshoot;
	}
	if (f->host->stall_ms)
		f->formation.stall_ms = f->host->stall_ms;
	ev_timer_init (&f->plan_timer, on_plan_timer, PLAN_INTERVAL_MS / 1000.,
		       PLAN_INTERVAL_MS / 1000.);
	f->plan_timer.data = f;
	return cs_http_init (&f->http, task->kernel->loop);
}

static void
start (cs_task_t *task)
{
	cs_former_t *f = task->state;
	f->store = cs_task_find (task->kernel, "store");
	ev_timer_start (task->kernel->loop, &f->plan_timer);
}

static void
receive (cs_task_t *task, cs_msg_t *m)
{
	cs_former_t *f = task->state;
	switch (m->kind) {
	case CS_HOST_SERVING:
		cs_serving_msg_apply ((cs_serving_msg_t *)m, &f->serving);
		break;
	case CS_HOST_BACKEND:
		cs_backend_msg_apply ((cs_backend_msg_t *)m, &f->fleet);
		break;
	case CS_HOST_EVACUATION:
		cs_evacuation_set (&f->evacuation, cs_now_ms (),
				   cs_str (((cs_zone_msg_t *)m)->zone),
				   ((cs_zone_msg_t *)m)->is_evacuated);
		break;
	case CS_HOST_LEAVING:
		cs_fleet_set_leaving (&f->fleet, cs_now_ms (), ((cs_backend_said_msg_t *)m)->id,
				      ((cs_backend_said_msg_t *)m)->born);
		break;
	case CS_HOST_TURNED_AWAY:
		cs_fleet_turn_away (&f->fleet, ((cs_backend_said_msg_t *)m)->id,
				    ((cs_backend_said_msg_t *)m)->born,
				    ((cs_backend_said_msg_t *)m)->until_ms);
		break;
	case CS_HOST_LIST_STATE:
		cs_fleet_set_list_reachable (&f->fleet, cs_now_ms (),
					     ((cs_state_msg_t *)m)->is_true);
		break;
	case CS_HOST_PLANNER_LEASE:
		receive_lease (f, (cs_state_msg_t *)m);
		break;
	case CS_HOST_LEDGER:
		receive_ledger (f, (cs_ledger_msg_t *)m);
		break;
	case CS_HOST_LOADS:
		receive_loads (f, (cs_ledger_msg_t *)m);
		break;
	case CS_HOST_TRAFFIC:
		f->eager_until_ms = f->formation.eager_until_ms = 0;
		break;
	case CS_HOST_NOTE:
		receive_note (f, (cs_ledger_msg_t *)m);
		break;
	case CS_HOST_PROPOSED:
		receive_proposal_status (f, ((cs_ledger_msg_t *)m)->status);
		break;
	default:
		break;
	}
}

static void
finish (cs_task_t *task)
{
	cs_former_t *f = task->state;
	ev_timer_stop (task->kernel->loop, &f->plan_timer);
	cs_http_finish (&f->http);
	cs_formation_finish (&f->formation);
	cs_model_demand_finish (&f->demand);
	cs_load_board_finish (&f->loads);
	cs_fleet_finish (&f->fleet);
	cs_evacuation_finish (&f->evacuation);
	if (f->serving)
		cs_ref_put (&f->serving->ref);
}

cs_plugin_t cs_former_plugin = {
	.name = "former",
	.profile = CS_PROFILE_HOSTED,
	.state_size = sizeof (cs_former_t),
	.init = init,
	.start = start,
	.receive = receive,
	.finish = finish,
};

__attribute__ ((constructor)) static void
register_plugin (void)
{
	cs_plugin_register (&cs_former_plugin);
}
