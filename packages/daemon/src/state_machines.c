/* Adapters from the modules that are state machines of the log to cs_state_machine_ops_t, the
 * interface through which an applier passes them its records. */
#include "control.h"

static cs_apply_result_t
groups_apply (void *state, uint64_t offset, const Cs__Record *r)
{
	switch (r->body_case) {
	case CS__RECORD__BODY_VM_SEEN:
	case CS__RECORD__BODY_VM_GONE:
	case CS__RECORD__BODY_FORM:
	case CS__RECORD__BODY_DISSOLVE:
	case CS__RECORD__BODY_FREED:
		return cs_groups_apply (state, offset, r) ? CS_APPLY_VALID : CS_APPLY_INVALID;
	default:
		return CS_APPLY_IGNORED;
	}
}

static void
groups_reset (void *state)
{
	cs_groups_finish (state);
	cs_groups_init (state);
}

static void
groups_snapshot (const void *state, cs_buf_t *out)
{
	cs_groups_snapshot (state, out);
}

static cs_status_t
groups_restore (void *state, uint64_t offset, cs_str_t bytes)
{
	(void)offset;
	return cs_groups_restore (state, bytes);
}

const cs_state_machine_ops_t groups_state_machine = {
	.name = "groups",
	.apply = groups_apply,
	.reset = groups_reset,
	.snapshot = groups_snapshot,
	.restore = groups_restore,
};

static cs_apply_result_t
poison_apply (void *state, uint64_t offset, const Cs__Record *r)
{
	if (r->body_case != CS__RECORD__BODY_CRASH)
		return CS_APPLY_IGNORED;
	(void)offset;
	cs_poison_apply (state, r);
	return CS_APPLY_VALID;
}

static void
poison_reset (void *state)
{
	cs_poison_finish (state);
	cs_poison_init (state, &(cs_poison_options_t){0});
}

static void
poison_snapshot (const void *state, cs_buf_t *out)
{
	cs_poison_save (state, out);
}

static cs_status_t
poison_restore (void *state, uint64_t offset, cs_str_t bytes)
{
	(void)offset;
	return cs_poison_restore (state, bytes);
}

const cs_state_machine_ops_t poison_state_machine = {
	.name = "poison",
	.apply = poison_apply,
	.reset = poison_reset,
	.snapshot = poison_snapshot,
	.restore = poison_restore,
};

/* Reports each applied claim of this daemon to the claimant. Added to the applier after
 * cs_claims_ops, so that the shard's claims already include the record. Has no snapshot state. */
static cs_apply_result_t
own_claims_apply (void *state, uint64_t offset, const Cs__Record *r)
{
	stream_t *s = state;
	control_t *c = s->control;
	if (r->body_case != CS__RECORD__BODY_CLAIM || cs_claim_claimant (r) != c->own_incarnation)
		return CS_APPLY_IGNORED;
	cs_shard_view_t shard_view = protect_shard_view (s);
	cs_claimant_apply_own_claim (&c->claimant, cs_now_ms (), (uint32_t)s->shard, offset,
				     r->claim, &shard_view);
	protect_run (c);
	return CS_APPLY_VALID;
}

static void
own_claims_reset (void *state)
{
	(void)state;
}

static void
own_claims_snapshot (const void *state, cs_buf_t *out)
{
	(void)state;
	(void)out;
}

static cs_status_t
own_claims_restore (void *state, uint64_t offset, cs_str_t bytes)
{
	(void)state;
	(void)offset;
	(void)bytes;
	return CS_OK;
}

const cs_state_machine_ops_t own_claims_state_machine = {
	.name = "own-claims",
	.apply = own_claims_apply,
	.reset = own_claims_reset,
	.snapshot = own_claims_snapshot,
	.restore = own_claims_restore,
};
