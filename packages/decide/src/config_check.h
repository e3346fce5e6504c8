/* Validation of a proposal, shared by config_check.c and config_references.c. */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "log_internal.h"

typedef struct {
	const cs_config_t *c;
	const Cs__Propose *propose;
	cs_buf_t *reason; /* a failed check appends the fault */
} config_check_t;

/* The proposal's first change to the given resource; NULL if there is none. */
const Cs__Change *config_find_change (const Cs__Propose *propose, const char *kind,
				      const char *name);
/* True if change a removes a resource that the resource of change b refers to. */
bool config_breaks_reference (const Cs__Change *a, const Cs__Change *b);
/* True if, with the proposal in force, all resources exist that the resource of change x refers to,
 * or, if x removes its resource, nothing refers to that. Appends the reason otherwise. */
bool config_check_references (const config_check_t *k, const Cs__Change *x);
/* True if the scope covers the zones of a model group both before and after change x: daemons
 * outside of the scope do not have to acknowledge the proposal. Appends the reason otherwise. */
bool config_check_zones (const config_check_t *k, const Cs__Change *x);

#endif
