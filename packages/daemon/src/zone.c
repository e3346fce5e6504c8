/* The zone's VMs and groups: VM list, polls, evidence and plans. */
#include <stdlib.h>
#include <string.h>

#include "control.h"

enum {
	OWN_POLL_MS = 2000, /* report age from which a daemon polls members that run its requests */
	MAX_DAEMONS = 256   /* in one zone */
};

static cs_counter_t orders = {.name = "cs_orders_total", .help = "Orders sent to engines."};
static cs_counter_t orders_refused = {.name = "cs_orders_refused_total",
				      .help = "Orders refused for an old fencing number."};

void
zone_reload_vm_list (control_t *c)
{
	if (!c->vms)
		return;
	cs_evidence_listed_t *list = cs_alloc ((c->vms->n + 1) * sizeof *list);
	for (size_t i = 0; i < c->vms->n; i++)
		list[i] = (cs_evidence_listed_t){c->vms->vms[i].vm, c->vms->vms[i].leaving};
	cs_evidence_set_list (&c->evidence, list, c->vms->n, c->vms_ms);
	free (list);
}

void
zone_vms (control_t *c, cs_vms_msg_t *m)
{
	if (m->status != CS_OK)
		return;
	c->vms_ms = m->read_started_ms;
	if (m->unchanged) {
		cs_evidence_list_unchanged (&c->evidence, m->read_started_ms);
		return;
	}
	if (c->vms)
		cs_ref_put (&c->vms->msg.ref);
	cs_ref_get (&m->msg.ref);
	c->vms = m;
	zone_reload_vm_list (c);
}

static bool
is_head (const cs_vm_t *vm)
{
	return vm->group && vm->group->members[0] == vm;
}

/* Passes the load and the cache events in a head member's report to the router. */
static void
record_head_report (control_t *c, const char *group, const cs_report_msg_t *m)
{
	cs_router_record_load (&c->router, group, m->poll_sent_ms, m->running, m->queued);
	cs_router_apply_cache_events (&c->router, cs_now_ms (), group, m->cache_epoch,
				      m->cache_events, m->n_cache_events);
}

static void
poll_vm (control_t *c, const cs_vm_t *vm)
{
	cs_poll_msg_t *m = cs_poll_msg (vm->vm, vm->url);
	const cs_group_t *g = vm->group;
	c->n_heads_polled += is_head (vm);
	m->wants_cache =
		is_head (vm) && cs_router_is_cache_poll_due (vm->vm, c->poll_round, c->n_heads);
	if (m->wants_cache)
		cs_router_cache_position (&c->router, g->group, &m->cache_epoch, &m->cache_after);
	cs_send (c->task, c->engine, &m->msg);
}

void
zone_report (control_t *c, const cs_report_msg_t *m)
{
	cs_vm_report_t r = {
		.vm = m->vm,
		.state = (cs_member_state_t)m->state,
		.group = m->group ? m->group : "",
		.fence = m->fence,
		.model = m->model ? m->model : "",
		.running = m->running,
		.queued = m->queued,
		.at_ms = m->poll_sent_ms,
	};
	const cs_vm_t *vm = cs_groups_find_vm (&c->groups, m->vm);
	cs_evidence_report (&c->evidence, &r);
	if (m->is_connection_refused)
		cs_evidence_report_refusal (&c->evidence, m->vm, m->poll_sent_ms);
	if (!vm || !vm->group)
		return;
	bool has_answered = m->state != CS_VM_UNREACHABLE;
	bool holds_assignment = has_answered && m->fence == vm->group->fence;
	bool is_dead = m->is_connection_refused || (has_answered && !holds_assignment);
	if (is_dead)
		cs_poison_member_dead (&c->poison, cs_now_ms (), vm->group->group,
				       vm->group->fence);
	if (m->is_connection_refused)
		attempt_member_lost (c, vm->group->group, vm->group->fence);
	member_answer_t answer = is_dead            ? MEMBER_DEAD
				 : holds_assignment ? MEMBER_ALIVE
						    : MEMBER_NO_ANSWER;
	bool must_poll_again = serve_member_polled (c, vm, m->poll_sent_ms, answer);
	if (holds_assignment && is_head (vm))
		record_head_report (c, vm->group->group, m);
	if (must_poll_again)
		poll_vm (c, vm);
}

