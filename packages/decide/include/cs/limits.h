/* Rate limits of teams: requests per minute, generated tokens per minute, concurrent requests.
 *
 * A limit is a number of slots. A request occupies one slot (of a token limit one per token)
 * for a minute, or one slot of a concurrent limit until it ends. Each joined daemon owns an
 * equal part of the slots, derived from the log alone, and admits from the slots it holds
 * without asking other daemons. Free slots are lent on demand: each daemon publishes the slots
 * that it holds, has free and wants; all compute the same moves from the same reports, and each
 * makes its own. The counter "given" has one writer per pair of daemons and direction. A daemon
 * holds its part, plus the slots given to it, less those it gave. The lender counts a move at
 * once, the borrower when it reads the report, so no slot is ever held twice, even if reports
 * are wrong, lost or late.
 *
 * A loan is a lease: a borrower uses it only while the last report of the lender is younger
 * than stale_ms. A lender that no longer receives heartbeats of a borrower revokes the loan, and
 * uses the slots a minute and twice stale_ms later, when their use by the borrower has left the
 * window. Slots gained from a departed member become usable after the same delay. If a daemon
 * loses slots as the members change, those that are not usable yet go first.
 *
 * Maximum excess over any minute, whether connected, partitioned or with heartbeats lost:
 * requests: none; tokens: the tokens of one request per daemon, since a request for more than
 * its daemon holds is admitted when no other occupies any, and the excess is deducted
 * from slots freed later. Concurrent: requests still running on a revoked loan. In the minute of a
 * JOIN: the part of the new daemon; in the minute of a changed limit: requests admitted under the
 * old one.
 */
#ifndef CS_LIMITS_H
#define CS_LIMITS_H

#include "cs/resource.pb-c.h"
#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_LIMITS_DEFAULT_TOKENS = 512
};

/* Mechanisms that tests disable. */
typedef enum {
	CS_LIMITS_NO_SLOT_DELAY = 1 << 0, /* regained slots are used at once */
	CS_LIMITS_NO_LOAN_EXPIRY =
		1 << 1, /* loans stay in use after heartbeats of the lender are lost */
	CS_LIMITS_NO_RESERVE = 1 << 2, /* tokens are counted at the end of a request only */
	CS_LIMITS_NO_LENDING = 1 << 3,
	CS_LIMITS_NO_RETRY_SCHEDULE = 1 << 4 /* all refused callers get the same retry time */
} cs_limits_disabled_t;

/* The three limits of a team. */
typedef enum {
	CS_DIM_REQUESTS,
	CS_DIM_TOKENS,
	CS_DIM_CONCURRENT,
	CS_DIMS
} cs_limit_dim_t;

typedef struct {
	uint64_t incarnation; /* of this daemon */
	uint32_t stale_ms;    /* age above which a report is ignored; 0: 5000 */
	uint32_t disabled;    /* cs_limits_disabled_t */
} cs_limits_options_t;

/* State of one limit of a team at one daemon, as a heartbeat reports it to a peer. */
typedef struct {
	uint64_t limit;     /* limit that the other fields refer to; 0: none */
	uint64_t held;      /* slots held, used or not */
	uint64_t free;      /* held slots neither occupied nor reserved */
	uint64_t wanted;    /* slots wanted for the next seconds */
	uint32_t waiting_s; /* since its last admission, if there are fewer slots than daemons */
	uint64_t given;     /* total given to this peer, less revoked loans */
} cs_quota_report_t;

typedef struct {
	cs_quota_report_t quotas[CS_DIMS];
} cs_team_report_t;

typedef struct cs_team_limit cs_team_limit_t;
typedef struct cs_limits_peer cs_limits_peer_t;

typedef struct {
	cs_limits_options_t options;
	cs_team_limit_t *teams; /* uthash by hash of the name */
	cs_limits_peer_t
		*peers; /* uthash by incarnation: all joined daemons, this daemon included */
	size_t n_members;
} cs_limits_t;

/* Slots of an admitted request; to be passed to cs_limits_settle at its end. */
typedef struct {
	uint64_t team;    /* cs_hash of the name; 0: nothing held */
	uint32_t tokens;  /* reserved */
	int64_t since_ms; /* time of admission */
} cs_limits_hold_t;

typedef enum {
	CS_LIMIT_NONE,
	CS_LIMIT_REQUESTS,
	CS_LIMIT_TOKENS,
	CS_LIMIT_CONCURRENT
} cs_limit_kind_t;

void cs_limits_init (cs_limits_t *l, const cs_limits_options_t *options);
void cs_limits_finish (cs_limits_t *l);
/* Sets the limits of a team with immediate effect. NULL removes the team. */
void cs_limits_set (cs_limits_t *l, int64_t now_ms, const char *team, const Cs__Limits *limits);
/* Sets out to the stricter value of each limit of a and b; 0 means no limit. */
void cs_limits_stricter (const Cs__Limits *a, const Cs__Limits *b, Cs__Limits *out);
/* Sets the incarnations of all joined daemons, this daemon included. */
void cs_limits_set_members (cs_limits_t *l, int64_t now_ms, const uint64_t *incarnations, size_t n);
/* Records a heartbeat of another daemon. at_ms is a lower bound of its sending time by this
 * daemon's clock. Reports on teams follow with the same at_ms; a team without a report is idle
 * at that daemon, which lends this daemon no slots of it. */
void cs_limits_record_heartbeat (cs_limits_t *l, int64_t at_ms, uint64_t incarnation);
void cs_limits_record_report (cs_limits_t *l, int64_t now_ms, int64_t at_ms, uint64_t incarnation,
			      const char *team, const cs_team_report_t *report);
/* Fills in the report on a team for a peer; returns false if there is nothing to report. */
bool cs_limits_make_report (cs_limits_t *l, int64_t now_ms, uint64_t peer, const char *team,
			    cs_team_report_t *out);
/* Revokes loans and lends slots; to be called once a second, before heartbeats are sent. */
void cs_limits_tick (cs_limits_t *l, int64_t now_ms);
/* Admits a request. CS_OK: hold is filled in. CS_EXHAUSTED: kind is the limit reached and
 * retry_after_ms the time until it has free slots for this caller, after those of all callers
 * that were given a retry time before. CS_NOT_FOUND: no such team. max_tokens 0: not bounded by the
 * caller. A slot is reserved at this daemon for the retry of a refused caller, which is
 * recognized by the fingerprint of its request; fingerprint 0: no reservation. */
cs_status_t cs_limits_admit (cs_limits_t *l, int64_t now_ms, const char *team, uint32_t max_tokens,
			     uint64_t fingerprint, cs_limits_hold_t *hold, cs_limit_kind_t *kind,
			     int64_t *retry_after_ms);
/* Ends a request that has generated the given number of tokens, and clears hold. */
void cs_limits_settle (cs_limits_t *l, int64_t now_ms, cs_limits_hold_t *hold, uint32_t tokens);
/* Returns the slots that this daemon holds of a team's limits, 0 where there is no limit, and
 * its number of requests in progress. CS_NOT_FOUND: no such team. */
cs_status_t cs_limits_get_share (cs_limits_t *l, int64_t now_ms, const char *team,
				 uint64_t held[CS_DIMS], uint32_t *in_progress);

#endif
