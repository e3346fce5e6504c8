/* Private types and functions of limits: window, retry schedule, loans and lending. */
#ifndef CS_LIMITS_IMPL_H
#define CS_LIMITS_IMPL_H

#include <uthash.h>

#include "cs/limits.h"

enum {
	CS_LIMITS_MINUTE_MS = 60000,
	CS_LIMITS_STEP_MS = 250, /* resolution of the window */
	CS_LIMITS_STEPS =
		300, /* steps in the window; they cover more than a minute and two stale_ms */
	CS_LIMITS_RETRY_MAX_S = 240, /* longest retry delay given to callers */
	CS_LIMITS_DEMAND_S = 5       /* period over which demand is counted */
};

/* Occupied slots by the step at which they are freed. */
typedef struct {
	uint32_t returning[CS_LIMITS_STEPS];
	uint32_t deferred[CS_LIMITS_STEPS]; /* of returning, those that a previous holder may use */
	int64_t step;                       /* newest step whose slots have been freed */
	int64_t occupied;                   /* sum of returning */
	int64_t debt; /* slots used beyond those held; reduced as slots are freed */
} cs_window_t;

/* Reservation for a refused caller that was given a retry time. */
typedef struct {
	uint64_t fingerprint; /* of its request */
	int64_t due_s;
	int64_t n_slots;
	UT_hash_handle hh;
} cs_reservation_t;

/* Refused callers by the second of their retry time. */
typedef struct {
	cs_reservation_t *reservations;           /* uthash by fingerprint */
	uint32_t due[CS_LIMITS_RETRY_MAX_S];      /* reserved slots */
	uint32_t promised[CS_LIMITS_RETRY_MAX_S]; /* slots promised to refused callers */
	int64_t total_promised;                   /* sum of promised */
	int64_t now_s;
} cs_retry_schedule_t;

/* One limit of a team at this daemon. */
typedef struct {
	uint64_t limit;
	int64_t held; /* until held_until_ms */
	int64_t held_until_ms;
	int64_t in_use;   /* of the concurrent limit */
	int64_t withheld; /* free slots reserved for peers with less than a fair share */
	int64_t lendable; /* spare slots of peers not yet promised to a refused caller */
	int64_t growth;   /* lower bound of wanted slots while callers are refused */
	bool has_refused; /* since the last tick */
	int64_t admitted_ms;
	cs_window_t window;
	cs_retry_schedule_t retries;
	int64_t demand_s;                    /* newest second in demand */
	uint32_t demand[CS_LIMITS_DEMAND_S]; /* requested slots by second */
} cs_quota_t;

/* Slots of a team's limits that this daemon and a peer gave each other. */
typedef struct {
	uint64_t peer;
	uint64_t report_heartbeat; /* n_heartbeats of the peer at its last report */
	uint64_t given[CS_DIMS];
	int64_t changed_ms;         /* last change of given */
	int64_t revoked_ms;         /* when a loan to the silent peer was last revoked */
	bool is_revocation_pending; /* the peer may not have received the revocation yet */
	cs_team_report_t report;
	UT_hash_handle hh;
} cs_account_t;

struct cs_team_limit {
	uint64_t hash;
	char *name;
	cs_quota_t quotas[CS_DIMS];
	cs_account_t *accounts;  /* uthash by peer */
	double mean_duration_ms; /* exponentially smoothed duration of requests */
	UT_hash_handle hh;
};

/* A joined daemon. */
struct cs_limits_peer {
	uint64_t incarnation;
	size_t rank;           /* by incarnation */
	bool is_joined;        /* valid only while members are being set */
	bool has_heartbeat;    /* a heartbeat was ever received */
	int64_t heartbeat_ms;  /* time of the last heartbeat */
	uint64_t n_heartbeats; /* heartbeats received */
	UT_hash_handle hh;
};

/* Window. */
void cs_window_advance (cs_window_t *w, int64_t now_ms);
/* Occupies slots until return_ms. */
void cs_window_occupy (cs_window_t *w, int64_t return_ms, int64_t n);
/* Frees slots that are due at return_ms ahead of time; no effect once that has passed. */
void cs_window_release (cs_window_t *w, int64_t return_ms, int64_t n);
/* Occupies slots that a previous holder may have used until return_ms. */
void cs_window_defer (cs_window_t *w, int64_t return_ms, int64_t n);
/* Frees at most n deferred slots ahead of time, those that are due last first. */
void cs_window_release_deferred (cs_window_t *w, int64_t n);
/* Occupies free slots for a minute to reduce debt. */
void cs_window_pay_debt (cs_window_t *w, int64_t now_ms, int64_t free);

/* Retry schedule. */
void cs_retry_schedule_finish (cs_retry_schedule_t *s);
void cs_retry_schedule_advance (cs_retry_schedule_t *s, int64_t now_ms);
/* Number of slots reserved for callers that are due. */
int64_t cs_retry_schedule_reserved (const cs_retry_schedule_t *s);
/* Whether the retry time of the caller has come. */
bool cs_retry_schedule_is_due (const cs_retry_schedule_t *s, uint64_t fingerprint);
/* Removes the reservation of an admitted caller. */
void cs_retry_schedule_remove (cs_retry_schedule_t *s, uint64_t fingerprint);
/* Time in ms until `need` slots are free that are not promised to earlier callers; reserves
 * them for the fingerprint. At most CS_LIMITS_RETRY_MAX_S seconds. */
int64_t cs_retry_schedule_add (cs_retry_schedule_t *s, const cs_window_t *w, uint64_t fingerprint,
			       int64_t free, int64_t need);
/* Number of slots reserved for callers that are due now or in the next second. */
int64_t cs_retry_schedule_reserved_soon (const cs_retry_schedule_t *s);

/* Slots held and loans. */
cs_account_t *cs_limits_get_account (cs_team_limit_t *t, uint64_t peer);
/* A member's own part of a limit. */
int64_t cs_limits_part (const cs_limits_t *l, uint64_t limit, size_t rank);
/* This daemon's part of a limit. */
int64_t cs_limits_own_part (const cs_limits_t *l, uint64_t limit);
int64_t cs_limits_held (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim);
/* Usable slots lent by the peer to this daemon; negative: slots that the peer has borrowed. */
int64_t cs_limits_borrowed (const cs_limits_t *l, int64_t now_ms, const cs_account_t *a,
			    cs_limit_dim_t dim);
/* Slots that can be used; negative if less is held than is occupied. */
int64_t cs_limits_free (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim);
/* Whether the last heartbeat of a peer is at most stale_ms old; false for this daemon. */
bool cs_limits_has_recent_heartbeat (const cs_limits_t *l, const cs_limits_peer_t *p,
				     int64_t now_ms);
/* Revokes loans to silent peers, and loans in excess of the slots held. */
void cs_limits_revoke_loans (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t);
void cs_limits_drop_peer (cs_limits_t *l, cs_limits_peer_t *p);
void cs_limits_drop_accounts (cs_team_limit_t *t);

/* Lending. */
void cs_limits_lend (cs_limits_t *l, int64_t now_ms, cs_team_limit_t *t, cs_limit_dim_t dim);
/* Slots that this daemon wants within the next seconds. */
int64_t cs_quota_wanted (const cs_quota_t *q, int64_t now_ms);
/* Time since the last admission, where the limit has less than a slot for each member. */
uint32_t cs_quota_waiting_s (const cs_limits_t *l, const cs_quota_t *q, int64_t now_ms);
void cs_quota_add_demand (cs_quota_t *q, int64_t now_ms, int64_t n);

#endif
