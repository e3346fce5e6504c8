/* Explains to operators why a group takes no requests. */
#include "cs/evidence.h"

const char *
cs_group_reason_name (cs_group_reason_t reason)
{
	static const char *const names[CS_GROUP_REASONS] = {
		[CS_GROUP_COMPLETE] = "whole",
		[CS_GROUP_UNKNOWN] = "not-formed",
		[CS_GROUP_LEAVING] = "member-leaving",
		[CS_GROUP_MEMBER_GONE] = "member-gone",
		[CS_GROUP_ENDED] = "member-ended",
		[CS_GROUP_SILENT] = "member-silent",
		[CS_GROUP_OTHER_FENCE] = "member-holds-other-assignment",
		[CS_GROUP_OTHER_MODEL] = "member-holds-other-model",
		[CS_GROUP_NOT_READY] = "member-not-ready",
		[CS_GROUP_UNLISTED] = "member-not-listed",
		[CS_GROUP_OLD_LIST] = "vm-list-old",
	};
	return names[reason];
}

static const char *
member_state_name (cs_member_state_t state)
{
	static const char *const names[] = {
		[CS_MEMBER_UNREACHABLE] = "unreachable",
		[CS_MEMBER_IDLE] = "idle",
		[CS_MEMBER_LOADING] = "loading",
		[CS_MEMBER_READY] = "ready",
	};
	return names[state];
}

static void
explain_member (const cs_evidence_t *e, const cs_vm_t *vm, int64_t now_ms, cs_buf_t *out)
{
	const cs_vm_report_t *r = cs_evidence_find (e, vm->vm);
	cs_buf_printf (out, "member %s in %s%s%s: ", vm->vm, vm->fabric_domain,
		       vm->leaving ? ", leaving" : "", vm->gone ? ", no longer listed" : "");
	if (!r) {
		cs_buf_addz (out, "has never reported\n");
		return;
	}
	cs_buf_printf (out, "reported %s %lld ms ago", member_state_name (r->state),
		       (long long)(now_ms - r->at_ms));
	if (r->state != CS_MEMBER_IDLE)
		cs_buf_printf (out, ", group %s, fencing number %llu, model %s", r->group,
			       (unsigned long long)r->fence, r->model);
	if (cs_evidence_has_ended (e, vm->vm, now_ms))
		cs_buf_addz (out, "; since then its host has refused connections");
	cs_buf_addz (out, "\n");
}

void
cs_groups_explain (const cs_groups_t *g, const cs_evidence_t *e, const char *group, int64_t now_ms,
		   cs_buf_t *out)
{
	const cs_group_t *x = cs_groups_find (g, group);
	cs_group_verdict_t v = cs_evidence_judge (e, x, now_ms);
	if (!x) {
		cs_buf_printf (out, "group %s is not formed\n", group);
		return;
	}
	cs_buf_printf (out, "group %s, fencing number %llu, model %s version %s: ", group,
		       (unsigned long long)x->fence, x->model, x->version);
	if (v.whole)
		cs_buf_addz (out, "takes requests\n");
	else
		cs_buf_printf (out, "takes no requests: %s (%s)\n", cs_group_reason_name (v.reason),
			       v.vm);
	for (size_t i = 0; i < x->n_members; i++)
		explain_member (e, x->members[i], now_ms, out);
}
