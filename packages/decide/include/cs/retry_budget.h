/* The budget of repeats: how many further attempts of requests the daemons of a fleet make
 * together.
 *
 * For a service, the fleet may make in any window as many repeats as `ratio` times the requests for
 * it plus `slack`; requests are those of the window or of the one before it, whichever are more.
 *
 * Load: 330 daemons, a service with a tenth of the traffic all of whose back ends fail, beside a
 * burst at another; callers unevenly spread; daemons that are killed and started in series, or cut
 * off from the store and from one another, so that none knows how many there are.
 *
 * The share of a daemon needs no knowledge of the others. The repeats that it has granted, and that
 * may be sent in a window up to now, are at most ratio / 2 times its own requests of that window
 * and the one before. That sums over any daemons, also those that come and go, to at most ratio
 * times the larger of both.
 *
 * The slack is one for the fleet. A daemon that needs a part of it appends a claim to the notes
 * that all daemons read, and may use it, for a short time since it was sent, once it has read the
 * claim back and the claims read before it leave room. Each daemon takes a claim as used until a
 * window behind that time. A daemon that has started, or has missed notes, claims nothing until
 * older claims have ended, unless the fleet is new and all notes were read since the first one;
 * without the store there are no claims.
 *
 * All times are in milliseconds of the caller's clock, which runs on while the machine is
 * suspended. */
#ifndef CS_RETRY_BUDGET_H
#define CS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cs/rng.h"

enum {
	CS_RETRY_SERVICES = 64,              /* with a budget; one more gets no repeats */
	CS_RETRY_SLICES = 100,               /* in which a window is counted */
	CS_RETRY_CLAIMS = 4096,              /* services times slices in which claims were heard */
	CS_RETRY_OWN_CLAIMS = 8,             /* of one service in use */
	CS_RETRY_RING = 3 * CS_RETRY_SLICES, /* two windows, and the time until a grant is sent */
	CS_RETRY_SEND_MS = 500,              /* a repeat is sent within this time of its grant */
	CS_RETRY_MIN_CLAIMS = 8,             /* a claim is for at most this part of the slack */
	CS_RETRY_CLAIM_MS = 400 /* a claim that is granted mostly is within this time */
};

/* What the fleet is allowed, for each service. */
typedef struct {
	double ratio;       /* repeats for each request */
	double slack;       /* repeats beside these, in a window */
	uint32_t window_ms; /* at least CS_RETRY_SLICES */
} cs_retry_limits_t;

/* Mechanisms that tests can disable. */
typedef enum {
	CS_RETRY_BUDGET_NO_SHARE = 1 << 0,      /* no bound on the daemon's share */
	CS_RETRY_BUDGET_NO_ROOM = 1 << 1,       /* claims are granted whatever was claimed before */
	CS_RETRY_BUDGET_NO_EXPIRY = 1 << 2,     /* claims are used at any time */
	CS_RETRY_BUDGET_NO_QUARANTINE = 1 << 3, /* claims at once after a start or missed notes */
	CS_RETRY_BUDGET_NO_SERVICES = 1 << 4    /* one count for all services */
} cs_retry_budget_disabled_t;

typedef struct {
	uint32_t n;
	int64_t until_ms;
} cs_retry_part_t;

typedef struct {
	char *name;
	uint64_t hash; /* of the name */
	int64_t used_ms;
	int64_t slice; /* the newest; counts are indexed by slice % CS_RETRY_RING */
	uint32_t requests[CS_RETRY_RING];
	uint32_t repeats[CS_RETRY_RING];            /* of the share */
	cs_retry_part_t parts[CS_RETRY_OWN_CLAIMS]; /* of the slack, granted to this daemon */
	uint64_t pending_id;                        /* claim that was not read back yet; 0: none */
	uint32_t pending_n;
	int64_t pending_ms;            /* when it was sent */
	uint32_t wants[CS_RETRY_RING]; /* repeats that needed slack */
	int64_t wanted_ms;             /* the last one; 0: none since the last claim */
} cs_retry_service_t;

