/* Internal interfaces of the group planner. */
#ifndef CS_FORMATION_IMPL_H
#define CS_FORMATION_IMPL_H

#include "cs/formation.h"

struct cs_assignment {
	char *id;
	cs_formation_group_t *group;
	int64_t down_ms; /* when probes found it silent or ended; 0: never */
	char *address;   /* the last one known; NULL: none is */
	UT_hash_handle hh;
};

/* The last order to a back end to stage weights. */
struct cs_staging {
	char *id;
	char *model;
	int64_t ordered_ms;
	UT_hash_handle hh;
};

/* Inputs of one planning pass. */
typedef struct {
	cs_formation_t *f;
	int64_t now_ms;
	const cs_fleet_t *fleet;
	const cs_serving_t *serving;
	uint32_t loading; /* estimated number of loads in progress */
} cs_form_view_t;

cs_formation_group_t *cs_formation_group_new (uint64_t epoch, const char *name, const char *service,
					      const char *model, const char *const *members,
					      size_t n);
void cs_formation_group_free (cs_formation_group_t *g);
cs_formation_group_t *cs_formation_group_of (const cs_formation_t *f, const char *id);
/* Sets the model of an adopted group, if it is not known yet, and its size, which is n at least. */
void cs_formation_set_model (cs_formation_group_t *g, const char *model, size_t n);
/* Fills the empty ranks of an adopted group by what its members report. */
void cs_formation_add_members (cs_formation_t *f, cs_formation_group_t *g,
			       const char *const *members, size_t n);
/* Address of the back end, listed or not; NULL if none is known. */
const char *cs_formation_address (const cs_form_view_t *v, const char *id);
/* True if the member may join another group: its own is released, or it has left so long ago that
 * its own is broken. */
bool cs_formation_is_free (const cs_form_view_t *v, const cs_formation_group_t *g, const char *id);
cs_form_action_t *cs_formation_add_action (cs_formation_t *f, cs_form_kind_t kind,
					   const char *reason);
/* True if the back end reports itself a ready (or serving) member of the group. */
bool cs_formation_has_ready (const cs_formation_group_t *g, const cs_backend_t *member);
/* True if a member other than the head answered a probe recently: then the head's silence is not
 * due to a partition between this daemon and the group. */
bool cs_formation_others_answer (const cs_form_view_t *v, const cs_formation_group_t *g);
/* True if neither this daemon nor any other that was asked reaches the head, while another member
 * answers. */
bool cs_formation_is_unreached (const cs_form_view_t *v, const cs_formation_group_t *g);
/* True if recent probes show that the head is closed, for long enough that an open order still in
 * flight would have had a visible effect. */
bool cs_formation_head_is_closed (const cs_form_view_t *v, const cs_formation_group_t *g);
/* True if an open order to the head may have been in flight at at_ms, or taken without visible
 * effect yet. */
bool cs_formation_open_may_be_pending (const cs_formation_t *f, int64_t at_ms,
				       const cs_formation_group_t *g);
/* Updates the state of the groups from the fleet's reports. */
void cs_formation_update_groups (cs_form_view_t *v);
/* Reconciles existing groups: emits join, open, close and probe actions. */
void cs_formation_reconcile (cs_form_view_t *v);
/* Proposes new groups of free back ends, and stages weights on back ends that stay idle. */
void cs_formation_propose_groups (cs_form_view_t *v);
/* True if the back end, which is in no group as far as this planner knows, may be the member that a
 * group known by reports alone lacks: it started anew, and a join of the planner before may take it
 * back into the group. */
bool cs_formation_may_be_unknown_member (const cs_form_view_t *v, const char *id);
/* The staging in progress at the back end; NULL: none. */
const cs_staging_t *cs_formation_staging (const cs_form_view_t *v, const cs_backend_t *b);
/* True if probes found the back end down recently and it has reported nothing since. */
bool cs_formation_is_down (const cs_form_view_t *v, const cs_fleet_entry_t *e);
void cs_formation_set_staging (cs_form_view_t *v, const char *id, const char *model);
void cs_formation_clear_reserve (cs_formation_t *f);
bool cs_formation_is_evacuated (const cs_form_view_t *v, const char *zone);
/* Takes a token of the weight store's load rate; false if no load may begin now. */
bool cs_formation_take_load_token (cs_form_view_t *v, const cs_serving_service_t *service);

#endif
