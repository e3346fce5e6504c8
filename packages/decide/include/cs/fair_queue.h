/* A queue of requests that wait to be sent to a service: by priority, and within one by team.
 *
 * Load: more requests than may be sent, of some teams far more than of others, and callers that
 * repeat theirs at once. Within a priority, teams take turns by deficit round robin with equal
 * weights and the cost of each request, so that a team's burst waits behind itself. A daemon of a
 * few requests a second has often nobody waiting: so a team that lately was sent more than its
 * part, or a request less urgent than others of late, must leave tokens to those (the reserve).
 * Each less urgent priority that waits gets a twentieth of the places.
 *
 * Requests that can't be in time any more (overdue) stand behind the others of their priority.
 * While these ask, at any daemon, a tenth of their places is due to overdue ones, which is about
 * all that a limit leaves where these could have it all.
 *
 * A request waits for as long as its max_wait_ms allows, and is refused at once if that does not
 * suffice by the rate and by who is before it; an overdue one, by the places due to it. A full
 * queue refuses its newest request of the lowest priority, there of the team with the most waiting.
 * Who was told a time, and comes back then, stands before new requests of its team and priority
 * that are overdue or in time as it is.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_FAIR_QUEUE_H
#define CS_FAIR_QUEUE_H

#include <uthash.h>

#include "cs/status.h"
#include "cs/str.h"

enum {
	CS_FAIR_PRIORITIES = 8, /* 0 is the most urgent; those beyond count as the last */
	CS_FAIR_LEVELS = 2 * CS_FAIR_PRIORITIES, /* of each, those in time before overdue ones */
	CS_FAIR_TEAMS = 64, /* those beyond, of which none waits, take the place of idle ones */
	CS_FAIR_TOLD = 256
};

typedef struct {
	uint64_t id;      /* unique among those that wait */
	uint64_t team;    /* hash of its name; 0: none, which is a team as well */
	uint64_t content; /* equal if its caller asks again */
	uint32_t priority;
	double cost; /* predicted work in any unit; 0 or less: 1 */
	int64_t max_wait_ms;
	int64_t remaining_ms; /* of the caller's time; 0: not known */
	bool is_overdue;      /* its caller has waited for too long to be answered in time */
} cs_fair_request_t;

typedef struct cs_fair_waiting cs_fair_waiting_t;

typedef struct {
	uint64_t team;
	double usage;       /* requests sent lately, in usual costs */
	int64_t used_ms;    /* when usage was computed */
	int64_t arrived_ms; /* the last request */
	uint32_t n;         /* waiting */
	struct {
		cs_fair_waiting_t *first; /* utlist */
		uint32_t n;
		double deficit;
		bool is_aside;
	} queues[CS_FAIR_LEVELS];
} cs_fair_team_t;

typedef struct {
	uint64_t id;
	int64_t retry_after_ms;
} cs_fair_refusal_t;

typedef struct {
	uint32_t max_waiting;
	cs_fair_waiting_t *by_id; /* uthash */
	uint32_t waiting[CS_FAIR_LEVELS];
	int64_t wanted_ms[CS_FAIR_LEVELS]; /* last arrival, or when one last waited */
	double credit[CS_FAIR_LEVELS];     /* places due to it though others are more urgent */
	uint32_t turn[CS_FAIR_LEVELS];     /* team */
	bool is_granted[CS_FAIR_LEVELS];   /* that team has got its quantum */
	cs_fair_team_t teams[CS_FAIR_TEAMS];
	uint32_t n_teams;
	double usual_cost;
	double rate;     /* requests a second that are sent; 0: not known */
	double refusals; /* of the last second, smoothed */
	int64_t refused_ms;
	struct {
		uint64_t content;
		int64_t due_ms;
	} told[CS_FAIR_TOLD];
	cs_fair_refusal_t *refused; /* emptied by cs_fair_queue_clear_refused () */
	size_t n_refused, cap_refused;
} cs_fair_queue_t;

/* max_waiting 0: 256 */
void cs_fair_queue_init (cs_fair_queue_t *q, uint32_t max_waiting);
void cs_fair_queue_finish (cs_fair_queue_t *q);
/* Tells how many requests a second are sent; 0: not known. */
void cs_fair_queue_set_rate (cs_fair_queue_t *q, double per_s);
/* Records the arrival of a request, whether or not it will wait. */
void cs_fair_queue_arrived (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r);
/* How many tokens the request must leave to others, 0 to 2; infinite for an overdue one that has to
 * wait for the places due to it. */
double cs_fair_queue_reserve (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r);
/* True if a request waits that is as urgent or more, so that a new one must wait behind it; one
 * that can be in time waits behind no overdue one. */
bool cs_fair_queue_has_before (const cs_fair_queue_t *q, const cs_fair_request_t *r);
/* Queues a request; token_ms: until the next one can be sent. CS_EXHAUSTED: refused, and may come
 * back after retry_after_ms. */
cs_status_t cs_fair_queue_offer (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r,
				 int64_t token_ms, int64_t *retry_after_ms);
/* What cs_fair_queue_offer would answer; changes nothing. */
cs_status_t cs_fair_queue_would_offer (const cs_fair_queue_t *q, int64_t now_ms,
				       const cs_fair_request_t *r, int64_t token_ms,
				       int64_t *retry_after_ms);
/* Stores the id of the request to be sent next, with so many tokens to spare. CS_NOT_FOUND: none
 * waits that may be sent. */
cs_status_t cs_fair_queue_peek (cs_fair_queue_t *q, int64_t now_ms, double spare, uint64_t *id);
/* Leaves requests of this one's team and level out of peek until cs_fair_queue_end_asides: no
 * back end that they may reach has room, while those of others may. */
void cs_fair_queue_set_aside (cs_fair_queue_t *q, uint64_t id);
void cs_fair_queue_end_asides (cs_fair_queue_t *q);
/* Records that a request, whether or not it waited, is sent now; it waits no longer. */
void cs_fair_queue_sent (cs_fair_queue_t *q, int64_t now_ms, const cs_fair_request_t *r);
/* Removes a request without effect on shares; no-op if it does not wait. */
void cs_fair_queue_remove (cs_fair_queue_t *q, uint64_t id);
/* Moves requests that have waited for too long to refused. */
void cs_fair_queue_tick (cs_fair_queue_t *q, int64_t now_ms);
void cs_fair_queue_clear_refused (cs_fair_queue_t *q);
uint32_t cs_fair_queue_count (const cs_fair_queue_t *q);

#endif
