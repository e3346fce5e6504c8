/* Adapts cs_claims_t to the state machine interface, cs_state_machine_ops_t. */
#include "cs/claims.h"

static cs_apply_result_t
apply (void *state, uint64_t offset, const Cs__Record *r)
{
	if (r->body_case != CS__RECORD__BODY_CLAIM && r->body_case != CS__RECORD__BODY_OUTCOME)
		return CS_APPLY_IGNORED;
	cs_claims_apply (state, offset, r);
	/* Also if the claim came second or too late: its claimant reads that from the state. */
	return CS_APPLY_VALID;
}

static void
reset (void *state)
{
	cs_claims_t *c = state;
	cs_claims_options_t options = c->options;
	cs_claims_finish (c);
	cs_claims_init (c, &options);
}

static void
snapshot (const void *state, cs_buf_t *out)
{
	cs_claims_save (state, out);
}

static cs_status_t
restore (void *state, uint64_t offset, cs_str_t bytes)
{
	(void)offset;
	return cs_claims_restore (state, bytes);
}

static size_t
segments (const void *state)
{
	return cs_claims_segment_count (state);
}

static uint64_t
segment (const void *state, size_t i, cs_buf_t *out)
{
	return cs_claims_save_segment (state, i, out);
}

static cs_status_t
add_segment (void *state, cs_str_t bytes)
{
	return cs_claims_add_segment (state, bytes);
}

const cs_state_machine_ops_t cs_claims_ops = {
	.name = "claims",
	.apply = apply,
	.reset = reset,
	.snapshot = snapshot,
	.restore = restore,
	.segments = segments,
	.segment = segment,
	.add_segment = add_segment,
};
