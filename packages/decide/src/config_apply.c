/* Applies PROPOSE, ACTIVATE and WITHDRAW records. */
#include <stdlib.h>
#include <string.h>

#include "log_internal.h"

/* Appends KIND/NAME of each changed resource, with the prefix "-" if it is removed. */
static void
print_changes (const Cs__Propose *propose, cs_buf_t *out)
{
	for (size_t i = 0; i < propose->n_changes; i++)
		cs_buf_printf (out, "%s%s%s/%s", i ? ", " : "",
			       propose->changes[i]->remove ? "-" : "", propose->changes[i]->kind,
			       propose->changes[i]->name);
}

static void
add_event (cs_config_t *c, uint64_t offset, cs_event_kind_t kind, const cs_proposal_t *p)
{
	cs_buf_t text;
	cs_buf_init (&text);
	if (p->reason[0])
		cs_buf_addz (&text, p->reason);
	else
		print_changes (p->propose, &text);
	cs_config_add_event (c, offset, kind, p->propose->change_id, cs_buf_str (&text).p);
	cs_buf_finish (&text);
}

/* Evicts the oldest decided proposals beyond CS_CONFIG_DECIDED_MAX. */
static void
evict_decided (cs_config_t *c)
{
	size_t decided = 0;
	for (size_t i = 0; i < c->n_proposals; i++)
		decided += c->proposals[i]->state != CS_PROPOSAL_OPEN;
	for (size_t i = 0; decided > CS_CONFIG_DECIDED_MAX && i < c->n_proposals;) {
		if (c->proposals[i]->state == CS_PROPOSAL_OPEN) {
			i++;
			continue;
		}
		cs_proposal_free (c->proposals[i]);
		decided--;
		c->n_proposals--;
		memmove (c->proposals + i, c->proposals + i + 1,
			 (c->n_proposals - i) * sizeof *c->proposals);
	}
}

/* Records the decision on a proposal and frees its changes, which are now in force or discarded. */
static void
decide (cs_config_t *c, cs_proposal_t *p, cs_proposal_state_t state, uint64_t offset)
{
	static const cs_event_kind_t events[] = {
		[CS_PROPOSAL_OPEN] = CS_EVENT_PROPOSED,
		[CS_PROPOSAL_ACTIVE] = CS_EVENT_ACTIVATED,
		[CS_PROPOSAL_WITHDRAWN] = CS_EVENT_WITHDRAWN,
		[CS_PROPOSAL_REFUSED] = CS_EVENT_REFUSED,
	};
	p->state = state;
	p->decided_at = offset;
	add_event (c, offset, events[state], p);
	for (size_t i = 0; i < p->propose->n_changes; i++)
		cs__change__free_unpacked (p->propose->changes[i], NULL);
	free (p->propose->changes);
	p->propose->changes = NULL;
	p->propose->n_changes = 0;
	free (p->required);
	free (p->staged);
	p->required = NULL;
	p->staged = NULL;
	p->n_required = 0;
	evict_decided (c);
}

/* Requires the joined daemons in the scope of the proposal; none of them has staged it yet. */
static void
set_required (cs_config_t *c, cs_proposal_t *p)
{
	size_t n = cs_members_count (c->members, NULL);
	p->required = cs_alloc (n * sizeof *p->required);
	p->staged = cs_alloc (n / 8 + 1);
	for (const cs_member_t *m = c->members->table; m; m = m->hh.next)
		if (cs_member_in_scope (m, p->propose->scope))
			p->required[p->n_required++] = m->incarnation;
	qsort (p->required, p->n_required, sizeof *p->required, cs_u64_cmp);
}

static cs_apply_result_t
apply_propose (cs_config_t *c, uint64_t offset, const Cs__Record *r)
{
	cs_buf_t reason;
	if (cs_config_proposal_by_id (c, cs_str (r->propose->change_id)))
		return CS_APPLY_INVALID;
	cs_buf_init (&reason);
	cs_proposal_t *p = cs_proposal_new (offset, r->incarnation, r->propose);
	bool ok = cs_config_validate (c, r->propose, &reason) == CS_OK;
	cs_config_add_proposal (c, p);
	if (ok) {
		set_required (c, p);
		add_event (c, offset, CS_EVENT_PROPOSED, p);
	} else {
		free (p->reason);
		p->reason = cs_str_dup (cs_buf_str (&reason));
		decide (c, p, CS_PROPOSAL_REFUSED, offset);
	}
	cs_buf_finish (&reason);
	return ok ? CS_APPLY_VALID : CS_APPLY_INVALID;
}

