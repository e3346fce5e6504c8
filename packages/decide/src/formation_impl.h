/* Parts of the planner of groups. */
#ifndef CS_FORMATION_IMPL_H
#define CS_FORMATION_IMPL_H

#include "cs/formation.h"

struct cs_assignment {
	char *id;
	cs_band_t *band;
	int64_t down_ms; /* when it was found silent or ended; 0: never */
	char *address;   /* where it was listed last; NULL: never since planning began */
	UT_hash_handle hh;
};

/* A back end was ordered to stage weights. */
struct cs_staging {
	char *id;
	char *model;
	int64_t ordered_ms;
	UT_hash_handle hh;
};

/* What one plan is made from. */
typedef struct {
	cs_formation_t *f;
	int64_t now_ms;
	const cs_fleet_t *fleet;
	const cs_serving_t *serving;
	uint32_t loading; /* loads that seem to be under way */
} cs_form_view_t;

cs_band_t *cs_band_new (uint64_t epoch, const char *name, const char *service, const char *model,
			const char *const *members, size_t n);
void cs_band_free (cs_band_t *b);
cs_band_t *cs_formation_band_of (const cs_formation_t *f, const char *id);
/* Remembers where an assigned back end is listed. */
void cs_formation_note_address (cs_formation_t *f, const cs_backend_t *b);
cs_form_action_t *cs_formation_act (cs_formation_t *f, cs_form_kind_t kind, const char *reason);
/* True if the back end reports itself a ready member of the group. */
bool cs_band_has_ready (const cs_band_t *b, const cs_backend_t *member);
/* True if a member besides the head has answered a probe just now: the head's silence is its
 * own, not that of the way to the group. */
bool cs_band_others_answer (const cs_form_view_t *v, const cs_band_t *b);
/* True if probes show, now and for long enough, that the head is closed. */
bool cs_band_is_checked (const cs_form_view_t *v, const cs_band_t *b);
/* True if an open order may still have been on its way to the head then. */
bool cs_band_in_doubt (const cs_formation_t *f, int64_t at_ms, const cs_band_t *b);
/* Brings what is known of the groups up to date by the fleet's reports. */
void cs_formation_watch (cs_form_view_t *v);
/* Orders for the groups that exist: join, open, close, probe. */
void cs_formation_tend (cs_form_view_t *v);
/* New groups from back ends that are free, and staging for those that stay idle. */
void cs_formation_gather (cs_form_view_t *v);
/* The staging under way at the back end; NULL: none. */
const cs_staging_t *cs_formation_staging (const cs_form_view_t *v, const cs_backend_t *b);
/* True if the back end was found down and has said nothing since. */
bool cs_formation_is_down (const cs_form_view_t *v, const cs_fleet_entry_t *e);
void cs_formation_note_staging (cs_form_view_t *v, const char *id, const char *model);
/* Takes one load of the weight store's rate; false if none may begin now. */
bool cs_formation_may_load (cs_form_view_t *v, const cs_serving_service_t *service);

#endif
