/* Back ends that are candidates for new groups, by fabric domain. */
#ifndef CS_FORMATION_POOL_H
#define CS_FORMATION_POOL_H

#include "formation_impl.h"

/* Part of the back ends to place in groups. The others stand by with staged weights, as a join
 * with these takes 1 s and a load 12 to 16 s. */
#define CS_POOL_GROUPED 0.8
#define CS_POOL_NEVER_MS UINT32_MAX /* no group can be formed */

enum {
	CS_POOL_MAX_CANDIDATES = 1024, /* candidates considered in one plan */
	CS_POOL_MAX_DOMAINS = 256      /* of one service */
};

typedef struct {
	const cs_backend_t *backend;
	cs_formation_group_t *forming; /* the forming group that this is a ready member of, while
			    others load; NULL: free */
	bool taken;
} cs_candidate_t;

/* Candidates that share zone and domain: a range of the pool. */
typedef struct {
	size_t from;
	size_t to;
	size_t free; /* neither taken nor members of forming groups */
	size_t listed;
} cs_domain_t;

typedef struct {
	const cs_serving_service_t *service;
	cs_candidate_t candidates[CS_POOL_MAX_CANDIDATES]; /* by zone, domain and id */
	size_t n;
	cs_domain_t domains[CS_POOL_MAX_DOMAINS];
	size_t n_domains;
	double grouped; /* back ends of all zones to place in groups */
	uint32_t n_zones;
	const cs_serving_model_t *moved_to; /* has more than its share by demand; NULL: none */
	bool is_evacuating; /* a zone that lists back ends of the service is evacuated */
} cs_pool_t;

/* Expected cost of a choice of members. */
typedef struct {
	uint32_t ready_in_ms; /* until the last member is ready; CS_POOL_NEVER_MS: too few
				 candidates */
	uint32_t loads;       /* members that have to load the weights */
} cs_choice_t;

void cs_pool_fill (const cs_form_view_t *v, cs_pool_t *p);
bool cs_pool_same_domain (const cs_backend_t *a, const cs_backend_t *b);
const char *cs_pool_zone (const cs_pool_t *p, const cs_domain_t *d);
/* Expected time in ms until the back end could be a ready member. */
uint32_t cs_pool_join_ms (const cs_form_view_t *v, const cs_backend_t *b,
			  const cs_serving_model_t *m);
/* Chooses the members that are ready earliest and stores their indexes in chosen; members of
 * forming groups are candidates only if from_forming is set. */
cs_choice_t cs_pool_choose (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
			    const cs_serving_model_t *m, bool from_forming, size_t *chosen);
bool cs_pool_may_add_loads (const cs_form_view_t *v, const cs_serving_service_t *service);
/* Moves shares between the models by their demand. */
void cs_pool_update_demand (const cs_form_view_t *v, cs_pool_t *p);
/* Number of groups of the model that serve or form in the zone; NULL: in all. */
double cs_pool_count_groups (const cs_form_view_t *v, const cs_pool_t *p, const char *model,
			     const char *zone);
/* Number of groups that the zone lacks of the model (negative: surplus), if this part of its back
 * ends is to be in groups; *lacking_part is the lacking fraction of the wanted number (0 to 1). The
 * share is kept by zone, as each zone has to serve alone when it is partitioned. */
double cs_pool_count_lacking (const cs_form_view_t *v, const cs_pool_t *p,
			      const cs_serving_model_t *m, const char *zone, double grouped,
			      double *lacking_part);
/* True if the zone lacks a group of any model: free back ends are reserved for it. */
bool cs_pool_lacks_any_model (const cs_form_view_t *v, const cs_pool_t *p, const char *zone);
/* True if members of a lost group of the model in the zone are about to be released: these have the
 * weights in memory, so waiting for them is faster than a load. */
bool cs_pool_has_release_pending (const cs_form_view_t *v, const cs_pool_t *p,
				  const cs_serving_model_t *m, const char *zone);
/* True if the domain's back ends are kept for another model. */
bool cs_pool_is_reserved (const cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d,
			  const cs_serving_model_t *m);
/* Closes groups of small models with places to spare, if a large one lacks a group in the zone and
 * no domain has enough free back ends for it. */
void cs_pool_give_up_groups (const cs_form_view_t *v, const cs_pool_t *p, const char *zone);
/* Orders idle back ends of the domain that have no weights to stage some, within the load rate. */
void cs_pool_stage_weights (cs_form_view_t *v, const cs_pool_t *p, const cs_domain_t *d);

#endif