void
zone_order_result (control_t *c, const cs_order_result_msg_t *m)
{
	(void)c;
	if (!m->is_fence_too_low)
		return;
	cs_counter_add (&orders_refused, 1);
	cs_log ("zone", CS_LOG_INFO,
		"VM %s refused an order of group %s: the VM holds an order with a newer fencing "
		"number",
		m->vm, m->group ? m->group : "");
}

/* Lists the incarnations of the zone's daemons that are not silent, this daemon included. `out` has
 * room for MAX_DAEMONS; returns their number. */
static size_t
list_reachable_daemons (const control_t *c, int64_t now, uint64_t *out)
{
	size_t n = 0;
	for (const cs_member_t *m = c->members.table; m && n < MAX_DAEMONS; m = m->hh.next) {
		if (strcmp (m->zone, c->settings->zone) != 0)
			continue;
		if (m->incarnation == c->own_incarnation ||
		    cs_detector_is_reachable (&c->detector, m->incarnation, now))
			out[n++] = m->incarnation;
	}
	return n;
}

/* True if requests of this daemon run on the VM's group and the last report of the VM is older than
 * OWN_POLL_MS: the daemons that poll the VM as gatherers may have failed. */
static bool
must_poll_directly (const control_t *c, const cs_vm_t *vm, int64_t now)
{
	const cs_vm_report_t *r = cs_evidence_find (&c->evidence, vm->vm);
	if (!vm->group || (r && now - r->at_ms < OWN_POLL_MS))
		return false;
	return cs_router_in_flight (&c->router, vm->group->group) > 0;
}

void
zone_poll (control_t *c, int64_t now)
{
	uint64_t daemons[MAX_DAEMONS];
	size_t n = list_reachable_daemons (c, now, daemons);
	size_t gathered = 0;
	c->poll_round++;
	c->n_heads = c->n_heads_polled;
	c->n_heads_polled = 0;
	for (const cs_vm_t *vm = NULL; (vm = cs_groups_next_vm (&c->groups, vm));) {
		bool mine = cs_evidence_is_gatherer (vm->vm, c->own_incarnation, daemons, n);
		gathered += mine;
		if ((mine && cs_evidence_poll_due (vm->vm, c->poll_round, c->n_gathered)) ||
		    must_poll_directly (c, vm, now))
			poll_vm (c, vm);
	}
	c->n_gathered = gathered;
}

uint32_t
zone_poll_group (control_t *c, const char *group)
{
	const cs_group_t *g = cs_groups_find (&c->groups, group);
	if (!g)
		return 0;
	for (size_t i = 0; i < g->n_members; i++)
		poll_vm (c, g->members[i]);
	return (uint32_t)g->n_members;
}

bool
zone_is_group_complete (const control_t *c, const char *group, uint64_t fence, int64_t now)
{
	const cs_offer_t *o = cs_offers_find (&c->offers, group);
	if (o)
		return o->fence == fence && cs_offer_fresh (o, now);
	cs_group_verdict_t v = cs_evidence_judge_by_name (&c->evidence, &c->groups, group, now);
	return v.whole && v.fence == fence;
}

/* Name of the VM or group that a record of the zone's stream concerns. */
static const char *
record_subject (const Cs__Record *r)
{
	switch (r->body_case) {
	case CS__RECORD__BODY_VM_SEEN:
		return r->vm_seen->vm;
	case CS__RECORD__BODY_VM_GONE:
		return r->vm_gone->vm;
	case CS__RECORD__BODY_FORM:
		return r->form->group;
	case CS__RECORD__BODY_DISSOLVE:
		return r->dissolve->group;
	case CS__RECORD__BODY_FREED:
		return r->freed->vm;
	default:
		return "";
	}
}

static void
submit_record (control_t *c, const cs_action_t *a)
{
	cs_writer_submit (&c->zone_stream.writer, a->record, NULL);
	if (a->reason)
		cs_log ("zone", CS_LOG_INFO, "%s: %s", record_subject (a->record), a->reason);
}

