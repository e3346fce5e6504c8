#include "support_poison.h"

uint32_t poison_disabled;

void
poison_test_init (cs_poison_t *p)
{
	cs_poison_options_t options = {.disabled = poison_disabled};
	cs_poison_init (p, &options);
}

void
poison_apply_crash (cs_poison_t *p, const char *group, uint64_t fence, const uint64_t *fingerprints,
		    size_t n, const uint64_t *cleared, size_t n_cleared)
{
	Cs__Record r = CS__RECORD__INIT;
	Cs__Crash crash = CS__CRASH__INIT;
	crash.group = (char *)group;
	crash.fence = fence;
	crash.fingerprints = (uint64_t *)fingerprints;
	crash.n_fingerprints = n;
	crash.cleared = (uint64_t *)cleared;
	crash.n_cleared = n_cleared;
	r.body_case = CS__RECORD__BODY_CRASH;
	r.crash = &crash;
	cs_poison_apply (p, &r);
}