/* The open proposal at the offset; NULL if there is none. */
static cs_proposal_t *
find_open_proposal (cs_config_t *c, uint64_t offset)
{
	const cs_proposal_t *p = cs_config_proposal (c, offset);
	return p && p->state == CS_PROPOSAL_OPEN ? (cs_proposal_t *)p : NULL;
}

/* True if the ACTIVATE lists every required daemon that is still joined. */
static bool
covers_required (const cs_config_t *c, const cs_proposal_t *p, const Cs__Activate *a)
{
	bool all = true;
	size_t bytes = a->n_acknowledged * sizeof *a->acknowledged;
	if (c->disabled & CS_CONFIG_NO_ACK_ALL)
		return true;
	uint64_t *list = cs_alloc (bytes);
	if (bytes)
		memcpy (list, a->acknowledged, bytes);
	qsort (list, a->n_acknowledged, sizeof *list, cs_u64_cmp);
	for (size_t i = 0; all && i < p->n_required; i++)
		all = !cs_proposal_is_required (c, p, i) ||
		      bsearch (&p->required[i], list, a->n_acknowledged, sizeof *list, cs_u64_cmp);
	free (list);
	return all;
}

/* Makes the changes of a proposal to the resources in force; offset: of its ACTIVATE. */
static void
put_in_force (cs_config_t *c, uint64_t offset, const cs_proposal_t *p)
{
	for (size_t i = 0; i < p->propose->n_changes; i++) {
		const Cs__Change *x = p->propose->changes[i];
		cs_kind_t kind = CS_KIND_COUNT;
		cs_kind_parse (cs_str (x->kind), &kind);
		if (!x->remove) {
			cs_config_put_resource (c, kind, offset, p->propose->change_id,
						x->resource);
			continue;
		}
		cs_resource_t *old = cs_config_find_resource (c, kind, cs_str (x->name));
		if (old)
			cs_config_remove_resource (c, old);
	}
}

static cs_apply_result_t
apply_activate (cs_config_t *c, uint64_t offset, const Cs__Activate *a)
{
	cs_proposal_t *p = find_open_proposal (c, a->proposal);
	if (!p || !covers_required (c, p, a))
		return CS_APPLY_INVALID;
	put_in_force (c, offset, p);
	decide (c, p, CS_PROPOSAL_ACTIVE, offset);
	return CS_APPLY_VALID;
}

/* Name of the daemon with that incarnation; NULL if no current or former member is known by it. */
static const char *
daemon_name (const cs_config_t *c, uint64_t incarnation)
{
	const cs_member_t *m = cs_members_get (c->members, incarnation);
	const cs_gone_t *g = m ? NULL : cs_members_gone (c->members, incarnation);
	if (m)
		return m->name;
	return g ? g->name : NULL;
}

/* Returns the reason of a WITHDRAW with the names of the missing daemons; freed by the caller. */
static char *
format_withdrawal (const cs_config_t *c, const Cs__Withdraw *w)
{
	cs_buf_t text;
	cs_buf_init (&text);
	cs_buf_addz (&text, w->reason);
	for (size_t i = 0; i < w->n_missing; i++) {
		const char *name = daemon_name (c, w->missing[i]);
		if (name)
			cs_buf_printf (&text, "%s%s", i ? ", " : ": ", name);
	}
	cs_buf_reserve (&text, 0);
	return text.p;
}

static cs_apply_result_t
apply_withdraw (cs_config_t *c, uint64_t offset, const Cs__Withdraw *w)
{
	cs_proposal_t *p = find_open_proposal (c, w->proposal);
	if (!p)
		return CS_APPLY_INVALID;
	free (p->reason);
	p->reason = format_withdrawal (c, w);
	decide (c, p, CS_PROPOSAL_WITHDRAWN, offset);
	return CS_APPLY_VALID;
}

static cs_apply_result_t
apply (void *state, uint64_t offset, const Cs__Record *r)
{
	switch (r->body_case) {
	case CS__RECORD__BODY_PROPOSE:
		return apply_propose (state, offset, r);
	case CS__RECORD__BODY_ACTIVATE:
		return apply_activate (state, offset, r->activate);
	case CS__RECORD__BODY_WITHDRAW:
		return apply_withdraw (state, offset, r->withdraw);
	default:
		return CS_APPLY_IGNORED;
	}
}

static void
reset (void *state)
{
	cs_config_reset (state);
}

const cs_state_machine_ops_t cs_config_ops = {
	.name = "config",
	.apply = apply,
	.reset = reset,
	.snapshot = cs_config_snapshot,
	.restore = cs_config_restore,
};