typedef struct {
	uint64_t service; /* hash of its name */
	uint64_t n;       /* of all that were heard in one slice */
	int64_t until_ms; /* no repeat of them counts in a window that begins later */
} cs_retry_claimed_t;

typedef struct {
	cs_retry_limits_t limits;
	uint32_t disabled;
	uint64_t next_id;
	cs_rng_t rng;
	cs_retry_service_t *services[CS_RETRY_SERVICES];
	size_t n_services;
	cs_retry_claimed_t claims[CS_RETRY_CLAIMS]; /* heard of all daemons, in no order */
	size_t n_claims;
	bool is_new_fleet;
	bool follows; /* era and next_offset are known */
	uint64_t era;
	uint64_t next_offset;
	int64_t claims_from_ms; /* no claims before */
} cs_retry_budget_t;

/* A claim of a part of a service's slack, to be told to all daemons in an agreed order. */
typedef struct {
	const char *service;
	uint32_t n;  /* repeats */
	uint64_t id; /* unique among the claims of a daemon, also over its restarts */
} cs_retry_claim_t;

typedef enum {
	CS_RETRY_GRANT_NONE,
	CS_RETRY_GRANT_SHARE,
	CS_RETRY_GRANT_SLACK
} cs_retry_grant_t;

/* What a grant was decided on. */
typedef struct {
	cs_retry_grant_t grant;
	bool may_come;       /* none was granted, but a claim that may grant one is under way */
	uint32_t requests;   /* of this daemon, in two windows */
	uint32_t repeats;    /* of its share, in one window, including this one */
	uint32_t allowed;    /* of its share, in the whole window */
	uint32_t slack_left; /* granted to this daemon and not used */
	uint32_t claimed;    /* of the slack, by all daemons */
} cs_retry_decision_t;

/* seed: differs at each start. is_new_fleet: the daemon started with the whole fleet, for the first
 * time. */
void cs_retry_budget_init (cs_retry_budget_t *b, const cs_retry_limits_t *limits, uint64_t seed,
			   bool is_new_fleet, int64_t now_ms);
void cs_retry_budget_finish (cs_retry_budget_t *b);
void cs_retry_budget_set_limits (cs_retry_budget_t *b, const cs_retry_limits_t *limits,
				 int64_t now_ms);
/* Counts a request for the service that was received at received_ms. */
void cs_retry_budget_count_request (cs_retry_budget_t *b, const char *service, int64_t received_ms,
				    int64_t now_ms);
/* Decides on one more attempt of a request, and charges it if it is granted. A grant that was not
 * used within CS_RETRY_SEND_MS must be acquired anew. is_again: it was denied before, and waits. */
cs_retry_decision_t cs_retry_budget_acquire (cs_retry_budget_t *b, const char *service,
					     bool is_again, int64_t now_ms);
/* True if a claim is under way that may grant a repeat that was denied. */
bool cs_retry_budget_may_come (cs_retry_budget_t *b, const char *service, int64_t now_ms);
/* True if a claim is to be appended now, which counts as sent then; its name is owned by b. */
bool cs_retry_budget_next_claim (cs_retry_budget_t *b, int64_t now_ms, cs_retry_claim_t *out);
/* Called for each record of the notes before what it says is applied, and with n 0 for the place
 * where the reading begins. A record that does not follow the one before, or is of another era,
 * means that claims may have been missed. */
void cs_retry_budget_follow (cs_retry_budget_t *b, int64_t now_ms, uint64_t era, uint64_t offset,
			     uint64_t n);
/* A claim was read. True if it grants this daemon, which made it, its part. */
bool cs_retry_budget_hear (cs_retry_budget_t *b, int64_t now_ms, const cs_retry_claim_t *claim,
			   bool is_own);
const char *cs_retry_grant_name (cs_retry_grant_t grant);

#endif
