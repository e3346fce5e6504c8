/* Overload control by the loads of all heads: how many requests a second this daemon sends to the
 * groups of a service.
 *
 * Load: a burst, or the loss of heads, at hundreds of daemons before a few dozen heads, so that
 * more requests come than the heads can begin in time. All daemons see the same loads, some 0.4 s
 * old, and scale their rates alike, so that each keeps its part of the arrivals:
 *
 *     limit = share * (1 + room / settle time)
 *
 * The share is this daemon's part of what the heads bear: its arrivals by the share of slots that
 * were busy meanwhile, both smoothed over the same time, and frozen while a limit holds requests
 * back; then a slow correction by the waits takes their place. Room is the time for which the heads
 * could begin more than they end: negative while requests wait there for longer than a part of
 * the objective. Tokens are counted before a limit begins too: what a daemon sent beyond its share
 * until it saw the others' loads it pays back.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_OVERLOAD_H
#define CS_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_OVERLOAD_RESERVE = 2 /* tokens that can be kept for those who are due more */
};

typedef struct {
	uint64_t random;
	/* Of fresh samples, weighted by slots. */
	double running, waiting_ms, slots;
	int64_t seen_ms;    /* the newest sample; 0: none */
	int64_t updated_ms; /* when the limit was last computed */
	/* Smoothed. */
	double arrivals; /* requests a second, as calm as they were */
	double busy;     /* share of slots, over the same time */
	double age_s;    /* for which arrivals were smoothed, 10 at most */
	double objective_ms;
	double duration_ms; /* of a request at a head; 0: not measured yet */
	uint32_t n_durations;
	double usual_delay_ms; /* of first events where nothing waits */
	double correction;     /* of the share, by the waits; 1: none */
	uint32_t all_slots;    /* of all heads; 0: not known */
	double limit;          /* requests a second; 0: none is in force */
	double shadow;         /* the limit that would be */
	double tokens;
	double threshold;   /* tokens that the next request needs, 0 to 1 */
	int64_t limited_ms; /* when a limit was last in force */
	int64_t held_ms;    /* when a request was last held back, or a limit began */
} cs_overload_t;

typedef struct {
	int64_t seen_ms;
	uint32_t running, waiting, slots, delay_ms; /* delay of a first event by queueing */
} cs_overload_sample_t;

void cs_overload_init (cs_overload_t *o, uint64_t seed);
/* Records the load of a head. Samples without slots, too old or of the future are ignored. */
void cs_overload_sample (cs_overload_t *o, int64_t now_ms, const cs_overload_sample_t *sample);
/* Tells how many slots all heads have together, 0 if that is not known: a loss takes effect before
 * it is seen in the waits. */
void cs_overload_set_slots (cs_overload_t *o, uint32_t slots);
void cs_overload_arrived (cs_overload_t *o, int64_t now_ms, uint32_t objective_ms);
void cs_overload_ended (cs_overload_t *o, int64_t duration_ms);
/* True if loads are known that are fresh enough to go by. */
bool cs_overload_is_informed (const cs_overload_t *o, int64_t now_ms);
/* True if a caller has waited for so long that its request can't be in time any more, as it has
 * used what waits may take of its objective; not without an objective (0). */
bool cs_overload_is_overdue (int64_t waited_ms, uint32_t objective_ms);
/* True if no request was held back lately by any daemon, as far as can be seen. */
bool cs_overload_is_calm (const cs_overload_t *o, int64_t now_ms);
/* Tokens beyond what the next request needs: it may be sent if that is not less than the reserve
 * to be left to others, which is at most CS_OVERLOAD_RESERVE, but for overdue ones. Infinite while
 * neither a limit is in force nor heads are as busy as where limits end: daemons of a few requests
 * a second are between two limits then, and others hold theirs back. */
double cs_overload_spare (cs_overload_t *o, int64_t now_ms);
/* How many requests a second this daemon may send; 0: as many as it likes. */
double cs_overload_rate (cs_overload_t *o, int64_t now_ms);
/* Records that the limit held a request back. */
void cs_overload_held (cs_overload_t *o, int64_t now_ms);
void cs_overload_sent (cs_overload_t *o, int64_t now_ms);
/* The share of slots that are busy, and how long a request waits at the heads, as last seen. */
double cs_overload_busy (const cs_overload_t *o);
double cs_overload_wait_ms (const cs_overload_t *o);
/* How long a request may wait at this daemon: half of its objective is for all waits, the rest for
 * the usual first event. A later answer still has a worth, but keeps another one from its time. */
int64_t cs_overload_max_wait_ms (const cs_overload_t *o, uint32_t objective_ms);

#endif