static void
send_order (control_t *c, const cs_action_t *a)
{
	cs_order_msg_t *m = cs_order_msg (a->vm, a->url);
	m->release = a->kind == CS_ACTION_RELEASE;
	m->group = cs_str_dup (cs_str (a->group));
	m->model = cs_str_dup (cs_str (a->model));
	m->version = cs_str_dup (cs_str (a->version));
	m->members = cs_str_dup (cs_str (a->members));
	m->fence = a->fence;
	m->rank = a->rank;
	m->lifetime_ms = a->lifetime_ms;
	m->weight_bytes = a->weight_bytes;
	cs_counter_add (&orders, 1);
	cs_send (c->task, c->engine, &m->msg);
}

static void
execute_plan (control_t *c, const cs_plan_t *plan)
{
	for (size_t i = 0; i < plan->n; i++) {
		const cs_action_t *a = &plan->actions[i];
		if (a->kind == CS_ACTION_APPEND)
			submit_record (c, a);
		else
			send_order (c, a);
	}
}

/* Lists the declared model groups that name this zone; returns their number. */
static size_t
desired_groups (const control_t *c, cs_desired_t *out)
{
	size_t used = 0;
	for (const cs_resource_t *r = NULL;
	     (r = cs_config_next (&c->config, CS_KIND_MODEL_GROUP, r));) {
		const Cs__ModelGroup *spec = r->resource->model_group;
		size_t z = 0;
		while (z < spec->n_zones && strcmp (spec->zones[z], c->settings->zone) != 0)
			z++;
		if (z < spec->n_zones)
			out[used++] = (cs_desired_t){r->resource->name, spec};
	}
	return used;
}

/* Lists the VMs with accelerators; the others are entry VMs or run plain services. */
static size_t
listed_vms (const control_t *c, cs_listed_vm_t *out)
{
	size_t n = 0;
	for (size_t i = 0; c->vms && i < c->vms->n; i++) {
		const cs_vm_entry_t *e = &c->vms->vms[i];
		if (e->accelerators)
			out[n++] = (cs_listed_vm_t){e->vm, e->fabric_domain, e->url,
						    e->accelerators, e->leaving};
	}
	return n;
}

static uint32_t
in_flight (void *context, uint64_t fence)
{
	const control_t *c = context;
	const cs_group_t *g = cs_groups_find_by_fence (&c->groups, fence);
	return g ? cs_router_in_flight (&c->router, g->group) : 0;
}

void
zone_plan (control_t *c, int64_t now)
{
	const cs_member_t *self = cs_members_get (&c->members, c->own_incarnation);
	if (!self || !c->zone_stream.applier.caught_up || !c->ready)
		return;
	cs_desired_t *desired = cs_alloc ((cs_config_count (&c->config) + 1) * sizeof *desired);
	cs_listed_vm_t *vms = cs_alloc ((c->vms ? c->vms->n : 1) * sizeof *vms);
	cs_detector_filter_t heard = {&c->detector, now};
	const char *zone = c->settings->zone;
	Cs__Policy policy = configure_policy (c);
	cs_plan_input_t in = {
		.now_ms = now,
		.read_sent_ms = c->zone_stream.applier.current_read_sent_ms,
		.groups = &c->groups,
		.evidence = &c->evidence,
		.desired = desired,
		.n_desired = desired_groups (c, desired),
		.vms = vms,
		.n_vms = listed_vms (c, vms),
		.listed_ms = c->vms_ms,
		.downtime_weight = policy.downtime_weight,
		.stranded_weight = policy.stranded_weight,
		.rank = (uint32_t)cs_members_rank_of (&c->members, c->own_incarnation,
						      cs_hash (cs_str (zone)), zone,
						      cs_detector_filter_available, &heard),
		.in_flight = in_flight,
		.context = c,
	};
	cs_plan_t plan;
	cs_plan_init (&plan);
	cs_planner_plan (&c->planner, &in, &plan);
	execute_plan (c, &plan);
	cs_plan_finish (&plan);
	free (desired);
	free (vms);
}
