#include "cs/ref.h"

void
cs_ref_init (cs_ref_t *ref, void (*drop) (cs_ref_t *ref))
{
	ref->count = 1;
	ref->drop = drop;
}

void
cs_ref_get (cs_ref_t *ref)
{
	ref->count++;
}

void
cs_ref_put (cs_ref_t *ref)
{
	if (--ref->count == 0)
		ref->drop (ref);
}
